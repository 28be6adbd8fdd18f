package crash

import (
	"io/fs"
	"maps"
	"slices"

	"sprucehill/internal/durable"
)

// Operation names an operation of a Disk or of one of its files.
type Operation string

// The operations that can be made to fail.
const (
	OpList       Operation = "list"
	OpRead       Operation = "read"
	OpCreate     Operation = "create"
	OpWrite      Operation = "write"
	OpSync       Operation = "sync"
	OpClose      Operation = "close"
	OpRename     Operation = "rename"
	OpRemove     Operation = "remove"
	OpSyncFolder Operation = "sync folder"
)

// inode is the content of a file.
type inode struct {
	data   []byte // the content that readers see
	synced []byte // the content at the last sync, which survives a power loss
}

// entryChange is an unsynced change of a directory entry.
type entryChange struct {
	name string
	file *inode // the new file of the entry; nil if the entry is removed
}

// Disk is an emulated folder in memory. It implements durable.FS.
type Disk struct {
	currentEntries map[string]*inode // the directory entries that readers see
	syncedEntries  map[string]*inode // the directory entries at the last Sync, which survive a power loss
	// unsyncedChanges are the changes of directory entries since the last Sync, the oldest first.
	unsyncedChanges []entryChange
	// onChange is called after each change of the disk; it may be nil.
	onChange func()
	// InjectFault returns the error with which an operation fails, or nil if the operation succeeds. If InjectFault is nil
	// no error is injected.
	InjectFault func(Operation) error
}

var _ durable.FS = (*Disk)(nil)

// NewDisk returns an empty folder.
func NewDisk() *Disk {
	return &Disk{currentEntries: map[string]*inode{}, syncedEntries: map[string]*inode{}}
}

// newSyncedDisk returns a folder that contains the given files, all of them synced.
func newSyncedDisk(files map[string][]byte) *Disk {
	d := NewDisk()
	for name, content := range files {
		file := &inode{data: slices.Clone(content), synced: slices.Clone(content)}
		d.currentEntries[name] = file
		d.syncedEntries[name] = file
	}
	return d
}

// List returns the names of all files, sorted.
func (d *Disk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.currentEntries)), d.fault(OpList)
}

// ReadFile returns the content of a file.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	if err := d.fault(OpRead); err != nil {
		return nil, err
	}
	file := d.currentEntries[name]
	if file == nil {
		return nil, &fs.PathError{Op: string(OpRead), Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(file.data), nil
}

// Create creates a file, or truncates an existing one.
func (d *Disk) Create(name string) (durable.File, error) {
	if err := d.fault(OpCreate); err != nil {
		return nil, err
	}
	file := d.currentEntries[name]
	if file == nil {
		file = &inode{}
		d.setEntry(name, file)
	}
	file.data = nil
	d.notifyChange()
	return &handle{disk: d, file: file}, nil
}

// Rename renames a file. Until the next Sync, a power loss may leave the file with both names, with either, or with none.
func (d *Disk) Rename(from, to string) error {
	if err := d.fault(OpRename); err != nil {
		return err
	}
	file := d.currentEntries[from]
	if file == nil {
		return &fs.PathError{Op: string(OpRename), Path: from, Err: fs.ErrNotExist}
	}
	d.setEntry(to, file)
	d.setEntry(from, nil)
	d.notifyChange()
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	if err := d.fault(OpRemove); err != nil {
		return err
	}
	if d.currentEntries[name] == nil {
		return &fs.PathError{Op: string(OpRemove), Path: name, Err: fs.ErrNotExist}
	}
	d.setEntry(name, nil)
	d.notifyChange()
	return nil
}

// Sync makes all changes of directory entries durable.
func (d *Disk) Sync() error {
	if err := d.fault(OpSyncFolder); err != nil {
		return err
	}
	d.syncedEntries = maps.Clone(d.currentEntries)
	d.unsyncedChanges = nil
	d.notifyChange()
	return nil
}

// setEntry sets the directory entry of a name to a file, or removes the entry if file is nil.
func (d *Disk) setEntry(name string, file *inode) {
	if file == nil {
		delete(d.currentEntries, name)
	} else {
		d.currentEntries[name] = file
	}
	d.unsyncedChanges = append(d.unsyncedChanges, entryChange{name: name, file: file})
}

// fault returns the error to inject into an operation, or nil.
func (d *Disk) fault(op Operation) error {
	if d.InjectFault == nil {
		return nil
	}
	return d.InjectFault(op)
}

func (d *Disk) notifyChange() {
	if d.onChange != nil {
		d.onChange()
	}
}

// handle is an open file. It implements durable.File.
type handle struct {
	disk *Disk
	file *inode
}

// Write appends p to the file. If an error is injected it writes half of p, as on a full disk.
func (h *handle) Write(p []byte) (int, error) {
	err := h.disk.fault(OpWrite)
	written := len(p)
	if err != nil {
		written = len(p) / 2
	}
	h.file.data = append(h.file.data, p[:written]...)
	h.disk.notifyChange()
	return written, err
}

// Sync makes the content durable. If an error is injected no written data become durable, the worst case for a failed sync.
func (h *handle) Sync() error {
	if err := h.disk.fault(OpSync); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	h.disk.notifyChange()
	return nil
}

// Close closes the file without making its content durable.
func (h *handle) Close() error {
	return h.disk.fault(OpClose)
}
