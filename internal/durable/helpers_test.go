package durable

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	testOwner = "b@s"
	// eventuallyTimeout bounds how long a test waits for another goroutine. It is long so that only a defect exceeds it, not
	// a slow machine.
	eventuallyTimeout  = 30 * time.Second
	eventuallyInterval = 10 * time.Millisecond // between two attempts
)

// logRecorder collects log lines.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) log(message string, keysAndValues ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprint(append([]any{message, " "}, keysAndValues...)...))
}

func (l *logRecorder) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.lines, func(line string) bool { return strings.Contains(line, part) })
}

// String returns all lines, for the message of a failed test.
func (l *logRecorder) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%q", l.lines)
}

// newFolderPath returns the path of a state folder that does not exist yet.
func newFolderPath(t *testing.T) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "state")
}

func openFolder(tb testing.TB, path string) *Folder {
	tb.Helper()
	folder, err := OpenFolder(path)
	if err != nil {
		tb.Fatal(err)
	}
	return folder
}

func openStore(tb testing.TB, path, owner string, recorder *logRecorder) *Store {
	tb.Helper()
	store, err := OpenStore(openFolder(tb, path), owner, ReadWrite, recorder.log)
	if err != nil {
		tb.Fatal(err)
	}
	return store
}

func save(tb testing.TB, store *Store, kind string, version uint16, text string) {
	tb.Helper()
	if err := store.Save(kind, version, time.Unix(1e9, 0), []byte(text)); err != nil {
		tb.Fatal(err)
	}
}

// eventually repeats an attempt until it returns no error, and fails the test after eventuallyTimeout.
func eventually(t *testing.T, recorder *logRecorder, attempt func() error) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	ticker := time.NewTicker(eventuallyInterval)
	defer ticker.Stop()
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("still failing after %v: %v; log: %v", eventuallyTimeout, err, recorder)
		}
		<-ticker.C
	}
}
