//go:build review

package standin

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["stuck-upload"] = playStuckUpload }

const (
	stuckWait  = 2 * time.Second // half of the 4 s of the class, as a try has
	stuckSlack = 500*time.Millisecond + 50*time.Millisecond
	stuckLimit = 8 * time.Second // how long a client of this case watches for the answer
)

// stuckUploadPlay counts how the requests of playStuckUpload ended.
type stuckUploadPlay struct {
	*play
	answered   atomic.Int64
	lost       atomic.Int64
	incomplete atomic.Int64 // answered before the last byte had arrived
}

// playStuckUpload has one upstream of five that falls silent for 6 s while clients send long requests. Each client must get its
// final answer within its time, counted from when its last byte had arrived at the balancer's machine, and 0.5 s.
func playStuckUpload(p *play) (broken int) {
	const (
		upstreams = 5
		service   = 300 * time.Millisecond
		quiet     = 3 * time.Second // before the disruption
		silence   = 6 * time.Second
		length    = 5 * time.Second
		interval  = 50 * time.Millisecond
		sizes     = 5
		firstSize = 112 << 10 // over what the kernel holds
		sizeStep  = 40 << 10
	)
	s := &stuckUploadPlay{play: p}
	held := bytesHeldByKernel()
	p.record("a connection to an upstream that does not read holds %d bytes", held)
	var silent atomic.Bool
	var members []member
	for i := range upstreams {
		u := p.newUpstream(i)
		u.receive = func(a arrival) time.Duration {
			p.record("upstream %s received %s, %d bytes of body, X-Deadline-Ms %s", u.name, a.id, a.length, a.deadline)
			return service
		}
		if i == 0 {
			u.stuck = silent.Load
		}
		members = append(members, u.member())
	}
	p.startBalancer(members, settings(1))
	began := time.Now()
	if p.trouble {
		time.AfterFunc(quiet, func() {
			p.record("upstream %s falls silent", members[0].ID)
			silent.Store(true)
		})
		time.AfterFunc(quiet+silence, func() {
			p.record("upstream %s goes on", members[0].ID)
			silent.Store(false)
		})
	}
	var clients sync.WaitGroup
	for i := 0; time.Since(began) < length; i++ {
		clients.Go(func() { s.send(held + firstSize + i%sizes*sizeStep) })
		time.Sleep(interval)
	}
	clients.Wait()
	p.record("answered in time %d, late or never %d, answered before their last byte %d", s.answered.Load(), s.lost.Load(), s.incomplete.Load())
	return int(s.lost.Load())
}

// send sends a request with a body of the given length, and checks when it is answered.
func (s *stuckUploadPlay) send(length int) {
	id := s.newID()
	c := s.dial()
	defer c.Close()
	answers := make(chan int, 1)
	go func() {
		c.SetReadDeadline(time.Now().Add(stuckLimit))
		status, _, _, err := c.readAnswer()
		s.record("client of %s got %d %v", id, status, err)
		answers <- status
	}()
	s.record("client begins to send %s, %d bytes of body", id, length)
	c.SetWriteDeadline(time.Now().Add(stuckLimit))
	_, err := c.Write(requestBytes(walletTopUp, id, stuckWait, length))
	for err == nil && c.unacknowledged() > 0 {
		time.Sleep(time.Millisecond)
		if len(answers) > 0 {
			err = errors.New("answered before the last byte had arrived")
		}
	}
	arrived := time.Now()
	if err != nil {
		s.record("client of %s: %v", id, err)
		s.incomplete.Add(1)
		return
	}
	s.record("the last byte of %s has arrived at the balancer's machine", id)
	<-answers
	elapsed := time.Since(arrived)
	if elapsed <= stuckWait+stuckSlack {
		s.answered.Add(1)
		return
	}
	s.lost.Add(1)
	s.record("BROKEN: %s (%d bytes of body) had no final answer %v after its last byte, only after %v; its client waits %v",
		id, length, stuckWait+stuckSlack, elapsed.Round(time.Millisecond), stuckWait)
}

// bytesHeldByKernel returns how many bytes a connection to an upstream that does not read takes.
func bytesHeldByKernel() (held int) {
	l := listenUpstream()
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	check(err)
	defer c.Close()
	part := make([]byte, 16<<10)
	for {
		c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		n, err := c.Write(part)
		held += n
		if err != nil {
			return held
		}
	}
}

// unacknowledged returns how many sent bytes the peer's machine has not acknowledged.
func (c *clientConn) unacknowledged() int {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	check(err)
	var queued int32
	err = raw.Control(func(fd uintptr) {
		if _, _, number := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued))); number != 0 {
			queued = 0
		}
	})
	if err != nil {
		return 0
	}
	return int(queued)
}
