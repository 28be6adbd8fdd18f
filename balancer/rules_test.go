package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// checker checks the effects of a Balancer against the operators' rules. It shares no code with the decision module.
type checker struct {
	settings     Settings
	now          time.Duration
	requests     map[RequestID]*checkedRequest
	inFlight     []*checkedAttempt // in order of sending
	timers       []pendingTimer
	listed       map[EndpointID]Endpoint
	removedAt    map[EndpointID]time.Duration // when an endpoint began to drain or was removed
	violations   []string
	maxWarmSends int                            // maximum of sends to a warm endpoint within an overload window
	recentSends  map[EndpointID][]time.Duration // times of the sends within the last overload window
}

// checkedRequest is the checker's record of a request.
type checkedRequest struct {
	id           RequestID
	class        Class
	deadline     time.Duration
	attempts     []*checkedAttempt
	finalAnswers int
	closedAt     time.Duration // when the balancer was notified that the request needs no answer any more; 0: open
}

// checkedAttempt is the checker's record of an attempt.
type checkedAttempt struct {
	request  *checkedRequest
	index    int
	endpoint Endpoint
	sentAt   time.Duration
	endsAt   time.Duration
	status   Status
	ended    bool
}

// pendingTimer is a timer that the balancer has set and that has not fired yet.
type pendingTimer struct {
	at    time.Duration
	token uint64
}

// fireDueTimers fires the pending timers that are due. Timers set by their handlers fire in the next call at the earliest.
func fireDueTimers(b *Balancer, pending *[]pendingTimer, now time.Duration) {
	timers := *pending
	*pending = nil
	for _, timer := range timers {
		if timer.at <= now {
			b.OnTimer(now, timer.token)
		} else {
			*pending = append(*pending, timer)
		}
	}
}

func newChecker(settings Settings, now time.Duration) *checker {
	return &checker{
		settings:    settings,
		now:         now,
		requests:    map[RequestID]*checkedRequest{},
		listed:      map[EndpointID]Endpoint{},
		removedAt:   map[EndpointID]time.Duration{},
		recentSends: map[EndpointID][]time.Duration{},
	}
}

// violationf records a violation of a rule.
func (c *checker) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// mayHaveExecuted reports whether the request of an attempt may have been executed, or may still be.
func (a *checkedAttempt) mayHaveExecuted() bool {
	return !a.ended || !slices.Contains([]Status{Rejected, ConnectFailed, NotSent}, a.status)
}

// isOpen reports whether a request still needs an answer.
func (r *checkedRequest) isOpen() bool { return r.finalAnswers == 0 && r.closedAt == 0 }

// closedBefore reports whether the balancer was notified before now that a request needs no answer any more.
func (r *checkedRequest) closedBefore(now time.Duration) bool {
	return r.closedAt > 0 && r.closedAt < now
}

