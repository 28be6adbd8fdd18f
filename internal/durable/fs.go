package durable

// FS is the interface through which a Store accesses its state folder. Names are file names without a path.
type FS interface {
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// ReadFile returns the content of a file. For a file that is larger than any record it returns the beginning and an
	// error.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing. An existing file is truncated.
	Create(name string) (File, error)
	// Rename renames a file. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// File is a file that is being written.
type File interface {
	// Write appends p. It returns an error if it did not write all of p.
	Write(p []byte) (int, error)
	// Sync makes the written content durable.
	Sync() error
	// Close closes the file. It does not make the written content durable.
	Close() error
}

// LockableFS is an FS with a lock, which at most one process at a time holds. Only the holder may write.
type LockableFS interface {
	FS
	// Lock takes the lock until Close or the end of the process. It returns false if another process holds it.
	Lock() (bool, error)
	// Close releases the lock.
	Close() error
}

// LogFunc writes a log line: a constant message, and alternating keys and values. A Writer calls it from its goroutine.
type LogFunc func(message string, keysAndValues ...any)
