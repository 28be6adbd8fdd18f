// Package socket determines the state of a connection from its socket, without blocking and without consuming data, writes to peers
// that may read slowly, and sets the length of the queue of a listening socket.
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
	var n int
	var peekErr error
	err := control(c, func(fd int) {
		peekErr = retryInterrupted(func() (err error) {
			var next [1]byte
			n, _, err = syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err
		})
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

// control calls f with the descriptor of a connection. It returns an error if the connection has been closed on this side.
func control(c syscall.Conn, f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// retryInterrupted repeats a system call while a signal interrupts it, and returns its error.
func retryInterrupted(call func() error) error {
	for {
		err := call()
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// isDisconnect reports whether a socket error means that the connection has ended.
func isDisconnect(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(disconnectErrors, number)
}
