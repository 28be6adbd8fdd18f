// Command simadapter runs instances of the decision module for the simulator. It reads batches of events from standard
// input and writes the resulting effects to standard output, in the protocol of package wire. It only translates; all
// decisions are the decision module's.
//
// The exit code is 0 at the end of input, and 1 on malformed input, with a message on standard error. An instance that
// panics or rejects its settings is reported as a crash in the reply; the program goes on.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run reads batches until the end of input, and writes a reply to each.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	h := host{writer: wire.NewWriter(out), instances: map[int]*balancer.Balancer{}}
	var batch wire.Batch
	for {
		err := reader.Next(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			h.deliver(batch.At, &batch.Events[i])
		}
		if err := h.writer.EndReply(batch.Serial); err != nil {
			return fmt.Errorf("writing the reply to batch %d: %w", batch.Serial, err)
		}
	}
}

// host runs instances of the decision module. The keys of instances are the numbers that the simulator gives them.
type host struct {
	writer    *wire.Writer
	instances map[int]*balancer.Balancer
}

// deliver passes an event to its instance. Events for an instance that is not running are ignored. If the instance panics,
// it is removed and reported as crashed, with the text of the panic.
func (h *host) deliver(now time.Duration, event *wire.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			wire.NewEffectWriter(h.writer, event.Instance).Crash(fmt.Sprint(cause))
			delete(h.instances, event.Instance)
		}
	}()
	if event.Kind == wire.KindAttach {
		h.attach(now, event)
		return
	}
	instance := h.instances[event.Instance]
	if instance == nil {
		return
	}
	switch event.Kind {
	case wire.KindExit:
		delete(h.instances, event.Instance)
	case wire.KindEndpointUpdate:
		instance.OnEndpointUpdate(now, event.Mode, event.Endpoints)
	case wire.KindRequest:
		instance.OnRequest(now, event.Request)
	case wire.KindStreamStarted:
		instance.OnStreamStarted(now, event.Result.ID, event.Result.Attempt)
	case wire.KindAttemptResult:
		instance.OnAttemptResult(now, event.Result)
	case wire.KindClientDisconnected:
		instance.OnClientDisconnected(now, event.Request.ID)
	case wire.KindTimer:
		instance.OnTimer(now, event.TimerToken)
	case wire.KindHealthCheckResult:
		instance.OnHealthCheckResult(now, event.HealthCheck)
	}
}

// attach starts an instance. It replaces a running instance with the same number.
func (h *host) attach(now time.Duration, event *wire.Event) {
	effects := wire.NewEffectWriter(h.writer, event.Instance)
	instance, err := balancer.New(event.Settings, event.Seed, now, effects)
	if err != nil {
		effects.Crash(err.Error())
		return
	}
	h.instances[event.Instance] = instance
}
