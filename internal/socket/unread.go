package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxPeekBuffers bounds the buffers of one system call. Platform: IOV_MAX.
const maxPeekBuffers = 1024

// ErrPeekOffset is the error of PeekAt for an offset that one system call can't reach.
var ErrPeekOffset = errors.New("offset of a peek is too large")

// The states of a TCP connection, as TCP_INFO has them, in which data that arrived can still be read.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// Unread returns how many bytes have arrived on a connection and have not been read. It is safe for concurrent use.
func Unread(c syscall.Conn) (bytes int, err error) {
	controlErr := control(c, func(fd int) { bytes, err = unix.IoctlGetInt(fd, unix.SIOCINQ) })
	if err = errors.Join(controlErr, err); err != nil {
		return 0, fmt.Errorf("unread bytes of a socket: %w", err)
	}
	return bytes, nil
}

// HasUnread reports whether bytes have arrived on a connection and have not been read. It is false if that is not known. It is safe for
// concurrent use.
func HasUnread(c net.Conn) bool {
	inner, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	bytes, err := Unread(inner)
	return err == nil && bytes > 0
}

// lateReadTime bounds the read of bytes that wait.
const lateReadTime = 100 * time.Millisecond

// ReadLate reads bytes that have arrived on a connection although the deadline of a read has passed: this process is late, not the peer.
// It returns os.ErrDeadlineExceeded if there are none. It sets the connection's read deadline.
func ReadLate(c net.Conn, p []byte) (int, error) {
	if !HasUnread(c) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.SetReadDeadline(time.Now().Add(lateReadTime)); err != nil {
		return 0, err
	}
	return c.Read(p)
}

// PeekAt copies unread bytes, from the given offset on, into p without consuming them, and returns how many it copied. It does
// not block. The kernel has no such call: the bytes before the offset are copied into scratch again and again, so that
// memory does not depend on the offset. The caller must exclude concurrent reads.
func PeekAt(c syscall.Conn, offset int, scratch, p []byte) (n int, err error) {
	buffers := make([][]byte, 0, offset/len(scratch)+2)
	for before := offset; before > 0; before -= len(scratch) {
		buffers = append(buffers, scratch[:min(before, len(scratch))])
	}
	buffers = append(buffers, p)
	if len(buffers) > maxPeekBuffers {
		return 0, ErrPeekOffset
	}
	controlErr := control(c, func(fd int) {
		err = retryInterrupted(func() (err error) {
			n, _, _, _, err = unix.RecvmsgBuffers(fd, buffers, nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return err
		})
	})
	if err = errors.Join(controlErr, err); err != nil {
		return 0, fmt.Errorf("peeking at a socket: %w", err)
	}
	return max(0, n-offset), nil
}

// SinceLastArrival returns how long ago the last data arrived on a connection, whether or not it has been read, to the
// precision of the kernel's ticks. It is safe for concurrent use.
func SinceLastArrival(c syscall.Conn) (age time.Duration, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, err
	}
	if info.State != tcpEstablished && info.State != tcpCloseWait {
		return 0, fmt.Errorf("state of a TCP connection: unexpected state %d", info.State)
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

// tcpInfo returns what the kernel knows of a TCP connection.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	controlErr := control(c, func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(controlErr, err); err != nil {
		return nil, fmt.Errorf("state of a TCP connection: %w", err)
	}
	return info, nil
}
