package live

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// maxAddressAttempts is how many subnets pickAddresses tries.
const maxAddressAttempts = 40

// runsStarted counts the runs that this process has started. Each run starts its search for free addresses at another
// subnet.
var runsStarted atomic.Int64

// pickAddresses finds a /16 subnet of 127.0.0.0/8 that no other process on this machine uses.
func (r *run) pickAddresses() error {
	var last error
	for range maxAddressAttempts {
		r.addressOctet = 20 + (os.Getpid()+37*int(runsStarted.Add(1)))%200
		l, err := net.Listen("tcp", r.clientAddress(0))
		if err != nil {
			last = err
			continue
		}
		return l.Close()
	}
	return fmt.Errorf("no free subnet in 127.0.0.0/8 after %d attempts: %w", maxAddressAttempts, last)
}

// clientAddress returns the address at which balancer b serves clients.
func (r *run) clientAddress(b int) string {
	return fmt.Sprintf("127.%d.1.%d:7070", r.addressOctet, b+1)
}

// managementAddress returns the address at which balancer b serves management calls.
func (r *run) managementAddress(b int) string {
	return fmt.Sprintf("127.%d.1.%d:7071", r.addressOctet, b+1)
}

// agentAddress returns the address of balancer b's discovery agent.
func (r *run) agentAddress(b int) string { return fmt.Sprintf("127.%d.2.%d:8500", r.addressOctet, b+1) }

// upstreamAddress returns the address at which balancer b reaches upstream u.
func (r *run) upstreamAddress(b, u int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.addressOctet, 3+u/20000, b+1, 10000+u%20000)
}
