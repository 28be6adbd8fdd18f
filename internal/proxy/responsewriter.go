package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sprucehill/internal/timelimit"
)

// delivery is how writing a response ended.
type delivery uint8

const (
	brokenOff  delivery = iota // the upstream's response broke off in the middle
	clientGone                 // the client disconnected
	delivered                  // the response was written completely
)

// write writes a response to the client. Only a streamed one can end other than delivered.
func (x *exchange) write(a response) delivery {
	header := x.writer.Header()
	// A drain or shutdown that began while the request was in progress must not leave its connection open.
	if cause, closes := x.frontend.closesConns(); closes {
		x.frontend.closeAfterResponse(x.writer, cause)
	}
	if a.contentType != "" {
		header.Set("Content-Type", a.contentType)
	} else {
		header["Content-Type"] = nil // prevents net/http from guessing one
	}
	if a.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	control := http.NewResponseController(x.writer)
	extendWriteDeadline(control)
	if a.stream != nil {
		return x.writeStream(control, a)
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.writer.WriteHeader(a.status)
	_, _ = x.writer.Write(a.body) // a client that has gone can tell that the response is not complete
	return delivered
}

// writeStream writes a streamed response and gives its upstream connection back to the loop.
func (x *exchange) writeStream(control *http.ResponseController, a response) (result delivery) {
	upstream := a.stream
	stopWatching := context.AfterFunc(x.httpRequest.Context(), func() {
		if !connOf(x.httpRequest).HasFramingError() {
			upstream.conn.SetReadDeadline(expiredDeadline)
		}
	})
	defer func() {
		// Where watching could not be stopped, a read deadline may still be set on the upstream's connection.
		stopped := stopWatching()
		var reusable *upstreamConn
		if result == delivered && stopped {
			reusable = upstream.release()
		} else {
			upstream.conn.Close()
		}
		x.frontend.post(streamFinished{upstream.endpoint, reusable})
	}()
	if n := upstream.resp.ContentLength; n >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.writer.WriteHeader(a.status)
	return x.copyStream(control, a.body, upstream)
}

// copyStream writes beginning and then what the upstream sends, each part as soon as it has come.
func (x *exchange) copyStream(control *http.ResponseController, beginning []byte, upstream *responseStream) delivery {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	part := beginning
	for {
		extendWriteDeadline(control)
		if _, err := x.writer.Write(part); err != nil {
			return clientGone
		}
		if err := control.Flush(); err != nil {
			return clientGone
		}
		n, err := upstream.read(buf[:])
		part = buf[:n]
		switch {
		case errors.Is(err, io.EOF):
			if x.frontend.lifecycle.isEnding() {
				connOf(x.httpRequest).EndAfterResponse()
			}
			if _, err := x.writer.Write(part); err != nil {
				return clientGone
			}
			return delivered
		case err != nil && x.httpRequest.Context().Err() != nil:
			return clientGone
		case err != nil:
			return brokenOff
		}
	}
}

// extendWriteDeadline gives the client another timelimit.ClientWrite for reading. That fails only on a closed connection,
// which the next write shows.
func extendWriteDeadline(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(timelimit.ClientWrite))
}
