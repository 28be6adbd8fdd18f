package model

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/wire"
)

const (
	// longPast is the module's clock when the day begins: dates of 0 are long past.
	longPast = time.Hour
	// answerMargin is what a balancer takes off a client's deadline, as the real one does.
	answerMargin = 4 * time.Millisecond
	// bootTime is how long a process takes from its start until it answers.
	bootTime = 50 * time.Millisecond
	// lameDuck is how long a process still takes requests after SIGTERM.
	lameDuck = 500 * time.Millisecond
	// spareIdle is how long before its upstream a balancer closes an idle connection.
	spareIdle = 5 * time.Second
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
)

// The statuses on messages.
const (
	statusOK      int16 = http.StatusOK
	statusError   int16 = http.StatusInternalServerError
	statusFailed  int16 = http.StatusBadGateway
	statusRefused int16 = http.StatusServiceUnavailable
)

// news is a change of discovery's list.
type news struct {
	upstreams []int
	phase     string
	since     time.Duration // 0: long past
}

var states = map[string]balancer.EndpointState{"up": balancer.Active, "draining": balancer.Draining, "removed": balancer.Removed}

// node is a balancer's process with the decision module in it. It does what internal/proxy does, without sockets.
type node struct {
	*actor
	index    int
	newCore  newPolicy
	settings balancer.Settings
	maxConns int
	idleFor  time.Duration
	connect  time.Duration

	core     balancer.Events // nil: no process runs
	wave     int32
	leaving  bool
	again    bool // it starts anew when it has ended
	frozen   []message
	stopped  bool
	requests map[balancer.RequestID]*asked
	byTry    map[uint64]*asked
	peers    []peer
	conns    int
	serial   uint64
	due      []owing
	sweepAt  time.Duration
	kept     balancer.Snapshot // on its disk, where it keeps anything
	keptAt   time.Duration
	keptList []balancer.Endpoint
	first    []balancer.Endpoint  // of the day's begin, as its configuration has them
	zones    []balancer.ZoneState // as the module last told

	listed  []balancer.Endpoint // what its agent holds
	silent  int
	fails   float64 // share of calls to its agent that fail
	unheard []*news
	unasked bool          // it was started while the agent was silent
	offset  time.Duration // of its clock against discovery's
}

// peer is what a node knows of an upstream's connections.
type peer struct {
	state balancer.EndpointState
	idle  []time.Duration // since when
}

// asked is a client's request at a node.
type asked struct {
	id       balancer.RequestID
	try      *try
	front    int32
	class    int
	deadline time.Duration
	attempts []*sending
	out      int
	closed   bool
}

// sending is an attempt.
type sending struct {
	of     *asked
	n      int32
	up     int
	sentAt time.Duration
	linked bool // it has its connection, and is written
	told   bool
}

// owing is an outcome that is known but not told.
type owing struct {
	s      *sending
	status balancer.Status
}

func newNode(a *actor, index int, policy newPolicy) (*node, error) {
	d := a.sim.day
	settings, links, err := wire.DecodeSettings(d.Settings(a.sim.fleet, index))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", day.ErrInput, err)
	}
	n := &node{actor: a, index: index, newCore: policy, settings: settings, maxConns: d.Balancer.Sockets * 3 / 8,
		idleFor: max(links.KeepAlive-spareIdle, links.KeepAlive/2), connect: links.ConnectTimeout}
	for i, u := range a.sim.fleet.Upstreams {
		n.listed = append(n.listed, balancer.Endpoint{ID: balancer.EndpointID(i), Zone: a.sim.fleet.Locality(u.Zone),
			Cell: u.Zone*1000 + u.Cell, Weight: u.Size})
	}
	return n, n.start()
}

// clock is the module's time.
func (n *node) clock() time.Duration { return longPast + n.now }

