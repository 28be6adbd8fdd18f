package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/savedstate"
	"sprucehill/internal/timelimit"
)

// Proxy is one balancer with its clients, upstreams and discovery. Its methods may be called from any goroutine.
type Proxy struct {
	config  Config
	loop    *loop
	front   *frontend
	cancel  context.CancelFunc // ends the loop and what it has started
	serving atomic.Bool
}

// New returns a balancer for the clients of listener. It serves nobody before Run, but takes operators' orders; a drain that an
// earlier process was ordered is in force from the beginning.
func New(c Config, listener net.Listener) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{config: c, cancel: cancel}
	p.loop = newLoop(ctx, &p.config)
	p.front = newFrontend(&p.config, listener, p.loop)
	if p.loop.saver.CurrentOrders().Drain {
		p.front.startDrain() // before operators can order otherwise
	}
	return p
}

// Run serves clients until ctx ends, and then until every request that has arrived is answered. Each address from moves
// is that of discovery from then on.
func (p *Proxy) Run(ctx context.Context, discoveryAddresses <-chan string) error {
	defer p.cancel()
	if err := p.loop.start(&p.config); err != nil {
		return err
	}
	go p.loop.run()
	serveResult := make(chan error, 1)
	go func() { serveResult <- p.front.serve() }()
	p.serving.Store(true)
	for {
		select {
		case err := <-serveResult: // the listener has failed; what has been accepted is still owed its response
			slog.Error("listener failed, shutting down", "err", err)
			p.front.shutDown()
			p.saveLastSnapshot()
			return err
		case address := <-discoveryAddresses:
			p.loop.post(discoveryMoved{address})
		case <-ctx.Done():
			p.front.shutDown()
			p.saveLastSnapshot()
			return nil
		}
	}
}

// saveLastSnapshot saves a snapshot of the decision module at the end.
func (p *Proxy) saveLastSnapshot() {
	// A loop that is too busy for it has saved most of that shortly before.
	_ = p.callLoop(func(l *loop) { l.saver.SaveLastSnapshot(l.balancer, l.now()) })
}

// Ready reports whether clients are accepted. A balancer that drains still serves those that come.
func (p *Proxy) Ready() (ready bool, state string) {
	switch {
	case !p.serving.Load():
		return false, "starting"
	case p.front.lifecycle.shutdown.isActive():
		return false, "stopping"
	case p.front.lifecycle.drain.isActive():
		return true, "draining"
	}
	return true, "serving"
}

// StartDrain sends clients away without ending the process. done is false where the order may not outlive the process.
func (p *Proxy) StartDrain() (done bool, state string) {
	p.front.startDrain()
	return p.saveDrainOrder()
}

// EndDrain accepts clients again. done is false where the order may not outlive the process.
func (p *Proxy) EndDrain() (done bool, state string) {
	p.front.endDrain()
	return p.saveDrainOrder()
}

// saveDrainOrder saves whether the balancer drains now, and returns its state.
func (p *Proxy) saveDrainOrder() (done bool, state string) {
	_, state = p.Ready()
	// Of orders at the same moment, the one that is saved last saves the state that all of them have led to.
	err := p.loop.saver.UpdateOrders(func(o *savedstate.Orders) { o.Drain = p.front.lifecycle.drain.isActive() })
	if err != nil {
		return false, state + ", " + err.Error()
	}
	return true, state
}

// errBusy says that the loop has not come to a call in time. The function may still be run.
var errBusy = errors.New("the balancer is too busy to answer")

// callLoop has the loop run a function on its goroutine, and waits for that.
func (p *Proxy) callLoop(do func(l *loop)) error {
	call := loopCall{do, make(chan struct{})}
	timeout := time.NewTimer(timelimit.LoopCall)
	defer timeout.Stop()
	select {
	case p.loop.events <- call:
	case <-timeout.C:
		return errBusy
	}
	select {
	case <-call.done:
		return nil
	case <-timeout.C:
		return errBusy
	}
}

// DrainZone sends no new requests to a zone. If it is not done, or the order may not outlive the process, state says why.
func (p *Proxy) DrainZone(name string) (done bool, state string) {
	drained := false // the loop's own until it has answered
	err := p.callLoop(func(l *loop) { drained = l.balancer.DrainZone(l.now(), name) })
	if err != nil {
		return false, err.Error()
	}
	if !drained { // operators' answers call a drained zone left
		return false, "it is not known, or the last that is not left"
	}
	return p.saveZoneOrder("left", func(o *savedstate.Orders) { o.DrainZone(name) })
}

// ReinstateZone returns a drained zone to service step by step. Its results are as those of DrainZone.
func (p *Proxy) ReinstateZone(name string) (done bool, state string) {
	reinstated := false // the loop's own until it has answered
	err := p.callLoop(func(l *loop) { reinstated = l.balancer.ReinstateZone(l.now(), name) })
	if err != nil {
		return false, err.Error()
	}
	if !reinstated {
		return false, "it was not left"
	}
	return p.saveZoneOrder("returning", func(o *savedstate.Orders) { o.ReinstateZone(name) })
}

// saveZoneOrder saves what an order for a zone changes. The zone is in the given state now.
func (p *Proxy) saveZoneOrder(state string, change func(*savedstate.Orders)) (done bool, text string) {
	err := p.loop.saver.UpdateOrders(change)
	if err != nil {
		return false, state + ", " + err.Error()
	}
	return true, state
}

// WriteZones writes what each zone is to the balancer, one to a line.
func (p *Proxy) WriteZones(w io.Writer) error {
	var zones []balancer.ZoneStatus
	err := p.callLoop(func(l *loop) { zones = l.balancer.ZoneStatuses(l.now()) })
	if err != nil {
		return err
	}
	for _, zone := range zones {
		_, err := fmt.Fprintf(w, "zone %q %s listed %d share %.3f use %.3f\n",
			zone.Name, zone.State, zone.Listed, zone.Share, zone.Utilization)
		if err != nil {
			return err
		}
	}
	return nil
}

// SetFleetSize sets how many balancers there are from now on.
func (p *Proxy) SetFleetSize(f balancer.FleetSize) error {
	return p.callLoop(func(l *loop) { l.balancer.OnFleetSizeChanged(l.now(), f) })
}

// WriteMetrics writes the balancer's metrics, one to a line.
func (p *Proxy) WriteMetrics(w io.Writer) error {
	if err := p.loop.metrics.set.Write(w); err != nil {
		return err
	}
	return p.loop.report.zones.write(w)
}
