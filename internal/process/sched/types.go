package sched

import (
	"time"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
)

// GrantRequest requests a grant: the right to dispatch one request. The entry
// node that holds the request keeps the body; the GrantRequest has only what
// the scheduling decision needs.
type GrantRequest struct {
	Request ident.RequestID
	// Node is the entry node that dispatches the request.
	Node    ident.NodeID
	Tier    ident.Tier
	Account ident.ClientAccount
	// Weight is the account's share within its tier; 0 counts as 1.
	Weight int
	// Prompt and Output are estimates in tokens.
	Prompt ident.Tokens
	Output ident.Tokens
	// Deadline is when the complete answer is due, on this node's clock.
	Deadline time.Time
	// FirstTokenTarget is the request's own target for the time to first token.
	// If it is 0, the pool's target applies, but only to the endpoints' capacity:
	// the request is ordered by its deadline and has no maximum wait.
	FirstTokenTarget time.Duration
	// FullTarget is the target for the time to first token of a request that has just reached
	// its entry node, of which FirstTokenTarget is what is left. 0 means FirstTokenTarget.
	FullTarget time.Duration
	// Zone is the availability zone of the entry node.
	Zone ident.AvailabilityZone
	// Avoid lists endpoints at which the request has already failed.
	Avoid []ident.Endpoint
	// Stream identifies the stream that the request begins or takes up, "" if its answer
	// is none.
	Stream ident.RequestID
	// Release is the only software release at which the request may run, that which began
	// its stream; nil means any.
	Release *ident.Release
	// Route is the caller's route, "" if nobody counts the answers by it.
	Route string
	// Prefix holds the chained fingerprints of the prompt's blocks.
	Prefix []ident.Fingerprint
	// BlockTokens holds the tokens of each block of Prefix if the blocks differ
	// in size.
	BlockTokens []ident.Tokens
	// Traits holds what other requests may have in common with this one.
	Traits []ident.Trait
	// KnownLimits holds the rate limits that endpoints stated to the entry node, in a
	// request for a standby cell. They apply to endpoints that have stated nothing to the
	// cell yet.
	KnownLimits map[ident.Endpoint]ident.Rate
	// MaxRejections is how many requests per second an endpoint of the pool can reject for
	// want of room without falling over, 0 for any number or if the entry node does not know.
	MaxRejections int
	// MayRedirect allows the outcome Redirected.
	MayRedirect bool
	// HasOtherCells is set if another cell of the pool has an endpoint for the request. It
	// allows the outcome Moved where this cell has none left.
	HasOtherCells bool
	// Wake, unless it is nil, is called once, with the cell's lock held, when a
	// request that had to wait gets its Response. It is not called after Cancel.
	// It must not block or call the cell.
	Wake func()
	// Response is set before Submit returns true or Wake is called.
	Response GrantResponse

	arrived time.Time
	// charge is the capacity that the request uses while it is in flight:
	// Prompt plus Output plus requestCharge, or callCharge for a call to an
	// application runner.
	charge ident.Tokens
	// class and queueAccount select the queue. Under Fair they are the tier and
	// the account.
	class        ident.Tier
	queueAccount ident.ClientAccount
	// sortTime and then arrivalNumber order the requests of an account.
	// sortTime is when the first token is due if FirstTokenTarget is set, and
	// the deadline otherwise; under FirstComeFirstServed it is the time of
	// arrival.
	sortTime      time.Time
	arrivalNumber uint64
	// heldRound is the last round in which the request was held back at the endpoints'
	// limits.
	heldRound uint64
	// gapRound is the last round in which the request was held for an engine at which it pauses no
	// streams, and wasHeldForGap is set once there was one.
	// isHoldOver is set when it is not held any more, whatever the time.
	gapRound                  uint64
	wasHeldForGap, isHoldOver bool
	// pausesStreams is set when the request was granted where its prompt pauses streams.
	pausesStreams bool
	// passedAt is when another request was first granted before this one, for a place in that
	// one's availability zone.
	passedAt time.Time
	// heapIndex is the index in accountQueue.heap.
	heapIndex int
}

