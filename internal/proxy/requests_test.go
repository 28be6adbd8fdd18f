package proxy

import (
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"sprucehill/balancer"
)

// deadlineRecorder is a connection that only records its deadline.
type deadlineRecorder struct {
	net.Conn
	at time.Time
}

func (d *deadlineRecorder) SetDeadline(t time.Time) error     { d.at = t; return nil }
func (d *deadlineRecorder) SetReadDeadline(t time.Time) error { d.at = t; return nil }

// An attempt that is given up closes its connection, which ends every wait on it: that tells the upstream to stop, and
// the capacity is needed. Connections that waited for late responses once held a quarter of it for 3 s each.
func TestAbandonedAttemptClosesItsConnection(t *testing.T) {
	for _, closed := range []bool{false, true} { // its request may be retried, or has been answered
		l := bench(t, 2)
		p := &peer{id: 1, out: map[*attempt]struct{}{}}
		d := &deadlineRecorder{}
		a := &attempt{req: l.request(1), peer: p, conn: &conn{Conn: d}}
		a.req.out = 1
		a.req.closed = closed
		a.stage.Store(claimed)
		l.endAttempt(a, balancer.Cancelled)
		if d.at.IsZero() || d.at.After(time.Now()) {
			t.Errorf("request closed %v: deadline %v, want one that has passed", closed, d.at)
		}
	}
}

// The timer of a closed request stays until its deadline. It once kept the body in memory all that time, although the
// byte budget had been given it back.
func TestClosedRequestReleasesItsBody(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request) bool { <-release; return okAll(c, r) })
	l := bench(t, 10)
	join(l, 1, s)
	r := l.request(1)
	r.message.body = []byte("body")
	l.setTimer(timer{at: r.deadline, request: r})
	l.Send(1, 1, 0)
	a := r.attempts[0]
	<-s.arrivals
	l.Fail(1)
	want(t, "held while an attempt is out", len(r.message.body), 4)
	close(release)
	for e := range l.events {
		e.apply(l)
		if e, ok := e.(finished); ok && e.attempt == a {
			break
		}
	}
	want(t, "held by the request", r.message.body == nil, true)
	want(t, "held by the attempt", a.message.body == nil && a.head == nil, true)
	for { // its timer fires all the same, and finds nothing left to do
		pending, ok := l.timers.popDue(math.MaxInt64)
		if !ok {
			break
		}
		if pending.request != nil {
			l.fire(pending)
		}
	}
}

// writeRecorder is a connection that records when its sending begins and ends. After an error its reader goes on only
// when the test closes read.
type writeRecorder struct {
	*net.TCPConn
	events chan string
	read   chan struct{}
	begin  sync.Once
	end    sync.Once
}

func (c *writeRecorder) Write(p []byte) (int, error) {
	c.begin.Do(func() { c.events <- "sent" }) // head and body are two writes
	return c.TCPConn.Write(p)
}

func (c *writeRecorder) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		<-c.read
	}
	return n, err
}

func (c *writeRecorder) CloseWrite() error {
	c.end.Do(func() { c.events <- "ended" })
	return c.TCPConn.CloseWrite()
}

func (c *writeRecorder) Close() error {
	c.end.Do(func() { c.events <- "ended" })
	return c.TCPConn.Close()
}

// An attempt that is given up has ended at its upstream before the next one is sent: where the settings have no hedged
// requests two must not be in flight at once. Once its connection was closed by its reader, whenever that came to it.
func TestAbandonedAttemptEndsBeforeTheRetryIsSent(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := newServer(t, func(net.Conn, *http.Request) bool { <-hold; return false })
	events := make(chan string, 100)
	read := make(chan struct{})
	b := newBalancerWith(t, newRegistry(t), func(c *Config) {
		c.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
			x, err := net.DialTimeout(network, address, timeout)
			if err != nil {
				return nil, err
			}
			return &writeRecorder{TCPConn: x.(*net.TCPConn), events: events, read: read}, nil
		}
	}, up("s-00000001", s), up("s-00000002", s))
	defer close(read)
	b.raw(t, "read", "", "")
	<-s.arrivals
	want(t, "first", <-events, "sent")
	b.inLoop(t, func(l *loop) {
		for id := range l.requests {
			l.Cancel(id, 0)
		}
		l.settle()
	})
	<-s.arrivals // the next attempt
	want(t, "then", <-events, "ended")
	want(t, "then", <-events, "sent")
}

// permutations calls do with every order of the numbers below n.
func permutations(n int, do func(order []int)) {
	var extend func(order, rest []int)
	extend = func(order, rest []int) {
		if len(rest) == 0 {
			do(order)
		}
		for i, x := range rest {
			extend(append(slices.Clone(order), x), slices.Delete(slices.Clone(rest), i, i+1))
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	extend(nil, all)
}

// attemptEnd is how an attempt of an endsTrial ends.
type attemptEnd string

const (
	endsAnswered attemptEnd = "answer"
	endsStreamed attemptEnd = "stream"
	endsReset    attemptEnd = "reset"
	endsUnsent   attemptEnd = "unsent"
)

// endsTrial is a loop with one request that has two attempts in flight.
type endsTrial struct {
	loop        *loop
	endpoint    *peer
	request     *request
	results     []result // of the attempts, once they have ended
	bytesBefore int64    // free in the byte budget
	answers     int
}

func newEndsTrial(t *testing.T, ends ...attemptEnd) *endsTrial {
	t.Helper()
	l := bench(t, 10)
	endpoint := &peer{id: 1, address: "pipe", state: balancer.Active, out: map[*attempt]struct{}{}}
	l.peers[1] = endpoint
	trial := &endsTrial{loop: l, endpoint: endpoint, request: l.request(1), bytesBefore: l.dial.held.free.Load()}
	for _, end := range ends {
		trial.addAttempt(t, end)
	}
	return trial
}

// addAttempt adds an attempt that is in flight, with the result that it will have.
func (x *endsTrial) addAttempt(t *testing.T, end attemptEnd) {
	t.Helper()
	mine, other := net.Pipe()
	t.Cleanup(func() { other.Close() })
	c := &conn{Conn: mine}
	a := &attempt{req: x.request, n: len(x.request.attempts), peer: x.endpoint, conn: c}
	x.request.attempts = append(x.request.attempts, a)
	x.request.out++
	x.loop.pool.conns++
	x.endpoint.out[a] = struct{}{}
	if end != endsUnsent {
		a.stage.Store(claimed)
	}
	const bodyBytes = 100
	var r result
	switch end {
	case endsAnswered:
		x.loop.dial.held.take(bodyBytes)
		r = result{status: balancer.OK, body: make([]byte, 0, bodyBytes), conn: c}
	case endsStreamed:
		x.loop.dial.held.take(bodyBytes)
		r = result{status: balancer.OK, body: make([]byte, 0, bodyBytes), more: &stream{conn: c}}
	case endsReset:
		r = result{status: balancer.Reset}
	case endsUnsent:
		r = result{status: balancer.NotSent, conn: c}
	}
	x.results = append(x.results, r)
}

// endsTrialSteps is how many steps there are.
const endsTrialSteps = 5

// step does one of the things that end a request.
func (x *endsTrial) step(number int) {
	switch number {
	case 0, 1:
		finished{x.request.attempts[number], x.results[number]}.apply(x.loop)
	case 2:
		x.loop.expireAttempt(x.request.attempts[0])
	case 3:
		x.loop.Fail(1)
	case 4:
		left{x.request}.apply(x.loop)
	}
	x.loop.settle()
}

// drain takes the answers that the frontend would not: the client disconnected as they came.
func (x *endsTrial) drain() {
	for len(x.request.reply) > 0 {
		a := <-x.request.reply
		x.answers++
		x.loop.dial.held.give(cap(a.body))
		if a.more != nil {
			x.loop.pool.close(a.more.conn)
		}
	}
}

// check fails the test if there was more than one answer, or something is still counted or in memory.
func (x *endsTrial) check(t *testing.T) {
	t.Helper()
	l := x.loop
	if x.answers > 1 {
		t.Errorf("%d answers", x.answers)
	}
	want(t, "bytes in the budget", l.dial.held.free.Load(), x.bytesBefore)
	want(t, "connections", l.pool.conns, len(x.endpoint.idle))
	want(t, "attempts of the request", x.request.out, 0)
	want(t, "attempts at the endpoint", len(x.endpoint.out), 0)
	want(t, "requests", len(l.requests), 0)
}

// Two attempts of a request end, the first one's time-out fires, the request fails, and its client disconnects, in every
// order. The attempts each end with a response, one that is passed on as it comes, a reset, or unsent. There is at most
// one answer, and nothing stays counted or in memory.
func TestRequestEndsInEveryOrder(t *testing.T) {
	ends := []attemptEnd{endsAnswered, endsStreamed, endsReset, endsUnsent}
	trials := 0
	for _, first := range ends {
		for _, second := range ends {
			permutations(endsTrialSteps, func(order []int) {
				trials++
				trial := newEndsTrial(t, first, second)
				for _, number := range order {
					trial.step(number)
				}
				trial.drain()
				trial.check(t)
				if t.Failed() {
					t.Fatalf("%s and %s, order %v", first, second, order)
				}
			})
		}
	}
	t.Logf("%d trials", trials)
}
