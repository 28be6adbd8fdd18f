package day

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Scope is what a fault acts on.
type Scope uint8

// The scopes.
const (
	OnLinks Scope = iota
	OnUpstreams
	OnBalancers
	OnDiscovery
	OnLoad
)

// faultKind is what a kind of fault acts on and the figures that it needs.
type faultKind struct {
	scope       Scope
	least, most float64 // of size; most 0: size is not used
	delay, rate bool    // needed
	about       string
}

// faultKinds is every kind of fault. The engines carry out what about says.
var faultKinds = map[string]faultKind{
	"cut":   {scope: OnLinks, about: "nothing passes: open connections fall silent, new ones do not come up"},
	"delay": {scope: OnLinks, delay: true, about: "messages take longer by delay"},
	"slow":  {scope: OnLinks, rate: true, about: "bytes pass at rate"},
	"lossy": {scope: OnLinks, least: 0.0001, most: 0.5, about: "a share of messages, size, is lost and sent again"},
	"reset": {scope: OnLinks, about: "open connections are reset at that moment, also under a request"},

	"down":      {scope: OnUpstreams, about: "the process dies: connections are reset; it returns cold"},
	"vanish":    {scope: OnUpstreams, about: "the machine falls silent; it returns cold"},
	"drain":     {scope: OnUpstreams, about: "discovery lists it as draining; at the end it is up again"},
	"errors":    {scope: OnUpstreams, least: 0.0001, most: 1, about: "a share, size, fails at once"},
	"neighbour": {scope: OnUpstreams, least: 0.0001, most: 0.99, about: "another program takes a share, size, of the machine"},
	"late":      {scope: OnUpstreams, delay: true, about: "load reports are older by delay"},

	"kill":    {scope: OnBalancers, about: "SIGKILL; started again at the end"},
	"term":    {scope: OnBalancers, about: "SIGTERM, SIGKILL if it has not ended in time; started again at the end"},
	"freeze":  {scope: OnBalancers, about: "SIGSTOP, and SIGCONT at the end"},
	"restart": {scope: OnBalancers, about: "SIGTERM, and started again as soon as it has ended"},
	"clock":   {scope: OnBalancers, delay: true, about: "its clock is off by delay against what discovery dates"},

	"discovery-silent":     {scope: OnDiscovery, about: "agents answer nothing"},
	"discovery-overbooked": {scope: OnDiscovery, least: 0.0001, most: 1, about: "a share of calls, size, fails"},
	"burst":                {scope: OnLoad, least: 0.01, most: 100, about: "arrivals times size"},
}

func faultKindNames() string { return strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", ") }

// vanishDetectionDelay is how much later discovery learns of a machine that has vanished than of a process that has ended.
const vanishDetectionDelay = 4 * time.Second

// EndpointPhase is the phase in which discovery lists the upstreams of a fault once that begins or ends, and after how
// long its agents have it. "": it does not change, since discovery knows only of processes. cold: they have started again.
func (d *Day) EndpointPhase(fault Fault, on bool) (phase string, delay time.Duration, cold bool) {
	delay = d.Discovery.Delay.D()
	switch fault.Kind {
	case "drain":
		phase = "draining"
	case "down":
		phase = "removed"
	case "vanish":
		phase = "removed"
		if on {
			delay += vanishDetectionDelay
		}
	default:
		return "", 0, false
	}
	if !on {
		return "up", delay, fault.Kind != "drain"
	}
	return phase, delay, false
}

// Hit is whom a fault acts on.
type Hit struct {
	Scope    Scope
	From, To map[Party]bool // links
	Targets  []int          // upstreams, balancers, or zones of clients, in order
}