// attemptsInFlight returns the number of attempts of a request that have not ended.
func (r *checkedRequest) attemptsInFlight() int {
	n := 0
	for _, a := range r.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

// onEffect checks and records a call of Effects.
func (c *checker) onEffect(call effectCall) {
	switch call.kind {
	case setTimerEffect:
		c.timers = append(c.timers, pendingTimer{c.now + max(call.duration, ms), call.number})
	case sendEffect:
		c.onSend(c.requests[call.id], call.endpoint, call.duration)
	case rejectEffect:
		c.onFinalAnswer(c.requests[call.id])
		c.checkRejection(c.requests[call.id])
	case failEffect:
		c.onFinalAnswer(c.requests[call.id])
	case cancelEffect:
		c.onCancel(call.id, int(call.number))
	}
}

// onCancel makes a cancelled attempt end 5 ms later.
func (c *checker) onCancel(id RequestID, index int) {
	for _, a := range c.inFlight {
		if a.request.id == id && a.index == index {
			a.endsAt = c.now + 5*ms
			a.status = Cancelled
		}
	}
}

// onSend checks a new attempt against the rules and records it.
func (c *checker) onSend(r *checkedRequest, id EndpointID, timeout time.Duration) {
	if r.finalAnswers > 0 || r.closedBefore(c.now) {
		c.violationf("rule 1: request %d sent after its end", r.id)
	}
	if c.now > r.deadline {
		c.violationf("rule 1: request %d sent after its deadline", r.id)
	}
	e, listed := c.listed[id]
	if !listed {
		c.violationf("endpoint %d was never listed", id)
	}
	removedAt, removed := c.removedAt[id]
	if removed && c.now > removedAt+c.settings.Obligations.DrainGrace {
		c.violationf("rule 3: request %d sent to %d, draining or removed since %v", r.id, id, removedAt)
	}
	c.checkSlowStart(e)
	c.checkRetry(r, e)
	a := &checkedAttempt{request: r, index: len(r.attempts), endpoint: e, sentAt: c.now, endsAt: r.deadline, status: Timeout}
	if timeout > 0 {
		a.endsAt = min(r.deadline, c.now+timeout)
	}
	r.attempts = append(r.attempts, a)
	c.inFlight = append(c.inFlight, a)
}

// checkRetry checks an attempt against rule 2: a request that may have been executed is sent again only where that is safe.
func (c *checker) checkRetry(r *checkedRequest, e Endpoint) {
	for _, earlier := range r.attempts {
		if !earlier.mayHaveExecuted() {
			continue
		}
		switch {
		case r.class.Idempotency == NonIdempotent:
			c.violationf("rule 2: non-idempotent request %d sent again", r.id)
		case r.class.Idempotency == IdempotentByKey && c.now > earlier.sentAt+r.class.IdempotencyWindow:
			c.violationf("rule 2: keyed request %d sent again after its idempotency window", r.id)
		case r.class.Idempotency == IdempotentByKey && !inScope(r.class.Scope, earlier.endpoint, e):
			c.violationf("rule 2: keyed request %d sent outside its scope", r.id)
		}
	}
	if r.attemptsInFlight() > 0 && !c.settings.Limits.AllowHedging {
		c.violationf("rule 2: request %d has two attempts in flight", r.id)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.violationf("request %d has too many attempts", r.id)
	}
}

// inScope reports whether two endpoints share a store of idempotency keys.
func inScope(scope IdempotencyScope, x, y Endpoint) bool {
	switch scope {
	case ScopeZone:
		return x.Zone == y.Zone
	case ScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// checkSlowStart checks a send against rule 4: within any overload window a warming endpoint gets no more than the overload
// multiple of its capacity. The capacity of a warm endpoint is taken as the maximum that any was sent in such a window, and
// at least this balancer's even share of the random traffic: 133 requests per second, divided by two balancers and five
// endpoints.
func (c *checker) checkSlowStart(e Endpoint) {
	const (
		evenShare = 133.0 / 5 / 2 // requests per second
		slack     = 3             // sends
	)
	obligations := c.settings.Obligations
	age := c.now - e.StartedAt
	recent := slices.DeleteFunc(c.recentSends[e.ID], func(at time.Duration) bool {
		return at <= c.now-obligations.OverloadWindow || at < e.StartedAt
	})
	c.recentSends[e.ID] = append(recent, c.now)
	sends := len(c.recentSends[e.ID])
	if e.StartedAt == 0 || age >= obligations.SlowStartWindow {
		c.maxWarmSends = max(c.maxWarmSends, sends)
		return
	}
	capacity := obligations.SlowStartFrom + (1-obligations.SlowStartFrom)*float64(age)/float64(obligations.SlowStartWindow)
	warmSends := max(float64(c.maxWarmSends), evenShare*obligations.OverloadWindow.Seconds())
	maxSends := obligations.OverloadMultiple * capacity * warmSends
	if float64(sends) > maxSends+slack {
		c.violationf("rule 4: endpoint %d, started %v ago, was sent %d, at most %.1f are allowed", e.ID, age, sends, maxSends)
	}
}

// onFinalAnswer checks a rejection or failure against rule 1: each request gets exactly one final answer, in time.
func (c *checker) onFinalAnswer(r *checkedRequest) {
	r.finalAnswers++
	if r.finalAnswers > 1 || r.closedBefore(c.now) {
		c.violationf("rule 1: request %d answered twice", r.id)
	}
	if c.now > r.deadline+c.settings.Obligations.AnswerSlack {
		c.violationf("rule 1: request %d answered %v late", r.id, c.now-r.deadline)
	}
}

// checkRejection checks a rejection against rule 2: it promises that a retry is harmless.
func (c *checker) checkRejection(r *checkedRequest) {
	harmless := r.class.Idempotency == Idempotent || (r.class.Idempotency == IdempotentByKey && r.class.Scope == ScopeAll)
	for _, a := range r.attempts {
		if a.mayHaveExecuted() && !harmless {
			c.violationf("rule 2: request %d rejected though it may have been executed", r.id)
		}
	}
}

// checkDeadlines checks rule 1 for requests that got no final answer in time.
func (c *checker) checkDeadlines() {
	for id, r := range c.requests {
		if r.isOpen() && c.now > r.deadline+c.settings.Obligations.AnswerSlack {
			c.violationf("rule 1: request %d got no final answer", id)
			r.finalAnswers = 1
		}
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, settings := range settingsVariants() {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				checker, effects := runRandomEvents(t, settings, seed, time.Duration(seed)*time.Hour)
				if len(checker.violations) > 0 {
					t.Errorf("%d violations, first: %s", len(checker.violations), checker.violations[0])
				}
				if effects.count("send") < 200 || effects.count("refuse") == 0 || effects.count("fail") == 0 {
					t.Errorf("the events exercise too little: %d sends, %d rejections, %d failures",
						effects.count("send"), effects.count("refuse"), effects.count("fail"))
				}
			})
		}
	}
}
