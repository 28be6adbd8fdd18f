package balancer

import "time"

// ZoneState is the state of a zone as a balancer sees it.
type ZoneState uint8

// The states of a zone.
const (
	ZoneHealthy    ZoneState = iota
	ZoneDegraded             // half of its endpoints are unhealthy: half of its share
	ZoneFailed               // most are: trials only
	ZoneDrained              // by operators: nothing new goes there
	ZoneRecovering           // its share grows in steps
)

// String is the state's name, as operators read it.
func (s ZoneState) String() string {
	return [...]string{"well", "doubtful", "failed", "left", "returning"}[s]
}

// ZoneStatus is what a balancer knows of a zone.
type ZoneStatus struct {
	Name        string
	State       ZoneState
	Listed      int     // endpoints in the list
	Unhealthy   int     // of those that this balancer uses
	Share       float64 // of this balancer's traffic
	Utilization float64 // mean of their readings; -1: none
	Attempts    int     // so far
	Spilled     int     // those of them that only the limits of local endpoints sent here
}

// ZoneStatuses returns the status of every zone that has endpoints or was drained, in the order in which they became
// known.
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

// status is a zone's status without its share.
func (z *zone) status() ZoneStatus {
	status := ZoneStatus{
		Name:        z.name,
		State:       z.state(),
		Listed:      z.listed,
		Unhealthy:   z.health.unhealthy,
		Utilization: -1,
		Attempts:    z.attempts,
		Spilled:     z.spilled,
	}
	if z.measuredCapacity > 0 {
		status.Utilization = z.meanUtilization()
	}
	return status
}

// state is a zone's state.
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

// EndpointCounts returns how many endpoints the list holds, and how many of them get nothing now but trials. Those are
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
