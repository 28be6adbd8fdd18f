package main

import (
	"io"
	"time"

	"sprucehill/internal/timelimit"
)

// logQueueLength is how many lines of the log may wait for being written.
const logQueueLength = 512

// logQueue is a writer that never waits: lines are written to its destination by a goroutine of its own, and lost while too many
// wait. Whoever logs goes on also where nobody reads the log.
type logQueue struct {
	destination io.Writer
	lines       chan []byte
	flush       chan chan struct{} // asks the goroutine to tell once all that was queued before is written
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
		case written := <-q.flush:
			for range len(q.lines) {
				q.write(<-q.lines)
			}
			close(written)
		}
	}
}

// write writes a line. One that can't be written is lost: there is nowhere to say so.
func (q *logQueue) write(line []byte) { _, _ = q.destination.Write(line) }
