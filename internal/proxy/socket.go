package proxy

import (
	"errors"
	"syscall"
)

// socketState is what can be seen of a connection without waiting and without reading from it.
type socketState uint8

const (
	socketQuiet    socketState = iota // open, with nothing to read
	socketReadable                    // bytes wait to be read
	socketClosed                      // the other side has closed or reset it
)

// peekSocket returns a connection's state. It fails where the connection has been closed on this side.
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
	default:
		return socketClosed, nil
	}
}
