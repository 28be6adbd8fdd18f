package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"sprucehill/internal/timelimit"
)

// copyBufferSize is the size, in bytes, of the buffers through which bodies are streamed.
const copyBufferSize = 16 << 10

// errClientBody says that the client's body broke off, so the fault is not the upstream's.
var errClientBody = errors.New("the client's body is incomplete")

// copyBuffers are *[copyBufferSize]byte for streaming bodies.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Parts of the chunked encoding.
var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// writeProgress is how far an attempt has been written.
type writeProgress struct {
	complete     bool // its last byte has been written
	bodyConsumed bool // of an upload: a part behind the buffered one has been read from the client
}

// writeAttempt writes an attempt's head and body, an upload as it comes from the client.
func writeAttempt(a *attempt, c *upstreamConn) (writeProgress, error) {
	if a.message.rest != nil {
		return writeUpload(a, c)
	}
	buffers := net.Buffers{a.head, a.message.body}
	size := int64(len(a.head) + len(a.message.body))
	n, err := buffers.WriteTo(c)
	return writeProgress{complete: n == size}, err
}

func writeUpload(a *attempt, c *upstreamConn) (progress writeProgress, err error) {
	m := &a.message
	part := net.Buffers{a.head, m.body}
	if m.isChunked() {
		part = append(net.Buffers{a.head}, chunk(m.body)...)
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for {
		if err := c.SetWriteDeadline(time.Now().Add(timelimit.UpstreamStall)); err != nil {
			return progress, err
		}
		if a.abandoned.Load() { // abandoned in the meantime: its expired deadline has just been replaced
			return progress, os.ErrDeadlineExceeded
		}
		if _, err := part.WriteTo(c); err != nil {
			return progress, err
		}
		n, err := m.rest.Read(buf[:])
		progress.bodyConsumed = progress.bodyConsumed || n > 0
		part = net.Buffers{buf[:n]}
		if m.isChunked() && n > 0 {
			part = chunk(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			progress.complete, err = writeLastPart(m, part, c)
			return progress, err
		}
		if err != nil {
			return progress, errClientBody
		}
	}
}

// writeLastPart writes the end of an upload, and reports whether its last byte has been written.
func writeLastPart(m *message, part net.Buffers, c *upstreamConn) (complete bool, err error) {
	if m.isChunked() {
		part = append(part, lastChunk)
	}
	if err := c.SetWriteDeadline(time.Now().Add(timelimit.UpstreamStall)); err != nil {
		return false, err
	}
	_, err = part.WriteTo(c)
	c.SetWriteDeadline(time.Time{})
	return err == nil, err
}

// chunk is p in the chunked encoding.
func chunk(p []byte) net.Buffers {
	size := strconv.AppendInt(nil, int64(len(p)), 16)
	return net.Buffers{size, crlf, p, crlf}
}
