package fleet

import (
	"io"
	"log/slog"
)

// Log configures the balancer's log.
type Log struct {
	// Format is plain (the default), text (key=value) or json.
	Format string `toml:"format"`
	// Level is info (the default) or debug, which adds a line for each request and attempt.
	Level string `toml:"level"`
}

// logHandlers maps each format to the constructor of its handler; nil selects the default logger of package slog.
var logHandlers = map[string]func(io.Writer, *slog.HandlerOptions) slog.Handler{
	"":      nil,
	"plain": nil,
	"text":  func(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(w, o) },
	"json":  func(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(w, o) },
}

// logLevels maps the name of each level to the level; an empty name selects the default.
var logLevels = map[string]slog.Level{
	"":      slog.LevelInfo,
	"info":  slog.LevelInfo,
	"debug": slog.LevelDebug,
}

func (l Log) validate() error {
	if _, known := logHandlers[l.Format]; !known {
		return settingErrorf("log.format", "unknown format %q: must be plain, text or json", l.Format)
	}
	if _, known := logLevels[l.Level]; !known {
		return settingErrorf("log.level", "unknown level %q: must be info or debug", l.Level)
	}
	return nil
}

// Handler returns a new handler that writes the log to w, or nil if the format is that of the default logger.
func (l Log) Handler(w io.Writer) slog.Handler {
	newHandler := logHandlers[l.Format]
	if newHandler == nil {
		return nil
	}
	return newHandler(w, &slog.HandlerOptions{Level: l.MinLevel()})
}

// MinLevel returns the lowest level that is logged.
func (l Log) MinLevel() slog.Level { return logLevels[l.Level] }
