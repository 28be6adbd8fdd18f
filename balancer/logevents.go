package balancer

import "time"

// LogEvent is an event that a Balancer logs through Effects.Log. Its dynamic type is one of the event types of this package,
// not a pointer. The owner formats it.
type LogEvent interface {
	// topic returns the topic by which the event is rate-limited.
	topic() logTopic
}

// logTopic groups log events that share a rate limit.
type logTopic uint8

const (
	endpointTopic logTopic = iota
	zoneTopic
	queueTopic
	discoveryTopic
)

// logInterval is the minimum time between two log events of one topic.
const logInterval = 5 * time.Second

// EndpointUnresponsive reports that an endpoint is ejected because it has not responded in time. It gets one trial at a time
// until it responds.
type EndpointUnresponsive struct {
	Endpoint    EndpointID
	WaitingTime time.Duration // how long the oldest attempt has waited without any response from the endpoint
}

// ZoneEjected reports that a zone is ejected because most of its endpoints are unhealthy. It gets one trial at a time until
// enough trials have succeeded.
type ZoneEjected struct {
	Zone      string
	Unhealthy int // number of unhealthy endpoints in the zone
	Endpoints int // number of endpoints in the zone that this balancer uses
}

// ZoneRecoveryStarted reports that the trials of an ejected zone have succeeded, and that its traffic share now grows in
// steps.
type ZoneRecoveryStarted struct {
	Zone        string
	StepPeriods int // minimum time between two steps, in periods of one second
}

// RequestsShed reports that a queued request is rejected or failed because no endpoint became available in time to meet its
// latency objective.
type RequestsShed struct {
	QueueLength int // requests in the queue, including this one
}

// DiscoveryCallFailed reports that a call to discovery has failed.
type DiscoveryCallFailed struct {
	RetryIn time.Duration // time until the next attempt
}

func (EndpointUnresponsive) topic() logTopic { return endpointTopic }
func (ZoneEjected) topic() logTopic          { return zoneTopic }
func (ZoneRecoveryStarted) topic() logTopic  { return zoneTopic }
func (RequestsShed) topic() logTopic         { return queueTopic }
func (DiscoveryCallFailed) topic() logTopic  { return discoveryTopic }

// eventLog passes log events to Effects.Log with a rate limit for each topic.
type eventLog struct {
	effects Effects
	lastAt  map[logTopic]time.Duration // time of the last logged event
}

// add logs an event unless one of the same topic was logged within the last logInterval.
func (l *eventLog) add(now time.Duration, event LogEvent) {
	last, logged := l.lastAt[event.topic()]
	if logged && now-last < logInterval {
		return
	}
	l.lastAt[event.topic()] = now
	l.effects.Log(event)
}
