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

// deadlineRecorder is a connection that only records the last deadline set.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (d *deadlineRecorder) SetDeadline(t time.Time) error     { d.deadline = t; return nil }
func (d *deadlineRecorder) SetReadDeadline(t time.Time) error { d.deadline = t; return nil }

// Abandoning an attempt closes its connection by a deadline that ends pending reads and writes: that tells the upstream to
// stop and frees the capacity. Guards against connections that wait for late responses, which used up a quarter of the
// capacity for 3 s each.
func TestAbandonedAttemptClosesItsConnection(t *testing.T) {
	for _, closed := range []bool{false, true} { // the request may still be retried, or has been answered
		l := newTestLoop(t, 2)
		p := &endpoint{id: 1, inFlight: map[*attempt]struct{}{}}
		d := &deadlineRecorder{}
		a := &attempt{request: l.addRequest(1), endpoint: p, conn: newUpstreamConn(d)}
		a.request.undelivered = 1
		a.request.closed = closed
		a.stage.Store(attemptClaimed)
		l.endAttempt(a, balancer.Cancelled)
		if d.deadline.IsZero() || d.deadline.After(time.Now()) {
			t.Errorf("request closed %v: deadline %v, want one that has passed", closed, d.deadline)
		}
	}
}

// The timer of a closed request stays queued until the deadline. Guards against a timer that keeps the body in memory until
// then although its bytes have been released to the body budget.
func TestClosedRequestReleasesItsBody(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	l := newTestLoop(t, 10)
	addEndpoint(l, 1, s)
	r := l.addRequest(1)
	r.message.body = []byte("body")
	l.setDeadlineTimer(r)
	l.Send(1, 1, 0)
	a := r.attempts[0]
	<-s.arrivals
	l.Fail(1)
	assertEqual(t, "body bytes while an attempt is in flight", len(r.message.body), 4)
	close(release)
	for e := range l.events {
		e.apply(l)
		if e, ok := e.(attemptFinished); ok && e.attempt == a {
			break
		}
	}
	assertEqual(t, "body released by the request", r.message.body == nil, true)
	assertEqual(t, "body released by the attempt", a.message.body == nil && a.head == nil, true)
	for { // its timer still fires, without effect
		pending, ok := l.timers.popDue(math.MaxInt64)
		if !ok {
			break
		}
		if pending.request != nil {
			l.fire(pending)
		}
	}
}

// writeRecorder is a connection that records when writing starts and ends. After a read error, Read returns only when the
// test closes read.
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

// An abandoned attempt has ended for its upstream before the retry is sent: without hedged requests in the settings, two
// attempts must not be in flight at once. Guards against leaving the close of the connection to its reader, which may come
// later than the retry.
func TestAbandonedAttemptEndsBeforeTheRetryIsSent(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := newTestUpstream(t, func(net.Conn, *http.Request) bool { <-hold; return false })
	events := make(chan string, 100)
	read := make(chan struct{})
	b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) {
		c.openConn = func(network, address string, timeout time.Duration) (net.Conn, error) {
			x, err := net.DialTimeout(network, address, timeout)
			if err != nil {
				return nil, err
			}
			return &writeRecorder{TCPConn: x.(*net.TCPConn), events: events, read: read}, nil
		}
	}, activeMember("s-00000001", s), activeMember("s-00000002", s))
	defer close(read)
	b.sendRaw(t, "read", "")
	<-s.arrivals
	assertEqual(t, "first", <-events, "sent")
	b.runInLoop(t, func(l *loop) {
		for id := range l.requests {
			l.Cancel(id, 0)
		}
		l.deliverOutcomes()
	})
	<-s.arrivals // the next attempt
	assertEqual(t, "then", <-events, "ended")
	assertEqual(t, "then", <-events, "sent")
}

// permutations calls do with every permutation of the numbers from 0 to n-1.
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

// attemptEnd is the way in which an attempt of a requestEndTrial ends.
type attemptEnd string

const (
	endsAnswered attemptEnd = "answer"
	endsStreamed attemptEnd = "stream"
	endsReset    attemptEnd = "reset"
	endsUnsent   attemptEnd = "unsent"
)

// requestEndTrial is a loop with one request that has two attempts in flight.
type requestEndTrial struct {
	loop        *loop
	endpoint    *endpoint
	request     *request
	results     []attemptResult // results with which the attempts will end
	bytesBefore int64           // available in the body budget before the trial
	responses   int
}

