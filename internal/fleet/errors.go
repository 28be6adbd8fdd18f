package fleet

import "fmt"

// SettingError says which key of a fleet file has a value that can't be used, and why.
type SettingError struct {
	Key    string // with its table, as in "state.every"
	Reason string
}

// Error returns one line with the key and the reason.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// badSetting returns a SettingError with a formatted reason.
func badSetting(key, format string, args ...any) error {
	return &SettingError{Key: key, Reason: fmt.Sprintf(format, args...)}
}
