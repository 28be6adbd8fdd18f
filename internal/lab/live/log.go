package live

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"sprucehill/internal/lab/history"
)

// zoneLogLine is what the lab reads of a balancer's log: its lines on zones.
type zoneLogLine struct {
	Time  time.Time `json:"time"`
	Msg   string    `json:"msg"`
	Zone  string    `json:"zone"`
	State string    `json:"state"`
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
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil || line.Msg != "zone" {
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
