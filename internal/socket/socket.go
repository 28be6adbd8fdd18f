// Package socket determines the state of a connection from its socket, without blocking and without consuming data.
package socket

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// ErrPeekFailed is the error of Peek if the system call fails for a reason that does not concern the peer.
var ErrPeekFailed = errors.New("peeking at a socket")

// disconnectErrors are the socket errors that mean that the connection has ended.
var disconnectErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.EPIPE,
	syscall.ENOTCONN, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN}

// State is the state of a connection, as far as it can be determined without blocking.
type State uint8

// The states of a connection.
const (
	Idle     State = iota // open, with no data to read
	Readable              // open or closed, with data to read
	Closed                // closed or reset by the peer, with no data to read
)

// Peek returns the state of a connection. It returns an error if the connection has been closed on this side, and
// ErrPeekFailed if the system call fails for a reason that does not concern the peer. Peek is safe for concurrent use, also
// with reads from the connection.
func Peek(c syscall.Conn) (State, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		for {
			n, _, peekErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(peekErr, syscall.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return Closed, err
	case n > 0:
		return Readable, nil
	case errors.Is(peekErr, syscall.EAGAIN):
		return Idle, nil
	case peekErr == nil || isDisconnect(peekErr):
		return Closed, nil
	default:
		return Idle, fmt.Errorf("%w: %w", ErrPeekFailed, peekErr)
	}
}

// isDisconnect reports whether a socket error means that the connection has ended.
func isDisconnect(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(disconnectErrors, number)
}
