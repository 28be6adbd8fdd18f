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
	// lostRetention is for how long a process that was lost has to answer before it is active again, if it is seen.
	lostRetention = 24 * time.Hour
	// maxLostProcesses bounds the lost processes that are remembered; beyond it the oldest is forgotten.
	maxLostProcesses = 1024
)

// lostProcess is a process that has failed or left.
type lostProcess struct {
	address     string // empty if it left: it is not tried again
	lostAt      time.Duration
	lastTriedAt time.Duration
}

// limitLost forgets the process lost first if there are too many.
func (t *MemberTable) limitLost() {
	if len(t.lost) <= maxLostProcesses {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.lost)), func(x, y ProcessID) int {
		return cmp.Or(cmp.Compare(t.lost[x].lostAt, t.lost[y].lostAt), compareProcessIDs(x, y))
	})
	delete(t.lost, oldest)
}

// forgetLost forgets the processes that were lost long ago and have not come back.
func (t *MemberTable) forgetLost(now time.Duration) {
	maps.DeleteFunc(t.lost, func(id ProcessID, lost *lostProcess) bool {
		return t.alive[id] == nil && now-lost.lostAt >= lostRetention
	})
}

// awaitsRejoin reports whether the address of a lost process is still tried.
func (t *MemberTable) awaitsRejoin(now time.Duration, id ProcessID, lost *lostProcess) bool {
	return lost.address != "" && t.alive[id] == nil && now-lost.lostAt < rejoinPeriod
}

// LostCount returns how many lost processes are still tried.
func (t *MemberTable) LostCount(now time.Duration) int {
	count := 0
	for id, lost := range t.lost {
		if t.awaitsRejoin(now, id, lost) {
			count++
		}
	}
	return count
}

// NextRejoinAddress returns the address of the lost process whose last attempt is longest ago, and counts as an attempt.
// There is at most one attempt per process in minInterval. Empty: none is due.
func (t *MemberTable) NextRejoinAddress(now, minInterval time.Duration) string {
	var next *lostProcess
	for _, id := range slices.SortedFunc(maps.Keys(t.lost), compareProcessIDs) {
		lost := t.lost[id]
		isDue := t.awaitsRejoin(now, id, lost) && now-lost.lastTriedAt >= minInterval
		if isDue && (next == nil || lost.lastTriedAt < next.lastTriedAt) {
			next = lost
		}
	}
	if next == nil {
		return ""
	}
	next.lastTriedAt = now
	return next.address
}
