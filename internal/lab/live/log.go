package live

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"sprucehill/internal/lab/history"
)

// The messages under which a balancer logs the state of a zone.
const (
	zoneStateMessage = "zone state changed"
	// formerZoneStateMessage is that of builds up to 2026-12-02, which lab compare still plays.
	formerZoneStateMessage = "zone"
)

// zoneLogLine is what the lab reads of a balancer's log: its lines on zones.
type zoneLogLine struct {
	Time  time.Time `json:"time"`
	Msg   string    `json:"msg"`
	Zone  string    `json:"zone"`
	State string    `json:"state"`
}

// isZoneState reports whether the line is about the state of a zone.
func (l zoneLogLine) isZoneState() bool {
	return l.Msg == zoneStateMessage || l.Msg == formerZoneStateMessage
}

// zoneEvents reads from the log how the balancer judged its zones. A program that writes no such lines gives none.
func (n *node) zoneEvents(origin time.Time) []history.Event {
	f, err := os.Open(n.log.Name())
	if err != nil {
		return nil
	}
	defer f.Close()
	var events []history.Event
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var line zoneLogLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil || !line.isZoneState() {
			continue
		}
		z := n.run.fleet.ZoneByLocality(line.Zone)
		if z < 0 {
			continue
		}
		events = append(events, history.Event{
			At:       max(0, line.Time.Sub(origin)),
			Kind:     history.ZoneState,
			Balancer: int32(n.index),
			Upstream: history.None,
			Arrival:  history.None,
			Zone:     int16(z),
			Text:     line.State,
		})
	}
	return events
}
