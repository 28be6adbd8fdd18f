package check

import (
	"testing"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/labtest"
)

const text = `
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

// tale writes histories in short.
type tale []history.Event

func (t tale) add(at time.Duration, kind history.Kind, change func(*history.Event)) tale {
	e := history.Event{At: at, FirstByteAt: at, Kind: kind, RequestID: 1, Upstream: history.None, Deadline: 2 * time.Second}
	if change != nil {
		change(&e)
	}
	return append(t, e)
}

func (t tale) asked(class int16) tale {
	return t.add(0, history.Sent, func(e *history.Event) { e.Class = class })
}

func (t tale) attempt(at time.Duration, kind history.Kind, class int16, upstream, serial int32) tale {
	return t.add(at, kind, func(e *history.Event) { e.Class, e.Upstream, e.Serial = class, upstream, serial })
}

func (t tale) answered(at time.Duration, class int16, r client.Result) tale {
	return t.add(at, history.Answered, func(e *history.Event) { e.Class, e.Result = class, r })
}

func (t tale) process(at time.Duration, kind history.Kind) tale { return t.add(at, kind, nil) }

func (t tale) told(at time.Duration, phase string) tale {
	return t.add(at, history.Notified, func(e *history.Event) { e.Upstream, e.Text = 0, phase })
}

// Each history breaks the rule that it stands beside, or none.
func TestHistories(t *testing.T) {
	d := labtest.Day(t, text)
	onB2 := func(t tale) tale {
		for i := range t {
			t[i].Balancer = 1
		}
		return t
	}
	for _, c := range []struct {
		name string
		rule Rule
		tale tale
	}{
		{"served", "", tale{}.asked(buy).attempt(1*ms, history.Arrived, buy, 0, 1).attempt(9*ms, history.Replied, buy, 0, 1).answered(10*ms, buy, client.Served)},
		{"never answered", OneAnswer, tale{}.asked(read).process(2600*ms, history.TimedOut)},
		{"answered too late", OneAnswer, tale{}.asked(read).answered(2600*ms, read, client.Failed)},
		{"answered late, within the grace", "", tale{}.asked(read).answered(2400*ms, read, client.Failed)},
		{"closed on", OneAnswer, tale{}.asked(read).process(300*ms, history.Broken)},
		{"killed under it", "", tale{}.asked(read).process(200*ms, history.Killed).process(201*ms, history.Exited).process(201*ms, history.Broken)},
		{"ended by SIGTERM under it", OneAnswer, tale{}.asked(read).process(200*ms, history.Signalled).process(201*ms, history.Exited).process(201*ms, history.Broken)},
		{"frozen over its time", "", tale{}.asked(read).process(200*ms, history.Paused).process(2600*ms, history.TimedOut)},
		{"cut off", "", onB2(tale{{At: 5 * time.Second, Kind: history.FaultBegan}}.add(5200*ms, history.Sent, func(e *history.Event) { e.Deadline = 7 * time.Second }).process(7600*ms, history.TimedOut))},
		{"another one is cut off", OneAnswer, tale{{At: 5 * time.Second, Kind: history.FaultBegan}}.add(5200*ms, history.Sent, func(e *history.Event) { e.Deadline = 7 * time.Second }).process(7600*ms, history.TimedOut)},
		{"an unsafe one repeated", OneEffect, tale{}.asked(buy).attempt(1*ms, history.Arrived, buy, 0, 1).attempt(5*ms, history.Abandoned, buy, 0, 1).attempt(900*ms, history.Arrived, buy, 1, 2).attempt(901*ms, history.Replied, buy, 1, 2)},
		{"an unsafe one sent on after it was turned away", "", tale{}.asked(buy).attempt(1*ms, history.Rejected, buy, 0, 1).attempt(5*ms, history.Arrived, buy, 1, 2)},
		{"an unsafe one refused though it may have run", OneEffect, tale{}.asked(buy).attempt(1*ms, history.Arrived, buy, 0, 1).attempt(5*ms, history.Abandoned, buy, 0, 1).answered(10*ms, buy, client.Rejected)},
		{"a keyed one in its zone", "", tale{}.asked(topup).attempt(1*ms, history.Arrived, topup, 0, 1).attempt(5*ms, history.Abandoned, topup, 0, 1).attempt(6*ms, history.Arrived, topup, 1, 2)},
		{"a keyed one in another zone", OneEffect, tale{}.asked(topup).attempt(1*ms, history.Arrived, topup, 0, 1).attempt(5*ms, history.Abandoned, topup, 0, 1).attempt(6*ms, history.Arrived, topup, 2, 2)},
		{"a keyed one forgotten", OneEffect, tale{}.asked(topup).attempt(1*ms, history.Arrived, topup, 0, 1).attempt(5*ms, history.Abandoned, topup, 0, 1).attempt(1200*ms, history.Arrived, topup, 1, 2)},
		{"two out at once", OneEffect, tale{}.asked(read).attempt(1*ms, history.Arrived, read, 0, 1).attempt(200*ms, history.Arrived, read, 1, 2).attempt(400*ms, history.Replied, read, 0, 1)},
		{"one out after the other", "", tale{}.asked(read).attempt(1*ms, history.Arrived, read, 0, 1).attempt(200*ms, history.Arrived, read, 1, 2).attempt(210*ms, history.Abandoned, read, 0, 1).attempt(220*ms, history.Replied, read, 1, 2)},
		{"six attempts", OneEffect, tale{}.asked(read).attempt(1*ms, history.Rejected, read, 0, 1).attempt(2*ms, history.Rejected, read, 1, 2).attempt(3*ms, history.Rejected, read, 0, 3).attempt(4*ms, history.Rejected, read, 1, 4).attempt(5*ms, history.Rejected, read, 0, 5).attempt(6*ms, history.Rejected, read, 1, 6)},
		{"sent after a drain", Drained, tale{}.told(0, "draining").attempt(600*ms, history.Rejected, read, 0, 1)},
		{"sent soon after a drain", "", tale{}.told(0, "draining").attempt(500*ms, history.Rejected, read, 0, 1)},
		{"sent after a drain has ended", "", tale{}.told(0, "draining").told(300*ms, "up").attempt(900*ms, history.Rejected, read, 0, 1)},
		{"sent by one that has begun anew and was not told", "", tale{}.told(0, "draining").process(100*ms, history.Signalled).process(100*ms, history.Exited).attempt(900*ms, history.Rejected, read, 0, 1)},
		{"ended untold", NoCrash, tale{}.process(0, history.Started).process(500*ms, history.Exited)},
		{"over a limit", Limits, tale{}.add(0, history.OverLimit, func(e *history.Event) { e.Text = "memory" })},
	} {
		got := Judge(d, d.Fleet(), c.tale)
		switch {
		case c.rule == "" && len(got) > 0:
			t.Errorf("%s: %s: %s", c.name, got[0].Rule, got[0].What)
		case c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule):
			t.Errorf("%s: %v, want one breach of %s", c.name, got, c.rule)
		}
	}
}

// Pushing a cold upstream over is a breach of those who knew of its start, and of nobody else.
func TestColdStartNeedsKnowledge(t *testing.T) {
	d := labtest.Day(t, text)
	for _, knew := range []bool{true, false} {
		h := tale{}.add(0, history.UpstreamStarted, func(e *history.Event) { e.Upstream = 0 })
		if knew {
			h = h.told(100*ms, "up")
		}
		for i := range int32(20) {
			h = h.add(time.Duration(200+i)*ms, history.Arrived, func(e *history.Event) {
				e.RequestID, e.Upstream, e.Serial, e.Work, e.Class = uint64(i), 0, i, 1, read
			})
		}
		h = h.add(300*ms, history.Collapsed, func(e *history.Event) { e.Upstream = 0 })
		if got := Judge(d, d.Fleet(), h); (len(got) == 1 && got[0].Rule == ColdStart) != knew {
			t.Errorf("its balancer knew: %v; got %v", knew, got)
		}
	}
}
