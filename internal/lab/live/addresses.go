package live

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addressTries is how many nets pickAddresses looks at.
const addressTries = 40

// daysBegun counts the days that this process has begun. Each day starts to look for free addresses at another place.
var daysBegun atomic.Int64

// pickAddresses finds a net in 127.0.0.0/8 that nobody on this machine uses.
func (r *run) pickAddresses() error {
	var last error
	for range addressTries {
		r.base = 20 + (os.Getpid()+37*int(daysBegun.Add(1)))%200
		l, err := net.Listen("tcp", r.clientsAt(0))
		if err != nil {
			last = err
			continue
		}
		return l.Close()
	}
	return fmt.Errorf("no free addresses in 127.0.0.0/8: %w", last)
}

// clientsAt is where balancer b serves its clients.
func (r *run) clientsAt(b int) string { return fmt.Sprintf("127.%d.1.%d:7070", r.base, b+1) }

// operatorsAt is where balancer b takes management calls.
func (r *run) operatorsAt(b int) string { return fmt.Sprintf("127.%d.1.%d:7071", r.base, b+1) }

// agentAt is where balancer b finds its discovery agent.
func (r *run) agentAt(b int) string { return fmt.Sprintf("127.%d.2.%d:8500", r.base, b+1) }

// upstreamAt is where balancer b finds upstream u.
func (r *run) upstreamAt(b, u int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.base, 3+u/20000, b+1, 10000+u%20000)
}
