package durable

import "testing"

// Three starts that end before they have recovered give up what they loaded, six the orders too, and a complete recovery
// resets the count.
func TestCrashLoopQuarantinesState(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	s := openStore(t, path, testOwner, recorder)
	save(t, s, "learnt", 1, "poison")
	save(t, s, "orders", 1, "drain")
	for start := 1; start <= maxFailedRecoveriesForOrders+1; start++ {
		s = openStore(t, path, testOwner, recorder)
		s.BeginRecovery("orders")
		_, learnt := s.Load("learnt", 1)
		_, orders := s.Load("orders", 1)
		if learnt != (start <= maxFailedRecoveries) || orders != (start <= maxFailedRecoveriesForOrders) {
			t.Errorf("start %d: learnt %v, orders %v", start, learnt, orders)
		}
	}
	s.MarkRecovered()
	save(t, s, "learnt", 1, "good")
	s = openStore(t, path, testOwner, recorder)
	s.BeginRecovery("orders")
	if s.quarantined != 2 {
		t.Errorf("%d files are quarantined, want 2", s.quarantined)
	}
	if _, ok := s.Load("learnt", 1); !ok {
		t.Error("nothing is loaded after a complete recovery")
	}
}
