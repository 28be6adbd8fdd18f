package proxy

import (
	"context"
	"net"
)

// Run serves the clients of listener until ctx ends, and then until all that was taken is answered. Each address from
// moves is that of discovery from then on.
func Run(ctx context.Context, c Config, listener net.Listener, moves <-chan string) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	l := newLoop(life, &c)
	if err := l.start(&c); err != nil {
		return err
	}
	go l.run()
	f := newFrontend(&c, listener, l.post, l.now)
	served := make(chan error, 1)
	go func() { served <- f.serve() }()
	for {
		select {
		case err := <-served:
			return err
		case address := <-moves:
			l.post(moved(address))
		case <-ctx.Done():
			f.stop()
			return nil
		}
	}
}
