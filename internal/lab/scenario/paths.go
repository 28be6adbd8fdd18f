package scenario

import (
	"path"
	"strings"
	"time"
)

// Condition is the state of one direction of the link between two parties.
type Condition struct {
	Delay time.Duration
	Loss  float64
	Rate  float64 // bytes a second; 0: unlimited
	Cut   bool
}

// minRetransmitTimeout is the time after which a lost message is retransmitted: TCP_RTO_MIN of Linux. Each further loss of
// the same message doubles it.
const minRetransmitTimeout = 200 * time.Millisecond

// TransferTime returns how long a message of size bytes takes on a link that is not cut. draw returns random numbers from 0 to 1.
func (c Condition) TransferTime(size float64, draw func() float64) time.Duration {
	d := c.Delay
	for timeout := minRetransmitTimeout; c.Loss > 0 && draw() < c.Loss; timeout *= 2 {
		d += timeout
	}
	if c.Rate > 0 {
		d += time.Duration(size / c.Rate * float64(time.Second))
	}
	return d
}

// Paths is the condition of every link between parties: that of the network, changed by the active faults. Delays and
// losses of overlapping faults accumulate, and the lowest rate applies. A link stays cut until the last cut ends. Paths is
// not safe for concurrent use.
type Paths struct {
	day          *Scenario
	fleet        *Fleet
	hits         []AffectedSet
	active       []bool
	activeFaults int           // number of active faults on links
	base         [][]Condition // without faults; by source zone and destination zone
}

// NewPaths returns the links of a scenario without an active fault.
func (s *Scenario) NewPaths(f *Fleet) *Paths {
	_, hits := s.FaultSchedule()
	p := &Paths{day: s, fleet: f, hits: hits, active: make([]bool, len(s.Faults))}
	for from, a := range f.Zones {
		row := make([]Condition, len(f.Zones))
		for to, b := range f.Zones {
			c := Condition{Delay: s.Network.CrossRegion.D(), Loss: s.Network.Loss}
			switch {
			case from == to:
				c.Delay = s.Network.SameZone.D()
			case a.Region == b.Region:
				c.Delay = s.Network.CrossZone.D()
			}
			for _, l := range s.Network.Links {
				if from != to && f.inSelector(a, l.From) && f.inSelector(b, l.To) {
					c.Delay, c.Loss = l.Delay.D(), l.Loss
				}
			}
			row[to] = c
		}
		p.base = append(p.base, row)
	}
	return p
}

// inSelector reports whether a zone matches the selector zone:NAME or region:NAME.
func (f *Fleet) inSelector(z FleetZone, selector string) bool {
	what, pattern, _ := strings.Cut(selector, ":")
	name := z.Name
	if what == "region" {
		name = f.Regions[z.Region]
	}
	ok, _ := path.Match(pattern, name)
	return ok
}

// Apply begins or ends fault i if it is a fault on links. Beginning an active fault or ending an inactive one has no effect.
func (p *Paths) Apply(i int, transition Transition) {
	begins := transition == Begin
	if p.hits[i].Scope != OnLinks || p.active[i] == begins {
		return
	}
	p.active[i] = begins
	if begins {
		p.activeFaults++
	} else {
		p.activeFaults--
	}
}

// ResetsConns reports whether fault i resets the open connections of the affected links.
func (p *Paths) ResetsConns(i int) bool { return p.day.Faults[i].Kind == LinkReset }

// IsLinkFault reports whether fault i is a fault on links.
func (p *Paths) IsLinkFault(i int) bool { return p.hits[i].Scope == OnLinks }

// Affects reports whether fault i, which is a fault on links, affects messages from one party to another.
func (p *Paths) Affects(i int, from, to Party) bool {
	h := p.hits[i]
	return (h.From[from] && h.To[to]) || (!p.day.Faults[i].OneWay && h.From[to] && h.To[from])
}

// Condition returns the condition of the link from one party to another.
func (p *Paths) Condition(from, to Party) Condition {
	c := p.base[p.fleet.ZoneOf(from)][p.fleet.ZoneOf(to)]
	if p.activeFaults == 0 {
		return c
	}
	for i, on := range p.active {
		if !on || !p.Affects(i, from, to) {
			continue
		}
		fault := p.day.Faults[i]
		switch fault.Kind {
		case LinkCut:
			c.Cut = true
		case LinkDelay:
			c.Delay += fault.Delay.D()
		case LinkLossy:
			c.Loss = 1 - (1-c.Loss)*(1-fault.Size)
		case LinkSlow:
			if c.Rate == 0 || fault.Rate < c.Rate {
				c.Rate = fault.Rate
			}
		}
	}
	return c
}

// MinDelay returns the shortest delay between any two parties. Faults never make it shorter.
func (p *Paths) MinDelay() time.Duration {
	least := p.base[0][0].Delay
	for _, row := range p.base {
		for _, c := range row {
			least = min(least, c.Delay)
		}
	}
	return least
}
