package proxy

import (
	"context"
	"log/slog"
	"net"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/bodybudget"
	"sprucehill/internal/discovery"
	"sprucehill/internal/metrics"
	"sprucehill/internal/savedstate"
	"sprucehill/internal/timelimit"
)

// eventQueueLength is the number of events that can be queued for the loop before post blocks.
const eventQueueLength = 1024

// event is something that happened outside the loop. apply is called on the loop's goroutine.
type event interface{ apply(l *loop) }

// loop is the event loop that drives the decision module. It owns the module, the table of requests, the endpoints with
// their connections, and the timers. They are used only on the loop's goroutine, the one that calls start and then run.
// Other goroutines communicate with it through post and the discovery watcher's updates; now may be called from any
// goroutine. The loop waits only on its channels: blocking operations run on other goroutines, which post their results as
// events.
type loop struct {
	ctx      context.Context // ends the loop and the goroutines that it has started
	balancer *balancer.Balancer
	settings balancer.Settings
	events   chan event

	clock clock

	serial   uint64 // the last serial assigned to a request or a timer
	requests map[balancer.RequestID]*request
	timers   timerQueue
	// Outcomes that have not been delivered yet, in the order in which they occurred.
	pendingOutcomes []pendingOutcome
	dialer          dialer

	endpoints endpointTable
	pool      *connPool

	endpointIDs *discovery.EndpointIDs
	localities  map[string]string // maps a zone without a region to region/zone
	discovery   *discovery.Watcher
	saver       *savedstate.Saver

	metrics *proxyMetrics
	report  loopReport
	// timeoutLog bounds the log lines about attempts that timed out.
	timeoutLog logLimit
}

var (
	_ balancer.Effects = (*loop)(nil)
	_ discovery.Owner  = (*loop)(nil)
)

func newLoop(ctx context.Context, c *Config) *loop {
	l := &loop{
		ctx:         ctx,
		settings:    c.Settings,
		events:      make(chan event, eventQueueLength),
		clock:       newClock(),
		requests:    map[balancer.RequestID]*request{},
		endpoints:   endpointTable{},
		endpointIDs: discovery.NewEndpointIDs(),
		localities:  c.Localities,
		metrics:     newProxyMetrics(c.Settings.Classes),
		timeoutLog:  logLimit{interval: streamLogInterval},
	}
	l.dialer = newDialer(c, l.metrics.attemptsWritten, l.now)
	l.pool = &connPool{
		endpoints:   l.endpoints,
		maxOpen:     c.maxUpstreamConns(),
		idleTimeout: timelimit.UpstreamIdle(c.ConnectionTimeouts.KeepAlive),
		now:         l.now,
	}
	l.saver = savedstate.NewSaver(savedstate.Options{
		Writer:         c.StateWriter,
		Discovery:      c.Discovery,
		ConfiguredList: c.KnownEndpoints,
		IDOf:           l.endpointIDs.IDOf,
		Log:            slog.Info,
	})
	l.discovery = discovery.NewWatcher(ctx, c.Discovery, l.saver.Initial().Revision, l.now(), &l.metrics.set)
	if l.saver.IsRestored() {
		l.discovery.DelayFirstCall(c.Seed, c.Settings)
	}
	return l
}

// newDialer returns the dialer for a configuration, which opens connections with net.DialTimeout by default.
func newDialer(c *Config, attemptsWritten *metrics.Counter, now func() time.Duration) dialer {
	open := c.openConn
	if open == nil {
		open = net.DialTimeout
	}
	return dialer{
		openConn:        open,
		timeout:         c.ConnectionTimeouts.ConnectTimeout,
		attemptsWritten: attemptsWritten,
		bodyBudget:      bodybudget.New(c.bodyBudgetBytes()),
		now:             now,
	}
}

// now returns the time on the loop's clock.
func (l *loop) now() time.Duration { return l.clock.now() }

// post sends an event to the loop. It blocks while the queue is full; the loop never waits for a goroutine that posts.
func (l *loop) post(e event) { l.events <- e }

// nextSerial returns the next serial. Requests and timers share one sequence.
func (l *loop) nextSerial() uint64 {
	l.serial++
	return l.serial
}

// start creates the decision module and restores the saved endpoints and state. It must be called before run.
func (l *loop) start(c *Config) error {
	module, err := balancer.New(c.Settings, c.Seed, l.now(), l)
	if err != nil {
		return err
	}
	l.balancer = module
	l.ApplyList(balancer.UpdateCached, l.saver.Initial())
	l.saver.Restore(l.balancer, l.now)
	if !c.Settings.PollDiscovery { // in push mode the module does not ask for lists
		l.WatchEndpoints()
	}
	return nil
}

// run dispatches events until the context ends. Updates from discovery take precedence over all other events: nothing may
// be sent to an endpoint once this process has been notified that it is draining.
func (l *loop) run() {
	wake := time.NewTimer(0)
	for {
		select {
		case update := <-l.discovery.Updates():
			l.onEndpointUpdate(update)
			continue
		default:
		}
		l.fireTimers()
		if at, ok := l.timers.next(); ok {
			wake.Reset(max(0, at-l.now()))
		}
		select {
		case update := <-l.discovery.Updates():
			l.onEndpointUpdate(update)
		case e := <-l.events:
			l.dispatch(e)
		case <-wake.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// dispatch applies an event, and before it an update from discovery that has arrived since the event was received.
func (l *loop) dispatch(e event) {
	if len(l.discovery.Updates()) > 0 {
		l.onEndpointUpdate(<-l.discovery.Updates())
	}
	e.apply(l)
	l.deliverOutcomes()
}

// publish updates the gauges that are computed on the loop, and saves a snapshot of the decision module. No timer is set
// for it: the module's own timers wake the loop often enough.
func (l *loop) publish(now time.Duration) {
	known, skipped := l.balancer.EndpointCounts(now)
	l.metrics.knownEndpoints.Set(known)
	l.metrics.skippedEndpoints.Set(skipped)
	l.discovery.PublishAge(now)
	l.saver.SaveSnapshot(l.balancer, now)
	l.report.zones.update(now, l.balancer.ZoneStatuses(now), l.settings.Zone, slog.Info)
	l.report.nextDue = now + publishInterval
}
