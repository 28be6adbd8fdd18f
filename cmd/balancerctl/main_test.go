package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sprucehill/internal/lab/labtest"
	"sprucehill/internal/lab/measure"
)

// commandPath is the path of this program, balancerPath that of the balancer that the lab starts. TestMain builds both once.
var commandPath, balancerPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sprucehill")
	if err != nil {
		panic(err)
	}
	commandPath = filepath.Join(dir, "balancerctl")
	balancerPath = filepath.Join(dir, "balancer")
	for path, pkg := range map[string]string{commandPath: ".", balancerPath: "../balancer"} {
		if err := labtest.BuildAt(path, pkg); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runCommand runs this program in an empty folder and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(commandPath, args...)
	cmd.Dir = t.TempDir()
	var out, errorOutput bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errorOutput
	err := cmd.Run()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		t.Fatal(err)
	}
	return out.String(), errorOutput.String(), cmd.ProcessState.ExitCode()
}

// newWorkTree makes a work tree whose deploy file starts the balancer with startCommand, and returns its path.
func newWorkTree(t *testing.T, startCommand string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "deploy"), 0o755); err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(dir, "deploy", "balancer.toml"), fmt.Sprintf("build = \"true\"\nrun = %q\n", startCommand))
	return dir
}

func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// The exit code is 0 on success, 1 if a check failed, and 2 with a short message if the input is invalid.
func TestExitCodes(t *testing.T) {
	quick := labtest.ExampleFile(t, "quickstart.toml")
	fire := labtest.ExampleFile(t, "zone-fire.toml")
	bad := writeFile(t, filepath.Join(t.TempDir(), "bad.toml"), "length = \"1s\"\nsede = 3\n")
	for _, c := range []struct {
		args []string
		code int
		want string // part of standard output on success, else of standard error
	}{
		{[]string{"lab", "check", quick}, exitOK, "4 balancers, 12 upstreams"},
		{[]string{"lab", "show", fire}, exitOK, "dc-b-u1 dc-b-u2 dc-b-u3 and 3 more"},
		{[]string{"lab", "check", bad}, exitUnusable, `bad.toml:2: unknown key "sede"; did you mean "seed"?`},
		{[]string{"lab", "run", bad}, exitUnusable, "unknown key"},
		{[]string{"lab", "run", quick, "--engine", "model"}, exitOK, "no rule was broken"},
		{[]string{"lab", "run", quick, "--engine", "model", "--policy", "best"}, exitUnusable, `policy "best"`},
		{[]string{"lab", "run", labtest.ExampleFile(t, "fleet-500.toml"), "--program", newWorkTree(t, "exec true")}, exitUnusable, "use the model engine"},
		{[]string{"lab", "run", quick, "--program", t.TempDir()}, exitUnusable, "deploy/balancer.toml found neither in"},
		{[]string{"lab", "run", quick, "--program", newWorkTree(t, "exec false")}, exitUnusable, "ended before it was ready"},
		{[]string{"lab", "run", quick, "--program", newWorkTree(t, "exec true"), "--engine", "nothing"}, exitUnusable, "--engine"},
		{[]string{"lab", "compare", "policy:round-robin", "this", "--day", fire, "--plays", "3", "--expect", "better"}, exitOK, "yes, B is better"},
		{[]string{"lab", "compare", "this", "policy:round-robin", "--day", fire, "--plays", "3", "--expect", "better"}, exitCheckFailed, "scores no better"},
		{[]string{"lab", "compare", "this", "this", "--day", quick, "--plays", "3", "--expect", "same"}, exitOK, "+0 ± 0"},
		{[]string{"lab", "compare", "this", "that", "--day", quick}, exitUnusable, `"that" is no side`},
		{[]string{"lab", "compare", "this", "commit:nowhere", "--day", quick}, exitUnusable, "nowhere"},
	} {
		out, errorOutput, code := runCommand(t, c.args...)
		message := out
		if code != exitOK {
			message = errorOutput
		}
		if code != c.code || !strings.Contains(message, c.want) {
			t.Errorf("%v: exit %d, want %d and %q:\n%s%s", c.args, code, c.code, c.want, out, errorOutput)
		}
		if code == exitUnusable && strings.Count(strings.TrimSpace(errorOutput), "\n") > 1 {
			t.Errorf("%v: the message on standard error has more than two lines:\n%s", c.args, errorOutput)
		}
	}
}

// A scenario that needs more file descriptors than the process may open is refused before anything is started.
func TestTooFewDescriptors(t *testing.T) {
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n 300 && exec "+commandPath+" lab run "+labtest.ExampleFile(t, "quickstart.toml")+" --program "+newWorkTree(t, "exec "+balancerPath)+" --out "+t.TempDir())
	out, err := cmd.CombinedOutput()
	if err == nil || cmd.ProcessState.ExitCode() != exitUnusable || !strings.Contains(string(out), "descriptors and this process may have 300") {
		t.Errorf("%v: %s", err, out)
	}
}

// lab run --json writes the complete summary.
func TestJSON(t *testing.T) {
	out, _, code := runCommand(t, "lab", "run", labtest.ExampleFile(t, "quickstart.toml"), "--engine", "model", "--json")
	var s measure.Summary
	if err := json.Unmarshal([]byte(out), &s); err != nil || code != exitOK {
		t.Fatalf("exit %d: %v", code, err)
	}
	if s.Main.Requests < 1000 || s.Main.ServedRatio < 0.99 || len(s.Series) != 20 || s.Main.Latency.P99 <= s.Main.Latency.P50 {
		t.Errorf("%+v", s.Main)
	}
}

// --help lists and explains the flags, and the shell completion offers the commands that match.
func TestHelpAndCompletion(t *testing.T) {
	out, _, code := runCommand(t, "lab", "run", "--help")
	if code != exitOK || !strings.Contains(out, "--engine") || !strings.Contains(out, "virtual time") {
		t.Errorf("exit %d: %s", code, out)
	}
	cmd := exec.Command(commandPath)
	cmd.Env = append(os.Environ(), "COMP_LINE=balancerctl lab co", "COMP_POINT=18")
	if out, err := cmd.Output(); err != nil || strings.TrimSpace(string(out)) != "compare" {
		t.Errorf("completion of %q is %q, want %q: %v", "lab co", out, "compare", err)
	}
}

// countBalancerProcesses counts the processes whose environment has RELAY_CONFIG in the given folder.
func countBalancerProcesses(t *testing.T, folder string) int {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, path := range all {
		if text, err := os.ReadFile(path); err == nil && bytes.Contains(text, []byte("RELAY_CONFIG="+folder)) {
			n++
		}
	}
	return n
}

// If the lab is killed with SIGKILL, the balancers that it has started end as well.
func TestKilledLabLeavesNoProcesses(t *testing.T) {
	out := t.TempDir()
	cmd := exec.Command(commandPath, "lab", "run", labtest.ExampleFile(t, "quickstart.toml"), "--program", newWorkTree(t, "exec "+balancerPath), "--out", out)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	wait := func(failure string, done func() bool) {
		t.Helper()
		for limit := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("%s: %d balancers are running", failure, countBalancerProcesses(t, out))
			}
		}
	}
	wait("not all balancers have started within 30 s", func() bool { return countBalancerProcesses(t, out) >= 4 })
	if err := cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	cmd.Wait() // returns an error, since the process was killed
	wait("balancers are left 30 s after the lab was killed", func() bool { return countBalancerProcesses(t, out) == 0 })
}
