package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/bodybudget"
	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

const (
	// maxHeaderBytes bounds the request line and the header of a request.
	maxHeaderBytes = 16 << 10
	// maxHeaderFields bounds the fields of a request.
	maxHeaderFields = 256
	// unchargedHead is the cost of a head, in bytes, that is not charged to the budget: a usual one costs less.
	unchargedHead = 4 << 10
)

// response is the one response to a client's request. Its body is reserved in the body budget until it has been written.
type response struct {
	status      int
	body        []byte          // the complete body, or the buffered part of it that precedes stream
	contentType string          // the Content-Type; none is sent if it is empty
	unforwarded bool            // no attempt to forward the request has been written
	retryAfter  time.Duration   // the Retry-After; none is sent if it is zero
	stream      *responseStream // the rest of a streamed body; nil if body is complete
}

// frontend accepts client connections, parses requests, posts them to the event loop and writes the loop's responses.
//
// It owns the client connections. The loop owns a request once it has been posted; the frontend then only waits for the
// reply or for the client to disconnect.
type frontend struct {
	ctx        context.Context // its end stops the goroutines that the frontend starts
	metrics    *proxyMetrics
	bodyBudget *bodybudget.Budget        // bounds the buffered bodies; shared with the loop
	classes    map[string]balancer.Class // by name
	post       func(event)               // posts an event to the loop; may block
	now        func() time.Duration      // the loop's clock
	server     http.Server
	acceptor   acceptor
	lifecycle  lifecycle
	conns      clientConns
	drainSweep drainSweep
	executions *executionRegistry // set by New
	streamLog  logLimit           // of responses that were broken off
}

// acceptor is the listener for client connections and its state.
type acceptor struct {
	listener  *framing.Listener
	inherited bool          // the listening socket is inherited from the platform
	ended     chan struct{} // closed when no more connections are accepted
}

func newFrontend(c *Config, listener net.Listener, eventLoop *loop) *frontend {
	f := &frontend{
		ctx:        eventLoop.ctx,
		metrics:    eventLoop.metrics,
		bodyBudget: eventLoop.dialer.bodyBudget,
		classes:    make(map[string]balancer.Class, len(c.Settings.Classes)),
		post:       eventLoop.post,
		now:        eventLoop.now,
		lifecycle:  lifecycle{longestDeadline: c.longestDeadline()},
		acceptor: acceptor{
			listener:  framing.NewListener(listener, eventLoop.now, timelimit.ClientReadTimeout),
			inherited: c.inheritsListener(),
			ended:     make(chan struct{}),
		},
		streamLog: logLimit{interval: streamLogInterval},
	}
	f.acceptor.listener.LimitHeads(framing.HeadLimits{
		MaxFields: maxHeaderFields,
		Uncharged: unchargedHead,
		Budget:    f.bodyBudget,
	})
	f.acceptor.listener.LimitWrites(timelimit.WriteStall)
	f.conns = clientConns{
		metrics:   eventLoop.metrics.conns,
		lifecycle: &f.lifecycle,
		now:       eventLoop.now,
		max:       c.maxClientConns(),
		open:      map[*framing.Conn]connStatus{},
	}
	for _, class := range c.Settings.Classes {
		f.classes[class.Name] = class
	}
	f.server = http.Server{
		Handler:           f,
		ReadHeaderTimeout: timelimit.ClientReadTimeout,
		IdleTimeout:       timelimit.ClientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       contextWithSession,
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

// ServeHTTP handles one request.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if attempted := f.serveRequest(w, r); !attempted {
		f.pace(w, r)
	}
}

// serveRequest answers a request, and reports whether there was an attempt to forward it.
func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request) (attempted bool) {
	// During a drain or a shutdown, the connection is closed after its response so that it is no longer in use when the
	// listener closes. Near the connection limit, it is closed to free its file descriptor for a new client.
	if cause, closes := f.closeCause(); closes {
		f.closeAfterResponse(w, cause)
	}
	if f.refuseHead(w, r) {
		return false
	}
	if err := checkFraming(r); err != nil {
		f.closeAfterResponse(w, closedByRequest) // the bytes after this request can't be trusted to be a request
		writeError(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if isHealthCheck(r) {
		f.serveHealthCheck(w)
		return false
	}
	request, body, err := f.parseRequest(w, r)
	if err != nil {
		if r.ContentLength != 0 { // the rest of the body is not read
			f.closeAfterResponse(w, closedByRequest)
		}
		writeError(w, err.Error(), http.StatusBadRequest)
		return false
	}
	// The capacity is evaluated here because the loop drops the request's body when the request is closed.
	defer f.bodyBudget.Release(cap(request.message.body))
	x := exchange{frontend: f, writer: w, httpRequest: r, request: request, body: body}
	x.serve()
	return x.attempted
}

// writeError answers a request with an error and a text. The answer has a length, so that it can be sent before the handler ends.
func writeError(w http.ResponseWriter, text string, status int) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+len("\n")))
	http.Error(w, text, status)
}

// refuseHead answers a request whose head exceeds a limit, and reports whether it does.
func (f *frontend) refuseHead(w http.ResponseWriter, r *http.Request) (refused bool) {
	var status int
	switch connOfRequest(r).HeadRefusal() {
	case framing.HeadAccepted:
		return false
	case framing.HeadTooManyFields:
		status = http.StatusRequestHeaderFieldsTooLarge
	case framing.HeadOverBudget: // the request has not been forwarded, so a retry is harmless
		status = http.StatusServiceUnavailable
	}
	f.metrics.refusedHeads.Inc()
	if class, known := f.classes[r.Header.Get("X-Class")]; known {
		f.metrics.countAnswer(class.Name, status, true)
	}
	f.closeAfterResponse(w, closedByRequest)
	writeError(w, "the head of the request needs too much memory", status)
	return true
}

// closeCause reports whether each connection has to be closed once its current request is answered, and for which reason.
// The result can change while a request is in progress: call it when the response is written, not only when the request
// arrives.
func (f *frontend) closeCause() (cause closeCause, closes bool) {
	if cause, closes := f.lifecycle.closeCause(); closes {
		return cause, true
	}
	return closedByLimit, f.conns.nearLimit()
}

// closeAfterResponse makes net/http close the connection once the current request is answered.
func (f *frontend) closeAfterResponse(w http.ResponseWriter, cause closeCause) {
	if w.Header().Get("Connection") == "" { // not counted yet
		f.metrics.conns.countClose(cause)
	}
	w.Header().Set("Connection", "close")
}

// checkFraming rejects the requests whose end is ambiguous and that framing.Conn does not reject.
func checkFraming(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		return errors.New("HTTP/1.1 is wanted")
	}
	if r.Method == http.MethodGet && r.ContentLength > 0 {
		return errGetWithBody
	}
	return nil
}

// isHealthCheck reports whether a request is a health check of the balancer itself, not a request to be forwarded.
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
	if cause, closes := f.closeCause(); closes { // may have changed while waiting for the loop
		f.closeAfterResponse(w, cause)
	}
	if f.lifecycle.shutdown.isActive() {
		writeError(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if f.lifecycle.drain.isActive() {
		writeError(w, "draining", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", "3")
	_, _ = io.WriteString(w, "ok\n") // fails only if the client has disconnected
}

// barrier is an event without effect. The loop closes the channel when it reaches the event.
type barrier chan struct{}

func (b barrier) apply(*loop) { close(b) }
