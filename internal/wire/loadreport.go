package wire

import (
	"bytes"
	"fmt"

	"sprucehill/balancer"
)

// loadValue identifies one value of a load report: the bit that marks it as present, and its place in the report.
type loadValue struct {
	field balancer.LoadField
	get   func(*balancer.LoadReport) *float64
}

var (
	loadUtilization = loadValue{balancer.HasUtilization, func(r *balancer.LoadReport) *float64 { return &r.Utilization }}
	loadInflight    = loadValue{balancer.HasInflight, func(r *balancer.LoadReport) *float64 { return &r.Inflight }}
	loadQueue       = loadValue{balancer.HasQueue, func(r *balancer.LoadReport) *float64 { return &r.Queue }}
	loadServiceTime = loadValue{balancer.HasServiceTime, func(r *balancer.LoadReport) *float64 { return &r.ServiceTime }}
	loadRate        = loadValue{balancer.HasRate, func(r *balancer.LoadReport) *float64 { return &r.Rate }}
	loadErrors      = loadValue{balancer.HasErrors, func(r *balancer.LoadReport) *float64 { return &r.Errors }}
)

// loadValues maps the names of the values of a load report: for each value the simulator's name, and the short name that
// real upstreams send.
var loadValues = map[string]loadValue{
	"load_share": loadUtilization,
	"util":       loadUtilization,
	"concurrent": loadInflight,
	"inflight":   loadInflight,
	"depth":      loadQueue,
	"queue":      loadQueue,
	"mean_ms":    loadServiceTime,
	"latency_ms": loadServiceTime,
	"tps":        loadRate,
	"qps":        loadRate,
	"err_ps":     loadErrors,
	"eps":        loadErrors,
}

// SetLoadField sets one value of a load report, by the simulator's name or by the short name that real upstreams send.
// Unknown names are ignored.
func SetLoadField(report *balancer.LoadReport, name string, value float64) {
	load, known := loadValues[name]
	if !known {
		return
	}
	*load.get(report) = value
	report.Fields |= load.field
}

// loadReport parses a load report, a comma-separated list of name:value. If the field is missing, the report is empty.
func (f *fields) loadReport(name string) balancer.LoadReport {
	var report balancer.LoadReport
	rest := f.optional(name)
	for len(rest) > 0 {
		var entry []byte
		entry, rest, _ = bytes.Cut(rest, []byte{','})
		key, value, ok := bytes.Cut(entry, []byte{':'})
		if !ok {
			f.fail(name, fmt.Sprintf("%q is not name:value", entry))
			return report
		}
		SetLoadField(&report, string(key), f.parseFloat(name, value))
	}
	return report
}
