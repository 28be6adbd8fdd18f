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

// fillPipe returns the writing end of a pipe that takes no more bytes, and that nobody reads.
func fillPipe(t *testing.T) *os.File {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		read.Close()
		write.Close()
	})
	for {
		if err := write.SetWriteDeadline(time.Now().Add(healthPollInterval)); err != nil {
			t.Fatal(err)
		}
		if _, err := write.Write(make([]byte, 4096)); err != nil {
			return write
		}
	}
}

// A log that nobody reads holds nothing up: the process starts, is drained and ends as with any other. It used to wait for the
// line of its start, and a drain for the line that announces it.
func TestStalledLogHoldsNothingUp(t *testing.T) {
	address, operators := freeAddress(t), freeAddress(t)
	p := newProcess(t, balancerCommand(t), configTemplate, address, freeAddress(t))
	p.Env = append(p.Env, "RELAY_MANAGEMENT="+operators)
	p.Stderr = fillPipe(t)
	p.launch(t)
	t.Cleanup(func() { p.Process.Kill() })
	waitFor(t, "the process serves", func() bool { return callManagement(operators, "check") == "YES serving" })
	called := time.Now()
	if answer := callManagement(operators, "drain-on"); answer != "YES draining" || time.Since(called) > time.Second {
		t.Errorf("drain-on got %q after %v", answer, time.Since(called))
	}
	if err := checkHealth(address); err == nil {
		t.Error("the health check is answered with yes")
	}
	p.terminate(t)
}

// Lines that come while the log is not read are counted, and the count is logged once it is read again.
func TestLostLogLinesAreCounted(t *testing.T) {
	const lost = 7
	read, write := io.Pipe()
	queue := newLogQueue(write)
	former := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(queue, nil)))
	t.Cleanup(func() { slog.SetDefault(former) })
	fmt.Fprintln(queue, "first")
	waitFor(t, "the first line is being written", func() bool { return len(queue.lines) == 0 })
	for range logQueueLength + lost {
		fmt.Fprintln(queue, "line")
	}
	lines := bufio.NewScanner(read)
	for range 1 + logQueueLength {
		lines.Scan()
	}
	if lines.Scan(); !strings.HasSuffix(lines.Text(), fmt.Sprintf(`level=WARN msg="log lines lost" count=%d`, lost)) {
		t.Errorf("got %q", lines.Text())
	}
}
