package live

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sprucehill/internal/lab/history"
)

// limitCheckInterval is how often the memory and file descriptors of the balancers' processes are checked.
const limitCheckInterval = 500 * time.Millisecond

// watchLimits records, until ctx ends, each balancer process that exceeds its limit of memory or file descriptors.
func (r *run) watchLimits(ctx context.Context) {
	tick := time.NewTicker(limitCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, n := range r.nodes {
			r.checkNodeLimits(n)
		}
	}
}

func (r *run) checkNodeLimits(n *node) {
	p, _, ended := n.processState()
	if ended {
		return
	}
	memoryMB, descriptors, err := processUsage(p.Pid)
	if err != nil {
		return // the process has just ended
	}
	if limit := r.scenario.Balancer.MemoryMB; memoryMB > limit {
		n.record(history.OverLimit, memoryMB, fmt.Sprintf("memory, of %d MB", limit))
	}
	if limit := r.scenario.Balancer.Sockets; descriptors > limit {
		n.record(history.OverLimit, descriptors, fmt.Sprintf("descriptors, of %d", limit))
	}
}

// processUsage returns the current resident memory, in MB, and the number of open file descriptors of a process.
func processUsage(pid int) (memoryMB, descriptors int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, 0, fmt.Errorf("/proc/%d/statm: got %d fields, expected at least 2", pid, len(fields))
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, 0, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return pages * os.Getpagesize() >> 20, len(open), err
}

// labCPUTime returns the CPU time that this process has used.
func labCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
