package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sprucehill/internal/durable"
)

const (
	// maxViolations bounds the violations that a result describes.
	maxViolations = 20

	owner = "b1@site"
	// payloadVersion is the version of all kinds.
	payloadVersion = 1
	// notSaved stands for the generation of a kind of which no save has returned yet.
	notSaved = -1

	// casesStream separates the random numbers that choose the cases from those of GenerateSaves.
	casesStream = 0
	// allBits is the mask that flips a whole byte.
	allBits = 0xff
)

// savedAt is the time of all saves.
var savedAt = time.Unix(1e9, 0)

// Options says which part of the matrix is run.
type Options struct {
	// SampleOneIn runs one case of so many, drawn by the seed; 1: all.
	SampleOneIn int
	// RecoveryCutOneIn cuts the power again at each step of one recovery of so many; 0: of none.
	RecoveryCutOneIn int
	Seed             uint64
}

// Result is what a run has found.
type Result struct {
	// The cases that were run.

	PowerCuts    int
	ByteFlips    int
	RecoveryCuts int // the power was cut again in the recovery from a power cut

	// What was loaded in these cases, of each kind.

	LoadedNewest   int // the newest record that had been saved or was being saved
	LoadedPrevious int // an older one that is allowed
	LoadedNone     int // none, where none had been saved

	// Violations describes cases in which a saved record was lost, or something loaded that was never saved; at most
	// maxViolations. If it is empty all cases passed.
	Violations []string
}

// Cases returns the number of all cases.
func (r *Result) Cases() int {
	return r.PowerCuts + r.ByteFlips + r.RecoveryCuts
}

// matrix is the state of one run.
type matrix struct {
	Result
	options Options
	rng     *rand.Rand
	// issued is the payloads given to the store, by kind and generation.
	issued map[string][][]byte
	// safe is the newest generation whose save has returned without an error, by kind; or notSaved.
	safe map[string]int
	// err is the first error that made the run incomplete.
	err error
}

// Run performs the saves on an emulated disk, cuts the power at each step in each way that a disk may leave, and at the
// end flips each byte of each file.
func Run(saves []Save, options Options) (*Result, error) {
	m := &matrix{
		options: options,
		rng:     rand.New(rand.NewPCG(options.Seed, casesStream)),
		issued:  map[string][][]byte{},
		safe:    map[string]int{},
	}
	disk := NewDisk()
	disk.onChange = func() { m.cutPower(disk) }
	store, err := openStore(disk)
	if err != nil {
		return nil, err
	}
	for _, s := range saves {
		if err := m.save(store, s); err != nil {
			return nil, err
		}
	}
	if m.err != nil {
		return nil, m.err
	}
	m.flipBytes(disk)
	return &m.Result, nil
}

// save saves a state and records that it was issued, and then that it is safe.
func (m *matrix) save(store *durable.Store, s Save) error {
	if _, known := m.safe[s.Kind]; !known {
		m.safe[s.Kind] = notSaved
	}
	m.issued[s.Kind] = append(m.issued[s.Kind], s.Payload)
	if err := store.Save(s.Kind, payloadVersion, savedAt, s.Payload); err != nil {
		return err
	}
	m.safe[s.Kind] = len(m.issued[s.Kind]) - 1
	return nil
}

// cutPower checks the recovery from each folder that a power loss may leave now.
func (m *matrix) cutPower(disk *Disk) {
	err := disk.forEachPowerLoss(func(remaining *Disk) {
		if !m.draw(m.options.SampleOneIn) {
			return
		}
		m.PowerCuts++
		const description = "power cut"
		if m.options.RecoveryCutOneIn > 0 && m.draw(m.options.RecoveryCutOneIn) {
			m.cutPowerInRecovery(remaining, description)
		}
		m.checkRecovery(remaining, description, m.safe)
	})
	m.noteError(err)
}

// cutPowerInRecovery makes the recovery on a disk have a power loss of its own at each of its steps.
func (m *matrix) cutPowerInRecovery(disk *Disk, description string) {
	disk.onChange = func() {
		err := disk.forEachPowerLoss(func(remaining *Disk) {
			m.RecoveryCuts++
			m.checkRecovery(remaining, description+", and again in the recovery", m.safe)
		})
		m.noteError(err)
	}
}

// flipBytes changes each byte of each file in turn: one of its bits, and then all of them.
func (m *matrix) flipBytes(disk *Disk) {
	required := map[string]int{} // a flip may cost one record of a kind, not two
	for kind, generation := range m.safe {
		required[kind] = generation - 1
	}
	for name, file := range disk.current {
		for offset := range file.data {
			for _, mask := range []byte{1 << m.rng.IntN(8), allBits} {
				if !m.draw(m.options.SampleOneIn) {
					continue
				}
				m.ByteFlips++
				description := fmt.Sprintf("byte %d of %s flipped by %02x", offset, name, mask)
				m.checkRecovery(flipped(disk, name, offset, mask), description, required)
			}
		}
	}
}

// flipped returns a copy of a disk on which some bits of one byte are flipped.
func flipped(disk *Disk, name string, offset int, mask byte) *Disk {
	files := map[string][]byte{}
	for other, file := range disk.current {
		files[other] = file.data
	}
	content := slices.Clone(files[name])
	content[offset] ^= mask
	files[name] = content
	return newSyncedDisk(files)
}

// checkRecovery opens a store on a disk and compares what it loads with what was saved. required is the oldest generation
// that may be loaded, by kind; if it is negative there may be none.
func (m *matrix) checkRecovery(disk *Disk, description string, required map[string]int) {
	defer func() {
		if r := recover(); r != nil {
			m.addViolation("%s: the store panics: %v", description, r)
		}
	}()
	store, err := openStore(disk)
	if err != nil {
		m.addViolation("%s: the folder does not open: %v", description, err)
		return
	}
	store.BeginRecovery(kindOrders)
	for kind, generation := range required {
		m.checkLoad(store, kind, description, generation)
	}
	store.MarkRecovered()
}

// checkLoad compares what a store loads of a kind with what was saved.
func (m *matrix) checkLoad(store *durable.Store, kind, description string, required int) {
	issued := m.issued[kind]
	r, ok := store.Load(kind, payloadVersion)
	switch {
	case !ok && required >= 0:
		m.addViolation("%s: nothing of %s is left, generation %d was safe", description, kind, required)
	case !ok:
		m.LoadedNone++
	case r.Generation >= uint64(len(issued)) || !slices.Equal(r.Payload, issued[r.Generation]):
		m.addViolation("%s: %s of generation %d was never written so", description, kind, r.Generation)
	case int(r.Generation) < required:
		m.addViolation("%s: %s of generation %d, %d was safe", description, kind, r.Generation, required)
	case int(r.Generation) == len(issued)-1:
		m.LoadedNewest++
	default:
		m.LoadedPrevious++
	}
}

func (m *matrix) addViolation(format string, args ...any) {
	if len(m.Violations) < maxViolations {
		m.Violations = append(m.Violations, fmt.Sprintf(format, args...))
	}
}

// draw returns true once in oneIn calls on average; always if oneIn is 1 or less.
func (m *matrix) draw(oneIn int) bool {
	return oneIn <= 1 || m.rng.IntN(oneIn) == 0
}

// noteError keeps the first error.
func (m *matrix) noteError(err error) {
	if m.err == nil {
		m.err = err
	}
}

// openStore opens a store on an emulated disk, without a log.
func openStore(fs durable.FS) (*durable.Store, error) {
	return durable.OpenStore(fs, owner, durable.ReadWrite, func(string, ...any) {})
}
