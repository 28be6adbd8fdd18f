package leases

import (
	"cmp"
	"slices"
)

// maxInTransit bounds the messages in transit. Further messages are lost, as any message may be.
const maxInTransit = 8

// message is a candidate's request or a voter's response to it. The zero value is an unused slot.
type message struct {
	isResponse  bool
	from        int8 // index of the sending voter
	to          int8
	term        uint64
	incarnation uint8 // of the candidate's process
	round       uint32
	granted     bool   // in a response
	highestTerm uint64 // in a response
}

// send puts a message in transit. It may be delivered at any later time, any number of times, or never.
func (s *State) send(msg message) {
	if slices.Contains(s.inTransit[:], msg) {
		return
	}
	if free := slices.Index(s.inTransit[:], message{}); free >= 0 {
		s.inTransit[free] = msg
	}
}

// sortMessages puts the messages into a canonical order, so that equivalent states compare equal.
func (s *State) sortMessages() { slices.SortFunc(s.inTransit[:], compareMessages) }

func compareMessages(x, y message) int {
	return cmp.Or(
		cmp.Compare(y.round, x.round), // latest round first, unused slots last
		cmp.Compare(x.from, y.from),
		cmp.Compare(x.to, y.to),
		cmp.Compare(x.incarnation, y.incarnation),
		compareBools(x.isResponse, y.isResponse),
		compareBools(x.granted, y.granted),
		cmp.Compare(x.term, y.term),
		cmp.Compare(x.highestTerm, y.highestTerm),
	)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