// start starts the process with what its agent holds.
func (n *node) start() error {
	n.wave++
	n.requests, n.byTry, n.conns, n.due = map[balancer.RequestID]*asked{}, map[uint64]*asked{}, 0, nil
	n.peers = make([]peer, len(n.listed))
	n.zones = make([]balancer.ZoneState, len(n.sim.fleet.Zones))
	n.leaving = false
	core, err := n.newCore(n.settings, n.sim.day.Seed<<24+uint64(n.wave)<<12+uint64(n.index), n.clock(), n)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", day.ErrInput, n.sim.fleet.Balancers[n.index].Name, err)
	}
	n.core = core
	n.process(history.Started)
	var known []balancer.Endpoint
	for i, u := range n.knownList() {
		if n.peers[i].state = u.State; u.State != balancer.Removed {
			known = append(known, n.dated(u))
		}
	}
	n.core.OnEndpointUpdate(n.clock(), balancer.UpdateCached, known)
	if core, ok := n.core.(rememberer); ok && n.keptAt > 0 {
		core.Restore(n.clock(), n.kept)
	}
	n.settle()
	if n.keptList != nil || n.sim.day.Balancer.Known == "begin" {
		n.ask()
	}
	return nil
}

// askAgain is when a balancer calls again after a call to discovery has failed, in the model.
const askAgain = 500 * time.Millisecond

// ask calls the agent for the list of now, until it answers.
func (n *node) ask() {
	switch {
	case n.silent > 0:
		n.unasked = true
	case n.fails > 0 && n.rng.Float64() < n.fails:
		n.after(askAgain, message{kind: list, wave: n.wave})
	default:
		n.relist()
	}
}

// keepEvery is how often a balancer that keeps its state does so, in the model.
const keepEvery = 2 * time.Second

// rememberer is a core that can be started from what another knew.
type rememberer interface {
	TakeSnapshot(now time.Duration) balancer.Snapshot
	Restore(now time.Duration, k balancer.Snapshot)
}

// knownList is what a process begins with: what it has kept, or what its configuration has.
func (n *node) knownList() []balancer.Endpoint {
	switch {
	case n.keptList != nil:
		return n.keptList
	case n.sim.day.Balancer.Known == "begin":
		if n.first == nil {
			n.first = slices.Clone(n.listed)
		}
		return n.first
	}
	return n.listed
}

// keep puts on disk what the module knows.
func (n *node) keep() {
	core, ok := n.core.(rememberer)
	if !ok || !n.sim.day.Balancer.State || n.now-n.keptAt < keepEvery {
		return
	}
	n.kept, n.keptAt, n.keptList = core.TakeSnapshot(n.clock()), n.now, slices.Clone(n.listed)
}

// dated is an entry as this node's clock has it.
func (n *node) dated(u balancer.Endpoint) balancer.Endpoint {
	if u.StartedAt > 0 {
		u.StartedAt -= n.offset
	}
	return u
}

func (n *node) process(kind history.Kind) {
	n.note(history.Event{Kind: kind, Balancer: int32(n.index), Upstream: history.None, Arrival: history.None})
}

func (n *node) handle(m message) {
	switch {
	case m.kind == begin || m.kind == end:
		n.change(int(m.n), m.kind == begin)
		return
	case m.kind == list && m.news != nil:
		n.hear(m.news)
		return
	case m.kind == list:
		if m.wave == n.wave {
			n.ask()
		}
		return
	case n.stopped:
		n.frozen = append(n.frozen, m)
		return
	}
	n.take(m)
}

// take does what a running process does, or the kernel of a machine where none runs.
func (n *node) take(m message) {
	if n.core == nil {
		n.absent(m)
		return
	}
	switch m.kind {
	case ask:
		n.send(n.sim.all[m.from], message{kind: health, on: !n.leaving})
	case syn:
		n.send(n.sim.all[m.from], message{kind: synAck, id: m.id})
	case request:
		n.request(m)
	case gone:
		if r := n.byTry[m.id]; r != nil && !r.closed {
			n.close(r)
			n.core.OnClientDisconnected(n.clock(), r.id)
		}
	case timer:
		if m.wave == n.wave {
			n.core.OnTimer(n.clock(), m.id)
			n.sweep()
			n.tellZones()
			n.keep()
		}
	case synAck, rst, reply, unlinked, expire:
		n.attempted(m)
	case overdue:
		if r := n.byTry[m.id]; r != nil && m.wave == n.wave {
			for _, s := range r.attempts {
				n.stop(s, balancer.Timeout)
			}
		}
	case hangup:
		p := &n.peers[m.n]
		n.conns -= len(p.idle)
		p.idle = nil
	case emptied:
		if m.wave == n.wave {
			n.leave()
		}
	}
	n.settle()
}

