package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var kills = flag.Int("kills", 40, "how often TestOrdersOutliveKills kills the program")

// call makes an operators' call; "" where nobody answers.
func call(address, line string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintln(c, line)
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil && err != io.EOF {
		return ""
	}
	return strings.TrimSpace(answer)
}

// kept is a program that keeps its state in a folder.
type kept struct {
	path, config, fleet, operators string
	log                            *os.File
	user                           int // that it runs as, if not as the test
}

func newKept(t *testing.T) *kept {
	t.Helper()
	dir := t.TempDir()
	k := &kept{path: program(t).Path, config: filepath.Join(dir, "config.json"), fleet: filepath.Join(dir, "fleet.toml"), operators: free(t)}
	if os.Getenv("RUN") != "" {
		t.Skip("this needs the program itself, not a shell about it")
	}
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(k.config, fmt.Sprintf(config, free(t), free(t)))
	write(k.fleet, fmt.Sprintf("[state]\nfolder = %q\nsite = \"test\"\n", filepath.Join(dir, "state")))
	var err error
	if k.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if text, _ := os.ReadFile(k.log.Name()); t.Failed() {
			t.Logf("log:\n%s", text[max(0, len(text)-6000):])
		}
		k.log.Close()
	})
	return k
}

// start starts the program and waits until it answers operators; it returns what check says.
func (k *kept) start(t *testing.T) (cmd *exec.Cmd, check string) {
	t.Helper()
	cmd = exec.Command(k.path)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+k.config, "RELAY_FLEET="+k.fleet, "RELAY_MANAGEMENT="+k.operators)
	cmd.Stdout, cmd.Stderr = k.log, k.log
	if k.user != 0 {
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: uint32(k.user), Gid: uint32(k.user)}}
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	limit := time.Now().Add(30 * time.Second)
	for check = call(k.operators, "check"); !strings.HasPrefix(check, "YES"); check = call(k.operators, "check") {
		if time.Now().After(limit) {
			cmd.Process.Kill()
			cmd.Wait()
			t.Fatalf("never ready: %q", check)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return cmd, check
}

// timeOrder repeats the order that holds already and returns how long its answer took. It is what an order takes on this
// machine now: a disk under load needs tens of times what an idle one does.
func (k *kept) timeOrder(t *testing.T, check string) time.Duration {
	t.Helper()
	order := "drain-off"
	if check == "YES draining" {
		order = "drain-on"
	}
	begun := time.Now()
	if answer := call(k.operators, order); answer != check {
		t.Fatalf("%s got %q, want %q", order, answer, check)
	}
	return time.Since(begun)
}

// What got a YES holds after SIGKILL at any moment; an order that got none may hold or not. The moments of the kills are
// spread over twice what an order takes, so that some come before its answer also where a disk is slow.
func TestOrdersOutliveKills(t *testing.T) {
	const seed = 3
	rng := rand.New(rand.NewPCG(seed, 0))
	k := newKept(t)
	may := map[string]bool{"YES serving": true}
	ordered := 0
	for i := range *kills {
		cmd, check := k.start(t)
		if !may[check] {
			t.Errorf("seed %d, start %d: %q, want one of %v", seed, i, check, may)
		}
		may = map[string]bool{check: true}
		state, want := "drain-on", "YES draining"
		if rng.IntN(2) == 0 {
			state, want = "drain-off", "YES serving"
		}
		k.timeOrder(t, check) // a life's first order takes longer than those after it
		wait := time.Duration(rng.Int64N(int64(2 * k.timeOrder(t, check))))
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			time.Sleep(wait)
			cmd.Process.Kill()
		}()
		switch answer := call(k.operators, state); answer {
		case want:
			ordered++
			may = map[string]bool{want: true}
		case "": // killed before it answered
			may[want] = true
		default:
			t.Errorf("seed %d, start %d: %s got %q", seed, i, state, answer)
		}
		<-killed
		cmd.Wait()
	}
	if ordered < *kills/4 {
		t.Errorf("%d of %d orders got a YES: the moments ask too little", ordered, *kills)
	}
	t.Logf("%d kills, %d orders got a YES, all of them held", *kills, ordered)
}

