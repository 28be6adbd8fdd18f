package durable

import (
	"errors"
	"fmt"
)

// operatorDamageTexts are the descriptions of damage that OperatorText uses.
var operatorDamageTexts = map[Damage]string{
	DamageShortHeader:      "shorter than a head",
	DamageMagic:            "it does not begin as a record does",
	DamageTruncatedHeader:  "its head is cut",
	DamageHeaderChecksum:   "the sum of its head is wrong",
	DamagePayloadSize:      "its payload is cut, or something follows",
	DamagePayloadChecksum:  "the sum of its payload is wrong",
	DamageFileName:         "its name is none of a state",
	DamageMismatchedRecord: "it says that it is ",
	DamageNotRegularFile:   "no plain file",
	DamageFileTooLarge:     "larger than any record",
}

// operatorTexts are the descriptions of refused saves that OperatorText uses.
var operatorTexts = map[error]string{
	ErrReadOnly:       "another process holds the folder",
	ErrWriteTimeout:   "the disk has not taken it in time",
	ErrClosed:         "the state folder is closed",
	ErrQuarantineFull: "too many files are set aside: look at them and move them away",
}

// operatorError is an error whose text is the OperatorText of its cause.
type operatorError struct{ cause error }

// Error returns the OperatorText of the cause.
func (e *operatorError) Error() string { return OperatorText(e.cause) }

// Unwrap returns the cause.
func (e *operatorError) Unwrap() error { return e.cause }

// WithOperatorText wraps an error of this package so that its text is its OperatorText.
func WithOperatorText(err error) error { return &operatorError{cause: err} }

// OperatorText returns the text of an error of this package as it appears in answers to operators and in the output of
// balancerctl state. Operators' scripts may compare this text, so it keeps its wording even where that of Error differs.
// The text of any other error is that of its Error method.
func OperatorText(err error) string {
	var corruptErr *CorruptError
	if errors.As(err, &corruptErr) {
		return "torn or damaged: " + operatorDamageTexts[corruptErr.Damage] + corruptErr.BelongsTo
	}
	var formatErr *FormatError
	if errors.As(err, &formatErr) {
		return fmt.Sprintf("of another format: %d, this program writes %d", formatErr.Format, recordFormat)
	}
	for sentinel, text := range operatorTexts {
		if errors.Is(err, sentinel) {
			return text
		}
	}
	var recordErr *RecordError
	if !errors.As(err, &recordErr) {
		return err.Error()
	}
	if recordErr.Operation == OperationSave {
		return fmt.Sprintf("saving %s: %v", recordErr.Kind, recordErr.Err)
	}
	return recordErr.Err.Error()
}
