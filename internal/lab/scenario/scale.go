package scenario

import "math"

// Scaled returns the scenario with the numbers of balancers and upstreams, the load and the quotas multiplied by a factor.
// A zone keeps at least one balancer, and a group at least one upstream, if it had any.
func (s *Scenario) Scaled(factor float64) *Scenario {
	scaleCount := func(n int) int {
		if n == 0 {
			return 0
		}
		return max(1, int(math.Round(float64(n)*factor)))
	}
	scaled := *s
	scaled.Load.Rate *= factor
	scaled.Regions = nil
	for _, r := range s.Regions {
		zones := r.Zones
		r.Zones = nil
		for _, z := range zones {
			z.Balancers = scaleCount(z.Balancers)
			groups := z.Groups
			z.Groups = nil
			for _, g := range groups {
				g.Count = scaleCount(g.Count)
				z.Groups = append(z.Groups, g)
			}
			r.Zones = append(r.Zones, z)
		}
		scaled.Regions = append(scaled.Regions, r)
	}
	scaled.Tenants = append([]Tenant(nil), s.Tenants...)
	for i := range scaled.Tenants {
		scaled.Tenants[i].Quota *= factor
	}
	return &scaled
}
