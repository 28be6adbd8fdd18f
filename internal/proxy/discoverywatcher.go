package proxy

import (
	"context"
)

// discoveryWatcher follows the discovery service, also to another address, and knows which answers are out of date. Its
// fields and methods belong to the loop's goroutine, but for updates and deliver, by which the clients' goroutines hand
// their answers over.
type discoveryWatcher struct {
	ctx     context.Context // ends all calls
	client  *discoveryClient
	updates chan endpointUpdate
	// stop ends the present watch. Without one it does nothing.
	stop context.CancelFunc
	// stopPrevious ends the watch of the service before the last move, which goes on until the present one has answered.
	// Without one it does nothing.
	stopPrevious context.CancelFunc

	revision uint64 // of the list that the loop holds; 0: of none of the present service
	// lastAccepted is when the latest accepted answer of the present service came, in its client's order of calls and
	// answers; 0: none has been.
	lastAccepted uint64
	lastWasStale bool // the last answer was of an older list than the one held
}

// newDiscoveryWatcher returns a watcher of the service at an address, with a list of its held up to a revision.
func newDiscoveryWatcher(ctx context.Context, address string, revision uint64) *discoveryWatcher {
	w := &discoveryWatcher{
		ctx:          ctx,
		updates:      make(chan endpointUpdate, updateQueueLength),
		stop:         func() {},
		stopPrevious: func() {},
	}
	w.client = newDiscoveryClient(address, revision, w.deliver)
	return w
}

// deliver queues an update for the loop and returns once that has applied it, or has ended. Clients' goroutines call it.
func (w *discoveryWatcher) deliver(update endpointUpdate) {
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

// startWatch begins to follow the service. A watch that runs must have been stopped.
func (w *discoveryWatcher) startWatch() {
	ctx, cancel := context.WithCancel(w.ctx)
	w.stop = cancel
	go w.client.watch(ctx)
}

// stopWatch stops following the service, if it is followed.
func (w *discoveryWatcher) stopWatch() {
	w.stop()
	w.stop = func() {}
}

// fetch asks for the complete list once.
func (w *discoveryWatcher) fetch() { go w.client.fetch(w.ctx) }

// moveTo follows the service at another address. What the one before has not answered yet, this one answers from the
// beginning; its revisions are its own.
func (w *discoveryWatcher) moveTo(address string) {
	previous := w.client
	w.revision = 0
	w.lastAccepted = 0
	w.lastWasStale = false
	w.stopPrevious()
	w.stopPrevious = w.stop
	w.stop = func() {}
	w.client = newDiscoveryClient(address, 0, w.deliver)
	w.startWatch()
	previous.http.CloseIdleConnections()
}

// isStale reports whether an answer of the present service must not undo the list held: a newer one has overtaken it,
// or it is out of date. An agent that has restarted its revisions gives an older one again, in a call that began after
// the answer that was accepted; then it is not stale.
func (w *discoveryWatcher) isStale(update endpointUpdate) bool {
	if update.list.Revision >= w.revision {
		return false
	}
	return update.began < w.lastAccepted || !w.lastWasStale
}

// ignore notes an answer that is stale.
func (w *discoveryWatcher) ignore(update endpointUpdate) {
	w.lastWasStale = update.began >= w.lastAccepted
}

// accept notes an answer that is about to be applied. The service before the last move is not needed any more.
func (w *discoveryWatcher) accept(update endpointUpdate) {
	w.lastAccepted = max(w.lastAccepted, update.ended)
	w.lastWasStale = false
	w.stopPrevious()
	w.stopPrevious = func() {}
}
