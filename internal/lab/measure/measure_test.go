package measure

import (
	"math"
	"testing"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

const text = `
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

// made returns a day of one request a tenth of a second, each answered after a time that of says, or failed for 0.
func made(t *testing.T, of func(i int, a day.Arrival) (latency time.Duration, upstream int32)) (*day.Day, []day.Arrival, []history.Event) {
	t.Helper()
	d, err := day.Parse("m.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var arrivals []day.Arrival
	var events []history.Event
	for i := range 200 {
		a := day.Arrival{At: time.Duration(i) * 100 * time.Millisecond, Class: i % 2, Tenant: -1}
		arrivals = append(arrivals, a)
		latency, u := of(i, a)
		e := history.Event{At: a.At, Kind: history.Asked, Req: uint64(i), Arrival: int32(i), Upstream: history.None}
		events = append(events, e)
		e.Kind, e.Upstream = history.Arrived, u
		events = append(events, e)
		if e.Kind, e.At, e.Result = history.Answered, a.At+latency, client.Served; latency == 0 {
			e.Result = client.Failed
		}
		events = append(events, e)
	}
	return d, arrivals, events
}

// A day by hand: from 10 to 14 s requests fail, one in ten of the rest is late, a quarter of attempts cross zones.
func TestFiguresByHand(t *testing.T) {
	d, arrivals, events := made(t, func(i int, a day.Arrival) (time.Duration, int32) {
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
	near("in time", s.Main.Share[InTime.String()], 126.0/180)
	near("late", s.Main.Share[Late.String()], 14.0/180)
	near("worth", s.Main.Served, (56.0*1+70*3)/(90*1+90*3))
	near("cheap", s.Class["cheap"], 56.0/90)
	near("crossing", s.CrossZone, 0.25)
	near("attempts", s.Attempts, 1)
	near("p50", s.Main.Latency.P50, 100)
	// The worst 10 s hold all 40 that failed, and six late ones.
	near("worst 10 s", s.Worst, (24.0*1+30*3)/(50*1+50*3))
	r := s.Recoveries[0]
	if r.Back == nil {
		t.Fatal("never back")
	}
	near("least", r.Least, 0)
	near("back", *r.Back, 1) // the fault ends at 13 s, service is back at 14
}

// A request that is answered twice counts once, and a client's later try counts for its first.
func TestRequestsAreFollowed(t *testing.T) {
	d, arrivals, _ := made(t, func(int, day.Arrival) (time.Duration, int32) { return time.Millisecond, 0 })
	at := func(ms int, kind history.Kind, try int8, r client.Result) history.Event {
		return history.Event{At: time.Duration(ms) * time.Millisecond, Kind: kind, Try: try, Result: r}
	}
	r := Requests(d, arrivals[:1], []history.Event{at(0, history.Asked, 0, 0), at(5, history.Answered, 0, client.Refused),
		at(9, history.Asked, 1, 0), at(500, history.Answered, 1, client.Served), at(600, history.Answered, 1, client.Failed)})[0]
	if r.End != InTime || r.Tries != 2 || r.Latency != 500*time.Millisecond {
		t.Errorf("got %+v", r)
	}
}

// A lab that was late voids its run.
func TestLateLabIsVoid(t *testing.T) {
	late := make([]time.Duration, 1000)
	if l := LabOf(late, 1, 0, 0, 0); l.Void != "" {
		t.Errorf("a lab on time: %s", l.Void)
	}
	late[7] = time.Second
	if l := LabOf(late, 1, 0, 0, 0); l.Void == "" {
		t.Error("an arrival a second late does not void the run")
	}
}
