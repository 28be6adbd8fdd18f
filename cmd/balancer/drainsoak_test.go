package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	firstSoakSeed = flag.Uint64("drain-seed", 1, "the first seed that TestDrainAtAnyMoment plays")
	soakSeeds     = flag.Uint64("drain-seeds", 4, "how many seeds TestDrainAtAnyMoment plays")
)

const (
	soakClients = 60
	// frontDelay is how long after a drain or SIGTERM clients still open connections.
	frontDelay = 300 * time.Millisecond
	// killDelay is when a process is killed after SIGTERM: the longest deadline, which counts as 3 s at most, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// killGrace is how long after SIGTERM requests may come that the kill may leave unanswered.
	killGrace = 700 * time.Millisecond
	// answerGrace is how much later than its deadline a request has to be answered; soakSlack is for a busy machine.
	answerGrace = 500 * time.Millisecond
	soakSlack   = 500 * time.Millisecond
	// maxHoldUp is for how long a process is stopped at most.
	maxHoldUp = 150 * time.Millisecond
	// leaveGrace is how long after a client has left its request may still be forwarded, beside a hold-up.
	leaveGrace = 100 * time.Millisecond
)

// drainSoak is one seed's play: a balancer, and clients that use its connections for as long as they are open.
type drainSoak struct {
	seed      uint64
	process   *process
	address   string
	operators string
	over      chan struct{} // closed at the end

	mu         sync.Mutex // guards the fields below
	forwarded  map[string]int
	left       map[string]time.Time // when the client of a request left
	lastID     int
	doorClosed time.Time // no connection is opened from then on; zero: the balancer is open
	answers    map[int]int
	violations []string
}

// violation notes a broken rule.
func (s *drainSoak) violation(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

// timesForwarded is how often an upstream has got a request.
func (s *drainSoak) timesForwarded(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarded[id]
}

// setDoor closes the balancer to new connections from a moment on, or opens it.
func (s *drainSoak) setDoor(closedFrom time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doorClosed = closedFrom
}

// isOpen reports whether clients still open connections.
func (s *drainSoak) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doorClosed.IsZero() || time.Now().Before(s.doorClosed)
}

// serveUpstream counts a request and answers it as slowUpstream does.
func (s *drainSoak) serveUpstream(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		s.mu.Lock()
		s.forwarded[id]++
		if s.forwarded[id] > 1 {
			s.violations = append(s.violations, fmt.Sprintf("request %s was forwarded %d times", id, s.forwarded[id]))
		}
		if left, ok := s.left[id]; ok && time.Since(left) > leaveGrace+maxHoldUp {
			s.violations = append(s.violations, fmt.Sprintf("request %s was forwarded %v after its client left", id, time.Since(left)))
		}
		s.mu.Unlock()
	}
	slowUpstream(w, r)
}

// soakRequest is a request that a client of the soak sends.
type soakRequest struct {
	id        string
	text      string
	deadline  time.Duration
	pieces    int           // in which it is sent
	sendTime  time.Duration // that all pieces take together
	sized     bool          // its response comes in one piece
	breaks    bool          // its upstream breaks the connection
	patience  time.Duration // after which its client leaves; 0: it stays
	opensConn bool          // it is the first of its connection, which has not been silent before
}

// draw draws a request: answered at once, late or never, in one piece or several, sent at once or slowly.
func (s *drainSoak) draw(rng *rand.Rand) soakRequest {
	s.mu.Lock()
	s.lastID++
	id := fmt.Sprintf("%08x%08x", s.seed, s.lastID)
	s.mu.Unlock()
	r := soakRequest{id: id, deadline: time.Duration(500+rng.IntN(7000)) * time.Millisecond, pieces: 1, sized: true}
	query := fmt.Sprintf("delay=%dms", rng.IntN(2500))
	body := ""
	switch rng.IntN(10) {
	case 0:
		query = "delay=20s"
	case 1, 2:
		query = fmt.Sprintf("size=200000&pause=%dms", rng.IntN(3000))
		r.sized = false
	case 3:
		query = fmt.Sprintf("size=200000&chunked&pause=%dms", rng.IntN(3000))
		r.sized = false
	case 4:
		body = strings.Repeat("y", 1+rng.IntN(200<<10))
		r.pieces, r.sendTime = 8, time.Duration(rng.IntN(1500))*time.Millisecond
	case 5:
		r.pieces, r.sendTime = 3, time.Duration(rng.IntN(1800))*time.Millisecond
	case 6:
		query = "abort" // the request fails, with a response
	case 7:
		query = "size=200000&break"
		r.breaks, r.sized = true, false
	default:
		query = ""
	}
	if rng.IntN(10) == 0 {
		r.patience = time.Duration(1+rng.IntN(1500)) * time.Millisecond
	}
	if !r.sized {
		r.deadline = 20 * time.Second
	}
	r.text = rawRequest(query, fmt.Sprint(r.deadline.Milliseconds()), body)
	r.text = strings.Replace(r.text, "00000000000000aa", id, 1)
	return r
}

