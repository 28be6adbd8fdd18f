package measure

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/labtest"
	"sprucehill/internal/lab/scenario"
)

const testScenario = `
length = "20s"
settle = "2s"
[[region]]
name = "r"
[[region.zone]]
name = "a"
balancers = 1
upstreams = [{model = "m"}]
[[region.zone]]
name = "b"
balancers = 1
upstreams = [{model = "m"}]
[model.m]
[[class]]
name = "cheap"
aim = "1s"
deadline = "2s"
work = ["1ms", "1ms"]
worth = 1
[[class]]
name = "dear"
aim = "1s"
deadline = "2s"
work = ["1ms", "1ms"]
worth = 3
[load]
rate = 10
[[fault]]
at = "10s"
for = "3s"
kind = "errors"
size = 1
target = ["all"]
`

// syntheticRun returns a scenario, its arrivals, one each 100 ms, and a history in which each request is served with the
// latency and by the upstream that respond returns, or fails if the latency is 0.
func syntheticRun(t *testing.T, respond func(i int, a scenario.Arrival) (latency time.Duration, upstream int32)) (*scenario.Scenario, []scenario.Arrival, []history.Event) {
	t.Helper()
	sc := labtest.ParseScenario(t, testScenario)
	var arrivals []scenario.Arrival
	var events []history.Event
	for i := range 200 {
		a := scenario.Arrival{At: time.Duration(i) * 100 * time.Millisecond, Class: i % 2, Tenant: -1}
		arrivals = append(arrivals, a)
		latency, u := respond(i, a)
		e := history.Event{At: a.At, Kind: history.Sent, RequestID: uint64(i), Arrival: int32(i), Upstream: history.None}
		events = append(events, e)
		e.Kind, e.Upstream, e.Work = history.Arrived, u, 0.01
		events = append(events, e)
		if e.Kind, e.At, e.Result = history.Answered, a.At+latency, client.Served; latency == 0 {
			e.Result = client.Failed
		}
		events = append(events, e)
	}
	return sc, arrivals, events
}

// Requests from 10 to 14 s fail, one in ten of the others is late, and a quarter of attempts cross zones.
func TestSummary(t *testing.T) {
	sc, arrivals, events := syntheticRun(t, func(i int, a scenario.Arrival) (time.Duration, int32) {
		u := int32(0)
		if i%4 == 3 {
			u = 1
		}
		switch {
		case a.At >= 10*time.Second && a.At < 14*time.Second:
			return 0, u
		case i%10 == 0:
			return 1500 * time.Millisecond, u
		}
		return 100 * time.Millisecond, u
	})
	s := Summarize(sc, sc.Fleet(), "hand", arrivals, events, nil)
	expectNear := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.002*max(1, math.Abs(want)) {
			t.Errorf("%s is %v, want %v", what, got, want)
		}
	}
	// After the first 2 s: 180 requests, 40 fail and 14 are late, all late ones of class cheap.
	expectNear("in time", s.Main.ShareByOutcome[ServedInTime.String()], 126.0/180)
	expectNear("late", s.Main.ShareByOutcome[ServedLate.String()], 14.0/180)
	expectNear("served ratio", s.Main.ServedRatio, (56.0*1+70*3)/(90*1+90*3))
	expectNear("served ratio of class cheap", s.ServedRatioByClass["cheap"], 56.0/90)
	expectNear("cross-zone ratio", s.CrossZoneRatio, 0.25)
	expectNear("attempts per request", s.AttemptsPerRequest, 1)
	expectNear("p50", s.Main.Latency.P50, 100)
	// The worst 10 s hold all 40 that failed, and six late ones.
	expectNear("worst 10 s", s.WorstStretchRatio, (24.0*1+30*3)/(50*1+50*3))
	r := s.Recoveries[0]
	if r.RecoverySeconds == nil {
		t.Fatal("no recovery")
	}
	expectNear("lowest served ratio", r.LowestServedRatio, 0)
	expectNear("recovery seconds", *r.RecoverySeconds, 1) // the fault ends at 13 s, service recovers at 14 s
}

// A request with two responses counts once, and a client's retry counts towards the original request.
func TestRequestsAcrossRetries(t *testing.T) {
	sc, arrivals, _ := syntheticRun(t, func(int, scenario.Arrival) (time.Duration, int32) { return time.Millisecond, 0 })
	at := func(ms int, kind history.Kind, try int8, r client.Result) history.Event {
		return history.Event{At: time.Duration(ms) * time.Millisecond, Kind: kind, Retry: try, Result: r}
	}
	r := Requests(sc, arrivals[:1], []history.Event{at(0, history.Sent, 0, 0), at(5, history.Answered, 0, client.Rejected),
		at(9, history.Sent, 1, 0), at(500, history.Answered, 1, client.Served), at(600, history.Answered, 1, client.Failed)})[0]
	if r.Outcome != ServedInTime || r.Tries != 2 || r.Latency != 500*time.Millisecond {
		t.Errorf("got %+v", r)
	}
}

