// Package scenario reads a scenario file, which describes an experiment: a fleet in regions and zones, its clients, and a timetable
// of faults. It draws from one seed all that chance decides before a day begins, so that the same file and seed give the
// same arrivals, the same choices of who is hit, and the same timetable in both engines. It has no clock and no sockets.
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

// ErrInput is wrapped by every error that a day file can cause.
var ErrInput = errors.New("unusable day")

// Duration is a time in a day file, written as Go writes it: "250ms", "1.5s".
type Duration = tomlfile.Duration

// Range is the least and the most of what is drawn evenly between them.
type Range [2]Duration

// Scenario is a day file.
type Scenario struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`  // one sentence: what the day shows
	Seed   uint64   `toml:"seed"`   // draws everything that chance decides
	Length Duration `toml:"length"` // of the arrivals; the day goes on until all is answered
	Settle Duration `toml:"settle"` // the first stretch, reported apart: histograms and shares begin empty
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

	Path string `toml:"-"` // of the file, for messages
}

// Region is a group of zones that lie close together.
type Region struct {
	Name  string `toml:"name"`
	Zones []Zone `toml:"zone"`
}

// Zone is a data centre: its clients reach its own balancers through a front.
type Zone struct {
	Name      string  `toml:"name"`
	Balancers int     `toml:"balancers"`
	Share     float64 `toml:"share"` // of the load, against the other zones'; absent: by its balancers
	Groups    []Group `toml:"upstreams"`
}

// Group is a number of like upstreams.
type Group struct {
	Model string `toml:"model"`
	Count int    `toml:"count"`
}

// Model is a kind of upstream.
type Model struct {
	Cores       int      `toml:"cores"`
	Speed       float64  `toml:"speed"`        // of a core; work is stated for a speed of 1
	Slots       int      `toml:"slots"`        // requests in work at once
	Queue       int      `toml:"queue"`        // and waiting behind them; more are rejected
	ColdFrom    float64  `toml:"cold_from"`    // share of its capacity at its start
	Warm        Duration `toml:"warm"`         // and how long it takes to rise, evenly, to all of it
	PauseEvery  Duration `toml:"pause_every"`  // mean time between pauses; 0: none
	Pause       Duration `toml:"pause"`        // all work stands still so long
	ErrorRate   float64  `toml:"error_rate"`   // part of requests that fail at their end
	Connections int      `toml:"connections"`  // open at once; 0: no limit
	ReportEvery Duration `toml:"report_every"` // how often its load report is renewed
	ReportDelay Duration `toml:"report_delay"` // and how old it is by then
}

// Network is the delays, one way, and losses of links between parties.
type Network struct {
	SameZone    Duration `toml:"same_zone"`
	CrossZone   Duration `toml:"cross_zone"`
	CrossRegion Duration `toml:"cross_region"`
	Loss        float64  `toml:"loss"` // part of messages lost; each loss costs a retransmission
	Links       []Link   `toml:"link"` // pairs that differ
}

// Link is the link from one region or zone to another.
type Link struct {
	From  string   `toml:"from"` // zone:NAME or region:NAME
	To    string   `toml:"to"`
	Delay Duration `toml:"delay"`
	Loss  float64  `toml:"loss"`
}

// Discovery is the service from which balancers have the list of upstreams.
type Discovery struct {
	Delay Duration `toml:"delay"` // from a change to the agents
}

// Balancers is what all balancers are given.
type Balancers struct {
	MemoryMB       int      `toml:"memory_mb"`
	Sockets        int      `toml:"sockets"`
	MaxAttempts    int      `toml:"max_attempts"`
	SecondCopies   bool     `toml:"second_copies"`
	Probes         bool     `toml:"probes"`
	RetryAfter     Duration `toml:"max_retry_after"` // 0: refusals advise nothing
	ConnectTimeout Duration `toml:"connect_timeout"`
	KeepAlive      Duration `toml:"keepalive"` // an upstream closes what has idled so long
	DrainGrace     Duration `toml:"drain_grace"`
	TipMultiple    float64  `toml:"tip_multiple"`
	TipAfter       Duration `toml:"tip_after"`
	Notice         Duration `toml:"front_notice"` // after it a front learns that a balancer has died
	State          bool     `toml:"state"`        // they save their state on disk
	Known          string   `toml:"known"`        // the list in their configuration: that of "now", or of the day's "begin"
}

// Class is one kind of request.
type Class struct {
	Name     string   `toml:"name"`
	Share    float64  `toml:"share"`
	Repeat   string   `toml:"repeat"` // safe, keyed or unsafe
	Group    string   `toml:"group"`  // for keyed: all, zone or cell
	Memory   Duration `toml:"memory"` // for keyed: how long a repeat is dropped
	Aim      Duration `toml:"aim"`
	Deadline Duration `toml:"deadline"`
	Worth    float64  `toml:"worth"`
	Work     Range    `toml:"work"` // of a core of speed 1
	Wait     Range    `toml:"wait"` // on others, beside the cores
}

// Tenant is a customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests a second inside its share, over all balancers
}

// Clients is how clients behave.
type Clients struct {
	Retries    int      `toml:"retries"`    // at most
	Wait       Duration `toml:"wait"`       // before a retry
	Budget     float64  `toml:"budget"`     // retries as a part of first requests; 0: no budget
	Impatience float64  `toml:"impatience"` // part that leave before their deadline
	Honour     float64  `toml:"honour"`     // part that follow Retry-After
	Keys       int      `toml:"keys"`       // distinct subjects of keyed requests
}

// Load is how many requests come, over all zones.
type Load struct {
	Rate   float64  `toml:"rate"`   // first requests a second
	Shape  string   `toml:"shape"`  // flat or wave
	Swing  float64  `toml:"swing"`  // of a wave, as a part of the rate
	Period Duration `toml:"period"` // of a wave
}

// Fault is one row of the timetable.
type Fault struct {
	At     Duration  `toml:"at"`
	For    Duration  `toml:"for"` // 0: to the end of the day
	Kind   FaultKind `toml:"kind"`
	Target []string  `toml:"target"` // whom it hits: zone:, region:, balancer: or upstream: and a name or pattern
	Part   float64   `toml:"part"`   // of those, drawn by the seed; absent: all
	From   []string  `toml:"from"`   // of a fault on links
	To     []string  `toml:"to"`
	OneWay bool      `toml:"one_way"`
	Size   float64   `toml:"size"`  // share that fails, share taken, loss, or factor, by kind
	Delay  Duration  `toml:"delay"` // added, or a clock's offset
	Rate   float64   `toml:"rate"`  // bytes a second of a slow link
	State  string    `toml:"state"` // of a restart: keep or lose the state folder
}

// LoadFile reads a day file, sets defaults for what it leaves out and checks it.
func LoadFile(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	return Parse(path, text)
}

// Parse reads the text of a day file; path is for messages.
func Parse(path string, text []byte) (*Scenario, error) {
	d := &Scenario{Path: path}
	if err := tomlfile.Decode(path, text, d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInput, err)
	}
	d.setDefaults()
	if err := d.check(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInput, path, err)
	}
	return d, nil
}

// setDefault sets a value that a file has left out.
func setDefault[T comparable](to *T, value T) {
	var zero T
	if *to == zero {
		*to = value
	}
}

const ms = Duration(time.Millisecond)

// setDefaults sets what the file leaves out: the figures of a small site with usual rules.
func (d *Scenario) setDefaults() {
	setDefault(&d.Name, strings.TrimSuffix(baseName(d.Path), ".toml"))
	setDefault(&d.Seed, 1)
	setDefault(&d.Settle, min(5000*ms, d.Length/4))
	setDefault(&d.Window, 1000*ms)
	setDefault(&d.Network.SameZone, ms/4)
	setDefault(&d.Network.CrossZone, 4*d.Network.SameZone)
	setDefault(&d.Network.CrossRegion, 10*d.Network.CrossZone)
	setDefault(&d.Discovery.Delay, 500*ms)
	d.Balancer.setDefaults()
	setDefault(&d.Clients.Keys, 1000)
	setDefault(&d.Load.Shape, "flat")
	setDefault(&d.Load.Period, max(d.Length/2, ms))
	for name, m := range d.Models {
		m.setDefaults()
		d.Models[name] = m
	}
	for r := range d.Regions {
		for z := range d.Regions[r].Zones {
			d.Regions[r].Zones[z].setDefaults()
		}
	}
	for i := range d.Classes {
		d.Classes[i].setDefaults()
	}
	for i := range d.Faults {
		setDefault(&d.Faults[i].Part, 1)
		setDefault(&d.Faults[i].State, "keep")
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

// MaxDeadline is the longest that a client waits.
func (d *Scenario) MaxDeadline() time.Duration {
	var longest time.Duration
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return longest
}

// baseName is the last part of a path.
func baseName(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
