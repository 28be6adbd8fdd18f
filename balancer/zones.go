package balancer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Locality: what a zone is to this balancer, and how much of its traffic goes there. Shares stay what bands make them;
// a tilt on them prefers the balancer's own zone, then its region, for as long as their use is not over the fleet's, and
// lets traffic out by degrees as it is. Where home can take no more at all, picks find what is eligible elsewhere.
//
// A zone's region is what stands before the slash of its name; without one, all zones are of one region.

// Constants of locality. Those without a unit are ratios.
const (
	homeFew    = 8              // upstreams used of more, under which home is one or two: one that drains is half of it
	homeMost   = 0.92           // of the traffic stays home at most: with less than the rest, readings from elsewhere grow old
	homeMargin = 1.05           // use of home, and of the region, over the fleet's that is still no reason to leave,
	homeNoise  = 0.02           // and this much more, of full use
	homeUse    = 0.7            // use over which staying is no aim any more
	homeGain   = 0.5            // a period's move for an excess of full use: reports lag by a period or two
	homeStep   = 0.05           // the greatest move in a period
	homeLeast  = 1e-3           // the least that a share elsewhere counts for: none may be forgotten
	doubtPart  = 0.5            // of a zone's upstreams that are sick, others' being well: it gets half of its share
	leavePart  = 0.75           // of them: it is left
	aloneParts = 3              // times sicker than the rest, or the fault is not the zone's
	leaveFloor = 0.4            // of all shares that the other zones must have: else everybody is needed
	sickErrors = 0.5            // errors and breaks over which an upstream is sick
	jointDevs  = 2.0            // deviations over its usual latency that count as overdue where several are so together
	jointLeast = 3              // that many
	jointClean = 8              // times as many of the others have answered lately as are overdue
	sourErrors = 0.3            // the same where several of a zone fail at once: two in a row
	heardSpan  = 2 * bandPeriod // since its last answer an upstream speaks for its zone
	trialsGood = 3              // answers in a row that bring a zone back
	holdMost   = 8              // times as long as at first are steps held at most, after setbacks
	returnStep = 0.25           // of its share that a zone gains at once as it returns
	returnHold = 3              // periods that a step is held at least: reports of the one before have come by then
	leanCold   = 0.8            // of the cold budget: what leans to a zone does so at all its balancers at once
)

// zone is what this balancer knows of the upstreams of one zone together.
type zone struct {
	name, region string
	listed       int           // upstreams
	tilt         float64       // what a share counts for here; 1 everywhere: no locality
	size, use    float64       // of those that take requests: shares without the tilt; mean use by their readings
	read         float64       // size of those that have readings
	left         bool          // by the operators: it gets nothing new
	failed       bool          // left by its upstreams' evidence: it gets trials
	returns      bool          // it has failed, and its share grows again
	back         float64       // the part of its share that a zone has which returns; 1: all
	held, hold   int           // periods since its last step; how long one is held, in returnHolds
	members, bad int           // upstreams used, and sick ones among them
	heard        int           // those of the others that have lately answered, or have an attempt out
	overdue      int           // those of the others that owe an answer for long
	slowed       int           // those heard whose answers take far longer than they once did
	sour         int           // those that have failed since it last gave a good answer
	goodAt       time.Duration // its last good answer
	sent         int           // attempts so far
	spilled      int           // those that the bounds of home alone sent out
	good         int           // answers to trials in a row
	trial        *attempt
	trialAt      time.Duration
	wait         time.Duration // growing wait between trials
}

// zoneOf is the zone of a name, known from then on.
func (b *Balancer) zoneOf(name string) *zone {
	i := slices.IndexFunc(b.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		region, _, found := strings.Cut(name, "/")
		if !found {
			region = ""
		}
		i, b.zones = len(b.zones), append(b.zones, &zone{name: name, region: region, tilt: 1, back: 1, hold: 1})
	}
	return b.zones[i]
}

