package link

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"sprucehill/internal/lab/labtest"
	"sprucehill/internal/lab/scenario"
)

// cutScenario has one balancer, one upstream and two faults: 0 cuts the link between them, and 1 cuts the direction from the
// upstream to the balancer.
const cutScenario = `
length = "10s"
[[region]]
name = "r"
[[region.zone]]
name = "a"
balancers = 1
upstreams = [{model = "m", count = 1}]
[model.m]
[[class]]
name = "c"
aim = "1s"
deadline = "2s"
work = ["1ms", "1ms"]
[load]
rate = 1
[[fault]]
at = "1s"
kind = "cut"
from = ["balancer:*"]
to = ["upstream:*"]
[[fault]]
at = "1s"
kind = "cut"
from = ["upstream:*"]
to = ["balancer:*"]
one_way = true
`

var (
	balancerParty = scenario.Party{Kind: scenario.BalancerParty}
	upstreamParty = scenario.Party{Kind: scenario.UpstreamParty}
)

// connect returns a network with a listener of the upstream's and the two ends of a connection to it: far is the
// balancer's plain socket, near the upstream's end in the network.
func connect(t *testing.T) (*Network, *Listener, net.Conn, *Conn) {
	t.Helper()
	sc := labtest.ParseScenario(t, cutScenario)
	n := New(sc.NewPaths(sc.Fleet()), 1)
	l, err := n.Listen(upstreamParty, balancerParty, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	far, err := net.Dial("tcp", l.tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	return n, l, far, near
}

// arrives reports whether a byte that is written at one end can be read at the other within a time.
func arrives(t *testing.T, from io.Writer, to net.Conn, within time.Duration) bool {
	t.Helper()
	go func() { _, _ = io.WriteString(from, "x") }() // an error shows as a byte that does not arrive
	got := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(to, make([]byte, 1))
		got <- err
	}()
	select {
	case err := <-got:
		if err != nil {
			t.Fatal(err)
		}
		return true
	case <-time.After(within):
		return false
	}
}

// A connection over a cut link is neither closed nor reset, and carries no data. What was sent during the cut arrives when
// the link is up again.
func TestCutIsSilent(t *testing.T) {
	n, _, far, near := connect(t)
	if !arrives(t, far, near, 10*time.Second) {
		t.Fatal("no byte arrived before the cut")
	}
	n.Apply(0, scenario.Begin)
	got := make(chan error, 1)
	if _, err := io.WriteString(far, "x"); err != nil {
		t.Fatal(err)
	}
	go func() {
		_, err := io.ReadFull(near, make([]byte, 1))
		got <- err
	}()
	select {
	case err := <-got:
		t.Fatalf("read over a cut link returned (error %v); it must block", err)
	case <-time.After(300 * time.Millisecond):
	}
	n.Apply(0, scenario.End)
	if err := <-got; err != nil {
		t.Fatalf("read after the cut: %v", err)
	}
}

// A link that is cut in one direction still delivers in the other.
func TestOneWayCut(t *testing.T) {
	n, _, far, near := connect(t)
	n.Apply(1, scenario.Begin)
	if !arrives(t, far, near, 10*time.Second) {
		t.Error("balancer to upstream is not cut, but no byte arrived")
	}
	if arrives(t, near, far, 300*time.Millisecond) {
		t.Error("upstream to balancer is cut, but a byte arrived")
	}
}

// While a link is cut, a new connection is neither established nor refused nor reset. It is established after the last of
// several overlapping cuts has ended.
func TestCutTakesNoConnections(t *testing.T) {
	n, l, _, _ := connect(t)
	address := l.tcp.Addr().String()
	n.Apply(0, scenario.Begin)
	n.Apply(1, scenario.Begin)
	n.Apply(0, scenario.End)
	_, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
	if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("dial over a cut link: got %v, want a timeout", err)
	}
	n.Apply(1, scenario.End)
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		t.Fatalf("dial after the cut: %v", err)
	}
	defer c.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if accepted.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("accepted the connection from %v, want the one from %v", accepted.RemoteAddr(), c.LocalAddr())
	}
}
