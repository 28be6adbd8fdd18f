package scenario

import (
	"fmt"
	"time"
)

// Bounds of what a day may ask for, so that a typing error does not run for hours.
const (
	maxLength    = Duration(2 * time.Hour)
	maxArrivals  = 20e6
	maxBalancers = 5000
	maxUpstreams = 20000
)

// invalid is one thing that is wrong with a day, by the key that says it.
func invalid(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}

// isShare reports whether x is a share from 0 to 1.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// check names the first thing that makes the day unusable.
func (d *Scenario) check() error {
	if d.Length <= 0 || d.Length > maxLength {
		return invalid("length", "%v is not over 0 and at most %v", d.Length.D(), maxLength.D())
	}
	if d.Settle < 0 || d.Settle >= d.Length {
		return invalid("settle", "%v is not shorter than the day", d.Settle.D())
	}
	if d.Window <= 0 {
		return invalid("window", "must be over 0")
	}
	checks := []func() error{
		d.checkFleet, d.checkModels, d.checkNetwork, d.checkBalancer,
		d.checkClasses, d.checkTenants, d.checkClients, d.checkLoad, d.checkFaults,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Scenario) checkFleet() error {
	c := fleetChecker{models: d.Models, regions: map[string]bool{}, zones: map[string]bool{}}
	for i, r := range d.Regions {
		if err := c.checkRegion(fmt.Sprintf("region[%d]", i+1), r); err != nil {
			return err
		}
	}
	return c.checkSize()
}

// fleetChecker checks the regions of a day one by one.
type fleetChecker struct {
	models    map[string]Model
	regions   map[string]bool // names so far
	zones     map[string]bool // names so far, of all regions
	balancers int             // so far
	upstreams int             // so far
}

func (c *fleetChecker) checkRegion(key string, r Region) error {
	if r.Name == "" || c.regions[r.Name] {
		return invalid(key+".name", "%q is empty or stands twice", r.Name)
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
		return invalid(key+".name", "%q is empty or stands twice", z.Name)
	}
	c.zones[z.Name] = true
	if z.Balancers < 0 || z.Share < 0 {
		return invalid(key, "balancers and share must not be negative")
	}
	if z.Share > 0 && z.Balancers == 0 {
		return invalid(key+".share", "clients come to zone %s, but it has no balancers", z.Name)
	}
	c.balancers += z.Balancers
	for _, g := range z.Groups {
		if _, ok := c.models[g.Model]; !ok {
			return invalid(key+".upstreams.model", "%q is no [model.%s] of this file", g.Model, g.Model)
		}
		if g.Count < 0 {
			return invalid(key+".upstreams.count", "must not be negative")
		}
		c.upstreams += g.Count
	}
	return nil
}

// checkSize checks how many balancers and upstreams the regions have in all.
func (c *fleetChecker) checkSize() error {
	switch {
	case c.balancers == 0 || c.balancers > maxBalancers:
		return invalid("region.zone.balancers", "%d in all; 1 to %d are wanted", c.balancers, maxBalancers)
	case c.upstreams == 0 || c.upstreams > maxUpstreams:
		return invalid("region.zone.upstreams", "%d in all; 1 to %d are wanted", c.upstreams, maxUpstreams)
	}
	return nil
}

func (d *Scenario) checkModels() error {
	for name, m := range d.Models {
		key := "model." + name
		switch {
		case m.Cores < 1 || m.Speed <= 0 || m.Slots < 1 || m.Queue < 0 || m.Connections < 0:
			return invalid(key, "cores, speed and slots must be over 0, queue and connections not negative")
		case m.ColdFrom <= 0 || m.ColdFrom > 1:
			return invalid(key+".cold_from", "%v is not over 0 and at most 1", m.ColdFrom)
		case m.Warm <= 0 || m.ReportEvery <= 0 || m.ReportDelay < 0:
			return invalid(key, "warm and report_every must be over 0, report_delay not negative")
		case m.PauseEvery < 0 || m.Pause < 0 || (m.Pause > 0) != (m.PauseEvery > 0):
			return invalid(key+".pause", "pause and pause_every go together")
		case !isShare(m.ErrorRate):
			return invalid(key+".error_rate", "%v is no share from 0 to 1", m.ErrorRate)
		}
	}
	return nil
}

func (d *Scenario) checkNetwork() error {
	n := d.Network
	if n.SameZone <= 0 || n.CrossZone < n.SameZone || n.CrossRegion < n.CrossZone {
		return invalid("network", "delays must be over 0 and must not fall from same_zone to cross_zone to cross_region")
	}
	if !isShare(n.Loss) || n.Loss > 0.5 {
		return invalid("network.loss", "%v is no share from 0 to 0.5", n.Loss)
	}
	f := d.Fleet()
	for i, l := range n.Links {
		key := fmt.Sprintf("network.link[%d]", i+1)
		for k, s := range map[string]string{"from": l.From, "to": l.To} {
			if _, err := f.selectParties([]string{s}); err != nil {
				return invalid(key+"."+k, "%v", err)
			}
		}
		if l.Delay < 0 || !isShare(l.Loss) || l.Loss > 0.5 {
			return invalid(key, "delay must not be negative, loss a share from 0 to 0.5")
		}
	}
	return nil
}

func (d *Scenario) checkBalancer() error {
	b := d.Balancer
	if b.MemoryMB < 16 || b.Sockets < 64 || b.MaxAttempts < 1 || b.TipMultiple <= 0 || b.TipAfter <= 0 ||
		b.ConnectTimeout <= 0 || b.KeepAlive <= 0 || b.DrainGrace <= 0 || b.RetryAfter < 0 || b.Notice < 0 {
		return invalid("balancer", "memory_mb is at least 16, sockets 64, max_attempts 1; tip_ figures and times are over 0")
	}
	if b.Known != "now" && b.Known != "begin" {
		return invalid("balancer.known", "%q is neither now nor begin", b.Known)
	}
	return nil
}

func (d *Scenario) checkClasses() error {
	if len(d.Classes) == 0 {
		return invalid("class", "no [[class]] stands in the file")
	}
	names := map[string]bool{}
	for i, c := range d.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		switch {
		case c.Name == "" || names[c.Name]:
			return invalid(key+".name", "%q is empty or stands twice", c.Name)
		case c.Aim <= 0 || c.Deadline < c.Aim:
			return invalid(key+".aim", "%v is not over 0 and at most the deadline, %v", c.Aim.D(), c.Deadline.D())
		case repeatNames[c.Repeat] == "":
			return invalid(key+".repeat", "%q is not safe, keyed or unsafe", c.Repeat)
		case c.Group != "all" && c.Group != "zone" && c.Group != "cell":
			return invalid(key+".group", "%q is not all, zone or cell", c.Group)
		case c.Share < 0 || c.Worth < 0 || c.Memory <= 0:
			return invalid(key, "share and worth must not be negative, memory over 0")
		}
		for k, r := range map[string]Range{"work": c.Work, "wait": c.Wait} {
			if r[0] < 0 || r[1] < r[0] {
				return invalid(key+"."+k, "%v to %v is no range", r[0].D(), r[1].D())
			}
		}
		if c.Work[1] == 0 {
			return invalid(key+".work", "is missing: each request costs an upstream something")
		}
		names[c.Name] = true
	}
	return nil
}

