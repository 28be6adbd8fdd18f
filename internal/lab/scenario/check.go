package scenario

import (
	"fmt"
	"time"
)

// Limits of a scenario, so that a typing error does not cause a run of hours.
const (
	maxLength    = Duration(2 * time.Hour)
	maxArrivals  = 20e6
	maxBalancers = 5000
	maxUpstreams = 20000
)

// invalid returns an error about the value of a key in a scenario file.
func invalid(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}

// isShare reports whether x is a share from 0 to 1.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// validate returns an error about the first invalid value.
func (s *Scenario) validate() error {
	if s.Length <= 0 || s.Length > maxLength {
		return invalid("length", "got %v, expected more than 0 and at most %v", s.Length.D(), maxLength.D())
	}
	if s.Settle < 0 || s.Settle >= s.Length {
		return invalid("settle", "got %v, expected less than the length of the run and not negative", s.Settle.D())
	}
	if s.Window <= 0 {
		return invalid("window", "got %v, expected more than 0", s.Window.D())
	}
	checks := []func() error{
		s.checkFleet, s.checkModels, s.checkNetwork, s.checkBalancer,
		s.checkClasses, s.checkTenants, s.checkClients, s.checkLoad, s.checkFaults,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkFleet() error {
	c := fleetChecker{models: s.Models, regions: map[string]bool{}, zones: map[string]bool{}}
	for i, r := range s.Regions {
		if err := c.checkRegion(fmt.Sprintf("region[%d]", i+1), r); err != nil {
			return err
		}
	}
	return c.checkSize()
}

// fleetChecker checks the regions of a scenario one by one.
type fleetChecker struct {
	models    map[string]Model
	regions   map[string]bool // names so far
	zones     map[string]bool // names so far, of all regions
	balancers int             // so far
	upstreams int             // so far
}

func (c *fleetChecker) checkRegion(key string, r Region) error {
	if r.Name == "" || c.regions[r.Name] {
		return invalid(key+".name", "%q is empty or used twice", r.Name)
	}
	c.regions[r.Name] = true
	for i, z := range r.Zones {
		if err := c.checkZone(fmt.Sprintf("%s.zone[%d]", key, i+1), z); err != nil {
			return err
		}
	}
	return nil
}

func (c *fleetChecker) checkZone(key string, z Zone) error {
	if z.Name == "" || c.zones[z.Name] {
		return invalid(key+".name", "%q is empty or used twice", z.Name)
	}
	c.zones[z.Name] = true
	if z.Balancers < 0 || z.Share < 0 {
		return invalid(key, "balancers and share must not be negative")
	}
	if z.Share > 0 && z.Balancers == 0 {
		return invalid(key+".share", "zone %s has a share of the load, but no balancers", z.Name)
	}
	c.balancers += z.Balancers
	for _, g := range z.Groups {
		if _, ok := c.models[g.Model]; !ok {
			return invalid(key+".upstreams.model", "unknown model %q: the file has no [model.%s]", g.Model, g.Model)
		}
		if g.Count < 0 {
			return invalid(key+".upstreams.count", "must not be negative")
		}
		c.upstreams += g.Count
	}
	return nil
}

// checkSize checks the total numbers of balancers and upstreams.
func (c *fleetChecker) checkSize() error {
	switch {
	case c.balancers == 0 || c.balancers > maxBalancers:
		return invalid("region.zone.balancers", "got %d in total, expected 1 to %d", c.balancers, maxBalancers)
	case c.upstreams == 0 || c.upstreams > maxUpstreams:
		return invalid("region.zone.upstreams", "got %d in total, expected 1 to %d", c.upstreams, maxUpstreams)
	}
	return nil
}

func (s *Scenario) checkModels() error {
	for name, m := range s.Models {
		key := "model." + name
		switch {
		case m.Cores < 1 || m.Speed <= 0 || m.Slots < 1 || m.Queue < 0 || m.Connections < 0:
			return invalid(key, "cores, speed and slots must be greater than 0, queue and connections must not be negative")
		case m.ColdFrom <= 0 || m.ColdFrom > 1:
			return invalid(key+".cold_from", "%v is not over 0 and at most 1", m.ColdFrom)
		case m.Warm <= 0 || m.ReportEvery <= 0 || m.ReportDelay < 0:
			return invalid(key, "warm and report_every must be greater than 0, report_delay must not be negative")
		case m.PauseEvery < 0 || m.Pause < 0 || (m.Pause > 0) != (m.PauseEvery > 0):
			return invalid(key+".pause", "pause and pause_every must be set together and must not be negative")
		case !isShare(m.ErrorRate):
			return invalid(key+".error_rate", "got %v, expected a share from 0 to 1", m.ErrorRate)
		}
	}
	return nil
}

func (s *Scenario) checkNetwork() error {
	n := s.Network
	if n.SameZone <= 0 || n.CrossZone < n.SameZone || n.CrossRegion < n.CrossZone {
		return invalid("network", "delays must be greater than 0, with same_zone <= cross_zone <= cross_region")
	}
	if !isShare(n.Loss) || n.Loss > 0.5 {
		return invalid("network.loss", "got %v, expected a share from 0 to 0.5", n.Loss)
	}
	f := s.Fleet()
	for i, l := range n.Links {
		key := fmt.Sprintf("network.link[%d]", i+1)
		for k, selector := range map[string]string{"from": l.From, "to": l.To} {
			if _, err := f.selectParties([]string{selector}); err != nil {
				return invalid(key+"."+k, "%v", err)
			}
		}
		if l.Delay < 0 || !isShare(l.Loss) || l.Loss > 0.5 {
			return invalid(key, "delay must not be negative, loss must be a share from 0 to 0.5")
		}
	}
	return nil
}

func (s *Scenario) checkBalancer() error {
	b := s.Balancer
	if b.MemoryMB < 16 || b.Sockets < 64 || b.MaxAttempts < 1 || b.TipMultiple <= 0 || b.TipAfter <= 0 ||
		b.ConnectTimeout <= 0 || b.KeepAlive <= 0 || b.DrainGrace <= 0 || b.RetryAfter < 0 || b.Notice < 0 {
		return invalid("balancer", "memory_mb must be at least 16, sockets 64 and max_attempts 1; max_retry_after and front_notice must not be "+
			"negative; tip_multiple, tip_after, connect_timeout, keepalive and drain_grace must be greater than 0")
	}
	if b.Known != "now" && b.Known != "begin" {
		return invalid("balancer.known", "got %q, expected now or begin", b.Known)
	}
	return nil
}

func (s *Scenario) checkClasses() error {
	if len(s.Classes) == 0 {
		return invalid("class", "the file has no [[class]]")
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		switch {
		case c.Name == "" || names[c.Name]:
			return invalid(key+".name", "%q is empty or used twice", c.Name)
		case c.Aim <= 0 || c.Deadline < c.Aim:
			return invalid(key+".aim", "got %v, expected more than 0 and at most the deadline, %v", c.Aim.D(), c.Deadline.D())
		case repeatNames[c.Repeat] == "":
			return invalid(key+".repeat", "got %q, expected safe, keyed or unsafe", c.Repeat)
		case c.Group != "all" && c.Group != "zone" && c.Group != "cell":
			return invalid(key+".group", "got %q, expected all, zone or cell", c.Group)
		case c.Share < 0 || c.Worth < 0 || c.Memory <= 0:
			return invalid(key, "share and worth must not be negative, memory must be greater than 0")
		}
		for k, bounds := range map[string]Range{"work": c.Work, "wait": c.Wait} {
			if bounds[0] < 0 || bounds[1] < bounds[0] {
				return invalid(key+"."+k, "got %v to %v, expected a range of durations that are not negative", bounds[0].D(), bounds[1].D())
			}
		}
		if c.Work[1] == 0 {
			return invalid(key+".work", "must not be 0: each request has to cost an upstream some work")
		}
		names[c.Name] = true
	}
	return nil
}

func (s *Scenario) checkTenants() error {
	names := map[string]bool{}
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] || t.Share < 0 || t.Quota < 0 {
			return invalid(fmt.Sprintf("tenant[%d]", i+1), "the name must be set and unique, share and quota must not be negative")
		}
		names[t.Name] = true
	}
	return nil
}

