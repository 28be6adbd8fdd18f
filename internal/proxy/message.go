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

// notForwarded names the header fields that belong to one connection only, and those that are written anew.
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

// headBuffers are *bytes.Buffer for rendering heads.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// message is a client's request as it is forwarded: method, target, end-to-end header fields and body are unchanged.
type message struct {
	requestLine   string // method and target
	header        http.Header
	host          string
	body          []byte    // the complete body, or the buffered part of an upload
	rest          io.Reader // of an upload: what follows body; nil: body is complete
	contentLength int64     // of an upload: its Content-Length; -1: unknown
}

// isChunked reports whether the message is an upload of unknown length.
func (m *message) isChunked() bool { return m.rest != nil && m.contentLength < 0 }

// renderHead renders the message without its body, for an attempt whose response the balancer waits for that long.
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
	_ = m.header.WriteSubset(b, notForwarded) // writing to a buffer never fails
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
