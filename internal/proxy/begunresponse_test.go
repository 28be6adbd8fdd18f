package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/bodybudget"
	"sprucehill/internal/discovery"
	"sprucehill/internal/timelimit"
)

// concurrentRests is how many endpoints a test has, so that none of its concurrent requests queues.
const concurrentRests = 40

// membersAt returns a number of list entries for one upstream.
func membersAt(upstream *testUpstream, count int) (members []discovery.Entry) {
	for i := range count {
		members = append(members, activeMember(fmt.Sprintf("s-%08x", i+1), upstream))
	}
	return members
}

// restPoint is where in a response an upstream rests.
type restPoint struct {
	name   string
	before func(beginning, body, end string) (first, rest string) // splits the response after its fields
}

// restPoints are the points at which a response is neither complete nor without a beginning.
var restPoints = []restPoint{
	{"after the head", func(beginning, body, end string) (first, rest string) {
		headEnd := strings.Index(beginning, "\r\n\r\n") + len("\r\n\r\n")
		return beginning[:headEnd], beginning[headEnd:] + body + end
	}},
	{"before the body", func(beginning, body, end string) (first, rest string) { return beginning, body + end }},
	{"within the line of a chunk", func(beginning, body, end string) (first, rest string) {
		cut := max(strings.Index(beginning, "\r\n\r\n")+len("\r\n\r\n"), len(beginning)-len("\r\n")-1)
		return beginning[:cut], beginning[cut:] + body + end
	}},
	{"within the body", func(beginning, body, end string) (first, rest string) {
		return beginning + body[:len(body)/5], body[len(body)/5:] + end
	}},
	{"before the end", func(beginning, body, end string) (first, rest string) {
		return beginning + body[:len(body)-1], body[len(body)-1:] + end
	}},
}

// writeWithRest writes a successful response with a body of the given form and size that rests at the point named by the request.
func writeWithRest(c net.Conn, r *http.Request, size int, rest time.Duration) (reusable bool) {
	form := r.Header.Get("X-Form")
	beginning, end := bodyFraming(form, size)
	body, _ := io.ReadAll(patternReader(int64(size)))
	for _, point := range restPoints {
		if point.name != r.Header.Get("X-Rest") {
			continue
		}
		first, remaining := point.before("HTTP/1.1 200 OK\r\n"+beginning, string(body), end)
		io.WriteString(c, first)
		time.Sleep(rest)
		_, err := io.WriteString(c, remaining)
		return err == nil && form != "close"
	}
	return false
}

// assertForwarded sends a request, and fails the test unless a successful response begins within the given time and has a body of the
// given size.
func (b *testBalancer) assertForwarded(t *testing.T, r *http.Request, size int, longest time.Duration) {
	t.Helper()
	began := time.Now()
	resp, err := b.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	assertEqual(t, "status", resp.StatusCode, http.StatusOK)
	if took := time.Since(began); took > longest {
		t.Errorf("the response began after %v, want %v at most", took, longest)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != int64(size) {
		t.Errorf("got %d bytes and %v, want %d", n, err, size)
	}
}

// A long response whose upstream has begun it in time reaches its client whole, although the upstream rests at the deadline. Guards
// against a deadline that replaces a response that has begun by an error.
func TestLongResponseThatRestsAtTheDeadlineIsForwarded(t *testing.T) {
	const (
		size = 3 * bodybudget.MaxBuffered
		wait = 600 * time.Millisecond
		rest = 2 * time.Second
	)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(wait / 4)
		return writeWithRest(c, r, size, rest)
	})
	b := newBalancer(t, membersAt(upstream, concurrentRests)...)
	for _, class := range []string{"read", "checkin"} {
		for _, form := range []string{"length", "one chunk", "close"} {
			for _, point := range restPoints {
				request := b.newRequest(class, "", "X-Form", form, "X-Rest", point.name, "X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
				t.Run(class+", "+form+", "+point.name, func(t *testing.T) {
					t.Parallel()
					b.assertForwarded(t, request, size, wait+answerTolerance)
				})
			}
		}
	}
}

// What an upstream has written of a response is forwarded while the upstream rests. Guards against a limit for buffering that is only
// looked at when more arrives.
func TestBegunResponseIsForwardedWhileItsUpstreamRests(t *testing.T) {
	const (
		rest     = 2500 * time.Millisecond
		longest  = 2 * time.Second // by the operators' rules
		longSize = 3 * bodybudget.MaxBuffered
	)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		size, _ := strconv.Atoi(r.Header.Get("X-Size"))
		return writeWithRest(c, r, size, rest)
	})
	b := newBalancer(t, membersAt(upstream, concurrentRests)...)
	for _, size := range []int{bodybudget.MaxBuffered / 2, longSize} {
		for _, form := range []string{"length", "one chunk", "close"} {
			for _, point := range restPoints {
				request := b.newRequest("checkin", "", "X-Form", form, "X-Rest", point.name, "X-Size", strconv.Itoa(size))
				t.Run(fmt.Sprintf("%d bytes, %s, %s", size, form, point.name), func(t *testing.T) {
					t.Parallel()
					b.assertForwarded(t, request, size, longest)
				})
			}
		}
	}
}

