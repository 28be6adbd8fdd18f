package proxy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
	"sprucehill/internal/metrics"
	"sprucehill/internal/savedstate"
	"sprucehill/internal/timelimit"
)

// eventQueueLength is how many events may wait for the loop before those who post them wait too.
const eventQueueLength = 1024

// event is something that happened outside of the loop. apply is called on the loop's goroutine.
type event interface{ apply(l *loop) }

// loop is the event loop round the decision module. It owns the module, the table of requests, the endpoints with their
// connections, and the timers, all of which are used on its goroutine only: the one that calls run, and start before
// that. Other goroutines reach it through post and the discovery watcher's updates; now may be called from any. It never
// waits for anything but its channels: what may block runs on goroutines of its own and comes back as an event.
type loop struct {
	ctx      context.Context // ends the loop and what it has started
	balancer *balancer.Balancer
	settings balancer.Settings
	events   chan event

	clock clock

	serial   uint64 // the last that was given to a request or a timer
	requests map[balancer.RequestID]*request
	timers   timerQueue
	// The outcomes that are not delivered yet, in the order in which they came up.
	pendingOutcomes []pendingOutcome
	dialer          dialer

	endpoints endpointTable
	pool      *connPool

	ids        *endpointIDs
	localities map[string]string // zones without a region, to region/zone
	discovery  *discovery.Watcher
	saver      *savedstate.Saver

	metrics *proxyMetrics
	report  loopReport
}

var _ balancer.Effects = (*loop)(nil)

func newLoop(ctx context.Context, c *Config) *loop {
	l := &loop{
		ctx:        ctx,
		settings:   c.Settings,
		events:     make(chan event, eventQueueLength),
		clock:      newClock(),
		requests:   map[balancer.RequestID]*request{},
		endpoints:  endpointTable{},
		ids:        newEndpointIDs(),
		localities: c.Localities,
		metrics:    newProxyMetrics(c.Settings.Classes),
	}
	l.dialer = newDialer(c, l.metrics.attemptsWritten, l.now)
	l.pool = &connPool{
		endpoints:   l.endpoints,
		maxOpen:     c.maxUpstreamConns(),
		idleTimeout: timelimit.UpstreamIdle(c.Links.KeepAlive),
		now:         l.now,
	}
	l.saver = savedstate.NewSaver(savedstate.Options{
		Writer:    c.StateWriter,
		Discovery: c.Discovery,
		Known:     c.Known,
		IDOf:      l.ids.idOf,
		Log:       slog.Info,
	})
	l.discovery = discovery.NewWatcher(ctx, c.Discovery, l.saver.Initial().Revision)
	if l.saver.IsRestored() {
		seeded := rand.New(rand.NewPCG(c.Seed, 1))
		l.discovery.DelayFirstCall(time.Duration(seeded.Int64N(int64(maxStartDelay(c.Settings)) + 1)))
	}
	return l
}

// newDialer returns what opens connections to upstreams and carries out attempts on them.
func newDialer(c *Config, attemptsWritten *metrics.Counter, now func() time.Duration) dialer {
	open := c.openConn
	if open == nil {
		open = net.DialTimeout
	}
	return dialer{openConn: open, timeout: c.Links.ConnectTimeout, attemptsWritten: attemptsWritten, bodyBudget: newByteBudget(c.bodyBudgetBytes()), now: now}
}

// now is the loop's clock.
func (l *loop) now() time.Duration { return l.clock.now() }

// post hands an event to the loop. It may wait for the loop, which never waits for who posts.
func (l *loop) post(e event) { l.events <- e }

// nextSerial returns the next number in the common order of requests and timers.
func (l *loop) nextSerial() uint64 {
	l.serial++
	return l.serial
}

// start makes the decision module and gives it the endpoints and the state from before. It belongs before run.
func (l *loop) start(c *Config) error {
	module, err := balancer.New(c.Settings, c.Seed, l.now(), l)
	if err != nil {
		return err
	}
	l.balancer = module
	l.applyEndpointList(balancer.UpdateCached, l.saver.Initial())
	l.saver.Restore(l.balancer, l.now)
	if !c.Settings.PollDiscovery { // lists that are pushed come without the module's asking
		l.WatchEndpoints()
	}
	return nil
}

// run dispatches events until the context ends. Updates from discovery go before all other events: nothing may be sent
// to an endpoint whose draining this process has been notified of.
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

// dispatch applies an event, after an update from discovery that came meanwhile.
func (l *loop) dispatch(e event) {
	if len(l.discovery.Updates()) > 0 {
		l.onEndpointUpdate(<-l.discovery.Updates())
	}
	e.apply(l)
	l.deliverOutcomes()
}

// publish sets the gauges that only the loop can, and saves a snapshot of the decision module. The module's own timers
// make the loop run often enough for it.
func (l *loop) publish(now time.Duration) {
	known, skipped := l.balancer.EndpointCounts(now)
	l.metrics.knownEndpoints.Set(known)
	l.metrics.skippedEndpoints.Set(skipped)
	l.saver.SaveSnapshot(l.balancer, now)
	l.report.zones.update(now, l.balancer.ZoneStatuses(now), l.settings.Zone, slog.Info)
	l.report.nextAt = now + publishInterval
}
