package timelimit

import "time"

// HoldUp is how long the process may be without a processor between the moment that a limit counts from, or a look at the
// clock, and what the program does next.
//
// Term: the platform counts from a signal or an order, not from the moment at which the program handles it.
const HoldUp = 150 * time.Millisecond

// writeReserve is the time for writing a response, without a hold-up.
const writeReserve = 50 * time.Millisecond

// AnswerMargin is how much sooner than the limit of a drain or of a shutdown a request is answered. The process may be held
// up once before it handles the order or signal from which the limit counts, and again before it writes the response.
const AnswerMargin = 2*HoldUp + writeReserve

// Limits of a client's connection and of its requests.
const (
	// ClientRead bounds how long a client may take to send the head of a request, the silence before the first request included.
	// It is also the most credit of time that the sender of a body can have: a silence uses the credit up, what it sends adds to
	// it.
	//
	// Term: a client that sends nothing is disconnected within 3 s of connecting.
	ClientRead = 2500 * time.Millisecond
	// RequestSilence bounds, from the beginning of a request, the silence before the first bytes of its body.
	//
	// Term: a client that stops in the middle of a request is disconnected within 3 s.
	RequestSilence = 2900 * time.Millisecond
	// FirstBodyByte is how long the first bytes of a body may take even where RequestSilence leaves less, after a slow head.
	FirstBodyByte = 400 * time.Millisecond
	// ClientWrite bounds how long a client may take to read its response, or each part of a streamed one.
	ClientWrite = 10 * time.Second
	// ClientIdle bounds how long a connection may be idle between two requests.
	ClientIdle = 2 * time.Minute
	// EvictionMinIdle is how long a connection must have been idle before a new one at the limit on connections may replace
	// it.
	EvictionMinIdle = 2 * time.Second
	// DeadlineMargin is subtracted from a client's deadline. It covers the way of the request and of its response, and one
	// turn of the event loop.
	//
	// Term: a deadline counts from the moment at which the client sends the request.
	DeadlineMargin = 4 * time.Millisecond
)

// Limits of a connection to an upstream.
const (
	// UpstreamStall bounds how long an upstream may take nothing of an upload, or send nothing of a streamed response.
	UpstreamStall = 5 * time.Second
	// UpstreamIdleMargin is how much sooner than the upstream the balancer closes an idle connection.
	//
	// Term: a request that is written after the upstream's keep-alive time has passed ends as a reset.
	UpstreamIdleMargin = 5 * time.Second
)

// UpstreamIdle returns how long a connection may be idle where upstreams close theirs after keepAlive. It is at least half of
// keepAlive.
func UpstreamIdle(keepAlive time.Duration) time.Duration {
	return max(keepAlive-UpstreamIdleMargin, keepAlive/2)
}

// Limits of a drain.
const (
	// DrainIdleGrace is how long idle connections stay open after a drain has begun.
	//
	// Term: health checks come every 0.1 s, and new connections for 0.2 s after a failed one. A connection that is closed
	// sooner would be opened here again.
	DrainIdleGrace = 500 * time.Millisecond
	// Drain is when, after its beginning, a drain should have released the clients. Connections that are open then are logged.
	//
	// Term: no connection is idle 4 s after the operators' order, or has a request in progress that is younger than
	// DrainRecentRequest.
	Drain = 4 * time.Second
	// DrainRecentRequest is the age under which a request counts as recent at the limit Drain.
	DrainRecentRequest = 2 * time.Second
)

// Limits of a shutdown, which count from SIGTERM.
const (
	// ShutdownAccept is how long new connections are accepted.
	//
	// Term: new connections arrive for up to 0.4 s after SIGTERM.
	ShutdownAccept = 450 * time.Millisecond
	// ShutdownFirstByte is how long a connection that has sent nothing may stay open once no more are accepted.
	ShutdownFirstByte = 50 * time.Millisecond
	// ShutdownLimit is how long connections of clients may stay open beyond the longest deadline of all classes. A response
	// that begins at its deadline then has as long as any other to be read.
	ShutdownLimit = ClientWrite
	// KillDelay is the time from SIGTERM to SIGKILL beyond the longest deadline of all classes.
	//
	// Term: a request that comes later than this after SIGTERM has to be answered before SIGKILL.
	KillDelay = 700 * time.Millisecond
	// KillDeadlineCap is what the longest deadline counts as, at most, in the time to SIGKILL.
	KillDeadlineCap = 3 * time.Second
	// LogFlush bounds the wait at the end of the process for log lines that are not written yet.
	LogFlush = 500 * time.Millisecond
)

// Limits of operators' calls.
const (
	// LoopCall bounds the wait for a function that another goroutine has the event loop run: operators' calls, a changed size
	// of the fleet, and the last snapshot.
	//
	// Term: operators have an answer within 1 s.
	LoopCall = 700 * time.Millisecond
	// OperatorConnection bounds how long a caller may take to send its line, and again to read its answer and close.
	OperatorConnection = 2 * time.Second
)
