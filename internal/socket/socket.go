// Package socket looks at the state of a socket without waiting and without reading from it.
package socket

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// ErrPeekFailed says that a look at a socket has failed, which says nothing of the other side.
var ErrPeekFailed = errors.New("looking at a socket")

// disconnectErrors are the errors by which a socket shows that the connection is over.
var disconnectErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.EPIPE,
	syscall.ENOTCONN, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN}

// State is what can be seen of a connection without waiting and without reading from it.
type State uint8

// The states of a connection.
const (
	Quiet    State = iota // open, with nothing to read
	Readable              // bytes wait to be read
	Closed                // the other side has closed or reset it
)

// Peek returns a connection's state. It fails where the connection has been closed on this side, and with ErrPeekFailed where
// the look itself has failed. Any goroutine may call it, also while another one reads the connection.
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
		return Quiet, nil
	case peekErr == nil || isDisconnect(peekErr):
		return Closed, nil
	default:
		return Quiet, fmt.Errorf("%w: %w", ErrPeekFailed, peekErr)
	}
}

// isDisconnect reports whether an error of a socket shows that the connection is over.
func isDisconnect(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(disconnectErrors, number)
}
