package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// The Zipf distribution of the keys of requests: the k-th has a probability proportional to (keyOffset+k)^-keyExponent.
const (
	keyExponent = 1.2
	keyOffset   = 8
)

// Arrival is a client's first request, with everything about it that chance decides.
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

// Arrivals draws the day's first requests, in order of time. They arrive whether or not earlier ones are answered.
func (d *Scenario) Arrivals() []Arrival {
	f := d.Fleet()
	_, hits := d.Timetable()
	var all []Arrival
	for z := range f.Zones {
		all = append(all, d.zoneArrivals(hits, z, f.Zones[z].Share)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// zoneArrivals draws the first requests of a zone, which has a share of the load. It thins a Poisson process: candidates
// come at the highest rate, and each is accepted with the ratio of the rate of its moment to that.
func (d *Scenario) zoneArrivals(hits []Hit, zone int, share float64) []Arrival {
	rng := rand.New(rand.NewPCG(d.Seed, randomStream("arrivals", zone)))
	keys := rand.NewZipf(rng, keyExponent, keyOffset, uint64(d.Clients.Keys-1))
	classes := cumulative(d.Classes, func(c Class) float64 { return c.Share })
	tenants := cumulative(d.Tenants, func(t Tenant) float64 { return t.Share })
	highest := d.peak(hits, zone) * share
	if highest == 0 {
		return nil
	}
	var arrivals []Arrival
	for seconds := 0.0; ; {
		seconds += rng.ExpFloat64() / highest
		at := time.Duration(seconds * float64(time.Second))
		if at >= d.Length.D() {
			return arrivals
		}
		a := Arrival{At: at, Zone: zone}
		a.Class = drawIndex(rng, classes)
		a.Tenant = drawIndex(rng, tenants)
		class := d.Classes[a.Class]
		a.Work = drawDuration(rng, class.Work)
		a.Wait = drawDuration(rng, class.Wait)
		a.HasKey = class.Repeat == "keyed"
		a.Key = keys.Uint64()
		if rng.Float64() < d.Clients.Impatience {
			a.Leaves = time.Duration(rng.Float64() * float64(class.Aim))
		}
		if rng.Float64()*highest < d.rate(hits, zone, at)*share {
			arrivals = append(arrivals, a)
		}
	}
}

// rate is how many requests a second would arrive at a moment if all clients were in one zone, z.
func (d *Scenario) rate(hits []Hit, z int, at time.Duration) float64 {
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
func (d *Scenario) peak(hits []Hit, z int) float64 {
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

// cumulative sums up shares.
func cumulative[T any](of []T, share func(T) float64) []float64 {
	sums := make([]float64, len(of))
	var sum float64
	for i, x := range of {
		sum += share(x)
		sums[i] = sum
	}
	return sums
}

// drawIndex draws an index by its share. It is -1 if there is none.
func drawIndex(rng *rand.Rand, sums []float64) int {
	x := rng.Float64()
	if len(sums) == 0 || sums[len(sums)-1] == 0 {
		return -1
	}
	return min(sort.SearchFloat64s(sums, x*sums[len(sums)-1]), len(sums)-1)
}

// drawDuration draws evenly from a range.
func drawDuration(rng *rand.Rand, r Range) time.Duration {
	return r[0].D() + time.Duration(rng.Float64()*float64(r[1]-r[0]))
}

// retryBits is how many bits of a request's id are for the number of the retry, beside that of its arrival.
const retryBits = 5

// MaxRequestsPerArrival is how many requests one arrival can have, the first and its retries.
const MaxRequestsPerArrival = 1 << retryBits

// RequestID returns the id that a client gives to a request; retry counts its retries, from 0. It differs for each seed, and from that of
// every other request of the day, since the mixing (of SplitMix64) can be inverted.
func (d *Scenario) RequestID(arrival, retry int) uint64 {
	x := uint64(arrival)<<retryBits | uint64(retry)
	x += d.Seed * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
