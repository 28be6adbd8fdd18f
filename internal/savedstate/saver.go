package savedstate

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

// snapshotInterval is the minimum time between two snapshots of the decision module. The Writer's own rate limit applies as
// well.
const snapshotInterval = time.Second

// Options configure a Saver.
type Options struct {
	// Writer saves records, and loads those of an earlier process. If it is nil, nothing is saved or restored.
	Writer Writer
	// Discovery is the address (host:port) of the discovery service.
	Discovery string
	// ConfiguredList is the configured endpoint list.
	ConfiguredList discovery.List
	// IDOf returns the decision module's ID for an ID of discovery. Only SaveList and Restore call it.
	IDOf func(id string) balancer.EndpointID
	// Log writes a log line. Its arguments are those of slog.Info. It must not block.
	Log func(message string, keysAndValues ...any)
}

// Saver saves the state that has to outlive the process, and restores what an earlier process saved. Without a Writer it
// neither saves nor restores. Its methods must be called from one goroutine, except for UpdateOrders and CurrentOrders,
// which are safe for concurrent use.
type Saver struct {
	writer    Writer
	idOf      func(id string) balancer.EndpointID
	log       func(message string, keysAndValues ...any)
	discovery string // address of the discovery service

	initialList discovery.List // list to start with
	restored    bool           // initialList was saved by an earlier process

	members      map[string]discovery.Entry     // the current list, by discovery's IDs
	names        map[balancer.EndpointID]string // discovery's IDs, by the decision module's
	nextSnapshot time.Duration                  // when the next snapshot is due, on the event loop's clock

	mu     sync.Mutex // guards orders; held while they are being saved
	orders Orders
}

// NewSaver loads the saved orders and list, and chooses the endpoint list to start with.
func NewSaver(options Options) *Saver {
	s := &Saver{
		writer:      options.Writer,
		idOf:        options.IDOf,
		log:         options.Log,
		discovery:   options.Discovery,
		initialList: options.ConfiguredList,
		members:     map[string]discovery.Entry{},
		names:       map[balancer.EndpointID]string{},
	}
	if s.writer == nil {
		return s
	}
	s.load(KindOrders, &s.orders)
	s.chooseList(options)
	return s
}

// Initial returns the endpoint list to start with: the configured or the saved one.
func (s *Saver) Initial() discovery.List { return s.initialList }

// IsRestored reports whether the list to start with was saved by an earlier process.
func (s *Saver) IsRestored() bool { return s.restored }

// SetDiscovery sets the address (host:port) of the discovery service that lists are from, from now on.
func (s *Saver) SetDiscovery(address string) { s.discovery = address }

// load decodes the saved record of a kind into target. ok is false if there is none, or if it can't be decoded.
func (s *Saver) load(kind string, target any) (r durable.Record, ok bool) {
	r, ok = s.writer.Load(kind)
	if !ok {
		return r, false
	}
	if err := json.Unmarshal(r.Payload, target); err != nil { // the Writer returns intact records only, but the format may differ
		s.logIgnored(r, kind, err)
		return r, false
	}
	return r, true
}

// logIgnored logs that a saved record is not used, and why.
func (s *Saver) logIgnored(r durable.Record, kind string, reason error) {
	s.log("record ignored", "kind", kind, "generation", r.Generation, "err", reason)
}

// chooseList replaces the configured list with the saved one if that is newer and from the same discovery service, or if no
// list is configured.
func (s *Saver) chooseList(options Options) {
	var saved listRecord
	r, ok := s.load(KindList, &saved)
	if !ok || len(saved.List.Members) == 0 {
		return
	}
	for i := range saved.List.Members {
		if err := saved.List.Members[i].Validate(); err != nil {
			s.logIgnored(r, KindList, err)
			return
		}
	}
	sameService := saved.Discovery == options.Discovery
	isNewer := sameService && saved.List.Revision > options.ConfiguredList.Revision
	if !isNewer && len(options.ConfiguredList.Members) > 0 {
		return
	}
	s.initialList = saved.List
	s.restored = true
	if !sameService {
		s.initialList.Revision = 0 // revisions of another service are unrelated: the current one has to send its complete list
	}
	s.log("endpoint list restored", "endpoints", len(saved.List.Members), "revision", s.initialList.Revision,
		"age", time.Since(r.SavedAt).Round(time.Millisecond).String())
}

