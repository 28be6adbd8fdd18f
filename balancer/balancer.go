// The decisions of sprucehill: every rule and every constant is in this file. Its interface (types, events,
// actions) is in api.go, what it keeps in state.go.

package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants. Those without a unit are ratios.
const (
	bandWindow            = 4               // N: readings in an upstream's moving window
	bandAlpha             = 2.0             // α: half the band gap in standard deviations, as usual for these bands
	bandPeriod            = time.Second     // the band gap is integrated over it, then shares move
	areaFloor             = 0.4             // areas below it are noise: a deviation of a tenth of full use
	areaRatio             = 1.25            // saturated: an area over this multiple of the fleet's median
	fullUse               = 0.8             // mean use over which more attempts out bring no more
	levelFloor            = 0.5             // use below it never counts as excess level
	cutMost               = 0.8             // the deepest cut in one period: reports lag, so steps are small
	restoreStep           = 1.04            // shares come back more slowly than they go
	shareFloor            = 0.1             // a share is never cut below this part of its start
	debtRounds            = 1.0             // turns missed beyond this many rounds are forgotten
	smoothing             = 0.1             // weight of a new sample in running means
	sharers               = 4.0             // balancers that share an upstream, where there are enough
	subsetLeast           = 2               // upstreams that a balancer uses at least
	boundStart            = 8.0             // attempts out at one upstream, over all balancers, at first
	boundLeast            = 0.25            // over all balancers: with pauses, so that a crowded server can rest
	boundCut              = 0.8             // on a crowded answer; twice on a full queue or a time-out
	boundGrowth           = 0.5             // on an answer of one with use to spare, while turns are short
	crowded               = 1.6             // over this multiple: the upstream is crowded or sick
	crowdedShare          = 0.5             // and it takes this part of the aim: far under it crowding hurts nobody
	calmDrift             = 0.005           // how fast the least slow mean is unlearnt
	patienceDevs          = 5.0             // deviations over its usual latency before an upstream is silent
	tipMargin             = 0.6             // part of the cold budget that is used
	sendSpare             = 2.33            // latencies left to the aim of a held request sent, less its late worth
	budgetNoise           = 16              // a budget shorter by one in this many is a client's later try
	trustSpan             = 5 * time.Minute // age at which what was known before a restart counts for nothing
	ticksPerAim           = 16              // housekeeping runs this often in the shortest aim
	waitGrowth            = 2               // trials, failed connects and discovery calls are spaced by this growth
	toldLate              = 6 * time.Second // at the latest after it was due counts as told what discovery has to tell
	blockedMost           = 2 * time.Second // nothing but rejections, before an upstream that rests gets an attempt
	logEvery              = 5 * time.Second
	tickToken, watchToken = 1, 2
)

// New returns a Balancer, or an error that names the setting that is wrong.
func New(s Settings, seed uint64, now time.Duration, host Effects) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	} else if host == nil {
		return nil, bad("Effects is nil")
	}
	b := &Balancer{s: s, host: host, rng: rand.New(rand.NewPCG(seed, 0)), classes: map[string]*class{},
		tenants: map[string]*tenant{}, safest: NonIdempotent, requests: map[RequestID]*request{},
		byID: map[EndpointID]*upstream{}, logged: map[string]time.Duration{}, stepAt: now, tightAt: now, sentAt: now}
	shortest := s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		b.classes[c.Name] = &class{Class: c}
		b.safest, shortest = min(b.safest, c.Idempotency), min(shortest, c.LatencyObjective)
	}
	for _, t := range s.Tenants {
		b.tenants[t.Name] = &tenant{at: now.Seconds()}
	}
	b.OnFleetSizeChanged(now, FleetSize{s.Balancers, s.Rank, s.Balancers})
	b.lat = float64(shortest) / 4 // until answers tell
	b.tick = max(s.EventSpacing, shortest/ticksPerAim, time.Millisecond)
	host.SetTimer(b.tick, tickToken)
	if s.PollDiscovery {
		host.WatchEndpoints(true)
	}
	return b, nil
}

