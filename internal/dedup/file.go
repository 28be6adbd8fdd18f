package dedup

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxProcesses bounds the processes that share a file at a time. An upgrade needs two.
	maxProcesses = 4
	// setupLock is the offset of the byte whose lock a process holds while it opens or closes the file. The bytes from 0 on are
	// the locks of the regions. Locks do not need the bytes to exist.
	setupLock = 1 << 30
	// setupAttempts and setupRetryDelay bound the wait for another process that opens or closes the file.
	setupAttempts   = 20
	setupRetryDelay = 10 * time.Millisecond

	fileMode os.FileMode = 0o600
)

// Errors of OpenFile. Others are those of the operating system.
var (
	// ErrTooManyProcesses means that all regions of the file belong to running processes.
	ErrTooManyProcesses = errors.New("too many processes share the file")
	// ErrBusy means that another process has held the setup lock for too long.
	ErrBusy = errors.New("another process is opening or closing the file")
)

// File is the file that the processes of an upgrade share. It has a region for each of them.
type File struct {
	path   string
	file   *os.File
	region int // of this process
}

// OpenFile opens the shared file at a path, and creates it if it is missing. It reserves the space of one region, so that writes
// do not fail for lack of space, and waits at most 0.2 s for other processes.
func OpenFile(path string) (*File, error) {
	f, err := openLocked(path)
	if err != nil {
		return nil, fmt.Errorf("opening the shared file of request IDs: %w", err)
	}
	defer f.unlock(setupLock)
	if err := f.reserveRegion(); err != nil {
		f.file.Close()
		return nil, fmt.Errorf("opening the shared file of request IDs: %w", err)
	}
	return f, nil
}

// openLocked opens the file and takes the setup lock.
func openLocked(path string) (*File, error) {
	for range setupAttempts {
		file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, fileMode)
		if err != nil {
			return nil, err
		}
		f := &File{path: path, file: file}
		locked, err := f.tryLock(setupLock)
		if err != nil {
			file.Close()
			return nil, err
		}
		if locked && f.isAtPath() {
			return f, nil
		}
		file.Close() // another process is opening or closing the file, or has just removed it
		time.Sleep(setupRetryDelay)
	}
	return nil, ErrBusy
}

// isAtPath reports whether the open file has not been removed or replaced.
func (f *File) isAtPath() bool {
	opened, err := f.file.Stat()
	if err != nil {
		return false
	}
	current, err := os.Lstat(f.path)
	return err == nil && os.SameFile(opened, current)
}

// reserveRegion takes the first region that belongs to no running process, with the IDs of one that used it before. The caller holds the
// setup lock.
func (f *File) reserveRegion() error {
	used, err := f.usedRegions()
	if err != nil {
		return err
	}
	f.region = slices.Index(used[:], false)
	if f.region < 0 {
		return ErrTooManyProcesses
	}
	locked, err := f.tryLock(int64(f.region))
	if err != nil {
		return err
	}
	if !locked { // only a process without the setup lock can have taken it
		return ErrTooManyProcesses
	}
	return unix.Fallocate(int(f.file.Fd()), 0, int64(f.region)*regionSize, regionSize)
}

// usedRegions reports for each region whether it belongs to another running process.
func (f *File) usedRegions() (used [maxProcesses]bool, err error) {
	for i := range used {
		if used[i], err = f.isLocked(i); err != nil {
			return used, err
		}
	}
	return used, nil
}

// isShared reports whether another running process uses the file.
func (f *File) isShared() (bool, error) {
	used, err := f.usedRegions()
	return slices.Contains(used[:], true), err
}

// Table returns the table of this process. It has the IDs of the processes that used the region before.
func (f *File) Table() (*Table, error) {
	t := NewTable()
	if _, err := f.file.ReadAt(t.region, int64(f.region)*regionSize); err != nil {
		return nil, fmt.Errorf("reading the shared file of request IDs: %w", err)
	}
	t.sequence = lastSequence(t.region)
	t.peers = f
	return t, nil
}

// Close releases the region, and removes the file if no other process uses it.
func (f *File) Close() error {
	if locked, err := f.tryLock(setupLock); err == nil && locked {
		if shared, err := f.isShared(); err == nil && !shared && f.isAtPath() {
			_ = os.Remove(f.path) // a file that stays tells the next process of requests that have been answered
		}
	}
	if err := f.file.Close(); err != nil {
		return fmt.Errorf("closing the shared file of request IDs: %w", err)
	}
	return nil
}

func (f *File) writeOwn(p []byte, offset int) error {
	if _, err := f.file.WriteAt(p, int64(f.region)*regionSize+int64(offset)); err != nil {
		return fmt.Errorf("sharing a request ID: %w", err)
	}
	return nil
}

func (f *File) anyOther(offset int, condition func(bucket []byte) bool) (bool, error) {
	var bucket [bucketSize]byte
	var failed error
	for i := range maxProcesses {
		if i == f.region {
			continue
		}
		n, err := f.file.ReadAt(bucket[:], int64(i)*regionSize+int64(offset))
		if n < bucketSize { // with the end of the file there is no region behind it
			failed = errors.Join(failed, ignoreEOF(err))
			continue
		}
		if !isEmpty(bucket[:]) && condition(bucket[:]) {
			return true, nil
		}
	}
	if failed != nil {
		return false, fmt.Errorf("looking for a request ID of other processes: %w", failed)
	}
	return false, nil
}

// lockOf returns the lock of one byte, of a type as fcntl(2) has them. It belongs to the open file, not to the process.
func lockOf(kind int16, offset int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: 1}
}

// tryLock takes the lock of a byte, and returns false if another process holds it.
func (f *File) tryLock(offset int64) (bool, error) {
	err := unix.FcntlFlock(f.file.Fd(), unix.F_OFD_SETLK, lockOf(unix.F_WRLCK, offset))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	return err == nil, err
}

// isLocked reports whether another process holds the lock of a byte.
func (f *File) isLocked(region int) (bool, error) {
	lock := lockOf(unix.F_WRLCK, int64(region))
	err := unix.FcntlFlock(f.file.Fd(), unix.F_OFD_GETLK, lock)
	return lock.Type != unix.F_UNLCK, err
}

// unlock releases the lock of a byte. That fails only for a closed file, which has no locks.
func (f *File) unlock(offset int64) {
	_ = unix.FcntlFlock(f.file.Fd(), unix.F_OFD_SETLK, lockOf(unix.F_UNLCK, offset))
}

// ignoreEOF returns nil for the end of a file, and other errors unchanged.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
