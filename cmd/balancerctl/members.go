package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"sprucehill/internal/membership"
)

// membersCmd is the command "members".
type membersCmd struct {
	fleetQuery
}

// memberView is one balancer's view of its fleet. The field names are its JSON keys.
type memberView struct {
	Address string
	Error   string             `json:",omitempty"` // why there is no view
	Digest  string             `json:",omitempty"` // hexadecimal; equal for equal views
	Status  *membership.Status `json:",omitempty"`
}

// Run shows the balancers' views. It returns errCheckFailed if a view is missing or two views differ.
func (c *membersCmd) Run(ctx context.Context) error {
	report := fleetReport[memberView]{query: fetchMemberView, show: showMembers, check: checkViewsAgree}
	return report.run(ctx, c.fleetQuery)
}

// checkViewsAgree returns errCheckFailed unless all balancers reported the same view.
func checkViewsAgree(views []memberView) error {
	for _, v := range views {
		switch {
		case v.Error != "":
			return fmt.Errorf("%w: %s: %s", errCheckFailed, v.Address, v.Error)
		case v.Digest != views[0].Digest:
			return fmt.Errorf("%w: %s and %s have different views of the fleet", errCheckFailed, views[0].Address, v.Address)
		}
	}
	return nil
}

// fetchMemberView queries a balancer for its view.
func fetchMemberView(ctx context.Context, address string) memberView {
	lines, err := callForLines(ctx, address, "members")
	if err != nil {
		return memberView{Address: address, Error: err.Error()}
	}
	if strings.HasPrefix(lines[0], refusalPrefix) {
		return memberView{Address: address, Error: lines[0]}
	}
	status, digest, err := membership.ReadStatus(lines)
	if err != nil {
		return memberView{Address: address, Error: err.Error()}
	}
	return memberView{Address: address, Digest: fmt.Sprintf("%x", digest), Status: &status}
}

// showMembers writes a table with a row for each balancer that was queried, and one of the members in the first view that
// was received.
func showMembers(w io.Writer, views []memberView) {
	rows := [][]any{{"asked", "is", "sees", "digest", "same", "differ", "lost", "divides by", "safely by", "rank", ""}}
	for _, v := range views {
		rows = append(rows, memberViewRow(v))
	}
	writeTable(w, rows...)
	first := slices.IndexFunc(views, func(v memberView) bool { return v.Status != nil })
	if first < 0 {
		return
	}
	fmt.Fprintln(w)
	rows = [][]any{{"member", "state", "zone", "region", "version", "config", "incarnation", "at"}}
	for _, m := range views[first].Status.View.Members {
		rows = append(rows, []any{m.Name, m.State, m.Zone, m.Region, m.Version, fmt.Sprintf("%x", m.Config), m.Incarnation, m.Address})
	}
	writeTable(w, rows...)
}

// memberViewRow returns the row of one balancer in the table of showMembers.
func memberViewRow(v memberView) []any {
	s := v.Status
	if s == nil {
		return []any{v.Address, v.Error}
	}
	var notes []string
	if s.Fenced {
		notes = append(notes, "another process of this name counts")
	}
	if s.Minority {
		notes = append(notes, "no majority is seen")
	}
	return []any{
		v.Address, s.Self.Name, len(s.View.Members), v.Digest,
		s.Agreeing, s.Diverging, s.Lost,
		s.FleetSize.RoutingDivisor, s.FleetSize.BudgetDivisor, s.FleetSize.Rank,
		strings.Join(notes, ", "),
	}
}