// Fleet takes how many balancers there are from now on. What was counted and measured so far stays.
func (b *Balancer) OnFleetSizeChanged(now time.Duration, f FleetSize) {
	b.fleet = FleetSize{max(f.Balancers, 1), max(f.Rank, 0), max(f.MaxBalancers, f.Balancers, 1)}
	for _, t := range b.s.Tenants {
		b.tenants[t.Name].rate = t.Quota / float64(b.fleet.MaxBalancers)
	}
	b.gather(now)
}

// --- Request ledger ---

// maySend alone decides whether r may be sent (again), and whether u may take it.
func (b *Balancer) maySend(r *request, u *upstream, now time.Duration) bool {
	if r.done || now >= r.deadline || u.State != Active ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || (r.out > 0 && !b.s.Limits.AllowHedging) {
		return false
	}
	if r.Upload && (r.spent || r.out > 0) {
		return false
	}
	for _, a := range r.attempts {
		if !a.neverRan && (r.class.Idempotency == NonIdempotent || (r.class.Idempotency == IdempotentByKey &&
			(now-a.sentAt >= r.class.IdempotencyWindow-b.tick || (r.class.Scope == ScopeZone && a.up.Zone != u.Zone) ||
				(r.class.Scope == ScopeCell && a.up.Cell != u.Cell)))) {
			return false
		}
	}
	return true
}

// mayRefuse alone decides whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Idempotency == Idempotent || (r.class.Idempotency == IdempotentByKey && r.class.Scope == ScopeAll) ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// Request takes a client's request.
func (b *Balancer) OnRequest(now time.Duration, q Request) {
	c := b.classes[q.Class]
	if c == nil { // a class that the settings lack; never sent, so a retry is harmless
		b.host.Reject(q.ID, 0)
		return
	}
	r := &request{Request: q, class: c, units: cmp.Or(c.lat/b.lat, 1), deadline: now + q.Timeout, worth: c.PriorityWeight}
	if q.CostHint > 0 {
		follow(&b.cost, float64(q.CostHint), smoothing*smoothing)
		r.units = max(float64(q.CostHint)/b.cost, smoothing)
	}
	if !b.s.PriorityByWork {
		r.worth /= r.units
	}
	if t := b.tenants[q.Tenant]; t != nil && t.over(now) {
		r.worth *= b.s.OverQuotaFactor
	}
	// A later try shows its age by a short budget. Past the aim such once took the turns of those in time.
	spare := time.Duration((sendSpare - c.LatePriorityFactor) * cmp.Or(c.lat, b.lat))
	c.budget = max(c.budget, q.Timeout)
	if q.Timeout < c.budget-c.budget/budgetNoise && c.LatencyObjective-(c.Deadline-q.Timeout) < spare {
		r.worth *= c.LatePriorityFactor
	}
	// Held requests are looked at once a tick: without one in hand a short budget ran out unseen.
	r.sendBy = now + min(c.LatencyObjective, q.Timeout) - max(spare, b.tick) - b.tick
	if q.Upload { // its time begins when it has been written
		r.deadline = math.MaxInt64
	}
	b.requests[r.ID] = r
	if r.worth == 0 && now-b.tightAt < time.Duration(b.lat) { // turns are short
		b.giveUp(r)
	} else {
		b.place(r, now)
	}
}

// place sends r if a turn allows it, holds it if one may come free in time, and otherwise ends it.
func (b *Balancer) place(r *request, now time.Duration) {
	u, legal := b.pick(r, now)
	if u == nil && legal { // also where it can't be held: bounds once stayed low beside refusals
		b.tightAt = now
	}
	switch {
	case u != nil:
		b.send(r, u, now)
	case (legal || len(r.attempts) == 0) && now < r.sendBy: // most worth first, then the newest
		r.held = true
		b.held = slices.Insert(b.held, 0, r)
		slices.SortStableFunc(b.held, func(x, y *request) int { return cmp.Compare(y.worth, x.worth) })
	default:
		b.giveUp(r)
	}
}

