package durable

// FS is the state folder as a Store uses it. Names are file names without a path.
type FS interface {
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// ReadFile returns the content of a file. Of a file that is larger than any record it returns the beginning and an
	// error.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing. An existing one is truncated.
	Create(name string) (File, error)
	// Rename renames a file. An existing one of the new name is replaced.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// File is a file that is being written.
type File interface {
	// Write appends p. It returns an error if it has not written all of it.
	Write(p []byte) (int, error)
	// Sync makes what was written durable.
	Sync() error
	// Close ends the writing. It does not make anything durable.
	Close() error
}

// LockableFS is an FS that at most one process at a time may write to.
type LockableFS interface {
	FS
	// Lock takes the lock until Close or the end of the process. It returns false if another process holds it.
	Lock() (bool, error)
	// Close releases the lock.
	Close() error
}

// LogFunc writes a log line: a constant message, and alternating keys and values. A Writer calls it from its goroutine.
type LogFunc func(message string, keysAndValues ...any)
