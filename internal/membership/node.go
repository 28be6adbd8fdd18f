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

// Options says who this member is and how it reaches the others.
type Options struct {
	// Self is what this process publishes. Its incarnation is a lower bound: one above all seen of its name is taken.
	Self Member
	// Listen is the IP:port to bind, for UDP and TCP.
	Listen string
	// Advertise is the IP:port at which others reach this member; empty: Listen.
	Advertise string
	// Seeds are the host:port of some members, which may be down or this one itself.
	Seeds []string
	// KeyFile is the path of the encryption keys, 1 to 8; empty: gossip is in the clear, and whoever reaches the port can
	// be a member.
	KeyFile string
	// Configured is the fleet's size and this member's rank by configuration, in use until another member is seen.
	Configured Placement
	// PreviousSize is the fleet's size known from before a restart, or 0.
	PreviousSize int
	// Log writes a line of constant text and alternating keys and values. It must not block or call the Node.
	Log func(text string, keys ...any)
	// CurrentState returns this process's state, changes of which are published. It must not block.
	CurrentState func() State
	// OnFleetSize is called by one goroutine at each change of the fleet size, with this process's incarnation. After an
	// error it is called again.
	OnFleetSize func(incarnation uint64, size FleetSize) error
	// NewTransport makes the transport to use in place of sockets, if it is not nil.
	NewTransport func() memberlist.Transport
}

// Node is this process's part in the fleet's membership. Its methods are safe for concurrent use. Close ends it.
type Node struct {
	options Options
	start   time.Time
	keys    *keyring
	stop    context.CancelFunc
	loops   sync.WaitGroup

	// mu is never locked during a call of memberlist, since memberlist calls the delegates with locks of its own.
	mu                     sync.Mutex
	list                   *memberlist.Memberlist // nil: not joined, because another process has the address
	self                   Member
	table                  *MemberTable
	sizer                  *FleetSizer
	deliveredSize          FleetSize // accepted by Options.OnFleetSize last
	rejectedMessages       int
	transportErrors        int
	transportErrorLoggedAt time.Time
	fenced                 bool          // as logged last
	minority               bool          // as logged last
	viewChangedAt          time.Duration // since start
}

// Start joins the fleet. It waits for at most about a second for a seed. Until another member answers, this is a fleet of
// one that uses the configured size. If another process has the address, the node joins once it is free. The error is an
// InvalidMemberError, a KeyFileError, or says why the address can't be used. The caller must close the node.
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
	case errors.Is(err, syscall.EADDRINUSE): // the process before it, in an upgrade, or a mistake
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

// Close leaves the fleet, announces that to the others for at most broadcastTimeout, and waits for the node's goroutines. It
// is called once. After an error the others find this process dead.
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

// now is the time since the node's start, as the member table and the fleet sizer take it.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// runWithJitter calls do until ctx ends, about once per interval; the jitter keeps members from acting in step.
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

// join joins the fleet. The clock that this process's incarnation comes from may be behind that of the process before it:
// if the first view shows an incarnation that is not lower, it leaves and joins again under the next one.
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

// raiseIncarnation takes a higher incarnation if this process's is not above all seen of its name. The node then has to
// join again.
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

// leaveAndShutDown announces that this process leaves and ends its memberlist.
func leaveAndShutDown(list *memberlist.Memberlist) error {
	if err := errors.Join(list.Leave(broadcastTimeout), list.Shutdown()); err != nil {
		return fmt.Errorf("membership: leaving: %w", err)
	}
	return nil
}
