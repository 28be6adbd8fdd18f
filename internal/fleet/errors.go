package fleet

import "fmt"

// SettingError reports a key of the fleet file that has an invalid value, or lacks a required one.
type SettingError struct {
	Key    string // with its table, such as "state.every"
	Reason string
}

// Error returns one line with the key and the reason.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// settingErrorf returns a SettingError with a formatted reason.
func settingErrorf(key, format string, args ...any) error {
	return &SettingError{Key: key, Reason: fmt.Sprintf(format, args...)}
}
