package durable

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

const (
	// maxFailedRecoveries is how many starts in a row may end before they have recovered until the loaded state is
	// assumed to be the cause.
	maxFailedRecoveries = 3
	// maxFailedRecoveriesForOrders is the same for operators' orders, which are given up last.
	maxFailedRecoveriesForOrders = 2 * maxFailedRecoveries

	startsFile = "starts"
	// startsFileSize is the size of the file of the count, in bytes. Each byte is the count: if they differ, the file
	// is damaged and counts as 0.
	startsFileSize = 8
)

// BeginRecovery counts a start. It breaks a crash loop: if several starts in a row have not reached MarkRecovered, it
// quarantines what they loaded, but the records of orderKinds only after twice as many.
func (s *Store) BeginRecovery(orderKinds ...string) {
	if s.access == ReadOnly {
		return
	}
	failed := s.readFailedRecoveries()
	if failed >= maxFailedRecoveries {
		s.quarantineLoaded(failed, orderKinds)
	}
	s.writeFailedRecoveries(min(failed+1, maxFailedRecoveriesForOrders))
}

// quarantineLoaded quarantines all records that failed recoveries may have loaded.
func (s *Store) quarantineLoaded(failed int, orderKinds []string) {
	kinds, _ := s.Kinds() // if the folder can't be listed, nothing is loaded either
	for _, kind := range kinds {
		if slices.Contains(orderKinds, kind) && failed < maxFailedRecoveriesForOrders {
			continue
		}
		names, _ := s.recordFiles(kind)
		for _, name := range names {
			s.quarantine(name, fmt.Errorf("%w: %d starts in a row ended before they had recovered", ErrCrashLoop, failed))
		}
	}
}

// MarkRecovered notes that the recovery that BeginRecovery has counted is complete.
func (s *Store) MarkRecovered() {
	if s.access == ReadOnly {
		return
	}
	s.writeFailedRecoveries(0)
}

// readFailedRecoveries returns how many starts in a row have not recovered; 0 if the count is missing or damaged.
func (s *Store) readFailedRecoveries() int {
	content, err := s.fs.ReadFile(startsFile)
	if err != nil || len(content) != startsFileSize {
		return 0
	}
	if bytes.Count(content, content[:1]) != startsFileSize {
		return 0
	}
	return int(content[0])
}

// writeFailedRecoveries writes the count without a sync: what a process has written survives its crash, and a power loss
// ends a crash loop anyway.
func (s *Store) writeFailedRecoveries(count int) {
	f, err := s.fs.Create(startsFile)
	if err == nil {
		_, err = f.Write(bytes.Repeat([]byte{byte(count)}, startsFileSize))
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		s.log("start count not saved", "err", err)
	}
}
