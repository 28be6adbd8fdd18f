package crash

import (
	"errors"
	"slices"
	"testing"
	"time"

	"sprucehill/internal/durable"
)

// Whatever a power loss or a flipped bit leaves, what is read was written, and no saved state is lost but for the one
// that a flip hits. `balancerctl lab crash` goes through all cases; this is a drawn part.
func TestMatrix(t *testing.T) {
	for _, c := range []struct{ upstreams, every, again int }{{2, 1, 40}, {12, 15, 50}} {
		const seed = 5
		r, err := Run(Saves(3, c.upstreams, seed), c.every, c.again, seed)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range r.Wrong {
			t.Errorf("seed %d, %d upstreams: %s", seed, c.upstreams, w)
		}
		if r.Cuts < 1000 || r.Flips < 500 || r.Again < 20 || r.Newest == 0 || r.Before == 0 || r.Nothing == 0 {
			t.Errorf("the cases ask too little: %+v", *r)
		}
	}
}

// forgetful is a disk that says yes to a sync and forgets it: the matrix has to find what that breaks, or it shows nothing.
type forgetful struct{ *Disk }

func (f forgetful) Create(name string) (durable.File, error) {
	file, err := f.Disk.Create(name)
	return lying{file}, err
}

type lying struct{ durable.File }

func (lying) Sync() error { return nil }

func TestMatrixFindsAMissingSync(t *testing.T) {
	disk := NewDisk()
	m := &matrix{issued: map[string][][]byte{"list": {[]byte("one"), []byte("two")}}, safe: map[string]int{"list": 0}}
	store, err := durable.Open(forgetful{disk}, owner, true, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Save("list", 1, time.Unix(1, 0), []byte("one")); err != nil {
		t.Fatal(err)
	}
	if err := disk.after(func(left *Disk) { m.check(left, "power cut", m.safe, 0) }); err != nil {
		t.Fatal(err)
	}
	if len(m.Wrong) == 0 {
		t.Error("a state that was never synced counts as safe")
	}
}

// A disk that fails, at any call, once or for long, costs saves and nothing else: what was safe is read, and saves work
// again when it does.
func TestFailingDisk(t *testing.T) {
	broken := errors.New("input/output error")
	for _, call := range []string{"create", "write", "sync", "close", "rename", "sync folder", "remove", "list"} {
		for _, long := range []int{1, 5} {
			disk := NewDisk()
			store, err := durable.Open(disk, owner, true, func(string, ...any) {})
			if err != nil {
				t.Fatal(err)
			}
			save := func(text string) error { return store.Save("list", 1, time.Unix(1, 0), []byte(text)) }
			for _, text := range []string{"one", "two", "three"} {
				if err := save(text); err != nil {
					t.Fatal(err)
				}
			}
			left := long
			disk.Fail = func(c string) error {
				if c != call || left == 0 {
					return nil
				}
				left--
				return broken
			}
			written := []string{"three"}
			last := "three" // that is sure
			for range long + 1 {
				text := "x" + last
				written = append(written, text)
				if save(text) == nil {
					last = text
				}
			}
			disk.Fail = nil
			check := func(x *Disk) {
				again, err := durable.Open(x, owner, true, func(string, ...any) {})
				if err != nil {
					t.Fatal(err)
				}
				r, ok := again.Load("list", 1)
				if got := string(r.Payload); !ok || slices.Index(written, got) < slices.Index(written, last) {
					t.Errorf("%s fails %d times: %q is read after a power loss, %q was safe", call, long, got, last)
				}
			}
			if err := disk.after(check); err != nil {
				t.Fatal(err)
			}
			if err := save("good again"); err != nil {
				t.Errorf("%s failed %d times, and saving does not work again: %v", call, long, err)
			}
		}
	}
}
