package live

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/link"
	"sprucehill/internal/lab/server"
)

// upstream is an emulated server on sockets: one listener for each balancer, one core.
type upstream struct {
	run   *run
	index int
	party day.Party
	kick  chan struct{} // something has arrived: look again when to wake
	ended chan struct{}
	done  sync.WaitGroup

	mu        sync.Mutex
	core      *server.Server // nil: no process runs
	jobs      map[server.JobID]*exchange
	serial    server.JobID
	listeners []*link.Listener
	conns     map[*link.Conn]struct{}
	faults    []day.Fault
}

// exchange is one attempt at the upstream.
type exchange struct {
	id     uint64
	try    *try
	from   int // balancer
	serial int32
	first  time.Duration
	conn   *link.Conn
	job    server.JobID
}

// event is one of this attempt.
func (x *exchange) event(u *upstream, kind history.Kind) history.Event {
	return history.Event{Kind: kind, Req: x.id, Arrival: int32(x.try.arrival), Try: int8(x.try.number), Class: int16(x.try.class),
		Balancer: int32(x.from), Upstream: int32(u.index), Serial: x.serial}
}

func (r *run) newUpstream(index int) (*upstream, error) {
	u := &upstream{run: r, index: index, party: day.Party{Kind: day.UpstreamParty, Index: index}, kick: make(chan struct{}, 1),
		ended: make(chan struct{}), jobs: map[server.JobID]*exchange{}, conns: map[*link.Conn]struct{}{}}
	if err := u.begin(false); err != nil {
		return nil, err
	}
	u.done.Go(u.work)
	return u, nil
}

func (u *upstream) model() day.Model { return u.run.day.Models[u.run.fleet.Upstreams[u.index].Model] }

// clock is the core's time.
func (u *upstream) clock() time.Duration { return time.Since(u.run.epoch) }

// begin starts the upstream's process.
func (u *upstream) begin(cold bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	seed := u.run.day.Seed<<16 + uint64(u.index)
	u.core = server.New(u.model(), u.run.day.Balancer, seed, u.clock(), cold)
	u.core.Suffer(u.faults)
	if u.listeners != nil {
		return nil
	}
	for b := range u.run.fleet.Balancers {
		l, err := u.run.net.Listen(u.party, day.Party{Kind: day.BalancerParty, Index: b}, u.run.upstreamAt(b, u.index))
		if err != nil {
			return err
		}
		u.listeners = append(u.listeners, l)
		u.done.Go(func() { u.accept(l, b) })
	}
	return nil
}

// work wakes the core when it has something to do.
func (u *upstream) work() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-wake.C:
		case <-u.kick:
		case <-u.ended:
			return
		}
		u.mu.Lock()
		next := time.Second
		if u.core != nil {
			u.advance()
			next = u.core.Next() - u.clock()
		}
		u.mu.Unlock()
		wake.Reset(max(next, 0))
	}
}

// advance brings the core to now and answers what has ended. u.mu is held.
func (u *upstream) advance() {
	for _, d := range u.core.Advance(u.clock()) {
		x := u.jobs[d.Job]
		if x == nil {
			continue
		}
		delete(u.jobs, d.Job)
		status := http.StatusOK
		if d.Failed {
			status = http.StatusInternalServerError
		}
		go u.reply(x, status, u.load())
	}
}

// load is the report as a header. u.mu is held.
func (u *upstream) load() string {
	if l, ok := u.core.Load(); ok {
		return fmt.Sprintf("util=%.3f,eps=%.2f,queue=%.0f", l.Util, l.Errors, l.Queue)
	}
	return ""
}

// reply writes an answer. Whoever gave up gets none, and that is noted where its connection ends.
func (u *upstream) reply(x *exchange, status int, load string) {
	body := fmt.Appendf(nil, "%016x %d %d\n", x.id, u.index, x.serial)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		b.WriteString("X-Not-Run: 1\r\n")
	}
	if load != "" {
		fmt.Fprintf(&b, "X-Load: %s\r\n", load)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if status != http.StatusServiceUnavailable { // that one is told of as turned away
		e := x.event(u, history.Replied)
		e.Status = int16(status)
		u.run.note(e)
	}
	x.conn.SetReadDeadline(time.Now().Add(u.run.day.Balancer.KeepAlive.D()))
	_, _ = x.conn.Write(b.Bytes()) // if it fails the reader of the connection sees its end
}

// accept takes connections of balancer b.
func (u *upstream) accept(l *link.Listener, b int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		alive := u.core != nil
		if alive {
			u.core.Knock()
			u.conns[c] = struct{}{}
			u.capped()
		}
		u.mu.Unlock()
		if !alive {
			c.Reset()
			continue
		}
		u.done.Go(func() { u.converse(c, b) })
	}
}

// capped lets connections come up, or not where as many are open as the model takes. u.mu is held.
func (u *upstream) capped() {
	if most := u.model().Connections; most > 0 {
		full := len(u.conns) >= most
		for _, l := range u.listeners {
			l.Full(full)
		}
	}
}

// converse reads the requests of one connection.
func (u *upstream) converse(c *link.Conn, b int) {
	defer func() {
		c.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c)
		u.capped()
	}()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(u.run.day.Balancer.KeepAlive.D()))
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := u.run.now()
		c.SetReadDeadline(time.Now().Add(time.Minute))
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x := u.receive(q, body, c, b, first)
		if x == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") // if it fails the next read fails too
			continue
		}
		if !u.await(in, x) {
			return
		}
	}
}

