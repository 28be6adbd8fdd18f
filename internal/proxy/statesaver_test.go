package proxy

import (
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucehill/internal/durable"
)

// shelf is a Keeper in memory. Full, it takes nothing.
type shelf struct {
	mu   sync.Mutex
	kept map[string]durable.Record
	full bool
}

func newShelf() *shelf { return &shelf{kept: map[string]durable.Record{}} }

func (s *shelf) Load(kind string) (durable.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.kept[kind]
	return r, ok
}

func (s *shelf) Offer(kind string, version uint16, at time.Time, encode func() ([]byte, error)) {
	if text, err := encode(); err == nil {
		s.Keep(kind, version, at, text)
	}
}

func (s *shelf) Keep(kind string, version uint16, at time.Time, payload []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return errors.New("no space left")
	}
	s.kept[kind] = durable.Record{Kind: kind, Version: version, SavedAt: at, Payload: payload}
	return nil
}

func (s *shelf) Recovered() {}

func (b *testBalancer) stop(t *testing.T) {
	t.Helper()
	b.client.CloseIdleConnections()
	b.cancel()
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
}

// A balancer that is started anew serves by the list of before while discovery is silent, knows what it had learnt, and
// does what operators had ordered.
func TestStateOutlivesTheProcess(t *testing.T) {
	s, kept, g := newServer(t, okAll), newShelf(), newRegistry(t)
	withShelf := func(c *Config) { c.Keeper = kept }
	b := newBalancerWith(t, g, withShelf, up("s-00000009", newServer(t, okAll)))
	select { // discovery tells another list than the configuration
	case g.answers <- listing{Revision: 12, Complete: true, Members: []member{up("s-00000001", s)}}:
	case <-time.After(30 * time.Second):
		t.Fatal("discovery was not asked")
	}
	for range 20 {
		b.do(t, b.ask("checkin", ""))
	}
	limit := time.Now().Add(30 * time.Second)
	for {
		if r, ok := kept.Load(kindList); ok && strings.Contains(string(r.Payload), "s-00000001") {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the list is not kept")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if done, state := b.proxy.Drain(true); !done || state != "draining" {
		t.Errorf("drain-on: %v, %s", done, state)
	}
	b.stop(t)
	again := newBalancerWith(t, g, withShelf, up("s-00000009", newServer(t, okAll)))
	served := len(s.arrivals)
	if status, _ := again.do(t, again.ask("checkin", "")); status != 200 || len(s.arrivals) != served+1 {
		t.Errorf("started anew with discovery silent: %d, by the upstream of the kept list: %v", status, len(s.arrivals) > served)
	}
	if _, state := again.proxy.Ready(); state != "draining" {
		t.Errorf("started anew: %s, want draining", state)
	}
	var lat float64
	if err := again.proxy.ask(func(l *loop) { lat = l.balancer.TakeSnapshot(l.now()).Latency }); err != nil || lat == 0 {
		t.Errorf("started anew: %v, usual latency %v", err, lat)
	}
	if done, _ := again.proxy.Drain(false); !done {
		t.Error("drain-off")
	}
	again.stop(t)
	last := newBalancerWith(t, g, withShelf)
	if _, state := last.proxy.Ready(); state == "draining" {
		t.Error("drained though drain-off got its YES")
	}
}

// A disk that takes nothing costs orders their YES, since they would not outlive the process, and service nothing.
func TestFullDisk(t *testing.T) {
	kept := newShelf()
	kept.full = true
	b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.Keeper = kept }, up("s-00000001", newServer(t, okAll)))
	if status, _ := b.do(t, b.ask("checkin", "")); status != 200 {
		t.Errorf("served with %d", status)
	}
	if done, state := b.proxy.Drain(true); done || !strings.HasPrefix(state, "draining, but not kept") {
		t.Errorf("drain-on: %v, %s", done, state)
	}
	if _, state := b.proxy.Ready(); state != "draining" {
		t.Errorf("the order is not carried out: %s", state)
	}
}

// What can't be read of a state is passed over, and the configuration stands.
func TestStateOfAnotherForm(t *testing.T) {
	kept := newShelf()
	for kind, text := range map[string]string{kindList: `{"discovery":1}`, kindSnapshot: `{"names":["a"],"knowledge":{}}`, kindOrders: "[]"} {
		kept.Keep(kind, 1, time.Now(), []byte(text))
	}
	b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.Keeper = kept }, up("s-00000001", newServer(t, okAll)))
	if status, _ := b.do(t, b.ask("checkin", "")); status != 200 {
		t.Errorf("served with %d", status)
	}
	if _, state := b.proxy.Ready(); state != "serving" {
		t.Errorf("%s", state)
	}
}

// A balancer that knows its upstreams from before spreads its first call to discovery. Where lists are pushed it must still
// have its answer within the grace, since what the agent holds counts as told at once; the wait was up to 250 ms whatever the
// grace.
func TestFirstCallIsWithinTheGrace(t *testing.T) {
	const grace = 100 * time.Millisecond
	list, err := json.Marshal(savedList{Discovery: "127.0.0.1:1", List: listing{Revision: 12, Complete: true,
		Members: []member{{ID: "s-00000001", HostPort: "127.0.0.1:1", Phase: "up"}}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		onRequest bool
		longest   time.Duration
	}{{true, longestStartDelay}, {false, grace / 2}} {
		for seed := range uint64(50) {
			shelf := newShelf()
			if err := shelf.Keep(kindList, versionList, time.Now(), list); err != nil {
				t.Fatal(err)
			}
			c := benchConfig(t)
			c.Keeper, c.Seed = shelf, seed
			c.Settings.PollDiscovery, c.Settings.Obligations.DrainGrace = x.onRequest, grace
			l := newLoop(t.Context(), &c)
			want(t, "knows its upstreams from before", l.saver.restored, true)
			if wait := time.Duration(l.discovery.client.firstDelay.Load()); wait > x.longest {
				t.Errorf("on request %v, seed %d: %v before the first call, want at most %v", x.onRequest, seed, wait, x.longest)
			}
		}
	}
}
