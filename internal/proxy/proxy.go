package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
)

// Proxy is one balancer with its clients, upstreams and discovery.
type Proxy struct {
	config  Config
	loop    *loop
	front   *frontend
	end     context.CancelFunc // ends the loop and what it has started
	serving atomic.Bool
}

// New returns a balancer for the clients of listener. It does nothing before Run.
func New(c Config, listener net.Listener) *Proxy {
	life, end := context.WithCancel(context.Background())
	p := &Proxy{config: c, end: end}
	p.loop = newLoop(life, &p.config)
	p.front = newFrontend(&p.config, listener, p.loop)
	return p
}

// Run serves clients until ctx ends, and then until all that was taken is answered. Each address from moves is that of
// discovery from then on.
func (p *Proxy) Run(ctx context.Context, moves <-chan string) error {
	defer p.end()
	if err := p.loop.start(&p.config); err != nil {
		return err
	}
	if p.loop.state.drained() {
		p.front.drain(true)
	}
	go p.loop.run()
	served := make(chan error, 1)
	go func() { served <- p.front.serve() }()
	p.serving.Store(true)
	for {
		select {
		case err := <-served:
			return err
		case address := <-moves:
			p.loop.post(moved(address))
		case <-ctx.Done():
			p.front.stop()
			p.ask(func(l *loop) { // the last that is learnt; a loop too busy for it has offered some of late
				l.state.learntAt = 0
				l.state.learnt(l, l.now())
			})
			return nil
		}
	}
}

// Ready tells whether clients are taken. A balancer that drains still serves those that come.
func (p *Proxy) Ready() (ready bool, state string) {
	switch {
	case !p.serving.Load():
		return false, "starting"
	case p.front.leaving.Load():
		return false, "stopping"
	case p.front.draining.Load():
		return true, "draining"
	}
	return true, "serving"
}

// Drain sends clients away without ending the process, or takes them again.
func (p *Proxy) Drain(on bool) (done bool, state string) {
	p.front.drain(on)
	_, state = p.Ready()
	if err := p.loop.state.order(func(o *keptOrders) { o.Drain = on }); err != nil {
		return false, state + ", " + err.Error()
	}
	return true, state
}

// operatorWait bounds an operators' call that the loop answers: one is owed in 1 s.
const operatorWait = 700 * time.Millisecond

// errBusy says that the loop has not come to a call in time. What was ordered may still be done.
var errBusy = errors.New("the balancer is too busy to answer")

// ask has the loop do something with the module, and waits for that.
func (p *Proxy) ask(do func(l *loop)) error {
	asked := order{do, make(chan struct{})}
	limit := time.NewTimer(operatorWait)
	defer limit.Stop()
	select {
	case p.loop.events <- asked:
	case <-limit.C:
		return errBusy
	}
	select {
	case <-asked.done:
		return nil
	case <-limit.C:
		return errBusy
	}
}

// Zone sends nothing new to a zone, or takes it back by steps.
func (p *Proxy) Zone(name string, leave bool) (done bool, state string) {
	change, state, why := (*balancer.Balancer).ReinstateZone, "returning", "it was not left"
	if leave {
		change, state, why = (*balancer.Balancer).DrainZone, "left", "it is not known, or the last that is not left"
	}
	ok := false // the loop's own until it has answered
	if err := p.ask(func(l *loop) { ok = change(l.balancer, l.now(), name) }); err != nil {
		return false, err.Error()
	}
	if !ok {
		return false, why
	}
	if err := p.loop.state.order(func(o *keptOrders) {
		o.Left = slices.DeleteFunc(o.Left, func(z string) bool { return z == name })
		if leave {
			o.Left = append(o.Left, name)
		}
	}); err != nil {
		return false, state + ", " + err.Error()
	}
	return true, state
}

// WriteZones writes what each zone is to the balancer, one to a line.
func (p *Proxy) WriteZones(w io.Writer) error {
	var all []balancer.ZoneStatus
	if err := p.ask(func(l *loop) { all = l.balancer.ZoneStatuses(l.now()) }); err != nil {
		return err
	}
	for _, z := range all {
		if _, err := fmt.Fprintf(w, "zone %q %s listed %d share %.3f use %.3f\n", z.Name, z.State, z.Listed, z.Share, z.Utilization); err != nil {
			return err
		}
	}
	return nil
}

// Fleet takes how many balancers there are from now on.
func (p *Proxy) Fleet(f balancer.FleetSize) error {
	return p.ask(func(l *loop) { l.balancer.OnFleetSizeChanged(l.now(), f) })
}

// WriteFigures writes what the balancer reports, one figure to a line.
func (p *Proxy) WriteFigures(w io.Writer) error {
	if err := p.loop.figures.set.Write(w); err != nil {
		return err
	}
	return p.loop.zones.write(w)
}
