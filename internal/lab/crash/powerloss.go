package crash

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// maxUnsyncedChanges limits the unsynced changes of directory entries, since all subsets of them are enumerated. A save has at
// most four.
const maxUnsyncedChanges = 8

// errTooManyUnsyncedChanges means that a power loss has too many possible outcomes to enumerate.
var errTooManyUnsyncedChanges = errors.New("too many unsynced changes of directory entries")

// forEachPowerLossOutcome calls visit with each folder that a power loss at this moment may leave. The folders have any subset
// of the unsynced changes of directory entries. An unsynced file has its previous content, any prefix of the new content, or
// zero bytes in the length of the new content. In each folder at most one file has other than its synced content, since a
// store writes one file at a time.
func (d *Disk) forEachPowerLossOutcome(visit func(*Disk)) error {
	if len(d.unsyncedChanges) > maxUnsyncedChanges {
		return fmt.Errorf("enumerate outcomes of a power loss: %w: %d, at most %d are supported",
			errTooManyUnsyncedChanges, len(d.unsyncedChanges), maxUnsyncedChanges)
	}
	for subset := range 1 << len(d.unsyncedChanges) {
		forEachContent(d.entriesAfter(subset), visit)
	}
	return nil
}

// entriesAfter returns the directory entries after a power loss. subset is a bit mask of the unsynced changes that survive.
func (d *Disk) entriesAfter(subset int) map[string]*inode {
	entries := maps.Clone(d.syncedEntries)
	for i, change := range d.unsyncedChanges {
		if subset&(1<<i) == 0 {
			continue
		}
		if change.file == nil {
			delete(entries, change.name)
		} else {
			entries[change.name] = change.file
		}
	}
	return entries
}

// forEachContent calls visit with each folder that has the given directory entries and file contents that a power loss may
// leave.
func forEachContent(entries map[string]*inode, visit func(*Disk)) {
	synced := map[string][]byte{}
	unsyncedFiles := map[*inode]bool{}
	for name, file := range entries {
		synced[name] = file.synced
		if !slices.Equal(file.data, file.synced) {
			unsyncedFiles[file] = true
		}
	}
	visit(newSyncedDisk(synced))
	for file := range unsyncedFiles {
		visitWith := func(content []byte) {
			contents := maps.Clone(synced)
			for name, other := range entries {
				if other == file {
					contents[name] = content
				}
			}
			visit(newSyncedDisk(contents))
		}
		for length := range len(file.data) + 1 {
			visitWith(file.data[:length])
		}
		visitWith(make([]byte, len(file.data)))
	}
}
