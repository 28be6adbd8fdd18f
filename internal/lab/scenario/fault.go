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

// Scope is the kind of component that a fault affects.
type Scope uint8

// The scopes of faults.
const (
	OnLinks Scope = iota
	OnUpstreams
	OnBalancers
	OnDiscovery
	OnLoad
)

// FaultKind is the kind of a fault, as scenario files write it.
type FaultKind string

// The kinds of faults. faultKinds describes the effect of each.
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

// faultKind describes a kind of fault: its scope, the parameters that it requires, and its effect.
type faultKind struct {
	scope       Scope
	least, most float64 // range of size; most 0: size is not used
	delay, rate bool    // required
	about       string
}

// faultKinds describes every kind of fault. Both engines implement the effect that about describes.
var faultKinds = map[FaultKind]faultKind{
	LinkCut:   {scope: OnLinks, about: "no message arrives: open connections hang, new ones can't be established"},
	LinkDelay: {scope: OnLinks, delay: true, about: "messages take longer by delay"},
	LinkSlow:  {scope: OnLinks, rate: true, about: "bandwidth is limited to rate"},
	LinkLossy: {scope: OnLinks, least: 0.0001, most: 0.5, about: "a share of messages, size, is lost and retransmitted"},
	LinkReset: {scope: OnLinks, about: "open connections are reset once, including those with a request in flight"},

	UpstreamDown:   {scope: OnUpstreams, about: "the process ends and connections are reset; it warms up after the restart"},
	UpstreamVanish: {scope: OnUpstreams, about: "the machine becomes unreachable; it warms up after the restart"},
	UpstreamDrain:  {scope: OnUpstreams, about: "discovery lists it as draining, and at the end as up"},
	UpstreamErrors: {scope: OnUpstreams, least: 0.0001, most: 1, about: "a share of requests, size, fails immediately"},
	NoisyNeighbour: {scope: OnUpstreams, least: 0.0001, most: 0.99, about: "another program uses a share of the machine, size"},
	LateReports:    {scope: OnUpstreams, delay: true, about: "load reports are older by delay"},

	BalancerKill:      {scope: OnBalancers, about: "SIGKILL; started again at the end"},
	BalancerTerminate: {scope: OnBalancers, about: "SIGTERM, and SIGKILL if it has not exited in time; started again at the end"},
	BalancerFreeze:    {scope: OnBalancers, about: "SIGSTOP, and SIGCONT at the end"},
	BalancerRestart:   {scope: OnBalancers, about: "SIGTERM; started again as soon as it has exited"},
	ClockOffset:       {scope: OnBalancers, delay: true, about: "its clock differs from discovery's by delay"},

	DiscoverySilent:     {scope: OnDiscovery, about: "agents do not answer"},
	DiscoveryOverloaded: {scope: OnDiscovery, least: 0.0001, most: 1, about: "a share of calls, size, fails"},
	TrafficBurst:        {scope: OnLoad, least: 0.01, most: 100, about: "the rate of arrivals is multiplied by size"},
}

// faultKindNames returns all kinds, for an error message.
func faultKindNames() string {
	var names []string
	for kind := range faultKinds {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// vanishDetectionDelay is how much longer discovery takes to detect the loss of a machine than the exit of a process.
const vanishDetectionDelay = 4 * time.Second

// EndpointPhase returns the phase in which discovery lists the upstreams of a fault after a transition, and the delay until
// its agents have it. An empty phase means that the list does not change: discovery detects only whether processes run.
// warmsUp reports that the upstreams have started again and warm up.
func (s *Scenario) EndpointPhase(fault Fault, transition Transition) (phase string, delay time.Duration, warmsUp bool) {
	delay = s.Discovery.Delay.D()
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

// AffectedSet is the set of components that a fault affects.
type AffectedSet struct {
	Scope    Scope
	From, To map[Party]bool // the two sides of the affected links
	Targets  []int          // indices of upstreams, balancers, or zones of clients, in ascending order
}

// resolve returns the components that fault i affects, with a random selection if the fault affects only a part of its
// targets.
func (s *Scenario) resolve(f *Fleet, i int) (AffectedSet, error) {
	fault := s.Faults[i]
	h := AffectedSet{Scope: faultKinds[fault.Kind].scope}
	if h.Scope == OnLinks {
		return f.resolveLinks(h, fault)
	}
	if len(fault.From)+len(fault.To) > 0 {
		return h, fmt.Errorf("from and to are only for faults on links; a fault of kind %s has a target", fault.Kind)
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
		return h, fmt.Errorf("target: %v matches nothing that a fault of kind %s can affect", fault.Target, fault.Kind)
	}
	rng := rand.New(rand.NewPCG(s.Seed, randomStream("fault", i)))
	rng.Shuffle(len(h.Targets), func(a, b int) { h.Targets[a], h.Targets[b] = h.Targets[b], h.Targets[a] })
	h.Targets = h.Targets[:int(math.Ceil(fault.Part*float64(len(h.Targets))))]
	slices.Sort(h.Targets)
	return h, nil
}

// resolveLinks returns the links that a fault affects.
func (f *Fleet) resolveLinks(h AffectedSet, fault Fault) (AffectedSet, error) {
	if len(fault.Target) > 0 {
		return h, errors.New("target: a fault on links has from and to in place of a target")
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

// Transition is the beginning or the end of a fault.
type Transition uint8

// The transitions. End is the smaller value, because of several transitions at the same time the ends come first.
const (
	End Transition = iota
	Begin
)

// FaultTransition is an entry of the timetable: the beginning or the end of a fault.
type FaultTransition struct {
	At         time.Duration // since the start of the run
	Fault      int           // index into Scenario.Faults
	Transition Transition
}

// FaultSchedule returns the beginnings and ends of all faults in order of time. At the same time, ends come first, and then the
// faults are in the order of the file. hits has the affected components by the index of the fault.
func (s *Scenario) FaultSchedule() (changes []FaultTransition, hits []AffectedSet) {
	f := s.Fleet()
	for i, fault := range s.Faults {
		hit, err := s.resolve(f, i)
		if err != nil {
			panic(err) // Parse has checked this
		}
		hits = append(hits, hit)
		changes = append(changes, FaultTransition{fault.At.D(), i, Begin})
		if end := fault.At + fault.For; fault.For > 0 && fault.Kind != LinkReset {
			changes = append(changes, FaultTransition{end.D(), i, End})
		}
	}
	slices.SortStableFunc(changes, func(a, b FaultTransition) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Transition, b.Transition), cmp.Compare(a.Fault, b.Fault))
	})
	return changes, hits
}

// DescribeFault returns a human-readable description of the effect of a kind of fault.
func DescribeFault(kind FaultKind) string { return faultKinds[kind].about }

// TargetNames returns a human-readable list of the components that fault i affects.
func (s *Scenario) TargetNames(f *Fleet, i int, hit AffectedSet) string {
	fault := s.Faults[i]
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
