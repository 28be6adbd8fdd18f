package discovery

import (
	"errors"
	"log/slog"
	"time"

	"sprucehill/balancer"
)

// Owner applies what a Watcher learns. Its methods are called by Watcher.Handle, on the owner's goroutine.
type Owner interface {
	// ApplyList applies a complete list, or changes of the owner's list.
	ApplyList(mode balancer.UpdateMode, list List)
	// OnCallFailed reports that the newest call of the watch, or a fetch, has failed or is overdue. The owner decides when
	// another one is made, by Watcher.StartWatch.
	OnCallFailed()
}

// Handle handles an update from Updates: it has its list applied by the owner unless it is out of date, or reports the failure. now is
// the time on the owner's clock.
func (w *Watcher) Handle(update Update, now time.Duration, owner Owner) {
	defer update.markApplied()
	w.metrics.count(update)
	fromPrevious := update.source != w.client
	switch {
	case fromPrevious:
		w.handleFromPrevious(update, now, owner)
	case update.Err != nil:
		slog.Info("endpoint update failed", "err", update.Err, "elapsed", update.Elapsed)
		owner.OnCallFailed()
	default:
		w.handleResponse(update, now, owner)
	}
}

// handleResponse handles a response of the current service.
func (w *Watcher) handleResponse(update Update, now time.Duration, owner Owner) {
	w.noteAnswer(now)
	switch {
	case w.order.isDuplicate(update):
	case w.order.isStale(update):
		slog.Info("stale endpoint list ignored", "revision", update.List.Revision, "current_revision", w.order.revision)
		w.order.ignore(update)
	default:
		w.accept(update, owner)
	}
}

// accept has a response of the current service applied, and ends the watch of the previous service.
func (w *Watcher) accept(update Update, owner Owner) {
	list := update.List
	if update.isLate() {
		slog.Info("late endpoint list", "revision", list.Revision, "elapsed", update.Elapsed)
	}
	if w.order.isRestart(update) {
		slog.Info("discovery revisions restarted", "revision", list.Revision, "current_revision", w.order.revision)
		if !list.Complete { // changes of a list that the owner does not have: the next call fetches the complete list
			list.Revision = 0
		}
	}
	w.order.accept(update)
	stopWatch(w.previousWatch)
	w.previousWatch = nil
	w.order.revision = list.Revision
	owner.ApplyList(updateMode(list), list)
	w.client.revision.Store(list.Revision)
}

// handleFromPrevious has a response of the service before the last SwitchTo applied. Its responses are valid until the current
// service has responded. The revisions of the two services are unrelated.
func (w *Watcher) handleFromPrevious(update Update, now time.Duration, owner Owner) {
	if update.Err != nil || w.order.hasAccepted() || !update.continuePrevious() {
		return
	}
	w.noteAnswer(now)
	list := update.List
	list.Revision = 0
	owner.ApplyList(updateMode(list), list)
}

// continuePrevious makes the watch of a previous service wait for a list newer than the one in its response, and reports whether
// that one has to be applied: not if it is older than what the service has returned before.
func (u Update) continuePrevious() bool {
	current := u.source.revision.Load()
	if u.List.Revision < current || !u.List.Complete && u.since > current {
		return false
	}
	u.source.revision.Store(u.List.Revision)
	return true
}

// updateMode returns the mode in which the decision module applies a list.
func updateMode(list List) balancer.UpdateMode {
	if list.Complete {
		return balancer.UpdateComplete
	}
	return balancer.UpdateDelta
}

// isOverdueReport reports whether an update is about a call that is still in progress.
func (u Update) isOverdueReport() bool { return errors.Is(u.Err, ErrOverdue) }
