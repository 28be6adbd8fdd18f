package proxy

import (
	"io"
	"time"

	"sprucehill/balancer"
)

// The paths of an upstream's health check and of its load report.
const (
	healthPath = "/healthz"
	loadPath   = "/load"
)

// healthCheck is a single health check of an upstream.
type healthCheck struct {
	endpoint *endpoint
	sentAt   time.Duration // on the loop's clock
	address  string        // host:port
	withLoad bool          // request a load report instead of the health status only
	conn     *upstreamConn // an idle connection; nil: open a new one
}

// checkHealth sends a health check and reads the response.
func (d dialer) checkHealth(check *healthCheck) attemptResult {
	c, err := d.connect(check.conn, check.address)
	if err != nil {
		return attemptResult{status: balancer.ConnectFailed}
	}
	path := healthPath
	if check.withLoad {
		path = loadPath
	}
	c.SetReadDeadline(time.Now().Add(d.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+check.address+"\r\n\r\n"); err != nil {
		c.Close()
		return attemptResult{status: balancer.ConnectFailed}
	}
	var r attemptResult
	d.readShortResponse(c, &r)
	d.bodyBudget.Release(cap(r.body))
	if r.stream != nil { // longer than any valid load report
		c.Close()
		return attemptResult{status: balancer.Error}
	}
	if check.withLoad && r.status == balancer.OK {
		if report := parseLoadReport(string(r.body)); report.Fields != 0 {
			r.load = report
		}
	}
	return r
}
