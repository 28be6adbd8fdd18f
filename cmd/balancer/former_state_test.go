package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/durable"
)

// The recorded state has these addresses, so the test has to serve its upstreams there. They are loopback addresses that nothing
// else is likely to use.
const (
	discoveryAddress = "127.83.71.1:18500"
	recordedSite     = "former"
	drainedZone      = "z2"
	saveInterval     = "100ms"
)

var upstreamAddresses = []string{"127.83.71.2:18501", "127.83.71.3:18501", "127.83.71.4:18501"}

var recordFormerState = flag.Bool("record-former-state", false, "record "+formerState+" again, with the former build")

// newRecordedBalancer returns a balancer on a state folder, with the configuration under which the state was recorded, and its
// listen address.
func newRecordedBalancer(t *testing.T, folder string) (b *statefulBalancer, address string) {
	t.Helper()
	b = newStatefulBalancer(t)
	address = freeAddress(t)
	b.stateFolder = folder
	fleet := fmt.Sprintf("[state]\nfolder = %q\nsite = %q\nevery = %q\n", folder, recordedSite, saveInterval)
	b.writeFiles(t, fmt.Sprintf(configTemplate, address, discoveryAddress), fleet)
	return b, address
}

// learntPayload is the part of a learnt record's payload that both builds must be able to read. The JSON keys are part of the
// stored format.
type learntPayload struct {
	Names     []string          `json:"names"`
	Knowledge balancer.Snapshot `json:"knowledge"`
}

// newestRecord returns the newest record of a kind in a folder, or one without a payload if there is none. It fails the test if
// any record there can't be read or is quarantined.
func newestRecord(t *testing.T, folder, kind string) (newest durable.Record) {
	t.Helper()
	opened, err := durable.OpenFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	found, err := durable.Inspect(opened)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range found {
		if errors.Is(file.Err, fs.ErrNotExist) {
			continue // the running program has replaced it by a newer one
		}
		if file.Err != nil || file.Quarantined {
			t.Errorf("%s: quarantined: %v, error: %v", file.Name, file.Quarantined, file.Err)
		}
		if file.Record.Kind == kind && (newest.Payload == nil || file.Record.Generation > newest.Generation) {
			newest = file.Record
		}
	}
	return newest
}

// newestLearnt returns the newest learnt record in a folder and its payload.
func newestLearnt(t *testing.T, folder string) (durable.Record, learntPayload) {
	t.Helper()
	var learnt learntPayload
	record := newestRecord(t, folder, "learnt")
	if record.Payload == nil {
		return record, learnt
	}
	if err := json.Unmarshal(record.Payload, &learnt); err != nil {
		t.Fatal(err)
	}
	return record, learnt
}

// terminate sends SIGTERM to a program and checks that it exits with 0.
func terminate(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// wantAnswer makes a management call and checks the first line of its answer.
func wantAnswer(t *testing.T, management, line, want string) {
	t.Helper()
	if answer := callManagement(management, line); answer != want {
		t.Errorf("%s: got %q, want %q", line, answer, want)
	}
}

// recordState runs the former build with upstreams, requests and operator orders, and copies its state folder to formerState.
func recordState(t *testing.T) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "state")
	b, address := newRecordedBalancer(t, folder)
	b.program = buildFormer(t)
	var served atomic.Int64
	endpoints := startUpstreams(t, upstreamAddresses, &served)
	startFakeDiscovery(t, discoveryAddress, endpoints)
	cmd, _ := b.start(t)
	waitFor(t, "the endpoint list is saved", func() bool { return newestRecord(t, folder, "list").Payload != nil })
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for id := range uint64(200) {
		if err := sendRequest(client, address, id+1); err != nil {
			t.Error(err)
		}
	}
	wantAnswer(t, b.management, "zone-leave "+drainedZone, "YES left")
	wantAnswer(t, b.management, "drain-on", "YES draining")
	before, _ := newestLearnt(t, folder)
	waitFor(t, "the learnt record is saved", func() bool {
		after, learnt := newestLearnt(t, folder)
		return after.Generation > before.Generation+1 && len(learnt.Names) == len(endpoints)
	})
	terminate(t, cmd)
	if err := os.RemoveAll(formerState); err != nil {
		t.Fatal(err)
	}
	copyState(t, folder, formerState)
}

