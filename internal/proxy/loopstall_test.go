package proxy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sprucehill/internal/discovery"
	"sprucehill/internal/durable"
	"sprucehill/internal/savedstate"
)

// slowDisk is a folder whose syncs are delayed.
type slowDisk struct {
	*durable.Folder
	wait time.Duration
}

func (d slowDisk) Sync() error {
	time.Sleep(d.wait)
	return d.Folder.Sync()
}

func (d slowDisk) Create(name string) (durable.File, error) {
	f, err := d.Folder.Create(name)
	return slowFile{f, d.wait}, err
}

// slowFile is a file of a slowDisk.
type slowFile struct {
	durable.File
	wait time.Duration
}

func (f slowFile) Sync() error {
	time.Sleep(f.wait)
	return f.File.Sync()
}

// BenchmarkLoopStall measures how long the event loop takes to respond, with saved state on a disk whose syncs take 50 ms and
// without saved state. One operation takes about a second, in which the loop is called once a millisecond and serves a
// request every ten calls.
func BenchmarkLoopStall(b *testing.B) {
	for _, saveState := range []bool{false, true} {
		b.Run(fmt.Sprintf("state=%v", saveState), func(b *testing.B) {
			var members []discovery.Entry
			for i := range 12 {
				members = append(members, activeMember(fmt.Sprintf("s-%08x", i+1), newTestUpstream(b, respondOK)))
			}
			balancer := newBalancerWith(b, newTestDiscovery(b), func(c *Config) {
				if !saveState {
					return
				}
				folder, err := durable.OpenFolder(b.TempDir())
				if err != nil {
					b.Fatal(err)
				}
				writer := durable.StartWriterOn(slowDisk{folder, 50 * time.Millisecond}, durable.Options{Owner: "b", MinInterval: 200 * time.Millisecond,
					Log: func(string, ...any) {}}, savedstate.Kinds)
				b.Cleanup(writer.Close)
				c.StateWriter = writer
			}, members...)
			var longest, durations []time.Duration
			for b.Loop() {
				var operationLongest time.Duration
				for i := range 1000 {
					if i%10 == 0 {
						balancer.do(b, balancer.newRequest("checkin", ""))
					}
					start := time.Now()
					if err := balancer.proxy.callLoop(func(*loop) {}); err != nil {
						b.Fatal(err)
					}
					duration := time.Since(start)
					operationLongest, durations = max(operationLongest, duration), append(durations, duration)
					time.Sleep(time.Millisecond - min(duration, time.Millisecond))
				}
				longest = append(longest, operationLongest)
			}
			percentile := func(values []time.Duration, p float64) float64 {
				slices.Sort(values)
				return float64(values[int(p*float64(len(values)-1))].Microseconds())
			}
			b.ReportMetric(percentile(longest, 0.5), "longest-p50-us")
			b.ReportMetric(percentile(longest, 0.99), "longest-p99-us")
			b.ReportMetric(percentile(durations, 0.99), "p99-us")
		})
	}
}
