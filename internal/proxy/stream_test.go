package proxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// noise is a reader of n bytes that don't repeat.
func patternReader(n int64) io.Reader { return io.LimitReader(&patternSource{}, n) }

type patternSource struct{ n byte }

func (c *patternSource) Read(p []byte) (int, error) {
	for i := range p {
		c.n = c.n*31 + 7
		p[i] = c.n
	}
	return len(p), nil
}

// dial opens a raw connection to a balancer.
func (b *testBalancer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute)) // only a failure takes as long
	return c, bufio.NewReader(c)
}

const checkinHead = "POST /checkin/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: 00000000000000aa\r\nX-Class: checkin\r\nX-Deadline-Ms: 4000\r\n"

// Large bodies and answers pass through whole, in every framing, on connections that serve again.
func TestLargeBodiesPassThrough(t *testing.T) {
	const size = 3 << 20
	sums := make(chan [32]byte, 10)
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		sums <- sha256.Sum256(body)
		switch r.Header.Get("X-Form") {
		case "length":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			io.Copy(c, patternReader(size))
			return true
		case "chunks":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for in := patternReader(size); ; {
				p := make([]byte, 70_001)
				n, _ := io.ReadFull(in, p)
				if n == 0 {
					break
				}
				fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", n, p[:n])
			}
			io.WriteString(c, "0\r\nX-Trailer: 1\r\n\r\n")
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") // ends with its connection
		io.Copy(c, patternReader(size))
		return false
	})
	b := newBalancer(t, up("s-00000001", s))
	for _, form := range []string{"length", "chunks", "close"} {
		for _, length := range []int64{size, -1} {
			r := b.ask("checkin", "", "X-Form", form)
			r.Body, r.ContentLength = io.NopCloser(patternReader(size)), length
			resp, err := b.client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				t.Fatal(err)
			}
			whole, _ := io.ReadAll(patternReader(size))
			want(t, form+": the answer is the upstream's", bytes.Equal(answer, whole), true)
			want(t, form+": the body is the client's", <-sums, sha256.Sum256(whole))
			want(t, form+": known length", resp.ContentLength == size, form == "length")
			want(t, form+": keeps", resp.Close, false)
		}
	}
	want(t, "passed", b.figure(t, `svc_passed{category="checkin"}`), 6)
	want(t, "in progress", b.figure(t, "svc_in_progress"), 0)
}

// Nothing is held back: what has come of an answer reaches the client while the upstream still writes.
func TestAnswerPassesOnAsItComes(t *testing.T) {
	more := make(chan struct{})
	s := newServer(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 1<<20)
		<-more
		_, err := io.Copy(c, patternReader(1<<20-5))
		return err == nil
	})
	b := newBalancer(t, up("s-00000001", s))
	resp, err := b.client.Do(b.ask("checkin", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "first" {
		t.Fatalf("got %q, %v", first, err)
	}
	close(more)
	n, err := io.Copy(io.Discard, resp.Body)
	want(t, "the rest", n, int64(1<<20-5))
	if err != nil {
		t.Error(err)
	}
}

// An answer that breaks off once it has begun is not repeated, and its client can tell.
func TestBrokenAnswerShows(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n20000\r\n"} {
		s := newServer(t, func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			io.Copy(c, patternReader(100_000))
			return false
		})
		b := newBalancer(t, up("s-00000001", s))
		resp, err := b.client.Do(b.ask("read", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%q: taken for whole", head)
		}
		want(t, "requests at the upstream", len(s.arrivals), 1)
	}
}

// An answer that says it is longer than any can be is spoilt: nothing of it is passed on, and a class that may run twice
// gets another. Its beginning once went to the client, with a connection that broke after it.
func TestAnswerOfAbsurdLengthIsNotPassedOn(t *testing.T) {
	for class, status := range map[string]int{"read": 200, "checkin": 502} {
		first := true // one request at a time
		s := newServer(t, func(c net.Conn, r *http.Request) bool {
			if !first {
				return okAll(c, r)
			}
			first = false
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nbeginning", maxResponseLength+1)
			return false
		})
		b := newBalancer(t, up("s-00000001", s))
		got, _ := b.do(t, b.ask(class, ""))
		want(t, class, got, status)
		b.settled(t)
	}
}

// The bound on what one answer may come to is no end of it: one of no length behind a head that takes most of the bound was
// served as whole where the bound cut it.
func TestBoundIsNoEndOfAnAnswer(t *testing.T) {
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", maxResponseRead-10_000)+"\r\n\r\n")
		io.Copy(c, patternReader(50_000))
		return false
	})
	b := newBalancer(t, up("s-00000001", s))
	status, _ := b.do(t, b.ask("checkin", ""))
	want(t, "status", status, 502)
	b.settled(t)
}

