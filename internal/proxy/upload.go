package proxy

import (
	"sync"
	"time"

	"sprucehill/internal/framing"
)

// upload is what is known of a request whose body is forwarded while it is received. Its methods may be called from any
// goroutine, and do not block.
type upload struct {
	conn    uploadConn
	timeout time.Duration // how long the client waits after the last byte
	// timeLeft returns how much of timeout remains for a request whose last byte came at the given time, on the loop's clock.
	timeLeft func(arrivedAt, timeout time.Duration) time.Duration

	now func() time.Duration // the loop's clock

	mu       sync.Mutex     // guards the fields below
	progress uploadProgress // until deadline is known
	deadline time.Duration  // on the loop's clock; noDeadline until the client is taken to have sent the last byte
}

// newUpload returns an upload whose last byte is not known to have arrived.
func newUpload(conn uploadConn, timeout time.Duration, timeLeft func(arrivedAt, timeout time.Duration) time.Duration, now func() time.Duration) *upload {
	return &upload{conn: conn, timeout: timeout, timeLeft: timeLeft, now: now, progress: newUploadProgress(timeout), deadline: noDeadline}
}

// uploadConn is the client's connection of an upload. Nothing is read from it while the upload waits, so its state has to be
// asked for. Its method does not block.
type uploadConn interface {
	// Arrival returns when the last byte arrived, on the loop's clock, also if it is unread. ok is false if it has not arrived.
	Arrival() (at time.Duration, ok bool)
	// Backlog returns the progress of the request. ok is false if that is not known.
	Backlog() (b framing.Backlog, ok bool)
}

// checkReceived looks whether the last byte has arrived, or has been sent for so long that the client's time is over, unless that
// is known already.
func (u *upload) checkReceived() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.checkReceivedLocked()
}

func (u *upload) checkReceivedLocked() {
	if u.deadline != noDeadline {
		return
	}
	backlog, known := u.conn.Backlog()
	if !known {
		backlog = framing.Backlog{}
	}
	now := u.now()
	sentAt, waiting := u.progress.sentAt(backlog.Arrived)
	if at, ok := u.conn.Arrival(); ok {
		if waiting {
			at = min(at, sentAt)
		}
		u.receiveAt(at)
		return
	}
	if waiting && now-sentAt >= u.timeLeft(sentAt, u.timeout) {
		u.receiveAt(sentAt)
		return
	}
	u.progress.observe(now, backlog)
}

// markReceived records that the last byte has arrived at the time now at the latest.
func (u *upload) markReceived(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.checkReceivedLocked()
	if u.deadline == noDeadline {
		u.receiveAt(now)
	}
}

// receiveAt starts the timeout at the time at. The caller holds the lock.
func (u *upload) receiveAt(at time.Duration) { u.deadline = at + u.timeLeft(at, u.timeout) }

// knownDeadline returns the deadline, or noDeadline if it is not known yet that the last byte has arrived.
func (u *upload) knownDeadline() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.deadline
}

// remaining returns how long after now the client waits. Until the last byte has arrived, that is the complete timeout.
func (u *upload) remaining(now time.Duration) time.Duration {
	if deadline := u.knownDeadline(); deadline != noDeadline {
		return deadline - now
	}
	return u.timeLeft(now, u.timeout)
}
