package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sprucehill/balancer"
)

// deadlineTolerance is how much more time than is left an upstream may be told of, by the operators' word.
const deadlineTolerance = 10 * time.Millisecond

// clientLedger knows until when the clients of the present test wait, by request id, and when each attempt was written. The
// stand-ins of upstreams hold what each attempt tells them against it.
var clientLedger = &deadlineLedger{requests: map[string]*clientRequest{}, written: map[writtenAttempt]time.Time{}}

type deadlineLedger struct {
	mu       sync.Mutex
	requests map[string]*clientRequest
	written  map[writtenAttempt]time.Time
}

// writtenAttempt names an attempt by what it says on the wire.
type writtenAttempt struct{ id, milliseconds string }

// clientRequest is a request as the balancer's machine got it. The ledger's lock guards it.
type clientRequest struct {
	budget   time.Duration // from its last byte
	lastByte time.Time     // of those that have come
	complete bool
}

// add notes a request that no client's connection brings.
func (l *deadlineLedger) add(id string, budget time.Duration) {
	l.put(id, &clientRequest{budget: budget, lastByte: time.Now(), complete: true})
}

func (l *deadlineLedger) put(id string, r *clientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = r
}

// remaining is how long the client of a request waits after now; false: nobody sent it.
func (l *deadlineLedger) remaining(id string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return 0, false
	}
	if !r.complete { // its time has not begun
		return r.budget, true
	}
	return r.budget - now.Sub(r.lastByte), true
}

// knows tells whether the balancer's machine has got a request.
func (l *deadlineLedger) knows(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id] != nil
}

// attemptWritten notes that the head of an attempt is about to be written.
func (l *deadlineLedger) attemptWritten(head string) {
	key := writtenAttempt{fieldOf(head, "X-Request-Id"), fieldOf(head, "X-Deadline-Ms")}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written[key] = time.Now()
}

// firstByteOf is when an attempt was written, as its connection has noted it: a stand-in on a busy machine reads it later.
func (l *deadlineLedger) firstByteOf(r *http.Request) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.written[writtenAttempt{r.Header.Get("X-Request-Id"), r.Header.Get("X-Deadline-Ms")}]
	return at, ok
}

// check fails the test where an attempt tells more than its client still waited for at its first byte.
func (l *deadlineLedger) check(t testing.TB, r *http.Request) {
	t.Helper()
	id := r.Header.Get("X-Request-Id")
	if id == "" && (r.URL.Path == "/load" || r.URL.Path == "/healthz") {
		return // a health check, which no client waits for
	}
	milliseconds, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		t.Errorf("request %q: the time told to the upstream: %v", id, err)
		return
	}
	told := time.Duration(milliseconds) * time.Millisecond
	firstByte, noted := l.firstByteOf(r)
	if !noted {
		t.Errorf("request %q came on a connection that notes nothing", id)
		return
	}
	left, known := l.remaining(id, firstByte)
	if !known {
		t.Errorf("an upstream got request %q, which no client sent", id)
	}
	if told > max(left, time.Millisecond)+deadlineTolerance {
		t.Errorf("request %s: its upstream is told of %v, its client waits for %v more", id, told, left)
	}
}

// recordingOpener opens connections to upstreams that note when each attempt is written.
func recordingOpener(open dialFunc) dialFunc {
	if open == nil {
		open = net.DialTimeout
	}
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := open(network, address, timeout)
		if err != nil {
			return nil, err
		}
		return recordingUpstreamConn{c}, nil
	}
}

// recordingUpstreamConn is a connection to an upstream that notes when each attempt is written.
type recordingUpstreamConn struct{ net.Conn }

func (c recordingUpstreamConn) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("\r\nX-Deadline-Ms: ")) {
		clientLedger.attemptWritten(string(p))
	}
	return c.Conn.Write(p)
}

func (c recordingUpstreamConn) CloseWrite() error { return c.Conn.(halfCloser).CloseWrite() }