// tellZones notes which zones have changed in the module's eyes.
func (n *node) tellZones() {
	core, ok := n.core.(interface {
		ZoneStatuses(now time.Duration) []balancer.ZoneStatus
	})
	if !ok { // a baseline
		return
	}
	for _, z := range core.ZoneStatuses(n.clock()) {
		i := n.sim.fleet.ZoneNamed(z.Name)
		if i >= 0 && n.zones[i] != z.State {
			n.zones[i] = z.State
			n.note(history.Event{Kind: history.Zoned, Balancer: int32(n.index), Upstream: history.None, Arrival: history.None,
				Zone: int16(i), Text: z.State.String()})
		}
	}
}

// absent answers for a machine on which no process runs.
func (n *node) absent(m message) {
	switch m.kind {
	case syn, request:
		n.send(n.sim.all[m.from], message{kind: rst, id: m.id})
	case synAck:
		n.send(n.sim.all[m.from], message{kind: closed})
	case boot:
		if err := n.start(); err != nil {
			panic(err) // the same settings were good before
		}
	}
}

// request takes a client's request.
func (n *node) request(m message) {
	n.serial++
	a := n.sim.arrivals[m.try.arrival]
	r := &asked{id: balancer.RequestID(n.serial), try: m.try, front: m.from, class: a.Class}
	budget := max(0, m.span.Truncate(time.Millisecond)-answerMargin)
	r.deadline = n.now + budget
	n.requests[r.id], n.byTry[m.id] = r, r
	n.after(budget, message{kind: overdue, id: m.id, wave: n.wave})
	q := balancer.Request{ID: r.id, Timeout: budget, Class: n.sim.day.Classes[a.Class].Name, Key: a.Key, HasKey: a.HasKey}
	if a.Tenant >= 0 {
		q.Tenant = n.sim.day.Tenants[a.Tenant].Name
	}
	n.core.OnRequest(n.clock(), q)
}

// attempted takes what happens to an attempt.
func (n *node) attempted(m message) {
	r := n.byTry[m.id]
	if r == nil || int(m.n) >= len(r.attempts) || (m.kind >= unlinked && m.kind != reply && m.wave != n.wave) {
		if m.kind == synAck { // its request is over: the connection serves the next
			n.idle(n.upstreamOf(m.from))
		}
		return
	}
	s := r.attempts[m.n]
	switch m.kind {
	case synAck:
		if s.linked {
			return
		}
		if s.linked = true; s.told {
			n.idle(s.up)
		} else {
			n.write(s)
		}
	case rst:
		if s.told && s.linked {
			return
		}
		status := balancer.Reset
		if !s.linked {
			s.linked, status = true, balancer.ConnectFailed
		}
		n.conns--
		n.tell(s, status, message{})
	case unlinked:
		if !s.linked {
			s.linked = true
			n.conns--
			n.send(n.sim.servers[s.up], message{kind: closed})
			n.tell(s, balancer.ConnectFailed, message{})
		}
	case expire:
		n.stop(s, balancer.Timeout)
	case reply:
		if s.told { // given up: its connection is closed
			return
		}
		n.idle(s.up)
		n.tell(s, map[int16]balancer.Status{statusOK: balancer.OK, statusError: balancer.Error, statusRefused: balancer.Rejected}[m.status], m)
	}
}

func (n *node) upstreamOf(actor int32) int { return n.sim.all[actor].party.Index }

// idle keeps a connection for the next attempt.
func (n *node) idle(up int) {
	p := &n.peers[up]
	if n.leaving || p.state != balancer.Active {
		n.conns--
		n.send(n.sim.servers[up], message{kind: closed})
		return
	}
	p.idle = append(p.idle, n.now)
}

// write sends an attempt on its connection.
func (n *node) write(s *sending) {
	s.linked = true
	n.send(n.sim.servers[s.up], message{kind: attempt, id: s.of.try.id, n: s.n, try: s.of.try})
}

