package proxy

import (
	"context"
	"log/slog"
)

// logWriter writes log lines to the default logger of package slog.
type logWriter struct{}

// info logs a line: constant text, and keys with their values as in slog.Info.
func (*logWriter) info(text string, keys ...any) { slog.Info(text, keys...) }

// debugLogged reports whether debug lines are written. Check this before a debug line: its values cost time.
func debugLogged() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
