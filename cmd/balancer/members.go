package main

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/fleet"
	"sprucehill/internal/membership"
	"sprucehill/internal/proxy"
	"sprucehill/internal/savedstate"
)

const (
	// kindMembers is the kind of the stored record of the membership.
	kindMembers = "members"
	// versionMembers is the version of its payload, a membershipRecord.
	versionMembers = 1
)

// membershipRecord is what outlives the process. A later process must take a higher incarnation, whatever its clock says,
// and divides budgets by no smaller fleet until it has seen the fleet itself. The JSON keys are those of stored records.
type membershipRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Balancers   int    `json:"balancers"` // divisor of budgets
}

// membershipStore persists the membershipRecord. Without a writer it persists nothing.
type membershipStore struct{ writer savedstate.Writer }

// nextRecord returns the record to start with: the next incarnation, which is on disk when this returns unless that
// failed, and the size of the fleet before.
func (s membershipStore) nextRecord() membershipRecord {
	next := membershipRecord{Incarnation: uint64(time.Now().UnixMilli())}
	if s.writer == nil {
		return next
	}
	last := s.load()
	next.Incarnation = max(next.Incarnation, last.Incarnation+1)
	next.Balancers = last.Balancers
	if err := s.saveSync(next); err != nil {
		slog.Error("saving incarnation failed", "incarnation", next.Incarnation, "err", err)
	}
	return next
}

// load returns the record on disk, or an empty one if there is none or it is invalid.
func (s membershipStore) load() membershipRecord {
	stored, ok := s.writer.Load(kindMembers)
	if !ok {
		return membershipRecord{}
	}
	var last membershipRecord
	err := json.Unmarshal(stored.Payload, &last)
	if err != nil || last.Balancers < 0 || last.Incarnation == math.MaxUint64 {
		slog.Error("record ignored", "kind", kindMembers, "generation", stored.Generation, "err", err)
		return membershipRecord{}
	}
	return last
}

// saveSync persists a record before it returns.
func (s membershipStore) saveSync(record membershipRecord) error {
	payload, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return s.writer.SaveSync(kindMembers, versionMembers, time.Now(), payload)
}

// save persists a record in the background.
func (s membershipStore) save(record membershipRecord) {
	if s.writer == nil {
		return
	}
	encode := func() ([]byte, error) { return json.Marshal(record) }
	s.writer.Save(kindMembers, versionMembers, time.Now(), encode)
}

// fleetMember is this balancer's part in the fleet. node is nil if the fleet file names no seeds.
type fleetMember struct{ node *membership.Node }

// joinFleet joins the fleet that the file names seeds of.
func joinFleet(c *proxy.Config, file fleet.File, server *proxy.Proxy) (fleetMember, error) {
	if !file.Membership.Enabled() {
		return fleetMember{}, nil
	}
	store := membershipStore{c.StateWriter}
	record := store.nextRecord()
	node, err := membership.Start(membership.Options{
		Self:         ownMember(c, file, record.Incarnation),
		Listen:       file.Membership.Listen,
		Advertise:    file.Membership.Advertise,
		Seeds:        file.Membership.Seeds,
		KeyFile:      file.Membership.KeyFile,
		Configured:   membership.Placement{Serving: c.Settings.Balancers, Rank: c.Settings.Rank},
		PreviousSize: record.Balancers,
		Log:          slog.Info,
		CurrentState: func() membership.State { return memberState(server) },
		OnFleetSize: func(incarnation uint64, size membership.FleetSize) error {
			store.save(membershipRecord{Incarnation: incarnation, Balancers: size.BudgetDivisor})
			return server.SetFleetSize(balancer.FleetSize{Balancers: size.RoutingDivisor, Rank: size.Rank, MaxBalancers: size.BudgetDivisor})
		},
	})
	return fleetMember{node}, err
}

// ownMember is what this process publishes to the fleet.
func ownMember(c *proxy.Config, file fleet.File, incarnation uint64) membership.Member {
	region, zone, hasRegion := strings.Cut(c.Settings.Zone, "/")
	if !hasRegion {
		region = ""
		zone = c.Settings.Zone
	}
	return membership.Member{
		Name:        c.Name,
		Incarnation: incarnation,
		Zone:        zone,
		Region:      region,
		Version:     version(),
		Config:      file.Digest,
		Successor:   os.Getenv("RELAY_FD") != "",
	}
}

// memberState translates the balancer's state.
func memberState(server *proxy.Proxy) membership.State {
	switch _, state := server.Ready(); state {
	case "serving":
		return membership.Serving
	case "draining":
		return membership.Draining
	case "stopping":
		return membership.Leaving
	}
	return membership.Joining
}

// version is the start of the revision that the program was built from.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}

func (m fleetMember) close() {
	if m.node == nil {
		return
	}
	if err := m.node.Close(); err != nil {
		slog.Error("leaving membership failed", "err", err)
	}
}

// managementTarget is what operators' calls reach: the proxy and the membership.
type managementTarget struct {
	*proxy.Proxy
	member fleetMember
}

// WriteMetrics writes the metrics of the proxy and of the membership.
func (t managementTarget) WriteMetrics(w io.Writer) error {
	if err := t.Proxy.WriteMetrics(w); err != nil {
		return err
	}
	if t.member.node == nil {
		return nil
	}
	return t.member.node.Status().WriteMetrics(w)
}

// WriteMembers writes the members of the fleet as this balancer sees them.
func (t managementTarget) WriteMembers(w io.Writer) error {
	if t.member.node == nil {
		return errors.New("there is no membership: the fleet file names no seeds")
	}
	return t.member.node.Status().Write(w)
}