func (b *Balancer) send(r *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	a := &attempt{r: r, up: u, sentAt: now, writing: r.Upload}
	if u.zone.failed {
		if u.zone.try(a, bandPeriod); r.class.Idempotency != NonIdempotent && !r.Upload {
			timeout = b.patience(u, r.units)
		}
	} else if u.silent {
		u.trialAt = now + u.wait
		u.wait *= waitGrowth
		if r.class.Idempotency != NonIdempotent && !r.Upload { // a trial leaves time for another attempt
			timeout = b.patience(u, r.units)
		}
	}
	r.attempts, r.out, r.held = append(r.attempts, a), r.out+1, false
	if u.zone.sent++; b.carry == 0 {
		u.spentAt = now
	}
	u.outs, u.carried, u.spent = append(u.outs, a), u.carried+r.units, u.spent+max(1, r.units)
	b.sentAt = now
	b.host.Send(r.ID, u.ID, timeout)
}

// giveUp gives the final answer to a request that is not served.
func (b *Balancer) giveUp(r *request) {
	if b.finish(r, -1); b.mayRefuse(r) {
		b.host.Reject(r.ID, b.comeBack())
	} else {
		b.host.Fail(r.ID)
	}
}

// comeBack is the wait that a refused client is advised: turns are looked at again after a tick. A longer
// one would take the aim of most who follow it.
func (b *Balancer) comeBack() time.Duration {
	if !b.s.Limits.AllowRetryAfter {
		return 0
	}
	return min(b.tick, b.s.Limits.MaxRetryAfter)
}

// finish notes that r has its answer, or its stream from attempt n, and stops what else is out.
func (b *Balancer) finish(r *request, n int) {
	for i, a := range r.attempts {
		if i != n && !a.ended && !r.done && b.s.Limits.AllowCancel {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.done = true; r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// Gone drops a request whose client has left.
func (b *Balancer) OnClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r, -1)
	}
}

// Written notes that an upload has been passed on whole: its upstream starts on it now.
func (b *Balancer) OnBodySent(now time.Duration, id RequestID, n int) {
	if r := b.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && r.attempts[n].writing {
		r.attempts[n].writing, r.attempts[n].sentAt = false, now
		r.spent, r.deadline = true, now+r.Timeout
	}
}

// Started marks a request as served by a stream that has begun.
func (b *Balancer) OnStreamStarted(now time.Duration, id RequestID, n int) {
	if r := b.requests[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) {
		b.answered(r.attempts[n].up, now)
		b.finish(r, n)
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) OnAttemptResult(now time.Duration, o AttemptResult) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.neverRan = true, o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent
	r.out--
	r.spent = r.spent || o.BodyConsumed
	a.up.outs = slices.DeleteFunc(a.up.outs, func(x *attempt) bool { return x == a })
	b.learn(a, o.clean(), now)
	switch {
	case r.done || o.RequestClosed || o.Status == OK:
		b.finish(r, o.Attempt)
	case r.out == 0 && !r.held: // else another copy may still answer, or a turn may come free
		b.place(r, now)
	}
	b.dispatch(now)
}

// --- Bands and shares ---

// learn draws from an outcome what it tells about its upstream.
func (b *Balancer) learn(a *attempt, o AttemptResult, now time.Duration) {
	u, r := a.up, a.r
	u.zone.tried(o.Status)
	switch o.Status {
	case OK:
		u.errors -= 2 * smoothing * u.errors
		u.zone.goodAt = now
	case Error, Reset, ConnectFailed, Timeout:
		u.errors += 2 * smoothing * (1 - u.errors)
		u.badAt = now
	}
	if o.Status == OK || o.Status == Error || o.Status == Rejected {
		b.answered(u, now)
	}
	switch o.Status {
	case OK:
		w := max(smoothing, 1-u.bound)                           // the rarer its answers, the more each one tells
		follow(&u.latDev, math.Abs(float64(o.Latency)-u.lat), w) // at first as large as the mean
		follow(&u.lat, float64(o.Latency), w)
		follow(&u.units, max(r.units, 0.5), w) // small ones have a fixed part too
		follow(&b.lat, float64(o.Latency), smoothing)
		follow(&r.class.lat, float64(o.Latency), smoothing)
		per, aim := u.lat/u.units, float64(r.class.LatencyObjective)
		follow(&u.slow, per, smoothing)
		follow(&u.calm, u.slow, calmDrift)
		u.calm = min(u.calm, u.slow)
		// One met crowded knows no better of itself. A slow answer alone proves no crowd: work and waits on others
		// vary by as much. Where the readings say that there is use to spare, the bound grows instead.
		calm := min(u.calm, cmp.Or(b.calm, u.calm))
		if u.busy() && per > max(crowded*calm, crowdedShare*aim) {
			b.shrink(u, now, boundCut)
		} else if u.bound < b.start { // it has had its rest
			u.bound = b.start
		} else if short := now-b.tightAt < time.Duration(b.lat); !u.busy() &&
			(short || (now-u.missedAt < time.Duration(b.lat) && u.mean < levelFloor && u.bound < u.needs())) {
			u.bound = max(u.bound, min(u.bound+boundGrowth, u.most))
		}
	case Rejected:
		b.shrink(u, now, boundCut*boundCut)
	case Timeout: // beside use to spare it was lost, not crowded out
		if u.busy() {
			b.shrink(u, now, boundCut*boundCut)
		}
	case ConnectFailed, Reset: // down, or its connection table is full: ask less often
		if now >= u.backAt { // once for what was out together
			u.backAt = now + u.wait
			u.wait = min(u.wait*waitGrowth, b.s.Obligations.SlowStartWindow)
		}
	}
	p := b.pause(u) // one left idle has an attempt in hand: requests come by chance
	u.freeAt = max(u.freeAt, min(now, max(u.freeAt, a.sentAt-p)+now-a.sentAt)+p)
	if b.s.Reports != ReportInHealthChecks {
		b.read(u, o.Load, o.Status == OK, float64(o.Latency)/float64(r.class.LatencyObjective), now)
	}
}

