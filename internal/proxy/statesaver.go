package proxy

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
	"sprucehill/internal/durable"
)

const (
	// snapshotEvery is the least time between two snapshots of what the decision module has learnt. The writer's own
	// rate limit comes on top.
	snapshotEvery = time.Second
	// longestStartDelay is how long, at most, a balancer that knows its upstreams from before waits before its first call
	// to discovery: of many that start at once each waits for a time of its own.
	longestStartDelay = 250 * time.Millisecond
)

// errSnapshotMismatch says that a saved snapshot does not have one name for each endpoint.
var errSnapshotMismatch = errors.New("names and figures differ in number")

// maxStartDelay bounds the wait before the first call to discovery. Where lists are pushed, a drain that the agent knows
// of counts as notified from the first moment, so the call has to be answered within the grace for draining endpoints.
func maxStartDelay(s balancer.Settings) time.Duration {
	if s.PollDiscovery {
		return longestStartDelay
	}
	return min(longestStartDelay, s.Obligations.DrainGrace/2)
}

// stateSaver saves what has to outlive the process and restores what an earlier process has saved. Its writer is nil
// where nothing is saved: its methods do nothing then. It belongs to the loop and is used on the loop's goroutine only,
// but for the operators' orders, which have a lock: updateOrders and currentOrders may be called from any goroutine.
type stateSaver struct {
	writer    StateWriter
	log       *logWriter
	discovery string // the address of the service that is followed

	initial  discovery.List // to begin with
	restored bool           // initial is from before this process

	members      map[string]discovery.Entry     // the list as it is now
	names        map[balancer.EndpointID]string // discovery's IDs of members
	nextSnapshot time.Duration                  // on the loop's clock

	mu     sync.Mutex // guards orders; held while they are being saved
	orders savedOrders
}

// newStateSaver loads the saved state, and chooses the list of endpoints to begin with.
func newStateSaver(c *Config, log *logWriter) *stateSaver {
	s := &stateSaver{
		writer:    c.StateWriter,
		log:       log,
		discovery: c.Discovery,
		initial:   c.Known,
		members:   map[string]discovery.Entry{},
		names:     map[balancer.EndpointID]string{},
	}
	if s.writer == nil {
		return s
	}
	s.load(kindOrders, &s.orders)
	s.chooseList(c)
	return s
}

// load reads the saved state of a kind into a value. ok is false where there is none, or it does not have the form.
func (s *stateSaver) load(kind string, into any) (r durable.Record, ok bool) {
	r, ok = s.writer.Load(kind)
	if !ok {
		return r, false
	}
	if err := json.Unmarshal(r.Payload, into); err != nil { // it is undamaged, but not of this form
		s.logIgnored(r, kind, err)
		return r, false
	}
	return r, true
}

// logIgnored logs that a saved state is not used, and why.
func (s *stateSaver) logIgnored(r durable.Record, kind string, why error) {
	s.log.info("state passed over", "kind", kind, "generation", r.Generation, "err", why)
}

// chooseList begins with the saved list instead of the configuration's if it is newer and of the same discovery service,
// or if the configuration has none.
func (s *stateSaver) chooseList(c *Config) {
	var saved savedList
	r, ok := s.load(kindList, &saved)
	if !ok || len(saved.List.Members) == 0 {
		return
	}
	for i := range saved.List.Members {
		if err := saved.List.Members[i].Validate(); err != nil {
			s.logIgnored(r, kindList, err)
			return
		}
	}
	sameService := saved.Discovery == c.Discovery
	isNewer := sameService && saved.List.Revision > c.Known.Revision
	if !isNewer && len(c.Known.Members) > 0 {
		return
	}
	s.initial = saved.List
	s.restored = true
	if !sameService {
		s.initial.Revision = 0 // revisions of another service mean nothing: this one has to give the complete list
	}
	s.log.info("upstreams known from before", "upstreams", len(saved.List.Members), "revision", s.initial.Revision,
		"age", time.Since(r.SavedAt).Round(time.Millisecond).String())
}

