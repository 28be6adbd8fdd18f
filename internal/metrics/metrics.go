// Package metrics implements counters and gauges, and writes them as text: each line holds the name of a metric, its labels
// if it has any, and its value.
//
// Changing and writing values is safe for concurrent use. The values of one text are not a consistent snapshot: each is read
// separately. All metrics must be added to a Set, by one goroutine, before the Set is first written.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
)

// Counter counts events since the start of the process. It never decreases. Its zero value is a counter at 0.
type Counter struct{ value atomic.Int64 }

// Inc increments the counter by 1.
func (c *Counter) Inc() { c.value.Add(1) }

// Gauge is a value that can increase and decrease. Its zero value is a gauge at 0.
type Gauge struct{ value atomic.Int64 }

// Add adds delta, which may be negative, to the gauge.
func (g *Gauge) Add(delta int) { g.value.Add(int64(delta)) }

// Set sets the gauge to value.
func (g *Gauge) Set(value int) { g.value.Store(int64(value)) }

// Label distinguishes metrics with the same name. Its value may be any text; it is written as a quoted Go string.
type Label struct{ Name, Value string }

// Set is an ordered list of metrics. They are written in the order in which they were added.
type Set struct{ metrics []metric }

// metric is a counter or gauge with its name.
type metric struct {
	id    string // name and labels in text form
	value *atomic.Int64
}

// Counter adds a counter to the set and returns it. The name and labels must not be in the set yet.
func (s *Set) Counter(name string, labels ...Label) *Counter {
	c := &Counter{}
	s.metrics = append(s.metrics, metric{id: metricID(name, labels), value: &c.value})
	return c
}

// Gauge adds a gauge to the set and returns it. The name and labels must not be in the set yet.
func (s *Set) Gauge(name string, labels ...Label) *Gauge {
	g := &Gauge{}
	s.metrics = append(s.metrics, metric{id: metricID(name, labels), value: &g.value})
	return g
}

// metricID returns the text form of a name and its labels: name{label="value",...}.
func metricID(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels))
	for _, l := range labels {
		pairs = append(pairs, fmt.Sprintf("%s=%q", l.Name, l.Value))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// Write writes all metrics to w. It wraps the first error of w.
func (s *Set) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	for _, m := range s.metrics {
		fmt.Fprintf(buffered, "%s %d\n", m.id, m.value.Load()) // Flush returns the first error
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("writing metrics: %w", err)
	}
	return nil
}
