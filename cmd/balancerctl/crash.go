package main

import (
	"errors"
	"fmt"

	"sprucehill/internal/lab/crash"
)

const (
	maxCrashUpstreams = 5000 // largest value of the flag --upstreams
	maxCrashRounds    = 100  // largest value of the flag --rounds
)

// crashCmd is the command "lab crash".
type crashCmd struct {
	Upstreams int    `help:"Upstreams of the balancer whose states are saved." default:"12"`
	Rounds    int    `help:"Saves of each kind." default:"4"`
	Every     int    `help:"Try one case in so many, drawn by the seed; 1: all." default:"1"`
	Again     int    `help:"Cut the power again in one recovery of so many; 0: never." default:"100"`
	Seed      uint64 `help:"Draws states and cases." default:"1"`
}

// Run runs the crash matrix and prints its counts and violations. It returns errCheckFailed if there is a violation.
func (c *crashCmd) Run() error {
	if !c.isInRange() {
		return errors.New("--upstreams: 1 to 5000; --rounds: 1 to 100; --every: 1 and more; --again: 0 and more")
	}
	saves := crash.GenerateSaves(c.Rounds, c.Upstreams, c.Seed)
	r, err := crash.Run(saves, crash.Options{SampleOneIn: c.Every, RecoveryCutOneIn: c.Again, Seed: c.Seed})
	if err != nil {
		return err
	}
	fmt.Printf("%d cases: power cut %d, byte flipped %d, power cut again in the recovery %d\n",
		r.Cases(), r.PowerCuts, r.ByteFlips, r.RecoveryCuts)
	fmt.Printf("states read: the newest %d times, the one before %d, none where none had been saved %d\n",
		r.LoadedNewest, r.LoadedPrevious, r.LoadedNone)
	for _, violation := range r.Violations {
		fmt.Println("WRONG:", violation)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%w: a state was lost, or one read that was never written", errCheckFailed)
	}
	fmt.Println("every one was written, and none that was safe was lost")
	return nil
}

// isInRange reports whether all flags have values that can be used.
func (c *crashCmd) isInRange() bool {
	return c.Upstreams >= 1 && c.Upstreams <= maxCrashUpstreams &&
		c.Rounds >= 1 && c.Rounds <= maxCrashRounds &&
		c.Every >= 1 && c.Again >= 0
}
