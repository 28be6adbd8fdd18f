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

const handDay = `
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

// playByHand returns a day of one request each 100 ms, each answered with the latency that of returns, or failed for 0,
// and the history of it.
func playByHand(t *testing.T, of func(i int, a scenario.Arrival) (latency time.Duration, upstream int32)) (*scenario.Scenario, []scenario.Arrival, []history.Event) {
	t.Helper()
	d := labtest.Day(t, handDay)
	var arrivals []scenario.Arrival
	var events []history.Event
	for i := range 200 {
		a := scenario.Arrival{At: time.Duration(i) * 100 * time.Millisecond, Class: i % 2, Tenant: -1}
		arrivals = append(arrivals, a)
		latency, u := of(i, a)
		e := history.Event{At: a.At, Kind: history.Sent, RequestID: uint64(i), Arrival: int32(i), Upstream: history.None}
		events = append(events, e)
		e.Kind, e.Upstream, e.Work = history.Arrived, u, 0.01
		events = append(events, e)
		if e.Kind, e.At, e.Result = history.Answered, a.At+latency, client.Served; latency == 0 {
			e.Result = client.Failed
		}
		events = append(events, e)
	}
	return d, arrivals, events
}

// From 10 to 14 s requests fail, one in ten of the rest is late, a quarter of attempts cross zones.
func TestSummary(t *testing.T) {
	d, arrivals, events := playByHand(t, func(i int, a scenario.Arrival) (time.Duration, int32) {
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
	s := Summarize(d, d.Fleet(), "hand", arrivals, events, nil)
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.002*max(1, math.Abs(want)) {
			t.Errorf("%s is %v, want %v", what, got, want)
		}
	}
	// After the first 2 s: 180 requests, 40 fail and 14 are late, all of the late of the cheap class.
	near("in time", s.Main.ShareByOutcome[ServedInTime.String()], 126.0/180)
	near("late", s.Main.ShareByOutcome[ServedLate.String()], 14.0/180)
	near("worth", s.Main.ServedRatio, (56.0*1+70*3)/(90*1+90*3))
	near("cheap", s.ServedRatioByClass["cheap"], 56.0/90)
	near("crossing", s.CrossZoneRatio, 0.25)
	near("attempts", s.AttemptsPerRequest, 1)
	near("p50", s.Main.Latency.P50, 100)
	// The worst 10 s hold all 40 that failed, and six late ones.
	near("worst 10 s", s.WorstStretchRatio, (24.0*1+30*3)/(50*1+50*3))
	r := s.Recoveries[0]
	if r.RecoverySeconds == nil {
		t.Fatal("never back")
	}
	near("least", r.LowestServedRatio, 0)
	near("back", *r.RecoverySeconds, 1) // the fault ends at 13 s, service is back at 14
}

// A request that is answered twice counts once, and a client's retry counts for its first request.
func TestRequestsAcrossRetries(t *testing.T) {
	d, arrivals, _ := playByHand(t, func(int, scenario.Arrival) (time.Duration, int32) { return time.Millisecond, 0 })
	at := func(ms int, kind history.Kind, try int8, r client.Result) history.Event {
		return history.Event{At: time.Duration(ms) * time.Millisecond, Kind: kind, Retry: try, Result: r}
	}
	r := Requests(d, arrivals[:1], []history.Event{at(0, history.Sent, 0, 0), at(5, history.Answered, 0, client.Rejected),
		at(9, history.Sent, 1, 0), at(500, history.Answered, 1, client.Served), at(600, history.Answered, 1, client.Failed)})[0]
	if r.Outcome != ServedInTime || r.Tries != 2 || r.Latency != 500*time.Millisecond {
		t.Errorf("got %+v", r)
	}
}

// A lab that was late voids its run.
func TestLateLabIsVoid(t *testing.T) {
	late := make([]time.Duration, 1000)
	if l := LabOf(late, 1, 0, 0, 0); l.VoidReason != "" {
		t.Errorf("a lab on time: %s", l.VoidReason)
	}
	late[7] = time.Second
	if l := LabOf(late, 1, 0, 0, 0); l.VoidReason == "" {
		t.Error("an arrival a second late does not void the run")
	}
}

// Who left a zone that a fault took away and when, who doubted a healthy one, and how use is spread.
func TestZones(t *testing.T) {
	d, arrivals, events := playByHand(t, func(i int, _ scenario.Arrival) (time.Duration, int32) { return 50 * time.Millisecond, int32(i / 150) })
	d.Faults[0].Target = []string{"zone:b"}
	recordZoneState := func(at time.Duration, balancer int32, zone int16, state string) {
		events = append(events, history.Event{At: at, Kind: history.ZoneState, Balancer: balancer, Zone: zone, Upstream: history.None,
			Arrival: history.None, Text: state})
	}
	recordZoneState(10*time.Second+400*time.Millisecond, 0, 1, "failed")
	recordZoneState(11*time.Second, 1, 0, "doubtful")
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	z := Summarize(d, d.Fleet(), "model", arrivals, events, nil).Zones
	if z.LeaveTimes == nil || z.LeaveTimes.Count != 1 || z.LeaveTimes.NeverLeft != 1 || math.Abs(z.LeaveTimes.MaxSeconds-0.4) > 0.01 {
		t.Errorf("leave %+v: one balancer of two left zone b after 0.4 s", z.LeaveTimes)
	}
	if z.WronglyDoubtedRatio != 0.25 { // one of two upstreams at one of two balancers
		t.Errorf("wrongly %v, want 0.25", z.WronglyDoubtedRatio)
	}
	if want := 2 * 130.0 / 180; math.Abs(z.All[0].AttemptShare-want/2) > 0.02 || math.Abs(z.PeakUtilizationRatio-want) > 0.04 {
		t.Errorf("zone a has %v of attempts and the fullest %v of the fleet's use; want %v and %v", z.All[0].AttemptShare, z.PeakUtilizationRatio, want/2, want)
	}
	if math.Abs(z.AttemptShareSwing-0.4) > 0.001 { // of the stretch from 12 to 17 s two fifths went to zone b, of those before none
		t.Errorf("swing %v, want 0.4", z.AttemptShareSwing)
	}
}

// A second dip after recovery counts, and one that the next fault makes does not.
func TestSecondDip(t *testing.T) {
	dip := func(i int) bool { return i >= 150 && i < 180 } // 15 to 18 s; the fault ends at 13
	d, arrivals, events := playByHand(t, func(i int, _ scenario.Arrival) (time.Duration, int32) {
		if dip(i) && i%2 == 0 {
			return 0, 0
		}
		return 50 * time.Millisecond, 0
	})
	s := Summarize(d, d.Fleet(), "model", arrivals, events, nil)
	if r := s.Recoveries[0]; r.RecoverySeconds == nil || *r.RecoverySeconds != 0 || math.Abs(r.SecondDipRatio-0.75) > 0.01 {
		t.Errorf("back %v, then down to %v of the level before, want 0.75", r.RecoverySeconds, r.SecondDipRatio)
	}
	d.Faults = append(d.Faults, d.Faults[0])
	d.Faults[1].At = scenario.Duration(15 * time.Second)
	if r := Summarize(d, d.Fleet(), "model", arrivals, events, nil).Recoveries[0]; r.SecondDipRatio < 0.99 {
		t.Errorf("the next fault's dip counts as the first one's: %v", r.SecondDipRatio)
	}
}

// Starts within the day are timed to the front's first successful health check and the first client served.
func TestStarts(t *testing.T) {
	of := func(at int, kind history.Kind, balancer int32, result client.Result) history.Event {
		return history.Event{At: time.Duration(at) * time.Millisecond, Kind: kind, Balancer: balancer, Result: result}
	}
	s := startsOf([]history.Event{of(0, history.Started, 0, 0), of(5, history.Ready, 0, 0), of(50, history.Answered, 0, client.Served),
		of(1000, history.Started, 0, 0), of(1000, history.Started, 1, 0), of(1020, history.Ready, 0, 0), of(1030, history.Ready, 0, 0),
		of(1100, history.Answered, 0, client.Rejected), of(1250, history.Answered, 0, client.Served), of(1300, history.Answered, 0, client.Served),
		of(1400, history.Exited, 1, 0), of(2000, history.Exited, 0, 0)})
	if s == nil || s.Count != 2 || s.NeverServed != 1 || math.Abs(s.ReadyP99Seconds-0.02) > 1e-3 || math.Abs(s.ServedP99Seconds-0.25) > 1e-3 {
		t.Errorf("%+v, want 2 starts, one of which served nobody, ready after 0.02 s, served after 0.25", s)
	}
	if startsOf([]history.Event{of(0, history.Started, 0, 0)}) != nil {
		t.Error("the day's begin counts as a start")
	}
}
