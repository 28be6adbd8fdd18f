package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"sprucehill/internal/durable"
	"sprucehill/internal/lab/crash"
)

// stateCmd is what can be done with a state folder. Only repair changes anything.
type stateCmd struct {
	Show   stateShowCmd   `cmd:"" help:"List what a state folder holds."`
	Verify stateVerifyCmd `cmd:"" help:"Check every state in a folder to the bit."`
	Export stateExportCmd `cmd:"" help:"Write the newest whole state of a kind, as JSON."`
	Repair stateRepairCmd `cmd:"" help:"Set aside what is no whole state. The balancer must not run."`
}

type stateShowCmd struct {
	Dir  string `arg:"" help:"State folder." type:"existingdir"`
	JSON bool   `name:"json" help:"Write it as JSON."`
}

// shownState is a file as show tells of it.
type shownState struct {
	File       string
	Kind       string `json:",omitempty"`
	Owner      string `json:",omitempty"`
	Version    uint16
	Generation uint64
	SavedAt    time.Time
	Bytes      int
	Verdict    string
}

func inspect(dir string) ([]shownState, int, error) {
	folder, err := durable.OpenFolder(dir)
	if err != nil {
		return nil, 0, err
	}
	found, err := durable.Inspect(folder)
	if err != nil {
		return nil, 0, err
	}
	var all []shownState
	bad := 0
	for _, f := range found {
		r := f.Record
		s := shownState{f.File, r.Kind, r.Owner, r.Version, r.Generation, r.SavedAt, len(r.Payload), "whole"}
		if f.Err != nil {
			s.Verdict = f.Err.Error()
		}
		if f.Aside {
			s.Verdict = "set aside: " + s.Verdict
		} else if f.Err != nil {
			bad++
		}
		all = append(all, s)
	}
	return all, bad, nil
}

// Run carries it out.
func (c *stateShowCmd) Run() error {
	all, _, err := inspect(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(all)
	}
	rows := [][]any{{"file", "kind", "owner", "version", "generation", "saved", "bytes", "verdict"}}
	for _, s := range all {
		saved := "-"
		if s.Kind != "" {
			saved = s.SavedAt.UTC().Format(time.DateTime)
		}
		rows = append(rows, []any{s.File, s.Kind, s.Owner, s.Version, s.Generation, saved, s.Bytes, s.Verdict})
	}
	table(os.Stdout, rows...)
	return nil
}

type stateVerifyCmd struct {
	Dir string `arg:"" help:"State folder." type:"existingdir"`
}

// Run carries it out.
func (c *stateVerifyCmd) Run() error {
	all, bad, err := inspect(c.Dir)
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.Verdict != "whole" {
			fmt.Printf("%s: %s\n", s.File, s.Verdict)
		}
	}
	if bad > 0 {
		return fmt.Errorf("%w: %d of %d states can't be used", errClaim, bad, len(all))
	}
	fmt.Printf("%d states, all that are used are whole\n", len(all))
	return nil
}

type stateExportCmd struct {
	Dir  string `arg:"" help:"State folder." type:"existingdir"`
	Kind string `arg:"" help:"list, learnt or orders."`
}

// Run carries it out.
func (c *stateExportCmd) Run() error {
	folder, err := durable.OpenFolder(c.Dir)
	if err != nil {
		return err
	}
	found, err := durable.Inspect(folder)
	if err != nil {
		return err
	}
	var newest *durable.Record
	for i, f := range found {
		if f.Err == nil && !f.Aside && f.Record.Kind == c.Kind && (newest == nil || f.Record.Generation > newest.Generation) {
			newest = &found[i].Record
		}
	}
	if newest == nil {
		return fmt.Errorf("%s has no whole state of kind %q", c.Dir, c.Kind)
	}
	fmt.Printf("%s\n", newest.Payload)
	return nil
}

type stateRepairCmd struct {
	Dir string `arg:"" help:"State folder." type:"existingdir"`
}

// Run carries it out.
func (c *stateRepairCmd) Run() error {
	folder, err := durable.OpenFolder(c.Dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	free, err := folder.Lock()
	if err != nil {
		return err
	}
	if !free {
		return errors.New("a balancer holds the folder: it sets aside by itself what it can't use")
	}
	n, err := durable.Repair(folder, func(text string, keys ...any) {
		fmt.Print(text)
		for i := 0; i+1 < len(keys); i += 2 {
			fmt.Printf(" %v=%v", keys[i], keys[i+1])
		}
		fmt.Println()
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d files set aside\n", n)
	return nil
}

// crashCmd is lab crash.
type crashCmd struct {
	Upstreams int    `help:"Upstreams of the balancer whose states are saved." default:"12"`
	Rounds    int    `help:"Saves of each kind." default:"4"`
	Every     int    `help:"Try one case in so many, drawn by the seed; 1: all." default:"1"`
	Again     int    `help:"Cut the power again in one recovery of so many; 0: never." default:"100"`
	Seed      uint64 `help:"Draws states and cases." default:"1"`
}

// Run carries it out.
func (c *crashCmd) Run() error {
	if c.Upstreams < 1 || c.Upstreams > 5000 || c.Rounds < 1 || c.Rounds > 100 || c.Every < 1 || c.Again < 0 {
		return errors.New("--upstreams: 1 to 5000; --rounds: 1 to 100; --every: 1 and more; --again: 0 and more")
	}
	r, err := crash.Run(crash.Saves(c.Rounds, c.Upstreams, c.Seed), c.Every, c.Again, c.Seed)
	if err != nil {
		return err
	}
	fmt.Printf("%d cases: power cut %d, byte flipped %d, power cut again in the recovery %d\n", r.Cases(), r.Cuts, r.Flips, r.Again)
	fmt.Printf("states read: the newest %d times, the one before %d, none where none had been saved %d\n", r.Newest, r.Before, r.Nothing)
	for _, w := range r.Wrong {
		fmt.Println("WRONG:", w)
	}
	if len(r.Wrong) > 0 {
		return fmt.Errorf("%w: a state was lost, or one read that was never written", errClaim)
	}
	fmt.Println("every one was written, and none that was safe was lost")
	return nil
}
