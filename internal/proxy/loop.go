package proxy

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"sprucehill/balancer"
)

const (
	// spareIdle is how long before the upstream would an idle connection is closed: a request written to one that
	// the upstream has just closed ends as a reset.
	spareIdle  = 5 * time.Second
	sweepEvery = time.Second
	logQueue   = 256
)

// event is something that happened outside, told to the loop.
type event interface{ apply(l *loop) }

// request is a client's request. The frontend fills it in; from then on it is the loop's.
type request struct {
	balancer.Request
	message  message
	at       time.Duration // when its last byte had come, or of an upload what is held
	reply    chan answer   // holds the one answer
	deadline time.Duration
	window   window
	within   func(at, most time.Duration) time.Duration // of an upload: what is left of most for one that has come at a time
	attempts []*attempt
	out      int // attempts whose outcome the module has not had
	closed   bool
}

// peer is what the loop knows of an upstream's address and connections.
type peer struct {
	id      balancer.EndpointID
	address string
	state   balancer.EndpointState
	idle    []*conn // the most recently used last
	out     map[*attempt]struct{}
}

// alarm is a timer of the module's, a request's deadline, or an attempt's time-out.
type alarm struct {
	at      time.Duration
	serial  uint64 // alarms of one moment go off in the order they were set
	token   uint64
	request *request
	attempt *attempt
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].serial < a[j].serial)
}
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)   { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*a = old[:len(old)-1]
	return x
}

// loop owns the Balancer, from one goroutine. Everything here runs on that goroutine but for post, now and what is
// started with go. It never waits for anything but its channels.
type loop struct {
	balancer  *balancer.Balancer
	ctx       context.Context
	events    chan event
	lists     chan listed // taken before any event: no send after a drain that has been told
	logs      chan line
	origin    time.Time
	epoch     time.Duration
	discovery *discovery
	stopWatch context.CancelFunc
	// stopFormer ends the watch of the discovery before, which goes on until the present one has answered.
	stopFormer context.CancelFunc
	dial       dialer
	settings   balancer.Settings
	idleFor    time.Duration
	maxConns   int

	names    *names
	places   map[string]string // zones as region/zone
	zones    zoneFigures
	state    *state
	revision uint64
	heardAt  uint64 // the latest answer that was taken, in the discovery's order; 0: none of the present one
	older    bool   // the last answer was of an older list than the one held
	serial   uint64
	alarms   alarms
	requests map[balancer.RequestID]*request
	peers    map[balancer.EndpointID]*peer
	conns    int     // connections to upstreams, open or opening
	due      []owing // outcomes that are known but not told: the module is not called while it calls
	sweepAt  time.Duration
	leaving  bool // another process needs the room of idle connections

	figures   *figures
	publishAt time.Duration
}

// owing is an outcome to tell as soon as the module has returned.
type owing struct {
	a      *attempt
	status balancer.Status
}

var _ balancer.Effects = (*loop)(nil)

func newLoop(ctx context.Context, c *Config) *loop {
	l := &loop{ctx: ctx, events: make(chan event, 1024), lists: make(chan listed, 4), logs: make(chan line, logQueue),
		origin: time.Now(), settings: c.Settings, figures: newFigures(c.Settings.Classes),
		idleFor: max(c.Links.KeepAlive-spareIdle, c.Links.KeepAlive/2), maxConns: c.upstreamConns(),
		names: newNames(), places: c.Localities, requests: map[balancer.RequestID]*request{}, peers: map[balancer.EndpointID]*peer{},
		stopWatch: func() {}, stopFormer: func() {}}
	l.dial = dialer{open: c.open, timeout: c.Links.ConnectTimeout, tries: l.figures.tries, held: newBudget(c.heldBytes()), now: l.now}
	if l.dial.open == nil {
		l.dial.open = net.DialTimeout
	}
	// The clock is Unix time at the start, going on by the monotonic clock: what discovery dates stands on it as it
	// is, also from before this process, and a clock that is set does not move it.
	l.epoch = time.Duration(l.origin.UnixNano())
	l.state = newState(c, l.log)
	l.follow(c.Discovery, l.state.known.Revision)
	if l.state.restored {
		l.discovery.rest.Store(rand.New(rand.NewPCG(c.Seed, 1)).Int64N(int64(longestSpread(c.Settings)) + 1))
	}
	return l
}

// follow takes an address as that of discovery, with a list of its held up to a revision.
func (l *loop) follow(address string, revision uint64) {
	d := newDiscovery(address, revision)
	d.post = func(x listed) {
		x.taken = make(chan struct{})
		select {
		case l.lists <- x:
		case <-l.ctx.Done():
			return
		}
		select {
		case <-x.taken:
		case <-l.ctx.Done():
		}
	}
	l.discovery = d
}

