package scenario

import (
	"fmt"
	"hash/fnv"
	"io"
	"path"
	"slices"
	"strings"
)

// PartyKind is the kind of a party.
type PartyKind uint8

// The kinds of parties.
const (
	BalancerParty PartyKind = iota
	UpstreamParty
	ClientsParty // all clients of a zone with their ingress
)

// Party is an end of a link. It can be used as a map key.
type Party struct {
	Kind  PartyKind
	Index int // into the list of its kind in Fleet
}

// Fleet lists the regions, zones, balancers and upstreams of a scenario, in the order of the file. Other packages refer to
// them by their indices in these lists.
type Fleet struct {
	Regions   []string
	Zones     []FleetZone
	Balancers []Balancer
	Upstreams []Upstream
}

// FleetZone is a zone with its balancers.
type FleetZone struct {
	Name      string
	Region    int
	Share     float64 // of the load; the shares of all zones add up to 1
	Balancers []int
}

// Balancer is a process of the balancer.
type Balancer struct {
	Name string
	Zone int
}

// Upstream is an upstream server.
type Upstream struct {
	Name  string
	ID    string // in discovery; it does not reveal the zone or the model
	Zone  int
	Cell  int
	Model string
	Size  float64 // nominal capacity: number of cores times their speed
}

// cellSize is the number of upstreams in a cell, which share their idempotency keys.
const cellSize = 6

// Fleet returns the fleet that the scenario describes.
func (s *Scenario) Fleet() *Fleet {
	f := &Fleet{}
	taken := map[string]bool{}
	var shares float64
	for r, region := range s.Regions {
		f.Regions = append(f.Regions, region.Name)
		for _, z := range region.Zones {
			at := len(f.Zones)
			zone := FleetZone{Name: z.Name, Region: r, Share: z.Share}
			shares += z.Share
			for i := range z.Balancers {
				zone.Balancers = append(zone.Balancers, len(f.Balancers))
				f.Balancers = append(f.Balancers, Balancer{Name: fmt.Sprintf("%s-b%d", z.Name, i+1), Zone: at})
			}
			n := 0
			for _, g := range z.Groups {
				for range g.Count {
					m := s.Models[g.Model]
					u := Upstream{Name: fmt.Sprintf("%s-u%d", z.Name, n+1), Zone: at, Cell: n / cellSize, Model: g.Model,
						Size: float64(m.Cores) * m.Speed}
					u.ID = serverID(u.Name, taken)
					f.Upstreams = append(f.Upstreams, u)
					n++
				}
			}
			f.Zones = append(f.Zones, zone)
		}
	}
	for i := range f.Zones {
		if shares > 0 {
			f.Zones[i].Share /= shares
		}
	}
	return f
}

// serverID returns a unique id for an upstream, in a form that every balancer converts to the same number.
func serverID(name string, taken map[string]bool) string {
	for salt := 0; ; salt++ {
		h := fnv.New32a()
		fmt.Fprintf(h, "%s/%d", name, salt)
		id := fmt.Sprintf("s-%08x", h.Sum32())
		if !taken[id] {
			taken[id] = true
			return id
		}
	}
}

// Locality returns the name of a zone in discovery and in the settings: with the region as a prefix if there are several
// regions.
func (f *Fleet) Locality(zone int) string {
	z := f.Zones[zone]
	if len(f.Regions) < 2 {
		return z.Name
	}
	return f.Regions[z.Region] + "/" + z.Name
}

// ZoneByLocality returns the index of the zone with a locality, or -1 if there is none.
func (f *Fleet) ZoneByLocality(locality string) int {
	for z := range f.Zones {
		if f.Locality(z) == locality {
			return z
		}
	}
	return -1
}

// Name returns a human-readable name of a party.
func (f *Fleet) Name(p Party) string {
	switch p.Kind {
	case BalancerParty:
		return f.Balancers[p.Index].Name
	case UpstreamParty:
		return f.Upstreams[p.Index].Name
	}
	return "clients of " + f.Zones[p.Index].Name
}

// ZoneOf returns the index of a party's zone.
func (f *Fleet) ZoneOf(p Party) int {
	switch p.Kind {
	case BalancerParty:
		return f.Balancers[p.Index].Zone
	case UpstreamParty:
		return f.Upstreams[p.Index].Zone
	}
	return p.Index
}

// selectParties returns the parties that selectors match, each once: balancers, then upstreams, then clients. A selector is
// "all", or zone:, region:, balancer:, upstream: or clients: with a name or a pattern of path.Match. A selector without a
// match is an error.
func (f *Fleet) selectParties(selectors []string) ([]Party, error) {
	var all []Party
	for i := range f.Balancers {
		all = append(all, Party{BalancerParty, i})
	}
	for i := range f.Upstreams {
		all = append(all, Party{UpstreamParty, i})
	}
	for i := range f.Zones {
		all = append(all, Party{ClientsParty, i})
	}
	chosen := map[Party]bool{}
	for _, s := range selectors {
		what, pattern, _ := strings.Cut(s, ":")
		if _, err := path.Match(pattern, ""); err != nil {
			return nil, fmt.Errorf("%q: %w", s, err)
		}
		found := false
		for _, p := range all {
			if f.matches(p, what, pattern) {
				chosen[p] = true
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("%q matches nothing: expected all, or zone:, region:, balancer:, upstream: or clients: with a name or pattern", s)
		}
	}
	return slices.DeleteFunc(all, func(p Party) bool { return !chosen[p] }), nil
}

// matches reports whether p matches a selector of the kind what with a valid pattern.
func (f *Fleet) matches(p Party, what, pattern string) bool {
	match := func(name string) bool {
		ok, _ := path.Match(pattern, name) // selectParties has checked the pattern
		return ok
	}
	zone := f.Zones[f.ZoneOf(p)]
	switch what {
	case "all":
		return true
	case "zone":
		return match(zone.Name)
	case "region":
		return match(f.Regions[zone.Region])
	case "balancer":
		return p.Kind == BalancerParty && match(f.Balancers[p.Index].Name)
	case "upstream":
		return p.Kind == UpstreamParty && match(f.Upstreams[p.Index].Name)
	case "clients":
		return p.Kind == ClientsParty && match(zone.Name)
	}
	return false
}

// randomStream returns the number of the random stream for a purpose. With a stream for each purpose, an additional draw
// for one leaves those for the others unchanged.
func randomStream(purpose string, index int) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, purpose) // a hash never returns an error
	return h.Sum64() + uint64(index)
}
