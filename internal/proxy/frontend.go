package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
)

const (
	// answerMargin is taken off the client's deadline, which counts from its sending: the way here and back, and
	// a turn of the loop.
	answerMargin = 4 * time.Millisecond
	// lameDuck is how long connections are still taken after SIGTERM: they go on coming for up to 0.4 s.
	lameDuck = 450 * time.Millisecond
	// firstBytes is how long the last connection taken then has for beginning its request.
	firstBytes = 50 * time.Millisecond
	// killed is when SIGKILL follows SIGTERM at the soonest, by the platform's word: after the longest deadline, which counts
	// as killCounts where it is longer, and this. What came later than this after SIGTERM must be answered by then, and is
	// killMargin sooner.
	killed     = 700 * time.Millisecond
	killCounts = 3 * time.Second
	killMargin = 100 * time.Millisecond
	// stopSweep is how often a balancer that ends looks for connections to close.
	stopSweep = 10 * time.Millisecond
	// slowClient bounds how long a peer may take over a request, silence before the first included: one that sends
	// none is owed a close within 3 s of connecting.
	slowClient = 2500 * time.Millisecond
	// slowAnswer bounds how long a client may take to read its answer.
	slowAnswer = 10 * time.Second
	// drainRest is how long after the operators' call idle connections stay open: the health check is asked every 0.1 s
	// and new connections come for 0.2 s more, so what is closed sooner would come back here.
	drainRest = 500 * time.Millisecond
	// drainSweep is how often a draining balancer looks for idle connections.
	drainSweep = 100 * time.Millisecond
	// restful is how long a connection without a request must have been so before it is closed to make room.
	restful = 2 * time.Second
)

// answer is what a client gets, once.
type answer struct {
	status     int
	body       []byte
	kind       string
	retryAfter time.Duration
	more       *stream // what follows body, if it is passed on as it comes
}

// frontend takes requests from clients, hands them to the loop and writes its answers.
type frontend struct {
	life     context.Context // ends what the frontend has started
	figures  *figures
	held     *budget // of bodies, the loop's
	classes  map[string]balancer.Class
	post     func(event)
	leaving  atomic.Bool
	toldAt   atomic.Int64 // when it was told to end, a time.Duration on the loop's clock
	draining atomic.Bool
	adopted  bool // the listener is held by the platform
	maxOpen  int
	longest  time.Duration
	now      func() time.Duration
	serving  http.Server
	listener *framedListener
	ended    chan struct{} // closed once no more connections are taken
	mu       sync.Mutex
	conns    map[*framedConn]clientConn
	undrain  context.CancelFunc // ends the closing of idle connections; nil: not draining
}

// clientConn is what the frontend knows of a client's connection.
type clientConn struct {
	state http.ConnState
	since time.Duration
}

func newFrontend(c *Config, l net.Listener, to *loop) *frontend {
	f := &frontend{life: to.ctx, figures: to.figures, held: to.dial.held, classes: map[string]balancer.Class{},
		post: to.post, listener: &framedListener{Listener: l, now: to.now}, longest: c.longest(), maxOpen: c.clientConns(),
		adopted: c.Adopts(), now: to.now, conns: map[*framedConn]clientConn{}, ended: make(chan struct{})}
	for _, class := range c.Settings.Classes {
		f.classes[class.Name] = class
	}
	f.serving = http.Server{Handler: f, ReadHeaderTimeout: slowClient, WriteTimeout: slowClient + f.longest + slowAnswer,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10, ConnContext: keepConn, ConnState: f.count}
	return f
}

// count keeps track of client connections. One too many makes room by closing the one that has been without a request
// for longest, or is closed itself: descriptors must not run out.
func (f *frontend) count(conn net.Conn, s http.ConnState) {
	c := conn.(*framedConn) // all come from a framedListener
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	f.conns[c] = clientConn{s, f.now()}
	if s == http.StateIdle {
		c.answered()
	}
	if s != http.StateNew || len(f.conns) <= f.maxOpen {
		return
	}
	victim, since := c, f.now()-restful
	for other, is := range f.conns {
		if is.since <= since && other.rests() {
			victim, since = other, is.since
		}
	}
	if !victim.closeResting() { // a request has just begun
		victim = c
		c.Close()
	}
	delete(f.conns, victim) // it is reported as closed only once its goroutine has seen it
}

// crowded tells whether connections are so many that each should close after its answer.
func (f *frontend) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) > f.maxOpen*7/8
}

