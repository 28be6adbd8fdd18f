// Package management serves operators' commands. A client sends one command per connection, as a line of text, and gets one
// response: a status line that begins with YES or NO, or several lines followed by a line END.
//
// Every command that is a complete line gets a response, even while many clients hold connections open: the number of
// connections and the duration of each are bounded. Clients are not authenticated; any client that can reach the address may
// send commands.
//
// The package manages its connections only; the Balancer that it is given implements the commands.
package management

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"sprucehill/internal/timelimit"
)

const (
	// maxConnections bounds the open connections. One more closes the oldest.
	maxConnections = 16
	// maxCommandSize bounds a command in bytes, its line feed included.
	maxCommandSize = 128
	// maxDiscardedBytes bounds the bytes after a command that are read and discarded, so that a client that sent more than
	// one line still gets its response.
	maxDiscardedBytes = 64 << 10
	// acceptRetryDelay is the wait after a failed accept call, for example when file descriptors are exhausted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Balancer implements the operators' commands. Only the methods that concern zones may wait for the balancer's other work.
// Responses hold the returned texts unchanged.
type Balancer interface {
	// Ready reports whether the balancer accepts clients, with a short description of its state.
	Ready() (ready bool, state string)
	// WriteMetrics writes the metrics, one to a line.
	WriteMetrics(w io.Writer) error
	// StartDrain starts a drain of the balancer. It is idempotent. If it succeeds, state is the balancer's new state,
	// otherwise a description of the error.
	StartDrain() (done bool, state string)
	// EndDrain ends the drain of the balancer. Its results are like those of StartDrain.
	EndDrain() (done bool, state string)
	// DrainZone drains a zone, so that it gets no new requests. If it succeeds, state is the zone's new state, otherwise a
	// description of the error.
	DrainZone(name string) (done bool, state string)
	// ReinstateZone gradually returns a drained zone to service. Its results are like those of DrainZone.
	ReinstateZone(name string) (done bool, state string)
	// WriteZones writes the state of each zone, one to a line.
	WriteZones(w io.Writer) error
	// WriteMembers writes this balancer's view of its fleet, one member to a line. It returns an error if there is none.
	WriteMembers(w io.Writer) error
}

// server serves the connections of one listener.
type server struct {
	balancer Balancer
	handlers sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn // in order of arrival
}

// Serve executes commands until ctx ends, and then closes the listener and all connections. It returns an error if the
// listener is closed before that.
func Serve(ctx context.Context, l net.Listener, b Balancer) error {
	s := &server{balancer: b}
	defer s.handlers.Wait()
	stopClosing := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeAll()
	})
	defer stopClosing()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				c.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accepting operators' connections: %w", err)
		case err != nil:
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		s.add(c)
		s.handlers.Go(func() {
			defer s.remove(c)
			s.handle(c)
		})
		if ctx.Err() != nil { // c may have been added after closeAll was called
			s.closeAll()
		}
	}
}

// add registers a connection, and closes the oldest one if there are more than maxConnections.
func (s *server) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = append(s.connections, c)
	if len(s.connections) > maxConnections {
		s.connections[0].Close()
		s.connections = slices.Delete(s.connections, 0, 1)
	}
}

// remove closes a connection and unregisters it.
func (s *server) remove(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = slices.DeleteFunc(s.connections, func(other net.Conn) bool { return other == c })
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.Close()
	}
}

// handle reads a command and writes its response.
func (s *server) handle(c net.Conn) {
	c.SetDeadline(time.Now().Add(timelimit.OperatorConnection))
	response := s.readAndExecute(c)
	c.SetDeadline(time.Now().Add(timelimit.OperatorConnection))
	if _, err := io.WriteString(c, response); err != nil {
		return // the client has disconnected
	}
	discardRemainingInput(c)
}

// readAndExecute reads a command, executes it and returns its response.
func (s *server) readAndExecute(c net.Conn) (response string) {
	in := bufio.NewReaderSize(io.LimitReader(c, maxCommandSize), maxCommandSize)
	line, err := in.ReadString('\n')
	switch {
	case err == nil:
		return execute(s.balancer, strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"))
	case len(line) == maxCommandSize:
		return "NO a call is one short line\n"
	default:
		return "NO a call ends with a line feed\n"
	}
}

// discardRemainingInput closes the write side, which ends the response, and reads what else the client sends: closing a
// connection with unread bytes resets it, and the client may lose the response.
func discardRemainingInput(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, maxDiscardedBytes) // an error does not matter: the connection is closed next
}
