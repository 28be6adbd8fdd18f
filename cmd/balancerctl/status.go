package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// servingResponse is the response to the call check of a balancer that accepts clients and does not drain.
	servingResponse = "YES serving"

	// zoneStateMetric is the metric of a zone's state. Its value is an index into zoneStates.
	zoneStateMetric = "svc_zone_state"
	// zoneMetricPrefix starts the names of all metrics by zone.
	zoneMetricPrefix = "svc_zone_"
)

// statusCmd is the command "status".
type statusCmd struct {
	fleetQuery
}

// balancerStatus is the status of one balancer, as --json writes it. A field without a tag has its name as its key.
type balancerStatus struct {
	Address    string
	Check      string         // the response to the call check, or why there is no status
	Serving    bool           // accepts clients and does not drain
	Metrics    map[string]int `json:"Figures,omitempty"` // values by metric name, summed over labels; metrics by zone are left out
	ZonesNotOK []string       `json:",omitempty"`        // zones in another state than "well", each with its state
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
	status := balancerStatus{Address: address, Metrics: map[string]int{}}
	response, err := callForLines(ctx, address, "check")
	if err != nil {
		status.fail(err)
		return status
	}
	status.Check = response[0]
	status.Serving = status.Check == servingResponse
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

// fail records the error that prevented a complete status.
func (s *balancerStatus) fail(err error) {
	s.Check = err.Error()
	s.Serving = false
}

// zoneStates has the name of each value of zoneStateMetric.
var zoneStates = []string{"well", "doubtful", "failed", "left", "returning"}

// addMetric adds a line of the response to the call vars: name{label="x"} value.
func (s *balancerStatus) addMetric(line string) error {
	separator := strings.LastIndexByte(line, ' ')
	value, err := strconv.Atoi(line[separator+1:])
	if separator < 1 || err != nil {
		return fmt.Errorf("metrics of %s: line %q does not end with an integer value", s.Address, line)
	}
	name, labels, hasLabels := strings.Cut(line[:separator], "{")
	switch {
	case name == zoneStateMetric && value > 0:
		return s.addZoneState(line, labels, value)
	case strings.HasPrefix(name, zoneMetricPrefix) && hasLabels:
		return nil // showStatus has no column for other metrics by zone
	default:
		s.Metrics[name] += value
		return nil
	}
}

// addZoneState adds a zone in another state than "well". labels is the part of the line behind the opening brace.
func (s *balancerStatus) addZoneState(line, labels string, state int) error {
	quoted := strings.TrimSuffix(strings.TrimPrefix(labels, "zone="), "}")
	zone, err := strconv.Unquote(quoted)
	if err != nil || state >= len(zoneStates) {
		return fmt.Errorf("metrics of %s: line %q has no zone label or an unknown zone state", s.Address, line)
	}
	s.ZonesNotOK = append(s.ZonesNotOK, zone+" "+zoneStates[state])
	return nil
}

// shownMetrics are the metrics that have a column in the table of showStatus.
var shownMetrics = []string{
	"svc_in_progress", "svc_passed", "svc_dropped", "svc_bad_gateway", "svc_known_upstreams", "svc_skipped_upstreams",
	"svc_list_age_ms",
}

// showStatus writes a table with a row for each balancer.
func showStatus(w io.Writer, statuses []balancerStatus) {
	rows := [][]any{{"balancer", "", "in progress", "passed", "dropped", "bad gateway", "known", "skipped", "list age (ms)", "zones that are not well"}}
	for _, s := range statuses {
		rows = append(rows, statusRow(s))
	}
	writeTable(w, rows...)
}

// statusRow returns the row of one balancer in the table of showStatus.
func statusRow(s balancerStatus) []any {
	row := []any{s.Address, s.Check}
	for _, name := range shownMetrics {
		if value, ok := s.Metrics[name]; ok {
			row = append(row, value)
		} else {
			row = append(row, "-")
		}
	}
	return append(row, strings.Join(s.ZonesNotOK, ", "))
}