// copyState copies the files of a state folder, except for its lock.
func copyState(t *testing.T, from, to string) {
	t.Helper()
	if err := os.MkdirAll(to, 0o700); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.Name() == "lock" {
			continue
		}
		text, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(to, entry.Name()), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// updateLearntTime saves the newest learnt record again with the current time in its payload, because statistics have
// no weight once they are a few minutes old. Every other byte of the payload stays as the former build wrote it.
func updateLearntTime(t *testing.T, folder string) (durable.Record, learntPayload) {
	t.Helper()
	record := newestRecord(t, folder, "learnt")
	opened, err := durable.OpenFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	logLine := func(text string, keys ...any) { t.Errorf("%s %v", text, keys) }
	store, err := durable.OpenStore(opened, record.Owner, durable.ReadWrite, logLine)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	takenAt := regexp.MustCompile(`"At":\d+`)
	if n := len(takenAt.FindAll(record.Payload, -1)); n != 1 {
		t.Fatalf("got %d times in the payload %s, want 1", n, record.Payload)
	}
	payload := takenAt.ReplaceAll(record.Payload, fmt.Appendf(nil, `"At":%d`, now.UnixNano()))
	if err := store.Save(record.Kind, record.Version, now, payload); err != nil {
		t.Fatal(err)
	}
	return newestLearnt(t, folder)
}

// This build reads a state folder that the former build wrote, and reads it again after it has saved its own records there.
func TestReadsStateOfFormerBuild(t *testing.T) {
	if *recordFormerState {
		t.Run("record", recordState)
	}
	folder := filepath.Join(t.TempDir(), "state")
	copyState(t, formerState, folder)
	list, orders := newestRecord(t, folder, "list"), newestRecord(t, folder, "orders")
	if list.Payload == nil || orders.Payload == nil {
		t.Fatalf("the recorded folder lacks a kind: list %d bytes, orders %d bytes", len(list.Payload), len(orders.Payload))
	}
	former, formerLearnt := updateLearntTime(t, folder)
	var served atomic.Int64
	startUpstreams(t, upstreamAddresses, &served) // discovery is unreachable, so the endpoint list is the recorded one

	b, address := newRecordedBalancer(t, folder)
	cmd, check := b.start(t)
	if check != "YES draining" {
		t.Errorf("after a start with a saved drain order: check got %q", check)
	}
	wantZoneDrained(t, b.management)
	wantLogged(t, b.log.Name(),
		fmt.Sprintf(`endpoint list restored.* endpoints=%d revision=%d`, len(upstreamAddresses), listRevision),
		fmt.Sprintf(`endpoint statistics restored.* endpoints=%d`, len(upstreamAddresses)),
		`operator orders restored.* serial=2 drain=true drained_zones=`+drainedZone)
	waitFor(t, "the learnt record is saved again", func() bool {
		record, _ := newestLearnt(t, folder)
		return record.Generation > former.Generation+1 // the first record is saved before the recorded statistics are restored
	})
	_, learnt := newestLearnt(t, folder)
	wantSameLearnt(t, learnt, formerLearnt)
	if err := sendRequest(http.DefaultClient, address, 1); err != nil || served.Load() != 1 {
		t.Errorf("the upstreams of the recorded list served %d requests, want 1; error: %v", served.Load(), err)
	}
	wantAnswer(t, b.management, "drain-off", "YES serving")
	terminate(t, cmd)

	verify := exec.Command("go", "run", "../balancerctl", "state", "verify", folder)
	if out, err := verify.CombinedOutput(); err != nil {
		t.Errorf("state verify: %v\n%s", err, out)
	}
	cmd, check = b.start(t)
	if check != "YES serving" {
		t.Errorf("after a restart with a saved drain-off: check got %q", check)
	}
	wantZoneDrained(t, b.management)
	wantLogged(t, b.log.Name(), `operator orders restored.* serial=3 drain=false drained_zones=`+drainedZone)
	terminate(t, cmd)
	newestRecord(t, folder, "list") // checks that every record is readable
}

// wantZoneDrained checks that zone-status shows drainedZone as left.
func wantZoneDrained(t *testing.T, management string) {
	t.Helper()
	if answer := managementAnswerOrError(management, "zone-status"); !regexp.MustCompile(`(?m)^.*` + drainedZone + `.*\bleft\b`).MatchString(answer) {
		t.Errorf("zone-status: %s is not left: %q", drainedZone, answer)
	}
}

// wantLogged checks that each pattern matches the log, and that the log has no message of a record that was ignored, quarantined
// or not loaded.
func wantLogged(t *testing.T, path string, patterns ...string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range patterns {
		if !regexp.MustCompile(pattern).Match(text) {
			t.Errorf("the log has no %s", pattern)
		}
	}
	for _, message := range []string{
		"passed over", "set aside", "not read", "record ignored", "record quarantined", "quarantine failed", "state load timed out",
		"state folder listing failed",
	} {
		if strings.Contains(string(text), message) {
			t.Errorf("the log has %q", message)
		}
	}
}

// wantSameLearnt checks that the statistics that don't decay with time are unchanged. It ignores those that decay.
func wantSameLearnt(t *testing.T, got, want learntPayload) {
	t.Helper()
	if g, w := fmt.Sprint(got.Names), fmt.Sprint(want.Names); g != w {
		t.Errorf("got statistics of the endpoints %s, want %s", g, w)
	}
	if want.Knowledge.Latency <= 0 || got.Knowledge.Latency != want.Knowledge.Latency {
		t.Errorf("got latency %v, want %v and above 0", got.Knowledge.Latency, want.Knowledge.Latency)
	}
	if g, w := fmt.Sprint(got.Knowledge.ClassLatency), fmt.Sprint(want.Knowledge.ClassLatency); g != w {
		t.Errorf("got class latencies %s, want %s", g, w)
	}
	if len(got.Knowledge.Endpoints) != len(want.Knowledge.Endpoints) {
		t.Fatalf("got %d endpoints, want %d", len(got.Knowledge.Endpoints), len(want.Knowledge.Endpoints))
	}
	for i, endpoint := range got.Knowledge.Endpoints {
		former := want.Knowledge.Endpoints[i]
		if former.Latency <= 0 || endpoint.Latency != former.Latency || endpoint.BaselineLatency != former.BaselineLatency {
			t.Errorf("%s: got latency %v and baseline %v, want %v and %v", got.Names[i], endpoint.Latency, endpoint.BaselineLatency,
				former.Latency, former.BaselineLatency)
		}
	}
}