// resolve draws whom fault i hits.
func (d *Day) resolve(f *Fleet, i int) (Hit, error) {
	fault := d.Faults[i]
	h := Hit{Scope: faultKinds[fault.Kind].scope}
	if h.Scope == OnLinks {
		return f.resolveLinks(h, fault)
	}
	if len(fault.From)+len(fault.To) > 0 {
		return h, fmt.Errorf("from and to are for links; %s has a target", fault.Kind)
	}
	if (h.Scope == OnDiscovery || h.Scope == OnLoad) && len(fault.Target) == 0 {
		fault.Target = []string{"all"}
	}
	parties, err := f.selectParties(fault.Target)
	if err != nil {
		return h, fmt.Errorf("target: %w", err)
	}
	wanted := map[Scope]PartyKind{OnUpstreams: UpstreamParty, OnBalancers: BalancerParty, OnDiscovery: BalancerParty,
		OnLoad: ClientsParty}[h.Scope]
	for _, p := range parties {
		if p.Kind == wanted {
			h.Targets = append(h.Targets, p.Index)
		}
	}
	if len(h.Targets) == 0 {
		return h, fmt.Errorf("target: %v names nobody that %s could hit", fault.Target, fault.Kind)
	}
	rng := rand.New(rand.NewPCG(d.Seed, randomStream("fault", i)))
	rng.Shuffle(len(h.Targets), func(a, b int) { h.Targets[a], h.Targets[b] = h.Targets[b], h.Targets[a] })
	h.Targets = h.Targets[:int(math.Ceil(fault.Part*float64(len(h.Targets))))]
	slices.Sort(h.Targets)
	return h, nil
}

// resolveLinks resolves the two sides of a fault on links.
func (f *Fleet) resolveLinks(h Hit, fault Fault) (Hit, error) {
	if len(fault.Target) > 0 {
		return h, errors.New("target: a fault on links has from and to")
	}
	for _, side := range []struct {
		key string
		of  []string
		to  *map[Party]bool
	}{{"from", fault.From, &h.From}, {"to", fault.To, &h.To}} {
		if len(side.of) == 0 {
			return h, fmt.Errorf("%s: is missing", side.key)
		}
		parties, err := f.selectParties(side.of)
		if err != nil {
			return h, fmt.Errorf("%s: %w", side.key, err)
		}
		*side.to = map[Party]bool{}
		for _, p := range parties {
			(*side.to)[p] = true
		}
	}
	return h, nil
}

// Change is the begin or the end of a fault.
type Change struct {
	At    time.Duration
	Fault int // index into Day.Faults
	On    bool
}

// Timetable is every begin and end of a fault, in order; of several at one moment ends come first, then by their order
// in the file. Hits is by the index of the fault.
func (d *Day) Timetable() (changes []Change, hits []Hit) {
	f := d.Fleet()
	for i, fault := range d.Faults {
		hit, err := d.resolve(f, i)
		if err != nil {
			panic(err) // a Day is checked before anyone has it
		}
		hits = append(hits, hit)
		changes = append(changes, Change{fault.At.D(), i, true})
		if end := fault.At + fault.For; fault.For > 0 && fault.Kind != "reset" {
			changes = append(changes, Change{end.D(), i, false})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.At, b.At), endsFirst(a.On, b.On), cmp.Compare(a.Fault, b.Fault))
	})
	return changes, hits
}

// endsFirst orders a fault's end (false) before a fault's begin (true).
func endsFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// DescribeFault is what a kind of fault does, for people.
func DescribeFault(kind string) string { return faultKinds[kind].about }

// TargetNames names those that fault i hits, for people.
func (d *Day) TargetNames(f *Fleet, i int, hit Hit) string {
	fault := d.Faults[i]
	if hit.Scope == OnLinks {
		arrow := "<->"
		if fault.OneWay {
			arrow = "->"
		}
		return strings.Join(fault.From, " ") + " " + arrow + " " + strings.Join(fault.To, " ")
	}
	var names []string
	for _, t := range hit.Targets {
		switch hit.Scope {
		case OnUpstreams:
			names = append(names, f.Upstreams[t].Name)
		case OnLoad:
			names = append(names, f.Zones[t].Name)
		default:
			names = append(names, f.Balancers[t].Name)
		}
	}
	if len(names) > 4 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], " "), len(names)-3)
	}
	return strings.Join(names, " ")
}
