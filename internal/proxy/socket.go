package proxy

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// errPeekFailed says that a look at a socket has failed and tells nothing of the other side.
var errPeekFailed = errors.New("looking at a socket")

// disconnectErrors are the errors by which a socket tells that the connection is over.
var disconnectErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.EPIPE,
	syscall.ENOTCONN, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN}

// socketState is what can be seen of a connection without waiting and without reading from it.
type socketState uint8

const (
	socketQuiet    socketState = iota // open, with nothing to read
	socketReadable                    // bytes wait to be read
	socketClosed                      // the other side has closed or reset it
)

// peekSocket returns a connection's state. It fails where the connection has been closed on this side, and with errPeekFailed
// where the look itself has failed.
func peekSocket(c syscall.Conn) (socketState, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return socketClosed, err
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
		return socketClosed, err
	case n > 0:
		return socketReadable, nil
	case errors.Is(peekErr, syscall.EAGAIN):
		return socketQuiet, nil
	case peekErr == nil || isDisconnect(peekErr):
		return socketClosed, nil
	default:
		return socketQuiet, fmt.Errorf("%w: %w", errPeekFailed, peekErr)
	}
}

// isDisconnect reports whether an error of a socket tells that the connection is over.
func isDisconnect(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(disconnectErrors, number)
}
