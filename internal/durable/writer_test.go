package durable

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// encodeText returns an encode function for Writer.Save.
func encodeText(text string) func() ([]byte, error) {
	return func() ([]byte, error) { return []byte(text), nil }
}

// While one process holds the folder's lock, a second one loads records and saves none. It saves once the first has ended.
func TestWriterTakesOverFromPreviousProcess(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	start := func() *Writer {
		t.Helper()
		options := Options{Path: path, Owner: testOwner, MinInterval: time.Millisecond, OrderKinds: []string{"orders"}, Log: recorder.log}
		w, err := StartWriter(options, map[string]uint16{"learnt": 1, "orders": 1})
		if err != nil {
			t.Fatal(err)
		}
		return w
	}
	first := start()
	if err := first.SaveSync("learnt", 1, time.Now(), []byte("of the first")); err != nil {
		t.Fatal(err)
	}
	second := start()
	if r, ok := second.Load("learnt"); !ok || string(r.Payload) != "of the first" {
		t.Errorf("the second process loaded %q", r.Payload)
	}
	if err := second.SaveSync("orders", 1, time.Now(), []byte("too soon")); err == nil {
		t.Error("SaveSync succeeded in a folder that another process has locked")
	}
	second.Save("learnt", 1, time.Now(), encodeText("of the second"))
	first.Save("learnt", 1, time.Now(), encodeText("last of the first"))
	first.Close()
	eventually(t, recorder, func() error {
		return second.SaveSync("orders", 1, time.Now(), []byte("in time"))
	})
	second.Close()
	third := start()
	defer third.Close()
	for kind, want := range map[string]string{"learnt": "of the second", "orders": "in time"} {
		if r, ok := third.Load(kind); !ok || string(r.Payload) != want {
			t.Errorf("%s: %q, want %q", kind, r.Payload, want)
		}
	}
}

// faultyFolder is a folder whose Lock fails, or whose List and Create block.
type faultyFolder struct {
	*Folder
	lockErr error
	// unblocked ends the blocking of all calls when it is closed; if it is nil no call blocks.
	unblocked chan struct{}
}

func (f faultyFolder) Lock() (bool, error) {
	if f.lockErr != nil {
		return false, f.lockErr
	}
	return f.Folder.Lock()
}

func (f faultyFolder) List() ([]string, error) {
	f.wait()
	return f.Folder.List()
}

func (f faultyFolder) Create(name string) (File, error) {
	f.wait()
	return f.Folder.Create(name)
}

func (f faultyFolder) wait() {
	if f.unblocked != nil {
		<-f.unblocked
	}
}

// A hanging disk blocks neither the start nor Save, and makes SaveSync time out. Saves succeed once the disk responds again.
func TestWriterOnHangingDisk(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	save(t, openStore(t, path, testOwner, recorder), "learnt", 1, "before")
	unblocked := make(chan struct{})
	folder := faultyFolder{Folder: openFolder(t, path), unblocked: unblocked}
	options := Options{Path: path, Owner: testOwner, MinInterval: time.Millisecond, Log: recorder.log}
	w := StartWriterOn(folder, options, map[string]uint16{"learnt": 1})
	if _, ok := w.Load("learnt"); ok || !recorder.contains("state load timed out") {
		t.Errorf("loaded %v; log: %v", ok, recorder)
	}
	w.Save("learnt", 1, time.Now(), encodeText("after"))
	if err := w.SaveSync("orders", 1, time.Now(), []byte("x")); !errors.Is(err, ErrWriteTimeout) {
		t.Errorf("SaveSync on a hanging disk: %v", err)
	}
	close(unblocked)
	eventually(t, recorder, func() error {
		return w.SaveSync("orders", 1, time.Now(), []byte("y"))
	})
	w.Close()
	s := openStore(t, path, testOwner, recorder)
	for kind, want := range map[string]string{"learnt": "after", "orders": "y"} {
		if r, ok := s.Load(kind, 1); !ok || string(r.Payload) != want {
			t.Errorf("%s: %q, want %q", kind, r.Payload, want)
		}
	}
}

// Records are loaded from a folder that can't be locked, such as one on a read-only file system, but none are saved.
func TestWriterOnFolderThatCannotBeLocked(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	save(t, openStore(t, path, testOwner, recorder), "learnt", 1, "before")
	folder := faultyFolder{Folder: openFolder(t, path), lockErr: errors.New("read-only file system")}
	options := Options{Path: path, Owner: testOwner, MinInterval: time.Millisecond, Log: recorder.log}
	w := StartWriterOn(folder, options, map[string]uint16{"learnt": 1})
	defer w.Close()
	if r, ok := w.Load("learnt"); !ok || string(r.Payload) != "before" || !recorder.contains("state folder lock failed") {
		t.Errorf("loaded %q, %v; log: %v", r.Payload, ok, recorder)
	}
	if err := w.SaveSync("orders", 1, time.Now(), []byte("x")); err == nil {
		t.Error("SaveSync succeeded in a folder that can't be locked")
	}
}

// Of several pending states of a kind only the newest is saved. A state that can't be encoded is logged.
func TestSaveKeepsNewestStateOfKind(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	w, err := StartWriter(Options{Path: path, Owner: testOwner, MinInterval: time.Hour, Log: recorder.log}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		w.Save("list", 1, time.Now(), encodeText(fmt.Sprint(i)))
	}
	w.Save("learnt", 1, time.Now(), func() ([]byte, error) { return nil, errors.New("unsupported value") })
	w.Close()
	r, ok := openStore(t, path, testOwner, recorder).Load("list", 1)
	if !ok || string(r.Payload) != "999" || r.Generation > 2 {
		t.Errorf("%q of generation %d was saved", r.Payload, r.Generation)
	}
	if !recorder.contains("unsupported value") {
		t.Errorf("the failed encoding is not logged: %v", recorder)
	}
}

// Later wake-ups of the Writer do not save a state a second time.
func TestSaveWritesStateOnce(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	w, err := StartWriter(Options{Path: path, Owner: testOwner, MinInterval: time.Nanosecond, Log: recorder.log}, nil)
	if err != nil {
		t.Fatal(err)
	}
	w.Save("list", 1, time.Now(), encodeText("once"))
	eventually(t, recorder, func() error {
		if _, ok := openStore(t, path, testOwner, recorder).Load("list", 1); !ok {
			return errors.New("the state is not saved yet")
		}
		return nil
	})
	w.MarkRecovered()
	w.Close()
	r, ok := openStore(t, path, testOwner, recorder).Load("list", 1)
	if !ok || string(r.Payload) != "once" || r.Generation != 0 {
		t.Errorf("loaded %q of generation %d, %v", r.Payload, r.Generation, ok)
	}
}

// Records are not quarantined after any number of starts that complete their recovery.
func TestWriterMarksRecovery(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	save(t, openStore(t, path, testOwner, recorder), "learnt", 1, "good")
	for start := 1; start <= maxFailedRecoveries+1; start++ {
		w, err := StartWriter(Options{Path: path, Owner: testOwner, MinInterval: time.Millisecond, Log: recorder.log}, map[string]uint16{"learnt": 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := w.Load("learnt"); !ok {
			t.Errorf("start %d loaded no record; log: %v", start, recorder)
		}
		w.MarkRecovered()
		eventually(t, recorder, func() error {
			if failed := openStore(t, path, testOwner, recorder).readFailedRecoveries(); failed != 0 {
				return fmt.Errorf("%d starts are counted as failed", failed)
			}
			return nil
		})
		w.Close()
	}
}