// restore gives the decision module what an earlier process had learnt and what operators had ordered. The initial list
// must have been applied.
func (s *stateSaver) restore(module *balancer.Balancer, ids *endpointIDs, now func() time.Duration) {
	if s.writer == nil {
		return
	}
	defer s.writer.MarkRecovered()
	snapshot, ok := s.loadSnapshot(ids)
	orders := s.currentOrders()
	snapshot.DrainedZones = orders.DrainedZones
	if ok || len(snapshot.DrainedZones) > 0 {
		module.Restore(now(), snapshot)
	}
	if ok {
		s.log.info("knowledge from before", "upstreams", len(snapshot.Endpoints),
			"age", (now() - snapshot.TakenAt).Round(time.Millisecond).String())
	}
	if orders.Drain || len(orders.DrainedZones) > 0 {
		s.log.info("orders from before", "serial", orders.Serial, "drain", orders.Drain,
			"left", strings.Join(orders.DrainedZones, " "))
	}
}

// loadSnapshot reads the saved snapshot, its endpoints under this process's IDs. Without a usable one it is empty, and
// ok false.
func (s *stateSaver) loadSnapshot(ids *endpointIDs) (snapshot balancer.Snapshot, ok bool) {
	var saved savedSnapshot
	r, ok := s.load(kindSnapshot, &saved)
	if !ok {
		return balancer.Snapshot{}, false
	}
	if len(saved.Names) != len(saved.Snapshot.Endpoints) {
		s.logIgnored(r, kindSnapshot, errSnapshotMismatch)
		return balancer.Snapshot{}, false
	}
	for i := range saved.Snapshot.Endpoints {
		saved.Snapshot.Endpoints[i].ID = ids.idOf(saved.Names[i])
	}
	return saved.Snapshot, true
}

// saveList takes a list that has been applied, and saves what the complete one is now.
func (s *stateSaver) saveList(ids *endpointIDs, mode balancer.UpdateMode, list discovery.List) {
	if s.writer == nil {
		return
	}
	if mode != balancer.UpdateDelta {
		clear(s.members)
		clear(s.names)
	}
	for _, m := range list.Members {
		id := ids.idOf(m.ID)
		if m.IsRemoved() {
			delete(s.members, m.ID)
			delete(s.names, id)
			continue
		}
		s.members[m.ID] = m
		s.names[id] = m.ID
	}
	byID := func(a, b discovery.Entry) int { return cmp.Compare(a.ID, b.ID) }
	complete := discovery.List{
		Revision: list.Revision,
		Complete: true,
		Members:  slices.SortedFunc(maps.Values(s.members), byID),
	}
	saved := savedList{Discovery: s.discovery, List: complete}
	s.writer.Save(kindList, versionList, time.Now(), func() ([]byte, error) { return json.Marshal(saved) })
}

// saveSnapshot saves what the decision module has learnt, if that is due.
func (s *stateSaver) saveSnapshot(module *balancer.Balancer, now time.Duration) {
	if s.writer == nil || now < s.nextSnapshot {
		return
	}
	s.nextSnapshot = now + snapshotEvery
	saved := savedSnapshot{Snapshot: module.TakeSnapshot(now)}
	for _, endpoint := range saved.Snapshot.Endpoints {
		saved.Names = append(saved.Names, s.names[endpoint.ID])
	}
	s.writer.Save(kindSnapshot, versionSnapshot, time.Now(), func() ([]byte, error) { return json.Marshal(saved) })
}

// saveLastSnapshot saves what the decision module has learnt, whenever it was saved last.
func (s *stateSaver) saveLastSnapshot(module *balancer.Balancer, now time.Duration) {
	s.nextSnapshot = 0
	s.saveSnapshot(module, now)
}

// updateOrders changes what operators have ordered and returns once that is saved, or with an error that says why it may
// not be. Orders are saved one after the other.
func (s *stateSaver) updateOrders(change func(*savedOrders)) error {
	if s.writer == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.orders
	next.DrainedZones = slices.Clone(next.DrainedZones)
	next.Serial++
	change(&next)
	text, err := json.Marshal(next)
	if err == nil {
		err = s.writer.SaveSync(kindOrders, versionOrders, time.Now(), text)
	}
	if err != nil && !errors.Is(err, durable.ErrTimeout) {
		return fmt.Errorf("but not kept: %w", err)
	}
	s.orders = next // a slow disk may have it all the same, and what follows builds on it
	if err != nil {
		return fmt.Errorf("but not kept yet: %w", err)
	}
	return nil
}

// currentOrders is what operators have ordered and not taken back.
func (s *stateSaver) currentOrders() savedOrders {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.orders
	current.DrainedZones = slices.Clone(current.DrainedZones)
	return current
}
