// Package management serves the operators' address. A connection carries one call, which is a line, and gets one answer:
// a line that begins with YES or NO, or several lines with a line END behind them.
//
// It promises an answer to every call that is a line, also while many callers hold connections open: the number of
// connections and the time of each are bounded. It does not authenticate callers; whoever reaches the address may call.
//
// The package owns its connections and nothing else: what a call does is up to the Balancer that it is given.
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
	// maxConnections bounds the open connections. One more closes the one that has been open for longest.
	maxConnections = 16
	// maxCallSize bounds a call with its line feed, in bytes.
	maxCallSize = 128
	// maxDiscarded bounds the bytes that are read after a call, so that a caller who sent more still gets its answer.
	maxDiscarded = 64 << 10
	// acceptRetryDelay is the wait after a connection could not be accepted, as where descriptors are short.
	acceptRetryDelay = 50 * time.Millisecond
)

// Balancer is what the operators' calls act on. No method may wait for the balancer's other work, but for those on zones.
// The texts that they return go into answers as they are.
type Balancer interface {
	// Ready reports whether clients are accepted. The state says more, in a few words.
	Ready() (ready bool, state string)
	// WriteMetrics writes the metrics, one to a line.
	WriteMetrics(w io.Writer) error
	// StartDrain starts a drain of the balancer. The state is the one from now on, or says what went wrong. Repeating it
	// is harmless.
	StartDrain() (done bool, state string)
	// EndDrain ends the drain of the balancer. Its results are as those of StartDrain.
	EndDrain() (done bool, state string)
	// DrainZone drains a zone, so that it gets no new requests. The state is the zone's from now on, or says why it was
	// not done.
	DrainZone(name string) (done bool, state string)
	// ReinstateZone returns a drained zone to service step by step. Its results are as those of DrainZone.
	ReinstateZone(name string) (done bool, state string)
	// WriteZones writes the state of each zone, one to a line.
	WriteZones(w io.Writer) error
	// WriteMembers writes what this balancer knows of its fleet, one member to a line. An error says why it knows
	// nothing.
	WriteMembers(w io.Writer) error
}

// server serves the connections of one listener.
type server struct {
	balancer Balancer
	handlers sync.WaitGroup

	mu   sync.Mutex
	open []net.Conn // in order of arrival
}

// Serve answers calls until ctx ends, and then closes the listener and every connection. It returns an error if the
// listener is closed by somebody else.
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
			return fmt.Errorf("taking operators' calls: %w", err)
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
		if ctx.Err() != nil { // c may have been added after all others were closed
			s.closeAll()
		}
	}
}

// add registers a connection, and closes the one that has been open for longest if there are too many.
func (s *server) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, c)
	if len(s.open) > maxConnections {
		s.open[0].Close()
		s.open = slices.Delete(s.open, 0, 1)
	}
}

// remove closes a connection and forgets it.
func (s *server) remove(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = slices.DeleteFunc(s.open, func(other net.Conn) bool { return other == c })
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Close()
	}
}

// handle reads one call and answers it.
func (s *server) handle(c net.Conn) {
	c.SetDeadline(time.Now().Add(timelimit.OperatorConnection))
	answer := s.readAndExecute(c)
	c.SetDeadline(time.Now().Add(timelimit.OperatorConnection))
	if _, err := io.WriteString(c, answer); err != nil {
		return // the caller has gone
	}
	discardRest(c)
}

// readAndExecute reads one call, executes it and returns its answer.
func (s *server) readAndExecute(c net.Conn) (answer string) {
	in := bufio.NewReaderSize(io.LimitReader(c, maxCallSize), maxCallSize)
	line, err := in.ReadString('\n')
	switch {
	case err == nil:
		return execute(s.balancer, strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"))
	case len(line) == maxCallSize:
		return "NO a call is one short line\n"
	default:
		return "NO a call ends with a line feed\n"
	}
}

// discardRest ends the answer and reads what else the caller sends: closing a connection with unread bytes resets it,
// and the caller may lose the answer.
func discardRest(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, maxDiscarded) // an error ends the connection, which is closed next
}
