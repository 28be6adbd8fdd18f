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

// clientRequest is a request that a client sends. A retry by the client is a clientRequest of its own.
type clientRequest struct {
	seenUpstream                atomic.Bool // an upstream has received it
	id                          uint64
	arrival, retryNumber, class int // retryNumber: 0 for the first request of the arrival
	method, path, key           string
	body                        []byte
	balancer                    int // history.None: not selected yet
	deadline                    time.Duration
	disconnectsAt               time.Duration // when the client disconnects; 0: it waits for the answer
	sentAt                      time.Duration
	tenant, cookie              string
}

// event returns an event of this request.
func (q *clientRequest) event(kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: q.id,
		Arrival:   int32(q.arrival),
		Retry:     int8(q.retryNumber),
		Class:     int16(q.class),
		Balancer:  int32(q.balancer),
		Upstream:  history.None,
	}
}

// zoneClients is the clients of a zone, which share a retry budget. It is safe for concurrent use.
type zoneClients struct {
	mu   sync.Mutex
	zone *client.Zone
}

// arrive adds an arrival to the retry budget.
func (z *zoneClients) arrive() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.zone.AddRequest()
}

// retry reports whether a client retries, and after which delay.
func (z *zoneClients) retry(class int, result client.Result, requestsSent int, remaining, retryAfter time.Duration, draw float64) (time.Duration, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.zone.Retry(class, result, requestsSent, remaining, retryAfter, draw)
}

// sendArrivals sends each arrival at its time, whether or not earlier ones have been answered (an open-loop load). It
// returns when all have ended.
func (r *run) sendArrivals(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	zones := make([]*zoneClients, len(r.fleet.Zones))
	for z := range zones {
		zones[z] = &zoneClients{zone: client.NewZone(r.scenario)}
	}
	r.lateness = make([]time.Duration, len(r.arrivals))
	runtime.LockOSThread() // a sleeping thread wakes up more precisely than a goroutine's timer
	defer runtime.UnlockOSThread()
	for i, a := range r.arrivals {
		if ctx.Err() != nil {
			return
		}
		sleepUntil(r.startedAt.Add(a.At))
		inFlight.Go(func() {
			r.lateness[i] = r.now() - a.At
			r.runClient(ctx, i, zones[a.Zone])
		})
	}
}

// sleepUntil blocks the current thread until a point in time.
func sleepUntil(t time.Time) {
	for d := time.Until(t); d > 0; d = time.Until(t) {
		ts := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&ts, nil) // a signal may interrupt it: the loop then sleeps for the rest
	}
}

// runClient sends arrival i as its client does, with retries as the retry policy of clients permits.
func (r *run) runClient(ctx context.Context, i int, zone *zoneClients) {
	a := r.arrivals[i]
	deadline := a.At + r.scenario.Classes[a.Class].Deadline.D()
	draws := rand.New(rand.NewPCG(r.scenario.Seed, uint64(i)))
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

// newRequest returns the request of arrival i, or its retry of the given number, and registers it so that upstreams can
// look it up.
func (r *run) newRequest(i, number int, deadline time.Duration) *clientRequest {
	a := r.arrivals[i]
	class := r.scenario.Classes[a.Class]
	q := &clientRequest{
		id:          r.scenario.RequestID(i, number),
		arrival:     i,
		retryNumber: number,
		class:       a.Class,
		method:      http.MethodGet,
		path:        fmt.Sprintf("/%s/%d", class.Name, i),
		balancer:    history.None,
		deadline:    deadline,
	}
	if a.Leaves > 0 && number == 0 {
		q.disconnectsAt = a.At + a.Leaves
	}
	if class.Repeat != "safe" {
		q.method = http.MethodPost
		q.body = fmt.Appendf(nil, "order %d of the day\n", i)
	}
	if class.Repeat == "keyed" {
		q.key = fmt.Sprintf("%016x%016x", r.scenario.Seed, i)
	}
	if a.HasKey {
		q.cookie = fmt.Sprintf("%016x", a.Key)
	}
	if a.Tenant >= 0 {
		q.tenant = r.scenario.Tenants[a.Tenant].Name
	}
	r.recorder.addRequest(q)
	return q
}
