package framing

import (
	"errors"
)

const (
	// fieldCost is the memory, in bytes, that a field of a head needs beyond its own bytes once it is parsed: an entry of a map
	// that may have just grown, a slice, and two strings.
	fieldCost = 200
	// headCopies is how often the bytes of a head are held at a time: as strings of the parsed header, whose sizes the allocator rounds
	// up, and as a line that is being parsed or as the head of an attempt.
	headCopies = 2
	// chargeUnit is the granularity, in bytes, in which heads are charged.
	chargeUnit = 1 << 10
	// maxDroppedHead bounds the bytes of a head that is refused. A longer one ends the connection.
	maxDroppedHead = 64 << 10
)

// Errors that end reading after a refused head. Its request is still answered.
var (
	errHeadTooLong = errors.New("the head of the request is too long")
	errHeadRefused = errors.New("the head of the request before this byte is refused")
)

// Budget bounds memory that several users share. Its methods may be called from any goroutine.
type Budget interface {
	// Reserve takes bytes from the budget, and reports whether that many were available.
	Reserve(bytes int) bool
	// Release returns bytes to the budget.
	Release(bytes int)
}

// HeadLimits bounds what the heads of requests may cost. The zero value imposes no limit.
type HeadLimits struct {
	// MaxFields is the number of fields that a head may have; 0: any.
	MaxFields int
	// Uncharged is the cost of a head, in bytes, that is not charged to Budget.
	Uncharged int
	// Budget is charged what a head costs beyond Uncharged, before the bytes are passed on and until the request is answered.
	// If it is nil, nothing is charged.
	Budget Budget
}

// HeadRefusal says why a request is refused because of its head.
type HeadRefusal uint8

// The reasons to refuse a head.
const (
	HeadAccepted      HeadRefusal = iota
	HeadTooManyFields             // it has more than HeadLimits.MaxFields
	HeadOverBudget                // HeadLimits.Budget is exhausted
)

// headGuard applies the limits to the heads on a connection. From the byte at which a head is refused on, its rest is dropped
// except for the empty line that ends it, so that net/http gets a short head and the request can be answered. The connection's
// lock guards it.
type headGuard struct {
	limits         HeadLimits
	cost           int  // of the head in progress, in bytes
	headCharge     int  // of it, what is charged
	charged        int  // in total, with the heads of requests that have not been answered
	lineOpen       bool // a part of the current line has been passed on
	refusal        HeadRefusal
	refusedRequest int  // index of the refused request on the connection, if refusal is set
	dropped        int  // bytes of the refused head
	ended          bool // the refused head has been read completely: everything behind it is dropped
}

// headPart is the next part of a head: a line, or a part of one.
type headPart struct {
	bytes []byte
	index int  // of the request on the connection
	last  bool // it ends the head
}

// endsLine reports whether the part ends with the end of a line.
func (p headPart) endsLine() bool { return p.bytes[len(p.bytes)-1] == '\n' }

// admitHeadPart returns how many bytes of a part of a head are passed on: all, none, or only the end of the line, which is moved to
// the beginning of the part. The caller holds the lock.
func (c *Conn) admitHeadPart(part headPart) (passed int, err error) {
	g := &c.head
	if g.refusal == HeadAccepted {
		g.charge(part)
		if g.limits.MaxFields > 0 && c.scanner.headLines > g.limits.MaxFields+1 { // one is the request line
			g.refusal = HeadTooManyFields
		}
		if g.refusal != HeadAccepted {
			g.refusedRequest = part.index
			c.scanner.ignoresFields = true
		}
	}
	if g.refusal == HeadAccepted {
		g.lineOpen = !part.endsLine()
		if part.last {
			g.cost, g.headCharge = 0, 0
		}
		return len(part.bytes), nil
	}
	if g.ended {
		return 0, nil
	}
	g.dropped += len(part.bytes)
	if g.dropped > maxDroppedHead {
		return 0, errHeadTooLong
	}
	if part.last {
		g.ended = true
		c.framingErr = errHeadRefused
	}
	if part.last || (part.endsLine() && g.lineOpen) {
		g.lineOpen = false
		part.bytes[0] = '\n'
		return 1, nil
	}
	return 0, nil
}

// charge charges the budget for a part of a head, and refuses the head if the budget is exhausted.
func (g *headGuard) charge(part headPart) {
	if g.limits.Budget == nil {
		return
	}
	g.cost += headCopies * len(part.bytes)
	if part.endsLine() {
		g.cost += fieldCost
	}
	missing := g.cost - g.limits.Uncharged - g.headCharge
	if missing <= 0 {
		return
	}
	missing = (missing + chargeUnit - 1) / chargeUnit * chargeUnit
	if !g.limits.Budget.Reserve(missing) {
		g.refusal = HeadOverBudget
		return
	}
	g.headCharge += missing
	g.charged += missing
}

// releaseAnswered returns what the heads of answered requests were charged.
func (g *headGuard) releaseAnswered() {
	if answered := g.charged - g.headCharge; answered > 0 {
		g.limits.Budget.Release(answered)
		g.charged -= answered
	}
}

// releaseAll returns everything that is charged.
func (g *headGuard) releaseAll() {
	if g.charged > 0 {
		g.limits.Budget.Release(g.charged)
	}
	g.charged, g.headCharge = 0, 0
	g.limits.Budget = nil // the connection is closed: nothing is charged any more
}

// HeadRefusal returns whether and why the current request has to be refused because of its head. Its header is incomplete then,
// and the connection has to be closed after the response.
func (c *Conn) HeadRefusal() HeadRefusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.refusal != HeadAccepted && c.head.refusedRequest == c.answeredCount {
		return c.head.refusal
	}
	return HeadAccepted
}

// Close closes the connection, and returns what its heads were charged.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.head.releaseAll()
	c.mu.Unlock()
	return c.Conn.Close()
}
