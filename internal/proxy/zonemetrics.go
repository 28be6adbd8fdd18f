package proxy

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
)

const (
	// maxZonesReported limits the zones that have metrics of their own; the rest are included in the totals only.
	maxZonesReported = 64
	// maxZoneLogs is the maximum number of zone state changes logged per zoneLogWindow, so that flapping zones do not fill
	// the disk.
	maxZoneLogs   = 20
	zoneLogWindow = 10 * time.Second
)

// zoneMetrics has the last published status of the zones and logs their state changes. update is called on the loop's
// goroutine only; write may be called from any goroutine.
type zoneMetrics struct {
	last            atomic.Pointer[zoneReport]
	changesInWindow int           // state changes in the current window, including those over the limit
	windowStart     time.Duration // when the current window began, on the loop's clock
}

// zoneReport is the status of the zones at one time. It is immutable once stored.
type zoneReport struct {
	ownZone string // the balancer's own zone
	zones   []balancer.ZoneStatus
}

// update stores the current status of the zones and logs the state changes since the last update.
func (z *zoneMetrics) update(now time.Duration, zones []balancer.ZoneStatus, ownZone string, log func(text string, keys ...any)) {
	before := z.lastStates()
	for _, zone := range zones {
		was := before[zone.Name] // the zero value, healthy, for a new zone
		if was != zone.State && z.mayLog(now) {
			log("zone state changed", "zone", zone.Name, "state", zone.State.String(), "previous_state", was.String(),
				"unhealthy", zone.Unhealthy, "listed", zone.Listed)
		}
	}
	z.last.Store(&zoneReport{ownZone: ownZone, zones: zones[:min(len(zones), maxZonesReported)]})
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

// mayLog counts a state change and reports whether it is within the limit of the current window.
func (z *zoneMetrics) mayLog(now time.Duration) bool {
	if now-z.windowStart >= zoneLogWindow {
		z.windowStart = now
		z.changesInWindow = 0
	}
	z.changesInWindow++
	return z.changesInWindow <= maxZoneLogs
}

// zoneMetric is a metric that is reported for each zone.
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

// crossZoneAttempts returns the attempts at a zone, or 0 for the balancer's own zone.
func crossZoneAttempts(r *zoneReport, zone balancer.ZoneStatus) int {
	if zone.Name == r.ownZone {
		return 0
	}
	return zone.Attempts
}

// write writes the metrics of the zones, one per line. With fewer than two zones it writes nothing.
func (z *zoneMetrics) write(w io.Writer) error {
	report := z.last.Load()
	if report == nil || len(report.zones) < 2 {
		return nil
	}
	for _, metric := range metricsPerZone {
		for _, zone := range report.zones {
			if _, err := fmt.Fprintf(w, "%s{zone=%q} %d\n", metric.name, zone.Name, metric.value(report, zone)); err != nil {
				return fmt.Errorf("writing %s of zone %q: %w", metric.name, zone.Name, err)
			}
		}
	}
	return nil
}
