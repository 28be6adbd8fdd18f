package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/bodybudget"
	"sprucehill/internal/timelimit"
)

const (
	// guaranteedRate is the rate, in bytes per second, at which the platform's slow peers read and write.
	guaranteedRate = 64 << 10
	// slowTime is how long a peer is slow: longer than a write to it may make no progress, and than the gaps in what is seen of it.
	slowTime = 16 * time.Second
	// longBody is the length of a long body in bytes: the longest that the platform's documentation says occurs.
	longBody = 32 << 20
)

// readSlowly reads at guaranteedRate, ten times a second, for slowTime.
func readSlowly(r io.Reader) error {
	const piecesPerSecond = 10
	buffer := make([]byte, guaranteedRate/piecesPerSecond)
	for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(time.Second / piecesPerSecond) {
		if _, err := io.ReadFull(r, buffer); err != nil {
			return err
		}
	}
	return nil
}

// bodyFraming returns what precedes a body of the given form and size, the end of the head included, and what follows it.
func bodyFraming(form string, size int) (beginning, end string) {
	switch form {
	case "length":
		return fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""
	case "one chunk":
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"
	default: // until the connection closes
		return "Connection: close\r\n\r\n", ""
	}
}

// writeLongResponse writes a successful response of longBody bytes in the given form.
func writeLongResponse(c net.Conn, form string) (reusable bool) {
	beginning, end := bodyFraming(form, longBody)
	io.WriteString(c, "HTTP/1.1 200 OK\r\n"+beginning)
	io.Copy(c, patternReader(longBody))
	_, err := io.WriteString(c, end)
	return err == nil && form != "close"
}

// A client that reads its response at the rate that the platform guarantees gets all of it, whatever its system buffers. Guards
// against giving up a client that reads because its socket does not become writable for timelimit.WriteStall.
func TestSlowReaderGetsItsWholeResponse(t *testing.T) {
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { return writeLongResponse(c, r.Header.Get("X-Form")) })
	b := newBalancer(t, activeMember("s-00000001", upstream))
	for _, x := range []struct {
		name, form string
		fast       int64 // bytes that the client reads at full speed first, which makes its system's buffer grow
	}{
		{"length", "length", 0},
		{"chunks", "one chunk", 0},
		{"until the connection closes", "close", 0},
		{"fast at first", "length", longBody / 2},
	} {
		request := b.newRequest("checkin", "", "X-Form", x.form)
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			resp, err := b.client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.CopyN(io.Discard, resp.Body, x.fast); err != nil {
				t.Fatal(err)
			}
			if err := readSlowly(resp.Body); err != nil {
				t.Fatalf("while the client read slowly: %v", err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Errorf("after the client had read slowly: %v", err)
			}
		})
	}
}

// The end of a response reaches its client after the upstream has rested for longer than timelimit.WriteStall. Guards against a
// limit for the client that runs while the upstream rests.
func TestEndOfAResponseFollowsALongRest(t *testing.T) {
	const (
		size = 2 * bodybudget.MaxBuffered
		rest = timelimit.WriteStall + time.Second
		wait = 2 * timelimit.WriteStall // of the client
	)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		beginning, end := bodyFraming(r.Header.Get("X-Form"), size)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+beginning)
		io.Copy(c, patternReader(size-1))
		time.Sleep(rest)
		_, err := io.WriteString(c, "x"+end)
		return err == nil
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	for _, form := range []string{"length", "one chunk"} {
		request := b.newRequest("checkin", "", "X-Form", form, "X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			status, body := b.do(t, request)
			assertEqual(t, "status", status, http.StatusOK)
			assertEqual(t, "length", len(body), size)
		})
	}
}

// An upstream that reads an upload at the rate that the platform guarantees gets all of it. Guards against giving up an upstream
// that reads because its socket does not become writable for a time.
func TestSlowlyReadUploadIsForwarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if readSlowly(r.Body) != nil {
					return
				}
				n, _ := io.Copy(io.Discard, r.Body)
				writeOK(c, fmt.Sprint(n > longBody/2))
			}()
		}
	}()
	b := newBalancer(t, activeMember("s-00000001", &testUpstream{addr: l.Addr().String()}))
	for _, form := range []string{"length", "one chunk"} {
		beginning, end := bodyFraming(form, longBody)
		t.Run(form, func(t *testing.T) {
			c, in := b.dial(t)
			t.Parallel()
			c.SetDeadline(time.Now().Add(slowTime + failureTimeout))
			go func() {
				io.WriteString(c, strings.Replace(checkinHead, "aa\r\n", fmt.Sprintf("%02x\r\n", 0xa0+len(form)), 1)+beginning)
				io.Copy(c, patternReader(longBody))
				io.WriteString(c, end)
			}()
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			assertEqual(t, "status", resp.StatusCode, http.StatusOK)
		})
	}
}

