package model

import (
	"cmp"
	"net/http"
	"time"

	"sprucehill/internal/lab/server"
)

// messageKind is what a message says.
type messageKind uint8

const (
	// A front's own timers.
	msgArrival        messageKind = iota // a client's request is due; index: the arrival
	msgRetry                             // a client retries; index: the arrival, number: of the retry
	msgClientTimeout                     // a client may stop waiting
	msgHealthCheckDue                    // index: the balancer's place in the front's list

	// Between fronts and balancers.
	msgHealthCheck
	msgHealthResult // healthy
	msgConnect
	msgConnected
	msgReset // the connection was refused or broke; requestRead
	msgRequest
	msgClientDisconnected
	msgResponse   // keepAlive
	msgIdleClosed // the sender has closed all its idle connections; from an upstream, index: which

	// A balancer's own timers.
	msgTimer // of the decision module; id: its token
	msgAttemptTimeout
	msgRequestTimeout
	msgConnectTimeout
	msgDrained // a process that shuts down may end once no request is open
	msgStart
	msgEndpointUpdate // with an update: a change of the endpoint list; without: fetch the list again

	// Between balancers and upstreams. Connection messages of fronts are used here too.
	msgAttempt
	msgAbandon    // the balancer has given up an attempt and closed its connection
	msgConnClosed // the balancer has closed an idle connection
	msgReply

	// An upstream's own timer.
	msgWake

	// From the timetable; index: the fault.
	msgFaultBegins
	msgFaultEnds
)

// Status codes on messages and in the history.
const (
	statusOK      int16 = http.StatusOK
	statusError   int16 = http.StatusInternalServerError
	statusFailed  int16 = http.StatusBadGateway
	statusRefused int16 = http.StatusServiceUnavailable
)

// message is one event for an actor. Which fields mean something depends on its kind.
type message struct {
	at          time.Duration
	seq         uint64 // the sender's count of messages: breaks ties
	from, to    int32  // actors
	kind        messageKind
	healthy     bool
	requestRead bool // the connection broke after the balancer had read the request
	keepAlive   bool // the connection takes further requests
	hasLoad     bool
	status      int16
	index       int32 // of an arrival, a balancer, an upstream or a fault
	number      int32 // of an attempt within its request, or of a client's retry
	incarnation int32 // of the process that set a timer
	id          uint64
	request     *clientRequest
	duration    time.Duration // Retry-After, or what is left of the deadline
	load        server.Report
	update      *endpointUpdate
}

// clientRequest is a request as a client sends it. A retry by the client is another one.
type clientRequest struct {
	id       uint64
	arrival  int32
	number   int32 // of the retry; 0: the first
	deadline time.Duration
	leavesAt time.Duration // when the client disconnects; 0: it stays
}

// messageQueue is an actor's messages, ordered by time, then sender, then the order in which they were sent.
type messageQueue []message

func (q messageQueue) Len() int      { return len(q) }
func (q messageQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q messageQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].from, q[j].from), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

// Push is for container/heap.
func (q *messageQueue) Push(x any) { *q = append(*q, x.(message)) }

// Pop is for container/heap.
func (q *messageQueue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	(*q)[last] = message{}
	*q = (*q)[:last]
	return m
}
