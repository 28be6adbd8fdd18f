package main

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/term"

	"sprucehill/internal/lab/scenario"
)

// progress shows the progress of a command on standard error, if that is a terminal.
type progress struct {
	length  time.Duration // of the scenario; 0: unknown
	enabled bool          // whether standard error is a terminal
}

// newProgress returns the progress of a scenario. sc may be nil; then showElapsed must not be called.
func newProgress(sc *scenario.Scenario) *progress {
	p := &progress{enabled: term.IsTerminal(int(os.Stderr.Fd()))}
	if sc != nil {
		p.length = sc.Length.D()
	}
	return p
}

// show replaces the text that is shown.
func (p *progress) show(text string) {
	if p.enabled {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%s ...", text)
	}
}

// showElapsed shows how much of the scenario's time has passed.
func (p *progress) showElapsed(elapsed time.Duration) {
	p.show(fmt.Sprintf("%3.0f%%  %v of %v", 100*elapsed.Seconds()/p.length.Seconds(), elapsed.Round(time.Second), p.length))
}

// clear removes the text that is shown.
func (p *progress) clear() {
	if p.enabled {
		fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
}