// A client that reads nothing of its response, and an upstream that reads nothing of an upload, are given up. Guards against a limit
// that never comes, since the systems of both ends accept much by themselves.
func TestPeerThatTakesNothingIsGivenUp(t *testing.T) {
	const longest = timelimit.WriteStall + 10*time.Second // with the time for which a slow peer may be unseen
	assertGivenUp := func(t *testing.T, began time.Time) {
		t.Helper()
		if took := time.Since(began); took < timelimit.WriteStall || took > longest {
			t.Errorf("given up after %v, want between %v and %v", took, timelimit.WriteStall, longest)
		}
	}
	// The balancers are the whole test's: they must not be stopped concurrently.
	ended := make(chan time.Time, 1)
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		began := time.Now()
		writeLongResponse(c, "length")
		ended <- began
		return false
	})
	withSlowClient := newBalancer(t, activeMember("s-00000001", upstream))
	withSlowUpstream := newBalancer(t, activeMember("s-00000001", &testUpstream{addr: newStalledUpstream(t).addr}))
	t.Run("client", func(t *testing.T) {
		b := withSlowClient
		b.sendRaw(t, "checkin", "")
		t.Parallel()
		assertGivenUp(t, <-ended)
		b.awaitClientsClosed(t)
		assertEqual(t, "closes", b.metric(t, `svc_client_closes{cause="stalled"}`), 1)
	})
	t.Run("upstream", func(t *testing.T) {
		c, in := withSlowUpstream.dial(t)
		t.Parallel()
		began := time.Now()
		go func() {
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", checkinHead, longBody)
			io.Copy(c, patternReader(longBody))
		}()
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		assertEqual(t, "status", resp.StatusCode, http.StatusServiceUnavailable)
		assertGivenUp(t, began)
	})
}

// A client that sends its body in small chunks, at the rate that the platform guarantees for its bytes on the wire, is served.
// Guards against a rate that counts only the data in the chunks.
func TestUploadInSmallChunksIsForwarded(t *testing.T) {
	const (
		chunkText  = "1\r\nx\r\n"
		chunkCount = 100_000
		pieces     = 10 // a second
		perPiece   = guaranteedRate / len(chunkText) / pieces
	)
	upstream := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", upstream))
	c, in := b.dial(t)
	go func() {
		io.WriteString(c, checkinHead+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent < chunkCount; sent += perPiece {
			if _, err := io.WriteString(c, strings.Repeat(chunkText, perPiece)); err != nil {
				return
			}
			time.Sleep(time.Second / pieces)
		}
		io.WriteString(c, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "status", resp.StatusCode, http.StatusOK)
}

// A response whose upstream writes the line before a chunk slowly is forwarded whole. Guards against a limit for an upstream's rest that
// runs until data arrives, though the framing before it does.
func TestSlowFramingOfAResponseIsNotARest(t *testing.T) {
	const (
		size  = 2 * bodybudget.MaxBuffered
		steps = 7
		pause = time.Second // steps pauses are longer than timelimit.UpstreamStall
	)
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
		io.Copy(c, patternReader(size))
		io.WriteString(c, "\r\n3;note=")
		for range steps {
			time.Sleep(pause)
			io.WriteString(c, "x")
		}
		_, err := io.WriteString(c, "\r\nend\r\n0\r\n\r\n")
		return err == nil
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	status, body := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, http.StatusOK)
	assertEqual(t, "length", len(body), size+len("end"))
	status, _ = b.do(t, b.newRequest("checkin", "")) // the connection is reused, and its limit is gone
	assertEqual(t, "status of the next request", status, http.StatusOK)
	assertEqual(t, "connections to the upstream", upstream.opened(), 1)
}

// A client that reads its response slowly gets all of it after a shutdown has begun, and so does the shutdown wait for it. Guards
// against a limit of a shutdown that cuts off clients that read.
func TestShutdownAwaitsASlowReader(t *testing.T) {
	const limit = classDeadline + timelimit.ShutdownLimit
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool { return writeLongResponse(c, "length") })
	b := newBalancer(t, activeMember("s-00000001", upstream))
	resp, err := b.client.Do(b.newRequest("checkin", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b.cancel()
	began := time.Now()
	if err := readSlowly(resp.Body); err != nil {
		t.Fatalf("while the client read slowly: %v", err)
	}
	if took := time.Since(began); took < limit {
		t.Fatalf("the client read slowly for %v, want at least %v", took, limit)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("after the client had read slowly: %v", err)
	}
	b.awaitEnd(t)
}

// A shutdown closes the connections of clients that take nothing at its limit. Guards against a shutdown that never ends.
func TestShutdownGivesUpAClientThatTakesNothing(t *testing.T) {
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
		io.Copy(c, patternReader(100_000))
		_, _ = c.Read(make([]byte, 1)) // until the balancer closes the connection
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	resp, err := b.client.Do(b.newRequest("checkin", "", "X-Deadline-Ms", "60000"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	began := time.Now()
	b.cancel()
	b.awaitEnd(t)
	if took, longest := time.Since(began), classDeadline+timelimit.ShutdownLimit+5*time.Second; took > longest {
		t.Errorf("the shutdown took %v, want %v at most", took, longest)
	}
}
