package durable

import "testing"

// After three starts without a complete recovery the loaded records are quarantined, after six also the operators' orders. A
// complete recovery resets the count.
func TestCrashLoopQuarantinesState(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	s := openStore(t, path, testOwner, recorder)
	save(t, s, "learnt", 1, "bad")
	save(t, s, "orders", 1, "drain")
	for start := 1; start <= maxFailedRecoveriesForOrders+1; start++ {
		s = openStore(t, path, testOwner, recorder)
		s.BeginRecovery("orders")
		_, statsLoaded := s.Load("learnt", 1)
		_, ordersLoaded := s.Load("orders", 1)
		if statsLoaded != (start <= maxFailedRecoveries) || ordersLoaded != (start <= maxFailedRecoveriesForOrders) {
			t.Errorf("start %d: statistics loaded: %v, orders loaded: %v", start, statsLoaded, ordersLoaded)
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
		t.Error("no record is loaded after a complete recovery")
	}
}
