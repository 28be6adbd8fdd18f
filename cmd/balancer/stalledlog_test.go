package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"
)

// openFullPipe returns the write end of a pipe whose buffer is full and that nobody reads.
func openFullPipe(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	for {
		if err := writer.SetWriteDeadline(time.Now().Add(healthPollInterval)); err != nil {
			t.Fatal(err)
		}
		if _, err := writer.Write(make([]byte, 4096)); err != nil {
			return writer
		}
	}
}

// Guards against a process that blocks on a log that nobody reads: the start waited until its log line was written, and so did a
// drain. The process must start, drain and exit as usual.
func TestStalledLogHoldsNothingUp(t *testing.T) {
	address, management := freeAddress(t), freeAddress(t)
	p := newProcess(t, balancerCommand(t), configTemplate, address, freeAddress(t))
	p.Env = append(p.Env, "RELAY_MANAGEMENT="+management)
	p.Stderr = openFullPipe(t)
	p.launch(t)
	t.Cleanup(func() { p.Process.Kill() })
	waitFor(t, "the process serves", func() bool { return callManagement(management, "check") == "YES serving" })
	called := time.Now()
	if answer := callManagement(management, "drain-on"); answer != "YES draining" || time.Since(called) > time.Second {
		t.Errorf("drain-on got %q after %v", answer, time.Since(called))
	}
	if err := checkHealth(address); err == nil {
		t.Error("the health check succeeds during the drain")
	}
	p.terminate(t)
}

// Lines that are lost while nobody reads the log are counted, and the count is logged once the log is read again.
func TestLostLogLinesAreCounted(t *testing.T) {
	const lost = 7
	reader, writer := io.Pipe()
	queue := newLogQueue(writer)
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(queue, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	fmt.Fprintln(queue, "first")
	waitFor(t, "the first line is being written", func() bool { return len(queue.lines) == 0 })
	for range logQueueLength + lost {
		fmt.Fprintln(queue, "line")
	}
	lines := bufio.NewScanner(reader)
	for range 1 + logQueueLength {
		lines.Scan()
	}
	if lines.Scan(); !strings.HasSuffix(lines.Text(), fmt.Sprintf(`level=WARN msg="log lines lost" count=%d`, lost)) {
		t.Errorf("got %q, want a line that reports %d lost lines", lines.Text(), lost)
	}
}
