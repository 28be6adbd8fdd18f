package proxy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// inheritedAcceptTimeout bounds an accept call on an inherited listener that another process has set to blocking mode.
const inheritedAcceptTimeout = 50 * time.Millisecond

// OpenListener returns the listener for clients: the inherited one if ListenFD is set, otherwise a new one on Listen.
func (c *Config) OpenListener() (net.Listener, error) {
	if c.inheritsListener() {
		return inheritListener(c.ListenFD)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	return l, nil
}

// inheritListener returns a listener on an inherited listening socket, and closes the descriptor fd.
func inheritListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close() // net.FileListener duplicates the descriptor
	if err := prepareInherited(fd); err != nil {
		return nil, fmt.Errorf("RELAY_FD: descriptor %d: %w", fd, err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("RELAY_FD: descriptor %d: %w", fd, err)
	}
	return l, nil
}

// prepareInherited checks that fd is a listening socket, and sets a time limit for its accept calls.
func prepareInherited(fd int) error {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return err
	}
	if listening == 0 {
		return errors.New("not a listening socket")
	}
	// All processes that hold the socket share its O_NONBLOCK flag. If one of them clears it, as os/exec does for a child,
	// an accept call here blocks until the next client connects, and closing the listener waits for that call.
	timeout := syscall.NsecToTimeval(inheritedAcceptTimeout.Nanoseconds())
	return syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout)
}

// inheritsListener reports whether the listening socket is inherited from the platform. In an upgrade, a successor process
// then takes over its accept queue, and while both processes run they share the resource limits of one.
func (c *Config) inheritsListener() bool { return c.ListenFD != 0 }

// parseListenerFD parses the value of RELAY_FD. It returns 0 if the variable is not set.
func parseListenerFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd <= 2 { // 0 to 2 are the standard streams
		return 0, fmt.Errorf("RELAY_FD: invalid file descriptor %q: expected an integer greater than 2", text)
	}
	return fd, nil
}
