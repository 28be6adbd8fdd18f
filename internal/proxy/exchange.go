package proxy

import (
	"net/http"
)

// exchange is one client request from the moment it has been parsed until its response is written.
type exchange struct {
	frontend    *frontend
	writer      http.ResponseWriter
	httpRequest *http.Request
	request     *request
	body        *requestBody
}

// serve posts the request to the loop and writes the loop's response, unless the client disconnects first.
func (x *exchange) serve() {
	conn := connOf(x.httpRequest)
	if conn.closedByClient() {
		x.abort()
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
	disconnected := conn.watchDisconnect()
	defer conn.stopWatchingDisconnect()
	x.frontend.post(requestArrived{x.request})
	x.awaitResponse(conn, disconnected)
}

// awaitResponse waits for the loop's response and writes it, or abandons the request if its client disconnects or its body
// breaks off. disconnected tells of a disconnect that net/http can't see.
func (x *exchange) awaitResponse(conn *framingConn, disconnected <-chan struct{}) {
	contextDone := x.httpRequest.Context().Done() // also where the body breaks off
	for {
		select {
		case a := <-x.request.reply:
			x.reply(a)
			return
		case <-contextDone:
			if !conn.hasFramingError() {
				x.abandon()
				return
			}
			contextDone = nil // only what follows the request is malformed; the request is answered all the same
		case <-disconnected:
			x.abandon()
			return
		case <-x.body.failed:
			x.abandon()
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
		closeAfterResponse(x.writer)
	}
	result := x.write(a)
	if result != clientGone {
		x.frontend.metrics.countAnswer(x.request.Class, a.status, result == delivered)
	}
	if result != delivered {
		panic(http.ErrAbortHandler) // breaks the connection, so that the client can tell
	}
}

// abandon tells the loop that the client is gone, and ends the request.
func (x *exchange) abandon() {
	x.frontend.post(clientDisconnected{x.request})
	x.abort()
}

// abort ends a request that gets no response from the loop.
func (x *exchange) abort() {
	if x.received() {
		// Returning would make net/http answer 200, and the client may only have closed its sending side.
		panic(http.ErrAbortHandler)
	}
	extendWriteDeadline(x.body.control)
	closeAfterResponse(x.writer)
	http.Error(x.writer, "the body did not come whole", http.StatusRequestTimeout)
}
