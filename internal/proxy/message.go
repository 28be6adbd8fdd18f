package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// notForwarded has the hop-by-hop header fields, and those that renderHead writes itself.
var notForwarded = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"X-Deadline-Ms":       true,
}

// headBuffers is a pool of *bytes.Buffer for rendering heads.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// message is a client's request in the form in which it is forwarded: method, target, end-to-end header fields and body
// are unchanged.
type message struct {
	requestLine   string // method and target
	header        http.Header
	host          string
	body          []byte    // the complete body, or the buffered part of an upload
	rest          io.Reader // uploads only: what follows body; nil: body is complete
	contentLength int64     // uploads only: the Content-Length; -1: unknown
}

// isChunked reports whether the message is an upload of unknown length.
func (m *message) isChunked() bool { return m.rest != nil && m.contentLength < 0 }

// renderHead renders the request line and header for an attempt. remaining, the time that the balancer waits for the
// response, is sent as X-Deadline-Ms.
func (m *message) renderHead(remaining time.Duration) []byte {
	b := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(b)
	b.Reset()
	b.WriteString(m.requestLine)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	b.WriteString("\r\n")
	_ = m.header.WriteSubset(b, notForwarded) // a bytes.Buffer never returns a write error
	switch {
	case m.isChunked():
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.rest != nil:
		writeContentLength(b, m.contentLength)
	case len(m.body) > 0 || strings.HasPrefix(m.requestLine, http.MethodPost):
		writeContentLength(b, int64(len(m.body)))
	}
	b.WriteString("\r\n")
	return bytes.Clone(b.Bytes())
}

func writeContentLength(b *bytes.Buffer, length int64) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.FormatInt(length, 10))
	b.WriteString("\r\n")
}
