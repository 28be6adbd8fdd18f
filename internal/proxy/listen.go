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

// acceptWait bounds a call that takes a connection where the listener has been made blocking.
const acceptWait = 50 * time.Millisecond

// Open returns the listener for clients: the one that the platform holds and hands down, where there is such, or else
// one of its own.
func (c *Config) Open() (net.Listener, error) {
	if !c.Adopts() {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening for clients: %w", err)
		}
		return l, nil
	}
	f := os.NewFile(uintptr(c.ListenFD), "listener")
	defer f.Close() // the listener is a copy
	on, err := syscall.GetsockoptInt(c.ListenFD, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err == nil && on == 0 {
		err = errors.New("it does not listen")
	}
	if err == nil {
		// Whether the socket blocks is one flag for all who hold it. Whoever clears it, as os/exec does for a child,
		// would leave a call here that waits for the next client, and closing waits for that call.
		wait := syscall.NsecToTimeval(acceptWait.Nanoseconds())
		err = syscall.SetsockoptTimeval(c.ListenFD, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &wait)
	}
	if err != nil {
		return nil, fmt.Errorf("RELAY_FD: descriptor %d: %w", c.ListenFD, err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("RELAY_FD: descriptor %d: %w", c.ListenFD, err)
	}
	return l, nil
}

// Adopts tells whether the platform holds the clients' listener. Another process then takes its queue at an upgrade,
// and for a time the two together have the limits of one.
func (c *Config) Adopts() bool { return c.ListenFD != 0 }

// upstreamConns bounds the connections to upstreams, and with them the attempts that are out. Where two processes may
// overlap, each has a fixed part. Clients hold a third of the descriptors at both together, one for each request: with
// more than half of those at work for the process that leaves, its successor's clients find none.
func (c *Config) upstreamConns() int {
	if c.Adopts() {
		return c.Sockets / 6
	}
	return c.Sockets * 3 / 8
}

// clientConns bounds the connections of clients and of whoever else connects.
func (c *Config) clientConns() int {
	if c.Adopts() {
		return c.Sockets * 2 / 5
	}
	return c.Sockets / 2
}

// SoftMemory is the heap that the process aims at, in bytes; half of it where another may run beside it.
func (c *Config) SoftMemory() int64 {
	all := int64(c.MemoryMB) << 20 * 6 / 10
	if c.Adopts() {
		return all / 2
	}
	return all
}

// heldBytes is how much of bodies may be held at once.
func (c *Config) heldBytes() int64 { return c.SoftMemory() / 5 }

// listenFD reads RELAY_FD; 0: it is not set.
func listenFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd <= 2 {
		return 0, fmt.Errorf("RELAY_FD: %q is no descriptor of a listener", text)
	}
	return fd, nil
}
