package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
)

// answeredBy sends n requests in sequence and counts them by the body of the response.
func answeredBy(t *testing.T, b *testBalancer, n int) map[string]int {
	t.Helper()
	count := map[string]int{}
	for range n {
		status, body := b.do(t, b.newRequest("checkin", ""))
		assertEqual(t, "status", status, 200)
		count[body]++
	}
	return count
}

// zonesText returns the status of the zones as operators see it.
func zonesText(t *testing.T, b *testBalancer) string {
	t.Helper()
	var text strings.Builder
	if err := b.proxy.WriteZones(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// containsAll reports whether a text contains all parts.
func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// A zone drained by an operator gets no new requests, even after discovery has sent a complete list, until it is
// reinstated. The last zone can't be drained, nor can an unknown one.
func TestZoneDrainedByOperators(t *testing.T) {
	answering := func(name string) *testUpstream {
		return newTestUpstream(t, func(c net.Conn, _ *http.Request) bool { return writeOK(c, name) })
	}
	home := activeMember("s-00000001", answering("a"))
	away := activeMember("s-00000002", answering("z"))
	away.Locality = "z2"
	b := newBalancer(t, home, away)
	if by := answeredBy(t, b, 40); by["a"] == 0 || by["z"] == 0 {
		t.Fatalf("before the drain: served by %v", by)
	}
	done, state := b.proxy.DrainZone("z1")
	assertEqual(t, "zone-leave", done, true)
	assertEqual(t, "state", state, "left")
	if by := answeredBy(t, b, 20); by["a"] > 0 {
		t.Errorf("drained: served by %v", by)
	}
	list := discovery.List{Revision: 12, Complete: true, Members: []discovery.Entry{home, away}}
	select {
	case b.discovery.answers <- list:
	case <-time.After(30 * time.Second):
		t.Fatal("discovery was not called within 30 s")
	}
	if by := answeredBy(t, b, 20); by["a"] > 0 {
		t.Errorf("drained, after a complete list: served by %v", by)
	}
	got := zonesText(t, b)
	if !containsAll(got, `zone "z1" left listed 1 share 0.000`, `zone "z2" well listed 1 share 1.000`) {
		t.Errorf("status: %s", got)
	}
	for _, name := range []string{"z2", "z3"} {
		done, _ = b.proxy.DrainZone(name)
		assertEqual(t, "zone-leave "+name, done, false)
	}
	done, state = b.proxy.ReinstateZone("z1")
	assertEqual(t, "zone-return", done, true)
	assertEqual(t, "state", state, "returning")
	if got := zonesText(t, b); !strings.Contains(got, `zone "z1" returning`) {
		t.Errorf("status: %s", got)
	}
	if by := answeredBy(t, b, 60); by["a"] == 0 {
		t.Errorf("reinstated: served by %v", by)
	}
	awaitZoneMetrics(t, b)
	done, _ = b.proxy.ReinstateZone("z1")
	assertEqual(t, "zone-return again", done, false)
}

// awaitZoneMetrics waits until the metrics show that z1, the balancer's own zone, is being reinstated, and that attempts
// went to another zone.
func awaitZoneMetrics(t *testing.T, b *testBalancer) {
	t.Helper()
	var got string
	defer func() {
		if t.Failed() {
			t.Logf("metrics:\n%s", got)
		}
	}()
	eventually(t, "the metrics show the zones", func() bool {
		var text strings.Builder
		if err := b.proxy.WriteMetrics(&text); err != nil {
			t.Fatal(err)
		}
		got = text.String()
		return containsAll(got, "svc_zone_state{zone=\"z1\"} 4\n", "svc_zone_crossing{zone=\"z1\"} 0\n", "svc_zone_crossing{zone=\"z2\"} ") &&
			!strings.Contains(got, "svc_zone_crossing{zone=\"z2\"} 0\n")
	})
}

// A state change of a zone is logged once, with attributes, and flapping zones do not fill the log.
func TestZoneChangesAreLogged(t *testing.T) {
	var z zoneMetrics
	var lines []string
	log := func(text string, keys ...any) { lines = append(lines, text+" "+fmt.Sprint(keys...)) }
	update := func(at time.Duration, state balancer.ZoneState) {
		z.update(at, []balancer.ZoneStatus{{Name: "r/a", State: state, Unhealthy: 3, Listed: 4}, {Name: "r/b"}}, "r/b", log)
	}
	update(0, balancer.ZoneHealthy)
	update(time.Second, balancer.ZoneFailed)
	update(2*time.Second, balancer.ZoneFailed)
	if len(lines) != 1 || !strings.Contains(lines[0], "r/a") || !strings.Contains(lines[0], "failed") {
		t.Errorf("lines: %q", lines)
	}
	for i := range 200 {
		update(3*time.Second+time.Duration(i)*time.Millisecond, balancer.ZoneState(i%2*2))
	}
	if len(lines) > maxZoneLogs {
		t.Errorf("%d lines in one window, at most %d", len(lines), maxZoneLogs)
	}
}

// The regions of the fleet file are added to the balancer's own zone and to the zones of endpoint lists.
func TestRegionsFromTheFleetFile(t *testing.T) {
	c := Config{Settings: balancer.Settings{Zone: "z1"}}
	c.SetLocalities(map[string]string{"z1": "r/z1"})
	assertEqual(t, "own zone", c.Settings.Zone, "r/z1")
	assertEqual(t, "known", qualifyZone(c.Localities, "z1"), "r/z1")
	assertEqual(t, "unknown", qualifyZone(c.Localities, "z9"), "z9")
	assertEqual(t, "with a region", qualifyZone(c.Localities, "q/z1"), "q/z1")
}
