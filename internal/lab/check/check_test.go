package check

import (
	"testing"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/labtest"
)

const testScenario = `
length = "10s"
[[region]]
name = "r"
[[region.zone]]
name = "a"
balancers = 2
upstreams = [{model = "m", count = 2}]
[[region.zone]]
name = "b"
balancers = 1
upstreams = [{model = "m", count = 2}]
[model.m]
[[class]]
name = "read"
aim = "1s"
deadline = "2s"
work = ["1ms", "1ms"]
[[class]]
name = "buy"
repeat = "unsafe"
aim = "1s"
deadline = "2s"
work = ["1ms", "1ms"]
[[class]]
name = "topup"
repeat = "keyed"
group = "zone"
memory = "1s"
aim = "1s"
deadline = "4s"
work = ["1ms", "1ms"]
[load]
rate = 1
[[fault]]
at = "5s"
for = "1s"
kind = "cut"
from = ["clients:a"]
to = ["balancer:a-b2"]
`

const (
	read, buy, topup = 0, 1, 2
	ms               = time.Millisecond
)

// trace builds a history.
type trace []history.Event

func (t trace) add(at time.Duration, kind history.Kind, change func(*history.Event)) trace {
	e := history.Event{At: at, FirstByteAt: at, Kind: kind, RequestID: 1, Upstream: history.None, Deadline: 2 * time.Second}
	if change != nil {
		change(&e)
	}
	return append(t, e)
}

func (t trace) sent(class int16) trace {
	return t.add(0, history.Sent, func(e *history.Event) { e.Class = class })
}

func (t trace) attempt(at time.Duration, kind history.Kind, class int16, upstream, serial int32) trace {
	return t.add(at, kind, func(e *history.Event) { e.Class, e.Upstream, e.Serial = class, upstream, serial })
}

func (t trace) answered(at time.Duration, class int16, r client.Result) trace {
	return t.add(at, history.Answered, func(e *history.Event) { e.Class, e.Result = class, r })
}

func (t trace) process(at time.Duration, kind history.Kind) trace { return t.add(at, kind, nil) }

func (t trace) notified(at time.Duration, phase string) trace {
	return t.add(at, history.Notified, func(e *history.Event) { e.Upstream, e.Text = 0, phase })
}

