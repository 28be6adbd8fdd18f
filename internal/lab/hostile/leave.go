package hostile

import (
	"context"
	"time"
)

// maxExcessTime bounds the time for sending bytes behind a request.
const maxExcessTime = 200 * time.Millisecond

// Leave sends a request, waits, sends a number of bytes behind it and disconnects. The disconnect is recorded.
func Leave(ctx context.Context, address string, r Request, wait time.Duration, excess int, record *Record) {
	c, err := send(ctx, address, r.Bytes(), misuseLimit)
	if err != nil {
		return
	}
	defer c.Close()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	if excess > 0 {
		c.SetWriteDeadline(time.Now().Add(maxExcessTime))
		_, _ = c.Write(make([]byte, excess)) // the balancer may read no more, or may have closed the connection
	}
	c.Close()
	record.Left(r.ID)
}

// ReadSlowly sends a request and reads its answer in small pieces with a pause after each, for at most the given time.
func ReadSlowly(ctx context.Context, address string, r Request, pause, limit time.Duration) {
	c, err := send(ctx, address, r.Bytes(), limit)
	if err != nil {
		return
	}
	defer c.Close()
	until := time.Now().Add(limit)
	c.SetReadDeadline(until)
	piece := make([]byte, 1<<10)
	for time.Now().Before(until) && ctx.Err() == nil {
		if _, err := c.Read(piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
