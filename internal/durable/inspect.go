package durable

import (
	"slices"
	"strings"
)

// repairOwner is the owner of the store that Repair uses, which neither loads nor saves records.
const repairOwner = "repair"

// InspectedFile is a record's file as Inspect found it.
type InspectedFile struct {
	Name        string
	Record      Record // what could be decoded; the zero value if nothing could
	Err         error  // why the file is not a valid record; nil if it is one
	Quarantined bool
}

// Inspect reads all records in a folder, of any owner and also quarantined ones, and changes nothing. The files are sorted
// by name.
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
	file := InspectedFile{Name: name, Quarantined: strings.HasPrefix(name, quarantinePrefix)}
	content, err := fs.ReadFile(name)
	if err != nil {
		file.Err = err
		return file
	}
	file.Record, file.Err = decode(content)
	if file.Err != nil || file.Quarantined {
		return file
	}
	if _, _, ok := parseFileName(name); !ok {
		file.Err = corrupt("its name is none of a state")
		return file
	}
	file.Err = checkFileName(name, file.Record)
	return file
}

// Repair quarantines the files that are not valid records, so that the next start finds only usable ones, and returns how
// many it quarantined. The caller holds the folder's lock.
func Repair(fs FS, log LogFunc) (int, error) {
	files, err := Inspect(fs)
	if err != nil {
		return 0, err
	}
	s, err := OpenStore(fs, repairOwner, ReadWrite, log)
	if err != nil {
		return 0, err
	}
	before := s.quarantined
	for _, file := range files {
		if file.Err != nil && !file.Quarantined {
			s.quarantine(file.Name, file.Err)
		}
	}
	return s.quarantined - before, nil
}
