package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"sprucehill/internal/framing"
)

// requestEnd is how a request ended for its client.
type requestEnd string

const (
	endAnswered     requestEnd = "answered"
	endBrokenOff    requestEnd = "response broken off"
	endDisconnected requestEnd = "client disconnected"
	endBodyFailed   requestEnd = "body not complete"
)

// exchange is one client request from the moment it has been parsed until its response is written.
type exchange struct {
	frontend    *frontend
	writer      http.ResponseWriter
	httpRequest *http.Request
	request     *request
	body        *requestBody
	end         requestEnd
	status      int // of the response; 0: there is none
}

// serve posts the request to the loop and writes the loop's response, unless the client disconnects first.
func (x *exchange) serve() {
	conn := connOf(x.httpRequest)
	defer x.logEnd(time.Now())
	if conn.ClosedByClient() {
		x.abort(endDisconnected)
		return
	}
	inProgress := x.frontend.metrics.inProgress
	if !x.request.Upload {
		inProgress.Add(1)
	}
	defer func() {
		if x.received() {
			inProgress.Add(-1)
		}
	}()
	disconnected := conn.WatchDisconnect()
	defer conn.StopWatchingDisconnect()
	x.frontend.post(requestArrived{x.request})
	x.awaitResponse(conn, disconnected)
}

// awaitResponse waits for the loop's response and writes it, or abandons the request if its client disconnects or its body
// breaks off. disconnected tells of a disconnect that net/http can't see.
func (x *exchange) awaitResponse(conn *framing.Conn, disconnected <-chan struct{}) {
	contextDone := x.httpRequest.Context().Done() // also where the body breaks off
	for {
		select {
		case a := <-x.request.reply:
			x.reply(a)
			return
		case <-contextDone:
			if !conn.HasFramingError() {
				x.abandon(endDisconnected)
				return
			}
			contextDone = nil // only what follows the request is malformed; the request is answered all the same
		case <-disconnected:
			x.abandon(endDisconnected)
			return
		case <-x.body.failed:
			x.abandon(endBodyFailed)
			return
		}
	}
}

// received reports whether the request has come with its complete body.
func (x *exchange) received() bool {
	return !x.request.Upload || x.body.complete.Load()
}

// reply writes the loop's response and counts it.
func (x *exchange) reply(a response) {
	defer x.frontend.bodyBudget.release(cap(a.body))
	if !x.received() { // the rest of its body is not read
		x.frontend.closeAfterResponse(x.writer, closedByRequest)
	}
	result := x.write(a)
	x.status = a.status
	x.end = endOf[result]
	if result == clientGone {
		x.frontend.metrics.countAbandoned(x.request.Class)
	} else {
		x.frontend.metrics.countAnswer(x.request.Class, a.status, result == delivered)
	}
	if result != delivered {
		panic(http.ErrAbortHandler) // breaks the connection, so that the client can tell
	}
}

// endOf is how a request has ended, by what came of writing its response.
var endOf = map[delivery]requestEnd{
	delivered:  endAnswered,
	brokenOff:  endBrokenOff,
	clientGone: endDisconnected,
}

// abandon tells the loop that the client is gone, and ends the request.
func (x *exchange) abandon(why requestEnd) {
	x.frontend.post(clientDisconnected{x.request})
	x.abort(why)
}

// abort ends a request that gets no response from the loop.
func (x *exchange) abort(why requestEnd) {
	x.end = why
	x.frontend.metrics.countAbandoned(x.request.Class)
	if x.received() {
		// Returning would make net/http answer 200, and the client may only have closed its sending side.
		panic(http.ErrAbortHandler)
	}
	extendWriteDeadline(x.body.control)
	x.frontend.closeAfterResponse(x.writer, closedByRequest)
	http.Error(x.writer, "the body did not come whole", http.StatusRequestTimeout)
}

// logEnd logs how the request ended, where the log has that much detail.
func (x *exchange) logEnd(began time.Time) {
	if !debugLogged() {
		return
	}
	header := x.httpRequest.Header
	slog.Debug("request ended", "request_id", header.Get("X-Request-Id"), "class", x.request.Class, "retry", x.request.Retry,
		"outcome", string(x.end), "status", x.status, "elapsed", time.Since(began).Round(time.Millisecond),
		"timeout", x.request.Timeout.Round(time.Millisecond), "closes_connection", x.writer.Header().Get("Connection") == "close",
		"client", x.httpRequest.RemoteAddr)
}
