package balancer

import "time"

// LogEvent is one fact that a Balancer reports to its operators through Effects.Log. Its dynamic type is one of the event
// types of this package, as a value. The owner formats it.
type LogEvent interface {
	// topic is what the event counts as where log events are limited in rate.
	topic() logTopic
}

// logTopic names log events that are limited in rate together.
type logTopic uint8

const (
	endpointTopic logTopic = iota
	zoneTopic
	queueTopic
	discoveryTopic
)

// logInterval is the least time between two log events of one topic.
const logInterval = 5 * time.Second

// EndpointUnresponsive reports that an endpoint is ejected because it has not responded. From then on it gets single
// trials only, until it responds.
type EndpointUnresponsive struct {
	Endpoint EndpointID
	Silence  time.Duration // how long the oldest attempt has waited without any response from the endpoint
}

// ZoneEjected reports that a zone is ejected because most of its endpoints are unhealthy. From then on it gets single
// trials only.
type ZoneEjected struct {
	Zone      string
	Unhealthy int // endpoints of the zone that are unhealthy
	Members   int // endpoints of the zone that this balancer uses
}

// ZoneRecoveryStarted reports that the trials of an ejected zone have succeeded. Its traffic share grows in steps from then
// on.
type ZoneRecoveryStarted struct {
	Zone        string
	StepPeriods int // shortest time between two steps, in periods of one second
}

// RequestsShed reports that a queued request is rejected, or fails, because no endpoint became free in time to meet its
// latency objective.
type RequestsShed struct {
	QueueLength int // requests in the queue, with this one
}

// DiscoveryCallFailed reports that a call to discovery has failed.
type DiscoveryCallFailed struct {
	RetryIn time.Duration // time until the next call
}

func (EndpointUnresponsive) topic() logTopic { return endpointTopic }
func (ZoneEjected) topic() logTopic          { return zoneTopic }
func (ZoneRecoveryStarted) topic() logTopic  { return zoneTopic }
func (RequestsShed) topic() logTopic         { return queueTopic }
func (DiscoveryCallFailed) topic() logTopic  { return discoveryTopic }

// eventLog limits the rate of log events, by topic.
type eventLog struct {
	effects Effects
	lastAt  map[logTopic]time.Duration // when an event of the topic was logged last
}

// add logs an event, unless one of its topic was logged within the last logInterval.
func (l *eventLog) add(now time.Duration, event LogEvent) {
	last, logged := l.lastAt[event.topic()]
	if logged && now-last < logInterval {
		return
	}
	l.lastAt[event.topic()] = now
	l.effects.Log(event)
}