// busy tells whether u has no use to spare, as its readings have it; without any it may not.
func (u *upstream) busy() bool { return u.readings == 0 || u.mean >= fullUse || u.last.Queue > 0 }

// pause is the wait between attempts at u when its bound is under one.
func (b *Balancer) pause(u *upstream) time.Duration {
	return time.Duration(max(0, 1/u.bound-1) * cmp.Or(u.lat, b.lat))
}

// shrink lowers the bound, once for what was out together.
func (b *Balancer) shrink(u *upstream, now time.Duration, by float64) {
	if now-u.cutAt >= time.Duration(u.lat) {
		u.bound, u.cutAt = max(b.start*boundLeast/boundStart, min(u.bound, float64(len(u.outs)+1))*by), now
	}
}

// read takes a load report as a reading of utilisation. Stand-ins: what is held or waits, and at sites
// without reports the latency as a part of the aim.
func (b *Balancer) read(u *upstream, l LoadReport, ok bool, late float64, now time.Duration) {
	x := l.Utilization
	switch {
	case l.Fields&HasUtilization != 0:
	case l.Fields&(HasInflight|HasQueue) != 0:
		x = 1 - 1/(1+l.Inflight+l.Queue)
	case b.s.Reports == ReportNone && ok:
		x = min(1, late)
	}
	if (l.Fields != 0 && l == u.last) || (l.Fields == 0 && x == 0) { // not refreshed: no new reading
		return
	}
	b.integrate(u, now)
	u.window[u.readings%bandWindow] = x
	u.last, u.readings = l, u.readings+1
	u.mean, u.dev = bands(u.window[:min(u.readings, bandWindow)])
}

// bands returns the moving average and the population standard deviation.
func bands(xs []float64) (mean, dev float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		dev += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(dev)
}

// integrate adds the band gap. A server pinned at full load reads flat, so its level over the fleet's counts.
func (b *Balancer) integrate(u *upstream, now time.Duration) {
	gap := 2 * bandAlpha * (u.dev + max(0, u.mean-max(levelFloor, b.ceiling)))
	u.area, u.readAt = u.area+gap*(now-u.readAt).Seconds()/bandPeriod.Seconds(), now
}

// rank is the value over one in n of the upstreams that have readings: the median for n = 2.
func (b *Balancer) rank(n int, of func(*upstream) float64) float64 {
	xs := make([]float64, 0, len(b.near)+1)
	for _, u := range b.near {
		if u.member && u.readings > 0 {
			xs = append(xs, of(u))
		}
	}
	slices.Sort(xs)
	return append(xs, 0)[len(xs)/n]
}

