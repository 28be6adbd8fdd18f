package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"sprucehill/internal/membership"
)

// membersCmd is members.
type membersCmd struct {
	Addresses []string      `arg:"" help:"Management addresses of balancers, host:port; what each sees is compared."`
	Watch     time.Duration `help:"Show it anew after each such time, until interrupted."`
	JSON      bool          `name:"json" help:"Write it as JSON."`
}

// memberView is what one balancer sees of its fleet.
type memberView struct {
	Address string
	Error   string             `json:",omitempty"` // why there is no view
	Digest  string             `json:",omitempty"` // equal for equal views
	Status  *membership.Status `json:",omitempty"`
}

// Run carries it out. It exits with 1 if a balancer gives no view, or two see different fleets.
func (c *membersCmd) Run(ctx context.Context) error {
	return watch(ctx, c.Watch, c.JSON, func() []memberView { return askAll(ctx, c.Addresses, oneView) }, showMembers, agreed)
}

// agreed tells whether all see the same.
func agreed(all []memberView) error {
	for _, v := range all {
		switch {
		case v.Error != "":
			return fmt.Errorf("%w: %s: %s", errClaim, v.Address, v.Error)
		case v.Digest != all[0].Digest:
			return fmt.Errorf("%w: %s and %s see different fleets", errClaim, all[0].Address, v.Address)
		}
	}
	return nil
}

func oneView(ctx context.Context, address string) memberView {
	v := memberView{Address: address}
	lines, err := callOperators(ctx, address, "members")
	switch {
	case err != nil:
		v.Error = err.Error()
		return v
	case strings.HasPrefix(lines[0], "NO "):
		v.Error = lines[0]
		return v
	}
	status, digest, err := membership.ReadStatus(lines)
	if err != nil {
		v.Error = err.Error()
		return v
	}
	v.Digest, v.Status = fmt.Sprintf("%x", digest), &status
	return v
}

// showMembers writes what the first that has a view sees, and how each of those asked sees its fleet.
func showMembers(w io.Writer, all []memberView) {
	rows := [][]any{{"asked", "is", "sees", "digest", "same", "differ", "lost", "divides by", "safely by", "rank", ""}}
	var first *membership.Status
	for _, v := range all {
		if v.Status == nil {
			rows = append(rows, []any{v.Address, v.Error})
			continue
		}
		s, notes := v.Status, []string{}
		if first == nil {
			first = s
		}
		if s.Fenced {
			notes = append(notes, "another process of this name counts")
		}
		if s.Minority {
			notes = append(notes, "no majority is seen")
		}
		rows = append(rows, []any{v.Address, s.Self.Name, len(s.View.Members), v.Digest, s.Same, s.Other, s.Lost,
			s.Division.Balancers, s.Division.Most, s.Division.Rank, strings.Join(notes, ", ")})
	}
	table(w, rows...)
	if first == nil {
		return
	}
	fmt.Fprintln(w)
	rows = [][]any{{"member", "state", "zone", "region", "version", "config", "incarnation", "at"}}
	for _, m := range first.View.Members {
		rows = append(rows, []any{m.Name, m.State, m.Zone, m.Region, m.Version, fmt.Sprintf("%x", m.Config), m.Incarnation, m.Address})
	}
	table(w, rows...)
}
