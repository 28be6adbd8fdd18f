package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rejoinPeriod is for how long the address of a lost process is tried, so that a partitioned fleet heals by itself.
	rejoinPeriod = time.Hour
	// departedRetention is for how long a departed process is remembered. One that is seen meanwhile must answer before it is active
	// again.
	departedRetention = 24 * time.Hour
	// maxDepartedProcesses bounds the departed processes that are remembered; beyond it the oldest is forgotten.
	maxDepartedProcesses = 1024
)

// departedProcess is a process that was lost or has left.
type departedProcess struct {
	address     string // empty if it left: it is not tried again
	departedAt  time.Duration
	lastTriedAt time.Duration
}

// limitDeparted forgets the process that departed first if there are too many.
func (t *MemberTable) limitDeparted() {
	if len(t.departed) <= maxDepartedProcesses {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.departed)), func(x, y ProcessID) int {
		return cmp.Or(cmp.Compare(t.departed[x].departedAt, t.departed[y].departedAt), compareProcessIDs(x, y))
	})
	delete(t.departed, oldest)
}

// forgetDeparted forgets the processes that departed long ago and have not come back.
func (t *MemberTable) forgetDeparted(now time.Duration) {
	maps.DeleteFunc(t.departed, func(id ProcessID, departed *departedProcess) bool {
		return t.alive[id] == nil && now-departed.departedAt >= departedRetention
	})
}

// awaitsRejoin reports whether a departed process was lost and its address is still tried.
func (t *MemberTable) awaitsRejoin(now time.Duration, id ProcessID, departed *departedProcess) bool {
	return departed.address != "" && t.alive[id] == nil && now-departed.departedAt < rejoinPeriod
}

// LostCount returns how many lost processes are still tried.
func (t *MemberTable) LostCount(now time.Duration) int {
	count := 0
	for id, departed := range t.departed {
		if t.awaitsRejoin(now, id, departed) {
			count++
		}
	}
	return count
}

// NextRejoinAddress returns the address of the lost process whose last attempt is longest ago, and counts as an attempt.
// There is at most one attempt per process in minInterval. Empty: none is due.
func (t *MemberTable) NextRejoinAddress(now, minInterval time.Duration) string {
	var next *departedProcess
	for _, id := range slices.SortedFunc(maps.Keys(t.departed), compareProcessIDs) {
		departed := t.departed[id]
		isDue := t.awaitsRejoin(now, id, departed) && now-departed.lastTriedAt >= minInterval
		if isDue && (next == nil || departed.lastTriedAt < next.lastTriedAt) {
			next = departed
		}
	}
	if next == nil {
		return ""
	}
	next.lastTriedAt = now
	return next.address
}
