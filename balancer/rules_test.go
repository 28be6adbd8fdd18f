package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// checker follows a Balancer's actions and holds them against the text of the rules. It shares
// nothing with the module.
type checker struct {
	t            *testing.T
	settings     Settings
	now          time.Duration
	requests     map[RequestID]*checkedRequest
	inFlight     []*checkedAttempt // attempts out, in order of sending
	timers       []pendingTimer
	listed       map[EndpointID]Endpoint
	removedAt    map[EndpointID]time.Duration
	violations   []string
	maxWarmSends int                            // sends that a warm upstream has had in a cold-start window
	recentSends  map[EndpointID][]time.Duration // sends of the last cold-start window
}

type checkedRequest struct {
	id           RequestID
	class        Class
	deadline     time.Duration
	attempts     []*checkedAttempt
	finalAnswers int
	closedAt     time.Duration // when the end was known, 0: open
}

type checkedAttempt struct {
	request        *checkedRequest
	index          int
	endpoint       Endpoint
	sentAt, endsAt time.Duration
	status         Status
	ended          bool
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

func (c *checker) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// ran tells whether an attempt may have run or may still run.
func (a *checkedAttempt) mayHaveExecuted() bool {
	return !a.ended || !slices.Contains([]Status{Rejected, ConnectFailed, NotSent}, a.status)
}

func (c *checker) onEffect(kind string, id RequestID, endpoint EndpointID, d time.Duration, n uint64) {
	switch kind {
	case "timer":
		c.timers = append(c.timers, pendingTimer{c.now + max(d, ms), n})
	case "send":
		c.onSend(c.requests[id], endpoint, d)
	case "refuse", "fail":
		c.onFinalAnswer(c.requests[id], kind == "refuse")
	case "cancel":
		for _, a := range c.inFlight {
			if a.request.id == id && a.index == int(n) {
				a.endsAt, a.status = c.now+5*ms, Cancelled
			}
		}
	}
}

func (c *checker) onSend(r *checkedRequest, endpoint EndpointID, d time.Duration) {
	if r.finalAnswers > 0 || (r.closedAt > 0 && r.closedAt < c.now) {
		c.violationf("rule 1: request %d sent after its end", r.id)
	}
	if c.now > r.deadline {
		c.violationf("rule 1: request %d sent after its deadline", r.id)
	}
	e, ok := c.listed[endpoint]
	if !ok {
		c.violationf("upstream %d was never listed", endpoint)
	}
	if at, gone := c.removedAt[endpoint]; gone && c.now > at+c.settings.Obligations.DrainGrace {
		c.violationf("rule 3: request %d sent to %d, leaving since %v", r.id, endpoint, at)
	}
	c.checkSlowStart(e)
	out := 0
	for _, a := range r.attempts {
		if !a.ended {
			out++
		}
		if !a.mayHaveExecuted() {
			continue
		}
		switch {
		case r.class.Idempotency == NonIdempotent:
			c.violationf("rule 2: unsafe request %d sent again", r.id)
		case r.class.Idempotency == IdempotentByKey && c.now > a.sentAt+r.class.IdempotencyWindow:
			c.violationf("rule 2: keyed request %d sent again after its memory", r.id)
		case r.class.Idempotency == IdempotentByKey && ((r.class.Scope == ScopeZone && a.endpoint.Zone != e.Zone) || (r.class.Scope == ScopeCell && a.endpoint.Cell != e.Cell)):
			c.violationf("rule 2: keyed request %d sent outside its group", r.id)
		}
	}
	if out > 0 && !c.settings.Limits.AllowHedging {
		c.violationf("rule 2: request %d has two attempts out", r.id)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.violationf("request %d has too many attempts", r.id)
	}
	a := &checkedAttempt{request: r, index: len(r.attempts), endpoint: e, sentAt: c.now, endsAt: r.deadline, status: Timeout}
	if d > 0 {
		a.endsAt = min(r.deadline, c.now+d)
	}
	r.attempts = append(r.attempts, a)
	c.inFlight = append(c.inFlight, a)
}

// cold holds a send against rule 4: within any window a fresh upstream gets no more than the multiple of what it
// can do. What a warm one can do is the most that any has been sent in such a window, and at least this balancer's
// even share of drive's traffic: 133 requests a second, over two balancers and five upstreams.
func (c *checker) checkSlowStart(e Endpoint) {
	age, after := c.now-e.StartedAt, c.settings.Obligations.OverloadWindow
	c.recentSends[e.ID] = append(slices.DeleteFunc(c.recentSends[e.ID], func(at time.Duration) bool {
		return at <= c.now-after || at < e.StartedAt
	}), c.now)
	n := len(c.recentSends[e.ID])
	if e.StartedAt == 0 || age >= c.settings.Obligations.SlowStartWindow {
		c.maxWarmSends = max(c.maxWarmSends, n)
		return
	}
	can := c.settings.Obligations.SlowStartFrom + (1-c.settings.Obligations.SlowStartFrom)*float64(age)/float64(c.settings.Obligations.SlowStartWindow)
	if most := c.settings.Obligations.OverloadMultiple * can * max(float64(c.maxWarmSends), 133.0/5/2*after.Seconds()); float64(n) > most+3 {
		c.violationf("rule 4: upstream %d, started %v ago, was sent %d, %.1f fit", e.ID, age, n, most)
	}
}

func (c *checker) onFinalAnswer(r *checkedRequest, refused bool) {
	r.finalAnswers++
	if r.finalAnswers > 1 || (r.closedAt > 0 && r.closedAt < c.now) {
		c.violationf("rule 1: request %d answered twice", r.id)
	}
	if c.now > r.deadline+c.settings.Obligations.AnswerSlack {
		c.violationf("rule 1: request %d answered %v late", r.id, c.now-r.deadline)
	}
	for _, a := range r.attempts {
		harmless := r.class.Idempotency == Idempotent || (r.class.Idempotency == IdempotentByKey && r.class.Scope == ScopeAll)
		if refused && a.mayHaveExecuted() && !harmless {
			c.violationf("rule 2: request %d refused though it may have run", r.id)
		}
	}
}

// overdue finds requests that have had no final answer in time.
func (c *checker) checkDeadlines() {
	for id, r := range c.requests {
		if r.finalAnswers == 0 && r.closedAt == 0 && c.now > r.deadline+c.settings.Obligations.AnswerSlack {
			c.violationf("rule 1: request %d got no final answer", id)
			r.finalAnswers = 1
		}
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, s := range settingsVariants() {
		for seed := range uint64(12) {
			c, effects := runRandomEvents(t, s, seed, time.Duration(seed)*time.Hour)
			if len(c.violations) > 0 {
				t.Errorf("%s, seed %d: %d broken, first: %s", name, seed, len(c.violations), c.violations[0])
			}
			if effects.count("send") < 200 || effects.count("refuse") == 0 || effects.count("fail") == 0 {
				t.Errorf("%s, seed %d: the events asked too little: %d sends", name, seed, effects.count("send"))
			}
		}
	}
}
