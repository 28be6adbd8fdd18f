package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rejoinPeriod is how long this member tries to reach a lost process, so that a partitioned fleet heals by itself.
	rejoinPeriod = time.Hour
	// departedRetention is how long a departed process is remembered. If it is reported alive in this time, it must be
	// confirmed before it is active again.
	departedRetention = 24 * time.Hour
	// maxDepartedProcesses bounds the number of remembered departed processes; the oldest is evicted first.
	maxDepartedProcesses = 1024
)

// departedProcess is a process that was lost or has left.
type departedProcess struct {
	address       string // empty if the process left: it is not retried
	departedAt    time.Duration
	lastAttemptAt time.Duration
}

// evictOldestDeparted removes the process that departed first if there are more than maxDepartedProcesses.
func (t *MemberTable) evictOldestDeparted() {
	if len(t.departed) <= maxDepartedProcesses {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.departed)), func(x, y ProcessID) int {
		return cmp.Or(cmp.Compare(t.departed[x].departedAt, t.departed[y].departedAt), compareProcessIDs(x, y))
	})
	delete(t.departed, oldest)
}

// removeExpiredDeparted removes the processes that departed departedRetention ago or earlier and are not alive again.
func (t *MemberTable) removeExpiredDeparted(now time.Duration) {
	maps.DeleteFunc(t.departed, func(id ProcessID, departed *departedProcess) bool {
		return t.alive[id] == nil && now-departed.departedAt >= departedRetention
	})
}

// isRejoinCandidate reports whether a departed process was lost and its address is still retried.
func (t *MemberTable) isRejoinCandidate(now time.Duration, id ProcessID, departed *departedProcess) bool {
	return departed.address != "" && t.alive[id] == nil && now-departed.departedAt < rejoinPeriod
}

// LostCount returns the number of lost processes that are still retried.
func (t *MemberTable) LostCount(now time.Duration) int {
	count := 0
	for id, departed := range t.departed {
		if t.isRejoinCandidate(now, id, departed) {
			count++
		}
	}
	return count
}

// NextRejoinAddress returns the address of the lost process with the oldest attempt to reach it, and records a new attempt.
// It returns each process at most once per minInterval, and an empty address if no attempt is due.
func (t *MemberTable) NextRejoinAddress(now, minInterval time.Duration) string {
	var next *departedProcess
	for _, id := range slices.SortedFunc(maps.Keys(t.departed), compareProcessIDs) {
		departed := t.departed[id]
		isDue := t.isRejoinCandidate(now, id, departed) && now-departed.lastAttemptAt >= minInterval
		if isDue && (next == nil || departed.lastAttemptAt < next.lastAttemptAt) {
			next = departed
		}
	}
	if next == nil {
		return ""
	}
	next.lastAttemptAt = now
	return next.address
}