// now is the loop's clock.
func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// post tells the loop of an event. It may wait; the loop never waits for who posts.
func (l *loop) post(e event) { l.events <- e }

// start makes the Balancer and tells it the upstreams that were known before.
func (l *loop) start(c *Config) error {
	var err error
	if l.balancer, err = balancer.New(c.Settings, c.Seed, l.now(), l); err != nil {
		return err
	}
	l.members(balancer.UpdateCached, l.state.known)
	l.state.restore(l)
	if !c.Settings.PollDiscovery { // lists that are pushed come without the module's asking
		l.WatchEndpoints(true)
	}
	return nil
}

// run handles events until the context ends.
func (l *loop) run() {
	go l.writeLogs()
	clock := time.NewTimer(0)
	for {
		select { // a list goes first
		case x := <-l.lists:
			l.hear(x)
			continue
		default:
		}
		l.ring()
		if len(l.alarms) > 0 {
			clock.Reset(max(0, l.alarms[0].at-l.now()))
		}
		select {
		case x := <-l.lists:
			l.hear(x)
		case e := <-l.events:
			if len(l.lists) > 0 {
				l.hear(<-l.lists)
			}
			e.apply(l)
			l.settle()
		case <-clock.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// ring lets the alarms go off that are due.
func (l *loop) ring() {
	for len(l.alarms) > 0 && l.alarms[0].at <= l.now() {
		switch a := heap.Pop(&l.alarms).(alarm); {
		case a.attempt != nil:
			l.expire(a.attempt)
		case a.request != nil:
			for _, at := range a.request.attempts {
				l.expire(at)
			}
		default:
			l.balancer.OnTimer(l.now(), a.token)
		}
		l.settle()
	}
	now := l.now()
	if now >= l.sweepAt {
		l.sweepAt = now + sweepEvery
		l.sweep(now)
	}
	if now >= l.publishAt {
		l.publish(now)
	}
}

// publish tells the gauges that only the loop knows. The module's ticks see to it that they are never old.
func (l *loop) publish(now time.Duration) {
	l.publishAt = now + publishEvery
	known, skipped := l.balancer.EndpointCounts(now)
	l.figures.known.Set(known)
	l.figures.skipped.Set(skipped)
	l.state.learnt(l, now)
	l.zones.take(now, l.balancer.ZoneStatuses(now), l.settings.Zone, l.log)
}

func (l *loop) alarm(a alarm) {
	l.serial++
	a.serial = l.serial
	heap.Push(&l.alarms, a)
}

// --- Requests and attempts ---

// arrived is a client's request.
type arrived struct{ *request }

func (e arrived) apply(l *loop) {
	l.serial++
	r := e.request
	r.ID = balancer.RequestID(l.serial) // the module's own: what clients send need not be unique
	now := l.now()
	l.requests[r.ID] = r
	if r.Upload {
		r.deadline = noDeadline // until it has been written
	} else {
		r.deadline = r.at + r.Timeout
		r.Timeout = max(0, r.deadline-now)
		l.alarm(alarm{at: r.deadline, request: r})
	}
	l.balancer.OnRequest(now, r.Request)
}

// written tells that the last byte of an upload is on its way: the time of its request begins.
type written struct{ *attempt }

func (e written) apply(l *loop) {
	r, now := e.req, l.now()
	if e.told || r.closed {
		return
	}
	e.sentAt, r.deadline = now, now+r.within(now, r.Timeout)
	l.alarm(alarm{at: r.deadline, request: r})
	l.balancer.OnBodySent(now, r.ID, e.n)
}

// passed is the end of an answer that was passed on as it came, with its connection if that can serve again.
type passed struct {
	*peer
	conn *conn
}

func (e passed) apply(l *loop) { l.keep(e.peer, e.conn) }

// left tells that a client has closed its connection.
type left struct{ *request }

func (e left) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.close(r)
		l.balancer.OnClientDisconnected(l.now(), r.ID)
	}
	select {
	case a := <-r.reply: // it came too late to be passed on
		l.dial.held.give(cap(a.body))
		if a.more != nil {
			l.shut(a.more.conn)
		}
	default:
	}
}

// finished is the end of an attempt on its connection.
type finished struct {
	*attempt
	result
}

func (e finished) apply(l *loop) {
	a := e.attempt
	a.message, a.head = message{}, nil // an alarm may keep the attempt
	delete(a.peer.out, a)
	if s := e.result.more; s == nil {
		l.keep(a.peer, e.result.conn)
	} else if s.peer = a.peer; a.told || a.req.closed {
		l.shut(s.conn)
	}
	if !l.tell(a, e.result) {
		l.dial.held.give(cap(e.result.body))
	}
	l.forget(a.peer)
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (l *loop) tell(a *attempt, r result) (served bool) {
	if a.told {
		return false
	}
	a.told = true
	q, now := a.req, l.now()
	if r.status == balancer.Rejected || r.status == balancer.ConnectFailed || r.status == balancer.NotSent {
		q.window.never(a)
	}
	if served = r.status == balancer.OK && !q.closed; served {
		l.answer(q, answer{status: http.StatusOK, body: r.body, kind: r.kind, more: r.more})
	}
	q.out--
	closed := q.closed
	l.release(q)
	l.balancer.OnAttemptResult(now, balancer.AttemptResult{ID: q.ID, Endpoint: a.peer.id, Attempt: a.n, Latency: now - a.sentAt,
		Status: r.status, RequestClosed: closed, BodyConsumed: r.spent, Load: r.load})
	return served
}

// settle tells the outcomes that came up while the module was calling.
func (l *loop) settle() {
	for len(l.due) > 0 {
		o := l.due[0]
		l.due = l.due[1:]
		l.end(o.a, o.status)
	}
	l.due = nil
}

// end stops waiting for an attempt. One that was never written is moot.
func (l *loop) end(a *attempt, status balancer.Status) {
	if a.told {
		return
	}
	a.drop()
	if a.stage.Load() == dropped {
		status = balancer.NotSent
	} else {
		a.given.Store(true)
		a.conn.giveUp() // that tells the upstream to stop, and frees its room
	}
	l.tell(a, result{status: status})
}

// expire ends an attempt whose time is up.
func (l *loop) expire(a *attempt) {
	if !a.told {
		l.end(a, balancer.Timeout)
	}
}

// answer gives a client the one answer.
func (l *loop) answer(r *request, a answer) {
	if !r.closed {
		r.reply <- a
		l.close(r)
	}
}

// close notes that nothing more is owed for r. What still waits for its connection is not sent on: nobody would get the
// answer, whether or not the settings allow cancelling what has been sent.
func (l *loop) close(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.due = append(l.due, owing{a, balancer.NotSent})
		}
	}
	l.release(r)
}

