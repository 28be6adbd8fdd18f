package live

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/link"
)

const (
	// askEvery is how often a front asks for a balancer's health, and askPatience how long it waits.
	askEvery    = 100 * time.Millisecond
	askPatience = time.Second
	// crossing bounds the time in which a kept connection that ends without a byte was closed before its request had
	// been read.
	crossing = 50 * time.Millisecond
	// maxIdle is how many idle connections a front keeps to a balancer.
	maxIdle = 64
	// sampleEvery is how often the limits of processes are looked at.
	sampleEvery = 500 * time.Millisecond
)

// try is a request of a client's.
type try struct {
	seen                   atomic.Bool // by an upstream
	id                     uint64
	arrival, number, class int
	method, path, key      string
	body                   []byte
	sentTo                 int // balancer
	deadline               time.Duration
	leaves                 time.Duration // 0: it stays
	wroteAt                time.Duration
	tenant, cookie         string
}

// event is one of this try.
func (t *try) event(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Req: t.id, Arrival: int32(t.arrival), Try: int8(t.number), Class: int16(t.class),
		Balancer: int32(t.sentTo), Upstream: history.None}
}

// sent is the try with an id, if a client has sent it.
func (r *run) sent(id uint64) *try {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tries[id]
}

func (r *run) nextSerial() int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return r.serial
}

// clients lets all arrivals come, each at its time whatever became of those before, and waits until all are answered.
func (r *run) clients(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	zones := make([]*client.Zone, len(r.fleet.Zones))
	var budgets sync.Mutex
	for z := range zones {
		zones[z] = client.NewZone(r.day)
	}
	r.lateness = make([]time.Duration, len(r.arrivals))
	runtime.LockOSThread() // a thread of its own sleeps more exactly than a goroutine
	defer runtime.UnlockOSThread()
	for i, a := range r.arrivals {
		if ctx.Err() != nil {
			return
		}
		sleepUntil(r.origin.Add(a.At))
		all.Go(func() {
			r.lateness[i] = r.now() - a.At
			r.serve(ctx, i, zones[a.Zone], &budgets)
		})
	}
}

func sleepUntil(t time.Time) {
	for d := time.Until(t); d > 0; d = time.Until(t) {
		ts := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&ts, nil) // a signal may end it early: the loop then sleeps for the rest
	}
}

