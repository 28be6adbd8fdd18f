// Package durable saves the state that a balancer restores after a restart, a crash or a power loss. The state consists of
// records of a few kinds. Each save replaces the whole record of its kind.
//
// # On-disk layout
//
// All files of a balancer are in one directory, the state folder:
//
//	KIND-GENERATION.state          a record; GENERATION has 16 hexadecimal digits and counts the saves of the kind
//	KIND.new                       temporary file of a record that is being written; never read
//	aside.KIND-GENERATION.state    a quarantined record; aside.N.KIND-GENERATION.state where that name was taken
//	starts                         number of consecutive starts that have not completed their recovery
//	lock                           file on which the writing process holds a lock
//
// The format of a record is described in record.go.
//
// # Guarantees
//
// After a crash or a power loss, the record of each kind is the one whose save last returned without an error, or a later
// one. A record that was being saved is present completely or not at all. Only records that this balancer wrote are loaded.
// Checksums cover the whole file: a file that differs in any bit from what was written is not used.
//
// Records of different kinds may date from different moments.
//
// # Implementation
//
// A save writes a temporary file, syncs it, renames it, syncs the folder, and only then removes the record before the
// previous one. The folder therefore retains two records of a kind: if the newest is unusable the previous one is loaded,
// and if neither is usable, none. An unusable file is quarantined: it is renamed so that an operator can examine it, and is
// never loaded or deleted by this package. A failed sync fails the save: the file is not renamed, and the next save writes
// a new one from memory.
//
// # Errors
//
// Callers compare errors with errors.Is and the Err variables of this package. A RecordError names the file, kind and
// generation that the error is about, a CorruptError the Damage, and a FolderError the reason for which a folder is refused.
// OperatorText has the wording that operators see.
//
// # Ownership and goroutines
//
// A Store does the file operations. It has no goroutine, clock or lock of its own: the FS and the log are passed in, and
// it is used from one goroutine at a time.
//
// A Writer owns a Store and the Folder's lock, and uses both from a single goroutine, which runs from StartWriter to
// Close. Its methods may be called from any goroutine, and bound how long they wait for the disk. One process at a time
// holds the lock. A second process on the same folder, as during an upgrade, loads the saved records, and writes once it
// has acquired the lock.
package durable
