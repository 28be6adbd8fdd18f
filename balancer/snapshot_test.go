package balancer

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"
)

// What is read back is what was written, and senseless figures poison nothing.
func TestSnapshotSurvivesJSON(t *testing.T) {
	b, now := trainedBalancer(t)
	k := b.TakeSnapshot(now)
	text, err := json.Marshal(k)
	if err != nil {
		t.Fatal(err)
	}
	var back Snapshot
	if err := json.Unmarshal(text, &back); err != nil || !reflect.DeepEqual(k, back) {
		t.Errorf("%v: %+v reads back as %+v", err, k, back)
	}
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		k := b.TakeSnapshot(now)
		k.Latency, k.MeanCost, k.WorkPerWeight, k.MaxWorkPerWeight, k.LocalShare, k.RegionShare = bad, bad, bad, bad, bad, bad
		for i := range k.Endpoints {
			e := &k.Endpoints[i]
			e.ShareFactor, e.ConcurrencyLimit, e.Latency, e.LatencyDeviation, e.WorkUnits, e.ErrorRate, e.LatencyEWMA, e.BaselineLatency, e.WorkRate = bad, bad, bad, bad, bad, bad, bad, bad, bad
		}
		x := restoredBalancer(t, now, fourZones(3), k)
		for i := range 100 {
			serveRequest(t, x, now+time.Duration(i)*ms, RequestID(i+1))
		}
		for _, e := range x.endpoints {
			if s := x.trafficShare(e, now); math.IsNaN(s) || math.IsInf(s, 0) || s < 0 || math.IsNaN(e.limit.current) {
				t.Errorf("%v: upstream %d has share %v and bound %v", bad, e.ID, s, e.limit.current)
			}
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{12, 2000} {
		x, now := benchmarkBalancer(b, n)
		b.Run(name(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.TakeSnapshot(now)
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{12, 2000} {
		x, now := benchmarkBalancer(b, n)
		k := x.TakeSnapshot(now)
		b.Run(name(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.Restore(now, k)
			}
		})
	}
}

func name(n int) string { return map[int]string{12: "12", 2000: "2000"}[n] }

func benchmarkBalancer(b *testing.B, n int) (*Balancer, time.Duration) {
	b.Helper()
	x, err := New(testSettings(), 1, time.Hour, &recorder{})
	if err != nil {
		b.Fatal(err)
	}
	x.OnEndpointUpdate(time.Hour, UpdateComplete, fourZones(n/4))
	return x, time.Hour
}
