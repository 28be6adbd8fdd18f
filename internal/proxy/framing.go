package proxy

import (
	"bytes"
	"errors"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// net/http drops the Content-Length of a request that has a Transfer-Encoding too and does not show that both stood
// there. Where the end of a request is in doubt, one reader's body is another's next request, so each head is checked as
// it stands on the wire, before net/http reads its end.

var (
	errBothLengths = errors.New("a Content-Length beside a Transfer-Encoding")
	errLengths     = errors.New("a Content-Length that is no number, or several that differ")
	errEncoding    = errors.New("a Transfer-Encoding other than chunked")
	errFolded      = errors.New("a folded header line")
	errChunk       = errors.New("a malformed chunk")
)

// maxScanned is how much of a line the scanner keeps: all of one that tells a length.
const maxScanned = 256

// past is a deadline that ends whatever waits.
var past = time.Unix(0, 1)

// lastAccept is how long the last look for connections that wait to be taken lasts.
const lastAccept = 10 * time.Millisecond

// framedListener hands out connections whose requests are checked.
type framedListener struct {
	net.Listener
	now    func() time.Duration
	ending atomic.Bool
}

// deadliner is a listener whose waiting can be ended without closing it.
type deadliner interface{ SetDeadline(t time.Time) error }

// end closes the listener once all that waits in its queue has been taken: what waits there as it closes is reset.
func (l *framedListener) end() {
	d, ok := l.Listener.(deadliner)
	if !ok {
		l.Close()
		return
	}
	l.ending.Store(true)
	d.SetDeadline(past) // whoever waits looks for the last time
}

func (l *framedListener) Accept() (net.Conn, error) {
	for {
		last, until := l.ending.Load(), time.Now().Add(lastAccept)
		if last { // with a time of its own for each look: one that is over as accept begins takes nothing
			l.Listener.(deadliner).SetDeadline(until)
		}
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			return &framedConn{Conn: c, now: l.now, headAt: l.now()}, nil
		case !l.ending.Load():
			return nil, err
		case last && !time.Now().Before(until): // it has looked for so long
			l.Close()
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}

// framedConn is a client's connection. A head in doubt is not passed on whole: its reader gets an error instead.
type framedConn struct {
	net.Conn
	now    func() time.Duration
	headAt time.Duration // when the present request began to come, the first with its connection
	headBy time.Time     // when its head must have come, if it is not the first

	mu     sync.Mutex // the reader takes it too, to change what it guards
	scan   scanner
	err    error // what is wrong with what was read last
	shut   bool  // closed between requests: what is read at that very moment goes no further
	served int   // requests that have been answered
	// arrivals are when the last byte came of each complete request that is not answered, the present one first.
	arrivals []time.Duration
	ahead
}

// answered notes that the present request is answered.
func (c *framedConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served++
	c.behind = false
	if len(c.arrivals) > 0 {
		c.arrivals = c.arrivals[1:]
	}
}

// arrivedAt is when the last byte of the present request came, on the loop's clock, or now where it has not come. A request
// behind another may have come long before its turn.
func (c *framedConn) arrivedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) > 0 {
		return c.arrivals[0]
	}
	return c.now()
}

// rests tells whether the connection is between requests: no byte has been read of one that is not answered.
func (c *framedConn) rests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resting()
}

// resting is rests with the lock held.
func (c *framedConn) resting() bool { return c.scan.fresh() && c.scan.wholes == c.served }

// closeResting closes the connection if it is between requests, and tells whether it was. Its client then sends again
// what crosses that, so it must not be sent on as well: bytes that have been taken from the network but not been noted
// as the connection is closed are given to nobody.
func (c *framedConn) closeResting() bool {
	c.mu.Lock()
	c.shut = c.shut || c.resting()
	shut := c.shut
	c.mu.Unlock()
	if shut {
		c.Conn.Close()
	}
	return shut
}

func (c *framedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return 0, c.err
	}
	behind := c.scan.wholes > c.served // the present request has come: what reads now only looks for its client's leave
	n, err, kept := c.take(p)
	readAt := c.keptAt
	c.mu.Unlock()
	if !kept {
		n, err = c.Conn.Read(p)
		readAt = c.now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	if c.behind = c.behind || (behind && n > 0); c.behind {
		c.look()
	}
	fresh, wholes := c.scan.fresh(), c.scan.wholes
	if n > 0 && fresh && c.scan.heads > 0 {
		c.headAt = c.now()
	}
	good, bad := c.scan.feed(p[:n])
	for range c.scan.wholes - wholes {
		c.arrivals = append(c.arrivals, readAt)
	}
	if !c.scan.fresh() && (fresh || c.scan.wholes > wholes) { // another has begun
		if c.headBy = time.Now().Add(slowClient); c.inHead() {
			c.Conn.SetReadDeadline(c.headBy)
		}
	}
	if bad != nil {
		if c.err = bad; good > 0 {
			return good, nil
		}
		return 0, bad
	}
	return n, err
}

