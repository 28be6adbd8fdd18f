//go:build review

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second // for the start of a balancer
	playLimit    = 110 * time.Second
)

// play is one run of a case: its record, its discovery, upstreams and balancer.
type play struct {
	trouble bool
	began   time.Time
	folder  string
	lastID  atomic.Uint64

	mu      sync.Mutex // guards out
	out     *os.File
	closing []func()

	memoryMiB int // the balancer's limit of memory
	sockets   int // the balancer's limit of descriptors
	balancer  *process
}

func newPlay(recordPath string, trouble bool) *play {
	out, err := os.Create(recordPath)
	check(err)
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	p := &play{trouble: trouble, began: time.Now(), folder: folder, out: out, memoryMiB: 192, sockets: 1024}
	time.AfterFunc(playLimit, func() {
		if p.balancer != nil {
			p.balancer.stop()
		}
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitCouldNot)
	})
	return p
}

// close ends what the play has started.
func (p *play) close() {
	if p.balancer != nil {
		p.balancer.stop()
	}
	for _, f := range p.closing {
		f()
	}
	os.RemoveAll(p.folder)
	p.out.Close()
}

// record writes a line with the time since the play began.
func (p *play) record(format string, args ...any) {
	p.recordAt(time.Now(), format, args...)
}

func (p *play) recordAt(at time.Time, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%9.3f ", at.Sub(p.began).Seconds())
	fmt.Fprintf(p.out, format+"\n", args...)
}

// newID returns a fresh X-Request-Id.
func (p *play) newID() string { return fmt.Sprintf("%016x", p.lastID.Add(1)) }

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// host is a loopback address that no other run of a case is likely to use at the same time.
var host = fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)

// listen returns a listener on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", host)
	check(err)
	return l
}

// receiveBuffer is the size, in bytes, of the receive buffer of an upstream's connections.
const receiveBuffer = 64 << 10

// listenUpstream is like listen, with a receive buffer of a fixed size.
func listenUpstream() net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", host)
	check(err)
	return l
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// member is an entry of discovery's list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// list is discovery's list.
type list struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the agent on the balancer's machine. Its list does not change.
type discovery struct {
	list    list
	address string
}

func (p *play) startDiscovery(l list) *discovery {
	listener := listen()
	d := &discovery{list: l, address: listener.Addr().String()}
	server := &http.Server{Handler: d}
	go server.Serve(listener)
	p.closing = append(p.closing, func() { server.Close() })
	return d
}

// ServeHTTP answers a call at once with the list, or, to a watch from its revision, with no changes after the wait.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := d.list
	if r.URL.Query().Get("since") == fmt.Sprint(d.list.Revision) {
		wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		answer = list{Revision: d.list.Revision, Members: []member{}}
	}
	text, err := json.Marshal(answer)
	check(err)
	w.Write(text)
}

// process is a balancer.
type process struct {
	cmd     *exec.Cmd
	address string
	ended   chan struct{}
}

// startBalancer starts the command run of the deploy file with settings, and waits until it takes clients.
func (p *play) startBalancer(members []member, settings map[string]any) {
	known := list{Revision: 41, Complete: true, Members: members}
	d := p.startDiscovery(known)
	address := freeAddress()
	config := map[string]any{
		"name": "n3", "listen": address, "discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.memoryMiB, "sockets": p.sockets},
		"known":  known, "settings": settings,
	}
	text, err := json.Marshal(config)
	check(err)
	path := filepath.Join(p.folder, "config.json")
	check(os.WriteFile(path, text, 0o644))
	temporary := filepath.Join(p.folder, "tmp")
	check(os.Mkdir(temporary, 0o755))
	log, err := os.Create(filepath.Join(p.folder, "log"))
	check(err)
	cmd := exec.Command("/bin/sh", "-c", deployCommand("run"))
	cmd.Env = append(otherEnvironment(), "RELAY_CONFIG="+path, "RELAY_NAME=n3", "RELAY_LISTEN="+address,
		"RELAY_DISCOVERY="+d.address, "TMPDIR="+temporary)
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	p.balancer = &process{cmd: cmd, address: address, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.balancer.ended)
	}()
	for deadline := time.Now().Add(readyTimeout); !p.balancer.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) || !p.balancer.isRunning() {
			panic("the balancer is not ready")
		}
	}
	p.record("balancer ready, process %d, clients at %s", cmd.Process.Pid, address)
}

// otherEnvironment returns the environment without the variables of a balancer.
func otherEnvironment() []string {
	return slices.DeleteFunc(os.Environ(), func(variable string) bool { return strings.HasPrefix(variable, "RELAY_") })
}

// deployCommand returns a command of the deploy file. The current folder is the root of the project.
func deployCommand(name string) string {
	text, err := os.ReadFile(filepath.Join("deploy", "balancer.toml"))
	check(err)
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, " = ")
		if key == name {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	panic("the deploy file has no " + name)
}

func (b *process) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + b.address + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *process) isRunning() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (b *process) stop() {
	b.cmd.Process.Signal(syscall.SIGKILL)
	<-b.ended
}