// serve is a client: its first try, and others as it behaves.
func (r *run) serve(ctx context.Context, i int, zone *client.Zone, budgets *sync.Mutex) {
	a := r.arrivals[i]
	class := r.day.Classes[a.Class]
	end := a.At + class.Deadline.D()
	coins := rand.New(rand.NewPCG(r.day.Seed, uint64(i)))
	budgets.Lock()
	zone.First()
	budgets.Unlock()
	for n := 0; ; n++ {
		t := r.newTry(i, n, end)
		result, advice := r.attempt(ctx, t)
		budgets.Lock()
		wait, again := zone.Again(a.Class, result, n+1, end-r.now(), advice, coins.Float64())
		budgets.Unlock()
		if !again {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) newTry(i, n int, end time.Duration) *try {
	a := r.arrivals[i]
	class := r.day.Classes[a.Class]
	t := &try{id: r.day.TryID(i, n), arrival: i, number: n, class: a.Class, method: http.MethodGet, deadline: end,
		sentTo: history.None, path: fmt.Sprintf("/%s/%d", class.Name, i)}
	if a.Leaves > 0 && n == 0 {
		t.leaves = a.At + a.Leaves
	}
	if class.Repeat != "safe" {
		t.method, t.body = http.MethodPost, fmt.Appendf(nil, "order %d of the day\n", i)
	}
	if class.Repeat == "keyed" {
		t.key = fmt.Sprintf("%016x%016x", r.day.Seed, i)
	}
	if a.HasKey {
		t.cookie = fmt.Sprintf("%016x", a.Key)
	}
	if a.Tenant >= 0 {
		t.tenant = r.day.Tenants[a.Tenant].Name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries[t.id] = t
	return t
}

// attempt sends a try through its zone's front and takes what comes back.
func (r *run) attempt(ctx context.Context, t *try) (client.Result, time.Duration) {
	f := r.fronts[r.arrivals[t.arrival].Zone]
	for fresh := false; ; fresh = true {
		b, ok := f.next()
		if !ok {
			return client.Unreached, 0
		}
		t.sentTo = b
		c, err := f.connect(ctx, b, fresh, t.deadline)
		if err != nil {
			r.note(t.event(history.Refused))
			return client.Unreached, 0
		}
		result, advice, crossed := r.exchange(t, c, f)
		if !crossed || fresh {
			return result, advice
		}
		// The balancer closed a connection between requests, and this one met it: it goes once more on a new one.
		r.mu.Lock()
		r.crossed++
		r.mu.Unlock()
	}
}

// exchange writes a try on a connection and reads its answer. crossed: the connection had been closed before.
func (r *run) exchange(t *try, c *clientConn, f *front) (result client.Result, advice time.Duration, crossed bool) {
	left := t.deadline - r.now()
	q, err := http.NewRequest(t.method, "http://api.internal"+t.path, bytes.NewReader(t.body))
	if err != nil {
		panic(err) // method and path are made above
	}
	h := q.Header
	h.Set("X-Request-Id", fmt.Sprintf("%016x", t.id))
	h.Set("X-Class", r.day.Classes[t.class].Name)
	h.Set("X-Deadline-Ms", strconv.FormatInt(max(0, left.Milliseconds()), 10))
	for name, value := range map[string]string{"X-Tenant": t.tenant, "Idempotency-Key": t.key} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if t.cookie != "" {
		h.Set("Cookie", "obj="+t.cookie)
	}
	var message bytes.Buffer
	if err := q.Write(&message); err != nil {
		panic(err) // a buffer takes all
	}
	kept := c.used
	asked := t.event(history.Asked)
	asked.Limit = t.deadline
	if _, err := c.Write(message.Bytes()); err != nil {
		c.Close()
		if kept {
			return client.Unreached, 0, true
		}
		r.note(t.event(history.Refused)) // the request never went out whole
		return client.Unreached, 0, false
	}
	t.wroteAt = r.now()
	asked.At = t.wroteAt
	r.note(asked)
	until := t.deadline + check.Grace
	if t.leaves > 0 {
		until = t.leaves
	}
	c.SetReadDeadline(r.origin.Add(until))
	return r.answer(t, c, f, kept)
}

// answer reads the answer to a try that has been written.
func (r *run) answer(t *try, c *clientConn, f *front, kept bool) (result client.Result, advice time.Duration, crossed bool) {
	e := t.event(history.Answered)
	_, err := c.in.Peek(1)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Close()
		if t.leaves > 0 {
			r.note(t.event(history.Left))
			return client.Left, 0, false
		}
		r.note(t.event(history.Silent))
		return client.Failed, 0, false
	case err != nil:
		c.Close()
		if kept && r.now()-t.wroteAt < crossing && !t.seen.Load() && !r.nodes[t.sentTo].wasKilled() {
			return client.Unreached, 0, true
		}
		r.note(t.event(history.Broken))
		return client.Failed, 0, false
	}
	resp, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		c.SetReadDeadline(r.origin.Add(t.deadline + check.Grace))
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.Close()
		r.note(t.event(history.Broken))
		return client.Failed, 0, false
	}
	e.Status = int16(resp.StatusCode)
	switch resp.StatusCode {
	case http.StatusOK:
		e.Result = client.Served
		e.Upstream, e.Serial, e.Text = madeBy(t.id, body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		e.Result = client.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			advice = time.Duration(s * float64(time.Second))
		}
	default:
		e.Result = client.Failed
	}
	r.note(e)
	c.last = e
	if resp.Close || !f.keep(t.sentTo, c) {
		c.Close()
	}
	return e.Result, advice, false
}

// madeBy is the upstream that made a body for a request, with its attempt; wrong says why it can't be one.
func madeBy(id uint64, body []byte) (upstream, serial int32, wrong string) {
	var got uint64
	if n, err := fmt.Sscanf(string(body), "%x %d %d\n", &got, &upstream, &serial); n != 3 || err != nil || got != id {
		return history.None, 0, fmt.Sprintf("body %.60q", body)
	}
	return upstream, serial, ""
}

// clientConn is a connection of a front's to a balancer.
type clientConn struct {
	*link.Conn
	in   *bufio.Reader
	used bool
	last history.Event // the answer before
}

// front spreads the clients of a zone over its balancers. It sends nobody to one that has not said that it is healthy,
// and learns late that one has died.
type front struct {
	run   *run
	zone  int
	party day.Party
	end   context.CancelFunc
	done  sync.WaitGroup

	mu       sync.Mutex
	admitted map[int]bool
	seen     map[int]bool // has ever been ready
	idle     map[int][]*clientConn
	turn     int
}

func (r *run) newFront(ctx context.Context, z int) *front {
	ctx, end := context.WithCancel(ctx)
	f := &front{run: r, zone: z, party: day.Party{Kind: day.ClientsParty, Index: z}, end: end, admitted: map[int]bool{},
		seen: map[int]bool{}, idle: map[int][]*clientConn{}}
	for _, b := range r.fleet.Zones[z].Balancers {
		f.done.Go(func() { f.watch(ctx, b) })
	}
	return f
}

func (f *front) close() {
	f.end()
	f.done.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range f.idle {
		for _, c := range conns {
			c.Close()
		}
	}
}

// all tells whether every balancer of the zone has been ready, and which has not.
func (f *front) all() (missing int, all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.run.fleet.Zones[f.zone].Balancers {
		if !f.seen[b] {
			return b, false
		}
	}
	return 0, true
}

// watch asks a balancer for its health until ctx ends.
func (f *front) watch(ctx context.Context, b int) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	var failing time.Time // since when nothing has answered
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		healthy, answered := f.ask(ctx, b)
		now := time.Now()
		f.mu.Lock()
		switch {
		case healthy:
			failing = time.Time{}
			if !f.admitted[b] {
				f.run.note(history.Event{Kind: history.Ready, Balancer: int32(b), Upstream: history.None, Arrival: history.None})
			}
			f.admitted[b], f.seen[b] = true, true
		case answered:
			f.admitted[b] = false
		case failing.IsZero():
			failing = now
		case now.Sub(failing) >= f.run.day.Balancer.Notice.D():
			f.admitted[b] = false
		}
		f.mu.Unlock()
	}
}

