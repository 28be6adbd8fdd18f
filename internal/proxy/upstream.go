package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/metrics"
	"sprucehill/internal/wire"
)

// This file carries out one attempt on one connection. http.Transport is not used
// for it: it may write a request again by itself when a kept connection breaks,
// closes the connection of an attempt that is given up, and does not tell whether
// the last byte was written. Messages are still read by net/http.

// conn is a connection to an upstream. It belongs to one attempt or, idle, to the
// loop; nobody else touches it.
type conn struct {
	net.Conn
	limit  *io.LimitedReader // what one answer may still come to
	in     *bufio.Reader     // reads from limit
	idleAt time.Duration     // on the loop's clock
	ended  bool              // the loop: it has been given up
}

// maxAnswer bounds an answer with its head, its framing and what comes before it: an upstream that goes on and on must
// not fill the memory.
const maxAnswer = 8 * maxBody

// errStale says that a kept connection was closed by the other side while idle.
var errStale = errors.New("closed while idle")

// fresh looks, without waiting, whether an idle connection still stands.
func (c *conn) fresh() error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var readErr error
	var b [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b[:])
		return true
	}); err != nil {
		return err
	}
	if n > 0 || c.in.Buffered() > 0 || !errors.Is(readErr, syscall.EAGAIN) {
		return errStale // closed, or bytes that nobody asked for
	}
	return nil
}

// giveUp ends the attempt on the connection, from outside. Its sending has ended when giveUp returns, which is what gives an
// attempt up: one that follows must not be out beside it where the settings forbid that. Its reader then closes it.
func (c *conn) giveUp() {
	c.ended = true
	if half, ok := c.Conn.(halfCloser); ok {
		half.CloseWrite()
	}
	c.SetDeadline(past)
}

// The stages of an attempt. The loop may drop one that waits for its connection;
// what has been claimed for writing counts as sent.
const (
	waiting int32 = iota
	claimed
	dropped
)

// attempt is one send of a request to an upstream.
type attempt struct {
	req     *request
	message message // the request's, which lets go of its own once it is closed
	n       int     // order of the request's sends, from 0
	peer    *peer
	sentAt  time.Duration
	address string
	// deadline is when the balancer stops waiting for the attempt, on the loop's clock; noDeadline: an upload without a
	// time-out of its own, whose time begins with its last byte.
	deadline time.Duration
	head     []byte // the message as it goes on the wire, but for its body; rendered once the attempt is claimed
	stage    atomic.Int32
	given    atomic.Bool // given up: its connection is to be closed
	written  func()      // an upload: called when its last byte is written
	conn     *conn       // read by the loop only once the attempt is claimed
	told     bool        // the loop: the module has had its outcome
}

// noDeadline is the deadline of what is not bound in time yet.
const noDeadline time.Duration = math.MaxInt64

// remaining returns for how long after now, on the loop's clock, the balancer will wait for the attempt's answer. Of an upload
// that is its request's whole budget until the last byte has been written, unless the attempt's own time-out or the end of the
// process comes first.
func (a *attempt) remaining(now time.Duration) time.Duration {
	left := a.deadline - now
	if a.req.Upload {
		left = min(left, a.req.within(now, a.req.Timeout))
	}
	return left
}

// drop keeps an attempt that has not begun to be written from being sent.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(waiting, dropped) }

// claim takes the attempt for writing at a time. False: it has been dropped, or its connection came up so late that no time
// remains for it or that it would be a repeat which upstreams do not know as one any more, and is dropped now.
func (a *attempt) claim(now time.Duration) bool {
	w := &a.req.window
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.remaining(now) <= 0 || slices.ContainsFunc(w.ran, func(x ran) bool { return now-x.at >= w.span }) {
		a.drop()
	}
	if !a.stage.CompareAndSwap(waiting, claimed) {
		return false
	}
	if w.span > 0 {
		w.ran = append(w.ran, ran{a, now})
	}
	return true
}

// window bounds in time the attempts of a request whose upstreams throw away repeats for a while only. The module looks at it
// when it asks for an attempt, but one may wait for its connection until after the end. Attempts are few, so it is a list.
type window struct {
	span time.Duration // from the first attempt that may have run; 0: nothing is bound
	mu   sync.Mutex
	ran  []ran // nothing where nothing is bound
}

// ran is an attempt that may have run, and when its first byte was about to be written.
type ran struct {
	*attempt
	at time.Duration
}

// never notes that an attempt has certainly not run: it binds no other.
func (w *window) never(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran = slices.DeleteFunc(w.ran, func(x ran) bool { return x.attempt == a })
}

// result is how an attempt ended, with its connection if that can serve again.
type result struct {
	status balancer.Status
	load   balancer.LoadReport
	body   []byte
	kind   string // the body's Content-Type
	conn   *conn
	spent  bool    // an upload of which a part is gone
	more   *stream // the rest of an answer that is passed on as it comes; conn is its own then
}

