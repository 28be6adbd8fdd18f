package main

import (
	"context"
	"fmt"

	"sprucehill/internal/lab/explore"
	"sprucehill/internal/lab/leases"
)

// exploreCmd is lab explore.
type exploreCmd struct {
	Voters     int    `default:"3" help:"Voters, 2 to 5."`
	Candidates int    `default:"2" help:"Voters that want the role."`
	Crashes    int8   `default:"1" help:"Starts of a process anew, in all."`
	Depth      int    `default:"12" help:"Steps to look ahead."`
	States     int    `default:"1000000" help:"States to look at, at most; about 1 kB of memory each at the edge."`
	Broken     string `default:"none" enum:"none,forgetful,greedy,deaf" help:"Take a rule out: a voter that starts again does not wait, a holder holds too long, a term is granted twice."`
	JSON       bool   `name:"json" help:"Write the result as JSON."`
}

// Run carries it out. It exits with 1 if it finds a state that must not be.
func (c *exploreCmd) Run(context.Context) error {
	if c.Voters < 2 || c.Voters > leases.MostVoters || c.Candidates < 1 || c.Candidates > c.Voters || c.Depth < 1 || c.States < 1 {
		return fmt.Errorf("2 to %d voters, 1 to as many candidates, and at least one step and state", leases.MostVoters)
	}
	r := explore.Search(leases.Model{Voters: c.Voters, Candidates: c.Candidates, Crashes: c.Crashes, Broken: leases.Broken{
		Forgetful: c.Broken == "forgetful", Greedy: c.Broken == "greedy", Deaf: c.Broken == "deaf"}}, c.Depth, c.States)
	if c.JSON {
		if err := writeJSON(r); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d states, all that can be reached in %d steps\n", r.States, r.Depth)
		for i, what := range r.Trace {
			fmt.Printf("%3d  %s\n", i+1, what)
		}
	}
	if r.Wrong != nil {
		return fmt.Errorf("%w: %w", errClaim, r.Wrong)
	}
	return nil
}