// Restore passes the saved snapshot and the drained zones to the decision module, to which the initial list must have been
// applied. now reads the event loop's clock.
func (s *Saver) Restore(module *balancer.Balancer, now func() time.Duration) {
	if s.writer == nil {
		return
	}
	defer s.writer.MarkRecovered()
	snapshot, ok := s.loadSnapshot()
	orders := s.CurrentOrders()
	snapshot.DrainedZones = orders.DrainedZones
	if ok || len(snapshot.DrainedZones) > 0 {
		module.Restore(now(), snapshot)
	}
	if ok {
		s.log("endpoint statistics restored", "endpoints", len(snapshot.Endpoints),
			"age", (now() - snapshot.TakenAt).Round(time.Millisecond).String())
	}
	if orders.Drain || len(orders.DrainedZones) > 0 {
		s.log("operator orders restored", "serial", orders.Serial, "drain", orders.Drain,
			"drained_zones", strings.Join(orders.DrainedZones, " "))
	}
}

// loadSnapshot loads the saved snapshot, and gives its endpoints the IDs that they have in this process. If there is no
// usable snapshot, it returns an empty one, and false.
func (s *Saver) loadSnapshot() (snapshot balancer.Snapshot, ok bool) {
	var saved snapshotRecord
	r, ok := s.load(KindSnapshot, &saved)
	if !ok {
		return balancer.Snapshot{}, false
	}
	if names, endpoints := len(saved.Names), len(saved.Snapshot.Endpoints); names != endpoints {
		s.logIgnored(r, KindSnapshot, fmt.Errorf("snapshot has %d names for %d endpoints", names, endpoints))
		return balancer.Snapshot{}, false
	}
	for i := range saved.Snapshot.Endpoints {
		saved.Snapshot.Endpoints[i].ID = s.idOf(saved.Names[i])
	}
	return saved.Snapshot, true
}

// SaveList updates the current list with one that has been applied, and saves the result. Unless the mode is
// balancer.UpdateDelta, list is complete.
func (s *Saver) SaveList(mode balancer.UpdateMode, list discovery.List) {
	if s.writer == nil {
		return
	}
	if mode != balancer.UpdateDelta {
		clear(s.members)
		clear(s.names)
	}
	for _, m := range list.Members {
		id := s.idOf(m.ID)
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
	saved := listRecord{Discovery: s.discovery, List: complete}
	s.writer.Save(KindList, versionList, time.Now(), func() ([]byte, error) { return json.Marshal(saved) })
}

// SaveSnapshot saves a snapshot of the decision module if one is due. now is the time on the event loop's clock.
func (s *Saver) SaveSnapshot(module *balancer.Balancer, now time.Duration) {
	if s.writer == nil || now < s.nextSnapshot {
		return
	}
	s.nextSnapshot = now + snapshotInterval
	saved := snapshotRecord{Snapshot: module.TakeSnapshot(now)}
	for _, endpoint := range saved.Snapshot.Endpoints {
		saved.Names = append(saved.Names, s.names[endpoint.ID])
	}
	s.writer.Save(KindSnapshot, versionSnapshot, time.Now(), func() ([]byte, error) { return json.Marshal(saved) })
}

// SaveLastSnapshot saves a snapshot of the decision module even if none is due.
func (s *Saver) SaveLastSnapshot(module *balancer.Balancer, now time.Duration) {
	s.nextSnapshot = 0
	s.SaveSnapshot(module, now)
}

// UpdateOrders applies a change to the operators' orders, and returns once the result is saved. An error that wraps
// durable.ErrWriteTimeout means that the disk is slow and may still save it: CurrentOrders has the change. On any other
// error the orders are unchanged. Concurrent calls are serialized.
func (s *Saver) UpdateOrders(change func(*Orders)) error {
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
		err = s.writer.SaveSync(KindOrders, versionOrders, time.Now(), text)
	}
	if err != nil && !errors.Is(err, durable.ErrWriteTimeout) {
		return fmt.Errorf("but not kept: %w", durable.WithOperatorText(err))
	}
	s.orders = next // after a time-out too: the disk may still save it, and later orders must build on it
	if err != nil {
		return fmt.Errorf("but not kept yet: %w", durable.WithOperatorText(err))
	}
	return nil
}

// CurrentOrders returns a copy of the operators' orders that are in effect.
func (s *Saver) CurrentOrders() Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.orders
	current.DrainedZones = slices.Clone(current.DrainedZones)
	return current
}
