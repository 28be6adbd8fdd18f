package balancer

import "time"

// What a Balancer tells of itself. Nothing here decides anything.

// ZoneState is what a zone is to a balancer.
type ZoneState uint8

// The states.
const (
	ZoneHealthy    ZoneState = iota
	ZoneDegraded             // half of its upstreams are sick: half of its share
	ZoneFailed               // most are: trials only
	ZoneDrained              // by the operators: nothing new goes there
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
	Listed      int     // upstreams in the list
	Unhealthy   int     // sick ones among those that this balancer uses
	Share       float64 // of this balancer's turns
	Utilization float64 // mean of their readings; -1: none
	Attempts    int     // attempts so far
	Spilled     int     // those of them that the bounds of home alone sent out
}

// Zones tells of every zone that has upstreams or was left, in the order in which they were heard of.
func (b *Balancer) ZoneStatuses(now time.Duration) []ZoneStatus {
	var all []ZoneStatus
	shares, total := map[*zone]float64{}, 0.0
	for _, u := range b.near {
		if u.member && !u.zone.left && !u.zone.failed {
			s := b.share(u, now)
			shares[u.zone], total = shares[u.zone]+s, total+s
		}
	}
	b.survey(now)
	for _, z := range b.zones {
		x := ZoneStatus{Name: z.name, Listed: z.listed, Unhealthy: z.bad, Utilization: -1, Attempts: z.sent, Spilled: z.spilled}
		switch {
		case z.left:
			x.State = ZoneDrained
		case z.failed:
			x.State = ZoneFailed
		case z.back < 1 && z.doubted():
			x.State = ZoneDegraded
		case z.back < 1:
			x.State = ZoneRecovering
		}
		if total > 0 {
			x.Share = shares[z] / total
		}
		if z.read > 0 {
			x.Utilization = z.use / z.read
		}
		if z.listed > 0 || z.left {
			all = append(all, x)
		}
	}
	return all
}

// Listed tells how many upstreams the list holds, and how many of them get nothing now but trials: those that
// drain, have fallen silent or could not be reached.
func (b *Balancer) EndpointCounts(now time.Duration) (known, skipped int) {
	for _, u := range b.ups {
		if u.State == Removed {
			continue
		}
		if known++; u.State == Draining || u.silent || now < u.backAt {
			skipped++
		}
	}
	return known, skipped
}