// step closes the period: saturated upstreams lose share by degrees, the others regain it. The threshold
// follows the fleet's median, so a rise on all servers cuts nobody.
func (b *Balancer) step(now time.Duration) {
	for _, u := range b.near {
		b.integrate(u, now)
		u.work, u.carried = u.work+smoothing*(u.carried-u.work), 0
	}
	threshold := max(areaFloor, areaRatio*b.rank(2, func(u *upstream) float64 { return u.area }))
	for _, u := range b.near {
		if u.readings >= bandWindow/2 && u.area > threshold {
			u.factor = max(shareFloor, u.factor*max(cutMost, threshold/u.area))
		} else {
			u.factor = min(1, u.factor*restoreStep)
		}
		u.area, u.most = 0, max(2*u.bound, boundStart) // or it grew tenfold before a reading told of full use
	}
	b.stepAt, b.ceiling = now, b.rank(2, func(u *upstream) float64 { return u.mean })
	b.calm = b.rank(4, func(u *upstream) float64 { return u.calm })
	b.ups = slices.DeleteFunc(b.ups, func(u *upstream) bool { // forget what is gone and owes nothing
		gone := u.State == Removed && len(u.outs) == 0
		if gone {
			delete(b.byID, u.ID)
		}
		return gone
	})
	b.gather(now)
	b.lean(now)
	b.returning()
	b.weigh()
}

// weigh reckons what warm upstreams carry for their weight, as zones count now: a cold one's part is taken from it, and a
// zone that counts for more from one moment to the next must not bring its cold ones more than their part.
func (b *Balancer) weigh() {
	var work, size, most float64
	for _, u := range b.near {
		if u.member && !u.cold && !u.silent && u.work > 0 && !u.zone.left && !u.zone.failed {
			can := u.work / min(max(cmp.Or(u.mean, 1), levelFloor), 1)
			work, most = work+can, max(most, can/u.weight)
			size += u.weight * u.zone.part()
		}
	}
	b.carry = cmp.Or(work/max(size, math.SmallestNonzeroFloat32), b.carry) // with nobody to judge by, as before
	b.most = cmp.Or(most, b.most)
}

// share is u's part of the traffic, not scaled.
func (b *Balancer) share(u *upstream, now time.Duration) float64 {
	return u.weight * u.factor * b.ramp(u, now) * u.zone.part()
}

// --- Eligibility ---

// ramp is the share of its capacity that u is sure to have.
func (b *Balancer) ramp(u *upstream, now time.Duration) float64 {
	if u.cold && now-u.coldAt < b.s.Obligations.SlowStartWindow {
		from := b.s.Obligations.SlowStartFrom
		return from + (1-from)*max(0, float64(now-u.coldAt)/float64(b.s.Obligations.SlowStartWindow))
	}
	u.cold = false
	return 1
}

// chill treats u as freshly started: nothing learnt before holds.
func (b *Balancer) chill(u *upstream, at time.Duration) {
	u.cold, u.coldAt, u.lat, u.latDev, u.units, u.slow = true, at, 0, 0, 0, 0
	u.readings, u.mean, u.dev, u.area, u.bound, u.calm, u.errors = 0, 0, 0, 0, b.start, 0, 0
}

// coldRoom reports whether r fits this balancer's part of what a cold u may get over TipAfter, judged by what
// warm ones carry. No request counts less than the mean: many small ones once pushed a server over.
func (b *Balancer) coldRoom(u *upstream, r *request, now time.Duration) bool {
	if b.carry == 0 { // no warm upstream to judge by: one at a time, and quick failures are no reason for the next
		return len(u.outs) == 0 && (u.spent < 1 || now-u.spentAt >= time.Duration(b.lat))
	}
	// What zones count for can change at once and work can't: none is taken to do more than the best does.
	rate := b.coldRate(u, now)
	u.spent, u.spentAt = max(0, u.spent-rate*(now-u.spentAt).Seconds()), now
	return u.spent <= max(0, rate*b.s.Obligations.OverloadWindow.Seconds()-max(1, r.units))
}

// coldRate is how fast the count of what a cold u was sent leaks: half of this balancer's part of what it may get.
func (b *Balancer) coldRate(u *upstream, now time.Duration) float64 {
	does := u.weight * min(b.most, u.zone.part()*b.carry) / bandPeriod.Seconds()
	if b.stay > 0 {
		does *= leanCold
	}
	return tipMargin / 2 * b.s.Obligations.OverloadMultiple * b.ramp(u, now) * does
}

