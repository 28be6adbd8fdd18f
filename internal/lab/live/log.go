package live

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"sprucehill/internal/lab/history"
)

// The messages with which a balancer logs the state of a zone.
const (
	zoneStateMessage = "zone state changed"
	// formerZoneStateMessage is the message of builds up to 2026-12-02, which lab compare still runs.
	formerZoneStateMessage = "zone"
)

// zoneLogLine has the fields that the lab reads from a line of a balancer's log on the state of a zone.
type zoneLogLine struct {
	Time  time.Time `json:"time"`
	Msg   string    `json:"msg"`
	Zone  string    `json:"zone"`
	State string    `json:"state"`
}

// isZoneState reports whether the line reports the state of a zone.
func (l zoneLogLine) isZoneState() bool {
	return l.Msg == zoneStateMessage || l.Msg == formerZoneStateMessage
}

// zoneEvents returns the changes of zone states in the balancer's log, with times relative to origin. Programs that do not
// log zone states have none.
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
