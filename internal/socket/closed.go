package socket

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// peerClosedEvents are the events of poll(2) that report that the peer has closed or reset a connection. Unlike the end of
// the data, they are reported while data that the peer sent before is still unread.
const peerClosedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// PeerClosed reports, without blocking, whether the peer has closed or reset the connection, also if data that it sent
// before has not been read. It returns an error if the connection has been closed on this side, and ErrPeekFailed if the
// system call fails for a reason that does not concern the peer. It is safe for concurrent use, also with reads from the
// connection.
func PeerClosed(c syscall.Conn) (bool, error) {
	state, err := Peek(c)
	if err != nil || state != Readable {
		return state == Closed, err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true, err
	}
	var revents int16
	var pollErr error
	err = raw.Control(func(fd uintptr) { revents, pollErr = poll(fd, unix.POLLRDHUP) })
	switch {
	case err != nil:
		return true, err
	case pollErr != nil:
		return false, fmt.Errorf("%w: %w", ErrPeekFailed, pollErr)
	}
	return revents&peerClosedEvents != 0, nil
}

// poll returns the events that are pending on a descriptor, out of the given ones and those that are always reported.
func poll(fd uintptr, events int16) (revents int16, err error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		_, err = unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return fds[0].Revents, err
		}
	}
}