// drain sends clients away, or takes them again: the health check says no, answers close their connections, and what
// idles is closed once no more come. The listener stays, for clients that come all the same.
func (f *frontend) drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == (f.undrain != nil) {
		return
	}
	f.draining.Store(on)
	if !on {
		f.undrain()
		f.undrain = nil
		return
	}
	ctx, cancel := context.WithCancel(f.life)
	f.undrain = cancel
	go f.empty(ctx)
}

// empty closes idle connections from drainRest on until ctx ends.
func (f *frontend) empty(ctx context.Context) {
	rest, sweep := time.After(drainRest), time.NewTicker(drainSweep)
	defer sweep.Stop()
	select {
	case <-rest:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		f.closeIdle(drainRest)
		select {
		case <-sweep.C:
		case <-ctx.Done():
		}
	}
}

// closeIdle closes the connections between requests, and those that have sent nothing for so long.
func (f *frontend) closeIdle(silent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for c, is := range f.conns {
		if is.state == http.StateIdle || now-is.since >= silent {
			c.closeResting()
		}
	}
}

// open is how many client connections there are.
func (f *frontend) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// serve takes connections until stop has been called.
func (f *frontend) serve() error {
	defer close(f.ended)
	if err := f.serving.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) && !f.leaving.Load() {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

// stop ends service without losing a request: connections that are still on their way are taken, then the
// listener and idle connections are closed, and what has been taken is answered. A listener that was handed down is
// left at once.
func (f *frontend) stop() {
	f.toldAt.Store(int64(f.now()))
	f.leaving.Store(true)
	if f.adopted {
		f.listener.Close() // what waits in its queue, and what still comes, is for the process that follows
		f.post(leave{})
	}
	time.Sleep(lameDuck)
	if !f.adopted {
		f.listener.end()
	}
	<-f.ended // the last connection counts among the open ones
	// http.Server.Shutdown closes a kept connection also while its next request comes in pieces.
	limit, sweep := time.After(f.longest+slowAnswer), time.NewTicker(stopSweep)
	defer sweep.Stop()
	for f.open() > 0 {
		f.closeIdle(firstBytes)
		select {
		case <-sweep.C:
		case <-limit:
			slog.Warn("closing client connections", "open", f.open())
			f.serving.Close()
			return
		}
	}
}

// beforeKill is how long a request that came at may still take where the process has been told to end; most: it has not,
// or the request came soon enough after that to be left to SIGKILL.
func (f *frontend) beforeKill(at, most time.Duration) time.Duration {
	told := time.Duration(f.toldAt.Load())
	if !f.leaving.Load() || at < told+killed-killMargin {
		return most
	}
	return max(0, told+min(f.longest, killCounts)+killed-killMargin-at)
}

// ServeHTTP answers a request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// What is closed after its answer can't be in use when the listener goes; and where connections are many, new
	// clients need their descriptors.
	if f.leaving.Load() || f.draining.Load() || f.crowded() {
		w.Header().Set("Connection", "close")
	}
	if err := framed(r); err != nil { // nothing behind it on its connection is read
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/healthz" && r.Method == http.MethodGet && r.Header.Get("X-Request-Id") == "" {
		f.health(w)
		return
	}
	q, body, status, err := f.request(w, r)
	if err != nil {
		if r.ContentLength != 0 { // what is left of its body is not read
			w.Header().Set("Connection", "close")
		}
		http.Error(w, err.Error(), status)
		return
	}
	defer f.held.give(cap(q.message.body))
	f.serveRequest(w, r, q, body)
}

// serveRequest hands a request to the loop and passes on what it answers.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request, q *request, body *upload) {
	conn := connOf(r)
	if conn.closedByClient() {
		f.abort(w, q, body)
		return
	}
	if !q.Upload {
		f.figures.inProgress.Add(1)
	}
	defer func() {
		if !q.Upload || body.taken.Load() {
			f.figures.inProgress.Add(-1)
		}
	}()
	departed := conn.follow()
	defer conn.unfollow()
	left := r.Context().Done() // also where its body did not come
	f.post(arrived{q})
	for {
		select {
		case a := <-q.reply:
			f.reply(w, r, q, body, a)
			return
		case <-left:
			if conn.leaves() {
				f.gone(w, q, body)
				return
			}
			left = nil // what comes behind the request is improper; it is answered all the same
		case <-departed:
			f.gone(w, q, body)
			return
		case <-body.broken:
			f.gone(w, q, body)
			return
		}
	}
}