// stop ends an attempt. One that was never written is moot; the connection of one that was is closed.
func (n *node) stop(s *sending, status balancer.Status) {
	if s.told {
		return
	}
	if !s.linked {
		status = balancer.NotSent
	} else {
		n.conns--
		n.send(n.sim.servers[s.up], message{kind: abandon, id: s.of.try.id, n: s.n})
	}
	n.tell(s, status, message{})
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (n *node) tell(s *sending, status balancer.Status, m message) {
	if s.told {
		return
	}
	s.told = true
	r := s.of
	if status == balancer.OK && !r.closed {
		n.answer(r, message{status: statusOK, n: int32(s.up), wave: s.n})
	}
	r.out--
	o := balancer.AttemptResult{ID: r.id, Endpoint: balancer.EndpointID(s.up), Attempt: int(s.n), Latency: n.now - s.sentAt,
		Status: status, RequestClosed: r.closed}
	if m.loaded {
		o.Load = balancer.LoadReport{Fields: balancer.HasUtilization | balancer.HasErrors | balancer.HasQueue, Utilization: m.load.Util,
			Errors: m.load.Errors, Queue: m.load.Queue}
	}
	n.release(r)
	n.core.OnAttemptResult(n.clock(), o)
}

// settle tells the outcomes that came up while the module was calling.
func (n *node) settle() {
	for len(n.due) > 0 {
		o := n.due[0]
		n.due = n.due[1:]
		n.stop(o.s, o.status)
	}
}

// answer gives a client the one answer.
func (n *node) answer(r *asked, m message) {
	if r.closed {
		return
	}
	m.kind, m.id, m.on = answer, r.try.id, !n.leaving
	n.send(n.sim.all[r.front], m)
	n.close(r)
}

func (n *node) close(r *asked) {
	r.closed = true
	n.release(r)
	if n.leaving {
		n.leave()
	}
}

// release forgets a request that is closed and has nothing out.
func (n *node) release(r *asked) {
	if r.closed && r.out == 0 {
		delete(n.requests, r.id)
		if n.byTry[r.try.id] == r {
			delete(n.byTry, r.try.id)
		}
	}
}

// sweep closes connections that have idled for long.
func (n *node) sweep() {
	if n.now < n.sweepAt {
		return
	}
	n.sweepAt = n.now + sweepEvery
	for up := range n.peers {
		p := &n.peers[up]
		old := 0
		for old < len(p.idle) && n.now-p.idle[old] >= n.idleFor {
			n.drop(up)
			old++
		}
		p.idle = p.idle[old:]
	}
}

// drop closes an idle connection.
func (n *node) drop(up int) {
	n.conns--
	n.send(n.sim.servers[up], message{kind: closed})
}

// --- Host: what the module asks for ---

// Send makes an attempt.
func (n *node) Send(id balancer.RequestID, up balancer.EndpointID, timeout time.Duration) {
	r := n.requests[id]
	if r == nil || int(up) >= len(n.peers) {
		return
	}
	s := &sending{of: r, n: int32(len(r.attempts)), up: int(up), sentAt: n.now}
	r.attempts, r.out = append(r.attempts, s), r.out+1
	wait := r.deadline - n.now
	if timeout > 0 && timeout < wait {
		n.after(timeout, message{kind: expire, id: r.try.id, n: s.n, wave: n.wave})
	}
	p := &n.peers[up]
	switch last := len(p.idle) - 1; {
	case r.closed || wait <= 0 || p.state != balancer.Active:
		n.due = append(n.due, owing{s, balancer.NotSent})
	case last >= 0:
		p.idle = p.idle[:last]
		n.write(s)
	case !n.room():
		n.due = append(n.due, owing{s, balancer.NotSent})
	default:
		n.conns++
		n.send(n.sim.servers[up], message{kind: syn, id: r.try.id, n: s.n})
		n.after(n.connect, message{kind: unlinked, id: r.try.id, n: s.n, wave: n.wave})
	}
}

// room tells whether another connection may be opened. The one that has idled longest gives way.
func (n *node) room() bool {
	if n.conns < n.maxConns {
		return true
	}
	longest, since := -1, time.Duration(math.MaxInt64)
	for up := range n.peers {
		if idle := n.peers[up].idle; len(idle) > 0 && idle[0] < since {
			longest, since = up, idle[0]
		}
	}
	if longest < 0 {
		return false
	}
	n.peers[longest].idle = n.peers[longest].idle[1:]
	n.drop(longest)
	return true
}

// Refuse answers a client that another try is harmless.
func (n *node) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := n.requests[id]; r != nil {
		n.answer(r, message{status: statusRefused, span: min(retryAfter, n.settings.Limits.MaxRetryAfter)})
	}
}

