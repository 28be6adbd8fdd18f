package savedstate

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
	KindList     = "list"
	KindSnapshot = "learnt"
	KindOrders   = "orders"

	versionList     = 1
	versionSnapshot = 1
	versionOrders   = 1
)

// Kinds is what a Writer has to load: the kinds and the versions of their forms. It is not changed.
var Kinds = map[string]uint16{
	KindList:     versionList,
	KindSnapshot: versionSnapshot,
	KindOrders:   versionOrders,
}

// OrderKinds is which of Kinds are of operators' orders. It is not changed.
var OrderKinds = []string{KindOrders}

// Writer saves state to a disk. Only SaveSync waits for the disk. Its methods may be called from any goroutine.
type Writer interface {
	// Load returns the last state of a kind from before this process.
	Load(kind string) (durable.Record, bool)
	// Save saves a state some time later, unless a newer one of its kind comes before that. encode is called then.
	Save(kind string, version uint16, at time.Time, encode func() ([]byte, error))
	// SaveSync saves a state and returns once it is safe, or durable.ErrWriteTimeout where that takes too long.
	SaveSync(kind string, version uint16, at time.Time, payload []byte) error
	// MarkRecovered notes that the balancer has taken its state from before.
	MarkRecovered()
}

// listRecord is the list of upstreams, with the address of the discovery service that it is from.
type listRecord struct {
	Discovery string         `json:"discovery"`
	List      discovery.List `json:"list"`
}

// snapshotRecord is what the decision module knew. Names has discovery's IDs of Snapshot.Endpoints, in their order: the
// module's IDs are valid in one process only.
type snapshotRecord struct {
	Names    []string          `json:"names"`
	Snapshot balancer.Snapshot `json:"knowledge"`
}

// Orders is what operators have ordered and not revoked.
type Orders struct {
	Serial       uint64   `json:"serial"` // counts orders
	Drain        bool     `json:"drain"`  // clients are sent away
	DrainedZones []string `json:"left"`   // zones whose upstreams get nothing new
}

// DrainZone adds a zone to the drained ones.
func (o *Orders) DrainZone(name string) {
	o.ReinstateZone(name) // no zone is in the list twice
	o.DrainedZones = append(o.DrainedZones, name)
}

// ReinstateZone removes a zone from the drained ones.
func (o *Orders) ReinstateZone(name string) {
	o.DrainedZones = slices.DeleteFunc(o.DrainedZones, func(zone string) bool { return zone == name })
}
