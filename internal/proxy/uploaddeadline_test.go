package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"sprucehill/internal/discovery"
	"sprucehill/internal/timelimit"
)

const (
	// answerTolerance is how long after its time a request may be answered, by the operators' rules.
	answerTolerance = 500*time.Millisecond + 50*time.Millisecond
	// forwardedTolerance is by how much a forwarded deadline may exceed the time that is left, by the operators' rules.
	forwardedTolerance = 150 * time.Millisecond
)

// sentUpload is an upload whose last byte has arrived at the balancer's machine.
type sentUpload struct {
	form      uploadForm
	conn      net.Conn
	arrivedAt time.Time
}

// sendUploads sends an upload in each form, each on its own connection. Those that need an exhausted body budget come last;
// the budget stays used up until restoreBudget is called.
func sendUploads(t *testing.T, b *testBalancer, forms []uploadForm, timeout time.Duration) (sent []sentUpload, restoreBudget func()) {
	t.Helper()
	restoreBudget = func() {}
	usedUp := false
	for _, form := range forms {
		if form.noBudget && !usedUp {
			// All other forms have reserved their part of the budget, once they wait.
			b.await(t, "the uploads before have been received", func(l *loop) bool { return len(l.requests) == len(sent) })
			restoreBudget, usedUp = form.useUpBudget(b), true
		}
		c := form.send(t, b, "X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
		sent = append(sent, sentUpload{form, c, time.Now()})
	}
	return sent, restoreBudget
}

// assertAnswered waits for the final answer to an upload, and fails the test if it does not come in time.
func (u sentUpload) assertAnswered(t *testing.T, timeout time.Duration, statuses ...int) {
	t.Helper()
	u.conn.SetReadDeadline(u.arrivedAt.Add(failureTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	elapsed := time.Since(u.arrivedAt)
	if err != nil {
		t.Errorf("%s: no answer: %v", u.form.name, err)
		return
	}
	if elapsed > timeout+answerTolerance {
		t.Errorf("%s: answered %d after %v, its client waits %v", u.form.name, resp.StatusCode, elapsed, timeout)
	}
	if !slices.Contains(statuses, resp.StatusCode) {
		t.Errorf("%s: status %d, want one of %v", u.form.name, resp.StatusCode, statuses)
	}
}

// fleetOf returns as many list entries for one upstream as there are forms of an upload, so that none of them queues.
func fleetOf(upstream *testUpstream) []discovery.Entry { return membersAt(upstream, len(uploadForms)) }

// The time of an upload runs from when its last byte arrives at the balancer's machine, although its body is unread because its
// connection to an upstream is not established. Guards against an answer that comes only when the connection does: the time ran
// from the last write to the upstream.
func TestUploadIsAnsweredInTimeWhileItWaitsForAConnection(t *testing.T) {
	const timeout = 300 * time.Millisecond
	gate := newDialGate(t)
	upstream := newTestUpstream(t, respondOK)
	b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.openConn = gate.open }, fleetOf(upstream)...)
	sent, restoreBudget := sendUploads(t, b, uploadForms, timeout)
	time.AfterFunc(timeout+answerTolerance, gate.openAllNow) // a balancer that answers only then is too late
	for _, u := range sent {
		u.assertAnswered(t, timeout, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
		u.conn.Close()
	}
	gate.openAllNow()
	b.awaitSettledWith(t, restoreBudget)
	assertEqual(t, "requests at the upstream", len(upstream.arrivals), 0)
}

// The time of an upload runs while its body waits for an upstream that takes no more bytes. Guards against an answer that
// comes after the 5 s for which an upstream may take nothing, or after the whole timeout from the last write on.
func TestUploadIsAnsweredInTimeWhileItsUpstreamStalls(t *testing.T) {
	const timeout = 800 * time.Millisecond
	for name, goesOnAfter := range map[string]time.Duration{"for good": time.Minute, "nearly as long as the client waits": timeout - 50*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			upstream := newStalledUpstream(t)
			upstream.silent = true
			b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.openConn = openWithSmallBuffer }, fleetOf(&upstream.testUpstream)...)
			var forms []uploadForm
			for _, form := range uploadForms {
				form.size = max(form.size, 16*stalledBuffer) // more than the connection to the upstream takes
				forms = append(forms, form)
			}
			sent, restoreBudget := sendUploads(t, b, forms, timeout)
			release := time.AfterFunc(goesOnAfter-time.Since(sent[0].arrivedAt), func() { close(upstream.release) })
			for _, u := range sent {
				u.assertAnswered(t, timeout, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
				u.conn.Close()
			}
			if release.Stop() {
				close(upstream.release)
			}
			b.awaitSettledWith(t, restoreBudget)
		})
	}
}

