package durable

import (
	"slices"
	"strings"
)

// repairOwner is the owner of the store that Repair uses, which neither loads nor saves records, and logs nothing.
const repairOwner = "repair"

// InspectedFile is a record's file as Inspect found it.
type InspectedFile struct {
	Name        string
	Record      Record // what could be decoded; the zero value if nothing could
	Err         error  // a RecordError that says why the file is not a valid record; nil if it is one
	Quarantined bool
}

// Inspect reads all records in a folder, of any owner and also quarantined ones, and changes nothing. The files are sorted
// by name. It needs no lock: a file that a running balancer has removed since has an Err that is fs.ErrNotExist. The error
// is that of listing the folder.
func Inspect(fs FS) ([]InspectedFile, error) {
	names, err := listFiles(fs)
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var files []InspectedFile
	for _, name := range names {
		if strings.HasSuffix(name, recordSuffix) {
			files = append(files, inspectFile(fs, name))
		}
	}
	return files, nil
}

func inspectFile(fs FS, name string) InspectedFile {
	file := InspectedFile{Name: name, Quarantined: isQuarantined(name)}
	record, err := inspectRecord(fs, name)
	file.Record = record
	if err != nil {
		file.Err = newRecordError(OperationInspect, name, err)
	}
	return file
}

// inspectRecord reads one file and returns what could be decoded. A quarantined file may have any name.
func inspectRecord(fs FS, name string) (Record, error) {
	content, err := fs.ReadFile(name)
	if err != nil {
		return Record{}, err
	}
	record, err := decode(content)
	if err != nil || isQuarantined(name) {
		return record, err
	}
	if _, _, ok := parseFileName(name); !ok {
		return record, corrupt(DamageFileName)
	}
	return record, checkFileName(name, record)
}

// RepairedFile is a file that Repair has quarantined, or tried to.
type RepairedFile struct {
	Name    string
	NewName string // in quarantine; empty if the file could not be renamed
	Reason  error  // a RecordError that says why the file is not a valid record
	Err     error  // why the file could not be renamed; nil if it was
}

// Repair quarantines the files that are not valid records, so that the next start finds only usable ones, and returns them
// sorted by name. The caller holds the folder's lock. The error is that of listing the folder.
func Repair(fs FS) ([]RepairedFile, error) {
	files, err := Inspect(fs)
	if err != nil {
		return nil, err
	}
	s, err := OpenStore(fs, repairOwner, ReadWrite, nil)
	if err != nil {
		return nil, err
	}
	var repaired []RepairedFile
	for _, file := range files {
		if file.Err == nil || file.Quarantined {
			continue
		}
		newName, err := s.moveToQuarantine(file.Name)
		repaired = append(repaired, RepairedFile{Name: file.Name, NewName: newName, Reason: file.Err, Err: err})
	}
	return repaired, nil
}
