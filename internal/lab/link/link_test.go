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

const cutDay = `
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

var b, u = scenario.Party{Kind: scenario.BalancerParty}, scenario.Party{Kind: scenario.UpstreamParty}

// connect returns a network and the two ends of a connection over it: the balancer's own, and the upstream's.
func connect(t *testing.T) (*Network, *Listener, net.Conn, *Conn) {
	t.Helper()
	d := labtest.Day(t, cutDay)
	n := New(d.NewPaths(d.Fleet()), 1)
	l, err := n.Listen(u, b, "127.0.0.1:0")
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

// arrives reports whether a byte from one end has come to the other within a time.
func arrives(t *testing.T, from io.Writer, to net.Conn, within time.Duration) bool {
	t.Helper()
	go func() { _, _ = io.WriteString(from, "x") }() // a byte that is not written does not arrive
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

// A cut link keeps its connections, silent; what was sent comes when it is up again.
func TestCutIsSilent(t *testing.T) {
	n, _, far, near := connect(t)
	if !arrives(t, far, near, 10*time.Second) {
		t.Fatal("nothing passes on a whole way")
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
		t.Fatalf("a cut way passed a byte or an error on: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	n.Apply(0, scenario.End)
	if err := <-got; err != nil {
		t.Fatalf("after the cut: %v", err)
	}
}

// A link that is cut in one direction passes the other.
func TestOneWayCut(t *testing.T) {
	n, _, far, near := connect(t)
	n.Apply(1, scenario.Begin)
	if !arrives(t, far, near, 10*time.Second) {
		t.Error("balancer to upstream is not cut, but nothing passes")
	}
	if arrives(t, near, far, 300*time.Millisecond) {
		t.Error("upstream to balancer is cut, but a byte passes")
	}
}

// New connections do not come up over a cut, are neither refused nor reset, and come up when it ends. Cuts overlap.
func TestCutTakesNoConnections(t *testing.T) {
	n, l, _, _ := connect(t)
	address := l.tcp.Addr().String()
	n.Apply(0, scenario.Begin)
	n.Apply(1, scenario.Begin)
	n.Apply(0, scenario.End)
	_, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
	if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("over a cut: %v", err)
	}
	n.Apply(1, scenario.End)
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		t.Fatalf("after the cut: %v", err)
	}
	defer c.Close()
	taken, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if taken.RemoteAddr().String() != c.LocalAddr().String() {
		t.Errorf("took %v, not the connection that was opened", taken.RemoteAddr())
	}
}
