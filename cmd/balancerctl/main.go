// Command balancerctl is for the operators and engineers of the balancer. Its lab plays scenarios, called days, of an
// emulated fleet.
//
// It exits with 0 on success, 1 if a check failed (a rule was broken, a comparison was not as expected, a balancer refused a
// call), and 2 if the input can't be used or the machine is too small for the run.
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
	exitOK          = 0 // success
	exitCheckFailed = 1 // a check failed
	exitUnusable    = 2 // the input can't be used, or the machine is too small for the run
)

// errCheckFailed means that a command was carried out and its check failed. The exit code is exitCheckFailed.
var errCheckFailed = errors.New("the claim failed")

// cli is the command line.
type cli struct {
	Lab struct {
		Run   runCmd   `cmd:"" help:"Play a day and report what came of it."`
		Check checkCmd `cmd:"" help:"Tell whether a day file can be used."`
		Show  showCmd  `cmd:"" help:"Show a day's fleet, network, load and timetable as tables."`

		Compare compareCmd `cmd:"" help:"Play the same days and seeds on two sides and tell which differences are beyond noise."`
		Scale   scaleCmd   `cmd:"" help:"Model a day on fleets of several sizes and plot what each costs."`
		Explore exploreCmd `cmd:"" help:"Search all that may happen to a role that one member alone may hold."`
		Crash   crashCmd   `cmd:"" help:"Cut the power of a state folder at every byte, flip every byte, and look what is read."`
	} `cmd:"" help:"Play days of an emulated fleet: regions, faults, clients, and a checker of the rules."`

	Call   callCmd   `cmd:"" help:"Make an operators' call at a balancer's management address."`
	Status statusCmd `cmd:"" help:"Show what several balancers say of themselves, side by side."`

	Members membersCmd `cmd:"" help:"Show which balancers there are, as several of them see it."`

	State stateCmd `cmd:"" help:"Look at the records that a balancer has on disk, check and repair them."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Write the completion of this command for your shell, to be put in its start file."`
}

const about = `The command of the load balancer's operators and engineers.

A day is a TOML file: a fleet in regions and zones, its clients, and a timetable of faults. To begin:

    balancerctl lab show examples/quickstart.toml
    balancerctl lab run examples/quickstart.toml

It exits with 0 if all is good, 1 if a rule was broken or a claim failed, and 2 if the input can't be used.`

func main() { os.Exit(run(os.Args[1:])) }

// run runs a command line and returns the exit code.
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
		fmt.Fprintf(os.Stderr, "sprucehill: %v\nsprucehill --help tells more\n", err)
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