// SetReadDeadline sets until when a read may wait. net/http lets the first bytes of a next request wait for the fourth as
// long as a connection may rest: once one has come, its head is due.
func (c *framedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead() && (t.IsZero() || t.After(c.headBy)) {
		t = c.headBy
	}
	return c.Conn.SetReadDeadline(t)
}

// inHead tells whether a part of a head has come that is not the first, and no request waits for its answer. The lock is
// held.
func (c *framedConn) inHead() bool {
	n := c.scan.wholes
	return n > 0 && n == c.served && n == c.scan.heads && !c.scan.fresh()
}

// leaves tells whether the end that net/http sees in reading is that of the client, and not what is wrong with what comes
// behind its request.
func (c *framedConn) leaves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// closedByClient looks, without waiting, whether the client has closed or reset the connection behind what has been read of it.
// net/http sees that only once it reads again, beside the request's way to an upstream.
func (c *framedConn) closedByClient() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = n <= 0 && !waiting
	})
	return closed || err != nil
}

// halfCloser is a connection whose sending can be ended alone.
type halfCloser interface{ CloseWrite() error }

// CloseWrite lets net/http close a connection without taking the last answer away from a client that still sends.
func (c *framedConn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// What a scanner reads next.
type scanState uint8

const (
	inHead scanState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// scanner follows the requests of a connection, however they are cut.
type scanner struct {
	state   scanState
	line    []byte // the present line, or its beginning
	long    bool   // the line goes on beyond what is kept
	lines   int    // of this head
	lengths []string
	codings []string
	left    int64 // bytes still to come of the body or chunk
	heads   int   // whole heads so far
	wholes  int   // whole requests so far
}

// fresh tells whether nothing of the next head has come.
func (s *scanner) fresh() bool { return s.state == inHead && s.lines == 0 && len(s.line) == 0 }

// feed reads on. Where something is wrong, good is how much of p came before the byte that shows it.
func (s *scanner) feed(p []byte) (good int, err error) {
	for i := 0; i < len(p); {
		if s.state == inBody || s.state == inChunk {
			n := min(int64(len(p)-i), s.left)
			s.left -= n
			i += int(n)
			if s.left == 0 && s.state == inBody {
				s.next()
			} else if s.left == 0 {
				s.state = inChunkEnd
			}
			continue
		}
		if p[i] != '\n' {
			if len(s.line) < maxScanned {
				s.line = append(s.line, p[i])
			} else {
				s.long = true
			}
			i++
			continue
		}
		line := bytes.TrimSuffix(s.line, []byte("\r"))
		if err := s.end(line); err != nil {
			return i, err
		}
		s.line, s.long = s.line[:0], false
		i++
	}
	return len(p), nil
}

// next begins another head: a request has come whole.
func (s *scanner) next() {
	s.wholes++
	s.state, s.lines, s.lengths, s.codings = inHead, 0, nil, nil
}

// end takes a whole line.
func (s *scanner) end(line []byte) error {
	switch s.state {
	case inHead:
		if len(line) == 0 && s.lines > 0 {
			s.heads++
			return s.body()
		}
		if s.lines++; s.lines > 1 {
			return s.field(line)
		}
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
		if err != nil || s.long && bytes.IndexByte(line, ';') < 0 {
			return errChunk
		}
		if s.left, s.state = int64(n), inChunk; n == 0 {
			s.state = inTrailer
		}
	case inChunkEnd:
		if len(line) > 0 {
			return errChunk
		}
		s.state = inChunkSize
	case inTrailer:
		if len(line) == 0 {
			s.next()
		}
	}
	return nil
}

// field takes a line of a head.
func (s *scanner) field(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFolded
	}
	name, value, _ := strings.Cut(string(line), ":")
	to, bad := &s.lengths, errLengths
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		to, bad = &s.codings, errEncoding
	case "content-length":
	default:
		return nil
	}
	if s.long || len(name) != len(strings.TrimSpace(name)) {
		return bad
	}
	*to = append(*to, strings.Trim(value, " \t"))
	return nil
}

// body tells what follows a head.
func (s *scanner) body() error {
	switch {
	case len(s.codings) > 0 && len(s.lengths) > 0:
		return errBothLengths
	case len(s.codings) > 0:
		if len(s.codings) > 1 || !strings.EqualFold(s.codings[0], "chunked") {
			return errEncoding
		}
		s.state = inChunkSize
		return nil
	case len(s.lengths) == 0:
		s.next()
		return nil
	}
	for _, length := range s.lengths {
		n, err := strconv.ParseUint(length, 10, 64)
		if err != nil || n > math.MaxInt64 || length != s.lengths[0] {
			return errLengths
		}
		s.left = int64(n)
	}
	if s.state = inBody; s.left == 0 {
		s.next()
	}
	return nil
}
