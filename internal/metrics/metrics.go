// Package metrics has counters and gauges and writes them as text, one per line: its name, its labels if it has any, and its
// value.
//
// Values may be changed and written from any goroutine. The values in one text are not a consistent snapshot: each is read
// by itself. A Set is built by one goroutine before it is first written.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
)

// Counter counts events since the start of the process. It never decreases. Its zero value is 0.
type Counter struct{ value atomic.Int64 }

// Inc counts one event.
func (c *Counter) Inc() { c.value.Add(1) }

// Gauge is a value that goes up and down. Its zero value is 0.
type Gauge struct{ value atomic.Int64 }

// Add changes the gauge by delta.
func (g *Gauge) Add(delta int) { g.value.Add(int64(delta)) }

// Set sets the gauge to value.
func (g *Gauge) Set(value int) { g.value.Store(int64(value)) }

// Label distinguishes metrics of the same name. Its value may be any text; it is written quoted.
type Label struct{ Name, Value string }

// Set is a list of metrics, which are written in the order in which they were added.
type Set struct{ metrics []metric }

// metric is a counter or gauge with its name.
type metric struct {
	id    string // name and labels as they are written
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

// metricID returns a name with its labels as they are written: name{label="value",...}.
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

// Write writes every metric. It returns the first error of w, wrapped.
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
