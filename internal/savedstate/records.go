package savedstate

import (
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
	"sprucehill/internal/durable"
)

// The kinds of records that a balancer saves, and the version of the format of each. Operators' orders have their own kind,
// because they are saved synchronously.
const (
	KindList     = "list"
	KindSnapshot = "learnt"
	KindOrders   = "orders"

	versionList     = 1
	versionSnapshot = 1
	versionOrders   = 1
)

// Kinds maps the kinds of records that a Writer has to load to the versions of their formats. It must not be modified.
var Kinds = map[string]uint16{
	KindList:     versionList,
	KindSnapshot: versionSnapshot,
	KindOrders:   versionOrders,
}

// OrderKinds lists the kinds that hold operators' orders. It must not be modified.
var OrderKinds = []string{KindOrders}

// Writer writes records to disk. Only SaveSync waits for the disk. Its methods must be safe for concurrent use.
type Writer interface {
	// Load returns the last record of a kind that an earlier process saved.
	Load(kind string) (durable.Record, bool)
	// Save schedules a record, and returns at once. encode is called when the record is written, unless a newer one of its
	// kind has replaced it before.
	Save(kind string, version uint16, at time.Time, encode func() ([]byte, error))
	// SaveSync saves a record and returns once it is durable, or durable.ErrWriteTimeout if that takes too long.
	SaveSync(kind string, version uint16, at time.Time, payload []byte) error
	// MarkRecovered records that the balancer has restored its saved state.
	MarkRecovered()
}

// listRecord holds an endpoint list and the address of the discovery service that it is from.
type listRecord struct {
	Discovery string         `json:"discovery"`
	List      discovery.List `json:"list"`
}

// snapshotRecord holds a snapshot of the decision module. Names has discovery's IDs of Snapshot.Endpoints, in the same
// order: the module's own IDs are valid in one process only.
type snapshotRecord struct {
	Names    []string          `json:"names"`
	Snapshot balancer.Snapshot `json:"knowledge"`
}

// Orders holds the operators' orders that are in effect.
type Orders struct {
	Serial       uint64   `json:"serial"` // number of the last order
	Drain        bool     `json:"drain"`  // the balancer is drained
	DrainedZones []string `json:"left"`   // drained zones, whose upstreams get no new requests
}

// DrainZone adds a zone to the drained ones.
func (o *Orders) DrainZone(name string) {
	o.ReinstateZone(name) // avoids a duplicate
	o.DrainedZones = append(o.DrainedZones, name)
}

// ReinstateZone removes a zone from the drained ones.
func (o *Orders) ReinstateZone(name string) {
	o.DrainedZones = slices.DeleteFunc(o.DrainedZones, func(zone string) bool { return zone == name })
}
