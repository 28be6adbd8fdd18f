package balancer

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"testing"
	"time"
)

func TestSnapshotSurvivesJSON(t *testing.T) {
	b, now := balancerWithHistory(t)
	snapshot := b.TakeSnapshot(now)
	text, err := json.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Snapshot
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(snapshot, decoded) {
		t.Errorf("%+v is decoded as %+v", snapshot, decoded)
	}
}

// Invalid values of a snapshot do not make traffic shares or limits of the restored balancer invalid.
func TestInvalidSnapshotValuesAreIgnored(t *testing.T) {
	before, now := balancerWithHistory(t)
	for _, invalid := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		t.Run(fmt.Sprint(invalid), func(t *testing.T) {
			snapshot := before.TakeSnapshot(now)
			setAllNumbers(&snapshot, invalid)
			b := restoredBalancer(t, now, fourZones(3), snapshot)
			for i := range 100 {
				serveRequest(t, b, now+time.Duration(i)*ms, RequestID(i+1))
			}
			for _, e := range b.endpoints.known {
				share := b.trafficShare(e, now)
				if math.IsNaN(share) || math.IsInf(share, 0) || share < 0 || math.IsNaN(e.limit.current) {
					t.Errorf("endpoint %d has traffic share %v and limit %v", e.ID, share, e.limit.current)
				}
			}
		})
	}
}

// setAllNumbers sets all floating-point values of a snapshot and of its endpoints.
func setAllNumbers(snapshot *Snapshot, value float64) {
	snapshot.Latency = value
	snapshot.MeanCostHint = value
	snapshot.WorkPerWeight = value
	snapshot.MaxWorkPerWeight = value
	snapshot.LocalShare = value
	snapshot.RegionShare = value
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		e.ShareFactor = value
		e.ConcurrencyLimit = value
		e.Latency = value
		e.LatencyDeviation = value
		e.WorkUnits = value
		e.ErrorRate = value
		e.LatencyEWMA = value
		e.BaselineLatency = value
		e.MeanPeriodWork = value
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{12, 2000} {
		balancer, now := benchmarkBalancer(b, n)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.TakeSnapshot(now)
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{12, 2000} {
		balancer, now := benchmarkBalancer(b, n)
		snapshot := balancer.TakeSnapshot(now)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.Restore(now, snapshot)
			}
		})
	}
}

// benchmarkBalancer returns a balancer with n endpoints in four zones.
func benchmarkBalancer(b *testing.B, n int) (*Balancer, time.Duration) {
	b.Helper()
	balancer, err := New(testSettings(), 1, time.Hour, &recorder{})
	if err != nil {
		b.Fatal(err)
	}
	balancer.OnEndpointUpdate(time.Hour, UpdateComplete, fourZones(n/4))
	return balancer, time.Hour
}
