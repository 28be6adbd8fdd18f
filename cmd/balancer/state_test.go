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
	// answerPollInterval is how often a call is repeated until it has the answer that a test waits for.
	answerPollInterval = 2 * time.Millisecond
	// maxLoggedBytes is how much of a balancer's log a failed test shows.
	maxLoggedBytes = 6000
	// unprivilegedUser is the user "nobody".
	unprivilegedUser = 65534
)

// statefulBalancer starts a balancer any number of times on one state folder.
type statefulBalancer struct {
	program, configPath, fleetPath string
	stateFolder                    string
	management                     string // address for operators' calls
	log                            *os.File
	user                           int // that the balancer runs as; 0: the test's own
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
		t.Skip("this needs the program itself, not a shell about it")
	}
	b.writeFiles(t, fmt.Sprintf(configTemplate, freeAddress(t), freeAddress(t)), fmt.Sprintf("[state]\nfolder = %q\nsite = \"test\"\n", b.stateFolder))
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

// start starts the balancer and waits until it is ready; it returns the answer to check.
func (b *statefulBalancer) start(t *testing.T) (cmd *exec.Cmd, check string) {
	t.Helper()
	cmd = b.command()
	cmd.Stdout = b.log
	cmd.Stderr = b.log
	if b.user != 0 {
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: uint32(b.user), Gid: uint32(b.user)}}
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	limit := time.Now().Add(processTimeout)
	for {
		check = callManagement(b.management, "check")
		if strings.HasPrefix(check, "YES") {
			return cmd, check
		}
		if time.Now().After(limit) {
			kill(cmd)
			t.Fatalf("never ready: %q", check)
		}
		time.Sleep(answerPollInterval)
	}
}

// kill ends a process by SIGKILL.
func kill(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}

// orderDuration repeats the order that is in force already and returns how long its answer took. That is what an order
// takes on this machine now: a disk under load needs tens of times what an idle one does.
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

// An order that got a YES is in force after SIGKILL at any moment; one that got no answer may be or not. The moments of
// the kills are spread over twice the duration of an order, so that some come before its answer also if the disk is slow.
func TestOrdersOutliveKills(t *testing.T) {
	const seed = 3
	rng := rand.New(rand.NewPCG(seed, 0))
	b := newStatefulBalancer(t)
	allowed := map[string]bool{"YES serving": true} // answers to check after the next start
	confirmed := 0
	for i := range *killCount {
		cmd, check := b.start(t)
		if !allowed[check] {
			t.Errorf("seed %d, start %d: %q, want one of %v", seed, i, check, allowed)
		}
		allowed = map[string]bool{check: true}
		order, want := "drain-on", "YES draining"
		if rng.IntN(2) == 0 {
			order, want = "drain-off", "YES serving"
		}
		b.orderDuration(t, check) // the first order of a process takes longer than the others
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
			allowed = map[string]bool{want: true}
		case "": // killed before it answered
			allowed[want] = true
		default:
			t.Errorf("seed %d, start %d: %s got %q", seed, i, order, answer)
		}
		<-killed
		cmd.Wait()
	}
	if confirmed < *killCount/4 {
		t.Errorf("%d of %d orders got a YES: too few to show anything", confirmed, *killCount)
	}
	t.Logf("%d kills, %d orders got a YES, all of them in force afterwards", *killCount, confirmed)
}

// A folder that can't be used fails the start with one line that names the fleet file.
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

// diskFault is a way in which a disk fails to save the orders, and how it recovers.
type diskFault struct {
	name         string
	answer       string // part of the answer to an order during the fault
	inject, heal func(stateFolder string) error
}

// ordersTemporary is the file that an order is written to before it gets its name.
func ordersTemporary(stateFolder string) string { return filepath.Join(stateFolder, "orders.new") }

var diskFaults = []diskFault{
	{
		name:   "full",
		answer: "no space left",
		inject: func(folder string) error { // a write to the device /dev/full fails with ENOSPC
			return syscall.Mknod(ordersTemporary(folder), syscall.S_IFCHR|0o600, 1<<8|7)
		},
		heal: func(string) error { return nil }, // the balancer itself removes what it failed to write
	},
	{
		name:   "hangs",
		answer: "not kept",
		inject: func(folder string) error { // opening a pipe that nobody reads from waits
			return syscall.Mkfifo(ordersTemporary(folder), 0o600)
		},
		heal: func(folder string) error {
			reader, err := os.OpenFile(ordersTemporary(folder), os.O_RDONLY|syscall.O_NONBLOCK, 0)
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
		heal:   func(folder string) error { return os.Chmod(folder, 0o700) },
	},
}

// A disk that is full, hangs or is read-only costs what would be saved, but no service: orders are carried out, their
// answers say that they were not saved, and orders are saved again once the disk has recovered.
func TestDiskFaultsCostNoService(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) { wantServiceDespite(t, fault) })
	}
}

// wantServiceDespite checks that a disk fault costs no service.
func wantServiceDespite(t *testing.T, fault diskFault) {
	t.Helper()
	b := newStatefulBalancer(t)
	if os.Getuid() == 0 && fault.name == "read-only" { // permissions do not bind root
		b.runUnprivileged(t)
	}
	cmd, _ := b.start(t)
	defer func() { kill(cmd) }()
	if err := fault.inject(b.stateFolder); errors.Is(err, syscall.EPERM) {
		t.Skip("this needs the right to make a device: ", err)
	} else if err != nil {
		t.Fatal(err)
	}
	if answer := callManagement(b.management, "drain-on"); !strings.HasPrefix(answer, "NO draining") || !strings.Contains(answer, fault.answer) {
		t.Errorf("an order that can't be saved got %q", answer)
	}
	if answer := callManagement(b.management, "check"); answer != "YES draining" {
		t.Errorf("it was not carried out: %q", answer)
	}
	if err := fault.heal(b.stateFolder); err != nil {
		t.Fatal(err)
	}
	b.waitUntilSaved(t, "drain-on", "YES draining")
	kill(cmd)
	var check string
	if cmd, check = b.start(t); check != "YES draining" {
		t.Errorf("after a restart: %q", check)
	}
}

// waitUntilSaved repeats an order until it has the answer that says that it is saved.
func (b *statefulBalancer) waitUntilSaved(t *testing.T, order, want string) {
	t.Helper()
	limit := time.Now().Add(processTimeout)
	for answer := ""; answer != want; answer = callManagement(b.management, order) {
		if time.Now().After(limit) {
			t.Fatalf("orders are not saved on a disk that has recovered: %q", answer)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runUnprivileged has the balancer run as another user, who can read its files and owns its state folder.
func (b *statefulBalancer) runUnprivileged(t *testing.T) {
	t.Helper()
	b.user = unprivilegedUser
	for _, path := range []string{b.program, b.configPath} {
		for dir := filepath.Dir(path); dir != os.TempDir(); dir = filepath.Dir(dir) {
			if err := os.Chmod(dir, 0o755); err != nil {
				t.Fatal(err)
			}
		}
	}
	err := errors.Join(os.Mkdir(b.stateFolder, 0o700), os.Chown(b.stateFolder, b.user, -1),
		os.Chmod(b.configPath, 0o644), os.Chmod(b.fleetPath, 0o644))
	if err != nil {
		t.Fatal(err)
	}
}
