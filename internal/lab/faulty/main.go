// Command faulty is a minimal balancer with an intentional defect, selected by the environment variable BAD. Any value
// that is not a mode gives a correct balancer. Tests of the lab's checker use it: each mode must violate the rule that
// covers its defect, and no other rule.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The modes and their defects. The values are those of the environment variable BAD.
const (
	modeDuplicateAnswer    = "twice"    // writes each affected answer twice
	modeNoGracefulShutdown = "hasty"    // exits at SIGTERM with requests in flight
	modeLateAnswer         = "silent"   // answers clients only after their deadline
	modeForgedAnswer       = "forger"   // answers with a body that no upstream has produced
	modeUnsafeRetry        = "repeater" // sends a non-idempotent request twice
	modeUnknownRequest     = "inventor" // sends upstreams a request that no client has sent
	modeConcurrentCopies   = "copier"   // sends a read to two upstreams concurrently
	modeIgnoreDraining     = "drained"  // sends requests to draining upstreams
	modeNoDiscovery        = "deaf"     // never polls discovery
	modeNoSlowStart        = "flood"    // sends all requests to an upstream that is warming up
	modeMemoryOverLimit    = "hungry"   // exceeds its memory limit
	modeCrash              = "crasher"  // exits without a signal
	modeOrphanProcess      = "orphan"   // leaves a child process running after its exit
)

const (
	// drainGrace is how long the process accepts new requests after SIGTERM.
	drainGrace = 500 * time.Millisecond
	// drainPollInterval is how often the process checks whether requests are in flight, during a drain and before a crash.
	drainPollInterval = time.Millisecond
	// excessMemoryBytes is the amount of memory that modeMemoryOverLimit allocates.
	excessMemoryBytes = 200 << 20
	// pageSize is the interval at which allocated memory is written, so that every page becomes resident.
	pageSize = 4096
	// modeCrash accepts crashAfterRequests requests, and exits once it has been idle for crashIdlePolls polls.
	crashAfterRequests = 60
	crashIdlePolls     = 30
	// crashStatus is the exit status of modeCrash.
	crashStatus = 3
)

// member is an entry of the endpoint list.
type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Phase    string `json:"phase"`
	UpSince  int64  `json:"up_since_ms"`
}

// listing is an answer of discovery, and the endpoint list in the configuration.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// balancer forwards each request to the next upstream, round robin.
type balancer struct {
	mode     string
	upstream *http.Client
	inFlight atomic.Int64
	received atomic.Int64
	draining atomic.Bool

	mu      sync.Mutex
	members []member
	next    int // round-robin position
}

func main() {
	var config struct {
		Listen    string  `json:"listen"`
		Discovery string  `json:"discovery"`
		Known     listing `json:"known"`
	}
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		log.Fatal(err)
	}
	b := &balancer{
		mode:    os.Getenv("BAD"),
		members: config.Known.Members,
		// On a reused connection that was closed, the transport would retry a request on its own.
		upstream: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if b.mode != modeNoDiscovery {
		go b.watchEndpoints(config.Discovery, config.Known.Revision)
	}
	b.startProcessFault()
	server := &http.Server{Addr: config.Listen, Handler: b}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		b.shutDown(server)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Fatal(err)
	}
	for b.inFlight.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// startProcessFault starts the defects that concern the process and not a single request.
func (b *balancer) startProcessFault() {
	switch b.mode {
	case modeMemoryOverLimit:
		allocateResident(excessMemoryBytes)
	case modeCrash:
		go b.crash()
	case modeOrphanProcess:
		if err := exec.Command("sleep", "30").Start(); err != nil {
			log.Fatal(err)
		}
	}
}

// shutDown handles SIGTERM: it drains and shuts the server down.
func (b *balancer) shutDown(server *http.Server) {
	if b.mode == modeNoGracefulShutdown {
		os.Exit(0)
	}
	b.draining.Store(true)
	time.Sleep(drainGrace)
	_ = server.Shutdown(context.Background()) // fails only if the context ends, which this one never does
}

// excessMemory keeps the allocation of modeMemoryOverLimit reachable.
var excessMemory []byte

// allocateResident allocates n bytes and makes them resident.
func allocateResident(n int) {
	excessMemory = make([]byte, n)
	for i := 0; i < n; i += pageSize {
		excessMemory[i] = 1
	}
}

// crash exits without a signal once enough requests have arrived and all of them are answered.
func (b *balancer) crash() {
	for idle := 0; idle < crashIdlePolls; time.Sleep(drainPollInterval) {
		idle++
		if b.received.Load() <= crashAfterRequests || b.inFlight.Load() > 0 {
			idle = 0
		}
	}
	os.Exit(crashStatus)
}
