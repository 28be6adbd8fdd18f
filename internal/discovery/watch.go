package discovery

import (
	"context"
	"time"
)

// watchState says what the next call of a watch waits for.
type watchState int

const (
	// delayed: the delay of the first call.
	delayed watchState = iota
	// calling: the response to the newest call, which is not overdue.
	calling
	// awaitingOwner: the owner, which knows that the newest call has failed or is overdue, or the response to that call.
	awaitingOwner
)

// watch calls for newer lists, each time its newest call has been answered. A response that is overdue may be slow, or may never
// come; nothing tells the two apart. So an overdue call stays in progress, and the owner may request another one beside it.
//
// The fields belong to the goroutine of run. Each call has a goroutine of its own, which ends after callTimeout or with ctx.
type watch struct {
	client *client
	ctx    context.Context
	cancel context.CancelFunc // ends the watch and its calls

	requests chan struct{}      // the owner's requests for a call
	finished chan watchResponse // of calls whose response has been applied, or that have failed

	state     watchState
	newest    watchCall
	running   int         // calls in progress
	firstCall *time.Timer // ends the delay of the first call
	overdue   *time.Timer // fires when the newest call becomes overdue
}

// watchCall is a call of a watch.
type watchCall struct {
	serial int    // from 1
	since  uint64 // the call waits for a list newer than this revision
}

// watchResponse is the end of a call of a watch.
type watchResponse struct {
	serial int
	update Update
}

// startWatch starts a watch, which runs until ctx ends or cancel is called.
func startWatch(ctx context.Context, c *client) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		client:    c,
		ctx:       ctx,
		cancel:    cancel,
		requests:  make(chan struct{}, 1),
		finished:  make(chan watchResponse),
		state:     delayed,
		firstCall: time.NewTimer(time.Duration(c.firstDelay.Swap(0))),
		overdue:   time.NewTimer(callTimeout),
	}
	w.overdue.Stop()
	go w.run()
	return w
}

// requestCall has a call made if the newest one has failed or is overdue. It does not block and may be called from any goroutine.
func (w *watch) requestCall() {
	select {
	case w.requests <- struct{}{}:
	default: // a request is pending
	}
}

// run makes the calls of the watch.
func (w *watch) run() {
	for w.ctx.Err() == nil {
		select {
		case <-w.firstCall.C:
			w.startCall()
		case <-w.requests:
			if w.state == awaitingOwner {
				w.startCall()
			}
		case <-w.overdue.C:
			w.reportFailure(w.client.overdueUpdate(WatchTimeout + ResponseTimeout))
		case response := <-w.finished:
			w.onFinished(response)
		case <-w.ctx.Done():
		}
	}
	w.firstCall.Stop()
	w.overdue.Stop()
	w.client.http.CloseIdleConnections()
}

// startCall starts the newest call.
func (w *watch) startCall() {
	w.running++
	w.newest = watchCall{serial: w.newest.serial + 1, since: w.client.revision.Load()}
	w.state = calling
	w.overdue.Reset(WatchTimeout + ResponseTimeout)
	go w.call(w.newest)
}

// call makes one call, delivers its response, and reports its end, which is at least WatchInterval after its start.
func (w *watch) call(call watchCall) {
	interval := time.After(WatchInterval)
	update := w.client.call(w.ctx, w.client.watchURL(call.since), call.since)
	if update.Err == nil {
		w.client.deliver(update) // even if ctx has just ended: the service counts the list as delivered
	}
	select {
	case <-interval:
	case <-w.ctx.Done():
		return
	}
	select {
	case w.finished <- watchResponse{call.serial, update}:
	case <-w.ctx.Done():
	}
}

// onFinished makes the next call if the newest one has been answered, or reports its failure. The answer to an older call is followed by
// a call only if it has brought a newer list than the newest call waits for: that call does not wait then, but is answered with what
// the owner has by now, and lacks each later change. The failure of an older call changes nothing: another one has been made since.
func (w *watch) onFinished(response watchResponse) {
	w.running--
	isNewest := response.serial == w.newest.serial
	answered := response.update.Err == nil
	newestIsBehind := w.newest.since != w.client.revision.Load() && w.running < maxCallsBesideOthers
	switch {
	case answered && (isNewest || newestIsBehind):
		w.startCall()
	case !answered && isNewest && w.state == calling: // otherwise it has been reported as overdue
		w.reportFailure(response.update)
	}
}

// reportFailure tells the owner that the newest call has failed or is overdue.
func (w *watch) reportFailure(update Update) {
	w.state = awaitingOwner
	w.overdue.Stop()
	w.client.deliver(update)
}
