package crash

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"sprucehill/internal/durable"
)

func mustOpenStore(t *testing.T, fs durable.FS) *durable.Store {
	t.Helper()
	store, err := openStore(fs)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// Whatever a power loss or a flipped bit leaves, what is loaded was saved, and no saved record is lost but for the one that
// a flip hits. `balancerctl lab crash` runs all cases; this is a sample of them.
func TestMatrixFindsNoViolation(t *testing.T) {
	for _, c := range []struct{ upstreams, sampleOneIn, recoveryCutOneIn int }{
		{upstreams: 2, sampleOneIn: 1, recoveryCutOneIn: 40},
		{upstreams: 12, sampleOneIn: 15, recoveryCutOneIn: 50},
	} {
		t.Run(fmt.Sprintf("%d upstreams", c.upstreams), func(t *testing.T) {
			const seed = 5
			options := Options{SampleOneIn: c.sampleOneIn, RecoveryCutOneIn: c.recoveryCutOneIn, Seed: seed}
			r, err := Run(GenerateSaves(3, c.upstreams, seed), options)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range r.Violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
			if r.PowerCuts < 1000 || r.ByteFlips < 500 || r.RecoveryCuts < 20 {
				t.Errorf("too few cases: %+v", *r)
			}
			if r.LoadedNewest == 0 || r.LoadedPrevious == 0 || r.LoadedNone == 0 {
				t.Errorf("the cases are too much alike: %+v", *r)
			}
		})
	}
}

// unsyncedDisk reports success for a sync of a file without doing it. The matrix has to find what that breaks.
type unsyncedDisk struct{ *Disk }

func (d unsyncedDisk) Create(name string) (durable.File, error) {
	file, err := d.Disk.Create(name)
	return unsyncedFile{file}, err
}

type unsyncedFile struct{ durable.File }

func (unsyncedFile) Sync() error { return nil }

func TestMatrixFindsMissingSync(t *testing.T) {
	disk := NewDisk()
	m := &matrix{
		issued: map[string][][]byte{kindList: {[]byte("one"), []byte("two")}},
		safe:   map[string]int{kindList: 0},
	}
	store := mustOpenStore(t, unsyncedDisk{disk})
	if err := store.Save(kindList, payloadVersion, savedAt, []byte("one")); err != nil {
		t.Fatal(err)
	}
	err := disk.forEachPowerLoss(func(remaining *Disk) { m.checkRecovery(remaining, "power cut", m.safe) })
	if err != nil {
		t.Fatal(err)
	}
	if len(m.Violations) == 0 {
		t.Error("a record that was never synced counts as safe")
	}
}

// A disk on which an operation fails, once or several times, fails saves and has no other effect: what was safe is loaded,
// and saves succeed again when the operation does.
func TestSavesOnFailingDisk(t *testing.T) {
	operations := []Operation{OpCreate, OpWrite, OpSync, OpClose, OpRename, OpSyncFolder, OpRemove, OpList}
	for _, op := range operations {
		for _, failures := range []int{1, 5} {
			t.Run(fmt.Sprintf("%s fails %d times", op, failures), func(t *testing.T) {
				testSavesOnFailingDisk(t, op, failures)
			})
		}
	}
}

func testSavesOnFailingDisk(t *testing.T, op Operation, failures int) {
	t.Helper()
	disk := NewDisk()
	store := mustOpenStore(t, disk)
	save := func(text string) error { return store.Save(kindList, payloadVersion, savedAt, []byte(text)) }
	for _, text := range []string{"one", "two", "three"} {
		if err := save(text); err != nil {
			t.Fatal(err)
		}
	}

	lastSafe := "three"
	issued := []string{lastSafe}
	disk.InjectFault = failFirst(op, failures)
	for range failures + 1 {
		text := "x" + lastSafe
		issued = append(issued, text)
		if save(text) == nil {
			lastSafe = text
		}
	}
	disk.InjectFault = nil

	err := disk.forEachPowerLoss(func(remaining *Disk) {
		r, ok := mustOpenStore(t, remaining).Load(kindList, payloadVersion)
		if got := string(r.Payload); !ok || slices.Index(issued, got) < slices.Index(issued, lastSafe) {
			t.Errorf("%q is loaded after a power loss, %q was safe", got, lastSafe)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := save("good again"); err != nil {
		t.Errorf("saving does not work again: %v", err)
	}
}

// failFirst returns an InjectFault that makes the first calls of an operation fail.
func failFirst(op Operation, failures int) func(Operation) error {
	return func(called Operation) error {
		if called != op || failures == 0 {
			return nil
		}
		failures--
		return errors.New("input/output error")
	}
}
