package proxy

import (
	"net/http"
	"time"

	"sprucehill/internal/leakybucket"
)

// Limits of the answers on one connection that cost no upstream anything: to improper requests, health checks, and requests that
// are rejected without an attempt. Clients get them at once, so without a limit a client that sends such requests at full speed
// would keep the processor from all others.
const (
	// maxUnforwardedBurst is how many such answers a connection gets without a pause.
	maxUnforwardedBurst = 16
	// maxUnforwardedRate is how many it gets in a second after that.
	maxUnforwardedRate = 50
	// closePause is the least time between an improper request and the close of its connection: opening another one costs the
	// balancer more than it costs the client.
	closePause = 50 * time.Millisecond
)

// pacer limits the rate of such answers on one connection. The goroutine that serves the connection uses it.
type pacer struct{ bucket leakybucket.Bucket }

// charge counts an answer at the time now, on the loop's clock, and returns how long the next request has to wait.
func (p *pacer) charge(now time.Duration) time.Duration {
	p.bucket.Leak(now, maxUnforwardedRate)
	p.bucket.Add(1)
	excess := p.bucket.Level - maxUnforwardedBurst
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(time.Second) / maxUnforwardedRate)
}

// pace waits after an answer that cost no upstream anything, if there have been too many on the connection. The answer is on its
// way before that. The wait ends early if the client disconnects.
func (f *frontend) pace(w http.ResponseWriter, r *http.Request) {
	wait := sessionOfRequest(r).pacer.charge(f.now())
	if w.Header().Get("Connection") == "close" && !f.lifecycle.isEnding() {
		wait = max(wait, closePause)
	}
	if wait <= 0 || http.NewResponseController(w).Flush() != nil {
		return
	}
	f.metrics.pacedAnswers.Inc()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		if connOfRequest(r).HasFramingError() { // the client has not disconnected
			<-timer.C
		}
	}
}
