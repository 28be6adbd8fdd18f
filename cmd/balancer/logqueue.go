package main

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"sprucehill/internal/timelimit"
)

// logQueueLength is the capacity of a logQueue in lines.
const logQueueLength = 512

// logQueue is a writer that never blocks: a background goroutine writes the queued lines to the destination. Lines that come
// while the queue is full are lost, so that a log that nobody reads doesn't block the process. Once the queue has been
// written, a line reports how many were lost.
type logQueue struct {
	destination   io.Writer
	lines         chan []byte
	lost          atomic.Int64       // lost lines that have not been reported yet
	flushRequests chan chan struct{} // the goroutine closes each received channel once all lines queued before are written
}

// newLogQueue returns a queue that writes to destination. Its goroutine runs until the process exits.
func newLogQueue(destination io.Writer) *logQueue {
	q := &logQueue{destination: destination, lines: make(chan []byte, logQueueLength), flushRequests: make(chan chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of a line, or counts the line as lost if the queue is full. It never blocks or fails.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// Flush waits until all queued lines are written, but no longer than timelimit.LogFlush.
func (q *logQueue) Flush() {
	timeout := time.NewTimer(timelimit.LogFlush)
	defer timeout.Stop()
	written := make(chan struct{})
	select {
	case q.flushRequests <- written:
	case <-timeout.C:
		return
	}
	select {
	case <-written:
	case <-timeout.C:
	}
}

// run writes queued lines and serves flush requests.
func (q *logQueue) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
			q.logLost()
		case written := <-q.flushRequests:
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

// write writes a line to the destination. It ignores a write error, because there is nowhere to log it.
func (q *logQueue) write(line []byte) { _, _ = q.destination.Write(line) }

// logLost logs how many lines were lost, if any. It does so only while the queue is empty and has space for that line.
func (q *logQueue) logLost() {
	if len(q.lines) > 0 {
		return
	}
	if lost := q.lost.Swap(0); lost > 0 {
		slog.Warn("log lines lost", "count", lost)
	}
}
