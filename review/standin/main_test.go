//go:build review

// Package standin is the program of the review's cases. It starts a balancer as a process, plays discovery, upstreams and
// clients beside it, and judges a rule by what they see. It is a test file so that neither the build nor the default test
// run includes it; review/build.sh builds it.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld     = 0 // the rule held
	exitBroken   = 1 // the rule was broken
	exitCouldNot = 2 // the case could not run
)

// cases maps the names of the cases to the functions that play them. Each returns how often the rule was broken. The file of a
// case adds it.
var cases = map[string]func(*play) (broken int){}

// TestMain plays the case that CASE names. RECORD names the record's file, and TROUBLE=0 leaves the disruption out.
func TestMain(*testing.M) { os.Exit(runCase()) }

func runCase() (code int) {
	run := cases[os.Getenv("CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		return exitCouldNot
	}
	defer func() {
		if reason := recover(); reason != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", reason)
			code = exitCouldNot
		}
	}()
	p := newPlay(os.Getenv("RECORD"), os.Getenv("TROUBLE") != "0")
	defer p.close()
	broken := run(p)
	if !p.balancer.isRunning() {
		panic("the balancer has ended")
	}
	p.record("result: the rule was broken %d times (disruption: %v)", broken, p.trouble)
	fmt.Printf("%s: broken %d times (disruption: %v)\n", os.Getenv("CASE"), broken, p.trouble)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
