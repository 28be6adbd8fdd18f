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

// command is this program, built once for all tests; balancer is the program that it plays with.
var command, balancer string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sprucehill")
	if err != nil {
		panic(err)
	}
	command = filepath.Join(dir, "balancerctl")
	balancer = filepath.Join(dir, "balancer")
	for path, pkg := range map[string]string{command: ".", balancer: "../balancer"} {
		if err := labtest.BuildAt(path, pkg); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// call runs the command and returns what it wrote and its exit code.
func call(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(command, args...)
	cmd.Dir = t.TempDir()
	var out, problems bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &problems
	err := cmd.Run()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		t.Fatal(err)
	}
	return out.String(), problems.String(), cmd.ProcessState.ExitCode()
}

// tree is a work tree whose program is started by run.
func tree(t *testing.T, run string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "deploy"), 0o755); err != nil {
		t.Fatal(err)
	}
	write(t, filepath.Join(dir, "deploy", "balancer.toml"), fmt.Sprintf("build = \"true\"\nrun = %q\n", run))
	return dir
}

func write(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// 0 is good, 1 a claim that failed, 2 input that can't be used, with one plain line.
func TestExitCodes(t *testing.T) {
	quick := labtest.ExampleFile(t, "quickstart.toml")
	fire := labtest.ExampleFile(t, "zone-fire.toml")
	bad := write(t, filepath.Join(t.TempDir(), "bad.toml"), "length = \"1s\"\nsede = 3\n")
	for _, c := range []struct {
		args []string
		code int
		says string // on standard output if good, else in the one line on standard error
	}{
		{[]string{"lab", "check", quick}, exitOK, "4 balancers, 12 upstreams"},
		{[]string{"lab", "show", fire}, exitOK, "dc-b-u1 dc-b-u2 dc-b-u3 and 3 more"},
		{[]string{"lab", "check", bad}, exitUnusable, `bad.toml:2: unknown key "sede"; did you mean "seed"?`},
		{[]string{"lab", "run", bad}, exitUnusable, "unknown key"},
		{[]string{"lab", "run", quick, "--engine", "model"}, exitOK, "no rule was broken"},
		{[]string{"lab", "run", quick, "--engine", "model", "--policy", "best"}, exitUnusable, `policy "best"`},
		{[]string{"lab", "run", labtest.ExampleFile(t, "fleet-500.toml"), "--program", tree(t, "exec true")}, exitUnusable, "use the model engine"},
		{[]string{"lab", "run", quick, "--program", t.TempDir()}, exitUnusable, "deploy/balancer.toml is neither in"},
		{[]string{"lab", "run", quick, "--program", tree(t, "exec false")}, exitUnusable, "ended before it was ready"},
		{[]string{"lab", "run", quick, "--program", tree(t, "exec true"), "--engine", "nothing"}, exitUnusable, "--engine"},
		{[]string{"lab", "compare", "policy:round-robin", "this", "--day", fire, "--plays", "3", "--expect", "better"}, exitOK, "yes, B is better"},
		{[]string{"lab", "compare", "this", "policy:round-robin", "--day", fire, "--plays", "3", "--expect", "better"}, exitCheckFailed, "scores no better"},
		{[]string{"lab", "compare", "this", "this", "--day", quick, "--plays", "3", "--expect", "same"}, exitOK, "+0 ± 0"},
		{[]string{"lab", "compare", "this", "that", "--day", quick}, exitUnusable, `"that" is no side`},
		{[]string{"lab", "compare", "this", "commit:nowhere", "--day", quick}, exitUnusable, "nowhere"},
	} {
		out, problems, code := call(t, c.args...)
		said := out
		if code != exitOK {
			said = problems
		}
		if code != c.code || !strings.Contains(said, c.says) {
			t.Errorf("%v: exit %d, want %d and %q:\n%s%s", c.args, code, c.code, c.says, out, problems)
		}
		if code == exitUnusable && strings.Count(strings.TrimSpace(problems), "\n") > 1 {
			t.Errorf("%v: more than a plain message:\n%s", c.args, problems)
		}
	}
}

// A day that needs more descriptors than this process may have is refused before anything starts.
func TestTooFewDescriptors(t *testing.T) {
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n 300 && exec "+command+" lab run "+labtest.ExampleFile(t, "quickstart.toml")+" --program "+tree(t, "exec "+balancer)+" --out "+t.TempDir())
	out, err := cmd.CombinedOutput()
	if err == nil || cmd.ProcessState.ExitCode() != exitUnusable || !strings.Contains(string(out), "descriptors and this process may have 300") {
		t.Errorf("%v: %s", err, out)
	}
}

// A summary as JSON is the whole summary.
func TestJSON(t *testing.T) {
	out, _, code := call(t, "lab", "run", labtest.ExampleFile(t, "quickstart.toml"), "--engine", "model", "--json")
	var s measure.Summary
	if err := json.Unmarshal([]byte(out), &s); err != nil || code != exitOK {
		t.Fatalf("exit %d: %v", code, err)
	}
	if s.Main.Requests < 1000 || s.Main.ServedRatio < 0.99 || len(s.Series) != 20 || s.Main.Latency.P99 <= s.Main.Latency.P50 {
		t.Errorf("%+v", s.Main)
	}
}

// --help teaches, and a shell is told what can come next.
func TestHelpAndCompletion(t *testing.T) {
	out, _, code := call(t, "lab", "run", "--help")
	if code != exitOK || !strings.Contains(out, "--engine") || !strings.Contains(out, "virtual time") {
		t.Errorf("exit %d: %s", code, out)
	}
	cmd := exec.Command(command)
	cmd.Env = append(os.Environ(), "COMP_LINE=balancerctl lab co", "COMP_POINT=18")
	if out, err := cmd.Output(); err != nil || strings.TrimSpace(string(out)) != "compare" {
		t.Errorf("completion of «lab co» is %q: %v", out, err)
	}
}

// running counts the processes that were started with a folder in their environment.
func running(t *testing.T, folder string) int {
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

// A lab that is killed takes its balancers along.
func TestKilledLabLeavesNoProcesses(t *testing.T) {
	out := t.TempDir()
	cmd := exec.Command(command, "lab", "run", labtest.ExampleFile(t, "quickstart.toml"), "--program", tree(t, "exec "+balancer), "--out", out)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	wait := func(what string, done func() bool) {
		t.Helper()
		for limit := time.Now().Add(30 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("%s: %d balancers run", what, running(t, out))
			}
		}
	}
	wait("not all have started", func() bool { return running(t, out) >= 4 })
	if err := cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	cmd.Wait() // it was killed
	wait("some are left", func() bool { return running(t, out) == 0 })
}
