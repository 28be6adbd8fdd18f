package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
)

// writeOutcome is how writing a response ended.
type writeOutcome uint8

const (
	truncated  writeOutcome = iota // the upstream's response ended early
	clientGone                     // the client disconnected
	delivered                      // the response was written completely
)

// write writes a response to the client. Only a streamed response can have an outcome other than delivered.
func (x *exchange) write(resp response) writeOutcome {
	header := x.writer.Header()
	// If a drain or shutdown began while the request was in progress, the connection must not stay open.
	if cause, closes := x.frontend.closeCause(); closes {
		x.frontend.closeAfterResponse(x.writer, cause)
	}
	if resp.contentType != "" {
		header.Set("Content-Type", resp.contentType)
	} else {
		header["Content-Type"] = nil // prevents net/http from detecting a type
	}
	if resp.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	control := http.NewResponseController(x.writer)
	if resp.stream != nil {
		return x.writeStream(control, resp)
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.writer.WriteHeader(resp.status)
	_, _ = x.writer.Write(resp.body) // on an error the client detects by Content-Length that the response is incomplete
	return delivered
}

// writeStream writes a streamed response and returns its upstream connection to the loop.
func (x *exchange) writeStream(control *http.ResponseController, resp response) (result writeOutcome) {
	upstream := resp.stream
	stopWatching := context.AfterFunc(x.httpRequest.Context(), func() {
		if !connOfRequest(x.httpRequest).HasFramingError() {
			upstream.Cancel()
		}
	})
	var readErr error
	x.countStreamBegin(upstream)
	defer func() {
		x.recordStreamEnd(upstream, result, readErr)
		// If the function could not be stopped, it may still cancel reading from the upstream connection.
		stopped := stopWatching()
		var reusable *upstreamConn
		if result == delivered && stopped {
			reusable = upstream.release()
		} else {
			upstream.conn.Close()
		}
		x.frontend.post(streamFinished{upstream.endpoint, reusable})
	}()
	if n := upstream.ContentLength(); n >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.writer.WriteHeader(resp.status)
	result, readErr = x.copyStream(control, resp.body, upstream)
	return result
}

// copyStream writes the buffered part of a response and then the rest, each part as soon as the upstream has sent it. If the response
// is truncated, readErr is why.
func (x *exchange) copyStream(control *http.ResponseController, buffered []byte, upstream *responseStream) (result writeOutcome, readErr error) {
	buffer := newCopyBuffer(x.frontend.bodyBudget)
	defer buffer.release()
	part := buffered
	for {
		if _, err := x.writer.Write(part); err != nil {
			return x.clientGone(err), nil
		}
		if err := control.Flush(); err != nil {
			return x.clientGone(err), nil
		}
		var err error
		part, err = buffer.fill(upstream.Read)
		switch {
		case errors.Is(err, io.EOF):
			if x.frontend.lifecycle.isEnding() {
				connOfRequest(x.httpRequest).EndAfterResponse()
			}
			if _, err := x.writer.Write(part); err != nil {
				return x.clientGone(err), nil
			}
			return delivered, nil
		case err != nil && x.httpRequest.Context().Err() != nil:
			return clientGone, nil
		case err != nil:
			return truncated, err
		}
	}
}

// clientGone returns the outcome of a streamed response that can't be written because of err, and counts a client that was given up.
func (x *exchange) clientGone(err error) writeOutcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.frontend.metrics.conns.countClose(closedByStall)
	}
	return clientGone
}
