package measure

import (
	"cmp"
	"slices"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

const (
	// overQuotaWorth is what a request over its tenant's quota is worth, as a part of its class's worth.
	overQuotaWorth = 0.05
	// worstRequestsKept is how many of the slowest and failed requests the report has.
	worstRequestsKept = 20
)

// End is how a client's request ended, over all its tries. The best are the lowest.
type End uint8

// The ends.
const (
	InTime End = iota
	Late
	Refused
	Failed
	Unreached
	Left
	endCount
)

var endNames = [endCount]string{"served in time", "served late", "refused", "failed", "not connected", "left early"}

func (e End) String() string { return endNames[e] }

// Request is a client's request with what became of it.
type Request struct {
	Arrival     int
	End         End
	Latency     time.Duration // to its last answer; 0: none
	Tries       int           // by the client
	Attempts    int           // that came to upstreams
	worth       float64
	withinQuota bool
}

// Requests follows each arrival through the history.
func Requests(d *day.Day, arrivals []day.Arrival, events []history.Event) []Request {
	requests := make([]Request, len(arrivals))
	quotas := make([]quotaBucket, len(d.Tenants))
	for i, a := range arrivals {
		r := Request{Arrival: i, End: Unreached, worth: d.Classes[a.Class].Worth, withinQuota: true}
		if a.Tenant >= 0 && d.Tenants[a.Tenant].Quota > 0 {
			r.withinQuota = quotas[a.Tenant].take(d.Tenants[a.Tenant].Quota, a.At)
			if !r.withinQuota {
				r.worth *= overQuotaWorth
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

// apply takes an event of the request, which came at arrivedAt and has a latency objective.
func (r *Request) apply(e history.Event, arrivedAt, objective time.Duration) {
	switch e.Kind {
	case history.Sent:
		r.Tries = max(r.Tries, int(e.Retry)+1)
		if !r.served() {
			r.End = Failed
		}
	case history.NotConnected:
		r.Tries = max(r.Tries, int(e.Retry)+1)
		if !r.served() {
			r.End = Unreached
		}
	case history.Arrived, history.Rejected:
		r.Attempts++
	case history.ClientLeft:
		r.End = Left
	case history.Answered:
		if r.served() { // the first good answer counts
			return
		}
		r.Latency = e.At - arrivedAt
		r.End = endOf(e.Result, r.Latency, objective)
	}
}

// served reports whether the request has had a good answer.
func (r *Request) served() bool { return r.End <= Late }

// endOf is how an answered request ended.
func endOf(result client.Result, latency, objective time.Duration) End {
	switch {
	case result == client.Rejected:
		return Refused
	case result != client.Served:
		return Failed
	case latency <= objective:
		return InTime
	}
	return Late
}

// quotaBucket is a leaky bucket of a tenant's requests: its level is what came over the quota lately. It takes a
// second's worth of the quota at once.
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

// worstRequests returns the requests that ended worst: the most worth first, then the slowest.
func worstRequests(requests []Request) []Request {
	worst := slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return r.End == InTime || r.End == Left })
	slices.SortStableFunc(worst, func(a, b Request) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(b.Latency, a.Latency), cmp.Compare(a.Arrival, b.Arrival))
	})
	return worst[:min(len(worst), worstRequestsKept)]
}