// patience is how long u may owe every answer before it counts as silent.
func (b *Balancer) patience(u *upstream, units float64) time.Duration {
	usual := max(u.lat+patienceDevs*u.latDev, (1+patienceDevs/2)*b.lat) // one lucky answer is no measure
	return time.Duration(usual*max(1, units)) + b.tick
}

// oldest is the attempt that u has owed an answer for longest; nil: it owes none.
func (u *upstream) oldest() *attempt {
	if i := slices.IndexFunc(u.outs, func(a *attempt) bool { return !a.writing }); i >= 0 {
		return u.outs[i]
	}
	return nil
}

// quiet looks whether u has fallen silent: attempts are out and nothing has come back for longer than its
// patience. Its turns are skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) quiet(u *upstream, now time.Duration) {
	oldest := u.oldest()
	if u.silent || oldest == nil {
		return
	}
	if since, p := now-max(oldest.sentAt, u.answeredAt), b.patience(u, oldest.r.units); since > p {
		b.hush(u, since, p, now)
	}
}

// hush takes u, which has owed every answer since then, as silent; p is its patience.
func (b *Balancer) hush(u *upstream, since, p, now time.Duration) {
	u.silent, u.wait, u.trialAt = true, p, now+p
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", u.ID, since)
	for _, a := range slices.Clone(u.outs) {
		r := a.r
		if r.class.Idempotency == NonIdempotent || r.Upload || r.done || r.out > 1 {
			continue
		} else if v, _ := b.pick(r, now); v != nil {
			b.send(r, v, now) // a second copy
		} else if !b.s.Limits.AllowHedging && b.s.Limits.AllowCancel {
			b.host.Cancel(r.ID, slices.Index(r.attempts, a))
		}
	}
}

// answered notes a sign of life, which ends any wait after failed connects.
func (b *Balancer) answered(u *upstream, now time.Duration) {
	u.silent, u.answeredAt, u.wait, u.backAt = false, now, b.tick, now
}

// eligible reports whether u may take r at this turn. The bound is a guard: shares decide below it.
func (b *Balancer) eligible(u *upstream, r *request, now time.Duration) bool {
	ok := now >= u.freeAt && now >= u.backAt && float64(len(u.outs)) < max(1, math.Floor(u.bound))
	if u.zone.left {
		return false
	} else if u.zone.failed {
		return ok && b.mayTry(u.zone, r, now) && (b.ramp(u, now) == 1 || b.coldRoom(u, r, now))
	}
	if u.silent { // the safest class goes first as a trial
		ok = now >= u.trialAt && (r.class.Idempotency == b.safest || now >= u.trialAt+u.wait)
	}
	return ok && b.inTime(u, r, now) && (b.ramp(u, now) == 1 || b.coldRoom(u, r, now))
}

// --- What was known before a restart ---

// trustOf is what knowledge of an age is worth: it fades evenly to nothing. What a clock that was set back dates has no age.
func trustOf(age time.Duration) float64 {
	if age < 0 {
		return 0
	}
	return max(0, 1-float64(age)/float64(trustSpan))
}

// recall takes up what was known of u at a time: figures fade to those of a stranger. What was sent to a cold one since
// then is not known, and counts as all that it may have been sent. A silent one has to pass a trial first, each balancer
// at a moment of its own.
func (b *Balancer) recall(u *upstream, x EndpointStats, trust float64, now, at time.Duration) {
	warming := x.WarmingUp && x.WarmingSince <= now && now-x.WarmingSince < b.s.Obligations.SlowStartWindow
	if warming && x.WarmingSince > u.coldAt {
		b.chill(u, x.WarmingSince)
	}
	if trust == 0 {
		return
	}
	if x.Unresponsive {
		u.silent, u.wait = true, max(b.tick, min(x.Backoff, b.s.Obligations.SlowStartWindow))
		u.trialAt = now + time.Duration(b.rng.Int64N(int64(u.wait)+1))
	}
	if u.cold {
		if u.spent, u.spentAt = 1, now; now-at < b.s.Obligations.OverloadWindow {
			u.spent = max(1, b.coldRate(u, now)*b.s.Obligations.OverloadWindow.Seconds())
		}
		return
	}
	u.factor = 1 - trust*(1-max(shareFloor, min(1, finite(x.ShareFactor))))
	u.errors, u.work = trust*min(1, finite(x.ErrorRate)), trust*finite(x.WorkRate)
	if x.ConcurrencyLimit > 0 && amount(x.ConcurrencyLimit) {
		u.bound = b.start + trust*(max(b.start*boundLeast/boundStart, x.ConcurrencyLimit)-b.start)
	}
	if x.Latency > 0 && x.WorkUnits > 0 && amount(x.Latency) && amount(x.WorkUnits) {
		u.lat, u.units, u.latDev = x.Latency, x.WorkUnits, finite(x.LatencyDeviation)
		u.slow, u.calm = finite(x.LatencyEWMA), finite(x.BaselineLatency)
	}
}

