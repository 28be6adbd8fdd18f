package durable

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// openWait bounds how long a start waits for the disk. After that it goes on without what is kept.
	openWait = time.Second
	// lockEvery is how often a process that overlaps with its predecessor looks whether the folder is free.
	lockEvery = 100 * time.Millisecond
	// keepWait bounds how long Keep waits for the disk: operators are owed an answer in 1 s.
	keepWait = 600 * time.Millisecond
	// closeWait bounds how long the end of the process waits for the last states.
	closeWait = 2 * time.Second
	// complainEvery is the least time between two log lines on a disk that does not take what it is given.
	complainEvery = 10 * time.Second
)

// ErrTimeout says that the disk has not taken a state in time. It may still do so.
var ErrTimeout = errors.New("the disk has not taken it in time")

// Options is how a Keeper keeps.
type Options struct {
	Path  string
	Owner string        // the balancer and its site
	MinInterval time.Duration // least time between two saves of one kind by Offer
	// OrderKinds names the kinds that hold operators' orders.
	OrderKinds []string
	Log    LogFunc
}

// Locked is a folder that one process holds at a time.
type Locked interface {
	FS
	Lock() (bool, error) // false: another process has it
	Close() error
}

// Writer keeps states in a folder, from a goroutine of its own: who offers one never waits for the disk. A disk that is
// slow or full costs freshness and nothing else.
type Writer struct {
	o      Options
	folder Locked
	loaded map[string]Record
	store  *Store // the goroutine's own once it runs

	mu      sync.Mutex
	offered map[string]offer
	wake    chan struct{}
	asked   chan order
	end     context.CancelFunc
	ended   chan struct{}
	told    time.Time // of the last complaint

	recovered atomic.Bool // asked for by Recovered, until it has been noted
}

// offer is a state that has not been saved yet.
type offer struct {
	version uint16
	at      time.Time
	encode  func() ([]byte, error)
}

// order is a state whose saving somebody waits for.
type order struct {
	kind string
	offer
	done chan error
}

// StartWriter opens a folder, reads every kind that wanted names with its version, and begins to keep. An error says that the
// folder can't be used at all; that it is held by another process, damaged or slow is none: the log says so.
func StartWriter(o Options, wanted map[string]uint16) (*Writer, error) {
	folder, err := OpenFolder(o.Path)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return StartWriterOn(folder, o, wanted), nil
}

// StartWriterOn is Start on a folder that is open.
func StartWriterOn(folder Locked, o Options, wanted map[string]uint16) *Writer {
	ctx, end := context.WithCancel(context.Background())
	k := &Writer{o: o, folder: folder, offered: map[string]offer{}, wake: make(chan struct{}, 1),
		asked: make(chan order), end: end, ended: make(chan struct{})}
	opened := make(chan map[string]Record, 1)
	go k.run(ctx, wanted, opened)
	limit := time.NewTimer(openWait)
	defer limit.Stop()
	select {
	case k.loaded = <-opened:
	case <-limit.C:
		o.Log("state not read", "folder", o.Path, "why", "the disk has not answered in time: starting without")
	}
	return k
}

// Load is the state of a kind as it was at the start.
func (k *Writer) Load(kind string) (Record, bool) {
	r, ok := k.loaded[kind]
	return r, ok
}

// Offer hands over a state to be saved in its time, in place of an older one that has not been. encode is called from
// the keeper's goroutine; what it reads must not change any more.
func (k *Writer) Save(kind string, version uint16, at time.Time, encode func() ([]byte, error)) {
	k.mu.Lock()
	k.offered[kind] = offer{version, at, encode}
	k.mu.Unlock()
	k.rouse()
}

func (k *Writer) rouse() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Keep saves a state and returns when it is safe. It waits for the disk, but not for ever.
func (k *Writer) SaveSync(kind string, version uint16, at time.Time, payload []byte) error {
	x := order{kind, offer{version, at, func() ([]byte, error) { return payload, nil }}, make(chan error, 1)}
	limit := time.NewTimer(keepWait)
	defer limit.Stop()
	select {
	case k.asked <- x:
	case <-k.ended:
		return errors.New("the state folder is closed")
	case <-limit.C:
		return ErrTimeout
	}
	select {
	case err := <-x.done:
		return err
	case <-limit.C:
		return ErrTimeout
	}
}

