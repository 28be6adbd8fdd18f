package hostile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The limits of a Swarm.
const (
	// maxCrowd bounds the clients of one misuse.
	maxCrowd = 100
	// maxRunning bounds the misuses that run at a time.
	maxRunning = 3
	// maxStep bounds the time between the beginnings of two misuses.
	maxStep = 300 * time.Millisecond
	// misuseLimit bounds the time of a client that waits for an answer.
	misuseLimit = 4 * time.Second
)

// Swarm plays misuses against a balancer, drawn from a seed. Its classes are those of the balancer's settings.
type Swarm struct {
	Address     string
	Record      *Record       // gets the disconnects of clients
	SafeClass   string        // may be executed any number of times, by GET
	UnsafeClass string        // may be executed once, by POST
	Deadline    time.Duration // of the requests
	Random      *rand.Rand    // draws; used by Run only
	IDPrefix    string        // begins the request IDs
	sequence    int
}

// misuse plays one misuse until it ends by itself or the context ends.
type misuse func(ctx context.Context)

// Run plays misuses until the context ends, and returns how many of each kind there were.
func (s *Swarm) Run(ctx context.Context) map[string]int {
	kinds := []struct {
		name string
		draw func() misuse
	}{
		{"flood", s.drawFlood}, {"heads of many fields", s.drawHeads}, {"stalled requests", s.drawStalled}, {"leave", s.drawLeave},
		{"leave", s.drawLeave}, {"repeat", s.drawRepeat}, {"repeat", s.drawRepeat}, {"slow reader", s.drawSlowReader},
		{"reconnect", s.drawReconnect}, {"trailers", s.drawTrailers},
	}
	played := map[string]int{}
	free := make(chan struct{}, maxRunning)
	var running sync.WaitGroup
	for ctx.Err() == nil {
		kind := kinds[s.Random.IntN(len(kinds))]
		play := kind.draw()
		played[kind.name]++
		free <- struct{}{}
		running.Go(func() {
			defer func() { <-free }()
			play(ctx)
		})
		select {
		case <-ctx.Done():
		case <-time.After(s.upTo(maxStep)):
		}
	}
	running.Wait()
	return played
}

// upTo draws a duration.
func (s *Swarm) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.Random.Int64N(int64(limit)))
}

// newSafeRequest returns a request of the safe class with an ID of its own.
func (s *Swarm) newSafeRequest() Request {
	s.sequence++
	return Request{Class: s.SafeClass, ID: fmt.Sprintf("%s%08x", s.IDPrefix, s.sequence), Deadline: s.Deadline}
}

// newUnsafeRequest returns a request of the unsafe class with an ID of its own.
func (s *Swarm) newUnsafeRequest() Request {
	r := s.newSafeRequest()
	r.Class = s.UnsafeClass
	r.Method = "POST"
	return r
}

// newRequest draws a request of one of the classes.
func (s *Swarm) newRequest() Request {
	if s.Random.IntN(2) == 0 {
		return s.newUnsafeRequest()
	}
	return s.newSafeRequest()
}

// newRequests draws the requests of a crowd.
func (s *Swarm) newRequests(count int, change func(r *Request)) []Request {
	requests := make([]Request, count)
	for i := range requests {
		requests[i] = s.newRequest()
		change(&requests[i])
	}
	return requests
}

// exchangeAll returns the misuse of a crowd that sends requests at once.
func (s *Swarm) exchangeAll(requests []Request) misuse {
	return func(ctx context.Context) {
		Crowd(len(requests), func(i int) Response { return Exchange(ctx, s.Address, requests[i], misuseLimit) })
	}
}

func (s *Swarm) drawFlood() misuse {
	texts := []string{
		"GET /no/x HTTP/1.1\r\nHost: h\r\nX-Class: no\r\n\r\n",
		"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /no/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		strings.Repeat("x", 4000),
		string(Request{Class: "no", ID: "1", FieldCount: 2000}.Head()),
	}
	text := []byte(texts[s.Random.IntN(len(texts))])
	clients, duration := 1+s.Random.IntN(8), s.upTo(time.Second)
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		Flood(ctx, s.Address, clients, func() []byte { return text })
	}
}

func (s *Swarm) drawReconnect() misuse {
	texts := []string{"", "GET /no/x HTTP/1.1\r\nHost: h\r\n\r\n", "POST /no/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhal"}
	text := []byte(texts[s.Random.IntN(len(texts))])
	clients, duration := 1+s.Random.IntN(8), s.upTo(time.Second)
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		Reconnect(ctx, s.Address, clients, func() []byte { return text })
	}
}

func (s *Swarm) drawTrailers() misuse {
	fields := s.Random.IntN(1200)
	requests := s.newRequests(1+s.Random.IntN(maxCrowd), func(r *Request) {
		r.Method, r.Class, r.Chunked, r.BodyLength, r.Trailers = "POST", s.UnsafeClass, true, 10, fields
	})
	return s.exchangeAll(requests)
}

func (s *Swarm) drawHeads() misuse {
	fields, length := s.Random.IntN(2500), s.Random.IntN(4)
	requests := s.newRequests(1+s.Random.IntN(maxCrowd), func(r *Request) { r.FieldCount, r.FieldBytes = fields, length })
	return s.exchangeAll(requests)
}

func (s *Swarm) drawStalled() misuse {
	length, chunked := 1+s.Random.IntN(2<<20), s.Random.IntN(2) == 0
	requests := s.newRequests(1+s.Random.IntN(maxCrowd), func(r *Request) {
		r.Method, r.Class, r.BodyLength, r.Chunked = "POST", s.UnsafeClass, length, chunked
	})
	sent := 1 + s.Random.IntN(length)
	return func(ctx context.Context) {
		Crowd(len(requests), func(i int) Response { return StalledRequest(ctx, s.Address, requests[i], sent, misuseLimit) })
	}
}

func (s *Swarm) drawLeave() misuse {
	excesses := []int{0, 1, 5000, 1 << 20, 8 << 20, 30 << 20}
	request, excess, wait := s.newRequest(), excesses[s.Random.IntN(len(excesses))], s.upTo(400*time.Millisecond)
	return func(ctx context.Context) { Leave(ctx, s.Address, request, wait, excess, s.Record) }
}

// drawRepeat draws a request whose client leaves, and whose ID comes again some times.
func (s *Swarm) drawRepeat() misuse {
	request, wait := s.newUnsafeRequest(), s.upTo(100*time.Millisecond)
	pauses := make([]time.Duration, 1+s.Random.IntN(3))
	for i := range pauses {
		pauses[i] = s.upTo(600 * time.Millisecond)
	}
	return func(ctx context.Context) {
		var first Record // the ID comes again, so that later arrivals are not those of the client that has left
		Leave(ctx, s.Address, request, wait, 0, &first)
		for _, pause := range pauses {
			time.Sleep(pause)
			Exchange(ctx, s.Address, request, misuseLimit)
		}
	}
}

func (s *Swarm) drawSlowReader() misuse {
	requests := s.newRequests(1+s.Random.IntN(maxCrowd), func(r *Request) { r.Query = "size=300000" })
	pause := s.upTo(50 * time.Millisecond)
	return func(ctx context.Context) {
		Crowd(len(requests), func(i int) Response {
			ReadSlowly(ctx, s.Address, requests[i], pause, misuseLimit/2)
			return Response{}
		})
	}
}
