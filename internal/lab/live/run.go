// Package live plays a day with real processes of the balancer on loopback addresses. Upstreams, discovery's agents,
// fronts, clients and the network between them are part of this process. The package records what happens. Package check
// judges it.
package live

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/link"
	"sprucehill/internal/lab/scenario"
)

const (
	// startTimeout is how long all balancers together may take to be ready before the day begins.
	startTimeout = 30 * time.Second
	// readyPollInterval is how often the lab looks whether they are.
	readyPollInterval = 20 * time.Millisecond
	// exitMargin is how long after SIGTERM and the longest deadline a process may take to end.
	exitMargin = 5 * time.Second
	// maxBalancers bounds a live fleet: each has addresses of its own within 127.x.0.0/16.
	maxBalancers = 250
	// connsPerPair is how many connections between a balancer and an upstream are planned for.
	connsPerPair = 3
	// spareDescriptors is how many descriptors are planned for all else in this process.
	spareDescriptors = 100
)

// Options is how a live day is run.
type Options struct {
	Command []string // starts a balancer
	Dir     string   // where it is started
	Work    string   // folder for configurations, state and logs; the run does not remove it
	// Progress is called for each second of the day that has passed. It may be nil.
	Progress func(at time.Duration)
}

// Outcome is the history of a live day and what it cost.
type Outcome struct {
	Events          []history.Event
	Lateness        []time.Duration // by arrival: how late each was begun
	LabCPU          time.Duration   // of this process
	BalancerCPU     time.Duration   // of all balancers together
	RetriesOnClosed int             // requests that met a connection which had just been closed, and were sent once more
}

// run is a day being played.
type run struct {
	day          *scenario.Scenario
	fleet        *scenario.Fleet
	options      Options
	net          *link.Network
	base         int // second byte of all addresses
	arrivals     []scenario.Arrival
	serverOrigin time.Time       // of the upstreams' own time
	origin       time.Time       // of the day's time: when the first requests are due
	lateness     []time.Duration // by arrival
	recorder     *recorder

	registry  *registry
	upstreams []*upstream
	nodes     []*node
	fronts    []*ingress
}

// Play runs a day. It checks what can be known before anything starts. When ctx ends the day is broken off, and nothing
// is left behind.
func Play(ctx context.Context, d *scenario.Scenario, o Options) (*Outcome, error) {
	r := &run{day: d, fleet: d.Fleet(), options: o, recorder: newRecorder()}
	if err := r.checkLimits(); err != nil {
		return nil, err
	}
	if err := r.pickAddresses(); err != nil {
		return nil, err
	}
	r.net = link.New(d.NewPaths(r.fleet), d.Seed)
	r.arrivals = d.Arrivals()
	r.serverOrigin = time.Now()
	r.origin = r.serverOrigin
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	starter, endStarter := newStarter()
	defer endStarter()
	defer r.stop()
	if err := r.start(ctx, starter); err != nil {
		return nil, err
	}
	labBefore := labCPUTime()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	labCPU := labCPUTime() - labBefore
	r.endNodes()
	return r.outcome(labCPU), nil
}

// outcome gathers the outcome of the day once its processes have ended.
func (r *run) outcome(labCPU time.Duration) *Outcome {
	o := &Outcome{LabCPU: labCPU, Lateness: r.lateness}
	var zoneEvents []history.Event
	for _, n := range r.nodes {
		o.BalancerCPU += n.cpuTime
		zoneEvents = append(zoneEvents, n.zoneEvents(r.origin)...)
	}
	o.Events, o.RetriesOnClosed = r.recorder.finish(zoneEvents)
	return o
}

// checkLimits refuses a day that this machine can't play.
func (r *run) checkLimits() error {
	balancers := len(r.fleet.Balancers)
	upstreams := len(r.fleet.Upstreams)
	if balancers > maxBalancers {
		return fmt.Errorf("%w: a live day takes %d balancers at most, this has %d: use the model engine", scenario.ErrInput, maxBalancers, balancers)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit of descriptors: %w", err)
	}
	// A listener and connections for each pair, two listeners and connections of clients for each balancer.
	need := uint64(balancers*upstreams*(1+connsPerPair) + balancers*(2+r.day.Balancer.Sockets/2) + spareDescriptors)
	if need > limit.Cur {
		return fmt.Errorf("%w: the day needs about %d descriptors and this process may have %d: raise ulimit -n, or make the fleet smaller",
			scenario.ErrInput, need, limit.Cur)
	}
	if _, err := os.Stat(r.options.Dir); err != nil {
		return fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	return nil
}

// now is the day's time.
func (r *run) now() time.Duration { return time.Since(r.origin) }

// start brings the fleet up and returns when all balancers are ready.
func (r *run) start(ctx context.Context, s *starter) error {
	if err := os.MkdirAll(r.options.Work, 0o755); err != nil {
		return fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	for u := range r.fleet.Upstreams {
		up, err := r.newUpstream(u)
		if err != nil {
			return err
		}
		r.upstreams = append(r.upstreams, up)
	}
	r.registry = newRegistry(r)
	for b := range r.fleet.Balancers {
		if err := r.registry.serve(b); err != nil {
			return err
		}
	}
	for b := range r.fleet.Balancers {
		n, err := r.newNode(b, s)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for z := range r.fleet.Zones {
		r.fronts = append(r.fronts, r.newIngress(ctx, z))
	}
	return r.waitReady(ctx)
}

// waitReady waits until every balancer has been healthy.
func (r *run) waitReady(ctx context.Context) error {
	timeout := time.After(startTimeout)
	for {
		for _, n := range r.nodes {
			if _, _, ended := n.processState(); ended {
				return fmt.Errorf("%s has ended before it was ready; its log: %s", n.name(), n.lastLog())
			}
		}
		waitsFor := ""
		for _, f := range r.fronts {
			if b, found := f.unready(); found {
				waitsFor = r.fleet.Balancers[b].Name
			}
		}
		if waitsFor == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout:
			return fmt.Errorf("%s was not ready within %v", waitsFor, startTimeout)
		case <-time.After(readyPollInterval):
		}
	}
}

// play sends the clients' requests and applies the faults, until all requests have ended.
func (r *run) play(ctx context.Context) error {
	r.origin = time.Now()
	r.recorder.begin(r.origin)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.runTimetable(ctx) })
	background.Go(func() { r.watchLimits(ctx) })
	background.Go(func() { r.reportProgress(ctx) })
	done := make(chan struct{})
	go func() { // sendArrivals locks its goroutine to a thread
		defer close(done)
		r.sendArrivals(ctx)
	}()
	<-done
	err := context.Cause(ctx)
	cancel()
	background.Wait()
	return err
}

// endNodes ends the processes gracefully, all at once.
func (r *run) endNodes() {
	var all sync.WaitGroup
	for _, n := range r.nodes {
		all.Go(n.end)
	}
	all.Wait()
	for _, n := range r.nodes {
		n.killOrphans()
	}
}

// stop ends all processes, connections and listeners that are left.
func (r *run) stop() {
	for _, f := range r.fronts {
		f.close()
	}
	for _, n := range r.nodes {
		n.kill()
	}
	if r.registry != nil {
		r.registry.close()
	}
	for _, u := range r.upstreams {
		u.close()
	}
}

// reportProgress calls Progress for each second that passes, until ctx ends.
func (r *run) reportProgress(ctx context.Context) {
	if r.options.Progress == nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.options.Progress(min(r.now(), r.day.Length.D()))
		}
	}
}

// folder is where a balancer's files are.
func (r *run) folder(b int) string { return filepath.Join(r.options.Work, r.fleet.Balancers[b].Name) }
