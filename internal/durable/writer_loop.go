package durable

import (
	"context"
	"fmt"
	"time"
)

// This file contains the Writer's goroutine. All functions in it are called only from that goroutine.

// run opens the store, sends the loaded records to loaded, and saves states until ctx is cancelled.
func (w *Writer) run(ctx context.Context, versions map[string]uint16, loaded chan<- map[string]Record) {
	defer close(w.stopped)
	defer w.folder.Close()
	if err := w.openStore(); err != nil {
		w.options.Log("state folder unusable", "folder", w.options.Path, "err", err)
		loaded <- nil
		<-ctx.Done()
		return
	}
	loaded <- w.loadAll(versions)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			w.savePending(0)
			return
		case request := <-w.syncRequests:
			w.acquireFolder()
			request.result <- w.save(request.kind, request.state)
			continue
		case <-w.wake:
		case <-timer.C:
		}
		if next := w.runDueTasks(); next > 0 {
			timer.Reset(next)
		}
	}
}

// runDueTasks does the work that is due and returns the time until the next work is due; 0 if there is none before the next
// wake-up.
func (w *Writer) runDueTasks() time.Duration {
	if w.markRecovered.CompareAndSwap(true, false) {
		w.store.MarkRecovered()
	}
	if !w.acquireFolder() {
		return lockPollInterval
	}
	return w.savePending(w.options.MinInterval)
}

// openStore opens the store, for writing if the folder's lock is free.
func (w *Writer) openStore() error {
	locked, lockErr := w.folder.Lock()
	access := ReadOnly
	if locked {
		access = ReadWrite
	}
	store, err := OpenStore(w.folder, w.options.Owner, access, w.options.Log)
	if err != nil {
		return err
	}
	w.store = store
	switch {
	case lockErr != nil: // for example on a read-only file system, from which records can still be loaded
		w.options.Log("state folder lock failed", "folder", w.options.Path, "err", lockErr)
	case !locked:
		w.options.Log("state folder locked by another process", "folder", w.options.Path)
	}
	return nil
}

// loadAll begins the recovery and loads the record of each kind in versions.
func (w *Writer) loadAll(versions map[string]uint16) map[string]Record {
	w.store.BeginRecovery(w.options.OrderKinds...)
	loaded := map[string]Record{}
	for kind, version := range versions {
		if r, ok := w.store.Load(kind, version); ok {
			loaded[kind] = r
		}
	}
	return loaded
}

// acquireFolder acquires the folder's lock unless this process already holds it, and reports whether the process holds it
// now.
func (w *Writer) acquireFolder() bool {
	if w.store.access == ReadWrite {
		return true
	}
	locked, err := w.folder.Lock()
	if err != nil || !locked {
		return false
	}
	// The previous holder of the lock may have saved records since this process listed the folder.
	store, err := OpenStore(w.folder, w.options.Owner, ReadWrite, w.options.Log)
	if err != nil {
		w.logError("", err)
		return false
	}
	w.store = store
	w.options.Log("state folder lock acquired", "folder", w.options.Path)
	return true
}

// savePending saves the pending states of the kinds whose last save is at least minInterval ago. It returns the time until
// the next pending state is due; 0 if no state is left, or if this process does not hold the folder's lock.
func (w *Writer) savePending(minInterval time.Duration) time.Duration {
	if w.store.access == ReadOnly {
		return 0
	}
	due, next := w.takeDueStates(minInterval)
	for kind, state := range due {
		w.lastSave[kind] = time.Now()
		if err := w.save(kind, state); err != nil {
			w.logError(kind, err)
		}
	}
	return next
}

// takeDueStates removes the due states from the pending ones and returns them, with the time until the next of the others is
// due; 0 if there are no others.
func (w *Writer) takeDueStates(minInterval time.Duration) (due map[string]pendingState, next time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	due = map[string]pendingState{}
	for kind, state := range w.pending {
		wait := minInterval - time.Since(w.lastSave[kind])
		if wait <= 0 {
			due[kind] = state
			delete(w.pending, kind)
			continue
		}
		if next == 0 || wait < next {
			next = wait
		}
	}
	return due, next
}

// save encodes a state and saves it.
func (w *Writer) save(kind string, state pendingState) error {
	payload, err := state.encode()
	if err != nil {
		return fmt.Errorf("encode state of kind %s: %w", kind, err)
	}
	return w.store.Save(kind, state.version, state.savedAt, payload)
}

// logError logs a failed save, unless one was logged within the last errorLogInterval.
func (w *Writer) logError(kind string, err error) {
	now := time.Now()
	if now.Sub(w.lastErrorLog) < errorLogInterval {
		return
	}
	w.lastErrorLog = now
	w.options.Log("state save failed", "kind", kind, "err", err)
}