func (d *Scenario) checkTenants() error {
	names := map[string]bool{}
	for i, t := range d.Tenants {
		if t.Name == "" || names[t.Name] || t.Share < 0 || t.Quota < 0 {
			return invalid(fmt.Sprintf("tenant[%d]", i+1), "the name is empty or stands twice, or a figure is negative")
		}
		names[t.Name] = true
	}
	return nil
}

func (d *Scenario) checkClients() error {
	c := d.Clients
	if c.Retries < 0 || c.Wait < 0 || c.Budget < 0 || !isShare(c.Impatience) || !isShare(c.Honour) || c.Keys < 1 {
		return invalid("clients", "impatience and honour are shares from 0 to 1, the rest is not negative")
	}
	return nil
}

func (d *Scenario) checkLoad() error {
	l := d.Load
	if l.Rate <= 0 || l.Rate*time.Duration(d.Length).Seconds() > maxArrivals {
		return invalid("load.rate", "%v a second is not over 0 and at most %.0f requests a day", l.Rate, maxArrivals)
	}
	if (l.Shape != "flat" && l.Shape != "wave") || !isShare(l.Swing) || l.Period <= 0 {
		return invalid("load.shape", "flat or wave is wanted, swing from 0 to 1 and a period over 0")
	}
	return nil
}

// checkFaults also resolves whom each fault hits: one that names nobody is an error.
func (d *Scenario) checkFaults() error {
	f := d.Fleet()
	for i := range d.Faults {
		fault := &d.Faults[i]
		key := fmt.Sprintf("fault[%d]", i+1)
		kind, ok := faultKinds[fault.Kind]
		switch {
		case !ok:
			return invalid(key+".kind", "%q is unknown; the kinds are %s", fault.Kind, faultKindNames())
		case fault.At < 0 || fault.For < 0 || fault.At >= d.Length:
			return invalid(key+".at", "at must lie within the day, for must not be negative")
		case !isShare(fault.Part) || fault.Part == 0:
			return invalid(key+".part", "%v is no share over 0 and up to 1", fault.Part)
		case fault.State != "keep" && fault.State != "lose":
			return invalid(key+".state", "%q is not keep or lose", fault.State)
		case fault.Size < kind.least || (kind.most > 0 && fault.Size > kind.most):
			return invalid(key+".size", "%v; %s wants %v to %v", fault.Size, fault.Kind, kind.least, kind.most)
		case kind.delay && fault.Delay == 0:
			return invalid(key+".delay", "%s wants a delay", fault.Kind)
		case kind.rate && fault.Rate <= 0:
			return invalid(key+".rate", "%s wants a rate in bytes a second", fault.Kind)
		}
		if _, err := d.resolve(f, i); err != nil {
			return invalid(key, "%v", err)
		}
	}
	return nil
}