// Outcome is the result of a grant request.
type Outcome uint8

// The outcomes of a grant request.
const (
	// Waiting means that there is no response yet.
	Waiting Outcome = iota
	// Granted entitles the entry node to dispatch the request once.
	Granted
	// Shed refuses the request; it was not run.
	Shed
	// Moved tells the entry node to request the grant at the cell's new node or, if the cell
	// has no endpoints left, at another cell.
	Moved
	// Redirected tells the entry node to request the grant from another cell, which
	// has room while this one has none.
	Redirected
)

// Reason is the reason for an outcome, as logs and refusals show it.
type Reason string

// The reasons for grants and refusals.
const (
	ReasonLeastCost    Reason = "least_expected_time"
	ReasonCachedPrefix Reason = "cached_prefix"
	ReasonProbe        Reason = "probe"
	ReasonBaseline     Reason = "baseline_policy"
	// ReasonAboveLimit: the endpoint had as many requests as it handles well, no other one
	// had room, and the request could not wait.
	ReasonAboveLimit Reason = "above_learned_limit"
	// ReasonHeldForGap: the request waited for an endpoint at which its prompt pauses no streams.
	ReasonHeldForGap          Reason = "held_for_gap"
	ReasonOverload            Reason = "overload"
	ReasonTierClosed          Reason = "tier_closed_for_overload"
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonDeadlinePassed      Reason = "deadline_passed"
	ReasonQuarantined         Reason = "quarantined"
	ReasonReleaseGone         Reason = "release_gone"
	ReasonCellMoved           Reason = "cell_moved"
	ReasonIdleCell            Reason = "idle_cell"
)

// GrantResponse is a cell's response to a grant request.
type GrantResponse struct {
	Outcome Outcome
	Reason  Reason
	// Endpoint, Release, Address, Sequence and TTL are set on a grant. The grant can be
	// used for TTL after it arrived and never later.
	Endpoint ident.Endpoint
	Release  ident.Release
	Address  string
	Sequence uint64
	TTL      time.Duration
	// Cached is the number of prompt tokens expected in the endpoint's cache.
	Cached ident.Tokens
	// Considered is the number of endpoints that had capacity.
	Considered int
	// Waited is the time in the queue.
	Waited time.Duration
	// RetryAfter is set on a refusal: the time after which a retry is useful.
	RetryAfter time.Duration
	// Cell is set with Redirected: the cell to request the grant from.
	Cell ident.CellID
}

// Completion describes the completion of a granted request.
type Completion struct {
	// Failed is set when the endpoint could not be reached or its answer was not
	// usable. Package relay also sets it for server errors (5xx), and package
	// proxy for status 421. It raises the endpoint's error rate, and consecutive
	// failures suspend the endpoint.
	Failed bool
	// Unused is set when the request was never sent.
	Unused bool
	// Refused is set when the endpoint reported that it did not run the request,
	// for example because it had no capacity.
	Refused bool
	// Erred is set by package proxy when the endpoint ran the request and
	// answered with a server error. It raises the endpoint's error rate but,
	// unlike Failed, does not count towards a suspension.
	Erred bool
	// Cancelled is set when the caller left or the deadline passed while the
	// endpoint was running the request.
	Cancelled bool
	// NoAnswer is set with Failed, or with Cancelled if the entry node suspects its own path,
	// if the endpoint ended the connection before any part of the answer, as one that
	// crashes does.
	NoAnswer bool
	// IsWhole is set when the endpoint ran the request and gave the whole answer.
	IsWhole bool
	// Statement is that of an answer which was not reported as started, nil if there is
	// none.
	Statement *Statement
	// Leaving is set when the endpoint reported that it is shutting down. It gets
	// no new grants until it has been started again.
	Leaving bool
	// TimeToFirstToken is the time from dispatch to the first token; 0 if there
	// was none.
	TimeToFirstToken time.Duration
	// InterTokenLatency is the mean time between output tokens; 0 if unknown.
	InterTokenLatency time.Duration
	// Uncached is the number of prompt tokens that the endpoint had to compute,
	// Cached the number found in its cache. Both are 0 if unknown.
	Uncached ident.Tokens
	Cached   ident.Tokens
	// Output is the number of generated tokens.
	Output ident.Tokens
}

