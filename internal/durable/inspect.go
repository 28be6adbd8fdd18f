package durable

import (
	"slices"
	"strings"
)

// repairOwner is the owner of the store that Repair uses. That store neither loads nor saves records, and logs nothing.
const repairOwner = "repair"

// InspectedFile is the result of inspecting one record file.
type InspectedFile struct {
	Name        string
	Record      Record // the decoded record; the zero value if the file could not be decoded
	Err         error  // a RecordError that says why the file is not a valid record; nil if it is valid
	Quarantined bool
}

// Inspect reads all record files in a folder, including those of other owners and quarantined ones, and changes nothing. The
// result is sorted by file name. It needs no lock: a file that a running balancer removes after the folder was listed has an
// Err that wraps io/fs.ErrNotExist. Inspect returns an error if the folder can't be listed.
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

// inspectRecord reads and decodes one file. It does not compare the name of a quarantined file with its content.
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
		return record, newCorruptError(DamageFileName)
	}
	return record, checkFileName(name, record)
}

// RepairedFile is a file that Repair quarantined, or failed to quarantine.
type RepairedFile struct {
	Name    string
	NewName string // name in quarantine; empty if the file could not be renamed
	Reason  error  // a RecordError that says why the file is not a valid record
	Err     error  // the error of the rename; nil if the file was quarantined
}

// Repair quarantines the record files that are not valid, so that the next start finds only valid ones, and returns them
// sorted by name. The caller must hold the folder's lock. Repair returns an error if the folder can't be listed.
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