// A run on which the lab started requests late is void.
func TestLateLabIsVoid(t *testing.T) {
	late := make([]time.Duration, 1000)
	if l := NewLab(late, 1, 0, 0, 0); l.VoidReason != "" {
		t.Errorf("run without lateness is void: %s", l.VoidReason)
	}
	late[7] = time.Second
	if l := NewLab(late, 1, 0, 0, 0); l.VoidReason == "" {
		t.Error("run with a request started 1 s late is not void")
	}
}

// Checks which balancers left an unreachable zone and when, which doubted a healthy one, and how utilization is distributed.
func TestZones(t *testing.T) {
	sc, arrivals, events := syntheticRun(t, func(i int, _ scenario.Arrival) (time.Duration, int32) { return 50 * time.Millisecond, int32(i / 150) })
	sc.Faults[0].Target = []string{"zone:b"}
	recordZoneState := func(at time.Duration, balancer int32, zone int16, state string) {
		events = append(events, history.Event{At: at, Kind: history.ZoneState, Balancer: balancer, Zone: zone, Upstream: history.None,
			Arrival: history.None, Text: state})
	}
	recordZoneState(10*time.Second+400*time.Millisecond, 0, 1, "failed")
	recordZoneState(11*time.Second, 1, 0, "doubtful")
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	z := Summarize(sc, sc.Fleet(), "model", arrivals, events, nil).Zones
	if z.LeaveTimes == nil || z.LeaveTimes.Count != 1 || z.LeaveTimes.NeverLeft != 1 || math.Abs(z.LeaveTimes.MaxSeconds-0.4) > 0.01 {
		t.Errorf("leave times are %+v, want one of two balancers to leave zone b, after 0.4 s", z.LeaveTimes)
	}
	if z.WronglyDoubtedRatio != 0.25 { // one of two upstreams at one of two balancers
		t.Errorf("wrongly doubted ratio is %v, want 0.25", z.WronglyDoubtedRatio)
	}
	if want := 2 * 130.0 / 180; math.Abs(z.All[0].AttemptShare-want/2) > 0.02 || math.Abs(z.PeakUtilizationRatio-want) > 0.04 {
		t.Errorf("zone a has share %v of the attempts and peak utilization ratio is %v; want %v and %v", z.All[0].AttemptShare, z.PeakUtilizationRatio, want/2, want)
	}
	if math.Abs(z.AttemptShareSwing-0.4) > 0.001 { // of the stretch from 12 to 17 s two fifths went to zone b, of those before none
		t.Errorf("attempt share swing is %v, want 0.4", z.AttemptShareSwing)
	}
}

// A second dip after the recovery counts, but not one that the next fault causes.
func TestSecondDip(t *testing.T) {
	dip := func(i int) bool { return i >= 150 && i < 180 } // 15 to 18 s; the fault ends at 13
	sc, arrivals, events := syntheticRun(t, func(i int, _ scenario.Arrival) (time.Duration, int32) {
		if dip(i) && i%2 == 0 {
			return 0, 0
		}
		return 50 * time.Millisecond, 0
	})
	s := Summarize(sc, sc.Fleet(), "model", arrivals, events, nil)
	if r := s.Recoveries[0]; r.RecoverySeconds == nil || *r.RecoverySeconds != 0 || math.Abs(r.SecondDipRatio-0.75) > 0.01 {
		t.Errorf("recovery after %v s and second dip to %v of the level before, want 0 and 0.75", r.RecoverySeconds, r.SecondDipRatio)
	}
	sc.Faults = append(sc.Faults, sc.Faults[0])
	sc.Faults[1].At = scenario.Duration(15 * time.Second)
	if r := Summarize(sc, sc.Fleet(), "model", arrivals, events, nil).Recoveries[0]; r.SecondDipRatio < 0.99 {
		t.Errorf("dip of the next fault counts as a second dip of the first: %v", r.SecondDipRatio)
	}
}

// Starts during the run are timed to the ingress's first successful health check and to the first request served.
func TestStarts(t *testing.T) {
	event := func(at int, kind history.Kind, balancer int32, result client.Result) history.Event {
		return history.Event{At: time.Duration(at) * time.Millisecond, Kind: kind, Balancer: balancer, Result: result}
	}
	s := newStarts([]history.Event{event(0, history.Started, 0, 0), event(5, history.Ready, 0, 0), event(50, history.Answered, 0, client.Served),
		event(1000, history.Started, 0, 0), event(1000, history.Started, 1, 0), event(1020, history.Ready, 0, 0), event(1030, history.Ready, 0, 0),
		event(1100, history.Answered, 0, client.Rejected), event(1250, history.Answered, 0, client.Served), event(1300, history.Answered, 0, client.Served),
		event(1400, history.Exited, 1, 0), event(2000, history.Exited, 0, 0)})
	if s == nil || s.Count != 2 || s.NeverServed != 1 || math.Abs(s.ReadyP99Seconds-0.02) > 1e-3 || math.Abs(s.ServedP99Seconds-0.25) > 1e-3 {
		t.Errorf("got %+v, want 2 starts, one of which never served, ready after 0.02 s, served after 0.25 s", s)
	}
	if newStarts([]history.Event{event(0, history.Started, 0, 0)}) != nil {
		t.Error("start at the beginning of the run is counted")
	}
}
