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

// slowDisk is a folder whose syncs take long.
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

type slowFile struct {
	durable.File
	wait time.Duration
}

func (f slowFile) Sync() error {
	time.Sleep(f.wait)
	return f.File.Sync()
}

// BenchmarkLoopStall measures for how long the event loop is not available, with a disk whose syncs take 50 ms and without
// saved state. An operation is a second, in which the loop is called once a millisecond beside requests.
func BenchmarkLoopStall(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("state=%v", on), func(b *testing.B) {
			var members []discovery.Entry
			for i := range 12 {
				members = append(members, activeMember(fmt.Sprintf("s-%08x", i+1), newTestUpstream(b, respondOK)))
			}
			x := newBalancerWith(b, newTestDiscovery(b), func(c *Config) {
				if !on {
					return
				}
				folder, err := durable.OpenFolder(b.TempDir())
				if err != nil {
					b.Fatal(err)
				}
				k := durable.StartWriterOn(slowDisk{folder, 50 * time.Millisecond}, durable.Options{Owner: "b", MinInterval: 200 * time.Millisecond,
					Log: func(string, ...any) {}}, savedstate.Kinds)
				b.Cleanup(k.Close)
				c.StateWriter = k
			}, members...)
			var longest, all []time.Duration
			for b.Loop() {
				var most time.Duration
				for i := range 1000 {
					if i%10 == 0 {
						x.do(b, x.newRequest("checkin", ""))
					}
					at := time.Now()
					if err := x.proxy.callLoop(func(*loop) {}); err != nil {
						b.Fatal(err)
					}
					took := time.Since(at)
					most, all = max(most, took), append(all, took)
					time.Sleep(time.Millisecond - min(took, time.Millisecond))
				}
				longest = append(longest, most)
			}
			at := func(xs []time.Duration, p float64) float64 {
				slices.Sort(xs)
				return float64(xs[int(p*float64(len(xs)-1))].Microseconds())
			}
			b.ReportMetric(at(longest, 0.5), "longest-p50-us")
			b.ReportMetric(at(longest, 0.99), "longest-p99-us")
			b.ReportMetric(at(all, 0.99), "p99-us")
		})
	}
}