// The forwarded deadline is the time that is left since the last byte of an upload arrived, also where it arrived unread, in
// the queue or before a first or second connection. Guards against forwarding the client's complete timeout.
func TestForwardedDeadlineOfAnUnreadUpload(t *testing.T) {
	const timeout, waiting = 2 * time.Second, 250 * time.Millisecond // a queued request is sent within 0.7 s or not at all
	for _, wait := range []uploadWait{waitsForEndpoint, waitsForConnection, waitsForRetry} {
		forms := uploadForms
		if wait == waitsForRetry {
			forms = forms[:2]
		}
		for _, form := range forms {
			t.Run(fmt.Sprintf("%s, %s", wait, form.name), func(t *testing.T) {
				upstream := newTestUpstream(t, respondOK)
				b, await, release := wait.start(t, upstream)
				restoreBudget := form.useUpBudget(b)
				c := form.send(t, b, "X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
				arrivedAt := time.Now()
				await()
				time.Sleep(waiting - time.Since(arrivedAt))
				release()
				sentUpload{form, c, arrivedAt}.assertAnswered(t, timeout, http.StatusOK)
				b.awaitSettledWith(t, restoreBudget)
				assertForwardedDeadline(t, upstream, timeout-waiting)
			})
		}
	}
}

// The limits by SIGKILL and by a drain count from when the last byte of an upload arrives, although it is unread. Guards against
// an upload that is answered after SIGKILL because its last byte was read late.
func TestUnreadUploadIsAnsweredBeforeSIGKILL(t *testing.T) {
	for _, state := range []processState{draining, shuttingDown} {
		for _, form := range uploadForms {
			t.Run(string(state)+", "+form.name, func(t *testing.T) {
				upstream := newTestUpstream(t, respondOK)
				b, await, release := waitsForConnection.start(t, upstream)
				restoreBudget := form.useUpBudget(b)
				f := b.proxy.frontend
				phase, limit := &f.lifecycle.shutdown, min(f.lifecycle.longestDeadline, timelimit.KillDeadlineCap)+timelimit.KillDelay
				if state == draining {
					phase, limit = &f.lifecycle.drain, timelimit.DrainLimit
				}
				began := f.now() - 2*time.Second
				phase.begin(began)
				c := form.send(t, b)
				await()
				b.await(t, "the time of the upload runs, and ends in time", func(l *loop) bool {
					for _, r := range l.requests {
						return r.deadline <= began+limit-timelimit.ResponseMargin
					}
					return false
				})
				release()
				sentUpload{form, c, time.Now()}.assertAnswered(t, limit, http.StatusOK)
				b.awaitSettledWith(t, restoreBudget)
				phase.end()
			})
		}
	}
}

// The time of a request runs while its connection waits to be accepted, or its last byte waits to be read because the process was
// held up, whether or not it has a body, buffered or not. Guards against forwarding the client's complete timeout.
func TestTimeRunsBeforeARequestIsRead(t *testing.T) {
	const timeout, waiting = 2 * time.Second, 400 * time.Millisecond
	for _, form := range []uploadForm{
		{name: "no body"},
		{name: "buffered body", size: 30 << 10},
		{name: "buffered body, chunked", size: 30 << 10, chunked: true},
		{name: "upload", size: 30 << 10, noBudget: true},
		{name: "upload, chunked", size: 30 << 10, noBudget: true, chunked: true},
	} {
		t.Run(form.name, func(t *testing.T) {
			upstream := newTestUpstream(t, respondOK)
			b, listener := newPausedBalancer(t, upstream)
			restoreBudget := form.useUpBudget(b)
			c := form.send(t, b, "X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
			arrivedAt := time.Now()
			time.Sleep(waiting)
			close(listener.resume)
			sentUpload{form, c, arrivedAt}.assertAnswered(t, timeout, http.StatusOK)
			b.awaitSettledWith(t, restoreBudget)
			assertForwardedDeadline(t, upstream, timeout-waiting)
		})
	}
}

// assertForwardedDeadline fails the test unless the upstream has received one request, with a deadline of at most the time that
// is left.
func assertForwardedDeadline(t *testing.T, upstream *testUpstream, left time.Duration) {
	t.Helper()
	if len(upstream.arrivals) != 1 {
		t.Fatalf("%d requests at the upstream, want 1", len(upstream.arrivals))
	}
	got := <-upstream.arrivals
	milliseconds, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
	if err != nil || time.Duration(milliseconds)*time.Millisecond > left+forwardedTolerance {
		t.Errorf("forwarded deadline is %d ms, %v, but its client waits only %v more", milliseconds, err, left)
	}
}
