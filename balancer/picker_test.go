package balancer

import (
	"testing"
	"time"
)

// The example from the paper on interleaving by traffic shares: with equal weights an endpoint takes turns 1, 3, 5, ...;
// with a third of the other's weight it takes turns 9, 13, 17, ...
func TestEndpointOfOneThirdWeightTakesEveryFourthTurn(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), oneZone(fleet(2)))
	first := b.endpoints.known[0]
	turnsOfFirst := func(from, n int) (turns []int) {
		for i := from; i < from+n; i++ {
			if serveRequest(t, b, time.Hour, RequestID(i)) == first {
				turns = append(turns, i)
			}
		}
		return turns
	}
	even := turnsOfFirst(1, 20)
	first.weight = 1.0 / 3
	quarter := turnsOfFirst(101, 40)
	for i := 1; i < len(even); i++ {
		if even[i]-even[i-1] != 2 {
			t.Errorf("with equal weights it took turns %v", even)
		}
	}
	for i := 2; i < len(quarter); i++ {
		if quarter[i]-quarter[i-1] != 4 {
			t.Errorf("with a third of the other's weight it took turns %v", quarter)
		}
	}
	if len(even) != 10 || len(quarter) < 9 {
		t.Errorf("it took %d of 20 turns, want 10; %d of 40 turns, want 9 at least", len(even), len(quarter))
	}
}
