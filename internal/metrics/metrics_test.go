package metrics

import (
	"errors"
	"strings"
	"sync"
	"testing"
)

// Metrics are written in order, with their labels quoted. Concurrent increments are not lost.
func TestWriteFormat(t *testing.T) {
	var s Set
	passed := s.Counter("svc_passed", Label{"category", "plan-trip"})
	s.Counter("svc_passed", Label{"category", `odd "one"`}, Label{"zone", "z"})
	open := s.Gauge("svc_in_progress")
	listed := s.Gauge("svc_known_upstreams")
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				passed.Inc()
				open.Add(2)
				open.Add(-1)
			}
		})
	}
	writers.Wait()
	listed.Set(12)
	listed.Set(11)
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	want := "svc_passed{category=\"plan-trip\"} 800\nsvc_passed{category=\"odd \\\"one\\\"\",zone=\"z\"} 0\n" +
		"svc_in_progress 800\nsvc_known_upstreams 11\n"
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

// failingWriter fails every write with its error.
type failingWriter struct{ err error }

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }

func TestWriteReturnsTheWriterError(t *testing.T) {
	var s Set
	s.Gauge("g")
	writeErr := errors.New("connection closed")
	if err := s.Write(failingWriter{writeErr}); !errors.Is(err, writeErr) {
		t.Errorf("got error %v, want one that wraps %v", err, writeErr)
	}
}