// Fail answers a client with no promise.
func (n *node) Fail(id balancer.RequestID) {
	if r := n.requests[id]; r != nil {
		n.answer(r, message{status: statusFailed})
	}
}

// Cancel stops waiting for an attempt.
func (n *node) Cancel(id balancer.RequestID, i int) {
	if r := n.requests[id]; r != nil && i >= 0 && i < len(r.attempts) {
		n.due = append(n.due, owing{r.attempts[i], balancer.Cancelled})
	}
}

// SetTimer asks for a Timer event.
func (n *node) SetTimer(after time.Duration, token uint64) {
	n.after(after, message{kind: timer, id: token, wave: n.wave})
}

// Probe does nothing: reports come with answers, and days of the lab allow no probes in the model.
func (n *node) HealthCheck(balancer.EndpointID) {}

// Disconnect closes idle connections to an upstream.
func (n *node) CloseIdle(up balancer.EndpointID) {
	for range n.peers[up].idle {
		n.drop(int(up))
	}
	n.peers[up].idle = nil
}

// Watch and Fetch do nothing: an agent's lists come as soon as it has them.
func (n *node) WatchEndpoints(bool) {}
func (n *node) FetchEndpoints()     {}

// Log drops the module's lines.
func (n *node) Log(string) {}

// --- Discovery and faults ---

// announce lets every agent know of a fault's effect, as discovery learns of it.
func (s *sim) announce(c day.Change, fault day.Fault, hit day.Hit) {
	phase, delay, cold := s.day.Announced(fault, c.On)
	if phase == "" {
		return
	}
	x := &news{upstreams: hit.Targets, phase: phase}
	if cold {
		x.since = c.At
	}
	for _, a := range s.nodes {
		a.now = max(a.now, c.At)
		a.after(c.At+delay-a.now, message{kind: list, news: x})
		s.schedule(a)
	}
}

// hear takes news at the agent, which tells a process that runs at once.
func (n *node) hear(x *news) {
	switch {
	case n.silent > 0:
		n.unheard = append(n.unheard, x)
		return
	case n.fails > 0 && n.rng.Float64() < n.fails: // it calls again
		n.after(askAgain, message{kind: list, news: x})
		return
	}
	var changed []balancer.Endpoint
	for _, up := range x.upstreams {
		u := &n.listed[up]
		u.State = states[x.phase]
		if x.since > 0 && u.State == balancer.Active {
			u.StartedAt = longPast + x.since
		}
		changed = append(changed, n.dated(*u))
	}
	if n.core == nil || n.stopped {
		return
	}
	for i, up := range x.upstreams {
		n.note(history.Event{Kind: history.Told, Balancer: int32(n.index), Upstream: int32(up), Arrival: history.None, Text: x.phase})
		if n.peers[up].state = changed[i].State; changed[i].State == balancer.Active {
			continue
		}
		n.CloseIdle(balancer.EndpointID(up))
		for _, id := range slices.Sorted(maps.Keys(n.requests)) { // what waits for a connection there is not sent
			for _, s := range n.requests[id].attempts {
				if s.up == up && !s.linked && !s.told {
					n.due = append(n.due, owing{s, balancer.NotSent})
				}
			}
		}
	}
	n.core.OnEndpointUpdate(n.clock(), balancer.UpdateDelta, changed)
	n.settle()
}

