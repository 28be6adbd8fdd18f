package durable

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

const (
	// maxFailedRecoveries is the number of consecutive starts without a complete recovery after which the loaded state is
	// assumed to be the cause.
	maxFailedRecoveries = 3
	// maxFailedRecoveriesForOrders is the corresponding number for operators' orders, which are quarantined last.
	maxFailedRecoveriesForOrders = 2 * maxFailedRecoveries

	failedRecoveriesFile = "starts"
	// failedRecoveriesFileSize is the size of failedRecoveriesFile, in bytes. Each byte holds the same count: if the bytes
	// differ, the file is damaged and the count is taken as 0.
	failedRecoveriesFileSize = 8
)

// BeginRecovery counts a start. If maxFailedRecoveries consecutive starts before it have not reached MarkRecovered, it ends
// the crash loop by quarantining the records that they may have loaded. The records of orderKinds, which hold operators'
// orders, are quarantined only after maxFailedRecoveriesForOrders such starts.
func (s *Store) BeginRecovery(orderKinds ...string) {
	if s.access == ReadOnly {
		return
	}
	failed := s.readFailedRecoveries()
	if failed >= maxFailedRecoveries {
		s.quarantineLoadedRecords(failed, orderKinds)
	}
	s.writeFailedRecoveries(min(failed+1, maxFailedRecoveriesForOrders))
}

// quarantineLoadedRecords quarantines all records that the failed recoveries may have loaded.
func (s *Store) quarantineLoadedRecords(failed int, orderKinds []string) {
	kinds, _ := s.Kinds() // if the folder can't be listed, no record can be loaded either
	for _, kind := range kinds {
		if slices.Contains(orderKinds, kind) && failed < maxFailedRecoveriesForOrders {
			continue
		}
		names, _ := s.recordFiles(kind)
		for _, name := range names {
			s.quarantine(name, fmt.Errorf("%w: %d consecutive starts did not complete their recovery", ErrCrashLoop, failed))
		}
	}
}

// MarkRecovered records that the recovery that BeginRecovery counted is complete: it sets the count to 0.
func (s *Store) MarkRecovered() {
	if s.access == ReadOnly {
		return
	}
	s.writeFailedRecoveries(0)
}

// readFailedRecoveries returns the number of consecutive starts without a complete recovery; 0 if the file is missing or
// damaged.
func (s *Store) readFailedRecoveries() int {
	content, err := s.fs.ReadFile(failedRecoveriesFile)
	if err != nil || len(content) != failedRecoveriesFileSize {
		return 0
	}
	if bytes.Count(content, content[:1]) != failedRecoveriesFileSize {
		return 0
	}
	return int(content[0])
}

// writeFailedRecoveries writes the count without a sync: written data survive a crash of the process, and a power loss
// ends a crash loop anyway.
func (s *Store) writeFailedRecoveries(count int) {
	f, err := s.fs.Create(failedRecoveriesFile)
	if err == nil {
		_, err = f.Write(bytes.Repeat([]byte{byte(count)}, failedRecoveriesFileSize))
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		s.log("failed recovery count not saved", "err", err)
	}
}