// release forgets a request that is closed and has nothing out. Its alarm stays until its deadline, but not its body.
func (l *loop) release(r *request) {
	if r.closed && r.out == 0 {
		delete(l.requests, r.ID)
		r.message = message{}
	}
}

// --- Host: what the module asks for ---

// Send makes an attempt.
func (l *loop) Send(id balancer.RequestID, up balancer.EndpointID, timeout time.Duration) {
	r, p := l.requests[id], l.peers[up]
	if r == nil || p == nil { // the module sends what it was told of, where it was told
		l.Log(fmt.Sprintf("send of unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	a := &attempt{req: r, n: len(r.attempts), peer: p, sentAt: now, address: p.address, deadline: r.deadline}
	r.attempts, r.out = append(r.attempts, a), r.out+1
	if r.Upload {
		a.written = func() { l.post(written{a}) }
	}
	if timeout > 0 && timeout < a.remaining(now) {
		a.deadline = now + timeout
		l.alarm(alarm{at: a.deadline, attempt: a})
	}
	ok := !r.closed && a.remaining(now) > 0 && p.state == balancer.Active
	if ok {
		a.conn, ok = l.take(p)
	}
	if !ok { // nothing of its upstream's
		a.drop()
		l.due = append(l.due, owing{a, balancer.NotSent})
		return
	}
	p.out[a], a.message = struct{}{}, r.message
	go func() { l.post(finished{a, l.dial.run(a)}) }()
}

// Refuse answers a client that another try is harmless.
func (l *loop) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.AllowRetryAfter {
			retryAfter = 0
		}
		l.answer(r, answer{status: http.StatusServiceUnavailable, retryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter)})
	}
}

// Fail answers a client with no promise.
func (l *loop) Fail(id balancer.RequestID) {
	if r := l.requests[id]; r != nil {
		status := http.StatusBadGateway
		if l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.answer(r, answer{status: status})
	}
}

// Cancel stops waiting for an attempt.
func (l *loop) Cancel(id balancer.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		l.due = append(l.due, owing{r.attempts[n], balancer.Cancelled})
	}
}