// CloseCause says why a cell requests to close the lower tiers.
type CloseCause struct {
	// Class is the class that has to wait or shed, and Waiting its number of waiting
	// requests.
	Class   ident.Tier
	Waiting int
	// ExpectedWait is the expected wait of the class by which closures are decided, 0 if
	// unknown.
	ExpectedWait time.Duration
	// HasWaitedLong is set if a request has waited for a large part of its time.
	HasWaitedLong bool
}

// Ended reports the end of a granted request to Cell.Ended.
type Ended struct {
	Pool     ident.PoolID
	Endpoint EndpointSpec
	// GrantedAt is when the request was granted.
	GrantedAt time.Time
	// Traits is that of the grant request.
	Traits []ident.Trait
	// IsAnswered is set if the first token was reported, RanFor before the end, or the endpoint
	// answered with a failure.
	IsAnswered bool
	RanFor     time.Duration
	Completion Completion
}

// Suspended reports to Cell.Suspended that an endpoint was suspended for failures.
type Suspended struct {
	Endpoint EndpointSpec
	// For is the time until the endpoint is probed.
	For time.Duration
	// Failures is the number of consecutive failures, and Nodes the entry nodes at which
	// they occurred.
	Failures int
	Nodes    []ident.NodeID
}

// EndpointSpec describes an endpoint to a cell.
type EndpointSpec struct {
	ID      ident.Endpoint
	Address string
	Kind    ident.EndpointKind
	// Generation names the hardware. Stragglers are detected by comparison
	// within a generation.
	Generation string
	// Release names the software.
	Release ident.Release
	// Leaving is set when the platform is removing the endpoint; it then gets
	// no new grants.
	Leaving bool
	Zone    ident.AvailabilityZone
	// Slots is the number of requests that the endpoint runs concurrently. 0
	// means unknown; then only the window bounds them.
	Slots int
	// StartedUnixMilli is the start time of the endpoint in Unix milliseconds. The
	// prefix cache of a restarted endpoint is empty.
	StartedUnixMilli int64
	// CacheTokens is the size of the prefix cache. 0 means unknown; then the
	// prefix index assumes defaultCacheTokens, and the size bounds no requests.
	CacheTokens ident.Tokens
}

// LoadReport is an endpoint's report of its own load.
type LoadReport struct {
	Endpoint ident.Endpoint
	// Age is the age of the report when it was received.
	Age     time.Duration
	Running int
	Waiting int
	// Draining is set when the endpoint reports that it is shutting down.
	Draining bool
}

// Statement is what an endpoint states of itself in an answer.
type Statement struct {
	// Occupancy is nil if the endpoint does not state it.
	Occupancy *Occupancy
	// RateLimit is how many requests the endpoint takes from all nodes together, 0 for
	// any number.
	RateLimit ident.Rate
}

// Occupancy is an endpoint's count of its requests when it began to answer one.
type Occupancy struct {
	Running, Waiting int
	// Pace is how long work takes on the endpoint's host at that moment, in percent of
	// what is usual; 0 if the endpoint does not state it.
	Pace int
}

// InFlight is one granted request, as an entry node reports it to a cell's new
// node.
type InFlight struct {
	Request  ident.RequestID
	Node     ident.NodeID
	Endpoint ident.Endpoint
	Charge   ident.Tokens
	Started  bool
	// Stream and Release are those of the grant.
	Stream  ident.RequestID
	Release ident.Release
}

// EndpointEstimate is a cell's estimate of an endpoint, passed on to the cell's
// next node.
type EndpointEstimate struct {
	Endpoint ident.Endpoint
	Window   ident.Tokens
	// PrefillRate is in prompt tokens per second.
	PrefillRate       float64
	InterTokenLatency time.Duration
	// Load is what was learned of the endpoint's time as a function of its load.
	Load adapt.Estimate
}
