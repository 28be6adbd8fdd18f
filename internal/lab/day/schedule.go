package day

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Arrival is a client's first try, with everything about it that chance decides.
type Arrival struct {
	At     time.Duration
	Zone   int // of the client
	Class  int
	Tenant int // -1: none
	Key    uint64
	HasKey bool
	Work   time.Duration // on a core of speed 1
	Wait   time.Duration // beside the cores
	Leaves time.Duration // an impatient client leaves after it; 0: it stays
}

// Arrivals draws the day's first tries, in order of time. They come whether or not earlier ones are answered.
func (d *Day) Arrivals() []Arrival {
	f := d.Fleet()
	_, hits := d.Timetable()
	var all []Arrival
	classes, tenants := cumulated(d.Classes, func(c Class) float64 { return c.Share }),
		cumulated(d.Tenants, func(t Tenant) float64 { return t.Share })
	for z := range f.Zones {
		rng := rand.New(rand.NewPCG(d.Seed, stream("arrivals", z)))
		keys := rand.NewZipf(rng, 1.2, 8, uint64(d.Clients.Keys-1))
		top := d.peak(hits, z) * f.Zones[z].Share
		if top == 0 {
			continue
		}
		for at := 0.0; ; { // thinning: candidates at the highest rate, kept as the rate of their moment has it
			at += rng.ExpFloat64() / top
			when := time.Duration(at * float64(time.Second))
			if when >= d.Length.D() {
				break
			}
			a := Arrival{At: when, Zone: z, Class: pickBy(rng, classes), Tenant: pickBy(rng, tenants)}
			class := d.Classes[a.Class]
			a.Work, a.Wait = drawn(rng, class.Work), drawn(rng, class.Wait)
			a.HasKey, a.Key = class.Repeat == "keyed", keys.Uint64()
			if rng.Float64() < d.Clients.Impatience {
				a.Leaves = time.Duration(rng.Float64() * float64(class.Aim))
			}
			if keep := rng.Float64(); keep*top < d.rate(hits, z, when)*f.Zones[z].Share {
				all = append(all, a)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// rate is how many requests a second would come at a moment if all clients were in one zone, z.
func (d *Day) rate(hits []Hit, z int, at time.Duration) float64 {
	r := d.Load.Rate
	if d.Load.Shape == "wave" {
		r *= 1 + d.Load.Swing*math.Sin(2*math.Pi*at.Seconds()/d.Load.Period.D().Seconds())
	}
	for i, fault := range d.Faults {
		on := at >= fault.At.D() && (fault.For == 0 || at < (fault.At+fault.For).D())
		if hits[i].Scope == OnLoad && on && slices.Contains(hits[i].Targets, z) {
			r *= fault.Size
		}
	}
	return r
}

// peak is a rate that the zone's never passes.
func (d *Day) peak(hits []Hit, z int) float64 {
	r := d.Load.Rate
	if d.Load.Shape == "wave" {
		r *= 1 + d.Load.Swing
	}
	for i, fault := range d.Faults {
		if hits[i].Scope == OnLoad && slices.Contains(hits[i].Targets, z) {
			r *= max(1, fault.Size)
		}
	}
	return r
}

// cumulated sums up shares.
func cumulated[T any](of []T, share func(T) float64) []float64 {
	sums := make([]float64, len(of))
	var sum float64
	for i, x := range of {
		sum += share(x)
		sums[i] = sum
	}
	return sums
}

// pickBy draws an index by its share; -1 of none.
func pickBy(rng *rand.Rand, sums []float64) int {
	x := rng.Float64()
	if len(sums) == 0 || sums[len(sums)-1] == 0 {
		return -1
	}
	return min(sort.SearchFloat64s(sums, x*sums[len(sums)-1]), len(sums)-1)
}

func drawn(rng *rand.Rand, r Range) time.Duration {
	return r[0].D() + time.Duration(rng.Float64()*float64(r[1]-r[0]))
}

// tryBits is room for the number of a try beside that of its arrival.
const tryBits = 5

// MaxTries is how many tries of one arrival can be told apart.
const MaxTries = 1 << tryBits

// TryID is the id that a client puts on a try: fresh on each, different for each seed, and never one of another try of
// the day, since the mixing can be undone.
func (d *Day) TryID(arrival, try int) uint64 {
	x := uint64(arrival)<<tryBits | uint64(try)
	x += d.Seed * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
