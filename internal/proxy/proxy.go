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

// Proxy is a balancer with its connections to clients, upstreams and discovery. Its methods may be called from any
// goroutine.
type Proxy struct {
	config   Config
	loop     *loop
	frontend *frontend
	cancel   context.CancelFunc // ends the loop and the goroutines that it has started
	serving  atomic.Bool
}

// New returns a balancer for the clients of listener. It does not serve requests before Run, but accepts operators' orders.
// A drain that was ordered in an earlier process is in effect from the start.
func New(c Config, listener net.Listener) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{config: c, cancel: cancel}
	p.loop = newLoop(ctx, &p.config)
	p.frontend = newFrontend(&p.config, listener, p.loop)
	p.frontend.executions = openExecutionRegistry(&p.config, listener.Addr().String(), p.loop.now)
	if p.loop.saver.CurrentOrders().Drain {
		p.frontend.startDrain() // before an operator's order can arrive
	}
	return p
}

// Run serves clients until ctx ends, and then until every accepted request is answered. Each address received from
// discoveryAddresses replaces the address of discovery.
func (p *Proxy) Run(ctx context.Context, discoveryAddresses <-chan string) error {
	defer p.cancel()
	defer p.frontend.executions.close()
	if err := p.loop.start(&p.config); err != nil {
		return err
	}
	go p.loop.run()
	serveResult := make(chan error, 1)
	go func() { serveResult <- p.frontend.serve() }()
	p.serving.Store(true)
	for {
		select {
		case err := <-serveResult: // the listener has failed; accepted requests must still be answered
			slog.Error("listener failed, shutting down", "err", err)
			p.frontend.shutDown()
			p.saveLastSnapshot()
			return err
		case address := <-discoveryAddresses:
			p.loop.post(discoveryMoved{address})
		case <-ctx.Done():
			p.frontend.shutDown()
			p.saveLastSnapshot()
			return nil
		}
	}
}

// saveLastSnapshot saves a snapshot of the decision module before the process ends.
func (p *Proxy) saveLastSnapshot() {
	// If the loop is too busy to respond, the last periodic snapshot is recent enough.
	_ = p.callLoop(func(l *loop) { l.saver.SaveLastSnapshot(l.balancer, l.now()) })
}

// Ready reports whether clients are accepted, and the state of the balancer. A draining balancer still accepts clients.
func (p *Proxy) Ready() (ready bool, state string) {
	switch {
	case !p.serving.Load():
		return false, "starting"
	case p.frontend.lifecycle.shutdown.isActive():
		return false, "stopping"
	case p.frontend.lifecycle.drain.isActive():
		return true, "draining"
	}
	return true, "serving"
}

// StartDrain drains the balancer without ending the process. done is false if the order could not be saved and may not
// outlive the process.
func (p *Proxy) StartDrain() (done bool, state string) {
	p.frontend.startDrain()
	return p.saveDrainOrder()
}

// EndDrain ends a drain. done is false if the order could not be saved and may not outlive the process.
func (p *Proxy) EndDrain() (done bool, state string) {
	p.frontend.endDrain()
	return p.saveDrainOrder()
}

// saveDrainOrder saves whether the balancer is draining, and returns its state.
func (p *Proxy) saveDrainOrder() (done bool, state string) {
	_, state = p.Ready()
	// The state is read inside the update: of concurrent orders, the last to be saved saves the state that results from all.
	err := p.loop.saver.UpdateOrders(func(o *savedstate.Orders) { o.Drain = p.frontend.lifecycle.drain.isActive() })
	if err != nil {
		return false, state + ", " + err.Error()
	}
	return true, state
}

// errBusy means that the loop did not complete a call within timelimit.EventLoopCallTimeout. The function may still run later.
var errBusy = errors.New("the balancer is too busy to answer")

// callLoop runs a function on the loop's goroutine and waits for it to return.
func (p *Proxy) callLoop(do func(l *loop)) error {
	call := loopCall{do, make(chan struct{})}
	timeout := time.NewTimer(timelimit.EventLoopCallTimeout)
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

// DrainZone stops sending new requests to a zone. If that fails, or the order could not be saved and may not outlive the
// process, done is false and state gives the reason.
func (p *Proxy) DrainZone(name string) (done bool, state string) {
	drained := false // must not be read before callLoop has succeeded
	err := p.callLoop(func(l *loop) { drained = l.balancer.DrainZone(l.now(), name) })
	if err != nil {
		return false, err.Error()
	}
	if !drained { // replies to operators call a drained zone left
		return false, "it is not known, or the last that is not left"
	}
	return p.saveZoneOrder("left", func(o *savedstate.Orders) { o.DrainZone(name) })
}

// ReinstateZone returns a drained zone to service step by step. Its results are those of DrainZone.
func (p *Proxy) ReinstateZone(name string) (done bool, state string) {
	reinstated := false // must not be read before callLoop has succeeded
	err := p.callLoop(func(l *loop) { reinstated = l.balancer.ReinstateZone(l.now(), name) })
	if err != nil {
		return false, err.Error()
	}
	if !reinstated {
		return false, "it was not left"
	}
	return p.saveZoneOrder("returning", func(o *savedstate.Orders) { o.ReinstateZone(name) })
}

// saveZoneOrder saves the change made by an order for a zone. state is the zone's new state.
func (p *Proxy) saveZoneOrder(state string, change func(*savedstate.Orders)) (done bool, text string) {
	err := p.loop.saver.UpdateOrders(change)
	if err != nil {
		return false, state + ", " + err.Error()
	}
	return true, state
}

// WriteZones writes the status of each zone, one per line.
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

// SetFleetSize sets the number of balancers in the fleet.
func (p *Proxy) SetFleetSize(f balancer.FleetSize) error {
	return p.callLoop(func(l *loop) { l.balancer.OnFleetSizeChanged(l.now(), f) })
}

// WriteMetrics writes the balancer's metrics, one per line.
func (p *Proxy) WriteMetrics(w io.Writer) error {
	if err := p.loop.metrics.set.Write(w); err != nil {
		return err
	}
	return p.loop.report.zones.write(w)
}