// The time of an upload begins with its last byte: a slow one outlives its deadline, and its upstream gets what has
// come as it comes.
func TestUploadTakesItsTime(t *testing.T) {
	began := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.ReadFull(r.Body, make([]byte, maxBody))
		close(began)
		io.Copy(io.Discard, r.Body)
		ok(c, "done")
	}()
	b := newBalancer(t, up("s-00000001", &server{addr: l.Addr().String()}))
	c, in := b.dial(t)
	fmt.Fprintf(c, "%sX-Deadline-Ms: 50\r\nContent-Length: %d\r\n\r\n", strings.Replace(checkinHead, "X-Deadline-Ms: 4000\r\n", "", 1), 2*maxBody)
	if _, err := io.CopyN(c, patternReader(maxBody+1), maxBody+1); err != nil {
		t.Fatal(err)
	}
	<-began // the upstream has it while the client still sends
	want(t, "in progress before it was taken", b.figure(t, "svc_in_progress"), 0)
	time.Sleep(100 * time.Millisecond) // past the deadline
	if _, err := io.CopyN(c, patternReader(maxBody-1), maxBody-1); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "status", resp.StatusCode, 200)
}

// A client that stops in the middle of a large body gets an error or a close, and the upstream never a whole request.
func TestUploadThatStops(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	c, in := b.dial(t)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", checkinHead, 4*maxBody)
	io.CopyN(c, patternReader(2*maxBody), 2*maxBody)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "status", resp.StatusCode, http.StatusRequestTimeout)
	want(t, "closes", resp.Close, true)
	want(t, "requests at the upstream", len(s.arrivals), 0)
	want(t, "attempts written whole", b.figure(t, "svc_upstream_tries"), 0)
}

// Once a part of an upload is gone it is never sent again; before that it may be.
func TestUploadIsSentOnce(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	b := newBalancer(t, up("s-00000001", s), up("s-00000002", &server{addr: dead.Addr().String()}))
	for range 3 { // the refused connection costs it nothing; the error does
		r := b.ask("checkin", "")
		r.Body, r.ContentLength = io.NopCloser(patternReader(4*maxBody)), -1
		status, _ := b.do(t, r)
		want(t, "status", status, http.StatusBadGateway)
	}
	want(t, "attempts at the upstream", len(s.arrivals), 3)
}

// Continue is said before the body, trailers and extensions are passed over, and a body may come byte by byte.
func TestFormsOfHTTP(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	c, in := b.dial(t)
	io.WriteString(c, checkinHead+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "interim", resp.StatusCode, http.StatusContinue)
	io.WriteString(c, "body")
	for i, text := range []string{"", strings.Replace(checkinHead, "/checkin", "http://x/checkin", 1) +
		"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1;a=b\r\nb\r\n3\r\nody\r\n0\r\nX-T: 1\r\n\r\n",
		"GET /read/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: ab\r\nX-Class: read\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		for j := range len(text) {
			if _, err := io.WriteString(c, text[j:j+1]); err != nil {
				t.Fatal(err)
			}
		}
		if resp, err = http.ReadResponse(in, nil); err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		want(t, "status", resp.StatusCode, 200)
		r := <-s.arrivals
		text, _ := io.ReadAll(r.Body)
		if i < 2 {
			want(t, "body", string(text), "body")
			want(t, "target", r.RequestURI, "/checkin/x")
		}
	}
}

// Many clients that read nothing of large answers cost no more than their buffers.
func TestAnswersWaitForTheirClients(t *testing.T) {
	var wrote [8]int64
	done := make(chan int, 8)
	next := 0
	s := newServer(t, func(c net.Conn, _ *http.Request) bool {
		i := next
		next++
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 64<<20)
		c.SetWriteDeadline(time.Now().Add(time.Second)) // nothing moves by then
		wrote[i], _ = io.Copy(c, patternReader(64<<20))
		done <- i
		return false
	})
	b := newBalancer(t, up("s-00000001", s))
	for range 2 {
		c, _ := b.dial(t)
		io.WriteString(c, checkinHead+"Content-Length: 0\r\n\r\n")
		if n := wrote[<-done]; n >= 32<<20 {
			t.Errorf("%d bytes were taken from the upstream with nobody to read them", n)
		}
	}
}

