package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var killCount = flag.Int("kills", 40, "how often TestOrdersOutliveKills kills the program")

const (
	// answerPollInterval is the interval at which a call is repeated until it gets the expected answer.
	answerPollInterval = 2 * time.Millisecond
	// maxLoggedBytes is how much of the end of a balancer's log a failed test shows.
	maxLoggedBytes = 6000
	// unprivilegedUID is the user ID of "nobody".
	unprivilegedUID = 65534
)

// statefulBalancer is a balancer that a test starts any number of times on one state folder.
type statefulBalancer struct {
	program, configPath, fleetPath string
	stateFolder                    string
	management                     string // management address
	log                            *os.File
	uid                            int // user ID that the balancer runs as; 0: that of the test
}

// newStatefulBalancer writes the configuration of a balancer with a state folder, which does not exist yet.
func newStatefulBalancer(t *testing.T) *statefulBalancer {
	t.Helper()
	dir := t.TempDir()
	b := &statefulBalancer{
		program:     balancerCommand(t).Path,
		configPath:  filepath.Join(dir, "config.json"),
		fleetPath:   filepath.Join(dir, "fleet.toml"),
		stateFolder: filepath.Join(dir, "state"),
		management:  freeAddress(t),
	}
	if os.Getenv("RUN") != "" {
		t.Skip("RUN is set: this test needs the balancer process itself, not a shell that starts it")
	}
	b.writeFiles(t, fmt.Sprintf(configTemplate, freeAddress(t), freeAddress(t)),
		fmt.Sprintf("[state]\nfolder = %q\nsite = \"test\"\n", b.stateFolder))
	var err error
	b.log, err = os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if text, _ := os.ReadFile(b.log.Name()); t.Failed() {
			t.Logf("log:\n%s", text[max(0, len(text)-maxLoggedBytes):])
		}
		b.log.Close()
	})
	return b
}

// writeFiles writes the configuration and the fleet file.
func (b *statefulBalancer) writeFiles(t *testing.T, configText, fleetText string) {
	t.Helper()
	for path, text := range map[string]string{b.configPath: configText, b.fleetPath: fleetText} {
		writeFile(t, path, text)
	}
}

// command returns the command that starts the balancer.
func (b *statefulBalancer) command() *exec.Cmd {
	cmd := exec.Command(b.program)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+b.configPath, "RELAY_FLEET="+b.fleetPath, "RELAY_MANAGEMENT="+b.management)
	return cmd
}

// start starts the balancer, waits until it is ready and returns its answer to the management call check.
func (b *statefulBalancer) start(t *testing.T) (cmd *exec.Cmd, check string) {
	t.Helper()
	cmd = b.command()
	cmd.Stdout = b.log
	cmd.Stderr = b.log
	if b.uid != 0 {
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: uint32(b.uid), Gid: uint32(b.uid)}}
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(processTimeout)
	for {
		check = callManagement(b.management, "check")
		if strings.HasPrefix(check, "YES") {
			return cmd, check
		}
		if time.Now().After(deadline) {
			kill(cmd)
			t.Fatalf("not ready after %v: check got %q", processTimeout, check)
		}
		time.Sleep(answerPollInterval)
	}
}

// kill ends a process with SIGKILL and waits for its exit.
func kill(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}

// orderDuration repeats the order that is already in force and returns how long its answer took. The duration has to be measured
// at each kill, because an order takes tens of times longer on a disk under load than on an idle one.
func (b *statefulBalancer) orderDuration(t *testing.T, check string) time.Duration {
	t.Helper()
	order := "drain-off"
	if check == "YES draining" {
		order = "drain-on"
	}
	start := time.Now()
	if answer := callManagement(b.management, order); answer != check {
		t.Fatalf("%s got %q, want %q", order, answer, check)
	}
	return time.Since(start)
}

// An order that was answered with YES is in force after the process is killed at any time. An order without an answer may or may
// not be. The kills are spread over twice the duration of an order, so that some precede its answer even on a slow disk.
func TestOrdersOutliveKills(t *testing.T) {
	const seed = 3
	rng := rand.New(rand.NewPCG(seed, 0))
	b := newStatefulBalancer(t)
	allowedAnswers := map[string]bool{"YES serving": true} // to the call check after the next start
	confirmed := 0
	for i := range *killCount {
		cmd, check := b.start(t)
		if !allowedAnswers[check] {
			t.Errorf("seed %d, start %d: %q, want one of %v", seed, i, check, allowedAnswers)
		}
		allowedAnswers = map[string]bool{check: true}
		order, want := "drain-on", "YES draining"
		if rng.IntN(2) == 0 {
			order, want = "drain-off", "YES serving"
		}
		b.orderDuration(t, check) // not measured: the first order of a process takes longer than the others
		delay := time.Duration(rng.Int64N(int64(2 * b.orderDuration(t, check))))
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			time.Sleep(delay)
			cmd.Process.Kill()
		}()
		switch answer := callManagement(b.management, order); answer {
		case want:
			confirmed++
			allowedAnswers = map[string]bool{want: true}
		case "": // the process was killed before it answered
			allowedAnswers[want] = true
		default:
			t.Errorf("seed %d, start %d: %s got %q", seed, i, order, answer)
		}
		<-killed
		cmd.Wait()
	}
	if confirmed < *killCount/4 {
		t.Errorf("only %d of %d orders got a YES: fewer than a quarter show nothing", confirmed, *killCount)
	}
	t.Logf("%d kills, %d orders got a YES, all of them in force afterwards", *killCount, confirmed)
}

