//go:build review

package stage

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stage holds what a scene has started, and its record.
type stage struct {
	began  time.Time
	root   string // of the project
	folder string // temporary
	run    string // the deploy file's command

	mu        sync.Mutex
	record    *os.File
	broken    int
	failure   any // why the scene can't go on, from a goroutine of its own
	ids       uint64
	processes []*process
	listeners []net.Listener
}

// must ends the scene with "cannot run" on an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func newStage(record string) (*stage, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, fmt.Errorf("start the program in the root of the project: %w", err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no run")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &stage{began: time.Now(), root: root, folder: folder, run: string(run[1]), record: file, ids: uint64(time.Now().UnixNano())}, nil
}

// log writes a line to the record.
func (s *stage) log(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that the rule was broken.
func (s *stage) breaks(format string, values ...any) {
	s.mu.Lock()
	s.broken++
	s.mu.Unlock()
	s.log("RULE BROKEN: "+format, values...)
}

// goroutines runs a function n times at once, and waits. The scene can't run if one of them panics.
func (s *stage) goroutines(n int, run func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			defer func() {
				if failure := recover(); failure != nil {
					s.mu.Lock()
					s.failure = failure
					s.mu.Unlock()
				}
			}()
			run(i)
		})
	}
	group.Wait()
	s.mu.Lock()
	failure := s.failure
	s.mu.Unlock()
	if failure != nil {
		panic(failure)
	}
}

func (s *stage) brokenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// newID returns a fresh X-Request-Id.
func (s *stage) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return fmt.Sprintf("%016x", s.ids*0x9e3779b97f4a7c15)
}

// end ends everything that the scene has started.
func (s *stage) end() {
	s.mu.Lock()
	processes := s.processes
	listeners := s.listeners
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, l := range listeners {
		l.Close()
	}
	os.RemoveAll(s.folder)
}

func (s *stage) close() { s.record.Close() }

// listen opens a listener on a free port.
func (s *stage) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return l
}

// freeAddress returns an address that nobody listens on.
func (s *stage) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// object is a JSON object.
type object = map[string]any

// settings returns settings like those of a small deployment: two zones, three classes.
func settings() object {
	class := func(name, repeat, group string, target, giveUp, memory int, worth float64) object {
		return object{"name": name, "repeat": repeat, "group": group, "target_us": target, "give_up_us": giveUp,
			"memory_span_us": memory, "worth": worth, "late_worth": 0.0, "stream": false}
	}
	return object{
		"az": "z1", "zones": []string{"z1", "z2"}, "balancers": 2, "rank": 0, "family": "proxy", "family_info": object{"warm_keys": false},
		"granularity_us": 5000, "membership_mode": "pushed", "over_share_worth": 0.05, "stage": 0, "tiers": []string{"t"},
		"kinds": []string{"k"}, "weights": "nominal", "worth_by": "request", "clients": object{"marks_retry": false},
		"reporting": object{"via": "silent", "fields": []string{}}, "tenants": []object{},
		"limits": object{"cancel": true, "connect_timeout_us": 250000, "keepalive_us": 15000000, "max_attempts": 5,
			"max_retry_after_us": 2500000, "peers": false, "probes": false, "retry_after": true, "second_copies": true,
			"max_open": 20000, "streams_per_conn": 1, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000},
		"obligations": object{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.14, "drain_grace_us": 500000,
			"ramp_time_us": 22000000, "tip_after_us": 2000000, "tip_multiple": 2.5},
		"profiles": []object{
			class("plan-trip", "read_like", "all", 600000, 2000000, 5000000, 3),
			class("buy-ticket", "non_idempotent", "all", 2000000, 7500000, 5000000, 5),
			class("wallet-topup", "idempotency_key", "zone", 2000000, 4000000, 7500000, 3),
		},
	}
}

// process is a balancer that the stage has started.
type process struct {
	stage      *stage
	cmd        *exec.Cmd
	address    string // for clients
	management string
	config     string // path of the configuration
	exited     chan struct{}
}

