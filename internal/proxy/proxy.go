package proxy

import (
	"context"
	"io"
	"net"
	"sync/atomic"
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
	return true, state
}

// WriteFigures writes what the balancer reports, one figure to a line.
func (p *Proxy) WriteFigures(w io.Writer) error { return p.loop.figures.set.Write(w) }
