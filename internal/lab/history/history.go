// Package history defines the events of a run in order of time. Both engines record them; the checker and the measures
// read them. It holds no judgement about them.
package history

import (
	"fmt"
	"strings"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/scenario"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events, with the fields that each uses in addition to At. The checker sorts by their order.
const (
	// Of a client's request: RequestID, Arrival, Retry, Class, Balancer.
	Sent         Kind = iota // its last byte was written; Deadline: when its client stops waiting
	Answered                 // Result and Status; Upstream: which one responded, if it was served
	Broken                   // its connection ended before a complete response
	TimedOut                 // no response had arrived half a second after its deadline
	ClientLeft               // its client closed the connection deliberately
	NotConnected             // no connection was established: the balancer received nothing

	// Of an attempt: RequestID, Arrival, Retry, Class, Balancer, Upstream, Serial.
	Arrived   // received in full by an upstream that accepted it; FirstByteAt; Work: core-seconds at speed 1
	Rejected  // received in full by an upstream that rejected it; FirstByteAt and Work as for Arrived
	Replied   // Status
	Abandoned // its connection was closed by the balancer, or reset
	Stray     // a request that differs from what any client sent; Text: how

	// Of an upstream: Upstream.
	UpstreamStarted // its process started and warms up
	Collapsed       // it received too much work while it warmed up
	UpstreamStopped // its process ended or its machine left the network
	Notified        // Balancer was notified of Upstream's phase; Text: up, draining or removed

	// Of a balancer's process: Balancer.
	Started   // the process started
	Ready     // its ingress sends requests to it
	Signalled // SIGTERM
	Killed    // SIGKILL, sent by a fault of the scenario
	Paused    // SIGSTOP
	Resumed   // SIGCONT
	Exited    // Text: how; Status: exit code
	OverLimit // it exceeded a resource limit; Text: which one
	Orphan    // a child process outlived the run

	// Of a balancer's view of a zone: Balancer, Zone; Text: the state's name.
	ZoneState

	// Of a fault of the scenario: Fault.
	FaultBegan
	FaultEnded
)

// kindNames are the names of the kinds in written histories.
var kindNames = [...]string{
	Sent: "asked", Answered: "answered", Broken: "broken", TimedOut: "silent", ClientLeft: "left", NotConnected: "not connected",
	Arrived: "arrived", Rejected: "turned away", Replied: "replied", Abandoned: "abandoned", Stray: "stray",
	UpstreamStarted: "began", Collapsed: "toppled", UpstreamStopped: "died", Notified: "told",
	Started: "started", Ready: "ready", Signalled: "SIGTERM", Killed: "SIGKILL", Paused: "SIGSTOP", Resumed: "SIGCONT",
	Exited: "exited", OverLimit: "over a limit", Orphan: "orphan",
	ZoneState:  "zone",
	FaultBegan: "fault begins", FaultEnded: "fault ends",
}

func (k Kind) String() string { return kindNames[k] }

// None is the index of a balancer, upstream or arrival in an event that has none.
const None = -1

// Event is an entry of the history. Times count from the start of the run. The kind determines which fields are set.
type Event struct {
	At          time.Duration
	Deadline    time.Duration
	FirstByteAt time.Duration
	RequestID   uint64
	Arrival     int32 // index
	Balancer    int32 // index
	Upstream    int32 // index
	Serial      int32 // of an attempt: counted over the run by the live engine, within its request by the model engine
	Fault       int32 // index
	Zone        int16 // index
	Status      int16
	Class       int16 // index
	Retry       int8  // number of the client's retry; 0: its first request
	Kind        Kind
	Result      client.Result
	Work        float32
	Text        string
}

// Describe formats an event as a line of text for a person to read.
func (e Event) Describe(sc *scenario.Scenario, fleet *scenario.Fleet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f s  %s", e.At.Seconds(), e.Kind)
	if e.Kind == FaultBegan || e.Kind == FaultEnded {
		fmt.Fprintf(&b, " %s", sc.Faults[e.Fault].Kind)
		return b.String()
	}
	if e.Kind <= Stray && e.Arrival >= 0 {
		fmt.Fprintf(&b, " %016x try %d", e.RequestID, e.Retry)
	}
	if e.Balancer >= 0 {
		fmt.Fprintf(&b, " balancer %s", fleet.Balancers[e.Balancer].Name)
	}
	if e.Upstream >= 0 {
		fmt.Fprintf(&b, " upstream %s", fleet.Upstreams[e.Upstream].Name)
	}
	if e.Kind == ZoneState {
		fmt.Fprintf(&b, " %s", fleet.Locality(int(e.Zone)))
	}
	if e.Status != 0 {
		fmt.Fprintf(&b, " status %d", e.Status)
	}
	if e.Kind == Sent {
		fmt.Fprintf(&b, " until %.3f s", e.Deadline.Seconds())
	}
	if e.Text != "" {
		fmt.Fprintf(&b, " (%s)", e.Text)
	}
	return b.String()
}
