package membership

import (
	"fmt"
	"io"
	"strings"
)

// The two kinds of line that members answers, for both writing and reading.
const (
	selfForm   = "self %q incarnation %d state %s fenced %t minority %t digest %x same %d differ %d lost %d refused %d complaints %d balancers %d rank %d most %d"
	memberForm = "member %q incarnation %d state %s zone %q region %q version %q capacity %d config %x at %s"
)

// Write writes the status, one line on this member and one on each that counts.
func (s Status) Write(w io.Writer) error {
	d := s.Division
	if _, err := fmt.Fprintf(w, selfForm+"\n", s.Self.Name, s.Self.Incarnation, s.Self.State, s.Fenced, s.Minority, s.View.Digest(),
		s.Same, s.Other, s.Lost, s.Refused, s.Grumbles, d.Balancers, d.Rank, d.Most); err != nil {
		return err
	}
	for _, m := range s.View.Members {
		if _, err := fmt.Fprintf(w, memberForm+"\n", m.Name, m.Incarnation, m.State, m.Zone, m.Region, m.Version, m.Capacity,
			m.Config, m.Address); err != nil {
			return err
		}
	}
	return nil
}

// ReadStatus reads what Write has written, as lines without their ends, and the digest of the view that stands there.
func ReadStatus(lines []string) (s Status, digest uint64, err error) {
	for _, line := range lines {
		var state string
		m, d, self := Member{}, &s.Division, strings.HasPrefix(line, "self ")
		if self {
			_, err = fmt.Sscanf(line, selfForm, &m.Name, &m.Incarnation, &state, &s.Fenced, &s.Minority, &digest,
				&s.Same, &s.Other, &s.Lost, &s.Refused, &s.Grumbles, &d.Balancers, &d.Rank, &d.Most)
		} else {
			_, err = fmt.Sscanf(line, memberForm, &m.Name, &m.Incarnation, &state, &m.Zone, &m.Region, &m.Version, &m.Capacity,
				&m.Config, &m.Address)
		}
		if err != nil {
			return Status{}, 0, fmt.Errorf("%q is no line on a member: %w", line, err)
		}
		for i, name := range states {
			if name == state {
				m.State = State(i)
			}
		}
		if self {
			s.Self = m
		} else {
			s.View.Members = append(s.View.Members, m)
		}
	}
	return s, digest, nil
}

// WriteFigures writes the figures of vars, one to a line.
func (s Status) WriteFigures(w io.Writer) error {
	in := map[State]int{}
	for _, m := range s.View.Members {
		in[m.State]++
	}
	for i, name := range states {
		if _, err := fmt.Fprintf(w, "svc_members{state=%q} %d\n", name, in[State(i)]); err != nil {
			return err
		}
	}
	flag := map[bool]int{true: 1}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"svc_members_lost", s.Lost}, {"svc_members_agreeing", s.Same}, {"svc_members_differing", s.Other},
		{"svc_members_fenced", flag[s.Fenced]}, {"svc_members_minority", flag[s.Minority]},
		{"svc_members_refused", s.Refused}, {"svc_members_complaints", s.Grumbles}, {"svc_members_divisor", s.Division.Balancers},
		{"svc_members_divisor_safe", s.Division.Most}, {"svc_members_view_age_s", int(s.Age.Seconds())},
	} {
		if _, err := fmt.Fprintf(w, "%s %d\n", f.name, f.value); err != nil {
			return err
		}
	}
	return nil
}
