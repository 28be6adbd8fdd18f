package durable

import (
	"errors"
	"fmt"
)

// operatorDamageTexts is the sorts of damage in the words of OperatorText.
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

// operatorTexts is the refusals of a save in the words of OperatorText.
var operatorTexts = map[error]string{
	ErrReadOnly:       "another process holds the folder",
	ErrWriteTimeout:   "the disk has not taken it in time",
	ErrClosed:         "the state folder is closed",
	ErrQuarantineFull: "too many files are set aside: look at them and move them away",
}

// operatorError is an error whose text is that of OperatorText.
type operatorError struct{ cause error }

// Error returns the cause in the words of OperatorText.
func (e *operatorError) Error() string { return OperatorText(e.cause) }

// Unwrap returns the cause.
func (e *operatorError) Unwrap() error { return e.cause }

// ForOperators wraps an error of this package, so that its text is that of OperatorText.
func ForOperators(err error) error { return &operatorError{cause: err} }

// OperatorText returns an error of this package in the words of operators' answers and of balancerctl state. Operators'
// scripts may compare these words, which is why they differ from those of Error. Other errors have the same text in both.
func OperatorText(err error) string {
	var damaged *CorruptError
	if errors.As(err, &damaged) {
		return "torn or damaged: " + operatorDamageTexts[damaged.Damage] + damaged.BelongsTo
	}
	var unknown *FormatError
	if errors.As(err, &unknown) {
		return fmt.Sprintf("of another format: %d, this program writes %d", unknown.Format, recordFormat)
	}
	for refusal, text := range operatorTexts {
		if errors.Is(err, refusal) {
			return text
		}
	}
	var failed *RecordError
	if !errors.As(err, &failed) {
		return err.Error()
	}
	if failed.Operation == OperationSave {
		return fmt.Sprintf("saving %s: %v", failed.Kind, failed.Err)
	}
	return failed.Err.Error()
}