// A folder that can't be used ends the start with one line that names the fleet file.
func TestBadStateFolderSaysWhy(t *testing.T) {
	k := newKept(t)
	dir := t.TempDir()
	if err := os.Symlink(dir, filepath.Join(dir, "link")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(k.fleet, fmt.Appendf(nil, "[state]\nfolder = %q\n", filepath.Join(dir, "link")), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(k.path)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+k.config, "RELAY_FLEET="+k.fleet)
	out, err := cmd.CombinedOutput()
	if text := strings.TrimSpace(string(out)); err == nil || strings.Count(text, "\n") > 1 || !strings.Contains(text, "fleet.toml: state folder: ") {
		t.Errorf("got %v, %s", err, out)
	}
}

// A disk that is full, hangs or is read-only costs what would be kept, never service: orders are carried out and say that they
// were not kept, and are kept again once the disk is well.
func TestDiskTroubleCostsNoService(t *testing.T) {
	for _, c := range []struct {
		name, want string
		spoil      func(folder string) error
		mend       func(folder string) error
	}{
		{"full", "no space left", func(folder string) error { // what is written to this device gets ENOSPC
			return syscall.Mknod(filepath.Join(folder, "orders.new"), syscall.S_IFCHR|0o600, 1<<8|7)
		}, func(string) error { return nil }},
		{"hangs", "not kept", func(folder string) error { // nobody reads from it, so that opening it waits
			return syscall.Mkfifo(filepath.Join(folder, "orders.new"), 0o600)
		}, func(folder string) error {
			f, err := os.OpenFile(filepath.Join(folder, "orders.new"), os.O_RDONLY|syscall.O_NONBLOCK, 0)
			if err == nil {
				time.AfterFunc(time.Minute, func() { f.Close() })
			}
			return err
		}},
		{"read-only", "not kept", func(folder string) error { return os.Chmod(folder, 0o500) },
			func(folder string) error { return os.Chmod(folder, 0o700) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newKept(t)
			folder := filepath.Join(filepath.Dir(k.config), "state")
			if os.Getuid() == 0 && c.name == "read-only" { // rights do not bind root
				k.user = 65534
				for _, path := range []string{k.path, k.config} {
					for dir := filepath.Dir(path); dir != os.TempDir(); dir = filepath.Dir(dir) {
						if err := os.Chmod(dir, 0o755); err != nil {
							t.Fatal(err)
						}
					}
				}
				if err := errors.Join(os.Mkdir(folder, 0o700), os.Chown(folder, k.user, -1), os.Chmod(k.config, 0o644), os.Chmod(k.fleet, 0o644)); err != nil {
					t.Fatal(err)
				}
			}
			cmd, _ := k.start(t)
			defer func() { cmd.Process.Kill(); cmd.Wait() }()
			if err := c.spoil(folder); errors.Is(err, syscall.EPERM) {
				t.Skip("this needs the right to make a device: ", err)
			} else if err != nil {
				t.Fatal(err)
			}
			if answer := call(k.operators, "drain-on"); !strings.HasPrefix(answer, "NO draining") || !strings.Contains(answer, c.want) {
				t.Errorf("an order that can't be kept got %q", answer)
			}
			if answer := call(k.operators, "check"); answer != "YES draining" {
				t.Errorf("it was not carried out: %q", answer)
			}
			if err := c.mend(folder); err != nil {
				t.Fatal(err)
			}
			limit := time.Now().Add(30 * time.Second)
			for answer := ""; answer != "YES draining"; answer = call(k.operators, "drain-on") {
				if time.Now().After(limit) {
					t.Fatalf("orders are not kept on a disk that is well again: %q", answer)
				}
				time.Sleep(50 * time.Millisecond)
			}
			cmd.Process.Kill()
			cmd.Wait()
			var check string
			if cmd, check = k.start(t); check != "YES draining" {
				t.Errorf("after a restart: %q", check)
			}
		})
	}
}
