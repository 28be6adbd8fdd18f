package membership

import (
	"bytes"
	"time"
)

const (
	// transportErrorLogInterval is the minimum time between two logged warnings or errors of memberlist.
	transportErrorLogInterval = 10 * time.Second
	// maxTransportErrorLength is the length in bytes to which memberlist's text in a log line is truncated.
	maxTransportErrorLength = 200
)

// logWriter receives memberlist's log. It counts warnings and errors, and logs at most one of them per
// transportErrorLogInterval. It drops all other lines, because changes of members are logged from the member table.
type logWriter struct{ node *Node }

func (w logWriter) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte("[ERR]")) && !bytes.Contains(line, []byte("[WARN]")) {
		return len(line), nil
	}
	n := w.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transportErrors++
	if time.Since(n.transportErrorLoggedAt) < transportErrorLogInterval {
		return len(line), nil
	}
	n.transportErrorLoggedAt = time.Now()
	text := bytes.TrimSpace(line[:min(len(line), maxTransportErrorLength)])
	n.options.Log("membership transport error", "err", string(text), "count", n.transportErrors)
	return len(line), nil
}