// reply passes on the loop's answer.
func (f *frontend) reply(w http.ResponseWriter, r *http.Request, q *request, body *upload, a answer) {
	defer f.held.give(cap(a.body))
	if q.Upload && !body.taken.Load() { // what is left of its body is not read
		w.Header().Set("Connection", "close")
	}
	whole, left := f.write(w, r, a)
	if !left {
		f.figures.answered(q.Class, a.status, whole)
	}
	if !whole {
		panic(http.ErrAbortHandler) // the connection breaks, so the client can tell
	}
}

// gone ends a request whose client owes a part of it, or waits for its answer no more.
func (f *frontend) gone(w http.ResponseWriter, q *request, body *upload) {
	f.post(left{q})
	f.abort(w, q, body)
}

// abort ends a request that gets no answer of the loop's.
func (f *frontend) abort(w http.ResponseWriter, q *request, body *upload) {
	if !q.Upload || body.taken.Load() {
		panic(http.ErrAbortHandler) // or net/http would say 200, and a client may only have ended its sending
	}
	body.control.SetWriteDeadline(time.Now().Add(slowAnswer))
	w.Header().Set("Connection", "close")
	http.Error(w, "the body did not come whole", http.StatusRequestTimeout)
}

// framed tells what leaves in doubt where a request ends, beside what framedConn has seen.
func framed(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return errors.New("HTTP/1.1 is wanted")
	case r.Method == http.MethodGet && r.ContentLength > 0:
		return errors.New("a GET has no body")
	}
	return nil
}

// health answers 200 if the loop turns and new clients are welcome.
func (f *frontend) health(w http.ResponseWriter) {
	if f.leaving.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if f.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	turned := make(turn)
	f.post(turned)
	<-turned
	io.WriteString(w, "ok\n")
}

// turn is closed when the loop comes to it.
type turn chan struct{}

func (t turn) apply(*loop) { close(t) }

// write gives a client its answer. One that is passed on as it comes may break off, or its client may leave.
func (f *frontend) write(w http.ResponseWriter, r *http.Request, a answer) (whole, left bool) {
	h := w.Header()
	if f.leaving.Load() { // since the request came, too
		h.Set("Connection", "close")
	}
	if a.kind != "" {
		h.Set("Content-Type", a.kind)
	} else {
		h["Content-Type"] = nil // or net/http would guess one
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	control := http.NewResponseController(w)
	control.SetWriteDeadline(time.Now().Add(slowAnswer))
	if a.more == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(a.status)
		w.Write(a.body) // if it fails the client has gone, and can tell that the answer is not whole
		return true, false
	}
	unhook := context.AfterFunc(r.Context(), func() {
		if connOf(r).leaves() {
			a.more.conn.SetReadDeadline(past)
		}
	})
	defer func() {
		unhook()
		f.post(passed{a.more.peer, a.more.end(whole)})
	}()
	if n := a.more.resp.ContentLength; n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(a.status)
	part := a.body
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	for {
		control.SetWriteDeadline(time.Now().Add(slowAnswer))
		if _, err := w.Write(part); err != nil {
			return false, true
		}
		if err := control.Flush(); err != nil {
			return false, true
		}
		n, err := a.more.next(buf[:])
		part = buf[:n]
		if err == io.EOF {
			_, err = w.Write(part)
			return err == nil, err != nil
		}
		if err != nil {
			return false, r.Context().Err() != nil
		}
	}
}

// connKey is the context's key of a request's connection.
type connKey struct{}

func keepConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf is a request's connection; all come from a framedListener.
func connOf(r *http.Request) *framedConn { return r.Context().Value(connKey{}).(*framedConn) }

const (
	// slowestBody is the pace, in bytes a second, at which a client may send a body: half of what is promised.
	slowestBody = 32 << 10
	// overdue is when a peer that sends nothing more must be let go, from the beginning of its request.
	overdue = 2900 * time.Millisecond
	// leastCredit is how long the first bytes of a body may take to come where the head was slow.
	leastCredit = 400 * time.Millisecond
)

// upload reads a client's body. Only the time in which the client gives nothing counts against it, and what it gives
// earns it more.
type upload struct {
	body    io.Reader
	control *http.ResponseController
	credit  time.Duration // how long the client may still give nothing
	taken   atomic.Bool   // the last byte has come
	onTaken func()
	broken  chan struct{} // closed when reading has failed, if not all was held
	once    sync.Once
}

