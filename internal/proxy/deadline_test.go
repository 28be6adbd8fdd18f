package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"sprucehill/balancer"
)

// An upstream gets the time that the balancer will wait from the moment at which the attempt is written, however late its
// connection comes up. It used to get the time that was left when the module had decided: 1.5 s too much where the
// connection came up 1.5 s late.
func TestForwardedDeadlineIsTakenWhenTheAttemptIsWritten(t *testing.T) {
	const (
		budget  = 3 * time.Second
		timeout = 2 * time.Second
		late    = 300 * time.Millisecond
	)
	for _, retry := range []bool{false, true} {
		for _, upload := range []bool{false, true} {
			for _, ownTimeout := range []time.Duration{0, timeout} {
				t.Run(fmt.Sprintf("retry %v, upload %v, time-out %v", retry, upload, ownTimeout), func(t *testing.T) {
					s, g := newTestUpstream(t, respondOK), newDialGate(t)
					l := newTestLoop(t, 10)
					l.dialer.openConn = recordingOpener(g.open)
					addEndpoint(l, 1, s)
					r := l.requestFor(1, budget)
					if upload {
						r.uploadOf(strings.NewReader("rest"), 4)
					}
					if retry { // the first attempt was dropped while it waited for its connection
						l.Send(1, 1, 0)
						r.attempts[0].drop()
						close(g.next(t).connect)
						(<-l.events).apply(l)
						l.CloseIdle(1)
					}
					began := l.now()
					l.Send(1, 1, ownTimeout)
					time.Sleep(late)
					close(g.next(t).connect)
					got := <-s.arrivals
					ms, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
					if err != nil {
						t.Fatal(err)
					}
					wait := budget // of an upload, from its last byte
					if ownTimeout > 0 {
						wait = ownTimeout - late
					} else if !upload {
						wait = r.deadline - began - late
					}
					if got := time.Duration(ms) * time.Millisecond; got > wait || got < wait/2 {
						t.Errorf("got %v, want at most %v and over half of it", got, wait)
					}
				})
			}
		}
	}
}

// An attempt whose connection comes up after its time is over is not written, whether the time of its request is over or
// its own time-out.
func TestAttemptWithNoTimeLeftIsNotWritten(t *testing.T) {
	const short = 50 * time.Millisecond
	for _, x := range []struct {
		name            string
		budget, timeout time.Duration
		upload          bool
	}{
		{"the request's time", short, 0, false},
		{"its own time-out", time.Minute, short, false},
		{"its own time-out, upload", time.Minute, short, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, g := newTestUpstream(t, respondOK), newDialGate(t)
			l := newTestLoop(t, 10)
			l.dialer.openConn = recordingOpener(g.open)
			addEndpoint(l, 1, s)
			r := l.requestFor(1, x.budget)
			if x.upload {
				r.uploadOf(strings.NewReader("rest"), 4)
			}
			l.Send(1, 1, x.timeout)
			assertEqual(t, "sent", r.undelivered, 1)
			time.Sleep(2 * short) // no timer fires: the loop is not running
			close(g.next(t).connect)
			e := (<-l.events).(attemptFinished)
			assertEqual(t, "outcome", e.result.status, balancer.NotSent)
			assertEqual(t, "its connection serves again", e.result.conn != nil, true)
			e.apply(l)
			assertEqual(t, "requests at the upstream", len(s.arrivals), 0)
		})
	}
}

// requestFor adds a request to a loop, whose client waits for budget from now on.
func (l *loop) requestFor(id balancer.RequestID, budget time.Duration) *request {
	r := l.addRequest(id)
	r.Timeout, r.deadline = budget, l.now()+budget
	clientLedger.add(r.message.header.Get("X-Request-Id"), budget)
	return r
}

// uploadOf turns a request into one whose body is still coming.
func (r *request) uploadOf(rest io.Reader, length int64) {
	r.Upload, r.deadline = true, noDeadline
	r.message.rest, r.message.contentLength = rest, length
	r.timeLeft = func(_, most time.Duration) time.Duration { return most }
	clientLedger.put(r.message.header.Get("X-Request-Id"), &clientRequest{budget: r.Timeout})
}

// The time of a request that was sent behind another counts from its own last byte, although it waits for its turn. It used
// to count from its turn, so that its upstream got too much time.
func TestPipelinedDeadlineCountsFromTheLastByte(t *testing.T) {
	const wait = 400 * time.Millisecond
	for _, x := range []struct {
		name    string
		inPiece bool // it comes in one piece with the first request
	}{
		{"later", false},
		{"in one piece", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, g := newTestUpstream(t, respondOK), newDialGate(t)
			b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.openConn = g.open }, activeMember("s-00000001", s))
			var text bytes.Buffer
			if err := b.newRequest("checkin", "").Write(&text); err != nil {
				t.Fatal(err)
			}
			now, later := "", text.String()
			if x.inPiece {
				now, later = later, ""
			}
			c := b.sendRaw(t, "checkin", now)
			up := g.next(t) // the first request waits for its connection
			if _, err := io.WriteString(c, later); err != nil {
				t.Fatal(err)
			}
			time.Sleep(wait)
			close(up.connect)
			g.openAllNow()
			in := bufio.NewReader(c)
			for range 2 {
				partialRequest{Conn: c, in: in}.answer(t) // the upstream checks its deadline against the ledger
			}
		})
	}
}
