package scenario

import "math"

// Scaled is the same day on a fleet of another size: balancers, upstreams and load times factor, and at least one of what
// a zone has any of. Its quotas grow likewise.
func (d *Scenario) Scaled(factor float64) *Scenario {
	times := func(n int) int {
		if n == 0 {
			return 0
		}
		return max(1, int(math.Round(float64(n)*factor)))
	}
	s := *d
	s.Load.Rate *= factor
	s.Regions = nil
	for _, r := range d.Regions {
		zones := r.Zones
		r.Zones = nil
		for _, z := range zones {
			z.Balancers = times(z.Balancers)
			groups := z.Groups
			z.Groups = nil
			for _, g := range groups {
				g.Count = times(g.Count)
				z.Groups = append(z.Groups, g)
			}
			r.Zones = append(r.Zones, z)
		}
		s.Regions = append(s.Regions, r)
	}
	s.Tenants = append([]Tenant(nil), d.Tenants...)
	for i := range s.Tenants {
		s.Tenants[i].Quota *= factor
	}
	return &s
}
