package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// clientRequest is a request as a client sends it. A retry by the client is another one.
type clientRequest struct {
	seenUpstream           atomic.Bool // an upstream has received it
	id                     uint64
	arrival, number, class int // number: of the retry; 0: the first
	method, path, key      string
	body                   []byte
	balancer               int // history.None: not chosen yet
	deadline               time.Duration
	leavesAt               time.Duration // when the client disconnects; 0: it stays
	wroteAt                time.Duration
	tenant, cookie         string
}

// event is an event of this request.
func (q *clientRequest) event(kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: q.id,
		Arrival:   int32(q.arrival),
		Retry:     int8(q.number),
		Class:     int16(q.class),
		Balancer:  int32(q.balancer),
		Upstream:  history.None,
	}
}

// zoneClients is the clients of a zone. They share a retry budget.
type zoneClients struct {
	mu   sync.Mutex
	zone *client.Zone
}

// arrive counts an arrival.
func (z *zoneClients) arrive() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.zone.AddRequest()
}

// retry reports whether a client retries, and after how long.
func (z *zoneClients) retry(class int, result client.Result, tries int, left, retryAfter time.Duration, draw float64) (time.Duration, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.zone.Retry(class, result, tries, left, retryAfter, draw)
}

// sendArrivals begins each arrival at its time, whether or not earlier ones have ended. It returns when all have ended.
func (r *run) sendArrivals(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	zones := make([]*zoneClients, len(r.fleet.Zones))
	for z := range zones {
		zones[z] = &zoneClients{zone: client.NewZone(r.day)}
	}
	r.lateness = make([]time.Duration, len(r.arrivals))
	runtime.LockOSThread() // a thread of its own sleeps more exactly than a goroutine
	defer runtime.UnlockOSThread()
	for i, a := range r.arrivals {
		if ctx.Err() != nil {
			return
		}
		sleepUntil(r.origin.Add(a.At))
		inFlight.Go(func() {
			r.lateness[i] = r.now() - a.At
			r.runClient(ctx, i, zones[a.Zone])
		})
	}
}

// sleepUntil blocks the thread until a time.
func sleepUntil(t time.Time) {
	for d := time.Until(t); d > 0; d = time.Until(t) {
		ts := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&ts, nil) // a signal may end it early: the loop then sleeps for the rest
	}
}

// runClient is a client: it sends arrival i, and retries as its behaviour permits.
func (r *run) runClient(ctx context.Context, i int, zone *zoneClients) {
	a := r.arrivals[i]
	deadline := a.At + r.day.Classes[a.Class].Deadline.D()
	draws := rand.New(rand.NewPCG(r.day.Seed, uint64(i)))
	zone.arrive()
	for number := 0; ; number++ {
		q := r.newRequest(i, number, deadline)
		end := r.sendRequest(ctx, q)
		wait, retries := zone.retry(a.Class, end.result, number+1, deadline-r.now(), end.retryAfter, draws.Float64())
		if !retries {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// newRequest makes the request of arrival i, or its retry with a number, and lets upstreams know it.
func (r *run) newRequest(i, number int, deadline time.Duration) *clientRequest {
	a := r.arrivals[i]
	class := r.day.Classes[a.Class]
	q := &clientRequest{
		id:       r.day.RequestID(i, number),
		arrival:  i,
		number:   number,
		class:    a.Class,
		method:   http.MethodGet,
		path:     fmt.Sprintf("/%s/%d", class.Name, i),
		balancer: history.None,
		deadline: deadline,
	}
	if a.Leaves > 0 && number == 0 {
		q.leavesAt = a.At + a.Leaves
	}
	if class.Repeat != "safe" {
		q.method = http.MethodPost
		q.body = fmt.Appendf(nil, "order %d of the day\n", i)
	}
	if class.Repeat == "keyed" {
		q.key = fmt.Sprintf("%016x%016x", r.day.Seed, i)
	}
	if a.HasKey {
		q.cookie = fmt.Sprintf("%016x", a.Key)
	}
	if a.Tenant >= 0 {
		q.tenant = r.day.Tenants[a.Tenant].Name
	}
	r.recorder.addRequest(q)
	return q
}
