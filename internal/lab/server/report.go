package server

import "time"

// minReportSpan is the least time, in seconds, over which a report takes its figures.
const minReportSpan = 1e-3

// Report is a load report.
type Report struct {
	Util   float64 // share of the cores' time that was used
	Errors float64 // a second
	Queue  float64 // requests that wait for a slot
}

// datedReport is a report with the time from which it is visible.
type datedReport struct {
	Report
	visibleFrom time.Duration
}

// reporter gathers the figures of load reports.
type reporter struct {
	busySeconds float64 // of cores since the last report
	errors      float64 // since the last report
	lastAt      float64 // seconds
	nextAt      time.Duration
	reports     []datedReport
}

// renewReport makes a load report, which becomes visible later.
func (s *Server) renewReport() {
	r := &s.reports
	span := max(s.now.Seconds()-r.lastAt, minReportSpan)
	report := Report{
		Util:   min(1, r.busySeconds/(span*float64(s.model.Cores)*s.model.Speed*s.warmth())),
		Errors: r.errors / span,
		Queue:  float64(len(s.jobs.queue)),
	}
	r.busySeconds = 0
	r.errors = 0
	r.lastAt = s.now.Seconds()
	r.reports = append(r.reports, datedReport{report, s.now + s.model.ReportDelay.D() + s.faults.reportDelay})
	r.nextAt = s.now + s.model.ReportEvery.D()
}

// Load is the report that is visible now, if there is one.
func (s *Server) Load() (Report, bool) {
	r := &s.reports
	for len(r.reports) > 1 && r.reports[1].visibleFrom <= s.now {
		r.reports = r.reports[1:]
	}
	if len(r.reports) == 0 || r.reports[0].visibleFrom > s.now {
		return Report{}, false
	}
	return r.reports[0].Report, true
}
