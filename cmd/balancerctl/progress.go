package main

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/term"

	"sprucehill/internal/lab/scenario"
)

// progress shows the progress of a run, if standard error is a terminal.
type progress struct {
	length time.Duration // of the day; 0: unknown
	on     bool          // standard error is a terminal
}

// newProgress returns the progress of a day; nil: the run is not of one day, and at must not be called.
func newProgress(d *scenario.Scenario) *progress {
	p := &progress{on: term.IsTerminal(int(os.Stderr.Fd()))}
	if d != nil {
		p.length = d.Length.D()
	}
	return p
}

// say shows a text in place of the one before.
func (p *progress) say(what string) {
	if p.on {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%s ...", what)
	}
}

// at shows how much time of the day has passed.
func (p *progress) at(t time.Duration) {
	p.say(fmt.Sprintf("%3.0f%%  %v of %v", 100*t.Seconds()/p.length.Seconds(), t.Round(time.Second), p.length))
}

// end removes the text that is shown.
func (p *progress) end() {
	if p.on {
		fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
}
