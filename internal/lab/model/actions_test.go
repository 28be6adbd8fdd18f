//go:build !race

// The race detector slows this test down eightfold and finds nothing more in it: .ci/run runs it without the race detector.

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

var renewActions = flag.Bool("renew-actions", false, "rewrite testdata/actions.txt, after an intended change of the decision module's behaviour")

const (
	recordedActionsFile = "testdata/actions.txt"
	examplesDir         = "../../../examples"
	seedsPerExample     = 3
)

// The kinds of recorded effects. Their values are part of the recorded hashes.
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

// actionRecorder hashes the effects that a balancer's module requests, with the time of each, and passes them on. Log events
// are not recorded: their texts have no influence on a decision.
type actionRecorder struct {
	balancer.Effects
	now     time.Duration // of the event that the module handles
	sum     hash.Hash64
	actions int
}

// record adds an effect and its arguments to the hash.
func (r *actionRecorder) record(kind byte, values ...uint64) {
	encoded := binary.LittleEndian.AppendUint64([]byte{kind}, uint64(r.now))
	for _, v := range values {
		encoded = binary.LittleEndian.AppendUint64(encoded, v)
	}
	r.sum.Write(encoded)
	r.actions++
}

func (r *actionRecorder) Send(id balancer.RequestID, endpoint balancer.EndpointID, timeout time.Duration) {
	r.record(recordSend, uint64(id), uint64(endpoint), uint64(timeout))
	r.Effects.Send(id, endpoint, timeout)
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

func (r *actionRecorder) HealthCheck(endpoint balancer.EndpointID) {
	r.record(recordHealthCheck, uint64(endpoint))
	r.Effects.HealthCheck(endpoint)
}

func (r *actionRecorder) CloseIdle(endpoint balancer.EndpointID) {
	r.record(recordCloseIdle, uint64(endpoint))
	r.Effects.CloseIdle(endpoint)
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

// recordedModule gives the recorder the time of each event before it passes the event on to the module.
type recordedModule struct {
	*balancer.Balancer
	recorder *actionRecorder
}

func (m recordedModule) OnEndpointUpdate(now time.Duration, mode balancer.UpdateMode, list []balancer.Endpoint) {
	m.recorder.now = now
	m.Balancer.OnEndpointUpdate(now, mode, list)
}

func (m recordedModule) OnRequest(now time.Duration, request balancer.Request) {
	m.recorder.now = now
	m.Balancer.OnRequest(now, request)
}

func (m recordedModule) OnAttemptResult(now time.Duration, result balancer.AttemptResult) {
	m.recorder.now = now
	m.Balancer.OnAttemptResult(now, result)
}

func (m recordedModule) OnTimer(now time.Duration, token uint64) {
	m.recorder.now = now
	m.Balancer.OnTimer(now, token)
}

// TakeSnapshot records the snapshot, since a restarted module decides by it.
func (m recordedModule) TakeSnapshot(now time.Duration) balancer.Snapshot {
	snapshot := m.Balancer.TakeSnapshot(now)
	for _, e := range snapshot.Endpoints {
		m.recorder.record(0, uint64(e.ID), math.Float64bits(e.ShareFactor), math.Float64bits(e.ConcurrencyLimit), math.Float64bits(e.Latency))
	}
	return snapshot
}

// runRecorded runs a scenario and returns the number of effects that its modules requested, and their hash. The hash covers
// the modules in the order of their seeds, since the workers start them in any order.
func runRecorded(ctx context.Context, sc *scenario.Scenario) (actions int, sum uint64, err error) {
	var mu sync.Mutex
	recorders := map[uint64]*actionRecorder{}
	policy := func(s balancer.Settings, seed uint64, now time.Duration, effects balancer.Effects) (balancer.Events, error) {
		r := &actionRecorder{Effects: effects, now: now, sum: fnv.New64a()}
		module, err := balancer.New(s, seed, now, r)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		if recorders[seed] != nil {
			return nil, fmt.Errorf("two modules were started with seed %d", seed)
		}
		recorders[seed] = r
		return recordedModule{module, r}, nil
	}
	if _, err := runWithPolicy(ctx, sc, Options{Workers: runtime.GOMAXPROCS(0)}, policy); err != nil {
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

// exampleFiles returns the scenario files under examples/, in order.
func exampleFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(examplesDir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".toml") {
			files = append(files, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Guards against an unintended change of the decision module's behaviour: for every example scenario and three seeds, the
// modules' effects and their times have to hash to the values in testdata/actions.txt. A commit that intends a change
// rewrites the file (go test ./internal/lab/model -run TestActionsAreAsRecorded -renew-actions) and says so.
func TestActionsAreAsRecorded(t *testing.T) {
	var lines []string
	for _, file := range exampleFiles(t) {
		for seed := uint64(1); seed <= seedsPerExample; seed++ {
			sc, err := scenario.LoadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sc.Seed = seed
			started := time.Now()
			actions, sum, err := runRecorded(t.Context(), sc)
			if err != nil {
				t.Fatalf("%s, seed %d: %v", file, seed, err)
			}
			name := strings.TrimPrefix(filepath.ToSlash(file), examplesDir+"/")
			lines = append(lines, fmt.Sprintf("%s seed=%d actions=%d hash=%016x", name, seed, actions, sum))
			t.Logf("%s: %v", lines[len(lines)-1], time.Since(started).Round(time.Millisecond))
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
		t.Fatalf("%s has %d runs, want %d", recordedActionsFile, len(recorded), len(lines))
	}
	for i := range lines {
		if lines[i] != recorded[i] {
			t.Errorf("the decision module behaves differently from %s:\n got %s\nwant %s", recordedActionsFile, lines[i], recorded[i])
		}
	}
}