// SetTimer asks for a Timer event.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.alarm(alarm{at: l.now() + max(after, 0), token: token})
}

// line is one of the log: what happened, and keys with their values.
type line struct {
	text string
	keys []any
}

// Log writes a line to the log, or drops it rather than wait.
func (l *loop) Log(text string) { l.log(text) }

func (l *loop) log(text string, keys ...any) {
	select {
	case l.logs <- line{text, keys}:
	default:
	}
}

func (l *loop) writeLogs() {
	for {
		select {
		case x := <-l.logs:
			slog.Info(x.text, x.keys...)
		case <-l.ctx.Done():
			return
		}
	}
}

// Watch begins to follow discovery, or ends it.
func (l *loop) WatchEndpoints(on bool) {
	l.stopWatch()
	l.stopWatch = func() {}
	if on {
		ctx, cancel := context.WithCancel(l.ctx)
		l.stopWatch = cancel
		go l.discovery.watch(ctx)
	}
}

// order is something that the operators want of the module; done is closed when it has been done.
type order struct {
	do   func(l *loop)
	done chan struct{}
}

func (e order) apply(l *loop) {
	defer close(e.done)
	e.do(l)
}

// moved tells the address at which discovery is from now on.
type moved string

func (e moved) apply(l *loop) {
	l.Log("discovery is at " + string(e) + " now")
	old := l.discovery
	// What the old one had not told yet, the new one tells from the beginning; its revisions are its own.
	l.revision, l.heardAt, l.older = 0, 0, false
	l.stopFormer()
	l.stopFormer, l.stopWatch = l.stopWatch, func() {}
	l.state.discovery = string(e)
	l.follow(string(e), 0)
	l.WatchEndpoints(true)
	old.client.CloseIdleConnections()
}

// Fetch asks discovery for the whole list.
func (l *loop) FetchEndpoints() { go l.discovery.fetch(l.ctx) }

// Probe asks an upstream for its load.
func (l *loop) HealthCheck(up balancer.EndpointID) {
	p := l.peers[up]
	if p == nil || p.state != balancer.Active {
		return
	}
	c, ok := l.take(p)
	if !ok {
		return
	}
	b := &probe{peer: p, sentAt: l.now(), address: p.address, load: l.settings.Reports != balancer.ReportNone, conn: c}
	go func() {
		res := l.dial.probe(b)
		l.post(probed{b, res})
	}()
}

// probed is the end of a probe.
type probed struct {
	*probe
	result
}

func (e probed) apply(l *loop) {
	l.keep(e.peer, e.result.conn)
	now := l.now()
	l.balancer.OnHealthCheckResult(now, balancer.HealthCheckResult{Endpoint: e.peer.id, Latency: now - e.sentAt, Status: e.status, Load: e.result.load})
}

// --- Connections ---

// keep takes back a connection after use; nil means that it has been closed.
func (l *loop) keep(p *peer, c *conn) {
	switch {
	case c == nil:
		l.conns--
	case c.ended: // as its answer came
		l.shut(c)
	case l.leaving || p.state != balancer.Active || c.RemoteAddr().String() != p.address:
		l.shut(c)
	case c.SetDeadline(time.Time{}) != nil: // a time-out may have been set as the answer came
		l.shut(c)
	default:
		c.idleAt = l.now()
		p.idle = append(p.idle, c)
	}
}

// take is an idle connection to p for use, or nil and room for a new one; false: there is neither. One that has idled for
// long is not used any more, between two sweeps as well: what is written as its upstream closes it ends as a reset, which
// some classes may not send again.
func (l *loop) take(p *peer) (*conn, bool) {
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		if l.now()-c.idleAt < l.idleFor {
			p.idle = p.idle[:n-1]
			return c, true
		}
		l.CloseIdle(p.id) // the youngest
	}
	if !l.room() {
		return nil, false
	}
	l.conns++
	return nil, true
}

