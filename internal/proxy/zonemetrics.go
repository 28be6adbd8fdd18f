package proxy

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
)

const (
	// maxZonesReported bounds the zones that have metrics of their own; the rest are in the totals only.
	maxZonesReported = 64
	// maxZoneLogs is how many changes of zones are logged in zoneLogWindow at most: a fleet that flaps must not fill the
	// disk.
	maxZoneLogs   = 20
	zoneLogWindow = 10 * time.Second
)

// zoneMetrics is the status of the zones as the loop last had it, and the log of their changes. update belongs to the
// loop's goroutine; write may be called from any.
type zoneMetrics struct {
	last            atomic.Pointer[zoneReport]
	changesInWindow int           // changes in the present window, those that were too many included
	windowStart     time.Duration // when the present window began, on the loop's clock
}

// zoneReport is the status of the zones at one time. It is not changed once it has been stored.
type zoneReport struct {
	home  string // the balancer's own zone
	zones []balancer.ZoneStatus
}

// update stores what the zones are now and logs those that have changed their state.
func (z *zoneMetrics) update(now time.Duration, zones []balancer.ZoneStatus, home string, log func(text string, keys ...any)) {
	before := z.lastStates()
	for _, zone := range zones {
		was := before[zone.Name] // a new zone counts as having been healthy
		if was != zone.State && z.mayLog(now) {
			log("zone state changed", "zone", zone.Name, "state", zone.State.String(), "previous_state", was.String(),
				"unhealthy", zone.Unhealthy, "listed", zone.Listed)
		}
	}
	z.last.Store(&zoneReport{home: home, zones: zones[:min(len(zones), maxZonesReported)]})
}

// lastStates returns the states of the zones in the last report.
func (z *zoneMetrics) lastStates() map[string]balancer.ZoneState {
	states := map[string]balancer.ZoneState{}
	report := z.last.Load()
	if report == nil {
		return states
	}
	for _, zone := range report.zones {
		states[zone.Name] = zone.State
	}
	return states
}

// mayLog counts a change and reports whether the window has capacity for it.
func (z *zoneMetrics) mayLog(now time.Duration) bool {
	if now-z.windowStart >= zoneLogWindow {
		z.windowStart = now
		z.changesInWindow = 0
	}
	z.changesInWindow++
	return z.changesInWindow <= maxZoneLogs
}

// zoneMetric is a metric that each zone has.
type zoneMetric struct {
	name  string
	value func(r *zoneReport, zone balancer.ZoneStatus) int
}

var metricsPerZone = []zoneMetric{
	{"svc_zone_state", func(_ *zoneReport, zone balancer.ZoneStatus) int { return int(zone.State) }},
	{"svc_zone_share", func(_ *zoneReport, zone balancer.ZoneStatus) int { return int(1000*zone.Share + 0.5) }}, // per mille
	{"svc_zone_tries", func(_ *zoneReport, zone balancer.ZoneStatus) int { return zone.Attempts }},
	{"svc_zone_crossing", crossZoneAttempts},
	{"svc_zone_spilled", func(_ *zoneReport, zone balancer.ZoneStatus) int { return zone.Spilled }},
}

// crossZoneAttempts counts the attempts at a zone that is not the balancer's own.
func crossZoneAttempts(r *zoneReport, zone balancer.ZoneStatus) int {
	if zone.Name == r.home {
		return 0
	}
	return zone.Attempts
}

// write writes the metrics of the zones, one to a line. With fewer than two zones there are none.
func (z *zoneMetrics) write(w io.Writer) error {
	report := z.last.Load()
	if report == nil || len(report.zones) < 2 {
		return nil
	}
	for _, metric := range metricsPerZone {
		for _, zone := range report.zones {
			if _, err := fmt.Fprintf(w, "%s{zone=%q} %d\n", metric.name, zone.Name, metric.value(report, zone)); err != nil {
				return fmt.Errorf("writing figures of zones: %w", err)
			}
		}
	}
	return nil
}