// With an unusable state folder, the start fails with a message of at most two lines that names the fleet file.
func TestUnusableStateFolder(t *testing.T) {
	b := newStatefulBalancer(t)
	dir := t.TempDir()
	link := filepath.Join(dir, "link")
	if err := os.Symlink(dir, link); err != nil {
		t.Fatal(err)
	}
	writeFile(t, b.fleetPath, fmt.Sprintf("[state]\nfolder = %q\n", link))
	out, err := b.command().CombinedOutput()
	if text := strings.TrimSpace(string(out)); err == nil || strings.Count(text, "\n") > 1 || !strings.Contains(text, "fleet.toml: state folder: ") {
		t.Errorf("got %v, %s", err, out)
	}
}

// diskFault makes saving orders fail, and ends the fault again.
type diskFault struct {
	name           string
	answer         string // part of the answer to an order during the fault
	inject, remove func(stateFolder string) error
}

// ordersTemporaryFile returns the path that orders are written to before the file is renamed.
func ordersTemporaryFile(stateFolder string) string { return filepath.Join(stateFolder, "orders.new") }

var diskFaults = []diskFault{
	{
		name:   "full",
		answer: "no space left",
		inject: func(folder string) error { // a write to the device of /dev/full fails with ENOSPC
			return syscall.Mknod(ordersTemporaryFile(folder), syscall.S_IFCHR|0o600, 1<<8|7)
		},
		remove: func(string) error { return nil }, // the balancer removes the file that it failed to write
	},
	{
		name:   "hangs",
		answer: "not kept",
		inject: func(folder string) error { // opening a named pipe for writing blocks until there is a reader
			return syscall.Mkfifo(ordersTemporaryFile(folder), 0o600)
		},
		remove: func(folder string) error {
			reader, err := os.OpenFile(ordersTemporaryFile(folder), os.O_RDONLY|syscall.O_NONBLOCK, 0)
			if err == nil {
				time.AfterFunc(time.Minute, func() { reader.Close() })
			}
			return err
		},
	},
	{
		name:   "read-only",
		answer: "not kept",
		inject: func(folder string) error { return os.Chmod(folder, 0o500) },
		remove: func(folder string) error { return os.Chmod(folder, 0o700) },
	},
}

// A disk that is full, hangs or is read-only doesn't interrupt service: orders take effect, their answers say that they were not
// saved, and orders are saved again once the disk has recovered.
func TestDiskFaultsCostNoService(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) { testDiskFault(t, fault) })
	}
}

// testDiskFault checks that orders take effect during a disk fault and are saved after it.
func testDiskFault(t *testing.T, fault diskFault) {
	t.Helper()
	b := newStatefulBalancer(t)
	if os.Getuid() == 0 && fault.name == "read-only" { // root may write in spite of the permissions
		b.runUnprivileged(t)
	}
	cmd, _ := b.start(t)
	defer func() { kill(cmd) }()
	if err := fault.inject(b.stateFolder); errors.Is(err, syscall.EPERM) {
		t.Skip("this test needs the permission to create a device: ", err)
	} else if err != nil {
		t.Fatal(err)
	}
	if answer := callManagement(b.management, "drain-on"); !strings.HasPrefix(answer, "NO draining") || !strings.Contains(answer, fault.answer) {
		t.Errorf("an order that can't be saved got %q", answer)
	}
	if answer := callManagement(b.management, "check"); answer != "YES draining" {
		t.Errorf("the order that can't be saved has no effect: check got %q", answer)
	}
	if err := fault.remove(b.stateFolder); err != nil {
		t.Fatal(err)
	}
	b.waitUntilSaved(t, "drain-on", "YES draining")
	kill(cmd)
	var check string
	if cmd, check = b.start(t); check != "YES draining" {
		t.Errorf("after a restart: check got %q", check)
	}
}

// waitUntilSaved repeats an order until its answer says that it is saved.
func (b *statefulBalancer) waitUntilSaved(t *testing.T, order, want string) {
	t.Helper()
	deadline := time.Now().Add(processTimeout)
	for answer := ""; answer != want; answer = callManagement(b.management, order) {
		if time.Now().After(deadline) {
			t.Fatalf("orders are not saved on a disk that has recovered: %q", answer)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runUnprivileged makes the balancer run as unprivilegedUID, who can read its files and owns its state folder.
func (b *statefulBalancer) runUnprivileged(t *testing.T) {
	t.Helper()
	b.uid = unprivilegedUID
	for _, path := range []string{b.program, b.configPath} {
		for dir := filepath.Dir(path); dir != os.TempDir(); dir = filepath.Dir(dir) {
			if err := os.Chmod(dir, 0o755); err != nil {
				t.Fatal(err)
			}
		}
	}
	err := errors.Join(os.Mkdir(b.stateFolder, 0o700), os.Chown(b.stateFolder, b.uid, -1),
		os.Chmod(b.configPath, 0o644), os.Chmod(b.fleetPath, 0o644))
	if err != nil {
		t.Fatal(err)
	}
}
