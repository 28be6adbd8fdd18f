package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Parameters of the Zipf distribution of request keys: key k has a probability proportional to (keyOffset+k)^-keyExponent.
const (
	keyExponent = 1.2
	keyOffset   = 8
)

// Arrival is a client's first request with all its random properties.
type Arrival struct {
	At     time.Duration
	Zone   int // of the client
	Class  int
	Tenant int // -1: none
	Key    uint64
	HasKey bool
	Work   time.Duration // on a core of speed 1
	Wait   time.Duration // without use of a core
	Leaves time.Duration // time after which an impatient client disconnects; 0: it waits for the answer
}

// Arrivals returns the first requests of all clients in order of time. It is an open-loop load: arrivals do not depend on
// the answers to earlier requests.
func (s *Scenario) Arrivals() []Arrival {
	f := s.Fleet()
	_, hits := s.FaultSchedule()
	var all []Arrival
	for z := range f.Zones {
		all = append(all, s.zoneArrivals(hits, z, f.Zones[z].Share)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// zoneArrivals returns the first requests of a zone with a share of the load. It thins a Poisson process: candidates arrive
// at the peak rate, and each is accepted with the ratio of the rate at its time to the peak rate.
func (s *Scenario) zoneArrivals(hits []AffectedSet, zone int, share float64) []Arrival {
	rng := rand.New(rand.NewPCG(s.Seed, randomStream("arrivals", zone)))
	keys := rand.NewZipf(rng, keyExponent, keyOffset, uint64(s.Clients.Keys-1))
	classes := cumulative(s.Classes, func(c Class) float64 { return c.Share })
	tenants := cumulative(s.Tenants, func(t Tenant) float64 { return t.Share })
	highest := s.peak(hits, zone) * share
	if highest == 0 {
		return nil
	}
	var arrivals []Arrival
	for seconds := 0.0; ; {
		seconds += rng.ExpFloat64() / highest
		at := time.Duration(seconds * float64(time.Second))
		if at >= s.Length.D() {
			return arrivals
		}
		a := Arrival{At: at, Zone: zone}
		a.Class = drawIndex(rng, classes)
		a.Tenant = drawIndex(rng, tenants)
		class := s.Classes[a.Class]
		a.Work = drawDuration(rng, class.Work)
		a.Wait = drawDuration(rng, class.Wait)
		a.HasKey = class.Repeat == "keyed"
		a.Key = keys.Uint64()
		if rng.Float64() < s.Clients.Impatience {
			a.Leaves = time.Duration(rng.Float64() * float64(class.Aim))
		}
		if rng.Float64()*highest < s.rate(hits, zone, at)*share {
			arrivals = append(arrivals, a)
		}
	}
}

// rate returns the number of requests a second that would arrive at a point in time if all clients were in zone z.
func (s *Scenario) rate(hits []AffectedSet, z int, at time.Duration) float64 {
	r := s.Load.Rate
	if s.Load.Shape == "wave" {
		r *= 1 + s.Load.Swing*math.Sin(2*math.Pi*at.Seconds()/s.Load.Period.D().Seconds())
	}
	for i, fault := range s.Faults {
		on := at >= fault.At.D() && (fault.For == 0 || at < (fault.At+fault.For).D())
		if hits[i].Scope == OnLoad && on && slices.Contains(hits[i].Targets, z) {
			r *= fault.Size
		}
	}
	return r
}

// peak returns an upper bound of rate over the whole run.
func (s *Scenario) peak(hits []AffectedSet, z int) float64 {
	r := s.Load.Rate
	if s.Load.Shape == "wave" {
		r *= 1 + s.Load.Swing
	}
	for i, fault := range s.Faults {
		if hits[i].Scope == OnLoad && slices.Contains(hits[i].Targets, z) {
			r *= max(1, fault.Size)
		}
	}
	return r
}

// cumulative returns the cumulative sums of shares.
func cumulative[T any](of []T, share func(T) float64) []float64 {
	sums := make([]float64, len(of))
	var sum float64
	for i, x := range of {
		sum += share(x)
		sums[i] = sum
	}
	return sums
}

// drawIndex returns a random index, weighted by the shares of which sums has the cumulative sums. It is -1 if there are none.
func drawIndex(rng *rand.Rand, sums []float64) int {
	x := rng.Float64()
	if len(sums) == 0 || sums[len(sums)-1] == 0 {
		return -1
	}
	return min(sort.SearchFloat64s(sums, x*sums[len(sums)-1]), len(sums)-1)
}

// drawDuration returns a random duration, evenly distributed over a range.
func drawDuration(rng *rand.Rand, r Range) time.Duration {
	return r[0].D() + time.Duration(rng.Float64()*float64(r[1]-r[0]))
}

// retryBits is the number of bits for the number of the retry in a request id. The other bits are for the arrival.
const retryBits = 5

// MaxRequestsPerArrival is the limit of the requests of an arrival, including the first one.
const MaxRequestsPerArrival = 1 << retryBits

// RequestID returns the id of a request; retry is 0 for the first request of an arrival. Ids differ between seeds, and are
// unique within a run because the mixing function, that of SplitMix64, is invertible.
func (s *Scenario) RequestID(arrival, retry int) uint64 {
	x := uint64(arrival)<<retryBits | uint64(retry)
	x += s.Seed * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
