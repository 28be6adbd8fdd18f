package main

import (
	"fmt"
	"io"
	"time"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/check"
)

const (
	// maxShownTraceLines bounds how many lines of a violation's history are printed. The report has more, and history.txt all.
	maxShownTraceLines = 12
	// maxShownViolations bounds how many violations are printed in full.
	maxShownViolations = 5
)

// showViolations writes how often each rule was violated, and the histories of the first violations.
func showViolations(w io.Writer, r *lab.Result) {
	for _, rule := range check.Rules {
		if n := r.Summary.Broken[rule]; n > 0 {
			fmt.Fprintf(w, "RULE BROKEN: %s, %d times\n", rule, n)
		}
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no rule was broken")
		return
	}
	for _, v := range r.Violations[:min(maxShownViolations, len(r.Violations))] {
		fmt.Fprintf(w, "\n%s at %v: %s\n", v.Rule, v.At.Round(time.Millisecond), v.Description)
		for _, e := range v.Trace[max(0, len(v.Trace)-maxShownTraceLines):] {
			fmt.Fprintln(w, "  ", e.Describe(r.Scenario, r.Fleet))
		}
	}
}
