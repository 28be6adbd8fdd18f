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
	// overQuotaWeightRatio is the priority weight of a request over its tenant's quota, as a part of its class's.
	overQuotaWeightRatio = 0.05
	// maxWorstRequests is how many of the slowest and failed requests the report has.
	maxWorstRequests = 20
)

// Outcome is how a client's request ended, over all its tries. A better one is lower.
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

func (e Outcome) String() string { return outcomeNames[e] }

// Request is a client's request with its outcome.
type Request struct {
	Arrival     int
	Outcome     Outcome
	Latency     time.Duration // to its last answer; 0: none
	Tries       int           // by the client
	Attempts    int           // that came to upstreams
	weight      float64
	withinQuota bool
}

// Requests follows each arrival through the history.
func Requests(d *scenario.Scenario, arrivals []scenario.Arrival, events []history.Event) []Request {
	requests := make([]Request, len(arrivals))
	quotas := make([]quotaBucket, len(d.Tenants))
	for i, a := range arrivals {
		r := Request{Arrival: i, Outcome: NotConnected, weight: d.Classes[a.Class].Worth, withinQuota: true}
		if a.Tenant >= 0 && d.Tenants[a.Tenant].Quota > 0 {
			r.withinQuota = quotas[a.Tenant].take(d.Tenants[a.Tenant].Quota, a.At)
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
		requests[e.Arrival].apply(e, a.At, d.Classes[a.Class].Aim.D())
	}
	return requests
}

// apply takes an event of the request, which arrived at arrivedAt and has a latency objective.
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
		if r.served() { // the first good answer counts
			return
		}
		r.Latency = e.At - arrivedAt
		r.Outcome = outcomeOf(e.Result, r.Latency, objective)
	}
}

// served reports whether the request has had a good answer.
func (r *Request) served() bool { return r.Outcome <= ServedLate }

// outcomeOf is how an answered request ended.
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
// quota. It takes the quota of one second at once.
type quotaBucket struct {
	level float64
	at    time.Duration
}

// take reports whether a request is within a quota in requests a second, and counts it if it is.
func (b *quotaBucket) take(quota float64, now time.Duration) bool {
	b.level = max(0, b.level-quota*(now-b.at).Seconds())
	b.at = now
	if b.level+1 > max(quota, 1) {
		return false
	}
	b.level++
	return true
}

// worstRequests returns the requests that ended worst: the highest priority weight first, then the slowest.
func worstRequests(requests []Request) []Request {
	worst := slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return r.Outcome == ServedInTime || r.Outcome == ClientLeft })
	slices.SortStableFunc(worst, func(a, b Request) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.Latency, a.Latency), cmp.Compare(a.Arrival, b.Arrival))
	})
	return worst[:min(len(worst), maxWorstRequests)]
}