// Each history violates exactly the rule given with it, or none.
func TestRules(t *testing.T) {
	sc := labtest.ParseScenario(t, testScenario)
	onSecondBalancer := func(t trace) trace {
		for i := range t {
			t[i].Balancer = 1
		}
		return t
	}
	for _, c := range []struct {
		name   string
		rule   Rule
		events trace
	}{
		{"served", "", trace{}.sent(buy).attempt(1*ms, history.Arrived, buy, 0, 1).attempt(9*ms, history.Replied, buy, 0, 1).answered(10*ms, buy, client.Served)},
		{"never answered", OneAnswer, trace{}.sent(read).process(2600*ms, history.TimedOut)},
		{"answered after the grace", OneAnswer, trace{}.sent(read).answered(2600*ms, read, client.Failed)},
		{"answered after the deadline, within the grace", "", trace{}.sent(read).answered(2400*ms, read, client.Failed)},
		{"connection closed without a response", OneAnswer, trace{}.sent(read).process(300*ms, history.Broken)},
		{"balancer killed meanwhile", "", trace{}.sent(read).process(200*ms, history.Killed).process(201*ms, history.Exited).process(201*ms, history.Broken)},
		{"balancer stopped with SIGTERM meanwhile", OneAnswer, trace{}.sent(read).process(200*ms, history.Signalled).process(201*ms, history.Exited).process(201*ms, history.Broken)},
		{"balancer paused past the deadline", "", trace{}.sent(read).process(200*ms, history.Paused).process(2600*ms, history.TimedOut)},
		{"link cut", "", onSecondBalancer(trace{{At: 5 * time.Second, Kind: history.FaultBegan}}.add(5200*ms, history.Sent, func(e *history.Event) { e.Deadline = 7 * time.Second }).process(7600*ms, history.TimedOut))},
		{"link of another balancer cut", OneAnswer, trace{{At: 5 * time.Second, Kind: history.FaultBegan}}.add(5200*ms, history.Sent, func(e *history.Event) { e.Deadline = 7 * time.Second }).process(7600*ms, history.TimedOut)},
		{"unsafe request retried", OneEffect, trace{}.sent(buy).attempt(1*ms, history.Arrived, buy, 0, 1).attempt(5*ms, history.Abandoned, buy, 0, 1).attempt(900*ms, history.Arrived, buy, 1, 2).attempt(901*ms, history.Replied, buy, 1, 2)},
		{"unsafe request retried after a rejection", "", trace{}.sent(buy).attempt(1*ms, history.Rejected, buy, 0, 1).attempt(5*ms, history.Arrived, buy, 1, 2)},
		{"unsafe request rejected although it may have run", OneEffect, trace{}.sent(buy).attempt(1*ms, history.Arrived, buy, 0, 1).attempt(5*ms, history.Abandoned, buy, 0, 1).answered(10*ms, buy, client.Rejected)},
		{"keyed request retried in its zone", "", trace{}.sent(topup).attempt(1*ms, history.Arrived, topup, 0, 1).attempt(5*ms, history.Abandoned, topup, 0, 1).attempt(6*ms, history.Arrived, topup, 1, 2)},
		{"keyed request retried in another zone", OneEffect, trace{}.sent(topup).attempt(1*ms, history.Arrived, topup, 0, 1).attempt(5*ms, history.Abandoned, topup, 0, 1).attempt(6*ms, history.Arrived, topup, 2, 2)},
		{"keyed request retried after its idempotency window", OneEffect, trace{}.sent(topup).attempt(1*ms, history.Arrived, topup, 0, 1).attempt(5*ms, history.Abandoned, topup, 0, 1).attempt(1200*ms, history.Arrived, topup, 1, 2)},
		{"two attempts in flight at once", OneEffect, trace{}.sent(read).attempt(1*ms, history.Arrived, read, 0, 1).attempt(200*ms, history.Arrived, read, 1, 2).attempt(400*ms, history.Replied, read, 0, 1)},
		{"second attempt after the first was abandoned", "", trace{}.sent(read).attempt(1*ms, history.Arrived, read, 0, 1).attempt(200*ms, history.Arrived, read, 1, 2).attempt(210*ms, history.Abandoned, read, 0, 1).attempt(220*ms, history.Replied, read, 1, 2)},
		{"more attempts than allowed", OneEffect, trace{}.sent(read).attempt(1*ms, history.Rejected, read, 0, 1).attempt(2*ms, history.Rejected, read, 1, 2).attempt(3*ms, history.Rejected, read, 0, 3).attempt(4*ms, history.Rejected, read, 1, 4).attempt(5*ms, history.Rejected, read, 0, 5).attempt(6*ms, history.Rejected, read, 1, 6)},
		{"sent to a draining upstream", Drained, trace{}.notified(0, "draining").attempt(600*ms, history.Rejected, read, 0, 1)},
		{"sent to a draining upstream within the drain grace", "", trace{}.notified(0, "draining").attempt(500*ms, history.Rejected, read, 0, 1)},
		{"sent after the drain ended", "", trace{}.notified(0, "draining").notified(300*ms, "up").attempt(900*ms, history.Rejected, read, 0, 1)},
		{"sent by a restarted balancer without a notification", "", trace{}.notified(0, "draining").process(100*ms, history.Signalled).process(100*ms, history.Exited).attempt(900*ms, history.Rejected, read, 0, 1)},
		{"exited without a signal", NoCrash, trace{}.process(0, history.Started).process(500*ms, history.Exited)},
		{"memory over its limit", Limits, trace{}.add(0, history.OverLimit, func(e *history.Event) { e.Text = "memory" })},
	} {
		got := Check(sc, sc.Fleet(), c.events)
		switch {
		case c.rule == "" && len(got) > 0:
			t.Errorf("%s: %s: %s", c.name, got[0].Rule, got[0].Description)
		case c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule):
			t.Errorf("%s: %v, want one violation of %s", c.name, got, c.rule)
		}
	}
}

// Overloading a warming-up upstream is a violation only if the balancer had been notified of its start.
func TestColdStartNeedsKnowledge(t *testing.T) {
	sc := labtest.ParseScenario(t, testScenario)
	for _, notified := range []bool{true, false} {
		events := trace{}.add(0, history.UpstreamStarted, func(e *history.Event) { e.Upstream = 0 })
		if notified {
			events = events.notified(100*ms, "up")
		}
		for i := range int32(20) {
			events = events.add(time.Duration(200+i)*ms, history.Arrived, func(e *history.Event) {
				e.RequestID, e.Upstream, e.Serial, e.Work, e.Class = uint64(i), 0, i, 1, read
			})
		}
		events = events.add(300*ms, history.Collapsed, func(e *history.Event) { e.Upstream = 0 })
		if got := Check(sc, sc.Fleet(), events); (len(got) == 1 && got[0].Rule == ColdStart) != notified {
			t.Errorf("balancer notified: %t: got %v", notified, got)
		}
	}
}
