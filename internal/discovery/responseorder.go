package discovery

// responseOrder decides which responses of a service are out of date, from their revisions and from the order of calls and responses.
// Its zero value is for an owner that has no list of the service.
type responseOrder struct {
	// revision is that of the owner's list; 0: it has none.
	revision uint64
	// lastAcceptedSequence is the endSequence of the latest accepted response; 0: there is none.
	lastAcceptedSequence uint64
	// restartSequence is the startSequence of the first accepted response after a restart of the agent; 0: it has not restarted.
	restartSequence uint64
	// lastWasStale is set if a response has been ignored although its call started after the accepted response arrived.
	lastWasStale bool
}

// isStale reports whether a response must not be applied to the owner's list: its revision is older, or its changes are relative to
// a list that the owner does not have. An agent that has restarted counts its revisions anew: then a second response in a row with
// an older revision, to a call that started after the accepted response arrived, is not stale, but responses to calls that started
// before are.
func (o *responseOrder) isStale(update Update) bool {
	switch {
	case update.startSequence < o.restartSequence:
		return true
	case !update.List.Complete && update.since > o.revision:
		return true
	case update.List.Revision >= o.revision:
		return false
	}
	return o.isOvertaken(update) || !o.lastWasStale
}

// isOvertaken reports whether the call of a response started before the latest accepted response arrived.
func (o *responseOrder) isOvertaken(update Update) bool {
	return update.startSequence < o.lastAcceptedSequence
}

// isDuplicate reports whether a response has nothing that an accepted response to another call did not have.
func (o *responseOrder) isDuplicate(update Update) bool {
	return update.List.Revision == o.revision && o.isOvertaken(update)
}

// ignore records that a stale response is not applied.
func (o *responseOrder) ignore(update Update) {
	if !o.isOvertaken(update) {
		o.lastWasStale = true
	}
}

// accept records that a response is about to be applied.
func (o *responseOrder) accept(update Update) {
	if o.isRestart(update) {
		o.restartSequence = update.startSequence
	}
	o.lastAcceptedSequence = max(o.lastAcceptedSequence, update.endSequence)
	o.lastWasStale = false
}

// isRestart reports whether a response that is not stale shows that the agent counts its revisions anew.
func (o *responseOrder) isRestart(update Update) bool { return update.List.Revision < o.revision }

// hasAccepted reports whether a response has been accepted.
func (o *responseOrder) hasAccepted() bool { return o.lastAcceptedSequence != 0 }
