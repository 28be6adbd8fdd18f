package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	// testStall is the limit of the writers of the tests.
	testStall = 400 * time.Millisecond
	// testWrite is how many bytes they write: more than the systems of both ends buffer.
	testWrite = 24 << 20
)

// writeResult is the result of a write to a peer.
type writeResult struct {
	written int
	err     error
	took    time.Duration
}

// writeTo writes testWrite bytes to a peer that runs act.
func writeTo(t *testing.T, isAbandoned func() bool, act func(peer *net.TCPConn)) writeResult {
	t.Helper()
	c, peer := tcpPair(t)
	go act(peer)
	began := time.Now()
	n, err := StallWriter{Conn: c, Stall: testStall, IsAbandoned: isAbandoned}.Write(make([]byte, testWrite))
	return writeResult{n, err, time.Since(began)}
}

// A write to a peer that reads slowly succeeds however long it takes. Guards against a limit that runs until the socket is writable:
// a third of its buffer has to be free for that.
func TestStallWriterWritesToASlowPeer(t *testing.T) {
	const (
		slowTime = 4 * testStall
		piece    = 64 << 10
		pause    = 50 * time.Millisecond
	)
	result := writeTo(t, nil, func(peer *net.TCPConn) {
		buffer := make([]byte, piece)
		for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(pause) {
			if _, err := io.ReadFull(peer, buffer); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, peer)
	})
	assertEqual(t, "error", result.err, nil)
	assertEqual(t, "written", result.written, testWrite)
	if result.took < slowTime {
		t.Errorf("written after %v, want at least %v: the peer was not slow", result.took, slowTime)
	}
}

// A write to a peer that takes nothing, or that stops, fails once its time is over, and not before.
func TestStallWriterGivesUpAPeerThatTakesNothing(t *testing.T) {
	const (
		readFirst = 1 << 20
		slack     = 2 * time.Second // for a busy machine
	)
	for name, read := range map[string]int64{"nothing": 0, "stops": readFirst} {
		result := writeTo(t, nil, func(peer *net.TCPConn) { _, _ = io.CopyN(io.Discard, peer, read) })
		if !errors.Is(result.err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got error %v, want a time-out", name, result.err)
		}
		longest := testStall + unseenTime(uint64(result.written)) + slack
		if result.took < testStall || result.took > longest {
			t.Errorf("%s: given up after %v, want between %v and %v", name, result.took, testStall, longest)
		}
	}
}

// A write ends at once when it is abandoned, and when the peer resets the connection.
func TestStallWriterEnds(t *testing.T) {
	result := writeTo(t, func() bool { return true }, func(*net.TCPConn) {})
	if !errors.Is(result.err, os.ErrDeadlineExceeded) || result.written > 0 {
		t.Errorf("abandoned: got %d bytes and error %v, want none and a time-out", result.written, result.err)
	}
	result = writeTo(t, nil, func(peer *net.TCPConn) {
		peer.SetLinger(0)
		peer.Close()
	})
	if result.err == nil || errors.Is(result.err, os.ErrDeadlineExceeded) {
		t.Errorf("reset: got error %v, want that of the connection", result.err)
	}
}

// A peer whose system has taken much may be unseen to read for longer, within a bound.
func TestUnseenTimeIsBounded(t *testing.T) {
	const mebibyte = 1 << 20
	for acknowledged, want := range map[uint64]time.Duration{
		0:               0,
		mebibyte:        2048 * time.Millisecond,
		16 * mebibyte:   32768 * time.Millisecond,
		1024 * mebibyte: 32768 * time.Millisecond,
	} {
		if got := unseenTime(acknowledged); got != want {
			t.Errorf("%d bytes: got %v, want %v", acknowledged, got, want)
		}
	}
}
