package proxy

import (
	"hash/fnv"
	"strconv"
	"strings"

	"sprucehill/balancer"
)

// endpointIDs maps discovery's IDs, which are texts, to the decision module's, which are numbers. It belongs to the
// loop and is used on the loop's goroutine only. An ID keeps its number while the process lives.
//
// The module orders endpoints by these numbers, so all balancers must come to the same ones: "s-" and up to eight
// hexadecimal digits gives that number, any other text its FNV-1a hash. Where two texts come to one number, the later
// one is hashed again with a count behind it until a number is free. The entries of a list get their numbers in the
// order of their IDs, so balancers differ at most in which of two such texts came first: their hash rings differ then,
// but no two endpoints are ever confused.
type endpointIDs struct {
	ids   map[string]balancer.EndpointID
	taken map[balancer.EndpointID]bool
}

func newEndpointIDs() *endpointIDs {
	return &endpointIDs{ids: map[string]balancer.EndpointID{}, taken: map[balancer.EndpointID]bool{}}
}

// idOf returns the number of a text, a new one if it has none yet.
func (e *endpointIDs) idOf(text string) balancer.EndpointID {
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

// preferredID is the number that a text gets where that is free.
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

// hashID returns the FNV-1a hash of a text.
func hashID(text string) balancer.EndpointID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // a hash's Write never fails
	return balancer.EndpointID(h.Sum32())
}