// stream is the rest of an answer. It belongs to who passes it on, with its connection.
type stream struct {
	resp *http.Response
	conn *conn
	peer *peer
	read int64 // bytes of the body that have been passed on
}

// errEndless says that an answer without a length has gone on for longer than any does.
var errEndless = errors.New("an answer that does not end")

// next reads what comes next; an upstream that gives nothing for long, or goes on and on, ends the stream.
func (s *stream) next(p []byte) (n int, err error) {
	if s.read > longestAnswer {
		return 0, errEndless
	}
	defer func() { s.read += int64(n) }()
	if err := s.conn.SetReadDeadline(time.Now().Add(stall)); err != nil {
		return 0, err
	}
	s.conn.limit.N = maxAnswer // the bound is for heads and framing; a body passes through
	return s.resp.Body.Read(p)
}

// end returns the connection if it can serve again, and else closes it.
func (s *stream) end(whole bool) *conn {
	if !whole || s.resp.Close {
		s.conn.Close()
		return nil
	}
	return s.conn
}

// opener opens a connection to an address.
type opener func(network, address string, timeout time.Duration) (net.Conn, error)

// dialer opens connections to upstreams.
type dialer struct {
	open    opener
	timeout time.Duration
	tries   *metrics.Counter // attempts written whole
	held    *budget
	now     func() time.Duration // the loop's clock
}

// connect returns the idle connection if it still stands, or a new one.
func (d dialer) connect(idle *conn, address string) (*conn, error) {
	if idle != nil {
		if idle.fresh() == nil {
			return idle, nil
		}
		idle.Close() // nothing was written on it: another connection serves as well
	}
	c, err := d.open("tcp", address, d.timeout)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: c, N: maxAnswer}
	return &conn{Conn: c, limit: limit, in: bufio.NewReaderSize(limit, 2<<10)}, nil
}

// stall is how long an upstream may take nothing of a body, or give nothing of an answer that has begun.
const stall = 5 * time.Second

// errClient says that the client's side of an upload failed.
var errClient = errors.New("the client's body did not come whole")

// write puts the message on the wire, an upload as it comes. sent tells whether its last byte is written.
func (d dialer) write(a *attempt, c *conn) (sent, spent bool, err error) {
	m := &a.message
	message := net.Buffers{a.head, m.body}
	size := int64(len(a.head) + len(m.body))
	if m.rest == nil {
		n, err := message.WriteTo(c)
		return n == size, false, err
	}
	prefix := func(n int) []byte { return nil }
	if m.length < 0 { // in chunks, as it came
		prefix = func(n int) []byte { return strconv.AppendInt(nil, int64(n), 16) }
		message = net.Buffers{a.head, prefix(len(m.body)), crlf, m.body, crlf}
	}
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	for {
		if err := c.SetWriteDeadline(time.Now().Add(stall)); err != nil {
			return false, spent, err
		}
		if a.given.Load() { // in the meantime: its own deadline was just undone
			return false, spent, os.ErrDeadlineExceeded
		}
		if _, err := message.WriteTo(c); err != nil {
			return false, spent, err
		}
		n, err := m.rest.Read(buf[:])
		spent = spent || n > 0
		switch {
		case n > 0 && m.length < 0:
			message = net.Buffers{prefix(n), crlf, buf[:n], crlf}
		default:
			message = net.Buffers{buf[:n]}
		}
		switch {
		case err == io.EOF:
			if m.length < 0 {
				message = append(message, lastChunk)
			}
			if err := c.SetWriteDeadline(time.Now().Add(stall)); err != nil {
				return false, spent, err
			}
			_, err := message.WriteTo(c)
			c.SetWriteDeadline(time.Time{})
			return err == nil, spent, err
		case err != nil:
			return false, spent, errClient
		}
	}
}

const chunkSize = 16 << 10

var (
	crlf, lastChunk = []byte("\r\n"), []byte("0\r\n\r\n")
	chunks          = sync.Pool{New: func() any { return new([chunkSize]byte) }}
)

// run makes the attempt: at most one write on the wire, whatever happens.
func (d dialer) run(a *attempt) result {
	c, err := d.connect(a.conn, a.address)
	if err != nil {
		return result{status: balancer.ConnectFailed}
	}
	a.conn = c
	now := d.now() // after the wait for the connection
	if !a.claim(now) {
		return result{status: balancer.NotSent, conn: c}
	}
	a.head = a.message.head(a.remaining(now))
	sent, spent, err := d.write(a, c)
	switch {
	case sent:
		d.tries.Add()
		if a.written != nil {
			a.written()
		}
		if err != nil {
			c.Close()
			return result{status: balancer.Reset, spent: spent}
		}
	case err == errClient:
		c.Close()
		return result{status: balancer.NotSent, spent: true}
	case a.message.rest != nil: // it may have said why it takes no more
		c.SetReadDeadline(time.Now().Add(d.timeout))
		if r := d.answer(c); r.status == balancer.Rejected {
			if r.conn != nil {
				r.conn.Close()
			}
			return result{status: r.status, load: r.load, spent: spent}
		}
		c.Close()
		return result{status: balancer.ConnectFailed, spent: spent}
	default: // certain: the last byte never left this process
		c.Close()
		return result{status: balancer.ConnectFailed}
	}
	r := d.answer(c)
	r.spent = spent
	return r
}

