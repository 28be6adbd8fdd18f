// Package durable stores the state that a balancer needs again after its process has ended in any way: records of a few
// kinds, each replaced as a unit.
//
// # On-disk layout
//
// All files of a balancer are in one directory, the state folder:
//
//	KIND-GENERATION.state          a record; GENERATION has 16 hexadecimal digits and counts the saves of the kind
//	KIND.new                       a record that is being written; never read
//	aside.KIND-GENERATION.state    a quarantined record; aside.N.KIND-GENERATION.state where that name was taken
//	starts                         how many starts in a row have not completed their recovery
//	lock                           the file that the writing process has locked
//
// The format of a record is described in record.go.
//
// # Guarantees
//
// After a crash or a power loss, each kind has the record whose save returned without an error last, or a later one. A
// record that was being saved is there completely or not at all. What is loaded was written by this balancer and is
// checksummed: a file that differs from what was written in any bit is not used.
//
// Records of different kinds are not guaranteed to be of the same moment.
//
// # How
//
// A save writes a new file, syncs it, renames it, syncs the folder, and only then removes the record before the previous
// one. So there are always two records of a kind: if the newest is unusable the previous one is loaded, and if neither is
// usable, none. An unusable file is quarantined: it is renamed for somebody to examine, and never read or deleted by this
// package. A failed sync fails its save: the file is not renamed, and the next save writes a new one from memory.
//
// # Errors
//
// Callers compare errors with errors.Is and the Err variables of this package. A RecordError has the file, kind and
// generation that an error is about; a CorruptError has the Damage; a FolderError says why a folder is refused. The words
// that operators see are those of OperatorText.
//
// # Ownership and goroutines
//
// A Store does the file operations. It has no goroutine, clock or lock of its own: the FS and the log are passed in, and
// it is used from one goroutine at a time.
//
// A Writer owns a Store and the Folder's lock, and uses both from a single goroutine, which runs from StartWriter to
// Close. Its methods may be called from any goroutine, and bound how long they wait for the disk. One process at a time
// holds the lock; another one on the same folder, as during an upgrade, loads what is there and writes when it gets the
// lock.
package durable