// room tells whether another connection may be opened. Where all are taken, the one that has idled longest, at
// whatever upstream, gives way: an attempt that finds no room ends as if its upstream could not be reached.
func (l *loop) room() bool {
	if l.conns < l.maxConns {
		return true
	}
	var longest *peer
	for _, p := range l.peers {
		if len(p.idle) > 0 && (longest == nil || p.idle[0].idleAt < longest.idle[0].idleAt ||
			(p.idle[0].idleAt == longest.idle[0].idleAt && p.id < longest.id)) {
			longest = p
		}
	}
	if longest == nil {
		return false
	}
	l.shut(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// shut closes idle connections, away from the loop.
func (l *loop) shut(cs ...*conn) {
	if l.conns -= len(cs); len(cs) > 0 {
		go func() {
			for _, c := range cs {
				c.Close()
			}
		}()
	}
}

// sweep closes connections that have idled for long. The least recently used stand first.
func (l *loop) sweep(now time.Duration) {
	for _, p := range l.peers {
		n := 0
		for n < len(p.idle) && now-p.idle[n].idleAt >= l.idleFor {
			n++
		}
		if n > 0 {
			l.shut(p.idle[:n]...)
			p.idle = append([]*conn(nil), p.idle[n:]...)
		}
	}
}

// Disconnect closes the idle connections to an upstream.
func (l *loop) CloseIdle(up balancer.EndpointID) {
	if p := l.peers[up]; p != nil {
		l.shut(p.idle...)
		p.idle = nil
	}
}

// leave closes idle connections, now and from now on: a process that follows shares the limit on descriptors.
type leave struct{}

func (leave) apply(l *loop) {
	l.leaving = true
	for id := range l.peers {
		l.CloseIdle(id)
	}
}

// forget drops an upstream that is gone and has nothing out.
func (l *loop) forget(p *peer) {
	if p.state == balancer.Removed && len(p.out) == 0 && l.peers[p.id] == p {
		delete(l.peers, p.id)
	}
}

// --- Discovery ---

// hear takes an answer of discovery.
func (l *loop) hear(x listed) {
	defer close(x.taken)
	mode := balancer.UpdateDelta
	if x.Complete {
		mode = balancer.UpdateComplete
	}
	switch {
	case x.from != l.discovery:
		// It has moved since. What the old one had told counts all the same, until the new one says what is so; the
		// revisions of the two have nothing to do with each other.
		if x.err == nil && l.heardAt == 0 {
			x.Revision = 0
			l.members(mode, x.listing)
		}
	case x.err != nil:
		l.Log(x.err.Error())
		l.balancer.OnEndpointUpdate(l.now(), balancer.UpdateFailed, nil)
	case x.Revision < l.revision && (x.began < l.heardAt || !l.older):
		// Overtaken by a newer one, or out of date: it must not undo that. An agent that began anew says so again.
		l.Log(fmt.Sprintf("discovery: revision %d after %d passed over", x.Revision, l.revision))
		l.older = x.began >= l.heardAt
	default:
		if x.Revision < l.revision {
			l.Log(fmt.Sprintf("discovery: began anew at revision %d after %d", x.Revision, l.revision))
			if !x.Complete { // it says what changed, of a list that is not held: the next call gets all of it
				x.Revision = 0
			}
		}
		l.heardAt, l.older = max(l.heardAt, x.ended), false
		l.stopFormer()
		l.stopFormer = func() {}
		l.members(mode, x.listing)
		l.discovery.revision.Store(l.revision)
	}
	l.settle()
}

// members applies a list: first to the peers, so that nothing goes to one that drains, then to the module, which
// may send at once.
func (l *loop) members(mode balancer.UpdateMode, x listing) {
	l.revision = x.Revision
	list := make([]balancer.Endpoint, 0, len(x.Members))
	named := make(map[balancer.EndpointID]bool, len(x.Members))
	for i := range x.Members {
		m := &x.Members[i]
		u := m.upstream(l.names.id(m.ID))
		u.Zone = located(l.places, u.Zone)
		named[u.ID] = true
		list = append(list, u)
		l.peer(u, m.HostPort)
	}
	for id, p := range l.peers {
		if mode != balancer.UpdateDelta && !named[id] {
			p.state = balancer.Removed
			l.CloseIdle(id)
		}
		for a := range p.out {
			// Its upstream left or moved while it waited for a connection: another may have the address now.
			if (p.state != balancer.Active || a.address != p.address) && a.drop() {
				l.due = append(l.due, owing{a, balancer.NotSent})
			}
		}
	}
	l.balancer.OnEndpointUpdate(l.now(), mode, list)
	l.settle()
	l.state.told(l, mode, x)
	l.publish(l.now())
	for _, p := range l.peers {
		l.forget(p)
	}
}

// peer applies a list's entry.
func (l *loop) peer(u balancer.Endpoint, address string) {
	p := l.peers[u.ID]
	if p == nil {
		if u.State == balancer.Removed {
			return
		}
		p = &peer{id: u.ID, out: map[*attempt]struct{}{}}
		l.peers[u.ID] = p
	}
	if p.state = u.State; u.State != balancer.Active || (address != p.address && p.address != "") {
		l.CloseIdle(u.ID)
	}
	if u.State != balancer.Removed {
		p.address = address
	}
}
