package durable

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// Operators' scripts may compare the error texts, and callers use the sentinel errors, so neither may change unnoticed.
func TestErrorsAndOperatorTexts(t *testing.T) {
	const file = "list-00000000000000ff.state"
	recordError := func(operation Operation, cause error) error { return newRecordError(operation, file, cause) }
	for _, c := range []struct {
		err      error
		sentinel error
		text     string
		operator string
	}{
		{recordError(OperationInspect, newCorruptError(DamageHeaderChecksum)), ErrChecksumMismatch,
			"inspect record " + file + ": corrupt record: header checksum mismatch", "torn or damaged: the sum of its head is wrong"},
		{recordError(OperationInspect, &CorruptError{DamageMismatchedRecord, "orders-0"}), ErrCorrupt,
			"inspect record " + file + ": corrupt record: record of another file orders-0", "torn or damaged: it says that it is orders-0"},
		{recordError(OperationInspect, &FormatError{Format: 9}), ErrUnknownFormat,
			"inspect record " + file + ": unknown record format 9, supported is 1", "of another format: 9, this program writes 1"},
		{recordError(OperationInspect, io.ErrUnexpectedEOF), io.ErrUnexpectedEOF, "inspect record " + file + ": unexpected EOF", "unexpected EOF"},
		{recordError(OperationSave, io.ErrShortWrite), io.ErrShortWrite, "save record " + file + ": short write", "saving list: short write"},
		{&RecordError{Operation: OperationSave, Kind: "list", Err: ErrWriteTimeout}, ErrWriteTimeout,
			"save record list: write timed out", "the disk has not taken it in time"},
		{ErrQuarantineFull, ErrQuarantineFull, "quarantine limit reached", "too many files are set aside: look at them and move them away"},
		{ErrReadOnly, ErrReadOnly, "state folder is locked by another process", "another process holds the folder"},
	} {
		t.Run(c.text, func(t *testing.T) {
			if c.err.Error() != c.text || OperatorText(c.err) != c.operator || !errors.Is(WithOperatorText(c.err), c.sentinel) {
				t.Errorf("%v, to operators %s; want %s, %s and %v", c.err, OperatorText(c.err), c.text, c.operator, c.sentinel)
			}
			var record *RecordError
			if errors.As(fmt.Errorf("wrapped: %w", c.err), &record) && (record.Kind != "list" || record.File != "" && record.Generation != 255) {
				t.Errorf("%+v", record)
			}
		})
	}
}
