package live

// cellsPerZone spaces the cell numbers of the zones, so that cells of different zones never share a number. The model
// engine uses the same numbers.
const cellsPerZone = 1000

// present reports whether an entry belongs in a complete list.
func present(e listEntry) bool { return e.phase != "removed" }

// listing is discovery's JSON format of the endpoint list, also used under the key "known" of a configuration.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// member is an endpoint in a listing.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// listFor returns the entries that a function selects, with the addresses and start times that balancer b has to see. The
// caller holds g.mu.
func (g *registry) listFor(b int, selected func(listEntry) bool) listing {
	list := listing{Revision: g.revision, Complete: true, Members: []member{}}
	fleet := g.run.fleet
	for u, e := range g.entries {
		if !selected(e) {
			continue
		}
		up := fleet.Upstreams[u]
		m := member{
			ID:       up.ID,
			HostPort: g.run.upstreamAddress(b, u),
			Locality: fleet.Locality(up.Zone),
			Flavor:   up.Model,
			Cell:     up.Zone*cellsPerZone + up.Cell,
			Phase:    e.phase,
			Size:     up.Size,
		}
		if !e.startedAt.IsZero() {
			m.UpSinceMS = e.startedAt.Add(-g.agents[b].clockOffset).UnixMilli()
		}
		list.Members = append(list.Members, m)
	}
	return list
}

// initialList returns the endpoint list for the configuration of balancer b.
func (g *registry) initialList(b int) listing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listFor(b, present)
}
