package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/framing"
)

const (
	// clientReadTimeout bounds how long a client may take to send a request, including the silence before the first one:
	// a client that sends nothing has to be disconnected within 3 s of connecting.
	clientReadTimeout = 2500 * time.Millisecond
	// clientWriteTimeout bounds how long a client may take to read its response, or each part of a streamed one.
	clientWriteTimeout = 10 * time.Second
	// clientIdleTimeout is how long a client connection may stay idle between two requests.
	clientIdleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
)

// response is the one response that a client gets to its request. Its body counts against the body budget until it is
// written.
type response struct {
	status      int
	body        []byte // the complete body, or the part of it before stream
	contentType string // the Content-Type; empty: none is sent
	retryAfter  time.Duration
	stream      *responseStream // the rest of a streamed body; nil: body is complete
}

// frontend accepts client connections, parses requests, posts them to the event loop and writes the loop's responses.
//
// It owns the client connections. A request belongs to the loop once it has been posted; the frontend then only waits for
// the reply, or for the client to disconnect.
type frontend struct {
	ctx        context.Context // ends the goroutines that the frontend starts
	metrics    *proxyMetrics
	bodyBudget *byteBudget // of buffered bodies, shared with the loop
	classes    map[string]balancer.Class
	post       func(event)          // posts to the loop; may wait
	inherited  bool                 // the listener was handed down by the platform
	maxConns   int                  // bound on client connections
	now        func() time.Duration // the loop's clock
	server     http.Server
	listener   *framing.Listener
	// longestDeadline is the longest deadline of all classes.
	longestDeadline time.Duration

	shuttingDown atomic.Bool   // a graceful shutdown has begun
	shutdownAt   atomic.Int64  // when it began, a time.Duration on the loop's clock
	acceptEnded  chan struct{} // closed once no more connections are accepted
	draining     atomic.Bool   // operators have asked for a drain
	drainAt      atomic.Int64  // when the last drain began, a time.Duration on the loop's clock

	mu          sync.Mutex // guards the fields below
	conns       map[*framing.Conn]connStatus
	cancelDrain context.CancelFunc // ends closeIdleWhileDraining; nil: not draining
}

func newFrontend(c *Config, l net.Listener, to *loop) *frontend {
	f := &frontend{
		ctx:             to.ctx,
		metrics:         to.metrics,
		bodyBudget:      to.dialer.bodyBudget,
		classes:         make(map[string]balancer.Class, len(c.Settings.Classes)),
		post:            to.post,
		inherited:       c.inheritsListener(),
		maxConns:        c.maxClientConns(),
		now:             to.now,
		listener:        framing.NewListener(l, to.now, clientReadTimeout),
		longestDeadline: c.longestDeadline(),
		acceptEnded:     make(chan struct{}),
		conns:           map[*framing.Conn]connStatus{},
	}
	for _, class := range c.Settings.Classes {
		f.classes[class.Name] = class
	}
	f.server = http.Server{
		Handler:           f,
		ReadHeaderTimeout: clientReadTimeout,
		WriteTimeout:      clientReadTimeout + f.longestDeadline + clientWriteTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         f.trackConn,
	}
	return f
}

// serve accepts connections until shutDown is called.
func (f *frontend) serve() error {
	defer close(f.acceptEnded)
	err := f.server.Serve(f.listener)
	if !errors.Is(err, http.ErrServerClosed) && !f.shuttingDown.Load() {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}

// ServeHTTP answers one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A connection that closes after its response can't be in use when the listener closes; and near the connection limit,
	// new clients need its descriptor.
	if cause, closes := f.closesConns(); closes {
		f.closeAfterResponse(w, cause)
	}
	if err := checkFraming(r); err != nil {
		f.closeAfterResponse(w, closedByRequest) // nothing behind this request on its connection can be trusted
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if isHealthCheck(r) {
		f.serveHealthCheck(w)
		return
	}
	request, body, err := f.parseRequest(w, r)
	if err != nil {
		if r.ContentLength != 0 { // the rest of its body is not read
			f.closeAfterResponse(w, closedByRequest)
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The size is taken now: the loop drops the request's body once the request is closed.
	defer f.bodyBudget.release(cap(request.message.body))
	x := exchange{frontend: f, writer: w, httpRequest: r, request: request, body: body}
	x.serve()
}

// awayCause reports whether clients are sent away, by a shutdown or a drain that has begun, and by which.
func (f *frontend) awayCause() (cause closeCause, away bool) {
	switch {
	case f.shuttingDown.Load():
		return closedByShutdown, true
	case f.draining.Load():
		return closedByDrain, true
	}
	return "", false
}

// sendsClientsAway reports whether a drain or a shutdown has begun.
func (f *frontend) sendsClientsAway() bool {
	_, away := f.awayCause()
	return away
}

// closesConns reports whether each connection is to be closed once its present request is answered, and why. The answer holds for
// the moment: it has to be asked for when the response is written, not only when its request comes.
func (f *frontend) closesConns() (cause closeCause, closes bool) {
	if cause, away := f.awayCause(); away {
		return cause, true
	}
	return closedByLimit, f.nearConnLimit()
}

// closeAfterResponse makes net/http close the connection once the present request is answered.
func (f *frontend) closeAfterResponse(w http.ResponseWriter, cause closeCause) {
	if w.Header().Get("Connection") == "" { // not asked for before
		f.metrics.conns.countClose(cause)
	}
	w.Header().Set("Connection", "close")
}

// checkFraming rejects what leaves the end of a request in doubt and framing.Conn does not check.
func checkFraming(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		return errors.New("HTTP/1.1 is wanted")
	}
	if r.Method == http.MethodGet && r.ContentLength > 0 {
		return errGetWithBody
	}
	return nil
}

// isHealthCheck reports whether a request is a health check of the balancer itself, not a request of a client.
func isHealthCheck(r *http.Request) bool {
	return r.URL.Path == "/healthz" && r.Method == http.MethodGet && r.Header.Get("X-Request-Id") == ""
}

// serveHealthCheck answers 200 if the event loop is running and new clients are welcome.
func (f *frontend) serveHealthCheck(w http.ResponseWriter) {
	if !f.sendsClientsAway() {
		reached := make(barrier)
		f.post(reached)
		<-reached
	}
	if cause, closes := f.closesConns(); closes { // asked again after the wait for the loop
		f.closeAfterResponse(w, cause)
	}
	if f.shuttingDown.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if f.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // a client that has gone needs no response
}

// barrier is an event that is closed when the loop reaches it.
type barrier chan struct{}

func (b barrier) apply(*loop) { close(b) }