// Close saves what has been offered and gives the folder back, waiting for a hanging disk no longer than closeWait.
func (k *Writer) Close() {
	k.end()
	select {
	case <-k.ended:
	case <-time.After(closeWait):
		k.o.Log("last state not saved", "why", ErrTimeout)
	}
}

// run owns the store.
func (k *Writer) run(ctx context.Context, wanted map[string]uint16, opened chan<- map[string]Record) {
	defer close(k.ended)
	defer k.folder.Close()
	if !k.open(wanted, opened) {
		<-ctx.Done()
		return
	}
	last := map[string]time.Time{}
	look := time.NewTimer(0)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			k.saveDue(last, 0)
			return
		case x := <-k.asked:
			k.mayWrite()
			x.done <- k.put(x.kind, x.offer)
			continue
		case <-k.wake:
		case <-look.C:
		}
		if k.recovered.CompareAndSwap(true, false) {
			k.store.Recovered()
		}
		if !k.mayWrite() {
			look.Reset(lockEvery)
		} else if next := k.saveDue(last, k.o.MinInterval); next > 0 {
			look.Reset(next)
		}
	}
}

// open takes the lock if it is free, and reads.
func (k *Writer) open(wanted map[string]uint16, opened chan<- map[string]Record) bool {
	free, lockErr := k.folder.Lock()
	store, err := Open(k.folder, k.o.Owner, free, k.o.Log)
	if err != nil {
		k.o.Log("state not kept", "folder", k.o.Path, "err", err)
		opened <- nil
		return false
	}
	if k.store = store; lockErr != nil { // read-only, say: what is there is better than nothing
		k.o.Log("state folder can't be locked: reading only", "folder", k.o.Path, "err", lockErr)
	} else if !free {
		k.o.Log("state folder is held by another process: reading, and waiting for it", "folder", k.o.Path)
	}
	k.store.Begin(k.o.OrderKinds...)
	loaded := map[string]Record{}
	for kind, version := range wanted {
		if r, ok := k.store.Load(kind, version); ok {
			loaded[kind] = r
		}
	}
	opened <- loaded
	return true
}

// mayWrite tells whether this process holds the folder, and takes it as soon as it is free.
func (k *Writer) mayWrite() bool {
	if k.store.may {
		return true
	}
	free, err := k.folder.Lock()
	if err != nil || !free {
		return false
	}
	store, err := Open(k.folder, k.o.Owner, true, k.o.Log) // its predecessor has saved since
	if err != nil {
		k.complain("", err)
		return false
	}
	k.store = store
	k.o.Log("state folder is free: keeping", "folder", k.o.Path)
	return true
}

// Recovered notes that the start has come through with what was loaded.
func (k *Writer) MarkRecovered() {
	k.recovered.Store(true)
	k.rouse()
}

// saveDue saves what has been offered and is due, and returns when the next is; 0: nothing waits.
func (k *Writer) saveDue(last map[string]time.Time, every time.Duration) (next time.Duration) {
	if !k.store.may {
		return 0
	}
	k.mu.Lock()
	due := map[string]offer{}
	for kind, x := range k.offered {
		if wait := every - time.Since(last[kind]); wait > 0 {
			if next == 0 || wait < next {
				next = wait
			}
			continue
		}
		due[kind] = x
		delete(k.offered, kind)
	}
	k.mu.Unlock()
	for kind, x := range due {
		last[kind] = time.Now()
		if err := k.put(kind, x); err != nil {
			k.complain(kind, err)
		}
	}
	return next
}

func (k *Writer) put(kind string, x offer) error {
	payload, err := x.encode()
	if err != nil {
		return fmt.Errorf("encoding %s: %w", kind, err)
	}
	return k.store.Save(kind, x.version, x.at, payload)
}

// complain logs that a state was not saved, now and then.
func (k *Writer) complain(kind string, err error) {
	if now := time.Now(); now.Sub(k.told) >= complainEvery {
		k.told = now
		k.o.Log("state not saved", "kind", kind, "err", err)
	}
}
