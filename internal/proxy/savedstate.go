package proxy

import (
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
	"sprucehill/internal/durable"
)

// The kinds of state that a balancer saves, and the version of the form of each. Operators' orders are a kind of their
// own, since they are saved before the operators have their answer.
const (
	kindList     = "list"
	kindSnapshot = "learnt"
	kindOrders   = "orders"

	versionList     = 1
	versionSnapshot = 1
	versionOrders   = 1
)

// StateKinds is what a StateWriter has to load: the kinds and the versions of their forms.
var StateKinds = map[string]uint16{
	kindList:     versionList,
	kindSnapshot: versionSnapshot,
	kindOrders:   versionOrders,
}

// OrderKinds is which of them hold operators' orders.
var OrderKinds = []string{kindOrders}

// StateWriter saves state to a disk. Only SaveSync waits for the disk.
type StateWriter interface {
	// Load returns the last state of a kind from before this process.
	Load(kind string) (durable.Record, bool)
	// Save saves a state some time later, unless a newer one of its kind comes before that. encode is called then.
	Save(kind string, version uint16, at time.Time, encode func() ([]byte, error))
	// SaveSync saves a state and returns once it is safe, or durable.ErrTimeout where that takes too long.
	SaveSync(kind string, version uint16, at time.Time, payload []byte) error
	// MarkRecovered notes that the balancer has taken its state from before.
	MarkRecovered()
}

// savedList is the list of upstreams, with the address of the discovery service that it is from.
type savedList struct {
	Discovery string         `json:"discovery"`
	List      discovery.List `json:"list"`
}

// savedSnapshot is what the decision module had learnt. Names holds discovery's IDs of Snapshot.Endpoints, in their
// order: the module's IDs hold for one process only.
type savedSnapshot struct {
	Names    []string          `json:"names"`
	Snapshot balancer.Snapshot `json:"knowledge"`
}

// savedOrders is what operators have ordered.
type savedOrders struct {
	Serial       uint64   `json:"serial"` // counts orders
	Drain        bool     `json:"drain"`
	DrainedZones []string `json:"left"`
}

// setZoneDrained adds a zone to the drained ones, or takes it out.
func (o *savedOrders) setZoneDrained(name string, drained bool) {
	o.DrainedZones = slices.DeleteFunc(o.DrainedZones, func(zone string) bool { return zone == name })
	if drained {
		o.DrainedZones = append(o.DrainedZones, name)
	}
}
