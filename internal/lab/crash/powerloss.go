package crash

import (
	"errors"
	"maps"
	"slices"
)

// maxUnsynced bounds the unsynced changes of names whose subsets are enumerated. A save has at most four.
const maxUnsynced = 8

// errTooManyUnsynced means that the outcomes of a power loss are too many to enumerate.
var errTooManyUnsynced = errors.New("too many changes without a sync to go through them all")

// forEachPowerLoss calls visit with each folder that a power loss at this moment may leave: with any subset of the
// unsynced changes of names, and for each file that is not synced its previous content, any prefix of the new one, and as
// many zero bytes. Only one file at a time has other than its synced content, since a store writes one at a time.
func (d *Disk) forEachPowerLoss(visit func(*Disk)) error {
	if len(d.unsynced) > maxUnsynced {
		return errTooManyUnsynced
	}
	for subset := range 1 << len(d.unsynced) {
		forEachContent(d.namesAfter(subset), visit)
	}
	return nil
}

// namesAfter returns the names after a power loss that keeps a subset of the unsynced changes: those whose bit is set.
func (d *Disk) namesAfter(subset int) map[string]*inode {
	names := maps.Clone(d.synced)
	for i, change := range d.unsynced {
		if subset&(1<<i) == 0 {
			continue
		}
		if change.file == nil {
			delete(names, change.name)
		} else {
			names[change.name] = change.file
		}
	}
	return names
}

// forEachContent calls visit with each folder that has the given names and contents as a power loss may leave them.
func forEachContent(names map[string]*inode, visit func(*Disk)) {
	synced := map[string][]byte{}
	unsyncedFiles := map[*inode]bool{}
	for name, file := range names {
		synced[name] = file.synced
		if !slices.Equal(file.data, file.synced) {
			unsyncedFiles[file] = true
		}
	}
	visit(newSyncedDisk(synced))
	for file := range unsyncedFiles {
		visitWith := func(content []byte) {
			contents := maps.Clone(synced)
			for name, other := range names {
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
