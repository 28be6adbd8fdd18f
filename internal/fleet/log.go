package fleet

import (
	"io"
	"log/slog"
)

// Log configures the balancer's log.
type Log struct {
	// Format is plain (the same as without the file), text (key=value) or json.
	Format string `toml:"format"`
	// Level is info (the same as without the file) or debug, with a line for each request and attempt.
	Level string `toml:"level"`
}

// logHandlers has a constructor of each format's handler. It is nil for the default logger of package slog.
var logHandlers = map[string]func(io.Writer, *slog.HandlerOptions) slog.Handler{
	"":      nil,
	"plain": nil,
	"text":  func(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(w, o) },
	"json":  func(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(w, o) },
}

// logLevels has the levels by their names.
var logLevels = map[string]slog.Level{
	"":      slog.LevelInfo,
	"info":  slog.LevelInfo,
	"debug": slog.LevelDebug,
}

func (l Log) validate() error {
	if _, known := logHandlers[l.Format]; !known {
		return badSetting("log.format", "%q is none of plain, text and json", l.Format)
	}
	if _, known := logLevels[l.Level]; !known {
		return badSetting("log.level", "%q is neither info nor debug", l.Level)
	}
	return nil
}

// Handler returns a new handler that writes the log to w, or nil if the default logger is to stay.
func (l Log) Handler(w io.Writer) slog.Handler {
	newHandler := logHandlers[l.Format]
	if newHandler == nil {
		return nil
	}
	return newHandler(w, &slog.HandlerOptions{Level: l.MinLevel()})
}

// MinLevel returns the lowest level that is written.
func (l Log) MinLevel() slog.Level { return logLevels[l.Level] }
