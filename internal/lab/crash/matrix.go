package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sprucehill/internal/durable"
)

const (
	// maxViolations limits the number of violations that a Result describes.
	maxViolations = 20

	owner = "b1@site"
	// payloadVersion is the payload version of all kinds.
	payloadVersion = 1
	// noneAcknowledged takes the place of a generation for a kind without an acknowledged save.
	noneAcknowledged = -1

	// casesStream makes the random numbers that sample the cases independent of those of GenerateSaves.
	casesStream = 0
	// allBits is the mask that flips all bits of a byte.
	allBits = 0xff
)

// savedAt is the time stamp of all saved records.
var savedAt = time.Unix(1e9, 0)

// Options selects the cases that Run checks.
type Options struct {
	// SampleOneIn is n if one case in n is checked, chosen at random by the seed; 1 checks all cases.
	SampleOneIn int
	// RecoveryPowerLossOneIn is n if a second power loss at each step of the recovery is checked in one recovery in n, chosen at
	// random by the seed; 0 checks none.
	RecoveryPowerLossOneIn int
	// Seed determines the sample.
	Seed uint64
}

// Result has the counts and violations of a run.
type Result struct {
	// The numbers of cases that were checked.

	PowerLosses         int // folders that a power loss may leave
	ByteFlips           int // folders with flipped bits in one byte
	RecoveryPowerLosses int // folders that a second power loss, during the recovery from the first, may leave

	// The results of loading each kind in these cases.

	LoadedNewest   int // the newest record that was saved or being saved
	LoadedPrevious int // an older record, where that is allowed
	LoadedNone     int // no record, where that is allowed

	// Violations describes the cases in which an acknowledged record was lost, or a record was loaded that was never saved;
	// at most maxViolations of them. If it is empty all cases passed.
	Violations []string
}

// Cases returns the number of all checked cases.
func (r *Result) Cases() int {
	return r.PowerLosses + r.ByteFlips + r.RecoveryPowerLosses
}

// matrix is the state of one run.
type matrix struct {
	Result
	options Options
	rng     *rand.Rand
	// issued are the payloads passed to durable.Store.Save, by kind and generation.
	issued map[string][][]byte
	// acknowledged is the newest generation whose save has returned without an error, by kind; or
	// noneAcknowledged.
	acknowledged map[string]int
	// err is the first error that prevented a check.
	err error
}

// Run performs the saves on an emulated disk. At each step it checks the recovery from each folder that a power loss may
// leave, and after the last save the recovery from flipped bits in each byte of each file.
func Run(saves []Save, options Options) (*Result, error) {
	m := &matrix{
		options:      options,
		rng:          rand.New(rand.NewPCG(options.Seed, casesStream)),
		issued:       map[string][][]byte{},
		acknowledged: map[string]int{},
	}
	disk := NewDisk()
	disk.onChange = func() { m.checkPowerLosses(disk) }
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
	m.checkByteFlips(disk)
	return &m.Result, nil
}

// save saves a state, and records it as issued before and as acknowledged after.
func (m *matrix) save(store *durable.Store, s Save) error {
	if _, known := m.acknowledged[s.Kind]; !known {
		m.acknowledged[s.Kind] = noneAcknowledged
	}
	m.issued[s.Kind] = append(m.issued[s.Kind], s.Payload)
	if err := store.Save(s.Kind, payloadVersion, savedAt, s.Payload); err != nil {
		return err
	}
	m.acknowledged[s.Kind] = len(m.issued[s.Kind]) - 1
	return nil
}

// checkPowerLosses checks the recovery from each folder that a power loss at this moment may leave.
func (m *matrix) checkPowerLosses(disk *Disk) {
	err := disk.forEachPowerLossOutcome(func(remaining *Disk) {
		if !m.sample(m.options.SampleOneIn) {
			return
		}
		m.PowerLosses++
		const description = "power loss"
		if m.options.RecoveryPowerLossOneIn > 0 && m.sample(m.options.RecoveryPowerLossOneIn) {
			m.checkPowerLossesInRecovery(remaining, description)
		}
		m.checkRecovery(remaining, description, m.acknowledged)
	})
	m.keepFirstError(err)
}

