package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/timelimit"
)

// Why a request is malformed. The texts are part of the response to the client.
var (
	errUnknownClass   = errors.New("X-Class names no known class")
	errPathClass      = errors.New("the path does not begin with the class")
	errRequestID      = errors.New("one X-Request-Id is wanted")
	errMethod         = errors.New("the method does not fit the class")
	errIdempotencyKey = errors.New("Idempotency-Key does not fit the class")
	errGetWithBody    = errors.New("a GET has no body")
)

// parseRequest reads a client's request up to its end, or until as much of its body is buffered as may be; the rest is then
// an upload. A malformed request never reaches the decision module. The request's body counts against the body budget,
// except beside an error.
func (f *frontend) parseRequest(w http.ResponseWriter, r *http.Request) (*request, *requestBody, error) {
	conn := connOf(r)
	arrivedAt := conn.ArrivedAt()
	class, err := f.classOf(r)
	if err != nil {
		return nil, nil, err
	}
	body := newRequestBody(w, r)
	var buffered []byte
	complete := true
	if r.ContentLength != 0 {
		body.allowFirstByte(arrivedAt - conn.HeadAt())
		buffered, complete, err = f.bodyBudget.readBody(body, r.ContentLength, func() bool { return false })
		if err != nil {
			f.bodyBudget.release(cap(buffered))
			return nil, nil, fmt.Errorf("body: %w", err)
		}
		arrivedAt = conn.ArrivedAt() // the deadline counts from the last byte
	}
	if class.Idempotency == balancer.Idempotent && len(buffered) > 0 {
		f.bodyBudget.release(cap(buffered))
		return nil, nil, errGetWithBody
	}
	removeHopByHopFields(r.Header)
	parsed := &request{
		arrivedAt: arrivedAt,
		reply:     make(chan response, 1),
		message: message{
			requestLine: r.Method + " " + originForm(r.RequestURI),
			header:      r.Header,
			host:        r.Host,
			body:        buffered,
		},
	}
	if !complete {
		if err := body.control.EnableFullDuplex(); err != nil {
			f.bodyBudget.release(cap(buffered))
			return nil, nil, fmt.Errorf("body: %w", err)
		}
		f.makeUpload(parsed, body, r.ContentLength)
	}
	f.setAttributes(parsed, class, r)
	return parsed, body, nil
}

// classOf checks the fields that a request must have, and returns its class.
func (f *frontend) classOf(r *http.Request) (balancer.Class, error) {
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

// removeHopByHopFields removes the fields that the client meant for this connection only. Those that are always so are
// left out by message.renderHead.
func removeHopByHopFields(header http.Header) {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
}

// makeUpload turns a request into one whose body is forwarded as it comes.
func (f *frontend) makeUpload(q *request, body *requestBody, contentLength int64) {
	q.Upload = true
	q.timeLeft = f.lifecycle.timeLeft
	q.message.rest = body
	q.message.contentLength = contentLength
	body.onComplete = func() { f.metrics.inProgress.Add(1) }
}

// setAttributes sets what the decision module gets to know of a request.
func (f *frontend) setAttributes(q *request, class balancer.Class, r *http.Request) {
	if class.Idempotency == balancer.IdempotentByKey {
		q.window.duration = class.IdempotencyWindow
	}
	q.Class = class.Name
	q.Tenant = r.Header.Get("X-Tenant")
	q.Retry = r.Header.Get("X-Retry") == "1"
	timeout := min(class.Deadline, deadlineOf(r, class.Deadline))
	q.Timeout = max(0, min(timeout-timelimit.DeadlineMargin, f.lifecycle.timeLeft(q.arrivedAt, timeout)))
	costMicroseconds, err := strconv.ParseInt(r.Header.Get("X-Cost-Hint"), 10, 32)
	if err == nil && costMicroseconds > 0 {
		q.CostHint = time.Duration(costMicroseconds) * time.Microsecond
	}
	if cookie, err := r.Cookie("obj"); err == nil {
		q.HasKey = true
		q.Key = objectKey(cookie.Value)
	}
}

// deadlineOf is how long a client says that it waits, or fallback where it doesn't say so in a form that can be read. Zero
// is a deadline too: it is over, and the client has to be answered at once.
func deadlineOf(r *http.Request, fallback time.Duration) time.Duration {
	milliseconds, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 32)
	if err != nil || milliseconds < 0 {
		return fallback
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// objectKey is the number that an object cookie stands for: its value in hexadecimal, or a hash of any other text.
func objectKey(text string) uint64 {
	key, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return uint64(hashID(text))
	}
	return key
}

// originForm is a request's target without scheme and host, as upstreams get it.
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
