package proxy

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/internal/timelimit"
)

// minBodyRate is the rate, in bytes per second, at which a client has to send a body: half of the rate that the platform
// guarantees for its clients.
const minBodyRate = 32 << 10

// requestBody reads a request body and enforces the minimum rate at which the client sends it. The time spent waiting for
// data uses up the client's credit, and each byte received adds to it.
//
// Only one goroutine at a time may call Read. complete and failed may be used from any goroutine.
type requestBody struct {
	body       io.Reader
	control    *http.ResponseController
	credit     time.Duration // how much longer a read may wait for data
	complete   atomic.Bool   // the last byte has been read
	onComplete func()        // called once, when the last byte has been read
	failed     chan struct{} // closed when a read has failed
	failOnce   sync.Once
}

func newRequestBody(w http.ResponseWriter, r *http.Request) *requestBody {
	return &requestBody{
		body:       r.Body,
		control:    http.NewResponseController(w),
		credit:     timelimit.ClientReadTimeout,
		onComplete: func() {},
		failed:     make(chan struct{}),
	}
}

// setFirstByteTimeout sets how long the first byte of the body may take, given that reading the head took headTime.
func (b *requestBody) setFirstByteTimeout(headTime time.Duration) {
	b.credit = min(timelimit.ClientReadTimeout, max(timelimit.FirstBodyByte, timelimit.RequestSilence-headTime))
}

func (b *requestBody) Read(p []byte) (int, error) {
	began := time.Now()
	if err := b.control.SetReadDeadline(began.Add(b.credit)); err != nil {
		return 0, err
	}
	n, err := b.body.Read(p)
	earned := time.Duration(n) * time.Second / minBodyRate
	b.credit = min(timelimit.ClientReadTimeout, b.credit-time.Since(began)+earned)
	switch {
	case err == io.EOF:
		_ = b.control.SetReadDeadline(time.Time{}) // fails only on a closed connection, where the next read fails too
		b.complete.Store(true)
		b.onComplete()
	case err != nil:
		b.failOnce.Do(func() { close(b.failed) })
	}
	return n, err
}