// survey sums up what is known of each zone, and forgets those that nobody is in any more.
func (b *Balancer) survey(now time.Duration) {
	for _, z := range b.zones {
		z.listed, z.size, z.use, z.read = 0, 0, 0, 0
	}
	for _, u := range b.ups {
		u.zone.listed++
	}
	b.zones = slices.DeleteFunc(b.zones, func(z *zone) bool { return z.listed == 0 && z.name != b.s.Zone && !z.left })
	for _, u := range b.near {
		if !u.member || u.silent || u.zone.left || u.zone.failed {
			continue
		}
		size := b.share(u, now) / u.zone.tilt
		u.zone.size += size
		if u.readings > 0 && !u.cold {
			u.zone.use, u.zone.read = u.zone.use+u.mean*size, u.zone.read+size
		}
	}
}

// within is the size and the mean use of the zones that some function keeps; no use without readings.
func (b *Balancer) within(keep func(*zone) bool) (size, use float64, read bool) {
	var sum float64
	for _, z := range b.zones {
		if keep(z) {
			size, use, sum = size+z.size, use+z.use, sum+z.read
		}
	}
	if sum == 0 {
		return size, 0, false
	}
	return size, use / sum, true
}

// lean moves how much of the traffic stays home and in its region, by how use there is to use elsewhere, and tilts
// shares so that it does. All that a zone's balancers know alike and late moves them alike, so a move is small.
func (b *Balancer) lean(now time.Duration) {
	home := b.zoneOf(b.s.Zone)
	b.home = home
	b.survey(now)
	inRegion := func(z *zone) bool { return z.region == home.region }
	all, use, read := b.within(func(*zone) bool { return true })
	region, regionUse, regionRead := b.within(inRegion)
	if home.size == 0 || home.size == all || b.few { // nobody at home, or nowhere else: shares alone decide
		for _, z := range b.zones {
			z.tilt = 1
		}
		b.stay = 0
		return
	}
	if b.stay == 0 { // each zone's balancers bring as much, until readings tell
		zones := 0.0
		for _, z := range b.zones {
			if z.size > 0 {
				zones++
			}
		}
		b.stay, b.keep = min(homeMost, zones*home.size/all), homeMost
	}
	_, own, homeRead := b.within(func(z *zone) bool { return z == home })
	if read && homeRead {
		b.stay = moved(b.stay, own, use, home.size/all)
	}
	if read && regionRead {
		b.keep = moved(b.keep, regionUse, use, region/all)
	}
	if region == all {
		b.keep = 1
	}
	b.keep = max(b.keep, b.stay)
	b.tilt(home, inRegion, region-home.size, all-region)
}

// moved moves the part of the traffic that stays by the use that is to spare there: up to homeMost; down to even shares
// where that is little, since a full fleet has no turns to lose; and to half of these where use is over the fleet's.
func moved(part, use, fleet, even float64) float64 {
	bears, least := homeMargin*fleet+homeNoise, even
	if use > bears {
		least /= 2
	}
	step := max(-homeStep, min(homeStep, homeGain*(min(bears, homeUse)-use)))
	return max(least, min(homeMost, part+step))
}

// needs is how many attempts are out at u at once for its own traffic, with what chance brings together. It is reckoned
// by its best latency: what holds many because it is slow needs no more.
func (u *upstream) needs() float64 {
	mean := u.work / bandPeriod.Seconds() * u.calm / float64(time.Second)
	return mean + 2*math.Sqrt(mean) + 1
}

// inTime tells whether an answer from u can be there before the client gives up, by what u's usually take. Only another
// region is judged so: the way there and back is part of every answer, and one nearby may be quicker this time.
func (b *Balancer) inTime(u *upstream, r *request, now time.Duration) bool {
	if b.home == nil || u.zone.region == b.home.region || u.units == 0 {
		return true
	}
	return r.deadline-now >= time.Duration(u.lat/u.units*r.units)
}

