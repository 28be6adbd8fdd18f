package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// servingAnswer is the answer to the call check of a balancer that accepts clients and does not drain.
	servingAnswer = "YES serving"

	// zoneStateMetric is the metric of a zone's state, an index of zoneStates.
	zoneStateMetric = "svc_zone_state"
	// zoneMetricPrefix is how the names of all metrics by zone begin.
	zoneMetricPrefix = "svc_zone_"
)

// statusCmd is the command "status".
type statusCmd struct {
	fleetQuery
}

// balancerStatus is the state of one balancer. The field names are the keys of its JSON.
type balancerStatus struct {
	Address    string
	Check      string         // its answer to the call check, or why there is no status
	Serving    bool           // it accepts clients and does not drain
	Figures    map[string]int `json:",omitempty"` // metrics by name, summed over their labels; without those by zone
	ZonesNotOK []string       `json:",omitempty"` // zones whose state is not "well", with their state
}

// Run shows the status of the balancers. It returns errCheckFailed if any of them does not serve.
func (c *statusCmd) Run(ctx context.Context) error {
	report := fleetReport[balancerStatus]{query: fetchStatus, show: showStatus, check: checkAllServe}
	return report.run(ctx, c.fleetQuery)
}

// checkAllServe returns errCheckFailed unless all balancers serve.
func checkAllServe(statuses []balancerStatus) error {
	for _, s := range statuses {
		if !s.Serving {
			return fmt.Errorf("%w: %s: %s", errCheckFailed, s.Address, s.Check)
		}
	}
	return nil
}

// fetchStatus queries one balancer.
func fetchStatus(ctx context.Context, address string) balancerStatus {
	status := balancerStatus{Address: address, Figures: map[string]int{}}
	answer, err := callManagement(ctx, address, "check")
	if err != nil {
		status.fail(err)
		return status
	}
	status.Check = answer[0]
	status.Serving = status.Check == servingAnswer
	metrics, err := callManagement(ctx, address, "vars")
	if err != nil {
		status.fail(err)
		return status
	}
	for _, line := range metrics {
		if err := status.addMetric(line); err != nil {
			status.fail(err)
		}
	}
	return status
}

// fail records why there is no status.
func (s *balancerStatus) fail(err error) {
	s.Check = err.Error()
	s.Serving = false
}

// zoneStates are the names of the values of zoneStateMetric.
var zoneStates = []string{"well", "doubtful", "failed", "left", "returning"}

// addMetric adds a line of the answer to vars: name{label="x"} value.
func (s *balancerStatus) addMetric(line string) error {
	separator := strings.LastIndexByte(line, ' ')
	value, err := strconv.Atoi(line[separator+1:])
	if separator < 1 || err != nil {
		return fmt.Errorf("%s: %q is no figure", s.Address, line)
	}
	name, labels, hasLabels := strings.Cut(line[:separator], "{")
	switch {
	case name == zoneStateMetric && value > 0:
		return s.addZoneState(line, labels, value)
	case strings.HasPrefix(name, zoneMetricPrefix) && hasLabels:
		return nil // the table shows no other metric by zone
	default:
		s.Figures[name] += value
		return nil
	}
}

// addZoneState adds a zone that is not well. line is the metric, labels its part from zone= on.
func (s *balancerStatus) addZoneState(line, labels string, state int) error {
	quoted := strings.TrimSuffix(strings.TrimPrefix(labels, "zone="), "}")
	zone, err := strconv.Unquote(quoted)
	if err != nil || state >= len(zoneStates) {
		return fmt.Errorf("%s: %s names no zone and state", s.Address, line)
	}
	s.ZonesNotOK = append(s.ZonesNotOK, zone+" "+zoneStates[state])
	return nil
}

// shownMetrics are the metrics in the table of showStatus.
var shownMetrics = []string{
	"svc_in_progress", "svc_passed", "svc_dropped", "svc_bad_gateway", "svc_known_upstreams", "svc_skipped_upstreams",
}

// showStatus writes a row on each balancer.
func showStatus(w io.Writer, statuses []balancerStatus) {
	rows := [][]any{{"balancer", "", "in progress", "passed", "dropped", "bad gateway", "known", "skipped", "zones that are not well"}}
	for _, s := range statuses {
		rows = append(rows, statusRow(s))
	}
	writeTable(w, rows...)
}

// statusRow is the row on one balancer in the table of showStatus.
func statusRow(s balancerStatus) []any {
	row := []any{s.Address, s.Check}
	for _, name := range shownMetrics {
		if value, ok := s.Figures[name]; ok {
			row = append(row, value)
		} else {
			row = append(row, "-")
		}
	}
	return append(row, strings.Join(s.ZonesNotOK, ", "))
}
