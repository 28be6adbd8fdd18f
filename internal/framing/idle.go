package framing

// This file tells whether a connection is between two requests, and ends it there.

// IsIdle reports whether the connection is between two requests: no byte of an unanswered request has been read.
func (c *Conn) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdleLocked()
}

func (c *Conn) isIdleLocked() bool {
	return c.scanner.atRequestStart() && c.scanner.requestCount == c.answeredCount
}

// CloseIfIdle closes the connection if it is between two requests, and reports whether this call closed it. The client
// retries a request that it sends at the same moment, so that request must not be forwarded too: bytes that have been read
// from the network but not scanned when the connection is closed are dropped.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	closes := !c.closedIdle && c.isIdleLocked()
	c.closedIdle = c.closedIdle || closes
	c.readingEnded = c.readingEnded || closes
	c.mu.Unlock()
	if closes {
		c.Close()
	}
	return closes
}

// HasStoppedReading reports whether reading has ended by CloseIfIdle or EndAfterResponse: bytes that arrive from now on are dropped.
func (c *Conn) HasStoppedReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readingEnded
}

// IsClosedIdle reports whether CloseIfIdle has closed the connection.
func (c *Conn) IsClosedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedIdle
}

// EndAfterResponse makes the current response the last one of the connection although its head, which has been written,
// does not announce that. It must be called before the last byte of the response is written, because the client may send
// its next request after that byte. From then on nothing after the current request is read, so that the client retries such
// a request on another connection. If a part of the next request has been read already, EndAfterResponse does nothing: that
// request is answered.
func (c *Conn) EndAfterResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	nextNotBegun := c.scanner.atRequestStart() && c.scanner.requestCount == c.answeredCount+1
	c.readingEnded = c.readingEnded || nextNotBegun
}
