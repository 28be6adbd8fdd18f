package wire

import (
	"bytes"
	"fmt"

	"sprucehill/balancer"
)

// status parses the status of an attempt or a health check.
func (f *fields) status(name string) balancer.Status {
	switch code := f.requiredUint(name, 31); code {
	case 0:
		return balancer.OK
	case 255:
		return balancer.Error
	case 254:
		return balancer.Rejected
	case 253:
		return balancer.Timeout
	case 252:
		return balancer.ConnectFailed
	case 251:
		return balancer.Reset
	case 250:
		return balancer.Cancelled
	case 249:
		return balancer.NotSent
	default:
		f.fail(name, fmt.Sprintf("unknown status %d", code))
		return 0
	}
}

// loadReport parses an upstream's load report, a comma-separated list of name:value. It may be missing.
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

// SetLoadField sets one value of a load report. The name is the simulator's, or the short one that real upstreams send.
// Other names are ignored.
func SetLoadField(report *balancer.LoadReport, name string, value float64) {
	switch name {
	case "load_share", "util":
		report.Utilization = value
		report.Fields |= balancer.HasUtilization
	case "concurrent", "inflight":
		report.Inflight = value
		report.Fields |= balancer.HasInflight
	case "depth", "queue":
		report.Queue = value
		report.Fields |= balancer.HasQueue
	case "mean_ms", "latency_ms":
		report.ServiceTime = value
		report.Fields |= balancer.HasServiceTime
	case "tps", "qps":
		report.Rate = value
		report.Fields |= balancer.HasRate
	case "err_ps", "eps":
		report.Errors = value
		report.Fields |= balancer.HasErrors
	}
}
