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

// snapshotInterval is the least time between two snapshots of the decision module. The writer's own rate limit comes on top.
const snapshotInterval = time.Second

// Options are what a Saver begins with.
type Options struct {
	// Writer saves to the disk, and has what an earlier process has saved. It may be nil: then nothing is saved or restored.
	Writer Writer
	// Discovery is the address (host:port) of the discovery service that is followed.
	Discovery string
	// Known is the list of upstreams that the configuration has.
	Known discovery.List
	// IDOf returns the decision module's ID of one of discovery's. It is called by SaveList and Restore only.
	IDOf func(id string) balancer.EndpointID
	// Log writes a line: a message, and keys with their values as in slog.Info. It must not block.
	Log func(message string, keysAndValues ...any)
}

// Saver saves what has to outlive the process and restores what an earlier process has saved. Without a writer its methods
// do nothing. It belongs to one goroutine, but for the operators' orders: UpdateOrders and CurrentOrders may be called from
// any goroutine.
type Saver struct {
	writer    Writer
	idOf      func(id string) balancer.EndpointID
	log       func(message string, keysAndValues ...any)
	discovery string // the address of the service that is followed

	initialList  discovery.List // to begin with
	restored bool           // initial is from before this process

	members      map[string]discovery.Entry     // the list as it is now
	names        map[balancer.EndpointID]string // discovery's IDs of members
	nextSnapshot time.Duration                  // on the caller's clock

	mu     sync.Mutex // guards orders; locked while they are being saved
	orders Orders
}

// NewSaver loads the saved state, and chooses the list of upstreams to begin with.
func NewSaver(options Options) *Saver {
	s := &Saver{
		writer:    options.Writer,
		idOf:      options.IDOf,
		log:       options.Log,
		discovery: options.Discovery,
		initialList:   options.Known,
		members:   map[string]discovery.Entry{},
		names:     map[balancer.EndpointID]string{},
	}
	if s.writer == nil {
		return s
	}
	s.load(KindOrders, &s.orders)
	s.chooseList(options)
	return s
}

// Initial returns the list of upstreams to begin with.
func (s *Saver) Initial() discovery.List { return s.initialList }

// IsRestored reports whether the list to begin with is from an earlier process.
func (s *Saver) IsRestored() bool { return s.restored }

// SetDiscovery sets the address (host:port) of the discovery service that the lists from now on are of.
func (s *Saver) SetDiscovery(address string) { s.discovery = address }

// load reads the saved state of a kind into a value. ok is false where there is none, or it does not have the form.
func (s *Saver) load(kind string, target any) (r durable.Record, ok bool) {
	r, ok = s.writer.Load(kind)
	if !ok {
		return r, false
	}
	if err := json.Unmarshal(r.Payload, target); err != nil { // it is undamaged, but not of this form
		s.logIgnored(r, kind, err)
		return r, false
	}
	return r, true
}

// logIgnored logs that a saved state is not used, and why.
func (s *Saver) logIgnored(r durable.Record, kind string, reason error) {
	s.log("record ignored", "kind", kind, "generation", r.Generation, "err", reason)
}

// chooseList begins with the saved list instead of the configuration's if it is newer and of the same discovery service,
// or if the configuration has none.
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
	isNewer := sameService && saved.List.Revision > options.Known.Revision
	if !isNewer && len(options.Known.Members) > 0 {
		return
	}
	s.initialList = saved.List
	s.restored = true
	if !sameService {
		s.initialList.Revision = 0 // revisions of another service mean nothing: this one has to give the complete list
	}
	s.log("endpoint list restored", "endpoints", len(saved.List.Members), "revision", s.initialList.Revision,
		"age", time.Since(r.SavedAt).Round(time.Millisecond).String())
}

// Restore gives the decision module what an earlier process knew and what operators had ordered. The initial list must have
// been applied. now is the loop's clock.
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

// loadSnapshot reads the saved snapshot, its endpoints under this process's IDs. Without a usable one it is empty, and
// ok false.
func (s *Saver) loadSnapshot() (snapshot balancer.Snapshot, ok bool) {
	var saved snapshotRecord
	r, ok := s.load(KindSnapshot, &saved)
	if !ok {
		return balancer.Snapshot{}, false
	}
	if names, endpoints := len(saved.Names), len(saved.Snapshot.Endpoints); names != endpoints {
		s.logIgnored(r, KindSnapshot, fmt.Errorf("the snapshot has %d names for %d endpoints", names, endpoints))
		return balancer.Snapshot{}, false
	}
	for i := range saved.Snapshot.Endpoints {
		saved.Snapshot.Endpoints[i].ID = s.idOf(saved.Names[i])
	}
	return saved.Snapshot, true
}

// SaveList takes a list that has been applied, and saves what the complete one is now.
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

// SaveSnapshot saves a snapshot of the decision module, if one is due at now, a time on the loop's clock.
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

// SaveLastSnapshot saves a snapshot of the decision module, whenever the one before was saved.
func (s *Saver) SaveLastSnapshot(module *balancer.Balancer, now time.Duration) {
	s.nextSnapshot = 0
	s.SaveSnapshot(module, now)
}

// UpdateOrders changes what operators have ordered and returns once that is saved, or with an error that says why it may
// not be: it wraps durable.ErrWriteTimeout where the disk is slow and may still save it. On any other error the orders are unchanged.
// Orders are saved one after the other.
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
		return fmt.Errorf("but not kept: %w", durable.ForOperators(err))
	}
	s.orders = next // a slow disk may have it all the same, and what follows builds on it
	if err != nil {
		return fmt.Errorf("but not kept yet: %w", durable.ForOperators(err))
	}
	return nil
}

// CurrentOrders returns what operators have ordered and not revoked.
func (s *Saver) CurrentOrders() Orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.orders
	current.DrainedZones = slices.Clone(current.DrainedZones)
	return current
}
