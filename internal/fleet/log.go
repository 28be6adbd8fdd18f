package fleet

import (
	"fmt"
	"log/slog"
	"os"
)

// Log says how the balancer writes its log.
type Log struct {
	// Format is plain (the same as without the file), text (key=value) or json.
	Format string `toml:"format"`
}

// logHandlers has what makes the handler of each format. It is nil for the default logger of package slog.
var logHandlers = map[string]func() slog.Handler{
	"":      nil,
	"plain": nil,
	"text":  func() slog.Handler { return slog.NewTextHandler(os.Stderr, nil) },
	"json":  func() slog.Handler { return slog.NewJSONHandler(os.Stderr, nil) },
}

func (l Log) validate() error {
	if _, known := logHandlers[l.Format]; !known {
		return fmt.Errorf("log.format: %q is none of plain, text and json", l.Format)
	}
	return nil
}

// Handler returns a new handler of the log, or nil if the default logger is to stay.
func (l Log) Handler() slog.Handler {
	newHandler := logHandlers[l.Format]
	if newHandler == nil {
		return nil
	}
	return newHandler()
}
