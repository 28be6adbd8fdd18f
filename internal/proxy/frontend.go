package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// maxHeaderBytes bounds the head of a request.
const maxHeaderBytes = 16 << 10

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
	now        func() time.Duration // the loop's clock
	server     http.Server
	acceptor   acceptor
	lifecycle  lifecycle
	conns      clientConns
	drainSweep drainSweep
}

// acceptor is where client connections come from.
type acceptor struct {
	listener  *framing.Listener
	inherited bool          // the listener was handed down by the platform
	ended     chan struct{} // closed once no more connections are accepted
}

func newFrontend(c *Config, l net.Listener, to *loop) *frontend {
	f := &frontend{
		ctx:        to.ctx,
		metrics:    to.metrics,
		bodyBudget: to.dialer.bodyBudget,
		classes:    make(map[string]balancer.Class, len(c.Settings.Classes)),
		post:       to.post,
		now:        to.now,
		lifecycle:  lifecycle{longestDeadline: c.longestDeadline()},
		acceptor: acceptor{
			listener:  framing.NewListener(l, to.now, timelimit.ClientRead),
			inherited: c.inheritsListener(),
			ended:     make(chan struct{}),
		},
	}
	f.conns = clientConns{
		metrics:   to.metrics.conns,
		lifecycle: &f.lifecycle,
		now:       to.now,
		max:       c.maxClientConns(),
		open:      map[*framing.Conn]connStatus{},
	}
	for _, class := range c.Settings.Classes {
		f.classes[class.Name] = class
	}
	f.server = http.Server{
		Handler:           f,
		ReadHeaderTimeout: timelimit.ClientRead,
		WriteTimeout:      timelimit.ClientRead + f.lifecycle.longestDeadline + timelimit.ClientWrite,
		IdleTimeout:       timelimit.ClientIdle,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         f.conns.track,
	}
	return f
}

// serve accepts connections until shutDown is called.
func (f *frontend) serve() error {
	defer close(f.acceptor.ended)
	err := f.server.Serve(f.acceptor.listener)
	if !errors.Is(err, http.ErrServerClosed) && !f.lifecycle.shutdown.isActive() {
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

// closesConns reports whether each connection is to be closed once its present request is answered, and why. The result is
// valid only now: call it when the response is written, not only when its request arrives.
func (f *frontend) closesConns() (cause closeCause, closes bool) {
	if cause, closes := f.lifecycle.closeCause(); closes {
		return cause, true
	}
	return closedByLimit, f.conns.nearLimit()
}

// closeAfterResponse makes net/http close the connection once the present request is answered.
func (f *frontend) closeAfterResponse(w http.ResponseWriter, cause closeCause) {
	if w.Header().Get("Connection") == "" { // not set before
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

// serveHealthCheck answers 200 if the event loop is running and new clients are accepted.
func (f *frontend) serveHealthCheck(w http.ResponseWriter) {
	if !f.lifecycle.isEnding() {
		reached := make(barrier)
		f.post(reached)
		<-reached
	}
	if cause, closes := f.closesConns(); closes { // it may have changed during the wait for the loop
		f.closeAfterResponse(w, cause)
	}
	if f.lifecycle.shutdown.isActive() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if f.lifecycle.drain.isActive() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // a client that has gone needs no response
}

// barrier is an event that is closed when the loop reaches it.
type barrier chan struct{}

func (b barrier) apply(*loop) { close(b) }