// --- The pick ---

// pick gives the turn to the upstream due first, an even interleave by shares; legal: any may ever take r.
func (b *Balancer) pick(r *request, now time.Duration) (best *upstream, legal bool) {
	var total float64
	for _, u := range b.near {
		if !u.member {
			continue
		}
		total += b.share(u, now)
		may := b.maySend(r, u, now)
		legal = legal || may
		if may && (best == nil || u.due < best.due) && b.eligible(u, r, now) {
			best = u
		}
	}
	if best == nil && legal {
		best = b.lastResort(r, now)
	}
	if best != nil {
		b.missed(best, now)
		b.turn = max(b.turn, best.due)
		length := total / b.share(best, now)
		best.due = max(best.due, b.turn-debtRounds*length) + length
	}
	return best, legal
}

// lastResort is the upstream whose health-check request is due first, once this balancer has had to reject all that it
// got for so long: the waits between attempts at an upstream grow without a bound. The safest class goes first.
func (b *Balancer) lastResort(r *request, now time.Duration) (best *upstream) {
	if b.sentAt >= b.blockedAt {
		b.blockedAt = now
	}
	wait := blockedMost
	if r.class.Idempotency != b.safest {
		wait += blockedMost / 2
	}
	if now-b.blockedAt < wait {
		return nil
	}
	for _, u := range b.near {
		if !u.member || u.zone.left || u.zone.failed || !b.maySend(r, u, now) || !b.inTime(u, r, now) {
			continue
		}
		if (best == nil || u.trialAt < best.trialAt) && (b.ramp(u, now) == 1 || b.coldRoom(u, r, now)) {
			best = u
		}
	}
	return best
}

// --- Admission ---

