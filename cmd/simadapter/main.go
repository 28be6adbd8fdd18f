// Command simadapter connects instances of the decision module to the simulator, whose protocol it speaks on standard
// input and output. It translates and decides nothing.
//
// It ends with exit code 0 at the end of input, and with 1 and a message on malformed input. An instance that panics or
// refuses its settings is reported in the reply and does not end the program.
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

// run answers batches until the end of input.
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
		if err := h.writer.Done(batch.Serial); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// host owns the running instances, by their numbers.
type host struct {
	writer    *wire.Writer
	instances map[int]*balancer.Balancer
}

// deliver passes one event to its instance. Events for an instance that does not run are ignored. A panic ends the
// instance and is reported with its text.
func (h *host) deliver(now time.Duration, event *wire.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			wire.NewActionWriter(h.writer, event.Instance).Crash(fmt.Sprint(cause))
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

// attach starts an instance, in place of a running one of the same number.
func (h *host) attach(now time.Duration, event *wire.Event) {
	actions := wire.NewActionWriter(h.writer, event.Instance)
	instance, err := balancer.New(event.Settings, event.Seed, now, actions)
	if err != nil {
		actions.Crash(err.Error())
		return
	}
	h.instances[event.Instance] = instance
}
