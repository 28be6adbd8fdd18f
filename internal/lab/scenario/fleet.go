package scenario

import (
	"fmt"
	"hash/fnv"
	"io"
	"path"
	"slices"
	"strings"
)

// PartyKind is what a party of the day is.
type PartyKind uint8

// The parties.
const (
	BalancerParty PartyKind = iota
	UpstreamParty
	ClientsParty // all clients of a zone with their front
)

// Party is one end of a link. It can be a map key.
type Party struct {
	Kind  PartyKind
	Index int // of its kind, in the fleet's order
}

// Fleet is who takes part in a day, in the order of the file. Indices into its lists name parties everywhere.
type Fleet struct {
	Regions   []string
	Zones     []FleetZone
	Balancers []Balancer
	Upstreams []Upstream
}

// FleetZone is a zone with its members.
type FleetZone struct {
	Name      string
	Region    int
	Share     float64 // of the load; all sum to 1
	Balancers []int
}

// Balancer is one process of the program.
type Balancer struct {
	Name string
	Zone int
}

// Upstream is one server.
type Upstream struct {
	Name  string
	ID    string // as discovery has it; neither zone nor model can be read from it
	Zone  int
	Cell  int
	Model string
	Size  float64 // nominal: cores by their speed
}

// cellSize is how many upstreams of a zone share the idempotency keys that they know.
const cellSize = 6

// Fleet lists who takes part.
func (d *Scenario) Fleet() *Fleet {
	f := &Fleet{}
	taken := map[string]bool{}
	var shares float64
	for r, region := range d.Regions {
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
					m := d.Models[g.Model]
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

// serverID is an id that all balancers map to the same number.
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

// Locality is a zone's name as discovery and the settings have it: with its region before it where there are several.
func (f *Fleet) Locality(zone int) string {
	z := f.Zones[zone]
	if len(f.Regions) < 2 {
		return z.Name
	}
	return f.Regions[z.Region] + "/" + z.Name
}

// ZoneByLocality is the index of the zone of a locality, or -1 if there is none.
func (f *Fleet) ZoneByLocality(locality string) int {
	for z := range f.Zones {
		if f.Locality(z) == locality {
			return z
		}
	}
	return -1
}

// Name is a party's name for people.
func (f *Fleet) Name(p Party) string {
	switch p.Kind {
	case BalancerParty:
		return f.Balancers[p.Index].Name
	case UpstreamParty:
		return f.Upstreams[p.Index].Name
	}
	return "clients of " + f.Zones[p.Index].Name
}

// ZoneOf is the zone that a party lies in.
func (f *Fleet) ZoneOf(p Party) int {
	switch p.Kind {
	case BalancerParty:
		return f.Balancers[p.Index].Zone
	case UpstreamParty:
		return f.Upstreams[p.Index].Zone
	}
	return p.Index
}

// selectParties lists whom selectors name, each once: balancers, then upstreams, then clients. A selector is "all", or
// zone:, region:, balancer:, upstream: or clients: with a name or a pattern of path.Match. One that names nobody is an
// error.
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
			return nil, fmt.Errorf("%q names nobody: write all, or zone:, region:, balancer:, upstream: or clients: and a name", s)
		}
	}
	return slices.DeleteFunc(all, func(p Party) bool { return !chosen[p] }), nil
}

// matches reports whether a selector of the kind what, with a pattern that is valid, selects p.
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

// randomStream is the number of a random stream for a purpose, so that one more draw for one purpose changes none of
// another's.
func randomStream(purpose string, index int) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, purpose) // a hash never returns an error
	return h.Sum64() + uint64(index)
}
