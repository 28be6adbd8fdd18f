package proxy

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/dedup"
)

// sharingLogInterval is the least time between two log lines about failures to share request IDs.
const sharingLogInterval = 10 * time.Second

// executionRegistry knows the requests that may have been executed, of the classes that may not be repeated freely. Its methods
// may be called from any goroutine.
type executionRegistry struct {
	table *dedup.Table
	file  *dedup.File // nil: no other process shares the table
	now   func() time.Duration
	log   logLimit
}

// openExecutionRegistry returns the registry of a process that serves clients at an address. If the listener is inherited, the
// registry is shared through the temporary folder with the other process of an upgrade. Where that fails the process goes on
// with a registry of its own.
func openExecutionRegistry(c *Config, address string, now func() time.Duration) *executionRegistry {
	registry := &executionRegistry{table: dedup.NewTable(), now: now, log: logLimit{interval: sharingLogInterval}}
	if !c.inheritsListener() {
		return registry
	}
	path := filepath.Join(os.TempDir(), "sprucehill-"+strings.NewReplacer(":", "-", "/", "-").Replace(address)+".ids")
	file, err := dedup.OpenFile(path)
	if err != nil {
		slog.Warn("request IDs not shared", "err", err)
		return registry
	}
	table, err := file.Table()
	if err != nil {
		slog.Warn("request IDs not shared", "err", err)
		file.Close()
		return registry
	}
	registry.table = table
	registry.file = file
	return registry
}

// close stops sharing the registry.
func (r *executionRegistry) close() {
	if r.file != nil {
		r.logFailure(r.file.Close())
	}
}

// logFailure logs an error, unless one was logged shortly before.
func (r *executionRegistry) logFailure(err error) {
	if err != nil && r.log.allows(r.now()) {
		slog.Warn("request IDs not shared", "err", err)
	}
}

// forRequest returns the execution of a request with the given X-Request-Id.
func (r *executionRegistry) forRequest(id string, class balancer.Class) execution {
	if class.Idempotency == balancer.Idempotent {
		return execution{}
	}
	return execution{registry: r, id: dedup.IDOf(id)}
}

// execution is what is known of whether a request may have been executed. The goroutines of its attempts use it. Its zero value
// is that of a request that may be executed any number of times.
type execution struct {
	registry *executionRegistry
	id       dedup.ID

	mu         sync.Mutex // guards the fields below
	inFlight   int        // attempts that have begun and not ended
	registered bool
	executed   bool // an attempt that has ended may have been executed
}

// beginAttempt registers the request, unless an earlier attempt of it has done so. It returns false if another request with the
// same ID may have been executed; then there must be no attempt.
func (e *execution) beginAttempt() (ok bool) {
	if e.registry == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.registered {
		registered, err := e.registry.table.Register(e.id)
		e.registry.logFailure(err)
		if !registered {
			return false
		}
		e.registered = true
	}
	e.inFlight++
	return true
}

// endAttempt ends an attempt for which beginAttempt has returned true. A request that has certainly not been executed by any
// attempt may come again.
func (e *execution) endAttempt(status balancer.Status) {
	if e.registry == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.executed = e.executed || !certainlyNotExecuted(status)
	if e.inFlight == 0 && !e.executed {
		e.registry.logFailure(e.registry.table.Remove(e.id))
		e.registered = false
	}
}
