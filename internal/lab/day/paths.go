package day

import (
	"path"
	"strings"
	"time"
)

// Condition is what one way between two parties is like at a moment.
type Condition struct {
	Delay time.Duration
	Loss  float64
	Rate  float64 // bytes a second; 0: no bound
	Cut   bool
}

// resend is how long a lost message takes to be sent again, the least retransmission time of TCP on Linux. Each further
// loss of the same message doubles it.
const resend = 200 * time.Millisecond

// Lag is how long a message of size bytes takes on a way that is not cut; coin draws from 0 to 1.
func (c Condition) Lag(size float64, coin func() float64) time.Duration {
	d := c.Delay
	for again := resend; c.Loss > 0 && coin() < c.Loss; again *= 2 {
		d += again
	}
	if c.Rate > 0 {
		d += time.Duration(size / c.Rate * float64(time.Second))
	}
	return d
}

// Paths tells the condition of every way between parties: the network's own, and on it the faults that are on. Faults
// that overlap add up: delays and losses join, the lowest rate counts, and a way stays cut until the last cut ends.
type Paths struct {
	day   *Day
	fleet *Fleet
	hits  []Hit
	on    []bool
	any   int           // faults on links that are on
	base  [][]Condition // by zone and zone
}

// NewPaths returns the ways of a day with no fault on.
func (d *Day) NewPaths(f *Fleet) *Paths {
	_, hits := d.Timetable()
	p := &Paths{day: d, fleet: f, hits: hits, on: make([]bool, len(d.Faults))}
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
				if from != to && f.lies(a, l.From) && f.lies(b, l.To) {
					c.Delay, c.Loss = l.Delay.D(), l.Loss
				}
			}
			row[to] = c
		}
		p.base = append(p.base, row)
	}
	return p
}

// lies tells whether a zone is meant by zone:NAME or region:NAME.
func (f *Fleet) lies(z FleetZone, selector string) bool {
	what, pattern, _ := strings.Cut(selector, ":")
	name := z.Name
	if what == "region" {
		name = f.Regions[z.Region]
	}
	ok, _ := path.Match(pattern, name)
	return ok
}

// Set begins or ends fault i, if it is one on links.
func (p *Paths) Set(i int, on bool) {
	if p.hits[i].Scope != OnLinks || p.on[i] == on {
		return
	}
	if p.on[i] = on; on {
		p.any++
	} else {
		p.any--
	}
}

// OnLinks tells whether fault i is one on links.
func (p *Paths) OnLinks(i int) bool { return p.hits[i].Scope == OnLinks }

// Hits tells whether fault i, on links, acts on what goes from one party to another.
func (p *Paths) Hits(i int, from, to Party) bool {
	h := p.hits[i]
	return (h.From[from] && h.To[to]) || (!p.day.Faults[i].OneWay && h.From[to] && h.To[from])
}

// Now is the condition of the way from one party to another.
func (p *Paths) Now(from, to Party) Condition {
	c := p.base[p.fleet.ZoneOf(from)][p.fleet.ZoneOf(to)]
	if p.any == 0 {
		return c
	}
	for i, on := range p.on {
		if !on || !p.Hits(i, from, to) {
			continue
		}
		fault := p.day.Faults[i]
		switch fault.Kind {
		case "cut":
			c.Cut = true
		case "delay":
			c.Delay += fault.Delay.D()
		case "lossy":
			c.Loss = 1 - (1-c.Loss)*(1-fault.Size)
		case "slow":
			if c.Rate == 0 || fault.Rate < c.Rate {
				c.Rate = fault.Rate
			}
		}
	}
	return c
}

// Least is the shortest delay between any two parties, whatever fault is on.
func (p *Paths) Least() time.Duration {
	least := p.base[0][0].Delay
	for _, row := range p.base {
		for _, c := range row {
			least = min(least, c.Delay)
		}
	}
	return least
}
