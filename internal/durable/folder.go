package durable

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

const (
	lockFile = "lock"

	folderMode os.FileMode = 0o700
	fileMode   os.FileMode = 0o600
	// writableByOthers are the permission bits that a state folder must not have.
	writableByOthers os.FileMode = 0o022

	// maxFileSize is the size of the largest possible record, in bytes.
	maxFileSize = fixedHeaderSize + 2*maxNameSize + 2*checksumSize + maxPayloadSize
)

// Folder is a LockableFS on a directory of the operating system.
type Folder struct {
	path string
	// lock is the open lock file; nil before the first Lock.
	lock *os.File
}

var _ LockableFS = (*Folder)(nil)

// OpenFolder opens a state folder, and creates it if it is missing. It returns a FolderError for a symbolic link, a folder
// of another user and a folder that other users may write to, because a user who can change the state can control the
// balancer. Other errors are those of the operating system.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	owner, ok := info.Sys().(*syscall.Stat_t)
	switch {
	case info.Mode()&os.ModeSymlink != 0:
		return nil, &FolderError{Path: path, Err: ErrSymbolicLink}
	case !info.IsDir():
		return nil, &FolderError{Path: path, Err: ErrNotFolder}
	case ok && int(owner.Uid) != os.Geteuid():
		return nil, &FolderError{Path: path, Err: fmt.Errorf("%w (user ID %d)", ErrForeignFolder, owner.Uid)}
	case info.Mode().Perm()&writableByOthers != 0:
		return nil, &FolderError{Path: path, Err: fmt.Errorf("%w (mode %v)", ErrWritableByOthers, info.Mode().Perm())}
	}
	return &Folder{path: path}, nil
}

// Lock takes the folder's lock until Close or the end of the process. It returns false if another process holds it.
func (f *Folder) Lock() (bool, error) {
	if f.lock == nil {
		file, err := os.OpenFile(f.filePath(lockFile), os.O_RDWR|os.O_CREATE, fileMode)
		if err != nil {
			return false, err
		}
		f.lock = file
	}
	err := syscall.Flock(int(f.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("lock %s: %w", f.filePath(lockFile), err)
	}
	return true, nil
}

// Close releases the lock.
func (f *Folder) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

// List returns the names of all files in the folder.
func (f *Folder) List() ([]string, error) {
	directory, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	defer directory.Close()
	return directory.Readdirnames(-1)
}

// ReadFile reads a regular file. It follows no symbolic link and does not block on a named pipe. It returns a CorruptError
// if the file is not regular or is larger than any record. Other errors are those of the operating system.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	file, err := os.OpenFile(f.filePath(name), os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, newCorruptError(DamageNotRegularFile)
	}
	content, err := io.ReadAll(io.LimitReader(file, int64(maxFileSize)+1))
	if err == nil && len(content) > maxFileSize {
		err = newCorruptError(DamageFileTooLarge)
	}
	return content, err
}

// Create opens a file for writing. An existing file is truncated; a symbolic link is not followed.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.filePath(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|syscall.O_NOFOLLOW, fileMode)
}

// Rename renames a file, replacing an existing one.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(f.filePath(from), f.filePath(to))
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return os.Remove(f.filePath(name))
}

// Sync makes creations, renames and removals durable.
func (f *Folder) Sync() error {
	directory, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

func (f *Folder) filePath(name string) string {
	return filepath.Join(f.path, name)
}
