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
	"sprucehill/internal/durable"
)

// The kinds of state that a balancer keeps, and the version of what stands in each. Orders are kept apart, since they
// are saved before the operators have their answer.
const (
	kindList, kindLearnt, kindOrders          = "list", "learnt", "orders"
	versionList, versionLearnt, versionOrders = 1, 1, 1
)

// Kinds is what Keeper has to load.
var Kinds = map[string]uint16{kindList: versionList, kindLearnt: versionLearnt, kindOrders: versionOrders}

// OrderKinds is which of them hold operators' orders.
var OrderKinds = []string{kindOrders}

const (
	// learntEvery is the least time between two looks at what the module has learnt. The keeper's own rate comes on top.
	learntEvery = time.Second
	// spreadCalls is how long, at most, a balancer that knows its upstreams from before waits with its first call to
	// discovery: of many that start at once each waits a time of its own.
	spreadCalls = 250 * time.Millisecond
)

// longestSpread bounds the wait before the first call to discovery. Where lists are pushed, what the agent has counts as told
// from the first moment, so the call has to be answered within the grace for draining upstreams.
func longestSpread(s balancer.Settings) time.Duration {
	if s.PollDiscovery {
		return spreadCalls
	}
	return min(spreadCalls, s.Obligations.DrainGrace/2)
}

// Keeper keeps states. Only Keep waits for the disk.
type Keeper interface {
	Load(kind string) (durable.Record, bool)
	Save(kind string, version uint16, at time.Time, encode func() ([]byte, error))
	SaveSync(kind string, version uint16, at time.Time, payload []byte) error
	MarkRecovered()
}

// keptList is the list of upstreams with the address of the discovery that told it.
type keptList struct {
	Discovery string  `json:"discovery"`
	List      listing `json:"list"`
}

// keptLearnt is what the module had learnt. Names are discovery's ids of Knowledge.Upstreams, in their order: the
// numbers that the module uses hold for one process only.
type keptLearnt struct {
	Names     []string          `json:"names"`
	Knowledge balancer.Snapshot `json:"knowledge"`
}

// keptOrders is what operators have ordered.
type keptOrders struct {
	Serial uint64   `json:"serial"` // of the last order
	Drain  bool     `json:"drain"`
	Left   []string `json:"left"` // zones
}

// state is what a loop keeps, and what it found. Its keeper is nil where nothing is kept.
type state struct {
	keeper    Keeper
	log       func(text string, keys ...any)
	discovery string
	known     listing           // to begin with
	restored  bool              // that list is of before this process
	members   map[string]member // as they are now
	names     map[balancer.EndpointID]string
	learntAt  time.Duration

	mu     sync.Mutex // of the orders: operators' calls come from goroutines of their own
	orders keptOrders
}

// load reads a kind into a value.
func (s *state) load(kind string, into any) (durable.Record, bool) {
	r, ok := s.keeper.Load(kind)
	if !ok {
		return r, false
	}
	if err := json.Unmarshal(r.Payload, into); err != nil { // whole, but not of this form
		s.log("state passed over", "kind", kind, "generation", r.Generation, "err", err)
		return r, false
	}
	return r, true
}

// newState chooses the list to begin with: of the same discovery the newer one, and the configuration's where it has
// moved meanwhile, unless that has none.
func newState(c *Config, log func(text string, keys ...any)) *state {
	s := &state{keeper: c.Keeper, log: log, discovery: c.Discovery, known: c.Known, members: map[string]member{},
		names: map[balancer.EndpointID]string{}}
	if s.keeper == nil {
		return s
	}
	s.load(kindOrders, &s.orders)
	var kept keptList
	r, ok := s.load(kindList, &kept)
	if !ok || len(kept.List.Members) == 0 {
		return s
	}
	for i := range kept.List.Members {
		if err := kept.List.Members[i].check(); err != nil {
			s.log("state passed over", "kind", kindList, "generation", r.Generation, "err", err)
			return s
		}
	}
	same := kept.Discovery == c.Discovery
	if !(same && kept.List.Revision > c.Known.Revision) && len(c.Known.Members) > 0 {
		return s
	}
	if s.known, s.restored = kept.List, true; !same {
		s.known.Revision = 0 // of another discovery: all of it is to be told anew
	}
	s.log("upstreams known from before", "upstreams", len(kept.List.Members), "revision", s.known.Revision,
		"age", time.Since(r.SavedAt).Round(time.Millisecond).String())
	return s
}

// restore tells the module what was known before. The first list has been applied.
func (s *state) restore(l *loop) {
	if s.keeper == nil {
		return
	}
	defer s.keeper.MarkRecovered()
	var kept keptLearnt
	r, ok := s.load(kindLearnt, &kept)
	k := kept.Knowledge
	if ok && len(kept.Names) != len(k.Endpoints) {
		s.log("state passed over", "kind", kindLearnt, "generation", r.Generation, "err", "names and figures differ in number")
		ok = false
	}
	if !ok {
		k = balancer.Snapshot{}
	}
	for i := range k.Endpoints {
		k.Endpoints[i].ID = l.names.id(kept.Names[i])
	}
	k.DrainedZones = s.orders.Left
	if ok || len(k.DrainedZones) > 0 {
		l.balancer.Restore(l.now(), k)
	}
	if ok {
		s.log("knowledge from before", "upstreams", len(k.Endpoints), "age", (l.now() - k.TakenAt).Round(time.Millisecond).String())
	}
	if s.orders.Drain || len(s.orders.Left) > 0 {
		s.log("orders from before", "serial", s.orders.Serial, "drain", s.orders.Drain, "left", strings.Join(s.orders.Left, " "))
	}
}

// told notes a list, and offers what came of it.
func (s *state) told(l *loop, mode balancer.UpdateMode, x listing) {
	if s.keeper == nil {
		return
	}
	if mode != balancer.UpdateDelta {
		clear(s.members)
		clear(s.names)
	}
	for _, m := range x.Members {
		id := l.names.id(m.ID)
		if phases[m.Phase] == balancer.Removed {
			delete(s.members, m.ID)
			delete(s.names, id)
			continue
		}
		s.members[m.ID], s.names[id] = m, m.ID
	}
	kept := keptList{s.discovery, listing{Revision: x.Revision, Complete: true, Members: slices.SortedFunc(maps.Values(s.members),
		func(a, b member) int { return cmp.Compare(a.ID, b.ID) })}}
	s.keeper.Save(kindList, versionList, time.Now(), func() ([]byte, error) { return json.Marshal(kept) })
}

// learnt offers what the module knows, now and then.
func (s *state) learnt(l *loop, now time.Duration) {
	if s.keeper == nil || now < s.learntAt {
		return
	}
	s.learntAt = now + learntEvery
	kept := keptLearnt{Knowledge: l.balancer.TakeSnapshot(now)}
	for _, u := range kept.Knowledge.Endpoints {
		kept.Names = append(kept.Names, s.names[u.ID])
	}
	s.keeper.Save(kindLearnt, versionLearnt, time.Now(), func() ([]byte, error) { return json.Marshal(kept) })
}

// order keeps what operators have ordered and returns when that is safe. Orders are kept one after the other.
func (s *state) order(change func(*keptOrders)) error {
	if s.keeper == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.orders
	next.Left = slices.Clone(next.Left)
	next.Serial++
	change(&next)
	text, err := json.Marshal(next)
	if err == nil {
		err = s.keeper.SaveSync(kindOrders, versionOrders, time.Now(), text)
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

// drained tells whether a drain was ordered before this process.
func (s *state) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.Drain
}
