package scenario

import (
	"path"
	"strings"
	"time"
)

// Condition is what one direction of the link between two parties is like at a moment.
type Condition struct {
	Delay time.Duration
	Loss  float64
	Rate  float64 // bytes a second; 0: no bound
	Cut   bool
}

// minRetransmitTimeout is how long after a loss a message is sent again: TCP_RTO_MIN of Linux. Each further loss of the
// same message doubles it.
const minRetransmitTimeout = 200 * time.Millisecond

// Lag is how long a message of size bytes takes on a link that is not cut. draw returns random numbers from 0 to 1.
func (c Condition) Lag(size float64, draw func() float64) time.Duration {
	d := c.Delay
	for timeout := minRetransmitTimeout; c.Loss > 0 && draw() < c.Loss; timeout *= 2 {
		d += timeout
	}
	if c.Rate > 0 {
		d += time.Duration(size / c.Rate * float64(time.Second))
	}
	return d
}

// Paths is the condition of every link between parties: the network's own, and on it the faults that are active. Delays
// and losses of overlapping faults add up. The lowest rate counts. A link stays cut until the last cut ends. Paths is not
// safe for concurrent use.
type Paths struct {
	day          *Scenario
	fleet        *Fleet
	hits         []Hit
	active       []bool
	activeFaults int           // how many faults on links are active
	base         [][]Condition // by zone and zone
}

// NewPaths returns the links of a day with no fault active.
func (d *Scenario) NewPaths(f *Fleet) *Paths {
	_, hits := d.Timetable()
	p := &Paths{day: d, fleet: f, hits: hits, active: make([]bool, len(d.Faults))}
	for from, a := range f.Zones {
		row := make([]Condition, len(f.Zones))
		for to, b := range f.Zones {
			c := Condition{Delay: d.Network.CrossRegion.D(), Loss: d.Network.Loss}
			switch {
			case from == to:
				c.Delay = d.Network.SameZone.D()
			case a.Region == b.Region:
				c.Delay = d.Network.CrossZone.D()
			}
			for _, l := range d.Network.Links {
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

// inSelector reports whether a zone is selected by zone:NAME or region:NAME.
func (f *Fleet) inSelector(z FleetZone, selector string) bool {
	what, pattern, _ := strings.Cut(selector, ":")
	name := z.Name
	if what == "region" {
		name = f.Regions[z.Region]
	}
	ok, _ := path.Match(pattern, name)
	return ok
}

// Apply begins or ends fault i, if it is one on links. A fault that is active already, or has ended, stays as it is.
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

// ResetsConns reports whether fault i resets the open connections of the links that it acts on.
func (p *Paths) ResetsConns(i int) bool { return p.day.Faults[i].Kind == LinkReset }

// OnLinks reports whether fault i is one on links.
func (p *Paths) OnLinks(i int) bool { return p.hits[i].Scope == OnLinks }

// Hits reports whether fault i, on links, acts on what goes from one party to another.
func (p *Paths) Hits(i int, from, to Party) bool {
	h := p.hits[i]
	return (h.From[from] && h.To[to]) || (!p.day.Faults[i].OneWay && h.From[to] && h.To[from])
}

// Condition is that of the link from one party to another.
func (p *Paths) Condition(from, to Party) Condition {
	c := p.base[p.fleet.ZoneOf(from)][p.fleet.ZoneOf(to)]
	if p.activeFaults == 0 {
		return c
	}
	for i, on := range p.active {
		if !on || !p.Hits(i, from, to) {
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

// MinDelay is the shortest delay between any two parties, whatever faults are active.
func (p *Paths) MinDelay() time.Duration {
	least := p.base[0][0].Delay
	for _, row := range p.base {
		for _, c := range row {
			least = min(least, c.Delay)
		}
	}
	return least
}
