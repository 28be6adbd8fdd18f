package durable

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTimeout bounds how long a start waits for the disk. After it the start continues without saved state.
	loadTimeout = time.Second
	// lockPollInterval is the time between two attempts to acquire a lock that another process holds.
	lockPollInterval = 100 * time.Millisecond
	// saveSyncTimeout bounds how long SaveSync waits, because operators are promised an answer within 1 s.
	saveSyncTimeout = 600 * time.Millisecond
	// closeTimeout bounds how long Close waits for the last saves.
	closeTimeout = 2 * time.Second
	// errorLogInterval is the minimum time between two log lines about failed saves.
	errorLogInterval = 10 * time.Second
)

// Options configures a Writer.
type Options struct {
	// Path is the state folder.
	Path string
	// Owner identifies the balancer and its site, in 1 to 128 bytes; records of another owner are not used.
	Owner string
	// MinInterval is the minimum time between two asynchronous saves of one kind; 0 saves as soon as possible.
	MinInterval time.Duration
	// OrderKinds are the kinds that hold operators' orders: in a crash loop their records are quarantined last.
	OrderKinds []string
	// Log must not be nil. It is also called from the Writer's goroutine.
	Log LogFunc
}

// Writer saves states in a folder from a goroutine of its own, so that callers of Save never wait for the disk. A slow or
// full disk only makes the saved state older.
type Writer struct {
	options Options
	folder  LockableFS
	// loaded holds the records loaded at the start, by kind. It is not changed after StartWriterOn.
	loaded map[string]Record

	mu sync.Mutex
	// pending is the newest state to be saved, by kind; guarded by mu.
	pending map[string]pendingState

	wake         chan struct{} // has a buffer of one; a value means that the goroutine has work
	syncRequests chan syncRequest
	stop         context.CancelFunc
	stopped      chan struct{} // closed when the goroutine has ended
	// markRecovered is set by MarkRecovered and cleared when the goroutine passes it on to the store.
	markRecovered atomic.Bool

	// The fields below are used by the goroutine only.

	store *Store
	// lastSave is the time of the last attempt of an asynchronous save, by kind.
	lastSave map[string]time.Time
	// lastErrorLog is the time at which a failed save was last logged.
	lastErrorLog time.Time
}

// pendingState is a state that waits to be saved.
type pendingState struct {
	version uint16
	savedAt time.Time
	encode  func() ([]byte, error)
}

// syncRequest is a save that a caller of SaveSync waits for.
type syncRequest struct {
	kind   string
	state  pendingState
	result chan error // has a buffer of one, because the caller may have timed out
}

// StartWriter opens a folder, loads the records of the kinds in versions, and starts a Writer, which the caller must close.
// versions has the version of the payload that this program writes, by kind. StartWriter waits for the disk for at most
// loadTimeout. It returns an error, such as a FolderError, if the folder can't be used at all. A lock that another process
// holds, damaged records and a slow disk are logged instead.
func StartWriter(options Options, versions map[string]uint16) (*Writer, error) {
	folder, err := OpenFolder(options.Path)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return StartWriterOn(folder, options, versions), nil
}

// StartWriterOn does the same as StartWriter on a folder that is already open. The Writer closes the folder.
func StartWriterOn(folder LockableFS, options Options, versions map[string]uint16) *Writer {
	ctx, stop := context.WithCancel(context.Background())
	w := &Writer{
		options:      options,
		folder:       folder,
		pending:      map[string]pendingState{},
		wake:         make(chan struct{}, 1),
		syncRequests: make(chan syncRequest),
		stop:         stop,
		stopped:      make(chan struct{}),
		lastSave:     map[string]time.Time{},
	}
	loaded := make(chan map[string]Record, 1)
	go w.run(ctx, versions, loaded)
	timeout := time.NewTimer(loadTimeout)
	defer timeout.Stop()
	select {
	case w.loaded = <-loaded:
	case <-timeout.C:
		options.Log("state load timed out", "folder", options.Path, "elapsed", loadTimeout)
	}
	return w
}

// Load returns the record of a kind that was loaded at the start, and false if none was loaded. The caller must not change
// the payload.
func (w *Writer) Load(kind string) (Record, bool) {
	r, ok := w.loaded[kind]
	return r, ok
}

// Save schedules a state to be saved and returns at once. The state replaces an older one of its kind that is still pending.
// encode is called from the Writer's goroutine: the data that it reads must not change after the call of Save.
func (w *Writer) Save(kind string, version uint16, savedAt time.Time, encode func() ([]byte, error)) {
	w.mu.Lock()
	w.pending[kind] = pendingState{version: version, savedAt: savedAt, encode: encode}
	w.mu.Unlock()
	w.wakeUp()
}

// SaveSync saves a state and waits until it is durable, for at most saveSyncTimeout. The error is a RecordError that wraps
// ErrWriteTimeout if the disk has not confirmed the save by then, one that wraps ErrClosed after Close, or else the error of
// Store.Save.
func (w *Writer) SaveSync(kind string, version uint16, savedAt time.Time, payload []byte) error {
	encode := func() ([]byte, error) { return payload, nil }
	request := syncRequest{
		kind:   kind,
		state:  pendingState{version: version, savedAt: savedAt, encode: encode},
		result: make(chan error, 1),
	}
	timeout := time.NewTimer(saveSyncTimeout)
	defer timeout.Stop()
	select {
	case w.syncRequests <- request:
	case <-w.stopped:
		return &RecordError{Operation: OperationSave, Kind: kind, Err: ErrClosed}
	case <-timeout.C:
		return &RecordError{Operation: OperationSave, Kind: kind, Err: ErrWriteTimeout}
	}
	select {
	case err := <-request.result:
		return err
	case <-timeout.C:
		return &RecordError{Operation: OperationSave, Kind: kind, Err: ErrWriteTimeout}
	}
}

// MarkRecovered records that the start has completed with the loaded state, which is therefore not the cause of a crash
// loop. It does not wait for the disk.
func (w *Writer) MarkRecovered() {
	w.markRecovered.Store(true)
	w.wakeUp()
}

// Close saves the pending states, releases the folder and ends the goroutine. It waits for at most closeTimeout: if the disk
// hangs, the goroutine ends after Close has returned, when the disk responds. Close must be called only once.
func (w *Writer) Close() {
	w.stop()
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
		w.options.Log("state save at shutdown timed out", "folder", w.options.Path, "elapsed", closeTimeout)
	}
}

// wakeUp makes the goroutine check for due work.
func (w *Writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
