// Package live runs a scenario with real processes of the balancer on loopback addresses. Upstreams, discovery agents,
// ingresses, clients and the network between them are emulated in this process. The package records a history of events,
// which package check searches for violations.
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
	// startTimeout is how long all balancers together may take to become ready before the run starts.
	startTimeout = 30 * time.Second
	// readyPollInterval is how often the lab checks whether they are ready.
	readyPollInterval = 20 * time.Millisecond
	// exitMargin is how long a process may take to exit after SIGTERM, in addition to the longest deadline of a request.
	exitMargin = 5 * time.Second
	// maxBalancers limits a live fleet: the number of a balancer is the last byte of its addresses within 127.x.0.0/16.
	maxBalancers = 250
	// connsPerPair is the number of descriptors that checkLimits allows for connections of a balancer with an upstream.
	connsPerPair = 3
	// spareDescriptors is the number of descriptors that checkLimits allows for everything else in this process.
	spareDescriptors = 100
)

// Options are the settings of a live run.
type Options struct {
	Command []string // command line that starts a balancer
	Dir     string   // working directory of the balancers
	WorkDir string   // folder for configurations, state and logs; it is not removed after the run
	// Progress is called once a second with the time since the start of the run. It may be nil.
	Progress func(at time.Duration)
}

// Outcome is the history of a live run and the resources that it used.
type Outcome struct {
	Events          []history.Event
	Lateness        []time.Duration // by arrival: delay between its time and its start
	LabCPU          time.Duration   // of this process
	BalancerCPU     time.Duration   // of all balancers together
	RetriesOnClosed int             // requests sent again because the balancer had just closed their connection
}

// run is a scenario that is being run.
type run struct {
	scenario            *scenario.Scenario
	fleet               *scenario.Fleet
	options             Options
	net                 *link.Network
	addressOctet        int // second byte of all addresses
	arrivals            []scenario.Arrival
	upstreamClockOrigin time.Time       // time 0 of the upstreams' servers
	startedAt           time.Time       // time 0 of arrivals, faults and events
	lateness            []time.Duration // by arrival
	recorder            *recorder

	registry  *registry
	upstreams []*upstream
	nodes     []*node
	ingresses []*ingress
}

// Run runs a scenario. It checks the limits of this machine before it starts anything. If ctx ends, it stops the run and
// cleans up all processes, connections and listeners.
func Run(ctx context.Context, d *scenario.Scenario, o Options) (*Outcome, error) {
	r := &run{scenario: d, fleet: d.Fleet(), options: o, recorder: newRecorder()}
	if err := r.checkLimits(); err != nil {
		return nil, err
	}
	if err := r.pickAddresses(); err != nil {
		return nil, err
	}
	r.net = link.New(d.NewPaths(r.fleet), d.Seed)
	r.arrivals = d.Arrivals()
	r.upstreamClockOrigin = time.Now()
	r.startedAt = r.upstreamClockOrigin
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	starter, endStarter := newStarter()
	defer endStarter()
	defer r.stop()
	if err := r.start(ctx, starter); err != nil {
		return nil, err
	}
	labBefore := labCPUTime()
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	labCPU := labCPUTime() - labBefore
	r.endNodes()
	return r.outcome(labCPU), nil
}

// outcome collects the outcome of the run once its processes have exited.
func (r *run) outcome(labCPU time.Duration) *Outcome {
	o := &Outcome{LabCPU: labCPU, Lateness: r.lateness}
	var zoneEvents []history.Event
	for _, n := range r.nodes {
		o.BalancerCPU += n.cpuTime
		zoneEvents = append(zoneEvents, n.zoneEvents(r.startedAt)...)
	}
	o.Events, o.RetriesOnClosed = r.recorder.finish(zoneEvents)
	return o
}

// checkLimits returns an error if this machine can't run the scenario.
func (r *run) checkLimits() error {
	balancers := len(r.fleet.Balancers)
	upstreams := len(r.fleet.Upstreams)
	if balancers > maxBalancers {
		return fmt.Errorf("%w: the live engine supports at most %d balancers, the scenario has %d: use the model engine", scenario.ErrInput, maxBalancers, balancers)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit of file descriptors: %w", err)
	}
	// A listener and connections for each pair, two listeners and connections of clients for each balancer.
	need := uint64(balancers*upstreams*(1+connsPerPair) + balancers*(2+r.scenario.Balancer.Sockets/2) + spareDescriptors)
	if need > limit.Cur {
		return fmt.Errorf("%w: the scenario needs about %d file descriptors and this process may have %d: raise ulimit -n or use a smaller fleet",
			scenario.ErrInput, need, limit.Cur)
	}
	if _, err := os.Stat(r.options.Dir); err != nil {
		return fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	return nil
}

// now returns the time since the start of the run.
func (r *run) now() time.Duration { return time.Since(r.startedAt) }

// start starts the fleet and returns when all balancers are ready.
func (r *run) start(ctx context.Context, s *starter) error {
	if err := os.MkdirAll(r.options.WorkDir, 0o755); err != nil {
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
		r.ingresses = append(r.ingresses, r.newIngress(ctx, z))
	}
	return r.waitReady(ctx)
}

// waitReady waits until every balancer has passed a health check.
func (r *run) waitReady(ctx context.Context) error {
	timeout := time.After(startTimeout)
	for {
		for _, n := range r.nodes {
			if _, _, ended := n.processState(); ended {
				return fmt.Errorf("%s has ended before it was ready; end of its log: %s", n.name(), n.lastLog())
			}
		}
		notReady := ""
		for _, in := range r.ingresses {
			if b, found := in.neverReady(); found {
				notReady = r.fleet.Balancers[b].Name
			}
		}
		if notReady == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout:
			return fmt.Errorf("%s was not ready within %v", notReady, startTimeout)
		case <-time.After(readyPollInterval):
		}
	}
}

// execute sends the clients' requests and applies the faults, until all requests have ended.
func (r *run) execute(ctx context.Context) error {
	r.startedAt = time.Now()
	r.recorder.start(r.startedAt)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.runTimetable(ctx) })
	background.Go(func() { r.watchLimits(ctx) })
	background.Go(func() { r.reportProgress(ctx) })
	done := make(chan struct{})
	go func() { // sendArrivals locks its goroutine to a thread, so it gets one of its own
		defer close(done)
		r.sendArrivals(ctx)
	}()
	<-done
	err := context.Cause(ctx)
	cancel()
	background.Wait()
	return err
}

// endNodes shuts all processes down gracefully and concurrently.
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

// stop ends all remaining processes, connections and listeners.
func (r *run) stop() {
	for _, in := range r.ingresses {
		in.close()
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

// reportProgress calls Progress once a second until ctx ends.
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
			r.options.Progress(min(r.now(), r.scenario.Length.D()))
		}
	}
}

// folder returns the folder of a balancer's files.
func (r *run) folder(b int) string {
	return filepath.Join(r.options.WorkDir, r.fleet.Balancers[b].Name)
}
