package main

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"sprucehill/internal/timelimit"
)

// logQueueLength is how many lines of the log may wait for being written.
const logQueueLength = 512

// logQueue is a writer that never waits: a goroutine of its own writes the lines to their destination. Lines are lost while too
// many wait, so whoever logs goes on where nobody reads the log. Once the queue has been written, a line reports how many were
// lost.
type logQueue struct {
	destination io.Writer
	lines       chan []byte
	lost        atomic.Int64       // lines that were lost and are not reported yet
	flush       chan chan struct{} // requests that the goroutine closes a channel once all that was queued before is written
}

// newLogQueue returns a queue before a destination. Its goroutine ends with the process.
func newLogQueue(destination io.Writer) *logQueue {
	q := &logQueue{destination: destination, lines: make(chan []byte, logQueueLength), flush: make(chan chan struct{})}
	go q.run()
	return q
}

// Write queues a line. It never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// Flush waits until what has been queued is written, timelimit.LogFlush at most.
func (q *logQueue) Flush() {
	limit := time.NewTimer(timelimit.LogFlush)
	defer limit.Stop()
	written := make(chan struct{})
	select {
	case q.flush <- written:
	case <-limit.C:
		return
	}
	select {
	case <-written:
	case <-limit.C:
	}
}

func (q *logQueue) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
			q.logLost()
		case written := <-q.flush:
			q.writeQueued()
			q.logLost()
			q.writeQueued() // the line of logLost
			close(written)
		}
	}
}

// writeQueued writes the lines that are queued now.
func (q *logQueue) writeQueued() {
	for range len(q.lines) {
		q.write(<-q.lines)
	}
}

// write writes a line. One that can't be written is lost: there is nowhere to log that.
func (q *logQueue) write(line []byte) { _, _ = q.destination.Write(line) }

// logLost logs how many lines were lost, once no line waits: the queue then has space for this one.
func (q *logQueue) logLost() {
	if len(q.lines) > 0 {
		return
	}
	if lost := q.lost.Swap(0); lost > 0 {
		slog.Warn("log lines lost", "count", lost)
	}
}
