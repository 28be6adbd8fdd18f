package membership

import (
	"fmt"
	"io"
	"strings"
)

// Formats of the lines in the response to the management call members, for both writing and parsing.
const (
	selfLineFormat   = "self %q incarnation %d state %s fenced %t minority %t digest %x same %d differ %d lost %d refused %d complaints %d balancers %d rank %d most %d"
	memberLineFormat = "member %q incarnation %d state %s zone %q region %q version %q capacity %d config %x at %s"
)

// Write writes the response to the management call members: a line for this member and one for each member in the view. It
// returns the first error of w.
func (s Status) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, selfLineFormat+"\n",
		s.Self.Name, s.Self.Incarnation, s.Self.State,
		s.Fenced, s.Minority, s.View.Digest(),
		s.Agreeing, s.Diverging, s.Lost, s.RejectedMessages, s.TransportErrors,
		s.FleetSize.RoutingDivisor, s.FleetSize.Rank, s.FleetSize.BudgetDivisor)
	if err != nil {
		return err
	}
	for _, m := range s.View.Members {
		_, err := fmt.Fprintf(w, memberLineFormat+"\n",
			m.Name, m.Incarnation, m.State,
			m.Zone, m.Region, m.Version,
			m.Capacity, m.Config, m.Address)
		if err != nil {
			return err
		}
	}
	return nil
}

// ReadStatus parses the lines that Write has written, without their line feeds. It also returns the digest of the writer's
// view, which the line on the writer states. The error quotes the first line that can't be parsed.
func ReadStatus(lines []string) (s Status, viewDigest uint64, err error) {
	for _, line := range lines {
		if strings.HasPrefix(line, "self ") {
			viewDigest, err = s.readSelfLine(line)
		} else {
			err = s.readMemberLine(line)
		}
		if err != nil {
			return Status{}, 0, fmt.Errorf("parsing membership status line %q: %w", line, err)
		}
	}
	return s, viewDigest, nil
}

func (s *Status) readSelfLine(line string) (viewDigest uint64, err error) {
	var m Member
	var state string
	_, err = fmt.Sscanf(line, selfLineFormat,
		&m.Name, &m.Incarnation, &state,
		&s.Fenced, &s.Minority, &viewDigest,
		&s.Agreeing, &s.Diverging, &s.Lost, &s.RejectedMessages, &s.TransportErrors,
		&s.FleetSize.RoutingDivisor, &s.FleetSize.Rank, &s.FleetSize.BudgetDivisor)
	m.State = parseState(state)
	s.Self = m
	return viewDigest, err
}

func (s *Status) readMemberLine(line string) error {
	var m Member
	var state string
	_, err := fmt.Sscanf(line, memberLineFormat,
		&m.Name, &m.Incarnation, &state,
		&m.Zone, &m.Region, &m.Version,
		&m.Capacity, &m.Config, &m.Address)
	m.State = parseState(state)
	s.View.Members = append(s.View.Members, m)
	return err
}
