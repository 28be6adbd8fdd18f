package proxy

import (
	"context"
	"log/slog"
)

// debugEnabled reports whether debug messages are logged. Check it before calling slog.Debug, to avoid computing the
// attributes for nothing.
func debugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