// A client that leaves while the upstream of its response rests is noticed in time, before the response is forwarded and after.
func TestClientThatLeavesDuringARestIsNoticed(t *testing.T) {
	for name, stay := range map[string]time.Duration{"buffered": timelimit.BufferLongResponse / 4, "forwarded": 2 * timelimit.BufferLongResponse} {
		t.Run(name, func(t *testing.T) {
			begun, closed := make(chan struct{}), make(chan time.Time, 1)
			upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf")
				close(begun)
				_, _ = c.Read(make([]byte, 1)) // until the balancer ends the attempt
				closed <- time.Now()
				return false
			})
			b := newBalancer(t, activeMember("s-00000001", upstream))
			client := b.sendRaw(t, "checkin", "")
			<-begun
			time.Sleep(stay)
			left := time.Now()
			client.Close()
			if took := (<-closed).Sub(left); took > disconnectGrace {
				t.Errorf("the attempt ended %v after the client had left, want %v at most", took, disconnectGrace)
			}
			b.awaitSettled(t)
		})
	}
}

// A response that breaks off is requested again while it is buffered, and is recognized as truncated after that.
func TestBegunResponseThatBreaksOffIsRequestedAgain(t *testing.T) {
	for _, x := range []struct {
		name  string
		rest  time.Duration
		whole bool
	}{
		{"while it is buffered", timelimit.BufferLongResponse / 2, true},
		{"while it is forwarded", 2 * timelimit.BufferLongResponse, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			first := true // one request at a time
			upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				if !first {
					return respondOK(c, r)
				}
				first = false
				io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
				time.Sleep(x.rest)
				c.(*net.TCPConn).SetLinger(0)
				return false
			})
			b := newBalancer(t, activeMember("s-00000001", upstream))
			resp, err := b.client.Do(b.newRequest("read", ""))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assertEqual(t, "complete", err == nil, x.whole)
			assertEqual(t, "response is that of the second attempt", string(body) == "done", x.whole)
			b.awaitSettled(t)
		})
	}
}

// A response that has begun is forwarded although no memory is left for its buffer.
func TestBegunResponseIsForwardedWithoutABudget(t *testing.T) {
	const size = bodybudget.MaxBuffered / 2
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		return writeWithRest(c, r, size, 2*timelimit.BufferLongResponse)
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	defer uploadForm{noBudget: true}.useUpBudget(b)()
	for _, form := range []string{"length", "one chunk", "close"} {
		for _, point := range restPoints {
			status, body := b.do(t, b.newRequest("checkin", "", "X-Form", form, "X-Rest", point.name))
			if status != http.StatusOK || len(body) != size {
				t.Errorf("%s, %s: status %d with %d of %d bytes", form, point.name, status, len(body), size)
			}
		}
	}
}

// A timeout or a cancellation leaves an attempt alone whose response has begun: for good if it may be long, and for the time in which
// such a one is buffered if it is short. Guards against giving up a response that is arriving.
func TestAttemptWhoseResponseHasBegunGoesOn(t *testing.T) {
	for name, x := range map[string]struct {
		begun              responseBegin
		endsAtOnce, endsIn bool // by the timeout, and by the time for buffering after it
	}{
		"no response":    {noResponse, true, true},
		"short response": {shortResponse, false, true},
		"long response":  {longResponse, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, giveUp := range []func(l *loop, a *attempt){
				func(l *loop, a *attempt) { l.expireAttempt(a) },
				func(l *loop, a *attempt) { l.postpone(a, balancer.Cancelled); l.deliverOutcomes() },
			} {
				l := newTestLoop(t, 2)
				endpoint := &endpoint{id: 1, inFlight: map[*attempt]struct{}{}}
				a := &attempt{request: l.addRequest(1), endpoint: endpoint, conn: newUpstreamConn(&deadlineRecorder{})}
				a.request.undelivered = 1
				a.stage.Store(attemptClaimed)
				a.begunAt.Store(int64(l.now()))
				a.begun.Store(x.begun)
				giveUp(l, a)
				assertEqual(t, "ended at once", a.outcomeDelivered, x.endsAtOnce)
				time.Sleep(timelimit.BufferLongResponse + 10*time.Millisecond)
				l.fireTimers()
				assertEqual(t, "ended after the time for buffering", a.outcomeDelivered, x.endsIn)
				l.expireRequest(a.request)
				assertEqual(t, "ended at the deadline", a.outcomeDelivered, x.begun != longResponse)
			}
		})
	}
}
