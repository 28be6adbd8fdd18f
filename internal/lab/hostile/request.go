package hostile

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// Request describes a request in the form of the balancer's protocol.
type Request struct {
	Method     string // GET if empty
	Class      string
	ID         string
	Key        string        // the Idempotency-Key; none is sent if it is empty
	Tenant     string        // the X-Tenant; none is sent if it is empty
	Query      string        // the query of the target, without the question mark
	Deadline   time.Duration // X-Deadline-Ms
	FieldCount int           // further header fields, each with a name of its own
	FieldBytes int           // bytes of the value of each of these fields
	BodyLength int           // bytes of the body
	Chunked    bool          // the body is sent in chunks, without a length
	Trailers   int           // fields behind a chunked body, each with a name of its own
}

// Head renders the request line and header.
func (r Request) Head() []byte {
	var b bytes.Buffer
	method := r.Method
	if method == "" {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s/x?%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n",
		method, r.Class, r.Query, r.ID, r.Class, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if r.Tenant != "" {
		fmt.Fprintf(&b, "X-Tenant: %s\r\n", r.Tenant)
	}
	switch {
	case r.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.BodyLength)
	}
	for i := range r.FieldCount {
		fmt.Fprintf(&b, "%x:%s\r\n", i, strings.Repeat("v", r.FieldBytes))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Body renders the body.
func (r Request) Body() []byte {
	body := bytes.Repeat([]byte("b"), r.BodyLength)
	if !r.Chunked {
		return body
	}
	chunks := fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n", len(body), body)
	for i := range r.Trailers {
		chunks = fmt.Appendf(chunks, "%x:\r\n", i)
	}
	return append(chunks, "\r\n"...)
}

// Bytes renders the complete request.
func (r Request) Bytes() []byte { return append(r.Head(), r.Body()...) }

// Prefix renders the first bytes of the request, without rendering the rest of a long body.
func (r Request) Prefix(length int) []byte {
	prefix := r.Head()
	if r.Chunked {
		prefix = fmt.Appendf(prefix, "%x\r\n", r.BodyLength)
	}
	body := max(0, min(r.BodyLength, length-len(prefix)))
	prefix = append(prefix, bytes.Repeat([]byte("b"), body)...)
	return prefix[:min(length, len(prefix))]
}
