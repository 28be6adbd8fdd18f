package main

import (
	"fmt"
	"os"
	"time"

	"sprucehill/internal/durable"
)

// stateCmd is the command group "state". Only repair changes the folder. Operators' scripts parse the output, so its wording
// must not change.
type stateCmd struct {
	Show   stateShowCmd   `cmd:"" help:"List the files in a state folder and whether each is a valid record."`
	Verify stateVerifyCmd `cmd:"" help:"Check that every record in a state folder is valid."`
	Export stateExportCmd `cmd:"" help:"Write the newest valid record of a kind, as JSON."`
	Repair stateRepairCmd `cmd:"" help:"Quarantine the files that are not valid records. The balancer must not be running."`
}

const (
	// validVerdict is the verdict on a valid record in use.
	validVerdict = "whole"
	// quarantinedVerdictPrefix precedes the verdict on a quarantined file.
	quarantinedVerdictPrefix = "set aside: "
)

// stateFile describes a file in a state folder, as state show writes it.
type stateFile struct {
	File       string    `json:"File"`
	Kind       string    `json:"Kind,omitempty"`
	Owner      string    `json:"Owner,omitempty"`
	Version    uint16    `json:"Version"`
	Generation uint64    `json:"Generation"`
	SavedAt    time.Time `json:"SavedAt"`
	Bytes      int       `json:"Bytes"`
	Verdict    string    `json:"Verdict"` // validVerdict, or the durable.OperatorText of why the file is not valid
}

func newStateFile(file durable.InspectedFile) stateFile {
	verdict := validVerdict
	if file.Err != nil {
		verdict = durable.OperatorText(file.Err)
	}
	if file.Quarantined {
		verdict = quarantinedVerdictPrefix + verdict
	}
	return stateFile{
		File:       file.Name,
		Kind:       file.Record.Kind,
		Owner:      file.Record.Owner,
		Version:    file.Record.Version,
		Generation: file.Record.Generation,
		SavedAt:    file.Record.SavedAt,
		Bytes:      len(file.Record.Payload),
		Verdict:    verdict,
	}
}

// inspectFolder opens a state folder and reads all files in it.
func inspectFolder(dir string) ([]durable.InspectedFile, error) {
	folder, err := durable.OpenFolder(dir)
	if err != nil {
		return nil, err
	}
	return durable.Inspect(folder)
}

// stateShowCmd is the command "state show".
type stateShowCmd struct {
	Dir  string `arg:"" help:"State folder." type:"existingdir"`
	JSON bool   `name:"json" help:"Write the list as JSON."`
}

// Run lists the files of a state folder.
func (c *stateShowCmd) Run() error {
	inspected, err := inspectFolder(c.Dir)
	if err != nil {
		return err
	}
	var files []stateFile
	for _, file := range inspected {
		files = append(files, newStateFile(file))
	}
	if c.JSON {
		return writeJSON(files)
	}
	writeTable(os.Stdout, stateFileRows(files)...)
	return nil
}

// stateFileRows returns a table with a row for each file.
func stateFileRows(files []stateFile) [][]any {
	rows := [][]any{{"file", "kind", "owner", "version", "generation", "saved", "bytes", "verdict"}}
	for _, f := range files {
		saved := "-"
		if f.Kind != "" {
			saved = f.SavedAt.UTC().Format(time.DateTime)
		}
		rows = append(rows, []any{f.File, f.Kind, f.Owner, f.Version, f.Generation, saved, f.Bytes, f.Verdict})
	}
	return rows
}

// stateVerifyCmd is the command "state verify".
type stateVerifyCmd struct {
	Dir string `arg:"" help:"State folder." type:"existingdir"`
}

// Run prints the files that are not valid records in use. It returns errCheckFailed if any of them is not quarantined.
func (c *stateVerifyCmd) Run() error {
	inspected, err := inspectFolder(c.Dir)
	if err != nil {
		return err
	}
	invalid := 0
	for _, file := range inspected {
		if file.Err != nil && !file.Quarantined {
			invalid++
		}
		if verdict := newStateFile(file).Verdict; verdict != validVerdict {
			fmt.Printf("%s: %s\n", file.Name, verdict)
		}
	}
	if invalid > 0 {
		return fmt.Errorf("%w: %d of %d states can't be used", errCheckFailed, invalid, len(inspected))
	}
	fmt.Printf("%d states, all that are used are whole\n", len(inspected))
	return nil
}

// stateExportCmd is the command "state export".
type stateExportCmd struct {
	Dir  string `arg:"" help:"State folder." type:"existingdir"`
	Kind string `arg:"" help:"Kind of the record: list, learnt or orders."`
}

// Run writes the payload of the newest valid record of a kind.
func (c *stateExportCmd) Run() error {
	files, err := inspectFolder(c.Dir)
	if err != nil {
		return err
	}
	newest, ok := newestRecord(files, c.Kind)
	if !ok {
		return fmt.Errorf("%s has no whole state of kind %q", c.Dir, c.Kind)
	}
	fmt.Printf("%s\n", newest.Payload)
	return nil
}

// newestRecord returns the valid record of a kind with the highest generation, and false if there is none.
func newestRecord(files []durable.InspectedFile, kind string) (durable.Record, bool) {
	var newest durable.Record
	found := false
	for _, file := range files {
		if file.Err != nil || file.Quarantined || file.Record.Kind != kind {
			continue
		}
		if !found || file.Record.Generation > newest.Generation {
			newest = file.Record
			found = true
		}
	}
	return newest, found
}

// stateRepairCmd is the command "state repair".
type stateRepairCmd struct {
	Dir string `arg:"" help:"State folder." type:"existingdir"`
}

// Run quarantines the files that are not valid records.
func (c *stateRepairCmd) Run() error {
	folder, err := durable.OpenFolder(c.Dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	locked, err := folder.Lock()
	if err != nil {
		return err
	}
	if !locked {
		return fmt.Errorf("%s: %w: a running balancer quarantines invalid files itself", c.Dir, durable.ErrReadOnly)
	}
	repaired, err := durable.Repair(folder)
	if err != nil {
		return err
	}
	quarantined := 0
	for _, file := range repaired {
		printRepairedFile(file)
		if file.Err == nil {
			quarantined++
		}
	}
	fmt.Printf("%d files set aside\n", quarantined)
	return nil
}

// printRepairedFile prints the outcome of the repair of a file.
func printRepairedFile(file durable.RepairedFile) {
	reason := durable.OperatorText(file.Reason)
	if file.Err != nil {
		fmt.Printf("state passed over file=%s why=%s err=%v\n", file.Name, reason, file.Err)
		return
	}
	fmt.Printf("state set aside file=%s as=%s why=%s\n", file.Name, file.NewName, reason)
}
