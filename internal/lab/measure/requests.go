package measure

import (
	"cmp"
	"slices"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

const (
	// overQuotaWeightRatio is the priority weight of a request over its tenant's quota, as a fraction of its class's.
	overQuotaWeightRatio = 0.05
	// maxWorstRequests bounds the slowest and failed requests that the report shows.
	maxWorstRequests = 20
)

// Outcome is how a client's request ended, over all its tries. Lower is better.
type Outcome uint8

// The outcomes. In time is within the latency objective of the request's class.
const (
	ServedInTime Outcome = iota
	ServedLate
	Rejected
	Failed
	NotConnected
	ClientLeft
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"served in time", "served late", "refused", "failed", "not connected", "left early"}

func (o Outcome) String() string { return outcomeNames[o] }

// Request is a client's request, its retries included, with its outcome.
type Request struct {
	Arrival     int
	Outcome     Outcome
	Latency     time.Duration // to the response that set Outcome; 0 without a response
	Tries       int           // by the client
	Attempts    int           // attempts that reached upstreams
	weight      float64
	withinQuota bool
}

// Requests returns the request of each arrival with its outcome in the history.
func Requests(sc *scenario.Scenario, arrivals []scenario.Arrival, events []history.Event) []Request {
	requests := make([]Request, len(arrivals))
	quotas := make([]quotaBucket, len(sc.Tenants))
	for i, a := range arrivals {
		r := Request{Arrival: i, Outcome: NotConnected, weight: sc.Classes[a.Class].Worth, withinQuota: true}
		if a.Tenant >= 0 && sc.Tenants[a.Tenant].Quota > 0 {
			r.withinQuota = quotas[a.Tenant].take(sc.Tenants[a.Tenant].Quota, a.At)
			if !r.withinQuota {
				r.weight *= overQuotaWeightRatio
			}
		}
		requests[i] = r
	}
	for _, e := range events {
		if e.Kind >= history.Stray || e.Arrival < 0 {
			continue
		}
		a := arrivals[e.Arrival]
		requests[e.Arrival].apply(e, a.At, sc.Classes[a.Class].Aim.D())
	}
	return requests
}

// apply updates the request by an event. arrivedAt is the time of its arrival, objective its latency objective.
func (r *Request) apply(e history.Event, arrivedAt, objective time.Duration) {
	switch e.Kind {
	case history.Sent:
		r.Tries = max(r.Tries, int(e.Retry)+1)
		if !r.served() {
			r.Outcome = Failed
		}
	case history.NotConnected:
		r.Tries = max(r.Tries, int(e.Retry)+1)
		if !r.served() {
			r.Outcome = NotConnected
		}
	case history.Arrived, history.Rejected:
		r.Attempts++
	case history.ClientLeft:
		r.Outcome = ClientLeft
	case history.Answered:
		if r.served() { // the first successful response counts
			return
		}
		r.Latency = e.At - arrivedAt
		r.Outcome = outcomeOf(e.Result, r.Latency, objective)
	}
}

// served reports whether the request has had a successful response.
func (r *Request) served() bool { return r.Outcome <= ServedLate }

// outcomeOf returns the outcome of a request that got a response.
func outcomeOf(result client.Result, latency, objective time.Duration) Outcome {
	switch {
	case result == client.Rejected:
		return Rejected
	case result != client.Served:
		return Failed
	case latency <= objective:
		return ServedInTime
	}
	return ServedLate
}

// quotaBucket is a leaky bucket of a tenant's requests: its level rises with each request and falls at the rate of the
// quota. It admits a burst of one second's quota.
type quotaBucket struct {
	level float64
	at    time.Duration
}

// take reports whether a request is within a quota, given in requests per second, and counts it if so.
func (b *quotaBucket) take(quota float64, now time.Duration) bool {
	b.level = max(0, b.level-quota*(now-b.at).Seconds())
	b.at = now
	if b.level+1 > max(quota, 1) {
		return false
	}
	b.level++
	return true
}

// worstRequests returns the worst of the requests that were not served in time: the highest priority weight first, then the
// slowest.
func worstRequests(requests []Request) []Request {
	worst := slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return r.Outcome == ServedInTime || r.Outcome == ClientLeft })
	slices.SortStableFunc(worst, func(a, b Request) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.Latency, a.Latency), cmp.Compare(a.Arrival, b.Arrival))
	})
	return worst[:min(len(worst), maxWorstRequests)]
}
