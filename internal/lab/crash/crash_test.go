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

// After a power loss or a flipped bit only saved records are loaded, and no acknowledged record is lost except for the one
// that a flip damages. `balancerctl lab crash` checks all cases, this test a sample of them.
func TestMatrixFindsNoViolation(t *testing.T) {
	for _, c := range []struct{ upstreams, sampleOneIn, recoveryCutOneIn int }{
		{upstreams: 2, sampleOneIn: 1, recoveryCutOneIn: 40},
		{upstreams: 12, sampleOneIn: 15, recoveryCutOneIn: 50},
	} {
		t.Run(fmt.Sprintf("%d upstreams", c.upstreams), func(t *testing.T) {
			const seed = 5
			options := Options{SampleOneIn: c.sampleOneIn, RecoveryPowerLossOneIn: c.recoveryCutOneIn, Seed: seed}
			result, err := Run(GenerateSaves(3, c.upstreams, seed), options)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range result.Violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
			if result.PowerLosses < 1000 || result.ByteFlips < 500 || result.RecoveryPowerLosses < 20 {
				t.Errorf("too few cases: %+v", *result)
			}
			if result.LoadedNewest == 0 || result.LoadedPrevious == 0 || result.LoadedNone == 0 {
				t.Errorf("the cases do not cover all load results: %+v", *result)
			}
		})
	}
}

// unsyncedDisk is a Disk whose files report success for a sync that they do not perform.
type unsyncedDisk struct{ *Disk }

func (d unsyncedDisk) Create(name string) (durable.File, error) {
	file, err := d.Disk.Create(name)
	return unsyncedFile{file}, err
}

type unsyncedFile struct{ durable.File }

func (unsyncedFile) Sync() error { return nil }

// If the sync of a file is missing, the matrix reports a lost record.
func TestMatrixFindsMissingSync(t *testing.T) {
	disk := NewDisk()
	m := &matrix{
		issued:       map[string][][]byte{kindList: {[]byte("one"), []byte("two")}},
		acknowledged: map[string]int{kindList: 0},
	}
	store := mustOpenStore(t, unsyncedDisk{disk})
	if err := store.Save(kindList, payloadVersion, savedAt, []byte("one")); err != nil {
		t.Fatal(err)
	}
	err := disk.forEachPowerLossOutcome(func(remaining *Disk) { m.checkRecovery(remaining, "power loss", m.acknowledged) })
	if err != nil {
		t.Fatal(err)
	}
	if len(m.Violations) == 0 {
		t.Error("no violation found, although the acknowledged record was never synced")
	}
}

// If an operation of the disk fails, once or several times, only saves fail. After a power loss, the last acknowledged record
// is loaded, or a later one that was written although its save returned an error. Saves succeed again as soon as the
// operation does.
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

	lastAcknowledged := "three"
	issued := []string{lastAcknowledged}
	disk.InjectFault = failFirst(op, failures)
	for range failures + 1 {
		text := "x" + lastAcknowledged
		issued = append(issued, text)
		if save(text) == nil {
			lastAcknowledged = text
		}
	}
	disk.InjectFault = nil

	err := disk.forEachPowerLossOutcome(func(remaining *Disk) {
		r, ok := mustOpenStore(t, remaining).Load(kindList, payloadVersion)
		if got := string(r.Payload); !ok || slices.Index(issued, got) < slices.Index(issued, lastAcknowledged) {
			t.Errorf("loaded %q after a power loss, want %q or a later record", got, lastAcknowledged)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := save("after the faults"); err != nil {
		t.Errorf("saving still fails after the faults have ended: %v", err)
	}
}

// failFirst returns a function for Disk.InjectFault that makes the first calls of an operation fail.
func failFirst(op Operation, failures int) func(Operation) error {
	return func(called Operation) error {
		if called != op || failures == 0 {
			return nil
		}
		failures--
		return errors.New("input/output error")
	}
}
