package proxy

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"sprucehill/internal/metrics"
)

// streamEnd is why a streamed response ended, as the value of a metric label.
type streamEnd string

const (
	streamDelivered  streamEnd = "delivered"
	streamClientGone streamEnd = "client"   // the client has disconnected, or took nothing for too long
	streamRested     streamEnd = "rest"     // the upstream sent nothing for too long, or a short response did not end in time
	streamBroken     streamEnd = "upstream" // the upstream broke the response off, or sent what is not proper
)

// streamBegin is why a response is streamed, as the value of a metric label.
type streamBegin string

const (
	streamedBySize streamBegin = "size" // it is too long to be buffered, or lasts long
	streamedAtRest streamBegin = "rest" // the upstream rested when the time for buffering was over
)

// streamLogInterval is the least time between two log lines about responses that were broken off, and about attempts that timed out.
const streamLogInterval = time.Second

// streamMetrics counts streamed responses. It is safe for concurrent use.
type streamMetrics struct {
	begun map[streamBegin]*metrics.Counter
	ended map[streamEnd]*metrics.Counter
}

func newStreamMetrics(set *metrics.Set) streamMetrics {
	m := streamMetrics{begun: map[streamBegin]*metrics.Counter{}, ended: map[streamEnd]*metrics.Counter{}}
	for _, cause := range []streamBegin{streamedBySize, streamedAtRest} {
		m.begun[cause] = set.Counter("svc_streams", metrics.Label{Name: "cause", Value: string(cause)})
	}
	for _, cause := range []streamEnd{streamDelivered, streamClientGone, streamRested, streamBroken} {
		m.ended[cause] = set.Counter("svc_stream_ends", metrics.Label{Name: "cause", Value: string(cause)})
	}
	return m
}

// streamEndOf returns why a stream ended, by the outcome for its client and the error with which reading it failed.
func streamEndOf(outcome writeOutcome, readErr error) streamEnd {
	switch {
	case outcome == delivered:
		return streamDelivered
	case outcome == clientGone:
		return streamClientGone
	case errors.Is(readErr, os.ErrDeadlineExceeded):
		return streamRested
	}
	return streamBroken
}

// countStreamBegin counts a response whose streaming begins.
func (x *exchange) countStreamBegin(stream *responseStream) {
	cause := streamedBySize
	if stream.BeganAtRest() {
		cause = streamedAtRest
	}
	x.frontend.metrics.streams.begun[cause].Inc()
}

// recordStreamEnd counts a streamed response that has ended, and logs one that was broken off for its client.
func (x *exchange) recordStreamEnd(stream *responseStream, outcome writeOutcome, readErr error) {
	end := streamEndOf(outcome, readErr)
	x.frontend.metrics.streams.ended[end].Inc()
	if outcome != truncated || !x.frontend.streamLog.allows(x.frontend.now()) {
		return
	}
	slog.Info("response broken off", "request_id", x.httpRequest.Header.Get("X-Request-Id"), "endpoint", stream.conn.RemoteAddr().String(),
		"cause", string(end), "length", stream.ContentLength(), "err", readErr)
}
