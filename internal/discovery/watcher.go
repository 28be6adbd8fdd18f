package discovery

import (
	"context"
	"time"

	"sprucehill/internal/metrics"
)

// updateQueueLength bounds the updates that are queued for the owner.
const updateQueueLength = 4

// Watcher calls the discovery service, whose address may change, and determines which responses are out of date. Its
// methods must be called from one goroutine, the owner's. The goroutines of calls deliver their responses through Updates.
type Watcher struct {
	ctx     context.Context // ends all calls
	client  *client
	updates chan Update
	watch   *watch // of the current service; nil: none is running
	// previousWatch is that of the service before the last SwitchTo, which runs until a response of the current service has been
	// accepted; nil: none is running.
	previousWatch *watch

	order   responseOrder // of the responses of the current service
	age     listAge
	metrics watcherMetrics
}

// NewWatcher returns a Watcher of the service at an address (host:port), for an owner whose list of that service has the
// given revision; 0 stands for none. now is the time on the owner's clock. The Watcher adds its metrics to the set. It makes no call
// before StartWatch or Fetch. All calls end with ctx.
func NewWatcher(ctx context.Context, address string, revision uint64, now time.Duration, set *metrics.Set) *Watcher {
	w := &Watcher{
		ctx:     ctx,
		updates: make(chan Update, updateQueueLength),
		order:   responseOrder{revision: revision},
		age:     listAge{answeredAt: now},
		metrics: newWatcherMetrics(set),
	}
	w.client = newClient(address, revision, w.deliver)
	return w
}

// Updates returns the queue of updates, in the order in which they arrived. The owner receives from it, and calls Handle for each
// update. Updates is safe for concurrent use.
func (w *Watcher) Updates() <-chan Update { return w.updates }

// deliver queues an update for the owner, and returns once the owner has applied it or the Watcher's context has ended. The
// goroutines of calls use it.
func (w *Watcher) deliver(update Update) {
	update.applied = make(chan struct{})
	select {
	case w.updates <- update:
	case <-w.ctx.Done():
		return
	}
	select {
	case <-update.applied:
	case <-w.ctx.Done():
	}
}

// FirstCallDelay returns how long the next watch waits before its first call.
func (w *Watcher) FirstCallDelay() time.Duration { return time.Duration(w.client.firstDelay.Load()) }

// StartWatch starts a watch, which runs until StopWatch. If one is running, it makes another call, unless its newest call may still
// be answered in time.
func (w *Watcher) StartWatch() {
	if w.watch == nil {
		w.watch = startWatch(w.ctx, w.client)
		return
	}
	w.watch.requestCall()
}

// StopWatch stops the watch, if one is running.
func (w *Watcher) StopWatch() {
	stopWatch(w.watch)
	w.watch = nil
}

// stopWatch stops a watch unless it is nil.
func stopWatch(w *watch) {
	if w != nil {
		w.cancel()
	}
}

// Fetch requests the complete list once, on a goroutine of its own.
func (w *Watcher) Fetch() { go w.client.fetch(w.ctx) }

// SwitchTo starts a watch of the service at another address (host:port), from no revision: revisions of different services
// are unrelated. The watch of the previous service runs until a response of the new one has been accepted.
func (w *Watcher) SwitchTo(address string) {
	previous := w.client
	w.order = responseOrder{}
	stopWatch(w.previousWatch)
	w.previousWatch = w.watch
	w.watch = nil
	w.client = newClient(address, 0, w.deliver)
	w.StartWatch()
	previous.http.CloseIdleConnections()
}