// startOptions configure startBalancer. The zero value has defaults.
type startOptions struct {
	settings object
	memoryMB int
	sockets  int
	env      []string
	files    []*os.File // inherited, from descriptor 3 on
	name     string
	address  string // for clients
	tmp      string
	noWait   bool
}

// startBalancer starts a balancer as the platform does, and waits until it is ready.
func (s *stage) startBalancer(d *discovery, o startOptions) *process {
	if o.settings == nil {
		o.settings = settings()
	}
	if o.memoryMB == 0 {
		o.memoryMB = 128
	}
	if o.sockets == 0 {
		o.sockets = 1024
	}
	if o.name == "" {
		o.name = "n0"
	}
	if o.address == "" {
		o.address = s.freeAddress()
	}
	if o.tmp == "" {
		tmp, err := os.MkdirTemp(s.folder, "tmp")
		must(err)
		o.tmp = tmp
	}
	p := &process{stage: s, address: o.address, management: s.freeAddress(), exited: make(chan struct{})}
	p.config = filepath.Join(o.tmp, fmt.Sprintf("config-%d.json", time.Now().UnixNano()))
	p.writeConfig(d, o)
	p.cmd = exec.Command("/bin/sh", "-c", s.run)
	p.cmd.Dir = s.root
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.config, "RELAY_NAME="+o.name, "RELAY_LISTEN="+p.address,
		"RELAY_DISCOVERY="+d.address(), "RELAY_MANAGEMENT="+p.management, "TMPDIR="+o.tmp)
	p.cmd.Env = append(p.cmd.Env, o.env...)
	p.cmd.ExtraFiles = o.files
	logFile, err := os.Create(filepath.Join(o.tmp, "log"))
	must(err)
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	must(p.cmd.Start())
	s.log("balancer %s started, process %d, clients at %s", o.name, p.cmd.Process.Pid, p.address)
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		defer close(p.exited)
		err := p.cmd.Wait()
		text, _ := os.ReadFile(logFile.Name())
		s.log("balancer %s ended: %v; the end of its log:\n%s", o.name, err, tail(string(text), 1500))
		logFile.Close()
	}()
	if !o.noWait {
		p.awaitReady()
	}
	return p
}

func tail(text string, n int) string { return text[max(0, len(text)-n):] }

// writeConfig writes the configuration file.
func (p *process) writeConfig(d *discovery, o startOptions) {
	text, err := json.Marshal(object{
		"name": o.name, "listen": p.address, "discovery": d.address(), "management": p.management, "seed": "8c1f30d27a5be9",
		"limits":   object{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"known":    d.list(),
		"settings": o.settings,
	})
	must(err)
	must(os.WriteFile(p.config, text, 0o600))
}

// awaitReady waits until GET /healthz answers 200.
func (p *process) awaitReady() {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if p.healthy() {
			p.stage.log("balancer ready")
			return
		}
	}
	panic("the balancer is not ready after 30 s")
}

// healthy asks the balancer as the front does.
func (p *process) healthy() bool {
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// call makes an operators' call and returns its answer.
func (p *process) call(line string) string {
	c, err := net.DialTimeout("tcp", p.management, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "%s\n", line)
	var text strings.Builder
	_, _ = bufio.NewReader(c).WriteTo(&text)
	p.stage.log("operator: %s -> %s", line, firstLine(text.String()))
	return text.String()
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

func (p *process) signal(sig syscall.Signal) {
	p.stage.log("%v to process %d", sig, p.cmd.Process.Pid)
	_ = p.cmd.Process.Signal(sig)
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if !p.hasExited() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// peakMemory returns the highest resident memory of the process so far, in MiB.
func (p *process) peakMemory() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	found := regexp.MustCompile(`VmHWM:\s*(\d+) kB`).FindSubmatch(text)
	if found == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(found[1]))
	return float64(kb) / 1024
}
