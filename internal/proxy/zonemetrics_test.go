package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sprucehill/balancer"
)

// A zone left by hand gets nothing new, also after discovery has told the whole list anew, and is back when told. The
// last zone can't be left, nor one that nobody knows.
func TestZoneLeftByHand(t *testing.T) {
	named := func(name string) *server {
		return newServer(t, func(c net.Conn, _ *http.Request) bool { return ok(c, name) })
	}
	a, z := named("a"), named("z")
	home, away := up("s-00000001", a), up("s-00000002", z)
	away.Locality = "z2"
	b := newBalancer(t, home, away)
	served := func(n int) map[string]int {
		t.Helper()
		by := map[string]int{}
		for range n {
			status, body := b.do(t, b.ask("checkin", ""))
			want(t, "status", status, 200)
			by[body]++
		}
		return by
	}
	status := func() string {
		t.Helper()
		var text strings.Builder
		if err := b.proxy.WriteZones(&text); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	if by := served(40); by["a"] == 0 || by["z"] == 0 {
		t.Fatalf("before: served by %v", by)
	}
	done, state := b.proxy.Zone("z1", true)
	want(t, "zone-leave", done, true)
	want(t, "state", state, "left")
	if by := served(20); by["a"] > 0 {
		t.Errorf("left: served by %v", by)
	}
	list := listing{Revision: 12, Complete: true, Members: []member{home, away}}
	select {
	case b.registry.answers <- list:
	case <-time.After(30 * time.Second):
		t.Fatal("discovery was not asked")
	}
	if by := served(20); by["a"] > 0 {
		t.Errorf("left, and the list told anew: served by %v", by)
	}
	if got := status(); !strings.Contains(got, `zone "z1" left listed 1 share 0.000`) || !strings.Contains(got, `zone "z2" well listed 1 share 1.000`) {
		t.Errorf("status: %s", got)
	}
	for _, name := range []string{"z2", "z3"} {
		done, _ = b.proxy.Zone(name, true)
		want(t, "zone-leave "+name, done, false)
	}
	done, state = b.proxy.Zone("z1", false)
	want(t, "zone-return", done, true)
	want(t, "state", state, "returning")
	if got := status(); !strings.Contains(got, `zone "z1" returning`) {
		t.Errorf("status: %s", got)
	}
	if by := served(60); by["a"] == 0 {
		t.Errorf("returned: served by %v", by)
	}
	// The figures follow within a moment, and tell what crossed from what did not.
	var got string
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var text strings.Builder
		if err := b.proxy.WriteFigures(&text); err != nil {
			t.Fatal(err)
		}
		if got = text.String(); strings.Contains(got, "svc_zone_state{zone=\"z1\"} 4\n") && strings.Contains(got, "svc_zone_crossing{zone=\"z1\"} 0\n") &&
			strings.Contains(got, "svc_zone_crossing{zone=\"z2\"} ") && !strings.Contains(got, "svc_zone_crossing{zone=\"z2\"} 0\n") {
			return
		}
	}
	t.Errorf("the figures do not tell of zones:\n%s", got)
	done, _ = b.proxy.Zone("z1", false)
	want(t, "zone-return again", done, false)
}

// A change of a zone is one line with its keys, and a fleet that flaps does not fill the log.
func TestZoneChangesAreLogged(t *testing.T) {
	var z zoneMetrics
	var lines []string
	log := func(text string, keys ...any) { lines = append(lines, text+" "+fmt.Sprint(keys...)) }
	take := func(at time.Duration, s balancer.ZoneState) {
		z.update(at, []balancer.ZoneStatus{{Name: "r/a", State: s, Unhealthy: 3, Listed: 4}, {Name: "r/b"}}, "r/b", log)
	}
	take(0, balancer.ZoneHealthy)
	take(time.Second, balancer.ZoneFailed)
	take(2*time.Second, balancer.ZoneFailed)
	if len(lines) != 1 || !strings.Contains(lines[0], "r/a") || !strings.Contains(lines[0], "failed") {
		t.Errorf("lines: %q", lines)
	}
	for i := range 200 {
		take(3*time.Second+time.Duration(i)*time.Millisecond, balancer.ZoneState(i%2*2))
	}
	if len(lines) > maxZoneLogs {
		t.Errorf("%d lines in one span, at most %d", len(lines), maxZoneLogs)
	}
}

// The fleet file's regions go into the zone of the balancer and into those of every list.
func TestRegionsOfTheFleetFile(t *testing.T) {
	c := Config{Settings: balancer.Settings{Zone: "z1"}}
	c.Locate(map[string]string{"z1": "r/z1"})
	want(t, "own zone", c.Settings.Zone, "r/z1")
	want(t, "known", located(c.Localities, "z1"), "r/z1")
	want(t, "unknown", located(c.Localities, "z9"), "z9")
	want(t, "with a region", located(c.Localities, "q/z1"), "q/z1")
}
