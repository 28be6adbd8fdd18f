package main

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/term"

	"sprucehill/internal/lab/day"
)

// progress shows how far a run is, if standard error is a terminal.
type progress struct {
	length time.Duration // of the day; 0: not known
	on     bool
}

// newProgress is for a day, or for what is not one day: nil.
func newProgress(d *day.Day) *progress {
	p := &progress{on: term.IsTerminal(int(os.Stderr.Fd()))}
	if d != nil {
		p.length = d.Length.D()
	}
	return p
}

// say shows what is being done.
func (p *progress) say(what string) {
	if p.on {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%s ...", what)
	}
}

// at shows the time of the day that has passed.
func (p *progress) at(t time.Duration) {
	p.say(fmt.Sprintf("%3.0f%%  %v of %v", 100*t.Seconds()/p.length.Seconds(), t.Round(time.Second), p.length))
}

// end removes what is shown.
func (p *progress) end() {
	if p.on {
		fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
}
