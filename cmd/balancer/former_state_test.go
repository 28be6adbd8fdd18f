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

// The recorded list names these addresses, so the upstreams have to be there when it is read. They are loopback
// addresses that nothing else is likely to use.
const (
	agentAddress = "127.83.71.1:18500"
	recordedSite = "former"
	leftZone     = "z2"
	saveInterval = "100ms"
)

var upstreamAddresses = []string{"127.83.71.2:18501", "127.83.71.3:18501", "127.83.71.4:18501"}

var recordFormerState = flag.Bool("record-former-state", false, "record "+formerState+" again, with the former build")

// newRecordedBalancer returns a balancer with the configuration under which the state was recorded, on a state folder,
// and its address for clients.
func newRecordedBalancer(t *testing.T, folder string) (b *statefulBalancer, address string) {
	t.Helper()
	b = newStatefulBalancer(t)
	address = freeAddress(t)
	b.stateFolder = folder
	fleet := fmt.Sprintf("[state]\nfolder = %q\nsite = %q\nevery = %q\n", folder, recordedSite, saveInterval)
	b.writeFiles(t, fmt.Sprintf(configTemplate, address, agentAddress), fleet)
	return b, address
}

// learntPayload is what of a learnt record has to outlive the change of builds. The keys are those on disk.
type learntPayload struct {
	Names     []string          `json:"names"`
	Knowledge balancer.Snapshot `json:"knowledge"`
}

// newestRecord is the newest record of a kind in a folder; without a payload: there is none. Every record there must be
// readable.
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
			continue // a running program has removed it since, for a newer one
		}
		if file.Err != nil || file.Quarantined {
			t.Errorf("%s: set aside: %v, %v", file.Name, file.Quarantined, file.Err)
		}
		if file.Record.Kind == kind && (newest.Payload == nil || file.Record.Generation > newest.Generation) {
			newest = file.Record
		}
	}
	return newest
}

// newestLearnt is the newest learnt record in a folder.
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

// terminate ends a program by SIGTERM.
func terminate(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// wantAnswer makes an operators' call and compares its answer.
func wantAnswer(t *testing.T, operators, line, want string) {
	t.Helper()
	if answer := callManagement(operators, line); answer != want {
		t.Errorf("%s: got %q, want %q", line, answer, want)
	}
}

// recordState has the former build serve upstreams and obey orders, and keeps its state folder as formerState.
func recordState(t *testing.T) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "state")
	b, address := newRecordedBalancer(t, folder)
	b.program = buildFormer(t)
	var served atomic.Int64
	endpoints := startUpstreams(t, upstreamAddresses, &served)
	startAgent(t, agentAddress, endpoints)
	cmd, _ := b.start(t)
	waitFor(t, "the list has come", func() bool { return newestRecord(t, folder, "list").Payload != nil })
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for id := range uint64(200) {
		if err := sendRequest(client, address, id+1); err != nil {
			t.Error(err)
		}
	}
	wantAnswer(t, b.management, "zone-leave "+leftZone, "YES left")
	wantAnswer(t, b.management, "drain-on", "YES draining")
	before, _ := newestLearnt(t, folder)
	waitFor(t, "what was learnt is saved", func() bool {
		after, learnt := newestLearnt(t, folder)
		return after.Generation > before.Generation+1 && len(learnt.Names) == len(endpoints)
	})
	terminate(t, cmd)
	if err := os.RemoveAll(formerState); err != nil {
		t.Fatal(err)
	}
	copyState(t, folder, formerState)
}

// copyState copies a state folder, without its lock.
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

// redateLearnt saves the newest learnt record again with the present time in it: what was learnt counts for nothing
// once it is a few minutes old. Every other byte of the payload stays as the former build wrote it.
func redateLearnt(t *testing.T, folder string) (durable.Record, learntPayload) {
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
		t.Fatalf("%d times in %s, want one", n, record.Payload)
	}
	payload := takenAt.ReplaceAll(record.Payload, fmt.Appendf(nil, `"At":%d`, now.UnixNano()))
	if err := store.Save(record.Kind, record.Version, now, payload); err != nil {
		t.Fatal(err)
	}
	return newestLearnt(t, folder)
}

