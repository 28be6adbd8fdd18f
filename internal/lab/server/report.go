package server

import "time"

// minReportSeconds is the shortest interval that a load report averages over. It prevents a division by zero.
const minReportSeconds = 1e-3

// Report is a load report of a server.
type Report struct {
	Util   float64 // fraction of the cores' time that was busy, from 0 to 1
	Errors float64 // per second
	Queue  float64 // number of requests waiting for a slot
}

// delayedReport is a report with the time from which Load returns it.
type delayedReport struct {
	Report
	visibleFrom time.Duration
}

// reporter accumulates the figures of the next load report and holds the reports from the visible one on.
type reporter struct {
	busySeconds float64         // core-seconds at speed 1 since the last report
	errors      float64         // since the last report
	lastAt      float64         // when the last report was made, in seconds
	nextAt      time.Duration   // when the next report is due
	reports     []delayedReport // in order of time; the first may be visible
}

// renewReport makes a load report, which becomes visible after the report delay.
func (s *Server) renewReport() {
	r := &s.reports
	seconds := max(s.now.Seconds()-r.lastAt, minReportSeconds)
	report := Report{
		Util:   min(1, r.busySeconds/(seconds*float64(s.model.Cores)*s.model.Speed*s.warmth())),
		Errors: r.errors / seconds,
		Queue:  float64(len(s.jobs.queue)),
	}
	r.busySeconds = 0
	r.errors = 0
	r.lastAt = s.now.Seconds()
	r.reports = append(r.reports, delayedReport{report, s.now + s.model.ReportDelay.D() + s.faults.reportDelay})
	r.nextAt = s.now + s.model.ReportEvery.D()
}

// Load is the latest load report that is visible now. It returns false before the first one.
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
