package scenario

import (
	"cmp"
	"errors"
	"fmt"
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

// FaultKind is the kind of a fault, as day files write it.
type FaultKind string

// The kinds of faults. faultKinds says what each of them does.
const (
	LinkCut   FaultKind = "cut"
	LinkDelay FaultKind = "delay"
	LinkSlow  FaultKind = "slow"
	LinkLossy FaultKind = "lossy"
	LinkReset FaultKind = "reset"

	UpstreamDown   FaultKind = "down"
	UpstreamVanish FaultKind = "vanish"
	UpstreamDrain  FaultKind = "drain"
	UpstreamErrors FaultKind = "errors"
	NoisyNeighbour FaultKind = "neighbour"
	LateReports    FaultKind = "late"

	BalancerKill      FaultKind = "kill"
	BalancerTerminate FaultKind = "term"
	BalancerFreeze    FaultKind = "freeze"
	BalancerRestart   FaultKind = "restart"
	ClockOffset       FaultKind = "clock"

	DiscoverySilent     FaultKind = "discovery-silent"
	DiscoveryOverloaded FaultKind = "discovery-overbooked"

	TrafficBurst FaultKind = "burst"
)

// faultKind is what a kind of fault acts on and the figures that it needs.
type faultKind struct {
	scope       Scope
	least, most float64 // of size; most 0: size is not used
	delay, rate bool    // needed
	about       string
}

// faultKinds is every kind of fault. The engines carry out what about says.
var faultKinds = map[FaultKind]faultKind{
	LinkCut:   {scope: OnLinks, about: "nothing passes: open connections fall silent, new ones do not come up"},
	LinkDelay: {scope: OnLinks, delay: true, about: "messages take longer by delay"},
	LinkSlow:  {scope: OnLinks, rate: true, about: "bytes pass at rate"},
	LinkLossy: {scope: OnLinks, least: 0.0001, most: 0.5, about: "a share of messages, size, is lost and sent again"},
	LinkReset: {scope: OnLinks, about: "open connections are reset at that moment, also under a request"},

	UpstreamDown:   {scope: OnUpstreams, about: "the process dies: connections are reset; it returns cold"},
	UpstreamVanish: {scope: OnUpstreams, about: "the machine falls silent; it returns cold"},
	UpstreamDrain:  {scope: OnUpstreams, about: "discovery lists it as draining; at the end it is up again"},
	UpstreamErrors: {scope: OnUpstreams, least: 0.0001, most: 1, about: "a share, size, fails at once"},
	NoisyNeighbour: {scope: OnUpstreams, least: 0.0001, most: 0.99, about: "another program takes a share, size, of the machine"},
	LateReports:    {scope: OnUpstreams, delay: true, about: "load reports are older by delay"},

	BalancerKill:      {scope: OnBalancers, about: "SIGKILL; started again at the end"},
	BalancerTerminate: {scope: OnBalancers, about: "SIGTERM, SIGKILL if it has not ended in time; started again at the end"},
	BalancerFreeze:    {scope: OnBalancers, about: "SIGSTOP, and SIGCONT at the end"},
	BalancerRestart:   {scope: OnBalancers, about: "SIGTERM, and started again as soon as it has ended"},
	ClockOffset:       {scope: OnBalancers, delay: true, about: "its clock is off by delay against what discovery dates"},

	DiscoverySilent:     {scope: OnDiscovery, about: "agents answer nothing"},
	DiscoveryOverloaded: {scope: OnDiscovery, least: 0.0001, most: 1, about: "a share of calls, size, fails"},
	TrafficBurst:        {scope: OnLoad, least: 0.01, most: 100, about: "arrivals times size"},
}

// faultKindNames lists all kinds for an error message.
func faultKindNames() string {
	var names []string
	for kind := range faultKinds {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// vanishDetectionDelay is how much later discovery learns of a machine that has vanished than of a process that has ended.
const vanishDetectionDelay = 4 * time.Second

// EndpointPhase returns the phase in which discovery lists the upstreams of a fault after a transition, and the delay until
// its agents have it. An empty phase means that the list does not change: discovery knows only of processes. warmsUp
// reports that the upstreams have started again and warm up.
func (d *Scenario) EndpointPhase(fault Fault, transition Transition) (phase string, delay time.Duration, warmsUp bool) {
	delay = d.Discovery.Delay.D()
	switch fault.Kind {
	case UpstreamDrain:
		phase = "draining"
	case UpstreamDown:
		phase = "removed"
	case UpstreamVanish:
		phase = "removed"
		if transition == Begin {
			delay += vanishDetectionDelay
		}
	default:
		return "", 0, false
	}
	if transition == End {
		return "up", delay, fault.Kind != UpstreamDrain
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
func (d *Scenario) resolve(f *Fleet, i int) (Hit, error) {
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

// Transition says whether a fault ends or begins.
type Transition uint8

// The transitions. Of several at one moment ends come first, so End is the smaller value.
const (
	End Transition = iota
	Begin
)

// Change is the begin or the end of a fault.
type Change struct {
	At         time.Duration // since the start of the day
	Fault      int           // index into Day.Faults
	Transition Transition
}

// Timetable is every begin and end of a fault, in order of time. Of several at one moment, ends come first, and then the
// order of the file counts. hits is by the index of the fault.
func (d *Scenario) Timetable() (changes []Change, hits []Hit) {
	f := d.Fleet()
	for i, fault := range d.Faults {
		hit, err := d.resolve(f, i)
		if err != nil {
			panic(err) // a Day is checked before anyone has it
		}
		hits = append(hits, hit)
		changes = append(changes, Change{fault.At.D(), i, Begin})
		if end := fault.At + fault.For; fault.For > 0 && fault.Kind != LinkReset {
			changes = append(changes, Change{end.D(), i, End})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Transition, b.Transition), cmp.Compare(a.Fault, b.Fault))
	})
	return changes, hits
}

// DescribeFault is what a kind of fault does, for people.
func DescribeFault(kind FaultKind) string { return faultKinds[kind].about }

// TargetNames names those that fault i hits, for people.
func (d *Scenario) TargetNames(f *Fleet, i int, hit Hit) string {
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