// soakClient is a client with one connection at a time.
type soakClient struct {
	*drainSoak
	rng *rand.Rand

	mu    sync.Mutex // guards the fields below
	conn  net.Conn   // nil: none is open
	began time.Time  // of the request in progress; zero: there is none
	ended time.Time  // when its last byte was sent; zero: not yet
}

// run opens connections, while the balancer is open to clients, and uses them until the end.
func (c *soakClient) run() {
	for {
		select {
		case <-c.over:
			return
		case <-time.After(healthPollInterval):
		}
		if !c.isOpen() {
			continue
		}
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			continue
		}
		c.set(conn, time.Time{}, time.Time{})
		c.use(conn)
		c.set(nil, time.Time{}, time.Time{})
		conn.Close()
	}
}

func (c *soakClient) set(conn net.Conn, began, ended time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.began, c.ended = conn, began, ended
}

// use sends requests until the connection ends.
func (c *soakClient) use(conn net.Conn) {
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		if c.rng.IntN(3) == 0 {
			first = false // a connection that was silent may be closed under a first request, too
			time.Sleep(time.Duration(c.rng.IntN(600)) * time.Millisecond)
		}
		request := c.draw(c.rng)
		began := time.Now()
		c.set(conn, began, time.Time{})
		sent := c.send(conn, request)
		c.set(conn, began, time.Now())
		if request.patience > 0 {
			conn.SetReadDeadline(time.Now().Add(request.patience))
		}
		request.opensConn = first
		again := c.await(in, request, sent)
		if !again {
			c.leave(conn, request)
		}
		conn.SetReadDeadline(time.Time{})
		c.set(conn, time.Time{}, time.Time{})
		if !again {
			return
		}
	}
}

// send sends a request in its pieces.
func (c *soakClient) send(conn net.Conn, r soakRequest) error {
	size := (len(r.text) + r.pieces - 1) / r.pieces
	for rest := r.text; rest != ""; {
		n := min(size, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		if rest != "" {
			time.Sleep(r.sendTime / time.Duration(r.pieces))
		}
	}
	return nil
}

// await reads the response to a request, and reports whether the connection can be used again.
func (c *soakClient) await(in *bufio.Reader, r soakRequest, sent error) (again bool) {
	sentAt := time.Now()
	response, err := http.ReadResponse(in, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false // the client leaves
	}
	if err != nil {
		// A request that crosses the end of a connection between two requests is sent again; none else may be closed on.
		if n := c.timesForwarded(r.id); n > 0 {
			c.violation("request %s was forwarded and its connection closed without a response: %v", r.id, err)
		} else if r.opensConn && sent == nil {
			c.violation("request %s, the first of its connection, got no response: %v", r.id, err)
		}
		return false
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		if r.breaks || errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		c.violation("the response to request %s broke off: %v", r.id, err)
		return false
	}
	if late := time.Since(sentAt) - r.deadline; r.sized && late > answerGrace+soakSlack {
		c.violation("request %s was answered %v after its deadline", r.id, late.Round(time.Millisecond))
	}
	c.drainSoak.mu.Lock()
	c.answers[response.StatusCode]++
	c.drainSoak.mu.Unlock()
	return !response.Close
}

// leave closes a connection for good, and notes it for the request that was the last on it.
func (c *soakClient) leave(conn net.Conn, r soakRequest) {
	conn.Close()
	c.drainSoak.mu.Lock()
	defer c.drainSoak.mu.Unlock()
	c.left[r.id] = time.Now()
}

// hold returns what keeps a connection open: "" if there is none, or its request came before a time.
func (c *soakClient) hold(since time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.conn == nil || hasEnded(c.conn):
		return ""
	case c.began.IsZero():
		return "is idle"
	case c.ended.IsZero() || c.ended.Before(since):
		return "" // it is being sent, which is bounded by itself, or old
	}
	return fmt.Sprintf("has a request that came %v after", c.ended.Sub(since).Round(time.Millisecond))
}