// checkPowerLossesInRecovery arranges that a second power loss is checked at each step of the following recovery on a disk.
func (m *matrix) checkPowerLossesInRecovery(disk *Disk, description string) {
	disk.onChange = func() {
		err := disk.forEachPowerLossOutcome(func(remaining *Disk) {
			m.RecoveryPowerLosses++
			m.checkRecovery(remaining, description+", and another in the recovery", m.acknowledged)
		})
		m.keepFirstError(err)
	}
}

// checkByteFlips checks the recovery after one bit, and after all bits, of each byte of each file have flipped.
func (m *matrix) checkByteFlips(disk *Disk) {
	required := map[string]int{} // a flip damages one file, so the newest or the previous record is valid
	for kind, generation := range m.acknowledged {
		required[kind] = generation - 1
	}
	for name, file := range disk.currentEntries {
		for offset := range file.data {
			for _, mask := range []byte{1 << m.rng.IntN(8), allBits} {
				if !m.sample(m.options.SampleOneIn) {
					continue
				}
				m.ByteFlips++
				description := fmt.Sprintf("byte %d of %s flipped with mask %02x", offset, name, mask)
				m.checkRecovery(withFlippedBits(disk, name, offset, mask), description, required)
			}
		}
	}
}

// withFlippedBits returns a copy of a disk in which the bits of mask are flipped in one byte of one file.
func withFlippedBits(disk *Disk, name string, offset int, mask byte) *Disk {
	files := map[string][]byte{}
	for other, file := range disk.currentEntries {
		files[other] = file.data
	}
	content := slices.Clone(files[name])
	content[offset] ^= mask
	files[name] = content
	return newSyncedDisk(files)
}

// checkRecovery opens a store on a disk and compares the records that it loads with those that were saved. required is the
// oldest generation that may be loaded, by kind; if it is negative the store may also load none.
func (m *matrix) checkRecovery(disk *Disk, description string, required map[string]int) {
	defer func() {
		if r := recover(); r != nil {
			m.addViolation("%s: recovery panicked: %v", description, r)
		}
	}()
	store, err := openStore(disk)
	if err != nil {
		m.addViolation("%s: opening the store failed: %v", description, err)
		return
	}
	store.BeginRecovery(kindOrders)
	for kind, generation := range required {
		m.checkLoad(store, kind, description, generation)
	}
	store.MarkRecovered()
}

// checkLoad compares the record that a store loads of a kind with those that were saved.
func (m *matrix) checkLoad(store *durable.Store, kind, description string, required int) {
	issued := m.issued[kind]
	r, ok := store.Load(kind, payloadVersion)
	switch {
	case !ok && required >= 0:
		m.addViolation("%s: no %s record loaded, want generation %d or later", description, kind, required)
	case !ok:
		m.LoadedNone++
	case r.Generation >= uint64(len(issued)) || !slices.Equal(r.Payload, issued[r.Generation]):
		m.addViolation("%s: loaded %s record of generation %d was never saved with this payload", description, kind, r.Generation)
	case int(r.Generation) < required:
		m.addViolation("%s: loaded %s record of generation %d, want %d or later", description, kind, r.Generation, required)
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

// sample returns true at random, on average in one call in oneIn; always if oneIn is 1 or less.
func (m *matrix) sample(oneIn int) bool {
	return oneIn <= 1 || m.rng.IntN(oneIn) == 0
}

func (m *matrix) keepFirstError(err error) {
	if m.err == nil {
		m.err = err
	}
}

// openStore opens a store on an emulated disk and discards its log lines.
func openStore(fs durable.FS) (*durable.Store, error) {
	return durable.OpenStore(fs, owner, durable.ReadWrite, func(string, ...any) {})
}
