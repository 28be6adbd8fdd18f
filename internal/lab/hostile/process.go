package hostile

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// PeakMemory returns the highest resident memory of a process so far, in bytes (VmHWM of proc(5)).
func PeakMemory(pid int) (int64, error) {
	return memoryField(pid, "status", "VmHWM")
}

// memoryField returns a field of a file of proc(5) that is given in KiB, in bytes.
func memoryField(pid int, file, field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, fmt.Errorf("memory of a process: %w", err)
	}
	var kib int64
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, field+": %d kB", &kib); err == nil {
			return kib << 10, nil
		}
	}
	return 0, fmt.Errorf("memory of a process: process %d has no %s", pid, field)
}

// SharedMemory returns the resident memory of several processes together, in bytes. Pages that they share count once (Pss of proc(5)).
func SharedMemory(pids ...int) (int64, error) {
	var total int64
	for _, pid := range pids {
		bytes, err := memoryField(pid, "smaps_rollup", "Pss")
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, nil
}

// Throttle lets a process run for a share (0 to 1) of each slice of time, by SIGSTOP and SIGCONT, until the context ends. The
// process runs when Throttle returns.
func Throttle(ctx context.Context, process *os.Process, share float64, slice time.Duration) {
	running := time.Duration(share * float64(slice))
	for ctx.Err() == nil {
		_ = process.Signal(syscall.SIGCONT) // a process that has ended needs no signal
		time.Sleep(running)
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(slice - running)
	}
	_ = process.Signal(syscall.SIGCONT)
}
