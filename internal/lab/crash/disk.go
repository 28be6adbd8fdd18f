package crash

import (
	"io/fs"
	"maps"
	"slices"

	"sprucehill/internal/durable"
)

// Operation is a call on a Disk or on one of its files.
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
	data   []byte // as readers see it
	synced []byte // as it is after a power loss
}

// nameChange is a change of a name in the folder that was not synced.
type nameChange struct {
	name string
	file *inode // the name's new file; nil: the name is removed
}

// Disk is an emulated folder in memory. It implements durable.FS.
type Disk struct {
	current map[string]*inode // the folder as readers see it
	synced  map[string]*inode // the folder after a power loss that loses all of unsynced
	// unsynced is the changes of names since the last Sync, the oldest first.
	unsynced []nameChange
	// onChange is called after each change; it may be nil.
	onChange func()
	// InjectFault returns the error with which an operation fails, or nil if it succeeds. If InjectFault is nil, all
	// operations succeed.
	InjectFault func(Operation) error
}

var _ durable.FS = (*Disk)(nil)

// NewDisk returns an empty folder.
func NewDisk() *Disk {
	return &Disk{current: map[string]*inode{}, synced: map[string]*inode{}}
}

// newSyncedDisk returns a folder with the given files, all of them synced.
func newSyncedDisk(files map[string][]byte) *Disk {
	d := NewDisk()
	for name, content := range files {
		file := &inode{data: slices.Clone(content), synced: slices.Clone(content)}
		d.current[name] = file
		d.synced[name] = file
	}
	return d
}

// List returns the names of all files, sorted.
func (d *Disk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.current)), d.fault(OpList)
}

// ReadFile returns the content of a file.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	if err := d.fault(OpRead); err != nil {
		return nil, err
	}
	file := d.current[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

// Create creates a file, or truncates an existing one.
func (d *Disk) Create(name string) (durable.File, error) {
	if err := d.fault(OpCreate); err != nil {
		return nil, err
	}
	file := d.current[name]
	if file == nil {
		file = &inode{}
		d.setName(name, file)
	}
	file.data = nil
	d.changed()
	return &handle{disk: d, file: file}, nil
}

// Rename renames a file. A power loss may leave it with both names, with either, or with none.
func (d *Disk) Rename(from, to string) error {
	if err := d.fault(OpRename); err != nil {
		return err
	}
	file := d.current[from]
	if file == nil {
		return fs.ErrNotExist
	}
	d.setName(to, file)
	d.setName(from, nil)
	d.changed()
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	if err := d.fault(OpRemove); err != nil {
		return err
	}
	if d.current[name] == nil {
		return fs.ErrNotExist
	}
	d.setName(name, nil)
	d.changed()
	return nil
}

// Sync makes all changes of names durable.
func (d *Disk) Sync() error {
	if err := d.fault(OpSyncFolder); err != nil {
		return err
	}
	d.synced = maps.Clone(d.current)
	d.unsynced = nil
	d.changed()
	return nil
}

// setName gives a name to a file, or removes the name if file is nil.
func (d *Disk) setName(name string, file *inode) {
	if file == nil {
		delete(d.current, name)
	} else {
		d.current[name] = file
	}
	d.unsynced = append(d.unsynced, nameChange{name: name, file: file})
}

// fault returns the error that is injected into an operation.
func (d *Disk) fault(op Operation) error {
	if d.InjectFault == nil {
		return nil
	}
	return d.InjectFault(op)
}

func (d *Disk) changed() {
	if d.onChange != nil {
		d.onChange()
	}
}

// handle is an open file. It implements durable.File.
type handle struct {
	disk *Disk
	file *inode
}

// Write appends to the file. If it fails it has written half of p, as on a full disk.
func (h *handle) Write(p []byte) (int, error) {
	err := h.disk.fault(OpWrite)
	written := len(p)
	if err != nil {
		written = len(p) / 2
	}
	h.file.data = append(h.file.data, p[:written]...)
	h.disk.changed()
	return written, err
}

// Sync makes the content durable. If it fails nothing of it is, which is the worst that a disk may do.
func (h *handle) Sync() error {
	if err := h.disk.fault(OpSync); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	h.disk.changed()
	return nil
}

// Close makes nothing durable.
func (h *handle) Close() error {
	return h.disk.fault(OpClose)
}
