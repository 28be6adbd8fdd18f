// Command faulty is a simple balancer that breaks one rule, by the mode in the environment variable BAD. With any other
// value it breaks none. Tests of the lab's checker use it: each mode has to be caught by its own rule and by no other.
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

// The modes, by what each does wrong.
const (
	modeTwice    = "twice"    // writes an answer twice
	modeHasty    = "hasty"    // exits at SIGTERM with requests in flight
	modeSilent   = "silent"   // leaves clients without an answer past their deadline
	modeForger   = "forger"   // answers what no upstream has made
	modeRepeater = "repeater" // sends a request that is not idempotent twice
	modeInventor = "inventor" // sends upstreams a request that no client has sent
	modeCopier   = "copier"   // sends reads to two upstreams at once
	modeDrained  = "drained"  // sends requests to upstreams that drain
	modeDeaf     = "deaf"     // never polls discovery
	modeFlood    = "flood"    // sends everything to an upstream that has just started
	modeHungry   = "hungry"   // uses more memory than it may
	modeCrasher  = "crasher"  // exits without a signal
	modeOrphan   = "orphan"   // leaves a process behind
)

const (
	// drainNotice is how long a process still takes requests after SIGTERM.
	drainNotice = 500 * time.Millisecond
	// drainPollInterval is how often it looks whether all are answered, and whether a crasher is idle.
	drainPollInterval = time.Millisecond
	// hoardedBytes is how much memory modeHungry allocates.
	hoardedBytes = 200 << 20
	// pageSize is the step in which memory is touched, so that it is resident.
	pageSize = 4096
	// crashAfter is how many requests modeCrasher takes, and crashIdlePolls for how many polls it must be idle then.
	crashAfter     = 60
	crashIdlePolls = 30
	// crashStatus is its exit status.
	crashStatus = 3
)

// member is an entry of discovery's list.
type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Phase    string `json:"phase"`
	UpSince  int64  `json:"up_since_ms"`
}

// listing is discovery's answer.
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
		// With keep-alive the transport may send a request again by itself.
		upstream: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if b.mode != modeDeaf {
		go b.watchEndpoints(config.Discovery, config.Known.Revision)
	}
	b.breakAtStart()
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

// breakAtStart does what the modes do wrong that have nothing to do with a request.
func (b *balancer) breakAtStart() {
	switch b.mode {
	case modeHungry:
		hoard(hoardedBytes)
	case modeCrasher:
		go b.crash()
	case modeOrphan:
		if err := exec.Command("sleep", "30").Start(); err != nil {
			log.Fatal(err)
		}
	}
}

// shutDown is what it does at SIGTERM.
func (b *balancer) shutDown(server *http.Server) {
	if b.mode == modeHasty {
		os.Exit(0)
	}
	b.draining.Store(true)
	time.Sleep(drainNotice)
	_ = server.Shutdown(context.Background()) // its error is of the context, which never ends
}

// hoarded is the memory that modeHungry allocates.
var hoarded []byte

func hoard(n int) {
	hoarded = make([]byte, n)
	for i := 0; i < n; i += pageSize {
		hoarded[i] = 1
	}
}

// crash exits without a signal, once enough requests have arrived and all of them are answered.
func (b *balancer) crash() {
	for idle := 0; idle < crashIdlePolls; time.Sleep(drainPollInterval) {
		idle++
		if b.received.Load() <= crashAfter || b.inFlight.Load() > 0 {
			idle = 0
		}
	}
	os.Exit(crashStatus)
}
