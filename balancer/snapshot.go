package balancer

import "time"

// Knowledge is what a Balancer has learnt, to be taken up by one that is started after it. It has no requests: what was
// out when a process ended is never sent again. Times are on the owner's clock.
type Knowledge struct {
	At        time.Duration // when it was true
	Latency   float64       // usual latency, ns
	Cost      float64       // mean cost hint, ns
	Classes   map[string]float64
	Stay      float64 // parts of the traffic that stay in the zone, and in the region
	Keep      float64
	Carry     float64 // work a period that warm upstreams carry for weight and use; the most that one does
	Most      float64
	Upstreams []Learnt
	Zones     []LearntZone
	// Left names the zones that operators have left. They are left whatever the age: an order does not fade.
	Left []string
}

// Learnt is what is known of one upstream.
type Learnt struct {
	ID                                               UpstreamID
	Factor, Bound, Latency, Deviation, Units, Errors float64
	Slow, Calm, Work, Spent                          float64
	Cold, Silent                                     bool
	ColdAt, Wait                                     time.Duration
}

// LearntZone is what is known of a zone.
type LearntZone struct {
	Name   string
	Failed bool
	Back   float64 // part of its share
	Hold   int
}

// Snapshot tells what is known now. It shares nothing with the Balancer.
func (b *Balancer) Snapshot(now time.Duration) Knowledge {
	k := Knowledge{At: now, Latency: b.lat, Cost: b.cost, Classes: map[string]float64{}, Stay: b.stay, Keep: b.keep,
		Carry: b.carry, Most: b.most, Upstreams: make([]Learnt, 0, len(b.near))}
	for name, c := range b.classes {
		k.Classes[name] = c.lat
	}
	for _, u := range b.near {
		if u.State == Gone || !u.member {
			continue
		}
		k.Upstreams = append(k.Upstreams, Learnt{ID: u.ID, Factor: u.factor, Bound: u.bound, Latency: u.lat, Deviation: u.latDev,
			Units: u.units, Errors: u.errors, Slow: u.slow, Calm: u.calm, Work: u.work, Spent: u.spent, Cold: u.cold, Silent: u.silent,
			ColdAt: u.coldAt, Wait: u.wait})
	}
	for _, z := range b.zones {
		if z.left {
			k.Left = append(k.Left, z.name)
		}
		k.Zones = append(k.Zones, LearntZone{Name: z.name, Failed: z.failed, Back: z.back, Hold: z.hold})
	}
	return k
}

// Restore takes up what another Balancer knew, as evidence of its age. It belongs after the first Members and before the
// first Request. What is not listed any more is passed over. An age under zero, of a clock that was set back, tells
// nothing of how old figures are: they are not used.
func (b *Balancer) Restore(now time.Duration, k Knowledge) {
	trust := trustOf(now - k.At)
	if trust > 0 && amount(k.Latency) && k.Latency > 0 {
		b.lat = k.Latency
		b.cost, b.carry, b.most = finite(k.Cost), finite(k.Carry), finite(k.Most)
		for name, c := range b.classes {
			c.lat = finite(k.Classes[name])
		}
		if k.Stay > 0 && k.Stay <= 1 && k.Keep >= k.Stay && k.Keep <= 1 && b.stay > 0 {
			b.stay, b.keep = k.Stay, k.Keep
		}
	}
	for _, x := range k.Upstreams {
		if u := b.byID[x.ID]; u != nil && u.State == Active {
			b.recall(u, x, trust, now, k.At)
		}
	}
	for _, x := range k.Zones {
		if z := b.zoneOf(x.Name); trust > 0 {
			b.recallZone(z, x, now)
		}
	}
	for _, name := range k.Left {
		b.zoneOf(name).left = true
	}
	b.gather(now)
	b.lean(now)
	b.weigh()
}

// finite is x, or 0 where it is no amount.
func finite(x float64) float64 {
	if !amount(x) {
		return 0
	}
	return x
}