// hasEnded reports whether the peer has closed a connection, even where its last bytes have not been read.
func hasEnded(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	_ = raw.Control(func(fd uintptr) {
		const connected = 1 // TCP_ESTABLISHED
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		ended = err != nil || info&0xff != connected
	})
	return ended
}

// checkHolds notes each connection that is idle, or has a request that came after a time.
func (s *drainSoak) checkHolds(clients []*soakClient, event string, since time.Time) {
	for i, c := range clients {
		if hold := c.hold(since); hold != "" {
			s.violation("%s: the connection of client %d %s", event, i, hold)
		}
	}
}

// play plays the seed: a drain, in half of the seeds its end, then SIGTERM, with the process held up now and then.
func (s *drainSoak) play(clients []*soakClient) error {
	rng := rand.New(rand.NewPCG(s.seed, 0))
	stopHoldUps := s.holdUp(rand.New(rand.NewPCG(s.seed, 1)))
	time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	drained := time.Now()
	if answer := callManagement(s.operators, "drain-on"); answer != "YES draining" {
		return fmt.Errorf("drain-on got %q", answer)
	}
	s.setDoor(time.Now().Add(frontDelay))
	time.Sleep(time.Until(drained.Add(drainLimit)))
	s.checkHolds(clients, "4 s after a drain", drained.Add(drainLimit-recentRequest))
	if rng.IntN(2) == 0 {
		if answer := callManagement(s.operators, "drain-off"); answer != "YES serving" {
			return fmt.Errorf("drain-off got %q", answer)
		}
		s.setDoor(time.Time{})
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	stopHoldUps()
	terminated := time.Now()
	s.setDoor(terminated.Add(frontDelay))
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(time.Until(terminated.Add(killDelay)))
	s.checkHolds(clients, "at the kill", terminated.Add(killGrace))
	return s.err()
}

// err is an error with all that has been noted, or nil.
func (s *drainSoak) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) == 0 {
		return nil
	}
	return errors.New(strings.Join(s.violations, "\n"))
}

// holdUp stops the process for short times, until it is told to end.
func (s *drainSoak) holdUp(rng *rand.Rand) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(300+rng.IntN(1200)) * time.Millisecond):
			}
			_ = s.process.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rng.Int64N(int64(maxHoldUp))))
			_ = s.process.Process.Signal(syscall.SIGCONT)
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// Clients that use each connection for as long as it is open meet a drain and SIGTERM at drawn moments, with requests that wait
// for upstreams that hang or break the connection, come in parts either way, or are late; some leave. No request that was forwarded goes without its response, none
// is forwarded twice, and 4 s after a drain, and at the kill, nothing is held that must not be.
func TestDrainAtAnyMoment(t *testing.T) {
	program := balancerCommand(t)
	for seed := *firstSoakSeed; seed < *firstSoakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := &drainSoak{seed: seed, over: make(chan struct{}), forwarded: map[string]int{}, left: map[string]time.Time{}, answers: map[int]int{}}
			command := exec.Command(program.Path, program.Args[1:]...)
			command.Dir = program.Dir
			s.process, s.address, s.operators = startPatientBalancer(t, command, s.serveUpstream)
			clients, wait := s.startClients()
			err := s.play(clients)
			s.process.Process.Kill()
			exit := <-s.process.exited
			close(s.over)
			wait()
			t.Logf("%d requests forwarded; answers by status: %v; exit: %v", len(s.forwarded), s.answers, exit)
			if err != nil {
				t.Errorf("%v\nlog:\n%s", err, &s.process.log)
			}
		})
	}
}

// startClients starts the clients. wait waits for their end.
func (s *drainSoak) startClients() (clients []*soakClient, wait func()) {
	var group sync.WaitGroup
	for i := range soakClients {
		c := &soakClient{drainSoak: s, rng: rand.New(rand.NewPCG(s.seed, uint64(i+2)))}
		clients = append(clients, c)
		group.Go(c.run)
	}
	return clients, group.Wait
}
