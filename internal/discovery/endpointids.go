package discovery

import (
	"hash/fnv"
	"strconv"
	"strings"

	"sprucehill/balancer"
)

// EndpointIDs maps the textual IDs of discovery to the numeric IDs of the decision module. It is used on
// one goroutine only, its owner's. The mapping of a textual ID does not change while the owner uses its endpoint; IDs of others are
// forgotten when there are too many of them.
//
// The module orders endpoints by their numeric IDs, so all balancers must compute the same ones: "s-" and up to eight
// hexadecimal digits gives that number, any other text its FNV-1a hash. On a collision, the text that is mapped later is
// hashed again with a counter appended until the number is free. The entries of a list are mapped in the order of their
// IDs, so balancers can differ only in which of two colliding texts was mapped first. Their hash rings differ then, but
// two endpoints never share a number.
//
// A forgotten ID gets the same number again, unless it has collided.
type EndpointIDs struct {
	ids   map[string]balancer.EndpointID
	taken map[balancer.EndpointID]bool
}

// NewEndpointIDs returns an empty mapping.
func NewEndpointIDs() *EndpointIDs {
	return &EndpointIDs{ids: map[string]balancer.EndpointID{}, taken: map[balancer.EndpointID]bool{}}
}

// maxUnusedIDs bounds the IDs that are remembered of endpoints that are not used.
const maxUnusedIDs = 4096

// ForgetUnused forgets the IDs of endpoints that are not used, if there are more than maxUnusedIDs. used is their number.
func (e *EndpointIDs) ForgetUnused(used int, isUsed func(balancer.EndpointID) bool) {
	if len(e.ids) <= used+maxUnusedIDs {
		return
	}
	for text, id := range e.ids {
		if !isUsed(id) {
			delete(e.ids, text)
			delete(e.taken, id)
		}
	}
}

// IDOf returns the numeric ID of a textual ID, and assigns one if it has none yet.
func (e *EndpointIDs) IDOf(text string) balancer.EndpointID {
	if id, ok := e.ids[text]; ok {
		return id
	}
	id := preferredID(text)
	for i := 0; e.taken[id]; i++ {
		id = hashID(text + "#" + strconv.Itoa(i))
	}
	e.ids[text] = id
	e.taken[id] = true
	return id
}

// preferredID returns the numeric ID that a textual ID gets unless it is taken.
func preferredID(text string) balancer.EndpointID {
	digits, ok := strings.CutPrefix(text, "s-")
	if !ok {
		return hashID(text)
	}
	number, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return hashID(text)
	}
	return balancer.EndpointID(number)
}

// hashID returns the FNV-1a hash of a textual ID.
func hashID(text string) balancer.EndpointID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // hash.Hash.Write never returns an error
	return balancer.EndpointID(h.Sum32())
}