// answer reads an attempt's answer. A large or slow one is left to be passed on as it comes.
func (d dialer) answer(c *conn) result {
	c.limit.N = maxAnswer
	resp, err := http.ReadResponse(c.in, nil)
	for err == nil && resp.StatusCode < http.StatusOK { // 1xx come before the answer
		resp, err = http.ReadResponse(c.in, nil)
	}
	if err != nil || resp.ContentLength > longestAnswer {
		c.Close()
		return result{status: balancer.Reset}
	}
	r := result{status: balancer.Error, load: loadOf(resp.Header.Get("X-Load"))}
	switch {
	case resp.StatusCode == http.StatusOK:
		r.status, r.kind = balancer.OK, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1": // without that mark it may have run
		r.status = balancer.Rejected
	}
	began := time.Now()
	body, whole, err := d.held.hold(resp.Body, resp.ContentLength, func() bool {
		return resp.ContentLength > maxBody || (resp.ContentLength < 0 && time.Since(began) > passOn)
	})
	if err == nil && whole && c.limit.N <= 0 { // the bound's end, not the answer's
		err = io.ErrUnexpectedEOF
	}
	if err == nil && r.status == balancer.OK {
		r.body = body
	} else {
		d.held.give(cap(body))
	}
	switch {
	case err != nil:
		c.Close()
		return result{status: balancer.Reset}
	case !whole && r.status == balancer.OK:
		r.more = &stream{resp: resp, conn: c}
	case !whole || resp.Close: // nobody wants the body of an error
		c.Close()
	default:
		r.conn = c
	}
	return r
}

// longestAnswer is the greatest length that an answer may say it has: twice what the platform's pages have occur. One beyond
// that is spoilt, and would break off once its beginning had been passed on.
const longestAnswer = 64 << 20

// passOn is how long an answer of unknown length is held before what has come is passed on: until it is whole it might
// be one that can be asked for again, but holding back a long one costs its time.
const passOn = 200 * time.Millisecond

// loadOf reads a load report: name=value pairs. What can't be read is passed over.
func loadOf(text string) balancer.LoadReport {
	var l balancer.LoadReport
	for part := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(part, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil {
			wire.SetLoad(&l, strings.TrimSpace(name), x)
		}
	}
	return l
}

// probe asks an upstream for its load, or only whether it runs.
func (d dialer) probe(p *probe) (r result) {
	c, err := d.connect(p.conn, p.address)
	if err != nil {
		return result{status: balancer.ConnectFailed}
	}
	path := "/healthz"
	if p.load {
		path = "/load"
	}
	c.SetReadDeadline(time.Now().Add(d.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.address+"\r\n\r\n"); err != nil {
		c.Close()
		return result{status: balancer.ConnectFailed}
	}
	r = d.answer(c)
	d.held.give(cap(r.body))
	if r.more != nil { // no report is as long
		c.Close()
		return result{status: balancer.Error}
	}
	if p.load && r.status == balancer.OK {
		if l := loadOf(string(r.body)); l.Fields != 0 {
			r.load = l
		}
	}
	return r
}

// probe is one probe of an upstream.
type probe struct {
	peer    *peer
	sentAt  time.Duration
	address string
	load    bool
	conn    *conn
}

// notEndToEnd names what belongs to one connection, and what is written anew.
var notEndToEnd = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// message is the client's request as an upstream gets it, but for the first lines
// that message adds for an attempt. Method, path, query and body go on unchanged.
type message struct {
	line   string // method and target
	header http.Header
	host   string
	body   []byte    // whole, or of an upload what is held
	rest   io.Reader // of an upload: what follows body
	length int64     // of an upload; -1: unknown
}

// head renders m but for its body, for an attempt whose answer is waited for so long from now on.
func (m *message) head(remaining time.Duration) []byte {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	b.WriteString(m.line)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	b.WriteString("\r\n")
	m.header.WriteSubset(b, notEndToEnd) // a buffer takes all
	switch {
	case m.rest != nil && m.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.rest != nil:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(m.length, 10))
		b.WriteString("\r\n")
	case len(m.body) > 0 || strings.HasPrefix(m.line, http.MethodPost):
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return bytes.Clone(b.Bytes())
}