// A state folder that the former build wrote is read by this one, and what this one writes back is read again.
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
	former, formerLearnt := redateLearnt(t, folder)
	var served atomic.Int64
	startUpstreams(t, upstreamAddresses, &served) // nobody is at the agent's address: the list is the recorded one

	b, address := newRecordedBalancer(t, folder)
	cmd, check := b.start(t)
	if check != "YES draining" {
		t.Errorf("started with the order to drain: %q", check)
	}
	wantZoneLeft(t, b.management)
	wantLogged(t, b.log.Name(),
		fmt.Sprintf(`endpoint list restored.* endpoints=%d revision=%d`, len(upstreamAddresses), listRevision),
		fmt.Sprintf(`endpoint statistics restored.* endpoints=%d`, len(upstreamAddresses)),
		`operator orders restored.* serial=2 drain=true drained_zones=`+leftZone)
	waitFor(t, "what was learnt is saved again", func() bool {
		record, _ := newestLearnt(t, folder)
		return record.Generation > former.Generation+1 // the first one is of the moment before the restoration
	})
	_, learnt := newestLearnt(t, folder)
	wantSameLearnt(t, learnt, formerLearnt)
	if err := sendRequest(http.DefaultClient, address, 1); err != nil || served.Load() != 1 {
		t.Errorf("an upstream of the recorded list served %d requests, want 1: %v", served.Load(), err)
	}
	wantAnswer(t, b.management, "drain-off", "YES serving")
	terminate(t, cmd)

	verify := exec.Command("go", "run", "../balancerctl", "state", "verify", folder)
	if out, err := verify.CombinedOutput(); err != nil {
		t.Errorf("state verify: %v\n%s", err, out)
	}
	cmd, check = b.start(t)
	if check != "YES serving" {
		t.Errorf("started after drain-off: %q", check)
	}
	wantZoneLeft(t, b.management)
	wantLogged(t, b.log.Name(), `operator orders restored.* serial=3 drain=false drained_zones=`+leftZone)
	terminate(t, cmd)
	newestRecord(t, folder, "list") // and with it that every record is readable
}

// wantZoneLeft checks that leftZone is left, as zone-status shows it.
func wantZoneLeft(t *testing.T, operators string) {
	t.Helper()
	if answer := managementAnswerOrError(operators, "zone-status"); !regexp.MustCompile(`(?m)^.*` + leftZone + `.*\bleft\b`).MatchString(answer) {
		t.Errorf("zone-status: %s is not left: %q", leftZone, answer)
	}
}

// wantLogged checks that each pattern matches a line of a log and that no state was passed over or set aside.
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
	for _, trouble := range []string{"passed over", "set aside", "not read", "record ignored", "record quarantined", "quarantine failed", "state load timed out", "state folder listing failed"} {
		if strings.Contains(string(text), trouble) {
			t.Errorf("the log has %q", trouble)
		}
	}
}

// wantSameLearnt checks that figures that don't fade are as they were. Those that do are left out.
func wantSameLearnt(t *testing.T, got, want learntPayload) {
	t.Helper()
	if g, w := fmt.Sprint(got.Names), fmt.Sprint(want.Names); g != w {
		t.Errorf("learnt of %s, want %s", g, w)
	}
	if want.Knowledge.Latency <= 0 || got.Knowledge.Latency != want.Knowledge.Latency {
		t.Errorf("usual latency %v, want %v and over 0", got.Knowledge.Latency, want.Knowledge.Latency)
	}
	if g, w := fmt.Sprint(got.Knowledge.ClassLatency), fmt.Sprint(want.Knowledge.ClassLatency); g != w {
		t.Errorf("latencies of classes %s, want %s", g, w)
	}
	if len(got.Knowledge.Endpoints) != len(want.Knowledge.Endpoints) {
		t.Fatalf("%d upstreams, want %d", len(got.Knowledge.Endpoints), len(want.Knowledge.Endpoints))
	}
	for i, endpoint := range got.Knowledge.Endpoints {
		former := want.Knowledge.Endpoints[i]
		if former.Latency <= 0 || endpoint.Latency != former.Latency || endpoint.BaselineLatency != former.BaselineLatency {
			t.Errorf("%s: latency %v and lowest %v, want %v and %v", got.Names[i], endpoint.Latency, endpoint.BaselineLatency,
				former.Latency, former.BaselineLatency)
		}
	}
}
