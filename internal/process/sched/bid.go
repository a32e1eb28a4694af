package sched

import (
	"time"

	"goldcrestwick/internal/request/ident"
)

// GrantRequest asks a cell for the right to dispatch one request. The entry node that
// holds the request keeps the body; the bid has only what decides.
type GrantRequest struct {
	Request ident.RequestID
	// Node is the entry node that will dispatch.
	Node    ident.NodeID
	Tier    ident.Tier
	Account ident.ClientAccount
	// Weight is the account's share within its tier; 0 counts as 1.
	Weight int
	// Prompt and Output are estimates in tokens.
	Prompt ident.Tokens
	Output ident.Tokens
	// Deadline is when the whole answer is due, on this node's clock.
	Deadline time.Time
	// FirstTokenTarget is the request's own target for its first token; 0 takes the
	// pool's.
	FirstTokenTarget time.Duration
	// Zone is where the entry node is.
	Zone ident.AvailabilityZone
	// Avoid lists endpoints that this request has already failed at.
	Avoid []ident.Endpoint
	// Prefix holds the chained fingerprints of the prompt's blocks, PartTokens
	// their tokens where they are not of one size.
	Prefix     []ident.Fingerprint
	PartTokens []ident.Tokens
	// Wake is called once, with the cell's lock held, when a bid that had to
	// wait gets its Response. It must not block or call the cell.
	Wake func()
	// Response is set before Submit returns true or Wake is called.
	Response GrantResponse

	arrived time.Time
	charge  ident.Tokens
	// lane and sharer place the bid in a queue, order and then number rank it
	// there.
	lane     ident.Tier
	sharer   ident.ClientAccount
	order    time.Time
	number   uint64
	position int
}

// Outcome says how a bid ended.
type Outcome uint8

// The outcomes of a bid.
const (
	// Waiting means that the bid has no answer yet.
	Waiting Outcome = iota
	// Granted gives the entry node the right to dispatch once.
	Granted
	// Shed refuses the request; it was not run.
	Shed
	// Moved asks the entry node to bid at the cell's new node.
	Moved
)

// Reason says why a bid ended as it did, in the form that logs and refusals
// show.
type Reason string

// The reasons for grants and refusals.
const (
	ReasonLeastCost           Reason = "least_expected_time"
	ReasonCachedPrefix        Reason = "cached_prefix"
	ReasonProbe               Reason = "probe"
	ReasonBaseline            Reason = "baseline_policy"
	ReasonOverload            Reason = "overload"
	ReasonTierClosed          Reason = "tier_closed_for_overload"
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	ReasonDeadlinePassed      Reason = "deadline_passed"
	ReasonCellMoved           Reason = "cell_moved"
)

// GrantResponse is a cell's word on a bid.
type GrantResponse struct {
	Outcome Outcome
	Reason  Reason
	// Endpoint, Address, Sequence and TTL are set on a grant. The grant can
	// be used for TTL after it arrived and never later.
	Endpoint ident.Endpoint
	Address  string
	Sequence uint64
	TTL      time.Duration
	// Cached is the number of prompt tokens expected in the endpoint's cache.
	Cached ident.Tokens
	// Considered is the number of endpoints that had room.
	Considered int
	// Waited is the time in the queue.
	Waited time.Duration
	// RetryAfter is set on a refusal: when a retry is worth while.
	RetryAfter time.Duration
}

// Completion tells a cell how a granted request went.
type Completion struct {
	// Failed is set when the endpoint refused the connection, broke it or
	// answered with a server error.
	Failed bool
	// Unused is set when the request was never sent.
	Unused bool
	// Refused is set when the endpoint had no room for the request.
	Refused bool
	// Erred is set when the endpoint ran the request and answered with a
	// failure of its own.
	Erred bool
	// Cancelled is set when the caller left or the deadline passed while the
	// endpoint was at work.
	Cancelled bool
	// TimeToFirstToken is the time from dispatch to the first token; 0 if none came.
	TimeToFirstToken time.Duration
	// InterTokenLatency is the mean time between output tokens; 0 if unknown.
	InterTokenLatency time.Duration
	// Uncached is the number of prompt tokens that the endpoint had to
	// process, and Cached those it had in its cache.
	Uncached ident.Tokens
	Cached   ident.Tokens
	// Output is the number of tokens generated.
	Output ident.Tokens
}

// EndpointSpec describes an endpoint to a cell.
type EndpointSpec struct {
	ID      ident.Endpoint
	Address string
	Kind    ident.Kind
	// Generation names the hardware; stragglers are told by comparison within
	// a generation.
	Generation string
	Leaving    bool
	Zone       ident.AvailabilityZone
	// Slots is the number of requests that the endpoint runs at once; 0 is not
	// known, and then the window alone bounds them.
	Slots int
	// Started is the Unix millisecond of the endpoint's start. A new start
	// holds nothing of before.
	Started int64
	// CacheTokens is the size of the prefix cache; 0 takes a default.
	CacheTokens ident.Tokens
}

// LoadReport is what an endpoint said of itself, some time ago.
type LoadReport struct {
	Endpoint ident.Endpoint
	// Age is the time since the report was true.
	Age     time.Duration
	Running int
	Waiting int
	// Draining is the endpoint's own word that it is leaving.
	Draining bool
}

// Occupancy is an endpoint's count of its requests, as it was when it began an
// answer.
type Occupancy struct {
	Running, Waiting int
}

// InFlight is one granted request as an entry node announces it to a cell's new
// node.
type InFlight struct {
	Request  ident.RequestID
	Node     ident.NodeID
	Endpoint ident.Endpoint
	Charge   ident.Tokens
	Started  bool
}

// EndpointEstimate is what a cell knows of an endpoint, for its next node.
type EndpointEstimate struct {
	Endpoint          ident.Endpoint
	Window            ident.Tokens
	PrefillRate       float64
	InterTokenLatency time.Duration
}