// missed notes which upstreams of home were due before one elsewhere that gets the turn: their bounds alone sent it out,
// and may grow as where no turn is to be had.
func (b *Balancer) missed(best *upstream, now time.Duration) {
	if b.stay == 0 || best.Zone == b.s.Zone {
		return
	}
	out := false
	for _, u := range b.near {
		if u.member && u.Zone == b.s.Zone && u.due < best.due {
			u.missedAt, out = now, true
		}
	}
	if out {
		best.zone.spilled++
	}
}

// tilt sets what shares count for: home as they are, elsewhere so that the parts which leave come out. Of zones alike in
// distance the less used gets more.
func (b *Balancer) tilt(home *zone, inRegion func(*zone) bool, near, far float64) {
	leaves, leavesRegion := 1-b.stay, 1-b.keep
	if near == 0 { // whatever leaves goes far
		leavesRegion = leaves
	}
	leaves -= leavesRegion
	_, use, _ := b.within(func(z *zone) bool { return z != home })
	for _, z := range b.zones {
		part, size := leaves, near
		if !inRegion(z) {
			part, size = leavesRegion, far
		}
		if z == home {
			z.tilt = 1
		} else if size > 0 {
			spare := 1.0
			if z.read > 0 && use > 0 {
				spare = max(0.5, min(2, (use+homeNoise)/(z.use/z.read+homeNoise)))
			}
			z.tilt = max(homeLeast, part/b.stay*home.size/size*spare)
		}
	}
}

// homeFirst orders the ring of upstreams for a balancer at a place from 0 to 1 that uses want of them: as many of its own
// zone as make its part if every zone's balancers bring as much, then the others. It goes round the rings of home and of
// the others each by its place, so that every upstream of a zone has about as many balancers. Without zones, or where it
// uses all, there is one ring.
func (b *Balancer) homeFirst(ring []*upstream, place, want float64) []*upstream {
	var own, others []*upstream
	zones := map[*zone]bool{}
	for _, u := range ring {
		if zones[u.zone] = true; u.Zone == b.s.Zone {
			own = append(own, u)
		} else {
			others = append(others, u)
		}
	}
	if len(own) == 0 || len(others) == 0 || int(want) >= len(ring) || b.few {
		return turned(ring, place)
	}
	part := want * float64(len(own)*len(zones)) / float64(len(ring))
	n := min(len(own), int(math.Round(max(1, min(want-1, part))))) // it has to hear of the others
	own, others = turned(own, place), turned(others, place)
	return slices.Concat(own[:n], others, own[n:])
}

// turned is a ring from a place on it, from 0 to 1.
func turned(ring []*upstream, place float64) []*upstream {
	at := int(place * float64(len(ring)))
	return slices.Concat(ring[at:], ring[:at])
}

// --- Health ---
//
// A zone is well, doubtful (half of its upstreams sick: half of its share), failed (most of them: trials only) or
// returning (its share grows by steps). Only its own upstreams' silences, failed connects, breaks and errors speak
// against it, and only where the rest is far less sick: else the fault may be this balancer's own link, or everybody's.

// sick tells whether u gives no good answers now.
func (u *upstream) sick(now time.Duration) bool {
	return u.silent || now < u.backAt || u.errors >= sickErrors
}

// sours tells whether u has failed since anybody of its zone last answered well, and not for the first time. Several that
// do are all sick: a balancer that brings a zone little would hear five times of each only after it has lost much.
func (u *upstream) sours() bool { return u.badAt > u.zone.goodAt && u.errors >= sourErrors }

// overdue tells how long u has owed every answer, if that is well over its usual time. One upstream alone may be so by
// chance; several of a zone at once, while the rest answers, are not. One whose answers have been late for a while has
// another trouble.
func (b *Balancer) overdue(u *upstream, now time.Duration) (since time.Duration, late bool) {
	oldest := u.oldest()
	if oldest == nil || u.lat == 0 || u.slow > crowded*u.calm {
		return 0, false
	}
	since = now - max(oldest.sentAt, u.answeredAt)
	return since, float64(since) > max(1, oldest.r.units)*max(u.lat+jointDevs*u.latDev, b.lat)
}

