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
	// kindMembers is the kind of the membership record in the state folder.
	kindMembers = "members"
	// versionMembers is the version of that record's payload, a membershipRecord in JSON.
	versionMembers = 1
)

// membershipRecord is the membership state that is kept across restarts. A restarted process must take a higher incarnation
// than its predecessor, whatever its clock says, and must not divide budgets by a smaller fleet size until it has observed the
// fleet itself. The JSON keys are part of the stored format.
type membershipRecord struct {
	Incarnation   uint64 `json:"incarnation"`
	BudgetDivisor int    `json:"balancers"`
}

// membershipStore saves and loads the membershipRecord. If writer is nil, there is no state folder and nothing is saved.
type membershipStore struct{ writer savedstate.Writer }

// nextRecord returns the record of this process: the next incarnation, and the budget divisor of the previous process. Unless
// saving it fails, which is logged, the record is on disk when nextRecord returns.
func (s membershipStore) nextRecord() membershipRecord {
	next := membershipRecord{Incarnation: uint64(time.Now().UnixMilli())}
	if s.writer == nil {
		return next
	}
	previous := s.load()
	next.Incarnation = max(next.Incarnation, previous.Incarnation+1)
	next.BudgetDivisor = previous.BudgetDivisor
	if err := s.saveSync(next); err != nil {
		slog.Error("saving incarnation failed", "incarnation", next.Incarnation, "err", err)
	}
	return next
}

// load returns the saved record, or an empty one if there is none or it is invalid.
func (s membershipStore) load() membershipRecord {
	stored, ok := s.writer.Load(kindMembers)
	if !ok {
		return membershipRecord{}
	}
	var record membershipRecord
	err := json.Unmarshal(stored.Payload, &record)
	if err != nil || record.BudgetDivisor < 0 || record.Incarnation == math.MaxUint64 {
		slog.Error("record ignored", "kind", kindMembers, "generation", stored.Generation, "err", err)
		return membershipRecord{}
	}
	return record
}

// saveSync saves a record and returns once it is on disk.
func (s membershipStore) saveSync(record membershipRecord) error {
	payload, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return s.writer.SaveSync(kindMembers, versionMembers, time.Now(), payload)
}

// save saves a record in the background.
func (s membershipStore) save(record membershipRecord) {
	if s.writer == nil {
		return
	}
	encode := func() ([]byte, error) { return json.Marshal(record) }
	s.writer.Save(kindMembers, versionMembers, time.Now(), encode)
}

// fleetMember is this balancer's membership in the fleet. node is nil if the fleet file names no seeds.
type fleetMember struct{ node *membership.Node }

// joinFleet joins the fleet through the seeds that the fleet file names. Without seeds it returns a fleetMember without a node.
func joinFleet(config *proxy.Config, file fleet.File, server *proxy.Proxy) (fleetMember, error) {
	if !file.Membership.Enabled() {
		return fleetMember{}, nil
	}
	store := membershipStore{config.StateWriter}
	record := store.nextRecord()
	node, err := membership.Start(membership.Options{
		Self:         localMember(config, file, record.Incarnation),
		Listen:       file.Membership.Listen,
		Advertise:    file.Membership.Advertise,
		Seeds:        file.Membership.Seeds,
		KeyFile:      file.Membership.KeyFile,
		Configured:   membership.Placement{Serving: config.Settings.Balancers, Rank: config.Settings.Rank},
		PreviousSize: record.BudgetDivisor,
		Log:          slog.Info,
		CurrentState: func() membership.State { return memberState(server) },
		OnFleetSize: func(incarnation uint64, size membership.FleetSize) error {
			store.save(membershipRecord{Incarnation: incarnation, BudgetDivisor: size.BudgetDivisor})
			return server.SetFleetSize(balancer.FleetSize{Balancers: size.RoutingDivisor, Rank: size.Rank, MaxBalancers: size.BudgetDivisor})
		},
	})
	return fleetMember{node}, err
}

// localMember returns the member entry that this process publishes to the fleet.
func localMember(config *proxy.Config, file fleet.File, incarnation uint64) membership.Member {
	region, zone, hasRegion := strings.Cut(config.Settings.Zone, "/")
	if !hasRegion {
		region = ""
		zone = config.Settings.Zone
	}
	return membership.Member{
		Name:        config.Name,
		Incarnation: incarnation,
		Zone:        zone,
		Region:      region,
		Version:     version(),
		Config:      file.Digest,
		Successor:   os.Getenv("RELAY_FD") != "",
	}
}

// memberState maps the proxy's readiness to a membership state.
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

// version returns the abbreviated VCS revision that the program was built from, or "unknown".
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

// close leaves the fleet, if there is one.
func (m fleetMember) close() {
	if m.node == nil {
		return
	}
	if err := m.node.Close(); err != nil {
		slog.Error("leaving membership failed", "err", err)
	}
}

// managementTarget executes management calls on the proxy and on the membership.
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

// WriteMembers writes this balancer's view of the fleet members.
func (t managementTarget) WriteMembers(w io.Writer) error {
	if t.member.node == nil {
		return errors.New("there is no membership: the fleet file names no seeds")
	}
	return t.member.node.Status().Write(w)
}