func (s *Scenario) checkClients() error {
	c := s.Clients
	if c.Retries < 0 || c.Wait < 0 || c.Budget < 0 || !isShare(c.Impatience) || !isShare(c.Honour) || c.Keys < 1 {
		return invalid("clients", "impatience and honour must be shares from 0 to 1, keys at least 1; retries, wait and budget must not be negative")
	}
	return nil
}

func (s *Scenario) checkLoad() error {
	l := s.Load
	if l.Rate <= 0 || l.Rate*time.Duration(s.Length).Seconds() > maxArrivals {
		return invalid("load.rate", "got %v requests a second, expected more than 0 and at most %.0f requests in the run", l.Rate, maxArrivals)
	}
	if (l.Shape != "flat" && l.Shape != "wave") || !isShare(l.Swing) || l.Period <= 0 {
		return invalid("load.shape", "shape must be flat or wave, swing a share from 0 to 1 and period greater than 0")
	}
	return nil
}

// checkFaults also resolves the targets of each fault, because a fault without a target is an error.
func (s *Scenario) checkFaults() error {
	f := s.Fleet()
	for i := range s.Faults {
		fault := &s.Faults[i]
		key := fmt.Sprintf("fault[%d]", i+1)
		kind, ok := faultKinds[fault.Kind]
		switch {
		case !ok:
			return invalid(key+".kind", "%q is unknown; the kinds are %s", fault.Kind, faultKindNames())
		case fault.At < 0 || fault.For < 0 || fault.At >= s.Length:
			return invalid(key+".at", "at must lie within the length of the run, for must not be negative")
		case !isShare(fault.Part) || fault.Part == 0:
			return invalid(key+".part", "got %v, expected a share greater than 0 and at most 1", fault.Part)
		case fault.State != "keep" && fault.State != "lose":
			return invalid(key+".state", "got %q, expected keep or lose", fault.State)
		case fault.Size < kind.least || (kind.most > 0 && fault.Size > kind.most):
			return invalid(key+".size", "got %v, a fault of kind %s needs %v to %v", fault.Size, fault.Kind, kind.least, kind.most)
		case kind.delay && fault.Delay == 0:
			return invalid(key+".delay", "a fault of kind %s needs a delay", fault.Kind)
		case kind.rate && fault.Rate <= 0:
			return invalid(key+".rate", "a fault of kind %s needs a rate in bytes a second", fault.Kind)
		}
		if _, err := s.resolve(f, i); err != nil {
			return invalid(key, "%v", err)
		}
	}
	return nil
}
