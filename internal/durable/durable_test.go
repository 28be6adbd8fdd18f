package durable

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// journal collects log lines.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) log(text string, keys ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, fmt.Sprint(append([]any{text, " "}, keys...)...))
}

func (j *journal) has(part string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.lines, func(l string) bool { return strings.Contains(l, part) })
}

func open(t testing.TB, dir, owner string, j *journal) *Store {
	t.Helper()
	f, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Open(f, owner, true, j.log)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func save(t testing.TB, s *Store, kind string, version uint16, text string) {
	t.Helper()
	if err := s.Save(kind, version, time.Unix(1e9, 0), []byte(text)); err != nil {
		t.Fatal(err)
	}
}

func folder(t *testing.T) string { return filepath.Join(t.TempDir(), "state") }

// The newest whole state is read, else the one before it, else none; what can't be used is set aside with a reason.
func TestNewestElseTheOneBefore(t *testing.T) {
	dir, j := folder(t), &journal{}
	s := open(t, dir, "b@s", j)
	for _, text := range []string{"one", "two", "three"} {
		save(t, s, "list", 1, text)
	}
	if r, ok := s.Load("list", 1); !ok || string(r.Payload) != "three" || r.Generation != 2 {
		t.Fatalf("read %q, %v", r.Payload, ok)
	}
	damage := func(generation uint64) {
		if err := os.WriteFile(filepath.Join(dir, name("list", generation)), []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	damage(2)
	if r, ok := s.Load("list", 1); !ok || string(r.Payload) != "two" {
		t.Errorf("the newest is damaged: read %q, %v", r.Payload, ok)
	}
	if !j.has("state set aside") {
		t.Errorf("no line on what was dropped: %q", j.lines)
	}
	damage(1)
	if r, ok := s.Load("list", 1); ok {
		t.Errorf("both are damaged: read %q", r.Payload)
	}
	if aside, _ := filepath.Glob(filepath.Join(dir, asideMark+"*")); len(aside) != 2 {
		t.Errorf("set aside: %q", aside)
	}
	save(t, s, "list", 1, "four")
	if r, ok := open(t, dir, "b@s", j).Load("list", 1); !ok || string(r.Payload) != "four" {
		t.Errorf("after all: read %q, %v", r.Payload, ok)
	}
}

// A folder of another balancer or site, and a version too far away, are not used. One version more or less is.
func TestWhoseAndWhich(t *testing.T) {
	for _, c := range []struct {
		owner   string
		version uint16
		want    bool
	}{{"b@s", 4, true}, {"b@s", 3, true}, {"b@s", 5, true}, {"b@s", 6, false}, {"b@s", 2, false}, {"c@s", 4, false}, {"b@t", 4, false}} {
		dir, j := folder(t), &journal{}
		save(t, open(t, dir, c.owner, j), "learnt", c.version, "x")
		if _, ok := open(t, dir, "b@s", j).Load("learnt", 4); ok != c.want || j.has("set aside") == c.want {
			t.Errorf("%s, version %d: read %v, want %v; %q", c.owner, c.version, ok, c.want, j.lines)
		}
	}
}

// Three starts that end in their recovery give up what they read, six the orders too, and a good one forgets them.
func TestCrashLoopEnds(t *testing.T) {
	dir, j := folder(t), &journal{}
	s := open(t, dir, "b@s", j)
	save(t, s, "learnt", 1, "poison")
	save(t, s, "orders", 1, "drain")
	for start := 1; start <= 2*mostStarts+1; start++ {
		s = open(t, dir, "b@s", j)
		s.Begin("orders")
		_, learnt := s.Load("learnt", 1)
		_, orders := s.Load("orders", 1)
		if learnt != (start <= mostStarts) || orders != (start <= 2*mostStarts) {
			t.Errorf("start %d: learnt %v, orders %v", start, learnt, orders)
		}
	}
	s.Recovered()
	save(t, s, "learnt", 1, "good")
	s = open(t, dir, "b@s", j)
	if s.Begin("orders"); s.aside != 2 {
		t.Errorf("%d files set aside, want 2", s.aside)
	}
	if _, ok := s.Load("learnt", 1); !ok {
		t.Error("after a good start nothing is read")
	}
}

func TestFoldersThatAreNotItsOwn(t *testing.T) {
	dir := t.TempDir()
	if err := os.Symlink(dir, filepath.Join(dir, "link")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "open"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(filepath.Join(dir, "open"), 0o777); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"link": "symbolic link", "file": "not a directory", "open": "by others"} {
		if _, err := OpenFolder(filepath.Join(dir, name)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", name, err, want)
		}
	}
}

// A second process reads while the first holds the folder, keeps nothing, and takes over as soon as the first has ended.
func TestOverlapOfAnUpgrade(t *testing.T) {
	dir, j := folder(t), &journal{}
	begin := func() *Writer {
		k, err := StartWriter(Options{Path: dir, Owner: "b@s", MinInterval: time.Millisecond, OrderKinds: []string{"orders"}, Log: j.log},
			map[string]uint16{"learnt": 1, "orders": 1})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	old := begin()
	if err := old.SaveSync("learnt", 1, time.Now(), []byte("of the old")); err != nil {
		t.Fatal(err)
	}
	next := begin()
	if r, ok := next.Load("learnt"); !ok || string(r.Payload) != "of the old" {
		t.Errorf("the successor reads %q", r.Payload)
	}
	if err := next.SaveSync("orders", 1, time.Now(), []byte("too soon")); err == nil {
		t.Error("an order is kept in a folder that another process holds")
	}
	next.Save("learnt", 1, time.Now(), func() ([]byte, error) { return []byte("of the new"), nil })
	old.Save("learnt", 1, time.Now(), func() ([]byte, error) { return []byte("last of the old"), nil })
	old.Close()
	limit := time.Now().Add(30 * time.Second)
	for next.SaveSync("orders", 1, time.Now(), []byte("in time")) != nil {
		if time.Now().After(limit) {
			t.Fatalf("the successor never takes the folder: %q", j.lines)
		}
		time.Sleep(10 * time.Millisecond)
	}
	next.Close()
	last := begin()
	defer last.Close()
	for kind, want := range map[string]string{"learnt": "of the new", "orders": "in time"} {
		if r, ok := last.Load(kind); !ok || string(r.Payload) != want {
			t.Errorf("%s: %q, want %q", kind, r.Payload, want)
		}
	}
}

// troubled is a folder whose lock fails, or whose calls hang until it is let go.
type troubled struct {
	*Folder
	lock error
	hang chan struct{} // nil: no call hangs
}

func (f troubled) Lock() (bool, error) {
	if f.lock != nil {
		return false, f.lock
	}
	return f.Folder.Lock()
}

func (f troubled) wait() {
	if f.hang != nil {
		<-f.hang
	}
}

func (f troubled) List() ([]string, error) { f.wait(); return f.Folder.List() }

func (f troubled) Create(n string) (File, error) { f.wait(); return f.Folder.Create(n) }

// A disk that hangs holds up neither the start, nor offers, nor the end, and costs an order its YES; when it answers again
// saving goes on.
func TestHangingDisk(t *testing.T) {
	dir, j := folder(t), &journal{}
	save(t, open(t, dir, "b@s", j), "learnt", 1, "before")
	f, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	hang := make(chan struct{})
	k := StartWriterOn(troubled{Folder: f, hang: hang}, Options{Path: dir, Owner: "b@s", MinInterval: time.Millisecond, Log: j.log}, map[string]uint16{"learnt": 1})
	if _, ok := k.Load("learnt"); ok || !j.has("has not answered in time") {
		t.Errorf("started with %v: %q", ok, j.lines)
	}
	k.Save("learnt", 1, time.Now(), func() ([]byte, error) { return []byte("after"), nil })
	if err := k.SaveSync("orders", 1, time.Now(), []byte("x")); !errors.Is(err, ErrTimeout) {
		t.Errorf("an order on a hanging disk: %v", err)
	}
	close(hang)
	limit := time.Now().Add(30 * time.Second)
	for k.SaveSync("orders", 1, time.Now(), []byte("y")) != nil {
		if time.Now().After(limit) {
			t.Fatalf("it never keeps again: %q", j.lines)
		}
	}
	k.Close()
	s := open(t, dir, "b@s", j)
	for kind, want := range map[string]string{"learnt": "after", "orders": "y"} {
		if r, ok := s.Load(kind, 1); !ok || string(r.Payload) != want {
			t.Errorf("%s: %q, want %q", kind, r.Payload, want)
		}
	}
}

// A folder that can't be locked, as a read-only one, is read and not written to.
func TestFolderThatCannotBeLocked(t *testing.T) {
	dir, j := folder(t), &journal{}
	save(t, open(t, dir, "b@s", j), "learnt", 1, "before")
	f, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	k := StartWriterOn(troubled{Folder: f, lock: errors.New("read-only file system")}, Options{Path: dir, Owner: "b@s", MinInterval: time.Millisecond, Log: j.log},
		map[string]uint16{"learnt": 1})
	defer k.Close()
	if r, ok := k.Load("learnt"); !ok || string(r.Payload) != "before" || !j.has("reading only") {
		t.Errorf("%q, %v: %q", r.Payload, ok, j.lines)
	}
	if err := k.SaveSync("orders", 1, time.Now(), []byte("x")); err == nil {
		t.Error("an order is kept in a folder that can't be locked")
	}
}

// Offers never wait, the newest of a kind is what is saved, and a state that can't be encoded is complained of.
func TestOffers(t *testing.T) {
	dir, j := folder(t), &journal{}
	k, err := StartWriter(Options{Path: dir, Owner: "b@s", MinInterval: time.Hour, Log: j.log}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		k.Save("list", 1, time.Now(), func() ([]byte, error) { return fmt.Append(nil, i), nil })
	}
	k.Save("learnt", 1, time.Now(), func() ([]byte, error) { return nil, errors.New("no number") })
	k.Close()
	if r, ok := open(t, dir, "b@s", j).Load("list", 1); !ok || string(r.Payload) != "999" || r.Generation > 2 {
		t.Errorf("%q of generation %d was saved", r.Payload, r.Generation)
	}
	if !j.has("no number") {
		t.Errorf("no complaint: %q", j.lines)
	}
}

// Repair and inspection agree on what is whole.
func TestInspectAndRepair(t *testing.T) {
	dir, j := folder(t), &journal{}
	s := open(t, dir, "b@s", j)
	save(t, s, "list", 1, "one")
	save(t, s, "list", 1, "two")
	if err := os.WriteFile(filepath.Join(dir, name("orders", 7)), bytes.Repeat([]byte{1}, 80), 0o600); err != nil {
		t.Fatal(err)
	}
	count := func() (whole, bad, aside int) {
		all, err := Inspect(s.fs)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range all {
			switch {
			case f.Aside:
				aside++
			case f.Err != nil:
				bad++
			default:
				whole++
			}
		}
		return
	}
	if whole, bad, aside := count(); whole != 2 || bad != 1 || aside != 0 {
		t.Errorf("%d whole, %d bad, %d aside", whole, bad, aside)
	}
	if n, err := Repair(s.fs, j.log); n != 1 || err != nil {
		t.Errorf("repaired %d, %v", n, err)
	}
	if whole, bad, aside := count(); whole != 2 || bad != 0 || aside != 1 {
		t.Errorf("after repair: %d whole, %d bad, %d aside", whole, bad, aside)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Record{Kind: "list", Owner: "b@s", Version: 1, Generation: 3, SavedAt: time.Unix(1e9, 0), Payload: []byte("{}")}.encode())
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := decode(text)
		if err == nil && !bytes.Equal(r.encode(), text) {
			t.Errorf("%x reads as %+v, which is written otherwise", text, r)
		}
	})
}

func BenchmarkEncode(b *testing.B) { benchmark(b, func(r Record, _ []byte) { r.encode() }) }

func BenchmarkDecode(b *testing.B) {
	benchmark(b, func(_ Record, text []byte) {
		if _, err := decode(text); err != nil {
			b.Fatal(err)
		}
	})
}

// benchmark has states of 12 and of 2,000 upstreams.
func benchmark(b *testing.B, do func(r Record, text []byte)) {
	for _, n := range []int{12, 2000} {
		r := Record{Kind: "learnt", Owner: "b@s", Version: 1, Payload: bytes.Repeat([]byte{'x'}, 300*n)}
		text := r.encode()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				do(r, text)
			}
		})
	}
}