// change begins or ends a fault.
func (n *node) change(i int, on bool) {
	fault := n.sim.day.Faults[i]
	switch fault.Kind {
	case "kill":
		if on && n.core != nil {
			n.process(history.Killed)
			n.die()
		} else if !on {
			if fault.State == "lose" {
				n.keptAt, n.keptList = 0, nil
			}
			n.after(bootTime, message{kind: boot})
		}
	case "term", "restart":
		if on && n.core != nil {
			n.process(history.Signalled)
			n.leaving, n.again = true, fault.Kind == "restart"
			n.after(lameDuck, message{kind: emptied, wave: n.wave})
		} else if !on && fault.Kind == "term" {
			n.after(bootTime, message{kind: boot})
		}
	case "freeze":
		if n.stopped = on; on {
			n.process(history.Frozen)
			return
		}
		n.process(history.Thawed)
		missed := n.frozen
		n.frozen = nil
		for _, m := range missed {
			n.take(m)
		}
		n.relist()
	case "clock":
		if n.offset = fault.Delay.D(); !on {
			n.offset = 0
		}
	case "discovery-silent":
		if on {
			n.silent++
		} else if n.silent--; n.silent == 0 {
			for _, x := range n.unheard {
				n.hear(x)
			}
			if n.unheard = nil; n.unasked {
				n.unasked = false
				n.ask()
			}
		}
	case "discovery-overbooked":
		if n.fails = fault.Size; !on {
			n.fails = 0
		}
	case "reset":
		n.reset(i)
	}
}

// relist tells a process that has slept what its agent holds.
func (n *node) relist() {
	if n.core == nil {
		return
	}
	var all []balancer.Endpoint
	for up, u := range n.listed {
		if n.peers[up].state != u.State {
			n.note(history.Event{Kind: history.Told, Balancer: int32(n.index), Upstream: int32(up), Arrival: history.None,
				Text: []string{"up", "draining", "removed"}[u.State]})
		}
		if n.peers[up].state = u.State; u.State != balancer.Removed {
			all = append(all, n.dated(u))
		}
	}
	n.core.OnEndpointUpdate(n.clock(), balancer.UpdateComplete, all)
	n.settle()
}

// leave ends a process that was told to, once nothing is owed.
func (n *node) leave() {
	if !n.leaving || len(n.requests) > 0 || n.core == nil {
		return
	}
	n.die()
	if n.again {
		n.after(bootTime, message{kind: boot})
	}
}

// die ends the process: all its connections end with it.
func (n *node) die() {
	n.core = nil
	for _, id := range slices.SortedFunc(maps.Keys(n.requests), cmp.Compare) {
		r := n.requests[id]
		if !r.closed {
			n.send(n.sim.all[r.front], message{kind: rst, id: r.try.id, on: true})
		}
		for _, s := range r.attempts {
			if s.linked && !s.told {
				n.send(n.sim.servers[s.up], message{kind: abandon, id: r.try.id, n: s.n})
			}
		}
	}
	for up := range n.peers {
		for range n.peers[up].idle {
			n.send(n.sim.servers[up], message{kind: closed})
		}
	}
	n.send(n.sim.zones[n.sim.fleet.Balancers[n.index].Zone], message{kind: hangup})
	n.process(history.Exited)
	n.requests, n.byTry, n.due = map[balancer.RequestID]*asked{}, map[uint64]*asked{}, nil
}

// reset breaks the connections that a fault on links hits.
func (n *node) reset(i int) {
	if n.core == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		if r == nil {
			continue
		}
		front := n.sim.all[r.front]
		if !r.closed && n.hit(i, front.party) {
			n.send(front, message{kind: rst, id: r.try.id, on: true})
			n.close(r)
			n.core.OnClientDisconnected(n.clock(), r.id)
		}
		for _, s := range r.attempts {
			if up := n.sim.servers[s.up]; s.linked && !s.told && n.hit(i, up.party) {
				n.conns--
				n.send(up, message{kind: abandon, id: r.try.id, n: s.n})
				n.tell(s, balancer.Reset, message{})
			}
		}
	}
	for up := range n.peers {
		if n.hit(i, n.sim.servers[up].party) {
			n.CloseIdle(balancer.EndpointID(up))
		}
	}
	if front := n.sim.zones[n.sim.fleet.Balancers[n.index].Zone]; n.hit(i, front.party) {
		n.send(front, message{kind: hangup})
	}
	n.settle()
}

// hit tells whether a fault on links acts between this node and another party.
func (n *node) hit(i int, p day.Party) bool {
	return n.sim.paths.Hits(i, n.party, p) || n.sim.paths.Hits(i, p, n.party)
}
