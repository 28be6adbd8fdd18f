package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// requestEnd is how a request ended for its client, as it is logged.
type requestEnd string

const (
	endAnswered     requestEnd = "answered"
	endTruncated    requestEnd = "response broken off"
	endDisconnected requestEnd = "client disconnected"
	endBodyFailed   requestEnd = "body not complete"
)

// exchange is a client request and its response, from when the request has been parsed until the response is written.
type exchange struct {
	frontend    *frontend
	writer      http.ResponseWriter
	httpRequest *http.Request
	request     *request
	body        *requestBody
	end         requestEnd
	status      int  // of the response; 0 if none was written
	attempted   bool // there was an attempt to forward the request, or the client has disconnected
	// receivedReported is set once the loop has been notified that the last byte of an upload has arrived.
	receivedReported bool
}

// serve posts the request to the event loop and writes the loop's response, unless the client disconnects first.
func (x *exchange) serve() {
	conn := connOfRequest(x.httpRequest)
	defer x.logEnd(time.Now())
	if conn.ClosedByClient() {
		x.abort(endDisconnected)
		return
	}
	x.request.clientCheckedAt = x.request.arrivedAt // or later
	if !x.request.Upload {
		x.body.progress.markReceived()
	}
	defer x.body.progress.markEnded()
	disconnected := conn.WatchDisconnect()
	defer conn.StopWatchingDisconnect()
	if x.request.upload != nil {
		x.request.upload.checkReceived()
	}
	x.frontend.post(requestArrived{x.request})
	x.awaitResponse(conn, disconnected)
}

// awaitResponse waits for the loop's response and writes it. It abandons the request if the client disconnects or the body
// ends early. disconnected reports a disconnect that net/http can't detect.
func (x *exchange) awaitResponse(conn *framing.Conn, disconnected <-chan struct{}) {
	contextDone := x.httpRequest.Context().Done() // closed on a disconnect, and also when the body ends early
	uploadChecks, stopUploadChecks := x.startUploadChecks()
	defer stopUploadChecks()
	for {
		select {
		case resp := <-x.request.reply:
			x.reply(resp)
			return
		case <-contextDone:
			if !conn.HasFramingError() {
				x.abandon(endDisconnected)
				return
			}
			contextDone = nil // only the bytes after this request are malformed; the request itself is still answered
		case <-disconnected:
			if !conn.ReadAheadExhausted() {
				x.abandon(endDisconnected)
				return
			}
			disconnected = nil // an attempt that is in flight may still answer the request
			x.frontend.post(clientUnwatched{x.request})
		case <-x.body.failed:
			x.abandon(endBodyFailed)
			return
		case <-uploadChecks:
			x.reportReceived()
			if x.received() {
				uploadChecks = nil // from here on net/http detects a disconnect
			} else if conn.ClosedByClient() {
				x.abandon(endDisconnected)
				return
			}
		}
	}
}

// startUploadChecks returns a channel that delivers a tick at each time at which the connection of an upload has to be
// checked, and a function that releases its resources. The channel is nil for other requests.
func (x *exchange) startUploadChecks() (checks <-chan time.Time, stop func()) {
	if !x.request.Upload {
		return nil, func() {}
	}
	ticker := time.NewTicker(timelimit.UploadCheckInterval)
	return ticker.C, ticker.Stop
}

// reportReceived reports to the loop, once, that the last byte of an upload has arrived.
func (x *exchange) reportReceived() {
	if x.receivedReported {
		return
	}
	x.request.upload.checkReceived()
	if x.request.upload.knownDeadline() != noDeadline {
		x.receivedReported = true
		x.frontend.post(bodyReceived{x.request})
	}
}

// received reports whether the request has arrived with its complete body.
func (x *exchange) received() bool {
	return !x.request.Upload || x.body.complete.Load()
}

// reply writes the loop's response and counts it.
func (x *exchange) reply(resp response) {
	defer x.frontend.bodyBudget.Release(cap(resp.body))
	if !x.received() { // the rest of the body is not read, so the next request could not be found
		x.frontend.closeAfterResponse(x.writer, closedByRequest)
	}
	x.attempted = !resp.unforwarded
	result := x.write(resp)
	x.status = resp.status
	x.end = endByOutcome[result]
	if result == clientGone {
		x.frontend.metrics.countAbandoned(x.request.Class)
	} else {
		x.frontend.metrics.countAnswer(x.request.Class, resp.status, result == delivered)
	}
	if result == delivered && !x.received() {
		x.discardRest()
	}
	if result != delivered {
		panic(http.ErrAbortHandler) // closes the connection, so that the client detects the truncated response
	}
}

// endByOutcome maps the outcome of writing a response to how the request ended.
var endByOutcome = map[writeOutcome]requestEnd{
	delivered:  endAnswered,
	truncated:  endTruncated,
	clientGone: endDisconnected,
}

// abandon reports to the loop that the request needs no response any more, and ends it.
func (x *exchange) abandon(end requestEnd) {
	x.frontend.post(clientDisconnected{x.request})
	x.abort(end)
}

// abort ends a request that gets no response from the loop. The client gets an error if its body is incomplete; otherwise
// the connection is closed.
func (x *exchange) abort(end requestEnd) {
	x.end = end
	x.attempted = true
	x.frontend.metrics.countAbandoned(x.request.Class)
	if x.received() {
		// Returning would make net/http answer 200, which a client that has closed only its sending side would receive.
		panic(http.ErrAbortHandler)
	}
	x.frontend.closeAfterResponse(x.writer, closedByRequest)
	http.Error(x.writer, "the body did not come whole", http.StatusRequestTimeout)
}

const (
	// maxDiscardedBody bounds the bytes of a body that are read and discarded after the response.
	maxDiscardedBody = 8 << 20
	// maxDiscardTime bounds the time for that.
	maxDiscardTime = 250 * time.Millisecond
)

// discardRest reads what else arrives of the body of an upload that has been answered. A client that is still sending might lose
// the response if the connection were closed over unread bytes.
func (x *exchange) discardRest() {
	if x.body.control.Flush() != nil {
		return // the client has disconnected
	}
	until := time.Now().Add(maxDiscardTime)
	buffer := newCopyBuffer(x.frontend.bodyBudget)
	defer buffer.release()
	for discarded := 0; discarded < maxDiscardedBody && time.Now().Before(until); {
		if x.body.control.SetReadDeadline(until) != nil {
			return
		}
		data, err := buffer.fill(x.httpRequest.Body.Read)
		discarded += len(data)
		if err != nil {
			return
		}
	}
}

// logEnd logs at debug level how the request ended.
func (x *exchange) logEnd(began time.Time) {
	if !debugEnabled() {
		return
	}
	header := x.httpRequest.Header
	slog.Debug("request ended", "request_id", header.Get("X-Request-Id"), "class", x.request.Class, "retry", x.request.Retry,
		"outcome", string(x.end), "status", x.status, "elapsed", time.Since(began).Round(time.Millisecond),
		"timeout", x.request.Timeout.Round(time.Millisecond), "closes_connection", x.writer.Header().Get("Connection") == "close",
		"client", x.httpRequest.RemoteAddr)
}
