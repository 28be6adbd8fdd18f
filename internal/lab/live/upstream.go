package live

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/link"
	"sprucehill/internal/lab/scenario"
	"sprucehill/internal/lab/server"
)

// upstream is an emulated upstream: a server model behind one listener for each balancer.
type upstream struct {
	run        *run
	index      int
	party      scenario.Party
	changed    chan struct{} // signals advanceLoop that the next wake-up may be sooner
	ended      chan struct{} // closed at the end of the run
	goroutines sync.WaitGroup

	mu        sync.Mutex
	server    *server.Server // nil: the process is not running
	jobs      map[server.JobID]*upstreamAttempt
	lastJob   server.JobID
	listeners []*link.Listener // nil: not listening
	conns     map[*link.Conn]struct{}
	faults    []scenario.Fault // active
}

func (r *run) newUpstream(index int) (*upstream, error) {
	u := &upstream{
		run:     r,
		index:   index,
		party:   scenario.Party{Kind: scenario.UpstreamParty, Index: index},
		changed: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		jobs:    map[server.JobID]*upstreamAttempt{},
		conns:   map[*link.Conn]struct{}{},
	}
	if err := u.start(false); err != nil {
		return nil, err
	}
	u.goroutines.Go(u.advanceLoop)
	return u, nil
}

func (u *upstream) model() scenario.Model {
	return u.run.scenario.Models[u.run.fleet.Upstreams[u.index].Model]
}

// clock returns the time of the server model.
func (u *upstream) clock() time.Duration { return time.Since(u.run.upstreamClockOrigin) }

// start starts the upstream's process, which warms up or has its full capacity at once.
func (u *upstream) start(warmsUp bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	seed := u.run.scenario.Seed<<16 + uint64(u.index)
	u.server = server.New(u.model(), u.run.scenario.Balancer, seed, u.clock(), warmsUp)
	u.server.SetFaults(u.faults)
	if u.listeners != nil {
		return nil
	}
	for b := range u.run.fleet.Balancers {
		l, err := u.run.net.Listen(u.party, scenario.Party{Kind: scenario.BalancerParty, Index: b}, u.run.upstreamAddress(b, u.index))
		if err != nil {
			return err
		}
		u.listeners = append(u.listeners, l)
		u.goroutines.Go(func() { u.accept(l, b) })
	}
	return nil
}

// advanceLoop advances the server model whenever an event of it is due, until the run ends.
func (u *upstream) advanceLoop() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-wake.C:
		case <-u.changed:
		case <-u.ended:
			return
		}
		u.mu.Lock()
		next := time.Second
		if u.server != nil {
			u.advance()
			next = u.server.Next() - u.clock()
		}
		u.mu.Unlock()
		wake.Reset(max(next, 0))
	}
}

// wakeAdvanceLoop makes advanceLoop recompute its next wake-up.
func (u *upstream) wakeAdvanceLoop() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// advance brings the server model to the current time and replies to the requests that it has completed. The caller holds
// u.mu.
func (u *upstream) advance() {
	for _, done := range u.server.Advance(u.clock()) {
		a := u.jobs[done.Job]
		if a == nil {
			continue
		}
		delete(u.jobs, done.Job)
		status := http.StatusOK
		if done.Failed {
			status = http.StatusInternalServerError
		}
		go u.reply(a, status, u.loadReport())
	}
}

// loadReport returns the load report as the value of a header, or an empty string if there is none. The caller holds u.mu.
func (u *upstream) loadReport() string {
	if l, ok := u.server.Load(); ok {
		return fmt.Sprintf("util=%.3f,eps=%.2f,queue=%.0f", l.Util, l.Errors, l.Queue)
	}
	return ""
}

// processEvent returns an event of the upstream's process.
func (u *upstream) processEvent(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None}
}

// applyFault begins or ends a fault on this upstream.
func (u *upstream) applyFault(fault scenario.Fault, transition scenario.Transition) {
	u.setFault(fault, transition)
	begins := transition == scenario.Begin
	switch {
	case fault.Kind == scenario.UpstreamDown && begins:
		u.stopProcess()
	case fault.Kind == scenario.UpstreamDown:
		u.restartProcess()
	case fault.Kind == scenario.UpstreamVanish && begins:
		u.stopMachine()
	case fault.Kind == scenario.UpstreamVanish:
		u.restartMachine()
	}
	u.run.registry.onUpstreamFault(u.index, fault, transition, time.Now())
}

// setFault adds a fault to the active ones of the server model, or removes it.
func (u *upstream) setFault(fault scenario.Fault, transition scenario.Transition) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if transition == scenario.Begin {
		u.faults = append(u.faults, fault)
	} else if i := slices.IndexFunc(u.faults, func(f scenario.Fault) bool { return f.At == fault.At && f.Kind == fault.Kind }); i >= 0 {
		u.faults = slices.Concat(u.faults[:i], u.faults[i+1:])
	}
	if u.server != nil {
		u.advance()
		u.server.SetFaults(u.faults)
	}
}

// stopProcess ends the process and resets its connections.
func (u *upstream) stopProcess() {
	u.mu.Lock()
	u.abandonJobs()
	closing := u.listeners
	u.listeners = nil
	u.mu.Unlock()
	for _, l := range closing {
		l.Close()
	}
	u.run.net.ResetAll(u.party)
	u.run.recorder.record(u.processEvent(history.UpstreamStopped))
}

// stopMachine disconnects the machine from the network. Its connections stay open but get no answer.
func (u *upstream) stopMachine() {
	u.run.net.Disconnect(u.party)
	u.mu.Lock()
	u.abandonJobs()
	u.mu.Unlock()
	u.run.recorder.record(u.processEvent(history.UpstreamStopped))
}

// abandonJobs stops the server model and abandons all attempts in progress. The caller holds u.mu.
func (u *upstream) abandonJobs() {
	u.server = nil
	for job, a := range u.jobs {
		delete(u.jobs, job)
		u.run.recorder.record(a.event(u, history.Abandoned))
	}
}

// restartProcess starts the process again, which then warms up.
func (u *upstream) restartProcess() {
	if err := u.start(true); err != nil {
		return // the address has been taken in the meantime: the upstream stays unreachable at its listed address
	}
	u.announceRestart()
}

// restartMachine reconnects the machine and starts its process again, which then warms up.
func (u *upstream) restartMachine() {
	if err := u.start(true); err != nil {
		return // as in restartProcess
	}
	u.mu.Lock()
	listeners := slices.Clone(u.listeners)
	u.mu.Unlock()
	for _, l := range listeners {
		l.ResetPending()
	}
	u.run.net.Reconnect(u.party)
	u.announceRestart()
}

// announceRestart records the start of the process and wakes advanceLoop.
func (u *upstream) announceRestart() {
	u.run.recorder.record(u.processEvent(history.UpstreamStarted))
	u.wakeAdvanceLoop()
}

func (u *upstream) close() {
	close(u.ended)
	u.mu.Lock()
	u.server = nil
	closing := u.listeners
	u.mu.Unlock()
	for _, l := range closing {
		l.Close()
	}
	u.run.net.ResetAll(u.party)
	u.goroutines.Wait()
}
