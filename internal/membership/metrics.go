package membership

import (
	"fmt"
	"io"
)

// WriteMetrics writes the metrics of the membership, one per line. It returns the first error of w.
func (s Status) WriteMetrics(w io.Writer) error {
	if err := s.writeStateCounts(w); err != nil {
		return err
	}
	for _, metric := range []struct {
		name  string
		value int
	}{
		{"svc_members_lost", s.Lost},
		{"svc_members_agreeing", s.Agreeing},
		{"svc_members_differing", s.Diverging},
		{"svc_members_fenced", boolMetrics[s.Fenced]},
		{"svc_members_minority", boolMetrics[s.Minority]},
		{"svc_members_refused", s.RejectedMessages},
		{"svc_members_complaints", s.TransportErrors},
		{"svc_members_divisor", s.FleetSize.RoutingDivisor},
		{"svc_members_divisor_safe", s.FleetSize.BudgetDivisor},
		{"svc_members_view_age_s", int(s.ViewAge.Seconds())},
	} {
		if _, err := fmt.Fprintf(w, "%s %d\n", metric.name, metric.value); err != nil {
			return err
		}
	}
	return nil
}

// writeStateCounts writes the number of members in each state.
func (s Status) writeStateCounts(w io.Writer) error {
	counts := map[State]int{}
	for _, m := range s.View.Members {
		counts[m.State]++
	}
	for i, name := range stateNames {
		if _, err := fmt.Fprintf(w, "svc_members{state=%q} %d\n", name, counts[State(i)]); err != nil {
			return err
		}
	}
	return nil
}

// boolMetrics maps a truth value to the value of its metric.
var boolMetrics = map[bool]int{false: 0, true: 1}
