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

// inheritedAcceptTimeout bounds an accept call on an inherited listener that another process has made blocking.
const inheritedAcceptTimeout = 50 * time.Millisecond

// OpenListener returns the listener for clients: the one that the platform hands down if there is one, or else a new one.
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

// inheritListener takes over a descriptor of a listening socket.
func inheritListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close() // the listener uses a copy
	if err := prepareInherited(fd); err != nil {
		return nil, fmt.Errorf("RELAY_FD: descriptor %d: %w", fd, err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("RELAY_FD: descriptor %d: %w", fd, err)
	}
	return l, nil
}

// prepareInherited checks that a descriptor is of a listening socket, and bounds its accept calls.
func prepareInherited(fd int) error {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return err
	}
	if listening == 0 {
		return errors.New("it does not listen")
	}
	// Whether the socket blocks is one flag for all processes that hold it. One that clears it, as os/exec does for a
	// child, would leave an accept call here waiting for the next client, and closing the listener waits for that call.
	timeout := syscall.NsecToTimeval(inheritedAcceptTimeout.Nanoseconds())
	return syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout)
}

// inheritsListener reports whether the platform holds the clients' listener. At an upgrade another process then takes over
// its queue, and for a time the two processes together have the limits of one.
func (c *Config) inheritsListener() bool { return c.ListenFD != 0 }

// parseListenerFD parses RELAY_FD; 0: it is not set.
func parseListenerFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd <= 2 { // 0 to 2 are the standard streams
		return 0, fmt.Errorf("RELAY_FD: %q is no descriptor of a listener", text)
	}
	return fd, nil
}
