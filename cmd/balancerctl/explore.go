package main

import (
	"context"
	"fmt"

	"sprucehill/internal/lab/explore"
	"sprucehill/internal/lab/leases"
)

// exploreCmd is the command "lab explore".
type exploreCmd struct {
	Voters     int    `default:"3" help:"Voters, 2 to 5."`
	Candidates int    `default:"2" help:"Voters that want the role."`
	Crashes    int8   `default:"1" help:"Starts of a process anew, in all."`
	Depth      int    `default:"12" help:"Steps to look ahead."`
	States     int    `default:"1000000" help:"States to look at, at most; about 1 kB of memory each at the edge."`
	Broken     string `default:"none" enum:"none,forgetful,greedy,deaf" help:"Take a rule out: a voter that starts again does not wait, a holder holds too long, a term is granted twice."`
	JSON       bool   `name:"json" help:"Write the result as JSON."`
}

// Run searches and reports. It returns errCheckFailed if it finds a state that violates the invariant.
func (c *exploreCmd) Run(context.Context) error {
	if !c.isValid() {
		return fmt.Errorf("2 to %d voters, 1 to as many candidates, and at least one step and state", leases.MaxVoters)
	}
	result := explore.Search(c.model(), explore.Limits{Depth: c.Depth, States: c.States})
	if err := c.report(result); err != nil {
		return err
	}
	if result.Violation != nil {
		return fmt.Errorf("%w: %w", errCheckFailed, result.Violation)
	}
	return nil
}

func (c *exploreCmd) isValid() bool {
	return c.Voters >= 2 && c.Voters <= leases.MaxVoters &&
		c.Candidates >= 1 && c.Candidates <= c.Voters &&
		c.Depth >= 1 && c.States >= 1
}

// model returns the model that the flags describe.
func (c *exploreCmd) model() leases.Model {
	return leases.Model{
		Voters:      c.Voters,
		Candidates:  c.Candidates,
		MaxRestarts: c.Crashes,
		Mutations: leases.Mutations{
			SkipRestartWait: c.Broken == "forgetful",
			OverlongHold:    c.Broken == "greedy",
			RegrantTerm:     c.Broken == "deaf",
		},
	}
}

func (c *exploreCmd) report(result explore.Result) error {
	if c.JSON {
		return writeJSON(result)
	}
	fmt.Printf("%d states, all that can be reached in %d steps\n", result.States, result.Depth)
	for i, label := range result.Trace {
		fmt.Printf("%3d  %s\n", i+1, label)
	}
	return nil
}