// jointly takes as silent what is overdue at once in one zone, long before each alone would count as silent. The others
// have to answer as quickly as they can, but for zones that do not answer at all: a link of the balancer's own that loses
// some messages makes answers late everywhere, and where that is usual by now, overdue only where little is known.
func (b *Balancer) jointly(now time.Duration) {
	late, heard := 0, 0
	for _, z := range b.zones {
		if z.heard > 0 {
			late, heard = late+z.bad+z.overdue+z.slowed, heard+z.heard
		}
	}
	for _, z := range b.zones {
		n, others := z.bad+z.overdue, late
		if z.heard > 0 {
			others -= n + z.slowed
		}
		few := n < jointLeast || 2*n < z.members || float64(n) < leavePart*float64(n+z.heard)
		if answer := heard - z.heard; z.overdue == 0 || few || answer < jointLeast || others*jointClean > answer {
			continue
		}
		for _, u := range slices.Clone(b.near) {
			if since, is := b.overdue(u, now); is && u.zone == z && !u.silent {
				z.bad, z.overdue = z.bad+1, z.overdue-1
				b.hush(u, since, b.patience(u, 1), now)
			}
		}
	}
}

// health judges every zone by its upstreams.
func (b *Balancer) health(now time.Duration) {
	for _, z := range b.zones {
		z.members, z.bad, z.heard, z.overdue, z.sour, z.slowed = 0, 0, 0, 0, 0, 0
	}
	members, all, changed := 0, 0.0, false
	for _, u := range b.near {
		if !u.member {
			continue
		}
		all += u.weight
		u.zone.members++
		members++
		if u.sours() {
			u.zone.sour++
		}
		if u.sick(now) {
			u.zone.bad++
		} else if _, late := b.overdue(u, now); late {
			u.zone.overdue++
		} else if len(u.outs) > 0 || now-u.answeredAt < heardSpan {
			if u.zone.heard++; u.slow > crowded*u.calm {
				u.zone.slowed++
			}
		}
	}
	b.jointly(now)
	bad := 0
	for _, z := range b.zones {
		if z.sour >= jointLeast {
			z.bad = max(z.bad, z.sour)
			z.heard = min(z.heard, z.members-z.bad)
		}
		bad += z.bad
	}
	for _, z := range b.zones {
		rest := float64(bad-z.bad) / float64(max(1, members-z.members))
		switch {
		case z.members == 0:
			z.failed = false
		case z.failed && z.good >= trialsGood:
			z.failed, z.returns, z.back, z.held, changed = false, true, returnStep, 0, true
			b.log(now, "zone", "zone %q answers again: its share grows by steps of %d periods", z.name, returnHold*z.hold)
		case z.failed || z.left || rest*aloneParts > z.badPart():
		case z.bad >= 2 && z.badPart() >= leavePart && b.without(z) >= leaveFloor*all:
			if z.returns { // a setback
				z.hold = min(2*z.hold, holdMost)
			}
			z.failed, z.returns, z.good, z.trial, z.trialAt, z.wait = true, false, 0, nil, now, 2*b.tick
			changed = true
			b.log(now, "zone", "zone %q: %d of %d upstreams give no good answers: trials only", z.name, z.bad, z.members)
		case z.doubted() && z.back > doubtPart:
			z.back, z.held, changed = doubtPart, 0, true
		}
		if z.back == 1 {
			z.returns = false
			if z.held >= returnHold*holdMost { // long well
				z.hold = 1
			}
		}
	}
	if changed {
		b.weigh()
	}
}

// part is what a share counts for in a zone that takes requests.
func (z *zone) part() float64 { return z.tilt * z.back }

// badPart is the part of a zone that is sick. Once that is half of all, those that nothing is known of do not speak for
// the zone: no evidence is not good evidence.
func (z *zone) badPart() float64 {
	of := z.members
	if 2*z.bad >= z.members {
		of = z.bad + z.heard + z.overdue
	}
	return float64(z.bad) / float64(max(1, of))
}

