//go:build review

package stage

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenes["upgrade-memory"] = upgradeMemory }

// upgradeMemory has as many clients as a third of 1,024 descriptors send proper requests with bodies of up to 64 KiB, under a memory limit of
// 32 MB. With trouble the balancer is upgraded. The limit holds for the processes of an upgrade together.
func upgradeMemory(s *stage, trouble bool) {
	const (
		memoryMB = 32
		sockets  = 1024
		clients  = sockets / 3
		maxBody  = 64 << 10
		work     = 400 * time.Millisecond // of an upstream for a request
		span     = 12 * time.Second
		upgrade  = 5 * time.Second
	)
	var upstreams []*upstream
	for i := range 24 {
		upstreams = append(upstreams, s.startUpstream(i, plain(work)))
	}
	d := s.startDiscovery(upstreams...)
	listener := s.listen()
	inherited, err := listener.(*net.TCPListener).File()
	must(err)
	o := startOptions{memoryMB: memoryMB, sockets: sockets, files: []*os.File{inherited}, env: []string{"RELAY_FD=3"}, address: listener.Addr().String(), tmp: s.folder}
	memory := memorySampler{limit: memoryMB << 20, files: filepath.Join(s.folder, "*.ids")}
	memory.add(s.startBalancer(d, o))
	began := time.Now()
	var served, others atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.goroutines(clients, func(i int) {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			var c *client
			for time.Since(began) < span {
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				if c == nil {
					c = memory.first().dial()
				}
				_, _ = io.WriteString(c, requestText("buy-ticket", s.newID(), 7000, strings.Repeat("b", random.IntN(maxBody))))
				c.SetReadDeadline(time.Now().Add(8 * time.Second))
				status, _, err := c.readAnswer()
				if status == 200 && err == nil {
					served.Add(1)
				} else {
					others.Add(1)
				}
				if err != nil || c.lastClosed {
					c.Close()
					c = nil
				}
			}
		})
	}()
	var upgraded bool
	for time.Since(began) < span {
		time.Sleep(5 * time.Millisecond)
		memory.sample()
		if trouble && !upgraded && time.Since(began) > upgrade {
			upgraded = true
			s.log("one process: %s", memory.text())
			go s.replace(&memory, d, o)
		}
	}
	<-ended
	s.log("requests served %d, others %d; the most memory: %s", served.Load(), others.Load(), memory.text())
	if served.Load() == 0 {
		panic("no request was served")
	}
	if memory.most > memory.limit {
		s.breaks("the processes of one balancer held %.1f MiB together, with their files in $TMPDIR, pages that they share counted once; the limit is %d MB", mib(memory.most), memoryMB)
	}
}

// replace starts a second process, and ends the first one once the second is ready.
func (s *stage) replace(memory *memorySampler, d *discovery, o startOptions) {
	old := memory.first()
	o.noWait = true
	next := s.startBalancer(d, o)
	memory.add(next)
	for until := time.Now().Add(6 * time.Second); !strings.HasPrefix(next.call("check"), "YES"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			s.log("the second process is not ready after 6 s")
			return
		}
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(3700 * time.Millisecond):
		old.kill()
	}
}

// memorySampler samples the memory of the processes of one balancer.
type memorySampler struct {
	limit int64
	files string // pattern of the files that the balancer writes into $TMPDIR, which counts as memory

	mu        sync.Mutex
	processes []*process
	most      int64 // bytes, pages that processes share counted once, and files
	anonymous int64 // of them, those that no file has, at another time maybe
}

func (m *memorySampler) add(p *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = append(m.processes, p)
}

// first returns the first process.
func (m *memorySampler) first() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processes[0]
}

var (
	proportional = regexp.MustCompile(`(?m)^Pss:\s*(\d+) kB`)
	anonymous    = regexp.MustCompile(`(?m)^Pss_Anon:\s*(\d+) kB`)
)

func (m *memorySampler) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total, anon int64
	for _, p := range m.processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", p.cmd.Process.Pid))
		if err != nil {
			continue // it has ended
		}
		total += kilobytes(proportional, text)
		anon += kilobytes(anonymous, text)
	}
	files, _ := filepath.Glob(m.files)
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			total += info.Sys().(*syscall.Stat_t).Blocks * 512
		}
	}
	m.most = max(m.most, total)
	m.anonymous = max(m.anonymous, anon)
}

func kilobytes(pattern *regexp.Regexp, text []byte) int64 {
	found := pattern.FindSubmatch(text)
	if found == nil {
		return 0
	}
	kb, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return kb << 10
}

func (m *memorySampler) text() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%.1f MiB, anonymous pages %.1f MiB", mib(m.most), mib(m.anonymous))
}

func mib(bytes int64) float64 { return float64(bytes) / (1 << 20) }
