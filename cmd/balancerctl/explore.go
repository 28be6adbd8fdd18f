package main

import (
	"context"
	"fmt"

	"sprucehill/internal/lab/explore"
	"sprucehill/internal/lab/leases"
)

// exploreCmd is the command "lab explore".
type exploreCmd struct {
	Voters     int    `default:"3" help:"Number of voters, 2 to 5."`
	Candidates int    `default:"2" help:"Number of voters that try to acquire the role."`
	Crashes    int8   `default:"1" help:"Maximum number of process restarts in total."`
	Depth      int    `default:"12" help:"Maximum number of steps from the initial state."`
	States     int    `default:"1000000" help:"Maximum number of states; each state of the search frontier takes about 1 kB of memory."`
	Broken     string `default:"none" enum:"none,forgetful,greedy,deaf" help:"Disable a rule of the protocol. forgetful: a restarted voter does not wait; greedy: a holder keeps the lease too long; deaf: a voter grants a term twice."`
	JSON       bool   `name:"json" help:"Write the result as JSON."`
}

// Run searches the states of the model and prints the result. It returns errCheckFailed if a state violates the invariant.
func (c *exploreCmd) Run(context.Context) error {
	if !c.isValid() {
		return fmt.Errorf("flag out of range: --voters must be 2 to %d, --candidates 1 to the number of voters, --depth and --states at least 1", leases.MaxVoters)
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

// model returns the model that the flags define.
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

// report prints the size of the search and the shortest path to a violation.
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
