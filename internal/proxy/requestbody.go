package proxy

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/internal/timelimit"
)

// minBodyRate is the pace, in bytes per second, that a client has to maintain while it sends a body: half of what the platform
// promises for its clients.
const minBodyRate = 32 << 10

// requestBody reads a client's body and enforces its pace. Only the time in which the client sends nothing counts against
// it, and each byte that it sends earns it more.
//
// One goroutine reads it at a time. complete and failed may be looked at from others.
type requestBody struct {
	body       io.Reader
	control    *http.ResponseController
	credit     time.Duration // for how long the client may still send nothing
	complete   atomic.Bool   // the last byte has come
	onComplete func()        // called once, with the last byte
	failed     chan struct{} // closed when reading has failed
	failOnce   sync.Once
}

func newRequestBody(w http.ResponseWriter, r *http.Request) *requestBody {
	return &requestBody{
		body:       r.Body,
		control:    http.NewResponseController(w),
		credit:     timelimit.ClientRead,
		onComplete: func() {},
		failed:     make(chan struct{}),
	}
}

// allowFirstByte sets how long the body may take to begin where reading the head took headTime.
func (b *requestBody) allowFirstByte(headTime time.Duration) {
	b.credit = min(timelimit.ClientRead, max(timelimit.FirstBodyByte, timelimit.RequestSilence-headTime))
}

func (b *requestBody) Read(p []byte) (int, error) {
	began := time.Now()
	if err := b.control.SetReadDeadline(began.Add(b.credit)); err != nil {
		return 0, err
	}
	n, err := b.body.Read(p)
	earned := time.Duration(n) * time.Second / minBodyRate
	b.credit = min(timelimit.ClientRead, b.credit-time.Since(began)+earned)
	switch {
	case err == io.EOF:
		_ = b.control.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read shows
		b.complete.Store(true)
		b.onComplete()
	case err != nil:
		b.failOnce.Do(func() { close(b.failed) })
	}
	return n, err
}
