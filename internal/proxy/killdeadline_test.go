package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sprucehill/internal/bodybudget"
	"sprucehill/internal/timelimit"
)

// SIGKILL follows SIGTERM after a known time, and a late request that has not been answered by then is lost. The deadline of a
// late request is therefore shortly before SIGKILL, however long its client would wait; an earlier request keeps its own.
func TestLateRequestIsAnsweredBeforeSIGKILL(t *testing.T) {
	b := newBalancer(t)
	f := b.proxy.frontend
	const shutdownAt, timeout = time.Hour, 9 * time.Second
	f.lifecycle.shutdown.startedAt.Store(int64(shutdownAt))
	assertEqual(t, "while it serves", f.lifecycle.schedule().BeforeKill(shutdownAt+2*time.Second, timeout), timeout)
	f.lifecycle.shutdown.begun.Store(true)
	for _, x := range []struct{ longest, since, want time.Duration }{
		{4 * time.Second, timelimit.KillDelay - timelimit.ResponseMargin - 1, timeout},
		{4 * time.Second, timelimit.KillDelay - timelimit.ResponseMargin, timelimit.KillDeadlineCap},
		{4 * time.Second, 2 * time.Second, 1350 * time.Millisecond},
		{time.Second, 2 * time.Second, 0},
		{time.Second, time.Second, 350 * time.Millisecond},
	} {
		f.lifecycle.longestDeadline = x.longest
		assertEqual(t, x.since.String()+" after SIGTERM", f.lifecycle.schedule().BeforeKill(shutdownAt+x.since, timeout), x.want)
	}
	f.lifecycle.shutdown.startedAt.Store(int64(f.now() - 4*time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(b.sendRaw(t, "checkin", "")), nil)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "too late to be sent", resp.StatusCode, http.StatusServiceUnavailable)
}

// The deadline of an upload counts from its last byte, and so does the limit by SIGKILL, however early the upload began. Guards
// against giving an upload that began before SIGTERM its complete timeout, beyond SIGKILL.
func TestUploadIsAnsweredBeforeSIGKILL(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := newBalancer(t, activeMember("s-00000001", upstream))
	f := b.proxy.frontend
	body, client := io.Pipe()
	r := b.newRequest("checkin", "")
	r.Body, r.ContentLength = body, 2*bodybudget.MaxBuffered
	status := make(chan int, 1)
	go func() {
		got, _ := b.do(t, r)
		status <- got
	}()
	if _, err := client.Write(make([]byte, 2*bodybudget.MaxBuffered-1)); err != nil {
		t.Fatal(err)
	}
	var q *request
	b.await(t, "the upload is forwarded", func(l *loop) bool {
		for _, q = range l.requests {
			return len(q.attempts) > 0
		}
		return false
	})
	f.lifecycle.shutdown.startedAt.Store(int64(f.now() - time.Second)) // the shutdown begins while the body is sent
	f.lifecycle.shutdown.begun.Store(true)
	if _, err := client.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
	client.Close()
	<-upstream.arrivals
	b.await(t, "the deadline is set", func(*loop) bool { return q.deadline != noDeadline })
	b.runInLoop(t, func(*loop) {
		kill := time.Duration(f.lifecycle.shutdown.startedAt.Load()) + min(f.lifecycle.longestDeadline, timelimit.KillDeadlineCap) + timelimit.KillDelay
		if q.deadline >= kill {
			t.Errorf("deadline is %v after SIGKILL, want it before", q.deadline-kill)
		}
	})
	close(release)
	assertEqual(t, "status", <-status, 200)
}
