package discovery

import (
	"context"
	"time"
)

// updateQueueLength is how many answers may wait for the owner.
const updateQueueLength = 4

// Watcher follows the discovery service, also to another address, and knows which answers are out of date. Its methods
// belong to one goroutine, its owner's. The goroutines of calls hand their answers over through Updates.
type Watcher struct {
	ctx     context.Context // ends all calls
	client  *client
	updates chan Update
	// stop ends the present watch. Without one it does nothing.
	stop context.CancelFunc
	// stopPrevious ends the watch of the service before the last move, which goes on until the present one has answered.
	// Without one it does nothing.
	stopPrevious context.CancelFunc

	revision uint64 // of the owner's list; 0: it has none of the present service
	// lastAccepted is when the latest accepted answer of the present service came, in its client's order of calls and
	// answers; 0: none has been.
	lastAccepted uint64
	lastWasStale bool // the last answer was of an older list than the owner's
}

// NewWatcher returns a watcher of the service at an address (host:port), for an owner that has its list of a revision, 0
// for none. It makes no call before StartWatch or Fetch. All calls end with ctx.
func NewWatcher(ctx context.Context, address string, revision uint64) *Watcher {
	w := &Watcher{
		ctx:          ctx,
		updates:      make(chan Update, updateQueueLength),
		revision:     revision,
		stop:         func() {},
		stopPrevious: func() {},
	}
	w.client = newClient(address, revision, w.deliver)
	return w
}

// Updates returns the queue of answers, in the order in which they came. The owner takes them from it, and calls
// MarkApplied for each. Any goroutine may call it.
func (w *Watcher) Updates() <-chan Update { return w.updates }

// deliver queues an update for the owner and returns once that has applied it, or has ended. Clients' goroutines call it.
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

// DelayFirstCall has the next watch wait before its first call.
func (w *Watcher) DelayFirstCall(delay time.Duration) { w.client.delayFirstCall(delay) }

// FirstCallDelay returns how long the next watch waits before its first call.
func (w *Watcher) FirstCallDelay() time.Duration { return time.Duration(w.client.firstDelay.Load()) }

// StartWatch begins to follow the service, until a call fails. A watch that runs must have been stopped.
func (w *Watcher) StartWatch() {
	ctx, cancel := context.WithCancel(w.ctx)
	w.stop = cancel
	go w.client.watch(ctx)
}

// StopWatch stops following the service, if it is followed.
func (w *Watcher) StopWatch() {
	w.stop()
	w.stop = func() {}
}

// Fetch requests the complete list once.
func (w *Watcher) Fetch() { go w.client.fetch(w.ctx) }

// MoveTo follows the service at another address (host:port). What the one before has not answered yet, this one answers
// from the beginning; its revisions are its own.
func (w *Watcher) MoveTo(address string) {
	previous := w.client
	w.revision = 0
	w.lastAccepted = 0
	w.lastWasStale = false
	w.stopPrevious()
	w.stopPrevious = w.stop
	w.stop = func() {}
	w.client = newClient(address, 0, w.deliver)
	w.StartWatch()
	previous.http.CloseIdleConnections()
}

// IsFromPrevious reports whether an update is of the service before the last move. Its revision has nothing to do with
// those of the present service.
func (w *Watcher) IsFromPrevious(update Update) bool { return update.from != w.client }

// HasAccepted reports whether an answer of the present service has been accepted.
func (w *Watcher) HasAccepted() bool { return w.lastAccepted != 0 }

// IsStale reports whether an answer of the present service must not undo the owner's list: a newer one has overtaken it,
// or it is out of date. An agent that has restarted its revisions gives an older one again, in a call that began after
// the answer that was accepted; then it is not stale.
func (w *Watcher) IsStale(update Update) bool {
	if update.List.Revision >= w.revision {
		return false
	}
	return update.began < w.lastAccepted || !w.lastWasStale
}

// Ignore notes an answer that is stale.
func (w *Watcher) Ignore(update Update) {
	w.lastWasStale = update.began >= w.lastAccepted
}

// Accept notes an answer that is about to be applied. The service before the last move is not needed any more.
func (w *Watcher) Accept(update Update) {
	w.lastAccepted = max(w.lastAccepted, update.ended)
	w.lastWasStale = false
	w.stopPrevious()
	w.stopPrevious = func() {}
}

// Revision returns the revision of the owner's list; 0: it has none of the present service.
func (w *Watcher) Revision() uint64 { return w.revision }

// SetRevision notes the revision of the owner's list. Calls continue from it after ContinueFromRevision.
func (w *Watcher) SetRevision(revision uint64) { w.revision = revision }

// ContinueFromRevision has the calls of a watch from now on wait for a list newer than the owner's.
func (w *Watcher) ContinueFromRevision() { w.client.revision.Store(w.revision) }
