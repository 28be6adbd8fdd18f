//go:build !race

// The race detector makes these days eight times as slow and tells nothing more of them: .ci/run plays them without it.

package model

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/scenario"
)

var renewActions = flag.Bool("renew-actions", false, "write testdata/actions.txt anew, for a change that means to decide otherwise")

const (
	recordedActionsFile = "testdata/actions.txt"
	examplesDir         = "../../../examples"
	seedsPerExample     = 3
)

// The kinds of recorded actions. Their numbers are part of the recorded hashes.
const (
	recordSend byte = iota + 1
	recordReject
	recordFail
	recordCancel
	recordHealthCheck
	recordCloseIdle
	recordWatch
	recordFetch
	recordTimer
)

// actionRecorder hashes what one balancer's module asks for, with the moment at which it asks, and passes it on. Log lines
// are not recorded: their words decide nothing.
type actionRecorder struct {
	balancer.Effects
	now     time.Duration
	sum     hash.Hash64
	actions int
}

func (r *actionRecorder) record(kind byte, values ...uint64) {
	text := binary.LittleEndian.AppendUint64([]byte{kind}, uint64(r.now))
	for _, v := range values {
		text = binary.LittleEndian.AppendUint64(text, v)
	}
	r.sum.Write(text)
	r.actions++
}

func (r *actionRecorder) Send(id balancer.RequestID, up balancer.EndpointID, timeout time.Duration) {
	r.record(recordSend, uint64(id), uint64(up), uint64(timeout))
	r.Effects.Send(id, up, timeout)
}

func (r *actionRecorder) Reject(id balancer.RequestID, retryAfter time.Duration) {
	r.record(recordReject, uint64(id), uint64(retryAfter))
	r.Effects.Reject(id, retryAfter)
}

func (r *actionRecorder) Fail(id balancer.RequestID) {
	r.record(recordFail, uint64(id))
	r.Effects.Fail(id)
}

func (r *actionRecorder) Cancel(id balancer.RequestID, attempt int) {
	r.record(recordCancel, uint64(id), uint64(attempt))
	r.Effects.Cancel(id, attempt)
}

func (r *actionRecorder) HealthCheck(up balancer.EndpointID) {
	r.record(recordHealthCheck, uint64(up))
	r.Effects.HealthCheck(up)
}

func (r *actionRecorder) CloseIdle(up balancer.EndpointID) {
	r.record(recordCloseIdle, uint64(up))
	r.Effects.CloseIdle(up)
}

func (r *actionRecorder) WatchEndpoints() {
	r.record(recordWatch, 1)
	r.Effects.WatchEndpoints()
}

func (r *actionRecorder) UnwatchEndpoints() {
	r.record(recordWatch, 0)
	r.Effects.UnwatchEndpoints()
}

func (r *actionRecorder) FetchEndpoints() {
	r.record(recordFetch)
	r.Effects.FetchEndpoints()
}

func (r *actionRecorder) SetTimer(after time.Duration, token uint64) {
	r.record(recordTimer, uint64(after), token)
	r.Effects.SetTimer(after, token)
}

// recordedModule tells the recorder the time of each event before the module gets it.
type recordedModule struct {
	*balancer.Balancer
	recorder *actionRecorder
}

func (m recordedModule) OnEndpointUpdate(now time.Duration, mode balancer.UpdateMode, list []balancer.Endpoint) {
	m.recorder.now = now
	m.Balancer.OnEndpointUpdate(now, mode, list)
}

func (m recordedModule) OnRequest(now time.Duration, r balancer.Request) {
	m.recorder.now = now
	m.Balancer.OnRequest(now, r)
}

func (m recordedModule) OnAttemptResult(now time.Duration, o balancer.AttemptResult) {
	m.recorder.now = now
	m.Balancer.OnAttemptResult(now, o)
}

func (m recordedModule) OnTimer(now time.Duration, token uint64) {
	m.recorder.now = now
	m.Balancer.OnTimer(now, token)
}

// Snapshot records what the module knows, since a restart decides by it.
func (m recordedModule) TakeSnapshot(now time.Duration) balancer.Snapshot {
	k := m.Balancer.TakeSnapshot(now)
	for _, u := range k.Endpoints {
		m.recorder.record(0, uint64(u.ID), math.Float64bits(u.ShareFactor), math.Float64bits(u.ConcurrencyLimit), math.Float64bits(u.Latency))
	}
	return k
}

// runRecorded plays a day and returns how many actions its modules asked for, and their hash. Modules are taken in the
// order of their seeds, whatever order the workers start them in.
func runRecorded(ctx context.Context, d *scenario.Scenario) (actions int, sum uint64, err error) {
	var mu sync.Mutex
	recorders := map[uint64]*actionRecorder{}
	policy := func(s balancer.Settings, seed uint64, now time.Duration, host balancer.Effects) (balancer.Events, error) {
		r := &actionRecorder{Effects: host, now: now, sum: fnv.New64a()}
		b, err := balancer.New(s, seed, now, r)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		if recorders[seed] != nil {
			return nil, fmt.Errorf("two modules have the seed %d", seed)
		}
		recorders[seed] = r
		return recordedModule{b, r}, nil
	}
	if _, err := runWithPolicy(ctx, d, Options{Workers: runtime.GOMAXPROCS(0)}, policy); err != nil {
		return 0, 0, err
	}
	seeds := make([]uint64, 0, len(recorders))
	for seed := range recorders {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	all := fnv.New64a()
	for _, seed := range seeds {
		r := recorders[seed]
		actions += r.actions
		all.Write(r.sum.Sum(binary.LittleEndian.AppendUint64(nil, seed)))
	}
	return actions, all.Sum64(), nil
}

// exampleFiles is every day file under examples/, in order.
func exampleFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(examplesDir, func(path string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() && strings.HasSuffix(path, ".toml") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// The same events give the same actions as when they were recorded: on every example day, on three seeds, each module's
// actions and their moments hash to what testdata/actions.txt has. A change that means to decide otherwise renews the file
// (go test ./internal/lab/model -run TestActionsAreAsRecorded -renew-actions) and says so in its commit.
func TestActionsAreAsRecorded(t *testing.T) {
	var lines []string
	for _, file := range exampleFiles(t) {
		for seed := uint64(1); seed <= seedsPerExample; seed++ {
			d, err := scenario.LoadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d.Seed = seed
			begun := time.Now()
			actions, sum, err := runRecorded(t.Context(), d)
			if err != nil {
				t.Fatalf("%s, seed %d: %v", file, seed, err)
			}
			name := strings.TrimPrefix(filepath.ToSlash(file), examplesDir+"/")
			lines = append(lines, fmt.Sprintf("%s seed=%d actions=%d hash=%016x", name, seed, actions, sum))
			t.Logf("%s: %v", lines[len(lines)-1], time.Since(begun).Round(time.Millisecond))
		}
	}
	got := strings.Join(lines, "\n") + "\n"
	if *renewActions {
		if err := os.WriteFile(recordedActionsFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(recordedActionsFile)
	if err != nil {
		t.Fatal(err)
	}
	recorded := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	if len(recorded) != len(lines) {
		t.Fatalf("%d days recorded, %d played", len(recorded), len(lines))
	}
	for i := range lines {
		if lines[i] != recorded[i] {
			t.Errorf("the module decides otherwise than when it was recorded:\n got %s\nwant %s", lines[i], recorded[i])
		}
	}
}
