package wire

// Names of the simulator protocol. Each constant is named after the term that the rest of the program uses.

// Messages from the simulator.
const (
	messageBatch              = "frame"
	messageBatchEnd           = "eob"
	messageList               = "sheet" // a numbered endpoint list
	messageListEntry          = "m"
	messageAttach             = "attach"
	messageExit               = "exit"
	messageEndpointUpdate     = "endpoints"
	messageRequest            = "inbound"
	messageStreamStarted      = "established"
	messageAttemptResult      = "verdict"
	messageClientDisconnected = "lapsed"
	messageTimer              = "elapsed"
	messageHealthCheckResult  = "health"
	messageInbox              = "inbox" // a message from another instance
)

// Messages to the simulator.
const (
	messageSend           = "submit_to"
	messageReject         = "bounce"
	messageFail           = "report_failure"
	messageCancel         = "withdraw"
	messageHealthCheck    = "ping"
	messageCloseIdle      = "disconnect"
	messageWatchEndpoints = "keep_informed"
	messageFetchEndpoints = "query_all"
	messageSetTimer       = "timer"
	messageLog            = "write_log"
	messageCrash          = "crash"
	messageDone           = "ok"
)

// Fields of messages. Names that end in _us hold points in time or durations in microseconds.
const (
	fieldTime           = "at_time_us"
	fieldSerial         = "serial"
	fieldInstance       = "balancer_id"
	fieldSeed           = "random_seed"
	fieldSettings       = "params"
	fieldUpdateMode     = "mode"
	fieldListNumber     = "bank"
	fieldListLength     = "items"
	fieldCell           = "block"
	fieldZone           = "region_part"
	fieldWeight         = "nominal"
	fieldStartedAt      = "came_up_us"
	fieldEndpointState  = "availability"
	fieldRequestID      = "id"
	fieldRequestTimeout = "budget_us"
	fieldClass          = "class"
	fieldTenant         = "org"
	fieldKey            = "key"
	fieldRetry          = "retry"
	fieldCostHint       = "cost_guess_us"
	fieldEndpoint       = "upstream"
	fieldAttempt        = "go"
	fieldLatency        = "cost_time_us"
	fieldStatus         = "disposition"
	fieldRequestClosed  = "over"
	fieldLoadReport     = "metrics"
	fieldTimerToken     = "ctx"
	fieldSender         = "author"
	fieldAttemptTimeout = "patience_us"
	fieldRetryAfter     = "hold_off_us"
	fieldWatching       = "active"
	fieldTimerDelay     = "from_now_us"
	fieldText           = "note_text"
)
