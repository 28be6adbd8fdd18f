package framing

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

// While an upstream takes no more bytes of a body, or the request waits in a queue, nobody reads the body, but its last byte
// may have arrived. To know when, a Conn searches the unread bytes for the end of the request without consuming them. Only
// the lines of chunked bodies have to be looked at; the data between them is skipped by its length.

const (
	// peekWindow is how many unread bytes one system call looks at.
	peekWindow = 16 << 10
	// maxPeeks bounds the system calls of one search. Each copies the bytes before its window too. A longer body is searched on
	// with the next call.
	maxPeeks = 8
	// arrivalPrecision is the least time by which the kernel must have data earlier than the read of it to be believed: its clock
	// of arrivals has ticks of up to 10 ms.
	arrivalPrecision = 20 * time.Millisecond
)

// peekBuffer holds the bytes of one look at unread bytes.
type peekBuffer struct{ scratch, window [peekWindow]byte }

// peekBuffers pools buffers of type *peekBuffer.
var peekBuffers = sync.Pool{New: func() any { return new(peekBuffer) }}

// unreadEnd is the state of the search for the end of the current request in unread bytes. The connection's lock guards it.
type unreadEnd struct {
	reading   bool           // a read is in progress, so the unread bytes are not where the scanner expects them
	scanner   requestScanner // has scanned the bytes that were read and the unread ones before ahead
	started   bool           // scanner is valid
	ahead     int            // unread bytes that have been scanned
	found     bool           // the last byte of the current request has arrived, but has not been read
	arrivedAt time.Duration  // when it arrived, if found; on the caller's clock
	notBefore time.Duration  // a time at which it had not arrived
	readAt    time.Duration  // when bytes of the current request were last read
}

// Arrival returns when the last byte of the current request arrived at this machine, on the clock of NewConn. Unlike for
// ArrivedAt it need not have been read. ok is false if it has not arrived, or if that can't be determined now, for example
// because a read is in progress. Arrival does not block.
func (c *Conn) Arrival() (at time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) > 0 {
		return c.arrivals[0], true
	}
	if !c.unreadEnd.found && !c.unreadEnd.reading {
		c.findUnreadEnd()
	}
	return c.unreadEnd.arrivedAt, c.unreadEnd.found
}

// Backlog is the progress of a request that is being received.
type Backlog struct {
	Unread  int   // bytes that have arrived and have not been read
	Arrived int64 // bytes that have arrived on the connection, since it was accepted
	Missing int64 // bytes of the body, or of the current chunk, that have not arrived; 0 if it is not known
}

// Backlog returns the progress of the current request. It does not block. ok is false if that can't be determined.
func (c *Conn) Backlog() (b Backlog, ok bool) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return Backlog{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	unread, err := socket.Unread(inner)
	if err != nil {
		return Backlog{}, false
	}
	b = Backlog{Unread: unread, Arrived: c.bytesRead + int64(unread)}
	if c.scanner.inData() {
		b.Missing = max(0, c.scanner.bodyRemaining-int64(unread))
	}
	return b, true
}

// findUnreadEnd searches the unread bytes for the end of the current request. The caller holds the lock, and no read is in
// progress.
func (c *Conn) findUnreadEnd() {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok || c.scanner.state == scanHead {
		return
	}
	e := &c.unreadEnd
	if !e.started {
		e.started = true
		e.scanner = c.scanner.clone()
	}
	checkedAt := c.now()
	unread, err := socket.Unread(inner)
	if err != nil {
		return
	}
	if e.scanUnread(inner, unread) {
		e.found = true
		e.arrivedAt = c.lastArrival(inner)
	} else if e.ahead >= unread {
		e.notBefore = checkedAt
	}
}

// scanUnread scans the unread bytes behind those that have been scanned, and reports whether the request ends in them.
func (e *unreadEnd) scanUnread(inner syscall.Conn, unread int) (complete bool) {
	requestCount := e.scanner.requestCount
	for peeks := 0; e.ahead < unread && peeks < maxPeeks; {
		n := 0
		if e.scanner.inData() {
			n = e.scanner.skipData(unread - e.ahead)
		} else {
			peeks++
			n = e.scanWindow(inner)
		}
		if n == 0 { // the bytes can't be peeked at, or are malformed, which reading them will show
			return false
		}
		e.ahead += n
		if e.scanner.requestCount > requestCount {
			return true
		}
	}
	return false
}

// scanWindow scans the next window of unread bytes, and returns how many bytes it has scanned.
func (e *unreadEnd) scanWindow(inner syscall.Conn) int {
	buf := peekBuffers.Get().(*peekBuffer)
	defer peekBuffers.Put(buf)
	n, err := socket.PeekAt(inner, e.ahead, buf.scratch[:], buf.window[:])
	if err != nil {
		return 0
	}
	valid, _ := e.scanner.scan(buf.window[:n]) // reading the bytes will show a framing error
	return valid
}

// arrivalOfRead returns when the data that was read at the time readAt arrived: earlier if the connection waited to be accepted,
// or the process was held up.
func (c *Conn) arrivalOfRead(readAt time.Duration) time.Duration {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return readAt
	}
	age, err := socket.SinceLastArrival(inner)
	if err != nil || age < arrivalPrecision {
		return readAt
	}
	return min(readAt, c.now()-age)
}

// lastArrival returns when the last unread byte arrived, but no time at which the request is known to have been incomplete.
// The caller holds the lock.
func (c *Conn) lastArrival(inner syscall.Conn) time.Duration {
	now := c.now()
	age, err := socket.SinceLastArrival(inner)
	if err != nil { // too early rather than too late
		return max(c.unreadEnd.notBefore, c.unreadEnd.readAt)
	}
	return max(c.unreadEnd.notBefore, now-age)
}

// consume records that n bytes have been read at the time readAt.
func (e *unreadEnd) consume(n int, readAt time.Duration) {
	e.readAt = readAt
	e.ahead -= n
	if e.ahead < 0 { // the reader has overtaken the search
		e.started = false
		e.ahead = 0
	}
}

// endRequest prepares for the next request. It returns when the last byte of the current one arrived, given that it was read
// at the time readAt. The caller holds the lock.
func (c *Conn) endRequest(readAt time.Duration) (arrivedAt time.Duration) {
	if c.unreadEnd.found {
		arrivedAt = c.unreadEnd.arrivedAt
	} else {
		arrivedAt = c.arrivalOfRead(readAt)
	}
	c.unreadEnd = unreadEnd{readAt: readAt}
	return arrivedAt
}

// inData reports whether the next bytes belong to a body or chunk, so that their values do not matter.
func (s *requestScanner) inData() bool {
	return (s.state == scanBody || s.state == scanChunk) && s.bodyRemaining > 0
}

// clone returns a copy that can be used independently.
func (s *requestScanner) clone() requestScanner {
	copied := *s
	copied.line = slices.Clone(s.line)
	copied.contentLengths = slices.Clone(s.contentLengths)
	copied.transferEncodings = slices.Clone(s.transferEncodings)
	return copied
}