// dispatch sends held requests while turns come free, and ends those that could not be answered in time. A
// first try that fits nowhere shows that no later one fits.
func (b *Balancer) dispatch(now time.Duration) {
	kept, blocked := b.held[:0], false
	for _, r := range b.held {
		if !r.done && now >= r.sendBy {
			b.log(now, "shed", "%d held, no turn free within the aim: refusing", len(b.held))
			b.giveUp(r)
		} else if !r.done && !blocked {
			if u, _ := b.pick(r, now); u != nil {
				b.send(r, u, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(b.held[len(kept):])
	b.held = kept
}

// --- Discovery ---

// Members takes what discovery says of the upstreams.
func (b *Balancer) OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint) {
	if mode == UpdateFailed { // ask again, later each time and never all instances at once
		// What discovery tells counts as told some seconds later, heard or not, so calls stay close; where it pushes, at once.
		longest := min(b.s.Obligations.PollInterval/8, toldLate/4)
		if !b.s.PollDiscovery {
			longest = b.s.Obligations.DrainGrace / 4
		}
		b.watchWait = min(max(b.watchWait*waitGrowth, longest/4), longest)
		wait := b.watchWait/2 + time.Duration(b.rng.Int64N(int64(b.watchWait)+1))
		b.host.SetTimer(wait, watchToken)
		b.log(now, "discovery", "discovery call failed: asking again in %v", wait)
		return
	}
	b.watchWait = 0
	named := make(map[EndpointID]bool, len(list))
	for _, e := range list {
		named[e.ID] = true
		b.member(e.clean(), now)
	}
	for _, u := range b.ups {
		if mode != UpdateDelta && !named[u.ID] {
			u.State = Removed
		}
	}
	b.gather(now)
	if b.stay == 0 { // not begun
		b.lean(now)
	}
	b.dispatch(now)
}

// member applies one list entry.
func (b *Balancer) member(e Endpoint, now time.Duration) {
	u := b.byID[e.ID]
	if u == nil && e.State == Removed {
		return
	} else if u == nil {
		u = &upstream{weight: e.Weight, factor: 1, most: boundStart, wait: b.tick, spentAt: now, answeredAt: now,
			cutAt: now, freeAt: now, place: mixed(uint64(e.ID))}
		b.byID[e.ID], b.ups = u, append(b.ups, u)
	}
	if e.StartedAt > u.StartedAt { // new, or restarted under the same id
		u.silent, u.freeAt, u.backAt = false, now, now
		if now-e.StartedAt < b.s.Obligations.SlowStartWindow {
			b.chill(u, e.StartedAt)
		}
	}
	u.Endpoint, u.zone = e, b.zoneOf(e.Zone)
	if b.s.Weights == WeightLive { // late and the same for all: only its slow mean is safe to follow
		e.Weight = u.weight + smoothing*(e.Weight-u.weight)
	}
	u.weight = max(e.Weight, math.SmallestNonzeroFloat32)
}

// gather chooses the upstreams that this balancer uses. Where balancers are many each upstream serves some of
// them, or its connections run out and no balancer sees enough of it. All see the same ring of upstreams and
// take a stretch from a place of their own; the golden ratio spreads these evenly for any run of ranks. Cold
// and silent ones stay in the stretch, which then goes on to as many more.
func (b *Balancer) gather(now time.Duration) {
	ring := slices.DeleteFunc(slices.Clone(b.ups), func(u *upstream) bool { return u.State != Active })
	slices.SortFunc(ring, func(x, y *upstream) int { return cmp.Compare(x.place, y.place) })
	n, all := float64(len(ring)), float64(b.fleet.Balancers)
	want := max(1, min(n, max(subsetLeast, math.Ceil(n*sharers/max(sharers, all-sharers)))))
	b.few = want < min(n, homeFew)
	b.start = boundStart * max(n, 1) / want / float64(b.fleet.MaxBalancers)
	_, at := math.Modf(float64(b.fleet.Rank) * math.Phi)
	good, chosen := 0.0, map[*upstream]bool{}
	for i, u := range b.homeFirst(ring, at, want) {
		if i >= int(2*want) || good >= want {
			break
		}
		if chosen[u] = true; !u.cold && !u.silent && !u.zone.left && !u.zone.failed {
			good++
		}
	}
	b.near = b.near[:0]
	for _, u := range b.ups {
		if chosen[u] && !u.member { // its first turn is drawn, or balancers march in step
			first := b.rng.Float64()
			u.bound, u.readAt, u.due = cmp.Or(u.bound, b.start), now, b.turn+first*want
			u.freeAt = max(u.freeAt, now+time.Duration(first*float64(b.pause(u)))) // or all crowd it at once
			u.spent, u.spentAt = first, now
			u.probedAt = now - time.Duration(first*float64(bandPeriod))
		}
		if u.member = chosen[u]; u.member || len(u.outs) > 0 {
			b.near = append(b.near, u)
		}
	}
}

// Probed takes a probe's result: a reading only, since a shallow probe proves no more than a process.
func (b *Balancer) OnHealthCheckResult(now time.Duration, p HealthCheckResult) {
	if u := b.byID[p.Endpoint]; u != nil && p.Status == OK {
		b.read(u, p.Load.clean(), false, 0, now)
	}
}

// --- Timers ---

// Timer takes a timer that the Balancer has set.
func (b *Balancer) OnTimer(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; a stray one must not start a second row of ticks
		b.host.WatchEndpoints(true)
		return
	}
	b.host.SetTimer(b.tick, tickToken)
	if now-b.stepAt >= bandPeriod {
		b.step(now)
	}
	ask := b.s.Reports == ReportInHealthChecks && b.s.Limits.AllowHealthChecks
	for _, u := range b.near {
		b.quiet(u, now)
		if ask && u.member && now-u.probedAt >= bandPeriod {
			u.probedAt = now
			b.host.HealthCheck(u.ID)
		}
	}
	b.health(now)
	b.dispatch(now)
}
