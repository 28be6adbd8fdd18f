// Package balancer makes the decisions of one load balancer in front of a fleet of HTTP servers: which endpoint gets a
// request, whether a request is retried, queued, rejected or failed, and how changes of the endpoint list are applied. It
// does no I/O.
//
// # Contract
//
// One Balancer serves one balancer process, its owner. The owner calls a method of Events for each event, from one
// goroutine at a time. The argument now is a monotonic time with any origin. The Balancer acts by calling its Effects
// during such a call, never outside it. It reads no clock, starts no goroutine and shares no state with other Balancers.
// The same events with the same seed give the same effects.
//
// Events of one request arrive in order: OnRequest first, then one OnAttemptResult for each Send, and at most one
// OnClientDisconnected. A result may follow the request's final answer. Unknown IDs are ignored. Memory use is bounded by
// the number of open requests, attempts and listed endpoints.
//
// Every request gets exactly one final answer: a successful result, Reject or Fail. Reject promises the client that a
// retry is harmless.
//
// # Rules
//
// The files that implement the rules below, with their constants, are listed as `policy` in deploy/balancer.toml. The other
// files have types, bookkeeping and the dispatch of events. Each rule is implemented in one place. Inputs are constants and
// fields, with their unit or kind in parentheses.
//
//	rule | file | function | inputs (units) | reason
//	first or further attempt allowed | request.go | mayAttempt, mayRepeat | request.deadline (time), Limits.MaxAttempts (attempts), Limits.AllowHedging (flag), Class.Idempotency (kind), Class.Scope (kind), Class.IdempotencyWindow (duration) | what may have been executed is repeated only where that is harmless
//	retry after a result | request.go | OnAttemptResult | AttemptResult.Status (kind), request.inFlight (attempts), request.queued (flag) | while a hedged attempt is in flight it may still succeed
//	timeout of an attempt | request.go | startAttempt, attemptTimeout | attempt.endpoint (on trial or not), Class.Idempotency (kind) | a trial that fails must leave time for another attempt
//	final answer without a response | request.go | rejectOrFail, mayReject | attempt.notExecuted (flag), Class.Idempotency (kind), Class.Scope (kind) | a rejection promises that a retry is harmless
//	effect of a result on its endpoint | request.go | observeResult | AttemptResult.Status (kind), AttemptResult.Latency (duration), AttemptResult.Load (load report) | health, limit and utilization follow from the same result
//	tick and first latency | admission.go | setTiming | ticksPerLatencyObjective (ticks), initialLatencyDivisor (divisor), Settings.EventSpacing (duration) | queue and detection keep pace with the shortest latency objective
//	expected work | admission.go | expectedWork | Request.CostHint (duration), minExpectedWorkUnits (mean requests), costHintSmoothingFactor (ratio) | limits and budgets count work, not requests
//	priority | admission.go | newRequest, priority | Class.PriorityWeight (weight), Settings.PriorityByWork (flag), Settings.OverQuotaFactor (ratio) | the highest value per unit of capacity goes first
//	late retry of a client | admission.go | isLateRetry | timeoutToleranceDivisor (divisor), class.longestTimeout (duration), Class.LatePriorityFactor (ratio) | a response after the latency objective has less value
//	latest time to send a queued request | admission.go | newRequest, dispatchQueue | attemptReserveLatencies (mean latencies), Class.LatencyObjective (duration), Request.Timeout (duration) | a response that arrives too late wastes capacity
//	send, queue or answer at once | admission.go | OnRequest, admit, isSaturated | request.attemptBy (time), request.priority (weight) | a request waits only if an endpoint may be free in time
//	Retry-After of a rejection | admission.go | retryAfter | Limits.AllowRetryAfter (flag), Limits.MaxRetryAfter (duration), Balancer.tick (duration) | endpoints are evaluated again after a tick
//	traffic share | picker.go | trafficShare | endpoint.weight (mean endpoints), endpoint.shareFactor (ratio) | capacity, bands, slow start and locality multiply
//	order of turns | picker.go | takeTurn, chooseEndpoint, firstDue, charge | endpoint.nextTurn (virtual time), maxTurnDebtRounds (rounds) | an even interleave in proportion to shares spreads load better than random choice
//	endpoint eligible for a turn | picker.go | isEligible, hasFreeSlot | concurrencyLimiter.current (attempts), concurrencyLimiter.pausedUntil (time), outlierState.unreachableUntil (time) | the limit only guards against overload; below it, traffic shares decide
//	attempt while all are in backoff | picker.go | lastResort | maxBlocked (duration), outlierState.nextTrialAt (time) | without attempts no recovery would be detected
//	utilization of an endpoint | bands.go | recordUtilization | LoadReport.Utilization (ratio), LoadReport.Inflight (requests), LoadReport.Queue (requests), bandWindowReadings (readings), smoothingFactor (ratio) | sites differ in the values that load reports hold
//	band gap | bands.go | integrateBand | bandWidthDeviations (standard deviations), bandPeriod (duration), minExcessUtilization (ratio) | utilization varies more before an endpoint saturates
//	cut and regrowth of shares | bands.go | adjustShares | minAreaThreshold (full utilization x period), areaThresholdRatio (ratio), minCutFactor (ratio), shareRegrowthFactor (ratio), minShareFactor (ratio) | only endpoints that are worse than the median are cut
//	work of warm endpoints | bands.go | updateStats, estimateWorkPerWeight | workStats.mean (mean requests a period), bandWindow.mean (ratio) | budgets of slow start need a reference
//	concurrency limit after a result | limit.go | adjustLimit, adjustLimitByLatency, reduceLimit, isSlow | limitReductionFactor (ratio), rejectionReductionFactor (ratio), saturatedLatencyRatio (ratio), saturatedObjectiveRatio (ratio), baselineSmoothingFactor (ratio), minWorkUnits (mean requests) | latency shows saturation before requests fail
//	growth of a limit | limit.go | hasHeadroom, needsHigherLimit, neededConcurrency | limitGrowthAttempts (attempts), fullUtilizationRatio (ratio) | limits grow only where readings show headroom and requests need it
//	range of a limit | limit.go | minLimit, raiseLimitCeilings | initialFleetLimitAttempts (attempts), minFleetLimitAttempts (attempts) | reports of a higher limit's effect come a period later
//	pause between attempts | limit.go | attemptInterval, pauseAfter | concurrencyLimiter.current (attempts), latencyStats.mean (ns) | a limit under one needs time without an attempt
//	slow-start budget | slowstart.go | slowStartCapacity, fitsSlowStart, chargeSlowStart, slowStartRate | slowStartBudgetRatio (ratio), localitySlowStartBudgetRatio (ratio), Obligations.OverloadMultiple (ratio), Obligations.OverloadWindow (duration), Obligations.SlowStartFrom (ratio) | a warming endpoint fails if its load exceeds its current capacity for too long
//	start and end of slow start | slowstart.go | beginSlowStart, expireSlowStart | Obligations.SlowStartWindow (duration) | measurements from before a restart are no longer valid
//	unresponsive endpoint | outlier.go | responseTimeout, detectUnresponsive, markUnresponsive | timeoutDeviations (mean deviations), trafficMeans.latency (ns), Balancer.tick (duration) | a missing response reveals a fault before the client's timeout
//	hedge or cancel at an unresponsive endpoint | outlier.go | hedgeOrCancelAttempts | Class.Idempotency (kind), Limits.AllowHedging (flag), Limits.AllowCancel (flag) | requests that wait there may still be answered by another endpoint in time
//	trials of an endpoint | outlier.go | recordTrial, allowsTrial | backoffGrowthFactor (ratio), outlierState.nextTrialAt (time) | requests with the safest kind of idempotency risk least
//	backoff after a failed connection | outlier.go | backOff | outlierState.backoff (duration), Obligations.SlowStartWindow (duration) | the endpoint is down, or its connection table is full
//	error rate | outlier.go | observeHealth | errorSmoothingFactor (ratio), AttemptResult.Status (kind) | zone health counts endpoints by their errors
//	subset of endpoints | subset.go | rebuildSubset, subsetSize, chooseSubset | balancersPerEndpoint (balancers), minSubsetEndpoints (endpoints), FleetSize.Balancers (balancers), FleetSize.Rank (index) | too many balancers would exhaust an endpoint's connections
//	local endpoints in the subset | subset.go | orderLocalFirst | Settings.Zone (name) | the endpoints of a zone have about as many balancers each
//	next call to discovery | discovery.go | retryDiscovery, nextBackoff | notificationDelay (duration), Obligations.PollInterval (duration), Obligations.DrainGrace (duration), backoffGrowthFactor (ratio) | a change counts as notified after a delay, whether or not a call succeeds
//	entry of an endpoint list | discovery.go | applyEndpoint | Endpoint.StartedAt (time), Settings.Weights (kind), smoothingFactor (ratio) | a restart makes an endpoint cold again
//	traffic that stays local | locality.go | updateLocality, adjustLocalShares, adjustShare | maxLocalShare (ratio), utilizationMarginFactor (ratio), utilizationNoise (utilization), maxLocalUtilization (utilization), localShareGainRatio (ratio), maxLocalShareStep (share), minLocalitySubsetEndpoints (endpoints) | nearby endpoints respond faster until they are full
//	weight of other zones | locality.go | setLocalityWeights, spareFactor | minLocalityWeight (ratio), maxSpareFactor (ratio), zone.capacity (traffic shares) | spillover goes where there is spare utilization
//	response from another region in time | locality.go | canAnswerInTime | request.deadline (time), latencyStats.mean (ns) | the round trip is part of every response
//	spillover by limits | locality.go | recordMissedTurns | endpoint.nextTurn (virtual time) | limits of local endpoints may grow if only they cause spillover
//	evidence of an endpoint | zonehealth.go | isUnhealthy, isFailing, isOverdue, countEndpoint | unhealthyErrorRate (ratio), failingErrorRate (ratio), overdueDeviations (mean deviations), responsiveWithin (duration) | only a zone's own endpoints are evidence against it
//	correlated failure | zonehealth.go | detectCorrelatedFailure, isMostlySuspect, countFailingAsUnhealthy | minCorrelatedEndpoints (endpoints), responsiveRatio (endpoints) | a failure of several endpoints of a zone together shows sooner than that of each one
//	ejection of a zone | zonehealth.go | updateZoneState, isOutlier, ejectOrDegrade, mayEject, eject | ejectFraction (ratio), minUnhealthyEndpoints (endpoints), zoneOutlierRatio (ratio), minRemainingCapacityRatio (ratio) | the fault must be in the zone, and the other zones must be able to serve its traffic
//	degraded zone | zonehealth.go | unhealthyFraction, isDegraded | degradedFraction (ratio) | half of its endpoints can serve half of its share
//	trials of a zone | zonehealth.go | allowsZoneTrial, beginTrial | trialsToRecover (trials), firstTrialTicks (ticks) | one request at a time risks little
//	recovery of a zone | zonehealth.go | recoverZone, advanceRecovery, endRecovery | recoveryStep (ratio), minStepPeriods (periods), maxStepMultiple (multiple) | the full share at once would overload a zone whose endpoints warm up
//	weight of a snapshot | restore.go | confidence | snapshotLifetime (duration), Snapshot.TakenAt (time) | older values are less likely to be valid
//	restored endpoint | restore.go | restoreEndpoint, restoreSlowStart, restoreBudget | EndpointStats.Unresponsive (flag), EndpointStats.Backoff (duration), EndpointStats.WarmingSince (time) | an endpoint that was ejected must pass a trial first
//	restored zone | restore.go | restoreZone | ZoneStats.Ejected (flag), ZoneStats.RecoveredShare (ratio) | a zone that was ejected must pass its trials first
//
// # States of a zone
//
// A zone is healthy, degraded (half of its endpoints are unhealthy: it gets half of its traffic share), ejected (most of
// its endpoints are unhealthy: it gets trials only) or recovering (its traffic share grows in steps). Operators can drain
// a zone: then it gets no new attempts.
package balancer
