package balancer

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// The operators' staff use the policy files in print, so their number of lines and their line length are limited.
func TestModuleSize(t *testing.T) {
	const (
		maxLines      = 1200 // non-blank lines of all files; the operators do not accept more
		maxLineLength = 125  // bytes
	)
	lines := 0
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(filepath.Join("..", file))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			if len(line) > maxLineLength {
				t.Errorf("%s: line %d has %d bytes, want %d at most", file, i+1, len(line), maxLineLength)
			}
		}
	}
	if lines == 0 || lines > maxLines {
		t.Errorf("the policy files have %d non-blank lines, want 1 to %d", lines, maxLines)
	}
}

// Invalid values from the owner are ignored: a moving average would never recover from one.
func TestInvalidValuesFromOwnerAreIgnored(t *testing.T) {
	invalid := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, math.MaxFloat64}
	list := fleet(len(invalid))
	for i := range list {
		list[i].Weight = invalid[i]
	}
	b, effects := newTestBalancer(t, testSettings(), append(list, list[0], Endpoint{ID: 99, State: Removed, Weight: 1}))
	const unknownToken = 12345
	now := time.Hour
	for i := range 400 {
		now += 20 * ms
		id := RequestID(i + 1)
		b.OnRequest(now, Request{ID: id, Class: "read", Timeout: time.Second, CostHint: time.Duration(invalid[i%3+2])})
		if r := b.requests[id]; r != nil && r.inFlight > 0 {
			result := AttemptResult{
				ID:            id,
				Endpoint:      r.attempts[0].endpoint.ID,
				Latency:       time.Duration(i%3-1) * 30 * ms,
				Status:        OK,
				RequestClosed: true,
				Load: LoadReport{
					Fields:      HasUtilization | HasInflight | HasQueue,
					Utilization: invalid[i%6],
					Inflight:    invalid[(i+1)%6],
					Queue:       invalid[(i+2)%6],
				},
			}
			b.OnAttemptResult(now, result)
			b.OnAttemptResult(now, result)
		}
		b.OnHealthCheckResult(now, HealthCheckResult{Endpoint: 99, Load: LoadReport{Fields: HasUtilization, Utilization: 1}})
		b.OnHealthCheckResult(now, HealthCheckResult{Endpoint: 2, Load: LoadReport{Fields: HasUtilization, Utilization: invalid[i%6]}})
		b.OnTimer(now, tickToken)
		b.OnTimer(now, unknownToken)
	}
	for _, e := range b.endpoints.known {
		for name, value := range map[string]float64{
			"mean utilization":      e.utilization.mean,
			"utilization deviation": e.utilization.deviation,
			"weight":                e.weight,
			"latency":               e.latency.mean,
			"concurrency limit":     e.limit.current,
			"next turn":             e.nextTurn,
			"band area":             e.utilization.area,
			"share factor":          e.shareFactor,
		} {
			if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
				t.Errorf("endpoint %d: %s is %v", e.ID, name, value)
			}
		}
	}
	if effects.count("send") < 300 || effects.count("timer") > 401 {
		t.Errorf("%d sends of 400, want 300 at least; %d timers, want 401 at most", effects.count("send"), effects.count("timer"))
	}
}

// Balancers in one process share no state: interleaved events of one do not change the effects of another.
func TestInstancesShareNoState(t *testing.T) {
	sendRequest := func(b *Balancer, i int) {
		now := time.Hour + time.Duration(i)*20*ms
		b.OnRequest(now, Request{ID: RequestID(i + 1), Class: "write", Timeout: time.Second})
		b.OnTimer(now, tickToken)
	}
	alone, want := newTestBalancer(t, testSettings(), fleet(5))
	for i := range 200 {
		sendRequest(alone, i)
	}
	first, got := newTestBalancer(t, testSettings(), fleet(5))
	second, _ := newTestBalancer(t, testSettings(), fleet(5))
	for i := range 200 {
		sendRequest(second, i+1000)
		sendRequest(first, i)
	}
	if !slices.Equal(got.calls, want.calls) {
		t.Error("the effects of a balancer differ when another one runs beside it")
	}
}

// State of finished requests and removed endpoints is released, even if the endpoints are all replaced every 50 ms.
func TestStateStaysBounded(t *testing.T) {
	checker, _ := runRandomEvents(t, testSettings(), 3, 0)
	b, err := New(testSettings(), 3, checker.now, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	now := checker.now
	for i := range 20000 {
		now += 5 * ms
		if i%10 == 0 {
			list := fleet(4)
			for j := range list {
				list[j].ID += EndpointID(i)
			}
			b.OnEndpointUpdate(now, UpdateComplete, list)
		}
		id := RequestID(i + 1)
		b.OnRequest(now, Request{ID: id, Class: "read", Timeout: 100 * ms, Key: uint64(i), HasKey: true})
		if r := b.requests[id]; r != nil && r.inFlight > 0 {
			b.OnAttemptResult(now, AttemptResult{
				ID: id, Endpoint: r.attempts[0].endpoint.ID, Latency: 10 * ms, Status: OK, RequestClosed: true,
			})
		}
		if i%20 == 0 {
			b.OnTimer(now, tickToken)
		}
	}
	b.OnTimer(now+2*time.Second, tickToken)
	if len(b.requests)+len(b.queue) > 0 || len(b.endpoints.known) != 4 || len(b.endpoints.byID) != 4 {
		t.Errorf("%d requests, %d queued ones and %d endpoints remain, want 0, 0 and 4",
			len(b.requests), len(b.queue), len(b.endpoints.known))
	}
}

func BenchmarkRequest(b *testing.B) {
	balancer, err := New(testSettings(), 1, 0, &discardEffects{})
	if err != nil {
		b.Fatal(err)
	}
	balancer.OnEndpointUpdate(0, UpdateCached, fleet(20))
	now := time.Duration(0)
	for i := range b.N {
		now += ms
		id := RequestID(i + 1)
		balancer.OnRequest(now, Request{ID: id, Class: "write", Timeout: time.Second})
		if r := balancer.requests[id]; r != nil && r.inFlight > 0 {
			balancer.OnAttemptResult(now, AttemptResult{
				ID: id, Endpoint: r.attempts[0].endpoint.ID, Latency: 50 * ms, Status: OK, RequestClosed: true,
			})
		}
	}
}
