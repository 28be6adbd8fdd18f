package proxy

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
)

const (
	// mostZones bounds the zones that have figures of their own; the rest are in the totals only.
	mostZones = 64
	// zoneLines is how many changes of zones are logged in zoneSpan at most: a fleet that flaps must not fill the disk.
	zoneLines = 20
	zoneSpan  = 10 * time.Second
)

// zoneFigures is what the loop last knew of the zones, for whoever reads figures, and the log of their changes.
type zoneFigures struct {
	last  atomic.Pointer[zoneReport]
	lines int // logged since, in the current span
	since time.Duration
}

// zoneReport is never changed once it stands.
type zoneReport struct {
	home  string
	zones []balancer.ZoneStatus
}

// take keeps what the zones are now and logs those that have changed their state.
func (z *zoneFigures) take(now time.Duration, zones []balancer.ZoneStatus, home string, log func(text string, keys ...any)) {
	was := map[string]balancer.ZoneState{}
	if last := z.last.Load(); last != nil {
		for _, x := range last.zones {
			was[x.Name] = x.State
		}
	}
	for _, x := range zones {
		if before := was[x.Name]; before != x.State && z.mayLog(now) { // a zone that is new has been well
			log("zone", "zone", x.Name, "state", x.State.String(), "was", before.String(), "bad", x.Unhealthy, "listed", x.Listed)
		}
	}
	z.last.Store(&zoneReport{home, zones[:min(len(zones), mostZones)]})
}

// mayLog tells whether another line fits into the span.
func (z *zoneFigures) mayLog(now time.Duration) bool {
	if now-z.since >= zoneSpan {
		z.since, z.lines = now, 0
	}
	z.lines++
	return z.lines <= zoneLines
}

// zoneFigure is one figure that each zone has.
type zoneFigure struct {
	name string
	of   func(r *zoneReport, z balancer.ZoneStatus) int
}

var perZone = []zoneFigure{
	{"svc_zone_state", func(_ *zoneReport, z balancer.ZoneStatus) int { return int(z.State) }},
	{"svc_zone_share", func(_ *zoneReport, z balancer.ZoneStatus) int { return int(1000*z.Share + 0.5) }},
	{"svc_zone_tries", func(_ *zoneReport, z balancer.ZoneStatus) int { return z.Attempts }},
	{"svc_zone_crossing", func(r *zoneReport, z balancer.ZoneStatus) int {
		if z.Name == r.home {
			return 0
		}
		return z.Attempts
	}},
	{"svc_zone_spilled", func(_ *zoneReport, z balancer.ZoneStatus) int { return z.Spilled }},
}

// write writes the figures of the zones. Where there is one zone, or none, there are none.
func (z *zoneFigures) write(w io.Writer) error {
	r := z.last.Load()
	if r == nil || len(r.zones) < 2 {
		return nil
	}
	for _, f := range perZone {
		for _, x := range r.zones {
			if _, err := fmt.Fprintf(w, "%s{zone=%q} %d\n", f.name, x.Name, f.of(r, x)); err != nil {
				return fmt.Errorf("writing figures of zones: %w", err)
			}
		}
	}
	return nil
}