func (c recordingUpstreamConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// fieldOf is a field of a head; empty: it has none.
func fieldOf(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if key, value, _ := strings.Cut(line, ":"); strings.EqualFold(key, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// recordingListener notes in the ledger what its connections bring.
type recordingListener struct{ *net.TCPListener }

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &recordingConn{TCPConn: c}, nil
}

// recordingConn is a client's connection whose requests are noted. Whoever reads it holds its lock.
type recordingConn struct {
	*net.TCPConn
	mu       sync.Mutex
	head     []byte // the present head, as far as it has come
	request  *clientRequest
	bodyLeft int    // bytes that the present body still lacks; negative: it comes in chunks
	tail     string // the end of a body in chunks
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(p[:n], time.Now())
	return n, err
}

// record follows the requests that arrive.
func (c *recordingConn) record(p []byte, now time.Time) {
	for len(p) > 0 {
		if c.request != nil {
			p = p[c.recordBody(p, now):]
			continue
		}
		c.head = append(c.head, p...)
		end := bytes.Index(c.head, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		p = c.head[end+4:]
		c.begin(string(c.head[:end+4]), now)
		c.head = nil
	}
}

// begin takes a head that has come whole.
func (c *recordingConn) begin(head string, now time.Time) {
	r := &clientRequest{budget: classDeadline, lastByte: now}
	if ms, err := strconv.ParseInt(fieldOf(head, "X-Deadline-Ms"), 10, 32); err == nil && ms >= 0 {
		r.budget = min(r.budget, time.Duration(ms)*time.Millisecond)
	}
	c.bodyLeft, _ = strconv.Atoi(fieldOf(head, "Content-Length"))
	if fieldOf(head, "Transfer-Encoding") != "" {
		c.bodyLeft = -1
	}
	if r.complete = c.bodyLeft == 0; !r.complete {
		c.request, c.tail = r, ""
	}
	clientLedger.put(fieldOf(head, "X-Request-Id"), r)
}

// recordBody takes what has come of the present body and returns how much of p that is.
func (c *recordingConn) recordBody(p []byte, now time.Time) int {
	n := len(p)
	var complete bool
	if c.bodyLeft >= 0 {
		n = min(n, c.bodyLeft)
		c.bodyLeft -= n
		complete = c.bodyLeft == 0
	} else {
		c.tail += string(p)
		complete = strings.HasPrefix(c.tail, "0\r\n\r\n") || strings.Contains(c.tail, "\r\n0\r\n") && strings.HasSuffix(c.tail, "\r\n\r\n")
		c.tail = c.tail[max(0, len(c.tail)-64):]
	}
	clientLedger.mu.Lock()
	defer clientLedger.mu.Unlock()
	c.request.lastByte, c.request.complete = now, complete
	if complete {
		c.request = nil
	}
	return n
}

// An upstream is told how long the balancer will wait from the moment at which the attempt is written, however late its
// connection comes up. It was told what was left when the module had decided, before the connection: 1.5 s too much where
// that comes up 1.5 s late.
func TestUpstreamIsToldWhatIsLeftWhenTheAttemptIsWritten(t *testing.T) {
	const (
		budget  = 3 * time.Second
		timeout = 2 * time.Second
		late    = 300 * time.Millisecond
	)
	for _, retry := range []bool{false, true} {
		for _, upload := range []bool{false, true} {
			for _, ownTimeout := range []time.Duration{0, timeout} {
				t.Run(fmt.Sprintf("retry %v, upload %v, time-out %v", retry, upload, ownTimeout), func(t *testing.T) {
					s, g := newServer(t, okAll), newGate(t)
					l := bench(t, 10)
					l.dial.open = recordingOpener(g.open)
					join(l, 1, s)
					r := l.requestFor(1, budget)
					if upload {
						r.uploadOf(strings.NewReader("rest"), 4)
					}
					if retry { // the first found its upstream gone while it waited for its connection
						l.Send(1, 1, 0)
						r.attempts[0].drop()
						close(g.next(t).up)
						(<-l.events).apply(l)
						l.CloseIdle(1)
					}
					began := l.now()
					l.Send(1, 1, ownTimeout)
					time.Sleep(late)
					close(g.next(t).up)
					got := <-s.arrivals
					ms, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
					if err != nil {
						t.Fatal(err)
					}
					wait := budget // of an upload, from its last byte
					if ownTimeout > 0 {
						wait = ownTimeout - late
					} else if !upload {
						wait = r.deadline - began - late
					}
					if told := time.Duration(ms) * time.Millisecond; told > wait || told < wait/2 {
						t.Errorf("told of %v, want at most %v and over half of it", told, wait)
					}
				})
			}
		}
	}
}

// An attempt whose connection comes up when its time is over is not written: neither where its request's time is over, nor
// where its own time-out is.
func TestAttemptWithNoTimeLeftIsNotWritten(t *testing.T) {
	const short = 50 * time.Millisecond
	for _, x := range []struct {
		name            string
		budget, timeout time.Duration
		upload          bool
	}{
		{"the request's time", short, 0, false},
		{"its own time-out", time.Minute, short, false},
		{"its own time-out, upload", time.Minute, short, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, g := newServer(t, okAll), newGate(t)
			l := bench(t, 10)
			l.dial.open = recordingOpener(g.open)
			join(l, 1, s)
			r := l.requestFor(1, x.budget)
			if x.upload {
				r.uploadOf(strings.NewReader("rest"), 4)
			}
			l.Send(1, 1, x.timeout)
			want(t, "sent", r.out, 1)
			time.Sleep(2 * short) // no alarm goes off: the loop does not run
			close(g.next(t).up)
			e := (<-l.events).(finished)
			want(t, "outcome", e.status, balancer.NotSent)
			want(t, "its connection serves again", e.result.conn != nil, true)
			e.apply(l)
			want(t, "requests at the upstream", len(s.arrivals), 0)
		})
	}
}

// requestFor adds a request to a loop whose client waits for budget from now on.
func (l *loop) requestFor(id balancer.RequestID, budget time.Duration) *request {
	r := l.request(id)
	r.Timeout, r.deadline = budget, l.now()+budget
	clientLedger.add(r.message.header.Get("X-Request-Id"), budget)
	return r
}

// uploadOf makes a request one whose body is still coming.
func (r *request) uploadOf(rest io.Reader, length int64) {
	r.Upload, r.deadline = true, noDeadline
	r.message.rest, r.message.contentLength = rest, length
	r.within = func(_, most time.Duration) time.Duration { return most }
	clientLedger.put(r.message.header.Get("X-Request-Id"), &clientRequest{budget: r.Timeout})
}

// A request that came behind another waits for its turn, and its time counts from its own last byte all the same. It counted
// from its turn, so that its upstream was told too much.
func TestTimeOfARequestBehindAnotherCountsFromItsLastByte(t *testing.T) {
	const wait = 400 * time.Millisecond
	for _, x := range []struct {
		name    string
		inPiece bool // it comes in one piece with the first
	}{
		{"later", false},
		{"in one piece", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, g := newServer(t, okAll), newGate(t)
			b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.open = g.open }, up("s-00000001", s))
			var text bytes.Buffer
			if err := b.ask("checkin", "").Write(&text); err != nil {
				t.Fatal(err)
			}
			now, later := "", text.String()
			if x.inPiece {
				now, later = later, ""
			}
			c := b.raw(t, "checkin", "", now)
			up := g.next(t) // the first has been taken
			if _, err := io.WriteString(c, later); err != nil {
				t.Fatal(err)
			}
			time.Sleep(wait)
			close(up.up)
			g.openAllNow()
			in := bufio.NewReader(c)
			for range 2 {
				partialRequest{Conn: c, in: in}.answer(t, http.StatusOK) // the upstream holds what it is told against the ledger
			}
		})
	}
}
