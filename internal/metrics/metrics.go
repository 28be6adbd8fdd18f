// Package metrics keeps counters and gauges and writes them as text, one to a line: its name, its label if it has one,
// and its value. They may be read and moved from any goroutine.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
)

// Counter counts what has happened since the start. It never goes back.
type Counter struct{ n atomic.Int64 }

// Add counts one more.
func (c *Counter) Add() { c.n.Add(1) }

// Gauge is how many there are now.
type Gauge struct{ n atomic.Int64 }

// Add moves the gauge by d.
func (g *Gauge) Add(d int) { g.n.Add(int64(d)) }

// Set puts the gauge to n.
func (g *Gauge) Set(n int) { g.n.Store(int64(n)) }

// Label tells figures of one name apart.
type Label struct{ Name, Value string }

// Set is a list of figures, written in the order in which they were made. All are made before the first is read.
type Set struct{ figures []figure }

type figure struct {
	id    string // name and label as they are written
	value *atomic.Int64
}

// Counter adds a counter.
func (s *Set) Counter(name string, labels ...Label) *Counter {
	c := &Counter{}
	s.add(name, labels, &c.n)
	return c
}

// Gauge adds a gauge.
func (s *Set) Gauge(name string, labels ...Label) *Gauge {
	g := &Gauge{}
	s.add(name, labels, &g.n)
	return g
}

func (s *Set) add(name string, labels []Label, value *atomic.Int64) {
	for i, l := range labels {
		if i == 0 {
			name += "{"
		} else {
			name += ","
		}
		name += fmt.Sprintf("%s=%q", l.Name, l.Value)
	}
	if len(labels) > 0 {
		name += "}"
	}
	s.figures = append(s.figures, figure{name, value})
}

// Write writes every figure.
func (s *Set) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, f := range s.figures {
		fmt.Fprintf(b, "%s %d\n", f.id, f.value.Load()) // the first error stays with b
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("writing figures: %w", err)
	}
	return nil
}
