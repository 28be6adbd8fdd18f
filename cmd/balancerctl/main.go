// Command balancerctl queries and controls running balancers, inspects and repairs their state folders, and runs the lab:
// scenarios of an emulated fleet, comparisons of two versions, and searches for violations of the fleet's rules.
//
// It exits with 0 on success, 1 if a check failed (a rule was violated, a comparison was not as expected, a balancer refused
// a call), and 2 if the input is invalid or the machine is too small for the run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

// The exit codes.
const (
	exitOK          = 0
	exitCheckFailed = 1
	exitUnusable    = 2 // the input is invalid, or the machine is too small for the run
)

// errCheckFailed means that a command ran to its end and its check failed. The exit code is exitCheckFailed.
var errCheckFailed = errors.New("check failed")

// cli defines the commands and flags for kong.
type cli struct {
	Lab struct {
		Run   runCmd   `cmd:"" help:"Run a scenario and report its results."`
		Check checkCmd `cmd:"" help:"Check whether a scenario file is valid."`
		Show  showCmd  `cmd:"" help:"Show a scenario's fleet, network, load and faults as tables."`

		Compare compareCmd `cmd:"" help:"Run a scenario with the same seeds on two sides and report which differences are statistically significant."`
		Scale   scaleCmd   `cmd:"" help:"Model a scenario on fleets of several sizes, and report and plot the cost of each."`
		Explore exploreCmd `cmd:"" help:"Search the reachable states of the lease protocol for one in which two members hold the same role."`
		Crash   crashCmd   `cmd:"" help:"Simulate a power loss at every byte that is written to a state folder and a flip of every byte, and check what is read afterwards."`
	} `cmd:"" help:"Run scenarios of an emulated fleet with regions, faults and clients, and check that no rule is violated."`

	Call   callCmd   `cmd:"" help:"Make a call to a balancer's management address."`
	Status statusCmd `cmd:"" help:"Show the status of several balancers side by side."`

	Members membersCmd `cmd:"" help:"Show the members of the fleet as several balancers see them."`

	State stateCmd `cmd:"" help:"List, verify, export and repair the records that a balancer has on disk."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print the shell completion script of this command, to be added to the start-up file of your shell."`
}

// about is the description in the help text.
const about = `Queries and controls balancers, and tests them in a lab.

A scenario is a TOML file: a fleet in regions and zones, its clients, and a schedule of faults. To begin:

    balancerctl lab show examples/quickstart.toml
    balancerctl lab run examples/quickstart.toml

It exits with 0 on success, 1 if a rule was violated or a check failed, and 2 if the input is invalid.`

func main() { os.Exit(run(os.Args[1:])) }

// run parses and executes a command line and returns the exit code.
func run(args []string) int {
	var c cli
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser, err := kong.New(&c, kong.Name("balancerctl"), kong.Description(about), kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sprucehill:", err)
		return exitUnusable
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*.toml")))
	call, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sprucehill: %v\nrun balancerctl --help for usage\n", err)
		return exitUnusable
	}
	switch err := call.Run(ctx); {
	case err == nil:
		return exitOK
	case errors.Is(err, errCheckFailed):
		fmt.Fprintln(os.Stderr, "sprucehill:", err)
		return exitCheckFailed
	default:
		fmt.Fprintln(os.Stderr, "sprucehill:", err)
		return exitUnusable
	}
}
