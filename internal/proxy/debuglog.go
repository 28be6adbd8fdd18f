package proxy

import (
	"context"
	"log/slog"
)

// debugLogged reports whether debug messages are logged. Check it before calling slog.Debug, to avoid computing the
// attributes for nothing.
func debugLogged() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }
