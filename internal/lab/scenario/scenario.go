// Package scenario reads scenario files. A scenario describes an experiment: a fleet in regions and zones, its clients, and
// a timetable of faults. All random choices that are made before a run come from one seed, so the same file and seed
// give the same arrivals, targets of faults and timetable in both engines. The package uses no clock and no sockets.
//
// The exported fields of a Scenario and its parts are the keys of its JSON form: they keep their names.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"sprucehill/internal/tomlfile"
)

// ErrInput is wrapped by every error that a scenario file can cause.
var ErrInput = errors.New("invalid scenario")

// Duration is a duration in a scenario file, in the notation of Go: "250ms", "1.5s".
type Duration = tomlfile.Duration

// Range is the minimum and the maximum of an even random distribution.
type Range [2]Duration

// Scenario is the contents of a scenario file.
type Scenario struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`  // one sentence on what the scenario shows
	Seed   uint64   `toml:"seed"`   // of all random choices
	Length Duration `toml:"length"` // of the arrivals; the run goes on until all requests have ended
	Settle Duration `toml:"settle"` // warm-up at the start, reported separately because histograms and shares are still empty
	Window Duration `toml:"window"` // of the time series

	Regions   []Region         `toml:"region"`
	Models    map[string]Model `toml:"model"` // of upstreams, by name
	Network   Network          `toml:"network"`
	Discovery Discovery        `toml:"discovery"`
	Balancer  Balancers        `toml:"balancer"`
	Classes   []Class          `toml:"class"`
	Tenants   []Tenant         `toml:"tenant"`
	Clients   Clients          `toml:"clients"`
	Load      Load             `toml:"load"`
	Faults    []Fault          `toml:"fault"`

	Path string `toml:"-"` // of the file, for error messages
}

// Region is a group of zones that are close to each other.
type Region struct {
	Name  string `toml:"name"`
	Zones []Zone `toml:"zone"`
}

// Zone is a data centre. Its clients reach the balancers of the same zone through an ingress.
type Zone struct {
	Name      string  `toml:"name"`
	Balancers int     `toml:"balancers"`
	Share     float64 `toml:"share"` // of the load, relative to the other zones; absent: the number of its balancers
	Groups    []Group `toml:"upstreams"`
}

// Group is a number of identical upstreams.
type Group struct {
	Model string `toml:"model"`
	Count int    `toml:"count"`
}

// Model is a kind of upstream.
type Model struct {
	Cores       int      `toml:"cores"`
	Speed       float64  `toml:"speed"`        // of a core; the work of requests is given for a speed of 1
	Slots       int      `toml:"slots"`        // requests in progress at the same time
	Queue       int      `toml:"queue"`        // waiting requests; any more are rejected
	ColdFrom    float64  `toml:"cold_from"`    // share of the capacity that is available at the start
	Warm        Duration `toml:"warm"`         // duration of the linear increase to the full capacity
	PauseEvery  Duration `toml:"pause_every"`  // mean time between pauses; 0: none
	Pause       Duration `toml:"pause"`        // duration of a pause, in which no request makes progress
	ErrorRate   float64  `toml:"error_rate"`   // share of requests that fail after their work
	Connections int      `toml:"connections"`  // open at the same time; 0: unlimited
	ReportEvery Duration `toml:"report_every"` // interval between load reports
	ReportDelay Duration `toml:"report_delay"` // age of a load report when it appears
}

// Network has the one-way delays and the losses of the links between parties.
type Network struct {
	SameZone    Duration `toml:"same_zone"`
	CrossZone   Duration `toml:"cross_zone"`
	CrossRegion Duration `toml:"cross_region"`
	Loss        float64  `toml:"loss"` // share of messages that are lost; each loss costs a retransmission
	Links       []Link   `toml:"link"` // exceptions for pairs of zones or regions
}

// Link has the delay and the loss of the links from one region or zone to another.
type Link struct {
	From  string   `toml:"from"` // zone:NAME or region:NAME
	To    string   `toml:"to"`
	Delay Duration `toml:"delay"`
	Loss  float64  `toml:"loss"`
}

// Discovery is the service that gives balancers the endpoint list.
type Discovery struct {
	Delay Duration `toml:"delay"` // until a change has reached the agents
}

// Balancers has the settings that all balancers share.
type Balancers struct {
	MemoryMB       int      `toml:"memory_mb"`
	Sockets        int      `toml:"sockets"`
	MaxAttempts    int      `toml:"max_attempts"`
	SecondCopies   bool     `toml:"second_copies"`
	Probes         bool     `toml:"probes"`
	RetryAfter     Duration `toml:"max_retry_after"` // 0: rejections carry no Retry-After
	ConnectTimeout Duration `toml:"connect_timeout"`
	KeepAlive      Duration `toml:"keepalive"` // an upstream closes connections that have been idle for it
	DrainGrace     Duration `toml:"drain_grace"`
	TipMultiple    float64  `toml:"tip_multiple"`
	TipAfter       Duration `toml:"tip_after"`
	Notice         Duration `toml:"front_notice"` // time after which an ingress detects a dead balancer
	State          bool     `toml:"state"`        // whether balancers save their state to disk
	Known          string   `toml:"known"`        // endpoint list in the configuration: "now", the current one, or "begin", that of the first start
}

// Class is a class of requests.
type Class struct {
	Name     string   `toml:"name"`
	Share    float64  `toml:"share"`
	Repeat   string   `toml:"repeat"` // safe, keyed or unsafe
	Group    string   `toml:"group"`  // for keyed: all, zone or cell
	Memory   Duration `toml:"memory"` // for keyed: idempotency window
	Aim      Duration `toml:"aim"`
	Deadline Duration `toml:"deadline"`
	Worth    float64  `toml:"worth"`
	Work     Range    `toml:"work"` // on a core of speed 1
	Wait     Range    `toml:"wait"` // for other services, without use of a core
}

// Tenant is a customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests a second within the tenant's share, over all balancers
}

// Clients has the behaviour of clients.
type Clients struct {
	Retries    int      `toml:"retries"`    // at most
	Wait       Duration `toml:"wait"`       // before a retry
	Budget     float64  `toml:"budget"`     // retries as a share of first requests; 0: no budget
	Impatience float64  `toml:"impatience"` // share that disconnect before their deadline
	Honour     float64  `toml:"honour"`     // share that follow Retry-After
	Keys       int      `toml:"keys"`       // number of distinct keys of keyed requests
}

// Load has the rate of requests over all zones.
type Load struct {
	Rate   float64  `toml:"rate"`   // first requests a second
	Shape  string   `toml:"shape"`  // flat or wave
	Swing  float64  `toml:"swing"`  // amplitude of a wave, as a share of the rate
	Period Duration `toml:"period"` // of a wave
}

// Fault is a fault in the timetable.
type Fault struct {
	At     Duration  `toml:"at"`
	For    Duration  `toml:"for"` // 0: until the end of the run
	Kind   FaultKind `toml:"kind"`
	Target []string  `toml:"target"` // affected components: zone:, region:, balancer: or upstream: with a name or pattern
	Part   float64   `toml:"part"`   // share of the targets, selected at random; absent: all
	From   []string  `toml:"from"`   // of a fault on links
	To     []string  `toml:"to"`
	OneWay bool      `toml:"one_way"`
	Size   float64   `toml:"size"`  // share that fails, share of capacity taken, loss, or factor, by kind
	Delay  Duration  `toml:"delay"` // added delay, or offset of a clock
	Rate   float64   `toml:"rate"`  // bytes a second of a slow link
	State  string    `toml:"state"` // of a restart: keep or lose the state folder
}

// LoadFile reads a scenario file, sets defaults for missing values and validates it.
func LoadFile(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	return Parse(path, text)
}

// Parse reads the text of a scenario file; path is used for error messages and the default name.
func Parse(path string, text []byte) (*Scenario, error) {
	s := &Scenario{Path: path}
	if err := tomlfile.Decode(path, text, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	s.setDefaults()
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInput, path, err)
	}
	return s, nil
}

// setDefault sets a value that is missing in the file.
func setDefault[T comparable](to *T, value T) {
	var zero T
	if *to == zero {
		*to = value
	}
}

const ms = Duration(time.Millisecond)

// setDefaults sets the missing values to those of a small site with common requirements.
func (s *Scenario) setDefaults() {
	setDefault(&s.Name, strings.TrimSuffix(baseName(s.Path), ".toml"))
	setDefault(&s.Seed, 1)
	setDefault(&s.Settle, min(5000*ms, s.Length/4))
	setDefault(&s.Window, 1000*ms)
	setDefault(&s.Network.SameZone, ms/4)
	setDefault(&s.Network.CrossZone, 4*s.Network.SameZone)
	setDefault(&s.Network.CrossRegion, 10*s.Network.CrossZone)
	setDefault(&s.Discovery.Delay, 500*ms)
	s.Balancer.setDefaults()
	setDefault(&s.Clients.Keys, 1000)
	setDefault(&s.Load.Shape, "flat")
	setDefault(&s.Load.Period, max(s.Length/2, ms))
	for name, m := range s.Models {
		m.setDefaults()
		s.Models[name] = m
	}
	for r := range s.Regions {
		for z := range s.Regions[r].Zones {
			s.Regions[r].Zones[z].setDefaults()
		}
	}
	for i := range s.Classes {
		s.Classes[i].setDefaults()
	}
	for i := range s.Faults {
		setDefault(&s.Faults[i].Part, 1)
		setDefault(&s.Faults[i].State, "keep")
	}
}

func (b *Balancers) setDefaults() {
	setDefault(&b.MemoryMB, 128)
	setDefault(&b.Sockets, 512)
	setDefault(&b.MaxAttempts, 5)
	setDefault(&b.ConnectTimeout, 250*ms)
	setDefault(&b.KeepAlive, 15000*ms)
	setDefault(&b.DrainGrace, 500*ms)
	setDefault(&b.TipMultiple, 2.5)
	setDefault(&b.TipAfter, 2000*ms)
	setDefault(&b.Notice, 2000*ms)
	setDefault(&b.Known, "now")
}

func (m *Model) setDefaults() {
	setDefault(&m.Cores, 2)
	setDefault(&m.Speed, 1)
	setDefault(&m.Slots, 16*m.Cores)
	setDefault(&m.Queue, 16*m.Cores)
	setDefault(&m.ColdFrom, 0.2)
	setDefault(&m.Warm, 10000*ms)
	setDefault(&m.ReportEvery, 500*ms)
	setDefault(&m.ReportDelay, 200*ms)
}

func (z *Zone) setDefaults() {
	setDefault(&z.Share, float64(z.Balancers))
	for g := range z.Groups {
		setDefault(&z.Groups[g].Count, 1)
	}
}

func (c *Class) setDefaults() {
	setDefault(&c.Share, 1)
	setDefault(&c.Repeat, "safe")
	setDefault(&c.Group, "all")
	setDefault(&c.Memory, 7500*ms)
	setDefault(&c.Worth, 1)
}

// MaxDeadline returns the longest deadline of all classes.
func (s *Scenario) MaxDeadline() time.Duration {
	var longest time.Duration
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest
}

// baseName returns the last element of a path.
func baseName(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
