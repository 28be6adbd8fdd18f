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

// upstream is an emulated upstream on sockets: one listener for each balancer, one server core.
type upstream struct {
	run     *run
	index   int
	party   scenario.Party
	changed chan struct{} // something has arrived: the next wake-up may be sooner
	ended   chan struct{} // closed at the end of the day
	done    sync.WaitGroup

	mu        sync.Mutex
	server    *server.Server // nil: no process runs
	jobs      map[server.JobID]*upstreamAttempt
	lastJob   server.JobID
	listeners []*link.Listener // nil: the addresses are closed
	conns     map[*link.Conn]struct{}
	faults    []scenario.Fault // that act now
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
	u.done.Go(u.advanceLoop)
	return u, nil
}

func (u *upstream) model() scenario.Model {
	return u.run.day.Models[u.run.fleet.Upstreams[u.index].Model]
}

// clock is the server's time.
func (u *upstream) clock() time.Duration { return time.Since(u.run.serverOrigin) }

// start starts the upstream's process, which warms up or is warm from the start.
func (u *upstream) start(warmsUp bool) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	seed := u.run.day.Seed<<16 + uint64(u.index)
	u.server = server.New(u.model(), u.run.day.Balancer, seed, u.clock(), warmsUp)
	u.server.SetFaults(u.faults)
	if u.listeners != nil {
		return nil
	}
	for b := range u.run.fleet.Balancers {
		l, err := u.run.net.Listen(u.party, scenario.Party{Kind: scenario.BalancerParty, Index: b}, u.run.upstreamAt(b, u.index))
		if err != nil {
			return err
		}
		u.listeners = append(u.listeners, l)
		u.done.Go(func() { u.accept(l, b) })
	}
	return nil
}

// advanceLoop advances the server whenever it has something to do, until the day ends.
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

// wakeLoop makes advanceLoop look again when the next wake-up is due.
func (u *upstream) wakeLoop() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// advance brings the server to now and replies to what it has run. u.mu is held.
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

// loadReport is the load report as a header's value, or empty if there is none. u.mu is held.
func (u *upstream) loadReport() string {
	if l, ok := u.server.Load(); ok {
		return fmt.Sprintf("util=%.3f,eps=%.2f,queue=%.0f", l.Util, l.Errors, l.Queue)
	}
	return ""
}

// processEvent is an event of the upstream's process.
func (u *upstream) processEvent(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None}
}

// applyFault begins or ends a fault that hits this upstream.
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

// setFault adds a fault to those that act on the server, or removes it.
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

// stopMachine takes the machine off the network. Its connections stay open without an answer.
func (u *upstream) stopMachine() {
	u.run.net.Disconnect(u.party)
	u.mu.Lock()
	u.abandonJobs()
	u.mu.Unlock()
	u.run.recorder.record(u.processEvent(history.UpstreamStopped))
}

// abandonJobs ends the server with all that it has in work. u.mu is held.
func (u *upstream) abandonJobs() {
	u.server = nil
	for job, a := range u.jobs {
		delete(u.jobs, job)
		u.run.recorder.record(a.event(u, history.Abandoned))
	}
}

// restartProcess starts the process again. It warms up.
func (u *upstream) restartProcess() {
	if err := u.start(true); err != nil {
		return // the address was free a moment ago; discovery's list then leads nowhere
	}
	u.announceRestart()
}

// restartMachine reconnects a machine and starts its process again. It warms up.
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

// announceRestart records the start and lets the loop go on.
func (u *upstream) announceRestart() {
	u.run.recorder.record(u.processEvent(history.UpstreamStarted))
	u.wakeLoop()
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
	u.done.Wait()
}
