package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

// Options configures a Node: the identity of this member, its addresses and its callbacks.
type Options struct {
	// Self is the metadata that this process publishes. Its incarnation is a lower bound: on joining, the node raises it
	// above all others seen of its name.
	Self Member
	// Listen is the IP:port to bind for UDP and TCP.
	Listen string
	// Advertise is the IP:port at which other members reach this one. It defaults to Listen.
	Advertise string
	// Seeds are the host:port of some members. They may be down, and may include this member.
	Seeds []string
	// KeyFile is the path of the file with 1 to maxKeys encryption keys. If it is empty, gossip is not encrypted, and
	// any host that can reach the port can become a member.
	KeyFile string
	// Configured is the configured fleet size and rank of this member, which apply until another member is seen.
	Configured Placement
	// PreviousSize is the fleet size that was persisted before a restart, or 0.
	PreviousSize int
	// Log logs a constant message with alternating keys and values. It must not block or call the Node.
	Log func(text string, keys ...any)
	// CurrentState returns this process's state. Each tick publishes it if it has changed. It must not block.
	CurrentState func() State
	// OnFleetSize is called by one goroutine on each change of the fleet size, with this process's incarnation. It is called
	// again on the next tick if it returns an error.
	OnFleetSize func(incarnation uint64, size FleetSize) error
	// NewTransport, if not nil, returns the transport to use instead of sockets.
	NewTransport func() memberlist.Transport
}

// Node runs the membership protocol for this process until Close. Its methods are safe for concurrent use.
type Node struct {
	options Options
	start   time.Time
	keys    *keyring
	stop    context.CancelFunc
	loops   sync.WaitGroup

	// mu is never held during a call to memberlist, because memberlist holds locks of its own when it calls the delegates.
	mu                     sync.Mutex
	list                   *memberlist.Memberlist // nil while not joined, such as when another process uses the address
	self                   Member
	table                  *MemberTable
	sizer                  *FleetSizer
	deliveredSize          FleetSize // last size that Options.OnFleetSize accepted
	rejectedMessages       int
	transportErrors        int
	transportErrorLoggedAt time.Time
	fenced                 bool          // as last logged
	minority               bool          // as last logged
	viewChangedAt          time.Duration // since start
}

// Start joins the fleet. It waits about 1 s at most for a seed. Until another member answers, the view contains only this
// process and the configured fleet size applies. If another process uses the address, the node joins once it is free. The
// error is an InvalidMemberError, a KeyFileError, or the reason why the address can't be used. The caller must call Close.
func Start(o Options) (*Node, error) {
	if _, err := encodeMetadata(o.Self); err != nil {
		return nil, err
	}
	keys, err := loadKeyring(o.KeyFile)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options: o,
		start:   time.Now(),
		keys:    keys,
		self:    o.Self,
		table:   NewMemberTable(0, o.Self),
		sizer:   NewFleetSizer(0, o.Configured, o.PreviousSize),
	}
	n.deliveredSize = n.sizer.Current(0)
	err = n.join()
	switch {
	case errors.Is(err, syscall.EADDRINUSE): // used by the previous process, during an upgrade, or by mistake
		o.Log("membership address in use", "listen", o.Listen, "err", err)
	case err != nil:
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loops.Go(func() { runWithJitter(ctx, tickInterval, n.tick) })
	n.loops.Go(func() { runWithJitter(ctx, rejoinInterval, n.rejoin) })
	return n, nil
}

// Close waits for the node's goroutines and leaves the fleet, which it announces to the other members for at most
// broadcastTimeout. It must be called only once. After an error the other members detect this process as failed.
func (n *Node) Close() error {
	n.stop()
	n.loops.Wait()
	n.mu.Lock()
	list := n.list
	n.list = nil
	n.mu.Unlock()
	if list == nil {
		return nil
	}
	return leaveAndShutDown(list)
}

// now returns the time since the node's start, which is the time base of the member table and the fleet sizer.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// runWithJitter calls do about once per interval until ctx is done. The jitter prevents members from acting simultaneously.
func runWithJitter(ctx context.Context, interval time.Duration, do func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval/2 + rand.N(interval)):
			do()
		}
	}
}

// join joins the fleet. The clock that this process's incarnation was taken from may be behind the clock of the previous
// process. So if the member table then contains an incarnation of its name that is not lower, the node leaves and joins again
// with the next higher one.
func (n *Node) join() error {
	for {
		list, err := n.createMemberlist()
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.list = list
		n.mu.Unlock()
		n.exchangeState()
		if !n.raiseIncarnation() {
			return nil
		}
		if err := leaveAndShutDown(list); err != nil {
			return err
		}
	}
}

// raiseIncarnation raises this process's incarnation above all others seen of its name, and reports whether it had to. If so,
// the node must join again.
func (n *Node) raiseIncarnation() (raised bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	highest := n.table.HighestIncarnation()
	if highest < n.self.Incarnation {
		return false
	}
	n.list = nil
	n.self.Incarnation = highest + 1
	return true
}

// leaveAndShutDown announces that this process leaves, and shuts its memberlist down.
func leaveAndShutDown(list *memberlist.Memberlist) error {
	if err := errors.Join(list.Leave(broadcastTimeout), list.Shutdown()); err != nil {
		return fmt.Errorf("membership: leaving the fleet: %w", err)
	}
	return nil
}
