package proxy

import (
	"context"
	"log/slog"
)

// logQueueLength is how many log entries may wait for being written.
const logQueueLength = 256

// logEntry is a line of the log: constant text, and keys with their values as in slog.Info.
type logEntry struct {
	level slog.Level
	text  string
	keys  []any
}

// logWriter writes the loop's log from a goroutine of its own, so that a log that blocks never delays the loop. Its
// methods may be called from any goroutine.
type logWriter struct {
	entries chan logEntry
}

func newLogWriter() *logWriter {
	return &logWriter{entries: make(chan logEntry, logQueueLength)}
}

// info queues an entry. One that the queue has no capacity for is lost.
func (w *logWriter) info(text string, keys ...any) { w.add(logEntry{slog.LevelInfo, text, keys}) }

// debug queues an entry that is written only where debugLogged says so. Whoever makes one asks first: its values cost time.
func (w *logWriter) debug(text string, keys ...any) { w.add(logEntry{slog.LevelDebug, text, keys}) }

// debugLogged reports whether debug entries are written.
func debugLogged() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

func (w *logWriter) add(entry logEntry) {
	select {
	case w.entries <- entry:
	default:
	}
}

// run writes entries until ctx ends.
func (w *logWriter) run(ctx context.Context) {
	for {
		select {
		case entry := <-w.entries:
			slog.Log(ctx, entry.level, entry.text, entry.keys...)
		case <-ctx.Done():
			return
		}
	}
}