func newRequestEndTrial(t *testing.T, ends ...attemptEnd) *requestEndTrial {
	t.Helper()
	l := newTestLoop(t, 10)
	endpoint := &endpoint{id: 1, address: "pipe", state: balancer.Active, inFlight: map[*attempt]struct{}{}}
	l.endpoints[1] = endpoint
	trial := &requestEndTrial{loop: l, endpoint: endpoint, request: l.addRequest(1), bytesBefore: l.dialer.bodyBudget.Available()}
	for _, end := range ends {
		trial.addAttempt(t, end)
	}
	return trial
}

// addAttempt adds an attempt in flight and the result with which it will end.
func (x *requestEndTrial) addAttempt(t *testing.T, end attemptEnd) {
	t.Helper()
	mine, other := net.Pipe()
	t.Cleanup(func() { other.Close() })
	c := newUpstreamConn(mine)
	a := &attempt{request: x.request, index: len(x.request.attempts), endpoint: x.endpoint, conn: c}
	x.request.attempts = append(x.request.attempts, a)
	x.request.undelivered++
	x.loop.pool.open++
	x.endpoint.inFlight[a] = struct{}{}
	if end != endsUnsent {
		a.stage.Store(attemptClaimed)
	}
	const bodyBytes = 100
	var r attemptResult
	switch end {
	case endsAnswered:
		x.loop.dialer.bodyBudget.Reserve(bodyBytes)
		r = attemptResult{status: balancer.OK, body: make([]byte, 0, bodyBytes), conn: c}
	case endsStreamed:
		x.loop.dialer.bodyBudget.Reserve(bodyBytes)
		r = attemptResult{status: balancer.OK, body: make([]byte, 0, bodyBytes), stream: &responseStream{conn: c}}
	case endsReset:
		r = attemptResult{status: balancer.Reset}
	case endsUnsent:
		r = attemptResult{status: balancer.NotSent, conn: c}
	}
	x.results = append(x.results, r)
}

// requestEndSteps is the number of steps of a requestEndTrial.
const requestEndSteps = 5

// step performs one of the steps, each of which ends the request or one of its attempts.
func (x *requestEndTrial) step(number int) {
	switch number {
	case 0, 1:
		attemptFinished{x.request.attempts[number], x.results[number]}.apply(x.loop)
	case 2:
		x.loop.expireAttempt(x.request.attempts[0])
	case 3:
		x.loop.Fail(1)
	case 4:
		clientDisconnected{x.request}.apply(x.loop)
	}
	x.loop.deliverOutcomes()
}

// discardReplies releases the responses that the frontend has not received because the client disconnected.
func (x *requestEndTrial) discardReplies() {
	for len(x.request.reply) > 0 {
		a := <-x.request.reply
		x.responses++
		x.loop.dialer.bodyBudget.Release(cap(a.body))
		if a.stream != nil {
			x.loop.pool.close(a.stream.conn)
		}
	}
}

// check fails the test if there was more than one response, or if anything has not been released.
func (x *requestEndTrial) check(t *testing.T) {
	t.Helper()
	l := x.loop
	if x.responses > 1 {
		t.Errorf("%d responses, want at most 1", x.responses)
	}
	assertEqual(t, "bytes in the budget", l.dialer.bodyBudget.Available(), x.bytesBefore)
	assertEqual(t, "connections", l.pool.open, len(x.endpoint.idle))
	assertEqual(t, "attempts of the request", x.request.undelivered, 0)
	assertEqual(t, "attempts at the endpoint", len(x.endpoint.inFlight), 0)
	assertEqual(t, "requests", len(l.requests), 0)
}

// Two attempts of a request end, the timeout of the first fires, the request fails, and its client disconnects, in every
// order. Each attempt ends with a buffered response, a streamed response, a reset, or unsent. There is at most one response
// to the client, and all resources are released.
func TestRequestEndsInEveryOrder(t *testing.T) {
	ends := []attemptEnd{endsAnswered, endsStreamed, endsReset, endsUnsent}
	trials := 0
	for _, first := range ends {
		for _, second := range ends {
			permutations(requestEndSteps, func(order []int) {
				trials++
				trial := newRequestEndTrial(t, first, second)
				for _, number := range order {
					trial.step(number)
				}
				trial.discardReplies()
				trial.check(t)
				if t.Failed() {
					t.Fatalf("%s and %s, order %v", first, second, order)
				}
			})
		}
	}
	t.Logf("%d trials", trials)
}