// ask asks for health once.
func (f *front) ask(ctx context.Context, b int) (healthy, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	c, err := f.run.net.Dial(ctx, f.party, day.Party{Kind: day.BalancerParty, Index: b}, f.run.clientsAt(b))
	if err != nil {
		return false, false
	}
	defer c.Close()
	limit, _ := ctx.Deadline()
	c.SetDeadline(limit)
	stop := context.AfterFunc(ctx, func() { c.Close() }) // also where the way is cut meanwhile
	defer stop()
	if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"); err != nil {
		return false, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, true
}

// next is the balancer whose turn it is.
func (f *front) next() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.run.fleet.Zones[f.zone].Balancers
	for range all {
		f.turn++
		if b := all[f.turn%len(all)]; f.admitted[b] {
			return b, true
		}
	}
	return 0, false
}

// connect returns an idle connection, or a new one if there is none or a fresh one is wanted.
func (f *front) connect(ctx context.Context, b int, fresh bool, deadline time.Duration) (*clientConn, error) {
	for !fresh {
		f.mu.Lock()
		conns := f.idle[b]
		if len(conns) == 0 {
			f.mu.Unlock()
			break
		}
		c := conns[len(conns)-1]
		f.idle[b] = conns[:len(conns)-1]
		f.mu.Unlock()
		if f.quiet(c) {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, f.run.origin.Add(deadline))
	defer cancel()
	c, err := f.run.net.Dial(ctx, f.party, day.Party{Kind: day.BalancerParty, Index: b}, f.run.clientsAt(b))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// quiet tells whether a kept connection has neither ended nor brought what nobody asked for: a second answer is noted
// under the request before.
func (f *front) quiet(c *clientConn) bool {
	waiting, ended := c.in.Buffered() > 0, false
	if !waiting {
		waiting, ended = c.Pending()
	}
	if waiting {
		again := c.last
		again.At = f.run.now()
		f.run.note(again)
	}
	if waiting || ended {
		c.Close()
		return false
	}
	return true
}

// keep takes back a connection for other requests.
func (f *front) keep(b int, c *clientConn) bool {
	c.used = true
	c.SetReadDeadline(time.Time{})
	if c.in.Buffered() > 0 {
		return f.quiet(c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle[b]) >= maxIdle {
		return false
	}
	f.idle[b] = append(f.idle[b], c)
	return true
}

// watchLimits looks at the memory and descriptors of every process until ctx ends.
func (r *run) watchLimits(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, n := range r.nodes {
			p, _, ended := n.state()
			if ended {
				continue
			}
			mb, descriptors, err := usage(p.Pid)
			if err != nil {
				continue // it has just ended
			}
			if most := r.day.Balancer.MemoryMB; mb > most {
				n.note(history.Over, mb, fmt.Sprintf("memory, of %d MB", most))
			}
			if most := r.day.Balancer.Sockets; descriptors > most {
				n.note(history.Over, descriptors, fmt.Sprintf("descriptors, of %d", most))
			}
		}
	}
}
