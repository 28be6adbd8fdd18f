package proxy

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// minBodyRate is the rate, in bytes per second, at which a client has to send a body, framing included: half of the rate that the
// platform guarantees for its clients.
const minBodyRate = 32 << 10

// requestBody reads a request body and enforces the minimum rate at which the client sends it. The time spent waiting for
// data uses up the client's credit, and each byte received adds to it. A byte of the framing counts like one of the data: a body in small
// chunks has more of the former.
//
// Only one goroutine at a time may call Read. complete and failed may be used from any goroutine.
type requestBody struct {
	body       io.Reader
	received   receivedBytes
	control    *http.ResponseController
	credit     time.Duration // how much longer a read may wait for data
	complete   atomic.Bool   // the last byte has been read
	onComplete func()        // called once, when the last byte has been read
	progress   requestProgress
	failed     chan struct{} // closed when a read has failed
	failOnce   sync.Once
}

func newRequestBody(w http.ResponseWriter, r *http.Request) *requestBody {
	return &requestBody{
		body:       r.Body,
		received:   newReceivedBytes(connOfRequest(r)),
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
	earned := time.Duration(b.received.add(n)) * time.Second / minBodyRate
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

// receivedBytes counts what has been received of a body.
type receivedBytes struct {
	conn      *framing.Conn
	connStart int64 // bytes read from the connection before the count began, which may include some of the body
	data      int64 // bytes of the body that have been read
	counted   int64 // bytes that add has returned
}

// newReceivedBytes begins to count the bytes of the body that is being received on a connection.
func newReceivedBytes(conn *framing.Conn) receivedBytes {
	return receivedBytes{conn: conn, connStart: conn.BytesRead()}
}

// add records that n more bytes of the body have been read, and returns how many bytes have been received since the last call. Of those
// that were read from the connection before the count began, only the data counts.
func (r *receivedBytes) add(n int) (received int64) {
	r.data += int64(n)
	total := max(r.data, r.conn.BytesRead()-r.connStart)
	received = total - r.counted
	r.counted = total
	return received
}
