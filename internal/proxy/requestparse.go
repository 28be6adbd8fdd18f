package proxy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// Errors for malformed requests. The client receives the text as the body of the response.
var (
	errUnknownClass   = errors.New("X-Class names no known class")
	errPathClass      = errors.New("the path does not begin with the class")
	errRequestID      = errors.New("one X-Request-Id is wanted")
	errMethod         = errors.New("the method does not fit the class")
	errIdempotencyKey = errors.New("Idempotency-Key does not fit the class")
	errGetWithBody    = errors.New("a GET has no body")
)

// parseRequest validates a request and buffers its body. A request whose body exceeds what may be buffered becomes an
// upload, whose remaining body is streamed. A malformed request is rejected here and never reaches the decision module. The
// buffered body is reserved in the body budget unless an error is returned.
func (f *frontend) parseRequest(w http.ResponseWriter, r *http.Request) (*request, *requestBody, error) {
	conn := connOfRequest(r)
	arrivedAt := conn.ArrivedAt()
	class, err := f.validatedClass(r)
	if err != nil {
		return nil, nil, err
	}
	body := newRequestBody(w, r)
	body.progress.gauge = f.metrics.inProgress
	var buffered []byte
	complete := true
	if r.ContentLength != 0 {
		body.setFirstByteTimeout(arrivedAt - conn.HeadStartedAt())
		buffered, complete, err = f.bodyBudget.ReadBody(body, r.ContentLength)
		if err != nil {
			f.bodyBudget.Release(cap(buffered))
			return nil, nil, fmt.Errorf("body: %w", err)
		}
		arrivedAt = conn.ArrivedAt() // the deadline counts from the last byte of the body
	}
	if class.Idempotency == balancer.Idempotent && len(buffered) > 0 {
		f.bodyBudget.Release(cap(buffered))
		return nil, nil, errGetWithBody
	}
	removeHopByHopFields(r.Header)
	parsed := &request{
		arrivedAt: arrivedAt,
		reply:     make(chan response, 1),
		client:    conn,
		execution: f.executions.forRequest(r.Header.Get("X-Request-Id"), class),
		message: message{
			requestLine: r.Method + " " + originForm(r.RequestURI),
			header:      r.Header,
			host:        r.Host,
			body:        buffered,
		},
	}
	f.setAttributes(parsed, class, r)
	if !complete {
		if err := body.control.EnableFullDuplex(); err != nil {
			f.bodyBudget.Release(cap(buffered))
			return nil, nil, fmt.Errorf("body: %w", err)
		}
		f.setUpload(parsed, body, r.ContentLength, conn)
	}
	return parsed, body, nil
}

// validatedClass checks that the class, path, request id, method and idempotency key of a request fit together, and returns
// its class.
func (f *frontend) validatedClass(r *http.Request) (balancer.Class, error) {
	class, known := f.classes[r.Header.Get("X-Class")]
	if !known {
		return class, errUnknownClass
	}
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != class.Name {
		return class, errPathClass
	}
	if len(r.Header["X-Request-Id"]) != 1 || r.Header.Get("X-Request-Id") == "" {
		return class, errRequestID
	}
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return class, errMethod
	}
	hasKey := r.Header.Get("Idempotency-Key") != ""
	if hasKey != (class.Idempotency == balancer.IdempotentByKey) {
		return class, errIdempotencyKey
	}
	return class, nil
}

// removeHopByHopFields removes the fields that the Connection header declares hop-by-hop. Fields that are always hop-by-hop
// are omitted by message.renderHead.
func removeHopByHopFields(header http.Header) {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
}

// setUpload turns a request whose attributes are set into an upload, whose body is forwarded while it is received.
func (f *frontend) setUpload(req *request, body *requestBody, contentLength int64, conn *framing.Conn) {
	req.Upload = true
	req.upload = newUpload(conn, req.Timeout, f.lifecycle.timeLeft, f.now)
	req.message.rest = body
	req.message.contentLength = contentLength
	body.onComplete = body.progress.markReceived
}

// setAttributes sets the attributes of a request that the decision module uses.
func (f *frontend) setAttributes(req *request, class balancer.Class, r *http.Request) {
	if class.Idempotency == balancer.IdempotentByKey {
		req.window.duration = class.IdempotencyWindow
	}
	req.Class = class.Name
	req.Tenant = r.Header.Get("X-Tenant")
	req.Retry = r.Header.Get("X-Retry") == "1"
	req.clientWait = clientTimeout(r, class.Deadline)
	timeout := min(class.Deadline, req.clientWait)
	req.Timeout = max(0, min(timeout-timelimit.DeadlineMargin, f.lifecycle.timeLeft(req.arrivedAt, timeout)))
	costMicroseconds, err := strconv.ParseInt(r.Header.Get("X-Cost-Hint"), 10, 32)
	if err == nil && costMicroseconds > 0 {
		req.CostHint = time.Duration(costMicroseconds) * time.Microsecond
	}
	if cookie, err := r.Cookie("obj"); err == nil {
		req.HasKey = true
		req.Key = objectKey(cookie.Value)
	}
}

// clientTimeout returns how long the client says it waits for the response, or fallback if X-Deadline-Ms is missing or invalid.
// Zero is valid: the deadline has passed, and the client is answered immediately.
func clientTimeout(r *http.Request, fallback time.Duration) time.Duration {
	milliseconds, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 32)
	if err != nil || milliseconds < 0 {
		return fallback
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// objectKey returns the key in the value of an obj cookie: a hexadecimal number, or else the FNV-1a hash of the text.
func objectKey(text string) uint64 {
	key, err := strconv.ParseUint(text, 16, 64)
	if err == nil {
		return key
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // hash.Hash.Write never returns an error
	return uint64(h.Sum32())
}

// originForm converts a request target from absolute form to origin form, without scheme and host. A target in another form,
// or without a path and query, is returned unchanged.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, isAbsolute := strings.Cut(target, "://")
	if !isAbsolute {
		return target
	}
	path := strings.IndexAny(rest, "/?")
	if path < 0 {
		return target
	}
	return rest[path:]
}
