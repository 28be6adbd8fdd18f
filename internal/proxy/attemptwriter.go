package proxy

import (
	"errors"
	"io"
	"net"
	"strconv"

	"sprucehill/internal/bodybudget"
	"sprucehill/internal/socket"
	"sprucehill/internal/timelimit"
)

// errClientBody means that the client did not send its complete body, or has disconnected. The upstream is not at fault.
var errClientBody = errors.New("the client's body is incomplete")

// Delimiters of the chunked transfer encoding.
var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// writeProgress describes how much of an attempt has been written.
type writeProgress struct {
	complete     bool // the last byte has been written
	bodyConsumed bool // uploads only: bytes beyond the buffered part have been read from the client
}

// writeAttempt writes an attempt's head and body. The body of an upload is streamed from the client.
// budget is charged for the buffers of an upload.
func writeAttempt(a *attempt, c *upstreamConn, budget *bodybudget.Budget) (writeProgress, error) {
	if a.message.rest != nil {
		return writeUpload(a, c, budget)
	}
	buffers := net.Buffers{a.head, a.message.body}
	size := int64(len(a.head) + len(a.message.body))
	n, err := buffers.WriteTo(c)
	return writeProgress{complete: n == size}, err
}

// writeUpload writes an attempt's head and the buffered part of its body, then streams the rest from the client. It fails once the
// upstream has taken nothing for timelimit.UpstreamWriteStall.
func writeUpload(a *attempt, c *upstreamConn, budget *bodybudget.Budget) (progress writeProgress, err error) {
	m := &a.message
	part := net.Buffers{a.head, m.body}
	if m.isChunked() {
		part = append(net.Buffers{a.head}, chunk(m.body)...)
	}
	buffer := newCopyBuffer(budget)
	defer buffer.release()
	writer := socket.StallWriter{
		Conn:        c.Conn,
		Stall:       timelimit.UpstreamWriteStall(a.request.clientWait),
		IsAbandoned: a.abandoned.Load,
	}
	for {
		if _, err := part.WriteTo(writer); err != nil {
			return progress, err
		}
		data, err := buffer.fill(m.rest.Read)
		progress.bodyConsumed = progress.bodyConsumed || len(data) > 0
		part = net.Buffers{data}
		if m.isChunked() && len(data) > 0 {
			part = chunk(data)
		}
		if errors.Is(err, io.EOF) {
			if !a.request.isClientWaiting() { // its close followed bytes that had not been read until now
				return progress, errClientBody
			}
			if m.isChunked() {
				part = append(part, lastChunk)
			}
			_, err = part.WriteTo(writer)
			progress.complete = err == nil
			return progress, err
		}
		if err != nil {
			return progress, errClientBody
		}
	}
}

// chunk returns p as one chunk of the chunked transfer encoding.
func chunk(p []byte) net.Buffers {
	size := strconv.AppendInt(nil, int64(len(p)), 16)
	return net.Buffers{size, crlf, p, crlf}
}