func (u *upload) Read(p []byte) (int, error) {
	began := time.Now()
	if err := u.control.SetReadDeadline(began.Add(u.credit)); err != nil {
		return 0, err
	}
	n, err := u.body.Read(p)
	u.credit -= time.Since(began)
	u.credit = min(slowClient, u.credit+time.Duration(n)*time.Second/slowestBody)
	switch {
	case err == io.EOF:
		u.control.SetReadDeadline(time.Time{})
		u.taken.Store(true)
		u.onTaken()
	case err != nil:
		u.once.Do(func() { close(u.broken) })
	}
	return n, err
}

// request reads a client's request. One that is malformed never reaches the module.
func (f *frontend) request(w http.ResponseWriter, r *http.Request) (*request, *upload, int, error) {
	conn := connOf(r)
	at := conn.arrivedAt()
	bad := func(format string, args ...any) (*request, *upload, int, error) {
		return nil, nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	h := r.Header
	class, ok := f.classes[h.Get("X-Class")]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !ok:
		return bad("X-Class names no known class")
	case first != class.Name:
		return bad("the path does not begin with the class")
	case len(h["X-Request-Id"]) != 1 || h.Get("X-Request-Id") == "":
		return bad("one X-Request-Id is wanted")
	case (class.Idempotency == balancer.Idempotent) != (r.Method == http.MethodGet),
		class.Idempotency != balancer.Idempotent && r.Method != http.MethodPost:
		return bad("the method does not fit the class")
	case (class.Idempotency == balancer.IdempotentByKey) != (h.Get("Idempotency-Key") != ""):
		return bad("Idempotency-Key does not fit the class")
	}
	u := &upload{body: r.Body, control: http.NewResponseController(w), credit: slowClient,
		broken: make(chan struct{}), onTaken: func() {}}
	var body []byte
	more := false
	if r.ContentLength != 0 {
		u.credit = min(slowClient, max(leastCredit, overdue-(at-conn.headAt)))
		var err error
		var whole bool
		body, whole, err = f.held.hold(u, r.ContentLength, func() bool { return false })
		if err != nil {
			f.held.give(cap(body))
			return bad("body: %w", err)
		}
		more = !whole
		at = conn.arrivedAt() // it counts from its last byte
	}
	if class.Idempotency == balancer.Idempotent && len(body) > 0 {
		f.held.give(cap(body))
		return bad("a GET has no body")
	}
	for _, named := range h["Connection"] { // fields that the client meant for this connection only
		for name := range strings.SplitSeq(named, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	q := &request{at: at, reply: make(chan answer, 1),
		message: message{line: r.Method + " " + originForm(r.RequestURI), header: h, host: r.Host, body: body}}
	if class.Idempotency == balancer.IdempotentByKey {
		q.window.span = class.IdempotencyWindow
	}
	if more {
		if err := u.control.EnableFullDuplex(); err != nil {
			f.held.give(cap(body))
			return bad("body: %w", err)
		}
		q.Upload, q.message.rest, q.message.length, q.within = true, u, r.ContentLength, f.beforeKill
		u.onTaken = func() { f.figures.inProgress.Add(1) }
	}
	q.Class, q.Tenant, q.Retry = class.Name, h.Get("X-Tenant"), h.Get("X-Retry") == "1"
	q.Timeout = class.Deadline
	// 0 is a time too: it is over, and an answer is owed at once.
	if ms, err := strconv.ParseInt(h.Get("X-Deadline-Ms"), 10, 32); err == nil && ms >= 0 {
		q.Timeout = min(q.Timeout, time.Duration(ms)*time.Millisecond)
	}
	q.Timeout = max(0, min(q.Timeout-answerMargin, f.beforeKill(at, q.Timeout)))
	if cost, err := strconv.ParseInt(h.Get("X-Cost-Hint"), 10, 32); err == nil && cost > 0 {
		q.CostHint = time.Duration(cost) * time.Microsecond
	}
	if c, err := r.Cookie("obj"); err == nil {
		q.HasKey = true
		if q.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
			q.Key = uint64(hashed(c.Value))
		}
	}
	return q, u, 0, nil
}

// originForm is a request's target without scheme and host, as upstreams get it.
func originForm(target string) string {
	if _, rest, ok := strings.Cut(target, "://"); ok && !strings.HasPrefix(target, "/") {
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			return rest[i:]
		}
	}
	return target
}