// doubted tells whether a good part of a zone is sick, and not one bad rack.
func (z *zone) doubted() bool { return z.bad >= 2 && z.badPart() >= doubtPart }

// without is the size of all well upstreams outside a zone.
func (b *Balancer) without(z *zone) (size float64) {
	for _, u := range b.near {
		if u.member && u.zone != z && !u.silent && !u.zone.left && !u.zone.failed {
			size += u.weight
		}
	}
	return size
}

// recallZone takes up what was known of a zone before a restart. What had failed has to pass its trials.
func (b *Balancer) recallZone(z *zone, x ZoneStats, now time.Duration) {
	if z.hold = max(1, min(x.HoldPeriods, holdMost)); x.Failed && z.back == 1 {
		z.failed, z.returns, z.back, z.wait = true, false, returnStep, 2*b.tick
		z.trialAt = now + time.Duration(b.rng.Int64N(int64(z.wait)+1))
	} else if x.RecoveredShare > 0 && x.RecoveredShare < 1 {
		z.back, z.returns = max(returnStep, x.RecoveredShare), true
	}
}

// tried notes how an attempt at a zone ended. A trial that fails makes the next wait longer.
func (z *zone) tried(s Status) {
	switch {
	case s == OK:
		z.good++
	case s != Rejected && s != Cancelled && s != NotSent:
		z.good = 0
	}
}

// mayTry tells whether a failed zone gets a trial, one at a time, of the safest class, so that it may go elsewhere.
func (b *Balancer) mayTry(z *zone, r *request, now time.Duration) bool {
	return now >= z.trialAt && r.class.Idempotency == b.safest && (z.trial == nil || z.trial.ended)
}

// try notes a trial of a failed zone. While answers come well the next follows soon.
func (z *zone) try(a *attempt, longest time.Duration) {
	now := a.sentAt
	z.trial, z.trialAt = a, now+z.wait
	if z.wait = min(z.wait*waitGrowth, longest); z.good > 0 {
		z.trialAt = now
	}
}

// --- The operators' hand ---

// LeaveZone sends nothing new to a zone until ReturnZone, whatever discovery says meanwhile. It is refused (false) for a
// zone that is not known, and for the last one that is left with upstreams: then nobody could be served.
func (b *Balancer) DrainZone(now time.Duration, name string) bool {
	i := slices.IndexFunc(b.zones, func(z *zone) bool { return z.name == name })
	if i < 0 || !slices.ContainsFunc(b.ups, func(u *upstream) bool {
		return u.State == Active && !u.zone.left && u.zone != b.zones[i]
	}) {
		return false
	}
	b.zones[i].left = true
	b.gather(now)
	b.lean(now)
	b.weigh()
	b.dispatch(now)
	return true
}

// ReturnZone takes a zone back, by steps. False: it was not left.
func (b *Balancer) ReinstateZone(now time.Duration, name string) bool {
	i := slices.IndexFunc(b.zones, func(z *zone) bool { return z.name == name && z.left })
	if i < 0 {
		return false
	}
	z := b.zones[i]
	z.left, z.back, z.held = false, returnStep, 0
	b.gather(now)
	b.lean(now)
	b.weigh()
	b.dispatch(now)
	return true
}

// returning gives zones that come back their next step, once the last has been held and their use is not over the
// fleet's: what that step brought has been borne.
func (b *Balancer) returning() {
	_, use, read := b.within(func(*zone) bool { return true })
	for _, z := range b.zones {
		if z.held++; z.left || z.failed || z.back == 1 || z.held < returnHold*z.hold || z.doubted() {
			continue
		}
		if !read || z.read == 0 || z.use/z.read <= max(homeMargin*use+homeNoise, levelFloor) {
			z.back, z.held = min(1, z.back+returnStep), 0
		}
	}
}
