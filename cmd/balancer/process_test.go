package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// config is a configuration with its address for clients and that of discovery left open.
const configTemplate = `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"az":"z1","balancers":1,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":100000,"keepalive_us":60000000},
"obligations":{"ask_within_us":10000000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3},
"profiles":[{"name":"c","target_us":250000,"give_up_us":750000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}}`

// program returns the command that starts the balancer: the deployed one if RUN has it, from the root of the repository,
// or else a program that is built here.
func balancerCommand(t *testing.T) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	path := filepath.Join(t.TempDir(), "balancer")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return exec.Command(path)
}

// loopbackHosts counts the hosts that freeAddress has given away.
var loopbackHosts atomic.Uint32

// freeAddress returns an address on which nothing listens. Its host is one of 127.64.0.0/10 that no other address of this
// process has: between this call and the use of the address, nothing else can take its port.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := loopbackHosts.Add(1)
	host := net.IPv4(127, byte(64+os.Getpid()%64), byte(n>>8), byte(n)).String()
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

const (
	// processTimeout bounds the life of a process of a test.
	processTimeout = 30 * time.Second
	// healthPollInterval is how often a process that starts is asked whether it is healthy.
	healthPollInterval = 10 * time.Millisecond
	// inheritedListenerFD is the descriptor of the first file that a child process inherits.
	inheritedListenerFD = "3"
)

// process is a running balancer.
type process struct {
	*exec.Cmd
	template   string // of the configuration
	configPath string
	log        bytes.Buffer
	exited     chan error       // gets the error of Wait
	deadline   <-chan time.Time // of the process's whole life
}

// startBalancer starts the balancer with an address of discovery and waits until it is healthy.
func startBalancer(t *testing.T, discovery string) *process {
	t.Helper()
	return startProcess(t, balancerCommand(t), freeAddress(t), discovery, nil)
}

// startProcess starts a command of any build at an address for clients and waits until it is healthy. The process
// inherits the listener of that address if there is one.
func startProcess(t *testing.T, cmd *exec.Cmd, listen, discovery string, listener *os.File) *process {
	t.Helper()
	return startConfigured(t, cmd, configTemplate, listen, discovery, listener)
}

// startConfigured is startProcess with another configuration than configTemplate.
func startConfigured(t *testing.T, cmd *exec.Cmd, template, listen, discovery string, listener *os.File) *process {
	t.Helper()
	p := newProcess(t, cmd, template, listen, discovery)
	if listener != nil {
		p.ExtraFiles = []*os.File{listener}
		p.Env = append(p.Env, "RELAY_FD="+inheritedListenerFD)
	}
	p.Stdout = &p.log
	p.Stderr = &p.log
	p.launch(t)
	p.waitUntilHealthy(t, listen)
	return p
}

// newProcess writes a command's configuration and sets its environment; it does not start it.
func newProcess(t *testing.T, cmd *exec.Cmd, template, listen, discovery string) *process {
	t.Helper()
	p := &process{
		Cmd:        cmd,
		template:   template,
		configPath: filepath.Join(t.TempDir(), "config.json"),
		exited:     make(chan error, 1),
		deadline:   time.After(processTimeout),
	}
	p.writeConfig(t, listen, discovery)
	p.Env = append(os.Environ(), "RELAY_CONFIG="+p.configPath, "RELAY_DISCOVERY="+discovery)
	return p
}

// launch starts the process.
func (p *process) launch(t *testing.T) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.Wait() }()
}

// waitUntilHealthy waits until the process answers a health check.
func (p *process) waitUntilHealthy(t *testing.T, address string) {
	t.Helper()
	for checkHealth(address) != nil {
		select {
		case err := <-p.exited:
			t.Fatalf("exited early: %v\n%s", err, &p.log)
		case <-p.deadline:
			p.Process.Kill()
			t.Fatalf("not healthy in time: %v", <-p.exited)
		case <-time.After(healthPollInterval):
		}
	}
}

// checkHealth returns an error unless a balancer answers a health check with 200.
func checkHealth(address string) error {
	client := http.Client{Timeout: processTimeout}
	response, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("health check: %s", response.Status)
	}
	return nil
}

// writeConfig writes the configuration that the process reads.
func (p *process) writeConfig(t *testing.T, listen, discovery string) {
	t.Helper()
	writeFile(t, p.configPath, fmt.Sprintf(p.template, listen, discovery))
}

// writeFile writes a file that only the test's own user may read.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// terminate ends the process by SIGTERM and checks that it exits with 0.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, &p.log)
		}
	case <-p.deadline:
		p.Process.Kill()
		t.Fatalf("not exited in time: %v\n%s", <-p.exited, &p.log)
	}
}