// await holds a connection on which an attempt is out until the next request comes behind its answer. false: it has
// ended, and with it the attempt if that is still out.
func (u *upstream) await(in *bufio.Reader, x *exchange) bool {
	_, err := in.Peek(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs[x.job] == x {
		delete(u.jobs, x.job)
		if u.core != nil {
			u.advance()
			u.core.Cancel(x.job)
		}
		u.run.note(x.event(u, history.Abandoned))
	}
	return err == nil
}

// receive takes a request that has come whole. nil: no client sent it.
func (u *upstream) receive(q *http.Request, body []byte, c *link.Conn, b int, first time.Duration) *exchange {
	stray := func(what string) *exchange {
		u.run.note(history.Event{Kind: history.Stray, Arrival: history.None, Balancer: int32(b), Upstream: int32(u.index), Text: what})
		return nil
	}
	id, err := strconv.ParseUint(q.Header.Get("X-Request-Id"), 16, 64)
	if err != nil {
		return stray(fmt.Sprintf("%s %s with X-Request-Id %q", q.Method, q.RequestURI, q.Header.Get("X-Request-Id")))
	}
	t := u.run.sent(id)
	switch {
	case t == nil:
		return stray(fmt.Sprintf("%s %s with the id %016x", q.Method, q.RequestURI, id))
	case q.Method != t.method || q.RequestURI != t.path || !bytes.Equal(body, t.body) || q.Header.Get("Idempotency-Key") != t.key:
		return stray(fmt.Sprintf("%s %s with the id %016x is not what its client sent", q.Method, q.RequestURI, id))
	}
	t.seen.Store(true)
	x := &exchange{id: id, try: t, from: b, serial: u.run.nextSerial(), first: first, conn: c}
	a := u.run.arrivals[t.arrival]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.core == nil { // it has died meanwhile
		u.run.note(u.arrived(x, history.Arrived))
		u.run.note(x.event(u, history.Abandoned))
		c.Reset()
		return x
	}
	u.advance()
	u.serial++
	x.job = u.serial
	taken, fell := u.core.Arrive(x.job, a.Work, a.Wait)
	if !taken {
		u.run.note(u.arrived(x, history.Turned))
		go u.reply(x, http.StatusServiceUnavailable, u.load())
		return x
	}
	u.jobs[x.job] = x
	u.run.note(u.arrived(x, history.Arrived))
	if fell {
		u.run.note(history.Event{Kind: history.Toppled, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None})
	}
	select {
	case u.kick <- struct{}{}:
	default:
	}
	return x
}

func (u *upstream) arrived(x *exchange, kind history.Kind) history.Event {
	e := x.event(u, kind)
	e.First, e.Work = x.first, float32(u.run.arrivals[x.try.arrival].Work.Seconds())
	return e
}

// change begins or ends a fault.
func (u *upstream) change(fault day.Fault, on bool) {
	u.mu.Lock()
	if on {
		u.faults = append(u.faults, fault)
	} else {
		for i, f := range u.faults {
			if f.At == fault.At && f.Kind == fault.Kind {
				u.faults = append(u.faults[:i:i], u.faults[i+1:]...)
				break
			}
		}
	}
	if u.core != nil {
		u.advance()
		u.core.Suffer(u.faults)
	}
	u.mu.Unlock()
	dies := fault.Kind == "down" || fault.Kind == "vanish"
	switch {
	case dies && on:
		u.die(fault.Kind == "vanish")
	case dies:
		u.revive(fault.Kind == "vanish")
	}
	u.run.registry.upstreamChange(u.index, fault, on, time.Now())
}

// die ends the process: connections are reset, or fall silent where the machine vanishes.
func (u *upstream) die(silent bool) {
	if silent {
		u.run.net.Vanish(u.party, true)
	}
	u.mu.Lock()
	u.core = nil
	for job, x := range u.jobs {
		delete(u.jobs, job)
		u.run.note(x.event(u, history.Abandoned))
	}
	var shut []*link.Listener
	if !silent {
		shut, u.listeners = u.listeners, nil
	}
	u.mu.Unlock()
	for _, l := range shut {
		l.Close()
	}
	if !silent {
		u.run.net.ResetAll(u.party)
	}
	u.run.note(history.Event{Kind: history.Died, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None})
}

// revive starts the process anew, cold.
func (u *upstream) revive(silent bool) {
	if err := u.begin(true); err != nil {
		return // the address was free a moment ago; discovery's list then leads nowhere
	}
	if silent {
		u.mu.Lock()
		old := slices.Clone(u.listeners)
		u.mu.Unlock()
		for _, l := range old {
			l.Forget()
		}
		u.run.net.Vanish(u.party, false)
	}
	u.run.note(history.Event{Kind: history.Began, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None})
	select {
	case u.kick <- struct{}{}:
	default:
	}
}

func (u *upstream) close() {
	close(u.ended)
	u.mu.Lock()
	u.core = nil
	shut := u.listeners
	u.mu.Unlock()
	for _, l := range shut {
		l.Close()
	}
	u.run.net.ResetAll(u.party)
	u.done.Wait()
}
