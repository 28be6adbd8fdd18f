package crash

import (
	"fmt"
	"math/rand/v2"
)

const (
	// listBytesPerUpstream and statsBytesPerUpstream are the approximate sizes of a balancer's records per upstream.
	listBytesPerUpstream  = 150
	statsBytesPerUpstream = 300

	kindList          = "list"
	kindEndpointStats = "learnt"
	kindOrders        = "orders"

	// savesStream makes the random numbers of GenerateSaves independent of those that sample the cases.
	savesStream = 1
)

// Save is a state to be saved.
type Save struct {
	Kind    string
	Payload []byte
}

// GenerateSaves returns a sequence of saves like those of a balancer with the given number of upstreams. Each round saves the
// endpoint list, the endpoint statistics and the operators' orders. The seed determines the payloads.
func GenerateSaves(rounds, upstreams int, seed uint64) []Save {
	rng := rand.New(rand.NewPCG(seed, savesStream))
	var saves []Save
	for round := range rounds {
		list := randomText(rng, listBytesPerUpstream*upstreams)
		stats := randomText(rng, statsBytesPerUpstream*upstreams)
		orders := fmt.Appendf(nil, `{"serial":%d,"drain":%v,"left":[]}`, round, round%2 == 0)
		saves = append(saves,
			Save{Kind: kindList, Payload: list},
			Save{Kind: kindEndpointStats, Payload: stats},
			Save{Kind: kindOrders, Payload: orders})
	}
	return saves
}

// randomText returns size random printable ASCII characters.
func randomText(rng *rand.Rand, size int) []byte {
	const printable = '~' - ' ' + 1
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(' ' + rng.IntN(printable))
	}
	return text
}
