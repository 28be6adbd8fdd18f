package socket

import (
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
	var fds [1]unix.PollFd
	var pollErr error
	err = control(c, func(fd int) {
		fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		pollErr = retryInterrupted(func() error {
			_, err := unix.Poll(fds[:], 0)
			return err
		})
	})
	switch {
	case err != nil:
		return true, err
	case pollErr != nil:
		return false, fmt.Errorf("%w: %w", ErrPeekFailed, pollErr)
	}
	return fds[0].Revents&peerClosedEvents != 0, nil
}