// What is held of bodies stays inside its budget: a body that finds no room is passed on as it comes, whole all the same,
// and every byte is given back.
func TestHeldBodiesHaveABudget(t *testing.T) {
	b := newBudget(20 << 10)
	for _, c := range []struct {
		size, length int64
		held         int
		whole        bool
	}{{0, 0, 0, true}, {300, 300, 300, true}, {300, -1, 300, true}, {16 << 10, 16 << 10, 16 << 10, true},
		{40 << 10, 40 << 10, 16 << 10, false}, {1 << 20, -1, 16 << 10, false}} {
		body, whole, err := b.readBody(patternReader(c.size), c.length, func() bool { return false })
		if err != nil || len(body) != c.held || whole != c.whole {
			t.Errorf("%d bytes of length %d: %d held, whole %v, %v", c.size, c.length, len(body), whole, err)
		}
		b.give(cap(body))
	}
	if _, _, err := b.readBody(patternReader(10), 20, func() bool { return false }); err != io.ErrUnexpectedEOF {
		t.Errorf("a short one: %v", err)
	}

	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 60<<10)
		_, err := io.Copy(c, patternReader(60<<10))
		return err == nil
	})
	p := newBalancer(t, up("s-00000001", s))
	held := p.proxy.loop.dial.held
	whole := held.free.Load()
	for _, room := range []int64{whole, 8 << 10} {
		held.free.Store(room)
		r := p.ask("checkin", "")
		r.Body, r.ContentLength = io.NopCloser(patternReader(60<<10)), 60<<10
		status, body := p.do(t, r)
		want(t, "status", status, 200)
		want(t, "answer", len(body), 60<<10)
		got, _ := io.ReadAll((<-s.arrivals).Body)
		want(t, "body", len(got), 60<<10)
		for deadline := time.Now().Add(30 * time.Second); held.free.Load() != room; { // its handler ends just after its answer
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes were not given back", room-held.free.Load())
			}
			runtime.Gosched()
		}
	}
}

// An answer without a length ends with its connection's close. A reset on the way is no end of it: what may run twice gets
// another, what may not has failed, and a client that has got a part can tell that it is not complete.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, x := range []struct {
		name, class string
		size        int64
		status      int // of a client that can be given another answer or an error; 0: it has got a part
	}{
		{"short, may run twice", "read", 100, 200},
		{"short, must not", "checkin", 100, 502},
		{"nothing but the head", "checkin", 0, 502},
		{"passed on as it comes", "read", 8 * maxBody, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			proceed := make(chan struct{})
			first := true // one request at a time
			s := newServer(t, func(c net.Conn, r *http.Request) bool {
				if !first {
					return okAll(c, r)
				}
				first = false
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				io.Copy(c, patternReader(x.size))
				if x.status == 0 {
					<-proceed // its client has the beginning; a reset throws away what has not been read
				}
				c.(*net.TCPConn).SetLinger(0)
				return false
			})
			b := newBalancer(t, up("s-00000001", s))
			resp, err := b.client.Do(b.ask(x.class, ""))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if x.status == 0 {
				if _, err := io.ReadFull(resp.Body, make([]byte, 1000)); err != nil {
					t.Fatal(err)
				}
				close(proceed)
				if _, err := io.Copy(io.Discard, resp.Body); err == nil {
					t.Error("a part was taken for a complete answer")
				}
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			want(t, "status", resp.StatusCode, x.status)
			want(t, "the answer is the second one's", string(body) == "done", x.status == 200)
		})
	}
}

// An answer that never ends is broken off: one that is held by its client's deadline, one that is passed on once nothing has
// come for as long as an upstream may pause, or once it is longer than any answer is. Its client gets an error, or can tell.
func TestAnswerThatNeverEndsIsBrokenOff(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for _, x := range []struct {
		name, beginning string
		endless         bool // bytes go on and on
		status          int  // 0: a part of the answer is passed on
	}{
		{"nothing", "", false, http.StatusGatewayTimeout},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", false, http.StatusGatewayTimeout},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false, http.StatusGatewayTimeout},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false, http.StatusGatewayTimeout},
		{"no length, endless", "HTTP/1.1 200 OK\r\n\r\n", true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newServer(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, x.beginning)
				if x.endless {
					io.Copy(c, &patternSource{}) // until the connection is closed
				} else {
					<-release
				}
				return false
			})
			b := newBalancer(t, up("s-00000001", s))
			defer close(release)
			resp, err := b.client.Do(b.ask("checkin", "", "X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			if x.status != 0 {
				want(t, "status", resp.StatusCode, x.status)
				return
			}
			if err == nil || n < maxResponseLength {
				t.Errorf("%d bytes were passed on, then %v; want a break behind %d", n, err, maxResponseLength)
			}
		})
	}
}

// A connection that never comes up has not carried its request: within the settings' time the request goes elsewhere, also
// one that must not run twice.
func TestConnectionThatNeverComesUp(t *testing.T) {
	dead, alive := newServer(t, okAll), newServer(t, okAll)
	b := newBalancerWith(t, newRegistry(t), func(c *Config) {
		connectTimeout := c.Links.ConnectTimeout
		c.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
			if timeout != connectTimeout {
				t.Errorf("a connection has %v to come up, the settings say %v", timeout, connectTimeout)
			}
			if address == dead.addr {
				time.Sleep(timeout)
				return nil, os.ErrDeadlineExceeded
			}
			return net.DialTimeout(network, address, timeout)
		}
	}, up("s-00000001", dead), up("s-00000002", alive))
	for range 4 {
		status, _ := b.do(t, b.ask("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the one that can be reached", len(alive.arrivals), 4)
}
