package durable

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadTimeout bounds how long a start waits for the disk. After that it continues without saved state.
	loadTimeout = time.Second
	// lockPollInterval is the time between two attempts of a process to take the lock of its predecessor.
	lockPollInterval = 100 * time.Millisecond
	// saveSyncTimeout bounds how long SaveSync waits: operators are promised an answer within 1 s.
	saveSyncTimeout = 600 * time.Millisecond
	// closeTimeout bounds how long Close waits for the last saves.
	closeTimeout = 2 * time.Second
	// errorLogInterval is the least time between two log lines about saves that fail.
	errorLogInterval = 10 * time.Second
)

// Options configures a Writer.
type Options struct {
	// Path is the state folder.
	Path string
	// Owner names the balancer and its site, in 1 to 128 bytes; records of another owner are not used.
	Owner string
	// MinInterval is the least time between two asynchronous saves of one kind; 0: a save is as soon as possible.
	MinInterval time.Duration
	// OrderKinds are the kinds that have operators' orders: a crash loop gives them up last.
	OrderKinds []string
	// Log must not be nil. It is called from the Writer's goroutine too.
	Log LogFunc
}

// Writer saves states in a folder from a goroutine of its own, so that callers of Save never wait for the disk. If the
// disk is slow or full, what is saved gets older, and nothing else happens.
type Writer struct {
	options Options
	folder  LockableFS
	// loaded is what was loaded at the start, by kind. It is not changed after StartWriterOn.
	loaded map[string]Record

	mu sync.Mutex
	// pending is the newest state to be saved, by kind; guarded by mu.
	pending map[string]pendingState

	wake         chan struct{} // has a buffer of one: there is something to do
	syncRequests chan syncRequest
	stop         context.CancelFunc
	stopped      chan struct{} // closed when the goroutine has ended
	// markRecovered is set by MarkRecovered and cleared when the goroutine has passed it on to the store.
	markRecovered atomic.Bool

	// The goroutine's own.

	store *Store
	// lastSave is when an asynchronous save was last attempted, by kind.
	lastSave map[string]time.Time
	// lastErrorLog is when a failed save was last logged.
	lastErrorLog time.Time
}

// pendingState is a state that is to be saved.
type pendingState struct {
	version uint16
	savedAt time.Time
	encode  func() ([]byte, error)
}

// syncRequest is a save that a caller of SaveSync waits for.
type syncRequest struct {
	kind   string
	state  pendingState
	result chan error // has a buffer of one: the caller may have timed out
}

// StartWriter opens a folder, loads each kind that versions has, which are this program's own versions, and starts a
// Writer on it, which the caller must close. It waits for the disk for at most loadTimeout. An error, such as a FolderError,
// means that the folder can't be used at all. That another process has its lock, or that it is damaged or slow, is logged.
func StartWriter(options Options, versions map[string]uint16) (*Writer, error) {
	folder, err := OpenFolder(options.Path)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return StartWriterOn(folder, options, versions), nil
}

// StartWriterOn is StartWriter on a folder that is already open. The Writer closes the folder.
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

// Load returns the record of a kind as it was at the start, and false if there was none. The caller must not change the
// payload.
func (w *Writer) Load(kind string) (Record, bool) {
	r, ok := w.loaded[kind]
	return r, ok
}

// Save schedules a state to be saved, in place of an older one of its kind that has not been saved yet, and returns at
// once. encode is called from the Writer's goroutine: what it reads must not change any more.
func (w *Writer) Save(kind string, version uint16, savedAt time.Time, encode func() ([]byte, error)) {
	w.mu.Lock()
	w.pending[kind] = pendingState{version: version, savedAt: savedAt, encode: encode}
	w.mu.Unlock()
	w.wakeUp()
}

// SaveSync saves a state and returns when it is durable, after at most saveSyncTimeout. The error is ErrWriteTimeout if the
// disk has not answered by then, ErrClosed after Close, or that of Store.Save. The first two are wrapped in a RecordError.
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

// MarkRecovered records that the start is complete with what was loaded: that state is not the cause of a crash loop. It
// does not wait for the disk.
func (w *Writer) MarkRecovered() {
	w.markRecovered.Store(true)
	w.wakeUp()
}

// Close saves what is pending, releases the folder and ends the goroutine. It waits for at most closeTimeout for a disk that
// hangs; the goroutine then ends when the disk answers. It is called once.
func (w *Writer) Close() {
	w.stop()
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
		w.options.Log("last state save timed out", "folder", w.options.Path, "elapsed", closeTimeout)
	}
}

// wakeUp makes the goroutine look for work.
func (w *Writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default: // it has been woken already
	}
}
