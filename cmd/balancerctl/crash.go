package main

import (
	"fmt"

	"sprucehill/internal/lab/crash"
)

const (
	maxCrashUpstreams = 5000 // largest value of the flag --upstreams
	maxCrashRounds    = 100  // largest value of the flag --rounds
)

// crashCmd is the command "lab crash".
type crashCmd struct {
	Upstreams int    `help:"Number of upstreams in the saved records." default:"12"`
	Rounds    int    `help:"Number of saves of each kind of record." default:"4"`
	Every     int    `help:"Run one case in this many, chosen by the seed; 1: all." default:"1"`
	Again     int    `help:"Simulate another power loss in one recovery in this many; 0: in none." default:"100"`
	Seed      uint64 `help:"Seed of the records and of the choice of cases." default:"1"`
}

// Run runs the matrix of crashes and prints its counts and violations. It returns errCheckFailed if there is a violation.
func (c *crashCmd) Run() error {
	if !c.isInRange() {
		return fmt.Errorf("flag out of range: --upstreams must be 1 to %d, --rounds 1 to %d, --every at least 1, --again at least 0",
			maxCrashUpstreams, maxCrashRounds)
	}
	saves := crash.GenerateSaves(c.Rounds, c.Upstreams, c.Seed)
	r, err := crash.Run(saves, crash.Options{SampleOneIn: c.Every, RecoveryPowerLossOneIn: c.Again, Seed: c.Seed})
	if err != nil {
		return err
	}
	fmt.Printf("%d cases: %d with a power loss, %d with a flipped byte, %d with another power loss during recovery\n",
		r.Cases(), r.PowerLosses, r.ByteFlips, r.RecoveryPowerLosses)
	fmt.Printf("records loaded: %d times the newest, %d times an older one that is allowed, %d times none because none had been saved\n",
		r.LoadedNewest, r.LoadedPrevious, r.LoadedNone)
	for _, violation := range r.Violations {
		fmt.Println("WRONG:", violation)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%w: a saved record was lost, or a record was loaded that had never been saved", errCheckFailed)
	}
	fmt.Println("no saved record was lost, and every loaded record had been saved")
	return nil
}

// isInRange reports whether all flags have valid values.
func (c *crashCmd) isInRange() bool {
	return c.Upstreams >= 1 && c.Upstreams <= maxCrashUpstreams &&
		c.Rounds >= 1 && c.Rounds <= maxCrashRounds &&
		c.Every >= 1 && c.Again >= 0
}
