package balancer

import "time"

// ZoneState is the state of a zone from the view of one balancer.
type ZoneState uint8

// The states of a zone.
const (
	ZoneHealthy    ZoneState = iota
	ZoneDegraded             // half of its endpoints are unhealthy: it gets half of its traffic share
	ZoneFailed               // ejected because most of its endpoints are unhealthy: it gets trials only
	ZoneDrained              // drained by operators: it gets no new attempts
	ZoneRecovering           // its traffic share grows in steps
)

// String returns the name of the state in the operators' tools.
func (s ZoneState) String() string {
	return [...]string{"well", "doubtful", "failed", "left", "returning"}[s]
}

// ZoneStatus is the status of a zone from the view of one balancer.
type ZoneStatus struct {
	Name        string
	State       ZoneState
	Listed      int     // endpoints in the endpoint list
	Unhealthy   int     // unhealthy endpoints among those that this balancer uses
	Share       float64 // fraction of this balancer's traffic
	Utilization float64 // mean utilization; -1: no readings
	Attempts    int     // attempts since the start
	Spilled     int     // attempts that spilled over from the local zone only because of its concurrency limits
}

// ZoneStatuses returns the status of every zone that has endpoints or is drained, in the order in which they became known.
func (b *Balancer) ZoneStatuses(now time.Duration) []ZoneStatus {
	shares, total := map[*zone]float64{}, 0.0
	for e := range b.endpoints.inUse() {
		if e.zone.getsTraffic() {
			b.expireSlowStart(e, now)
			share := b.trafficShare(e, now)
			shares[e.zone] += share
			total += share
		}
	}
	b.summarizeZones(now)
	var statuses []ZoneStatus
	for _, z := range b.endpoints.zones {
		if z.listed == 0 && !z.drained {
			continue
		}
		status := z.status()
		if total > 0 {
			status.Share = shares[z] / total
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// status returns the status of the zone without its share.
func (z *zone) status() ZoneStatus {
	status := ZoneStatus{
		Name:        z.name,
		State:       z.state(),
		Listed:      z.listed,
		Unhealthy:   z.health.unhealthy,
		Utilization: -1,
		Attempts:    z.attemptCount,
		Spilled:     z.spilledCount,
	}
	if z.measuredCapacity > 0 {
		status.Utilization = z.meanUtilization()
	}
	return status
}

func (z *zone) state() ZoneState {
	switch {
	case z.drained:
		return ZoneDrained
	case z.health.ejected:
		return ZoneFailed
	case z.health.recoveredShare == 1:
		return ZoneHealthy
	case z.health.isDegraded():
		return ZoneDegraded
	}
	return ZoneRecovering
}

// EndpointCounts returns the number of listed endpoints, and how many of them get no regular traffic now, because they are
// draining, unresponsive or unreachable.
func (b *Balancer) EndpointCounts(now time.Duration) (known, skipped int) {
	for _, e := range b.endpoints.known {
		if e.State == Removed {
			continue
		}
		known++
		if e.State == Draining || e.outlier.unresponsive || now < e.outlier.unreachableUntil {
			skipped++
		}
	}
	return known, skipped
}
