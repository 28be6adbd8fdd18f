package main

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/fleet"
	"sprucehill/internal/membership"
	"sprucehill/internal/proxy"
)

// kindMembers is the kind of state that the membership keeps, and the version of what stands in it.
const kindMembers, versionMembers = "members", 1

// keptMembers is what outlives the process: a later one must not take an incarnation that is not higher, whatever the clock
// says by then, and divides budgets by no smaller fleet than was there, until it has seen for itself.
type keptMembers struct {
	Incarnation uint64 `json:"incarnation"`
	Balancers   int    `json:"balancers"`
}

// others is the membership, where there is one.
type others struct{ node *membership.Node }

// memberKeeper keeps it. Its keeper may be nil.
type memberKeeper struct{ keeper proxy.Keeper }

// begin is the next incarnation, which is safe on disk where that can be, and the size of the fleet before.
func (k memberKeeper) begin() keptMembers {
	next := keptMembers{Incarnation: uint64(time.Now().UnixMilli())}
	if k.keeper == nil {
		return next
	}
	var last keptMembers
	if r, ok := k.keeper.Load(kindMembers); ok {
		if err := json.Unmarshal(r.Payload, &last); err != nil || last.Balancers < 0 || last.Incarnation == math.MaxUint64 {
			slog.Error("state passed over", "kind", kindMembers, "generation", r.Generation, "err", err)
			last = keptMembers{}
		}
	}
	next.Incarnation, next.Balancers = max(next.Incarnation, last.Incarnation+1), last.Balancers
	text, err := json.Marshal(next)
	if err == nil {
		err = k.keeper.Keep(kindMembers, versionMembers, time.Now(), text)
	}
	if err != nil {
		slog.Error("the incarnation is not kept", "incarnation", next.Incarnation, "err", err)
	}
	return next
}

// number hands over the size of the fleet.
func (k memberKeeper) number(m keptMembers) {
	if k.keeper != nil {
		k.keeper.Offer(kindMembers, versionMembers, time.Now(), func() ([]byte, error) { return json.Marshal(m) })
	}
}

// join enters the fleet that the file names seeds of.
func join(c *proxy.Config, file fleet.File, server *proxy.Proxy) (others, error) {
	m := file.Membership
	if !m.On() {
		return others{}, nil
	}
	keeper := memberKeeper{c.Keeper}
	before := keeper.begin()
	zone, region := c.Settings.Zone, ""
	if r, z, found := strings.Cut(c.Settings.Zone, "/"); found {
		region, zone = r, z
	}
	node, err := membership.Start(membership.Options{
		Self: membership.Member{Name: c.Name, Incarnation: before.Incarnation, Zone: zone, Region: region,
			Version: version(), Config: file.Digest, Successor: os.Getenv("RELAY_FD") != ""},
		Listen: m.Listen, Tell: m.Tell, Seeds: m.Seeds, Keys: m.Keys, Number: c.Settings.Balancers, Rank: c.Settings.Rank, Before: before.Balancers,
		Log:  slog.Info,
		Does: func() membership.State { return does(server) },
		Divided: func(incarnation uint64, d membership.Division) error {
			keeper.number(keptMembers{incarnation, d.Most})
			return server.Fleet(balancer.FleetSize{Balancers: d.Balancers, Rank: d.Rank, MaxBalancers: d.Most})
		},
	})
	return others{node}, err
}

// does is a balancer's state in the words of members.
func does(server *proxy.Proxy) membership.State {
	switch _, state := server.Ready(); state {
	case "serving":
		return membership.Serving
	case "draining":
		return membership.Draining
	case "stopping":
		return membership.Leaving
	}
	return membership.Joining
}

// version is the revision that the program was built from, shortened.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}

func (o others) close() {
	if o.node == nil {
		return
	}
	if err := o.node.Close(); err != nil {
		slog.Error("membership was not left in good order", "err", err)
	}
}

// operated is what operators' calls reach.
type operated struct {
	*proxy.Proxy
	others others
}

func (o operated) WriteFigures(w io.Writer) error {
	if err := o.Proxy.WriteFigures(w); err != nil || o.others.node == nil {
		return err
	}
	return o.others.node.Status().WriteFigures(w)
}

func (o operated) WriteMembers(w io.Writer) error {
	if o.others.node == nil {
		return errors.New("there is no membership: the fleet file names no seeds")
	}
	return o.others.node.Status().Write(w)
}
