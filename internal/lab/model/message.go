package model

import (
	"cmp"
	"net/http"
	"time"

	"sprucehill/internal/lab/server"
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	// Timers of an ingress.
	msgArrival        messageKind = iota // a client sends its first request; index: the arrival
	msgRetry                             // a client sends a retry; index: the arrival, number: of the retry
	msgClientTimeout                     // a client may stop waiting; id: of the request
	msgHealthCheckDue                    // index: of the balancer in ingress.nodes

	// Between ingresses and balancers.
	msgHealthCheck
	msgHealthResult // the response to a health check; healthy
	msgConnect
	msgConnected
	msgReset // the connection was refused or reset; requestRead
	msgRequest
	msgClientDisconnected
	msgResponse   // status, keepAlive; duration: Retry-After
	msgIdleClosed // the sender has closed all idle connections to the receiver; from an upstream, index: the upstream

	// Timers of a balancer.
	msgTimer // of the decision module; id: the timer's token
	msgAttemptTimeout
	msgRequestTimeout
	msgConnectTimeout
	msgDrained        // the drain notice has passed: the process exits once no request is open
	msgStart          // start the process
	msgEndpointUpdate // with update: a change of the endpoint list reaches the agent; without: the list is to be fetched again

	// Between balancers and upstreams, in addition to msgConnect, msgConnected, msgReset and msgIdleClosed.
	msgAttempt
	msgAbandon    // the balancer has abandoned an attempt and closed its connection
	msgConnClosed // the balancer has closed an idle connection
	msgReply

	// Timer of an upstream.
	msgWake

	// From the timetable of faults; index: the fault.
	msgFaultBegins
	msgFaultEnds
)

// Status codes on messages and in the history.
const (
	statusOK       int16 = http.StatusOK
	statusError    int16 = http.StatusInternalServerError
	statusFailed   int16 = http.StatusBadGateway
	statusRejected int16 = http.StatusServiceUnavailable
)

// message is an event for an actor. The kind determines which fields are set.
type message struct {
	at          time.Duration
	seq         uint64 // number of the message at its sender; breaks ties
	from, to    int32  // ids of actors
	kind        messageKind
	healthy     bool
	requestRead bool // the connection was reset after the balancer had read the request
	keepAlive   bool // the connection stays open for further requests
	hasLoad     bool // load is set
	status      int16
	index       int32 // of an arrival, a balancer, an upstream or a fault
	number      int32 // of an attempt within its request, or of a client's retry
	incarnation int32 // of the process that set a timer
	id          uint64
	request     *clientRequest
	duration    time.Duration // of a response: Retry-After; of a request: the time until its deadline
	load        server.Report
	update      *endpointUpdate
}

// clientRequest is a request as a client sends it. A retry by the client is a request of its own.
type clientRequest struct {
	id       uint64
	arrival  int32
	number   int32 // of the retry; 0: the first request
	deadline time.Duration
	leavesAt time.Duration // when the client disconnects; 0: it does not
}

// messageQueue is a priority queue of an actor's messages, ordered by time, then sender, then order of sending.
type messageQueue []message

func (q messageQueue) Len() int      { return len(q) }
func (q messageQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q messageQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].from, q[j].from), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

// Push implements heap.Interface.
func (q *messageQueue) Push(x any) { *q = append(*q, x.(message)) }

// Pop implements heap.Interface.
func (q *messageQueue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	(*q)[last] = message{}
	*q = (*q)[:last]
	return m
}
