package proxy

import (
	"context"
	"log/slog"
)

// debugLogged reports whether debug lines are written. Check this before a debug line: its values cost time.
func debugLogged() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
