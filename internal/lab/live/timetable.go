package live

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// runTimetable begins and ends each fault at its time, until ctx ends.
func (r *run) runTimetable(ctx context.Context) {
	changes, hits := r.scenario.FaultSchedule()
	for _, c := range changes {
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.At - r.now()):
		}
		kind := history.FaultEnded
		if c.Transition == scenario.Begin {
			kind = history.FaultBegan
		}
		r.recorder.record(history.Event{Kind: kind, Fault: int32(c.Fault), Arrival: history.None, Balancer: history.None, Upstream: history.None})
		r.applyChange(c, hits[c.Fault])
	}
}

// applyChange begins or ends a fault.
func (r *run) applyChange(c scenario.FaultTransition, hit scenario.AffectedSet) {
	fault := r.scenario.Faults[c.Fault]
	switch hit.Scope {
	case scenario.OnLinks:
		r.net.Apply(c.Fault, c.Transition)
	case scenario.OnUpstreams:
		for _, u := range hit.Targets {
			r.upstreams[u].applyFault(fault, c.Transition)
		}
	case scenario.OnBalancers:
		for _, b := range hit.Targets {
			go r.applyNodeFault(b, fault, c.Transition) // it may wait until the process exits
		}
	case scenario.OnDiscovery:
		for _, b := range hit.Targets {
			r.applyDiscoveryFault(b, fault, c.Transition)
		}
	}
}

// applyNodeFault begins or ends a fault on a balancer. That the process has exited already is not an error.
func (r *run) applyNodeFault(b int, fault scenario.Fault, transition scenario.Transition) {
	n := r.nodes[b]
	apply := n.endFault
	if transition == scenario.Begin {
		apply = n.beginFault
	}
	if err := apply(fault); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Error("applying a fault failed", "kind", fault.Kind, "balancer", n.name(), "err", err)
	}
}

// applyDiscoveryFault begins or ends a fault on a balancer's discovery agent.
func (r *run) applyDiscoveryFault(b int, fault scenario.Fault, transition scenario.Transition) {
	begins := transition == scenario.Begin
	switch {
	case fault.Kind == scenario.DiscoverySilent && begins:
		r.registry.silence(b)
	case fault.Kind == scenario.DiscoverySilent:
		r.registry.endSilence(b)
	case begins:
		r.registry.setErrorRate(b, fault.Size)
	default:
		r.registry.setErrorRate(b, 0)
	}
}
