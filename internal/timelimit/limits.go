package timelimit

import "time"

// MaxSchedulingDelay is the longest time without a CPU that the limits allow for, between the start of a limit or a reading
// of the clock and the next step of the program.
//
// Platform: the platform counts from a signal or an order, not from when the program handles it.
const MaxSchedulingDelay = 150 * time.Millisecond

// responseWriteTime is the time for writing a response, without a scheduling delay.
const responseWriteTime = 50 * time.Millisecond

// ResponseMargin is how long before the limit of a drain or of a shutdown a request is answered. The process may be delayed
// once before it handles the order or signal from which the limit counts, and again before it writes the response.
const ResponseMargin = 2*MaxSchedulingDelay + responseWriteTime

// Limits of client connections and their requests.
const (
	// ClientReadTimeout bounds how long a client may take to send the head of a request, which for the first request includes the
	// time since the connection was accepted. It also caps the time credit of a client that sends a body: the credit
	// decreases while the client sends nothing, and increases with the bytes that it sends.
	//
	// Platform: a client that sends nothing is disconnected within 3 s of connecting.
	ClientReadTimeout = 2500 * time.Millisecond
	// RequestSilence bounds the time from the beginning of a request to the first bytes of its body.
	//
	// Platform: a client that stops in the middle of a request is disconnected within 3 s.
	RequestSilence = 2900 * time.Millisecond
	// FirstBodyByte is the minimum time allowed for the first bytes of a body, if RequestSilence leaves less after a slow head.
	FirstBodyByte = 400 * time.Millisecond
	// UploadCheckInterval is the interval at which the connection of an upload is checked until its last byte has been read:
	// nothing reads from it while its upstream takes no more.
	//
	// Platform: nothing is forwarded later than 0.1 s after a client has disconnected.
	UploadCheckInterval = 20 * time.Millisecond
	// WriteStall is how long a client may take nothing of its response, and the least time for which an upstream may take nothing of an
	// upload. A peer that reads at the platform's rate for slow clients is not given up: see socket.StallWriter.
	WriteStall = 10 * time.Second
	// ClientIdleTimeout bounds how long a connection may be idle between two requests.
	ClientIdleTimeout = 2 * time.Minute
	// EvictionMinIdle is how long a connection must have been idle before it may be closed for a new one, when the limit on
	// connections is reached.
	EvictionMinIdle = 2 * time.Second
	// DeadlineMargin is subtracted from a client's deadline. It covers the network latency of the request and its response,
	// and one iteration of the event loop.
	//
	// Platform: a deadline counts from when the client sends the request.
	DeadlineMargin = 4 * time.Millisecond
)

// Limits of connections to upstreams.
const (
	// UpstreamStall is the least time for which an upstream may send nothing of a streamed response: see UpstreamRest.
	UpstreamStall = 5 * time.Second
	// BufferLongResponse is how long a response that may be long is buffered before it is streamed. One that turns out to be
	// incomplete can be requested again only while it is buffered, but buffering delays a long one for the client.
	BufferLongResponse = 200 * time.Millisecond
	// BufferShortResponse is the same for a response that is known to be short: its client needs all of it.
	//
	// Platform: the rest of a response is not held back for 2 s.
	BufferShortResponse = time.Second
	// MaxClientWait bounds the time that a client may ask an upstream to be waited for while it does nothing.
	MaxClientWait = 2 * time.Minute
	// UpstreamIdleMargin is how long before the upstream the balancer closes an idle connection.
	//
	// Platform: a request that is written after the upstream's keep-alive time is answered with a reset.
	UpstreamIdleMargin = 5 * time.Second
)

// UpstreamRest returns how long an upstream may send nothing of a streamed response, for a client that says that it waits for
// clientWait. As long as its client waits, a server that rests is not given up.
func UpstreamRest(clientWait time.Duration) time.Duration {
	return max(UpstreamStall, min(clientWait, MaxClientWait))
}

// UpstreamWriteStall returns how long an upstream may take nothing of an upload, for a client that says that it waits for clientWait.
func UpstreamWriteStall(clientWait time.Duration) time.Duration {
	return max(WriteStall, min(clientWait, MaxClientWait))
}

// UpstreamIdle returns how long a connection may be idle if upstreams close idle connections after keepAlive. It is at least
// half of keepAlive.
func UpstreamIdle(keepAlive time.Duration) time.Duration {
	return max(keepAlive-UpstreamIdleMargin, keepAlive/2)
}

// Limits of a drain.
const (
	// DrainIdleGrace is how long idle connections stay open after a drain has begun. If they were closed earlier, clients
	// would reconnect to this balancer.
	//
	// Platform: health checks come every 0.1 s, and new connections for 0.2 s after a failed one.
	DrainIdleGrace = 500 * time.Millisecond
	// DrainLimit is how long after its beginning a drain should have released the clients. Connections that are still open then are
	// logged.
	//
	// Platform: 4 s after the operators' order no connection is idle, or has a request in progress that is younger than
	// DrainRecentRequest.
	DrainLimit = 4 * time.Second
	// DrainRecentRequest is the age below which a request counts as recent at the limit Drain.
	DrainRecentRequest = 2 * time.Second
)

// Limits of a graceful shutdown, counted from SIGTERM.
const (
	// ShutdownAccept is how long new connections are accepted.
	//
	// Platform: new connections arrive for up to 0.4 s after SIGTERM.
	ShutdownAccept = 450 * time.Millisecond
	// ShutdownFirstByte is how long a connection that has sent nothing stays open once no more connections are accepted.
	ShutdownFirstByte = 50 * time.Millisecond
	// ShutdownLimit is how long client connections may stay open beyond the longest deadline of all classes, and how long a client may
	// move nothing from then on.
	ShutdownLimit = 10 * time.Second
	// ShutdownStreamLimit bounds how long a connection whose client moves bytes stays open: 32 MB at 64 kB a second take less.
	//
	// Platform: a process that ends has to have answered what it took; SIGKILL may end it earlier.
	ShutdownStreamLimit = 10 * time.Minute
	// KillDelay is the time from SIGTERM to SIGKILL beyond the longest deadline of all classes.
	//
	// Platform: a request that arrives later than this after SIGTERM has to be answered before SIGKILL.
	KillDelay = 700 * time.Millisecond
	// KillDeadlineCap is the most that the longest deadline contributes to the time from SIGTERM to SIGKILL.
	KillDeadlineCap = 3 * time.Second
	// LogFlush bounds the wait for pending log lines at the end of the process.
	LogFlush = 500 * time.Millisecond
)

// Limits of operators' calls.
const (
	// EventLoopCallTimeout bounds the wait of a goroutine for a function that it has the event loop run: operators' calls, a change of the
	// fleet's size, and the last snapshot.
	//
	// Platform: operators get a response within 1 s.
	EventLoopCallTimeout = 700 * time.Millisecond
	// OperatorConnection bounds how long an operator's client may take to send its call, and again to read the response and
	// close the connection.
	OperatorConnection = 2 * time.Second
)
