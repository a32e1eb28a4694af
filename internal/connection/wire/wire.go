// Package wire defines the messages between nodes and converts them to and from
// the types that the rest of the program uses.
//
// Messages are CBOR maps with small integer keys, so that fields can be added
// without breaking nodes of the previous release. Deadlines are sent as the time
// remaining, since the clocks of two nodes differ; the receiver adds its own
// current time. Durations are in nanoseconds unless a field says otherwise.
//
// # Usage
//
//	s.Send(wire.KindGrantRequest, wire.FromGrantRequest(request, cell, version, time.Now()))
//	...
//	request := message.ToGrantRequest(time.Now())
package wire

import (
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// The kinds of message. The first message of a stream selects its handler;
// the messages that follow it are listed with it.
const (
	// KindGrantRequest opens the stream of a grant request. The receiver replies
	// with KindGrantResponse; the requester then sends KindStarted, KindProgress
	// about once a second, and KindCompleted.
	KindGrantRequest link.Kind = iota + 1
	KindGrantResponse
	KindStarted
	KindProgress
	KindCompleted
	// KindCompletedLate is a call that reports a completion after the stream of
	// its grant request has broken.
	KindCompletedLate
	// KindInFlight is a call for the requests of a cell that a node has in flight.
	KindInFlight
	// KindCloseTiers is a call to close tiers.
	KindCloseTiers
	// KindProbe, KindIndirectProbe and KindSync are the calls of the membership
	// protocol.
	KindProbe
	KindIndirectProbe
	KindSync
	// KindClaim, KindSettle and KindRelease are calls to the coordinator of an
	// idempotency key.
	KindClaim
	KindSettle
	KindRelease
	// KindJoin opens a stream on which KindHead, KindChunk and KindRefusal are
	// returned.
	KindJoin
	KindHead
	KindChunk
	KindRefusal
	// KindExplain is a call for a node's trace records of a request.
	KindExplain
	// KindShareRequest is a call to the coordinator of some accounts for shares of
	// their limits.
	KindShareRequest
	// KindTree is a call for the files of a node's settings, KindVersionNotice
	// announces a new version, and KindVersion is a call for the version in force.
	KindTree
	KindVersionNotice
	KindVersion
	// KindLedgerReplica is a call to store a replica of a ledger block.
	KindLedgerReplica
	// KindAck is a reply without content.
	KindAck
	// KindAcquire is a call to the coordinator of an account to charge a single request
	// to its limits, while KindShareRequest asks for a share of the limits.
	KindAcquire
	// KindQueued is sent repeatedly while a grant request waits in its cell or another node
	// serves a request, as a heartbeat.
	KindQueued
	// KindFollow opens a stream on which a node that reads the store returns
	// KindChanges.
	KindFollow
	KindChanges
	// KindIdleSlots is a call that reports the free slots of a cell.
	KindIdleSlots
	// KindCrashes is a call that reports crashed endpoints and the traits of requests that
	// may be to blame, and KindCompletedTraits a call for when requests with such traits
	// last completed.
	KindCrashes
	KindCompletedTraits
	// KindOrigins is a call that reports the software releases which began streams, and
	// KindOriginQuery a call for that of one stream.
	KindOrigins
	KindOriginQuery
	// KindDetour opens a stream on which another node serves a request; see Detour.
	KindDetour
	KindDetourBody
	KindDetourHead
	KindDetourData
	KindDetourEnd
	// KindEstimates is a call that passes a cell's estimates to a standby node.
	KindEstimates
	// KindReleases is a call that reports the releases which the rows of pools list, and
	// KindReleaseQuery a call for those that a node knows.
	KindReleases
	KindReleaseQuery
	// KindCrashQuery is a call for the evidence of crashes that a node has.
	KindCrashQuery
	// KindHandover is a call that hands the levels of accounts' buckets to their next
	// coordinator.
	KindHandover
)

// Empty is a message without content.
type Empty struct{}

// LedgerReplica is an encoded block of the ledger. WrittenThrough is the sequence
// number up to which the sender has written its ledger to the object store.
type LedgerReplica struct {
	Block          []byte `cbor:"1,keyasint"`
	WrittenThrough uint64 `cbor:"2,keyasint"`
}

// GrantRequest is sched.GrantRequest on the wire.
type GrantRequest struct {
	Request          string   `cbor:"1,keyasint"`
	Node             string   `cbor:"2,keyasint"`
	Tier             uint8    `cbor:"3,keyasint"`
	Account          string   `cbor:"4,keyasint"`
	Weight           int      `cbor:"5,keyasint"`
	Prompt           int64    `cbor:"6,keyasint"`
	Output           int64    `cbor:"7,keyasint"`
	Remaining        int64    `cbor:"8,keyasint"` // until the deadline
	Prefix           []uint64 `cbor:"9,keyasint,omitempty"`
	Pool             string   `cbor:"10,keyasint"`
	Cell             int      `cbor:"11,keyasint"`
	SettingsVersion  uint64   `cbor:"12,keyasint"`
	Clock            uint64   `cbor:"13,keyasint,omitempty"`
	FirstTokenTarget int64    `cbor:"14,keyasint,omitempty"`
	FullTarget       int64    `cbor:"26,keyasint,omitempty"`
	Zone             string   `cbor:"15,keyasint,omitempty"`
	Avoid            []string `cbor:"16,keyasint,omitempty"`
	// Standby requests that a node that does not own the cell serve it as a standby.
	Standby     bool    `cbor:"17,keyasint,omitempty"`
	BlockTokens []int64 `cbor:"18,keyasint,omitempty"` // tokens of each block of Prefix
	// MayRedirect allows the response sched.Redirected.
	MayRedirect bool `cbor:"19,keyasint,omitempty"`
	// HasOtherCells allows the response sched.Moved where the cell has no endpoints left.
	HasOtherCells bool     `cbor:"25,keyasint,omitempty"`
	Traits        []uint64 `cbor:"20,keyasint,omitempty"`
	// KnownLimits holds requests per second by endpoint.
	KnownLimits map[string]float64 `cbor:"21,keyasint,omitempty"`
	Stream      string             `cbor:"22,keyasint,omitempty"`
	// Release is nil if any will do.
	Release       *string `cbor:"23,keyasint,omitempty"`
	MaxRejections int     `cbor:"24,keyasint,omitempty"`
	// Route is set where rollouts are conducted.
	Route string `cbor:"35,keyasint,omitempty"`
}

// FromGrantRequest converts a grant request for a cell.
func FromGrantRequest(r *sched.GrantRequest, cell ident.CellID, version ident.Version, now time.Time) GrantRequest {
	return GrantRequest{
		Request: string(r.Request), Node: string(r.Node), Tier: uint8(r.Tier),
		Account: string(r.Account), Weight: r.Weight, Prompt: int64(r.Prompt),
		Output: int64(r.Output), Remaining: int64(r.Deadline.Sub(now)), Prefix: convertInts[uint64](r.Prefix),
		Pool: string(cell.Pool), Cell: cell.Index, SettingsVersion: uint64(version),
		FirstTokenTarget: int64(r.FirstTokenTarget), FullTarget: int64(r.FullTarget), Zone: string(r.Zone), Avoid: convertNames[string](r.Avoid),
		BlockTokens: convertInts[int64](r.BlockTokens), MayRedirect: r.MayRedirect, HasOtherCells: r.HasOtherCells,
		Traits: convertInts[uint64](r.Traits), KnownLimits: FromLimits(r.KnownLimits),
		Stream: string(r.Stream), Release: convertName[string](r.Release), MaxRejections: r.MaxRejections, Route: r.Route,
	}
}

// convertInts converts the elements of a slice; an empty slice becomes nil.
func convertInts[To, From ~int64 | ~uint64](from []From) []To {
	if len(from) == 0 {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = To(v)
	}
	return to
}

// convertNames converts a slice of names; an empty slice becomes nil.
func convertNames[To, From ~string](from []From) []To {
	if len(from) == 0 {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = To(v)
	}
	return to
}

// convertName converts an optional name.
func convertName[To, From ~string](from *From) *To {
	if from == nil {
		return nil
	}
	to := To(*from)
	return &to
}

// ToGrantRequest converts a received grant request. A tier out of range becomes
// the lowest one, and negative token counts become 0.
func (m GrantRequest) ToGrantRequest(now time.Time) *sched.GrantRequest {
	return &sched.GrantRequest{
		Request: ident.RequestID(m.Request), Node: ident.NodeID(m.Node),
		Tier: ident.Tier(min(m.Tier, ident.MaxTiers-1)), Account: ident.ClientAccount(m.Account),
		Weight: m.Weight, Prompt: max(ident.Tokens(m.Prompt), 0), Output: max(ident.Tokens(m.Output), 0),
		Deadline: now.Add(time.Duration(m.Remaining)), Prefix: convertInts[ident.Fingerprint](m.Prefix),
		FirstTokenTarget: time.Duration(m.FirstTokenTarget), FullTarget: time.Duration(m.FullTarget), Zone: ident.AvailabilityZone(m.Zone), Avoid: convertNames[ident.Endpoint](m.Avoid),
		BlockTokens: convertInts[ident.Tokens](m.BlockTokens), MayRedirect: m.MayRedirect, HasOtherCells: m.HasOtherCells,
		Traits: convertInts[ident.Trait](m.Traits), KnownLimits: ToLimits(m.KnownLimits),
		Stream: ident.RequestID(m.Stream), Release: convertName[ident.Release](m.Release), MaxRejections: max(m.MaxRejections, 0), Route: m.Route,
	}
}

// CellID returns the cell that a grant request is for.
func (m GrantRequest) CellID() ident.CellID {
	return ident.CellID{Pool: ident.PoolID(m.Pool), Index: m.Cell}
}

// GrantResponse is sched.GrantResponse on the wire.
type GrantResponse struct {
	Outcome    uint8  `cbor:"1,keyasint"`
	Reason     string `cbor:"2,keyasint"`
	Endpoint   string `cbor:"3,keyasint,omitempty"`
	Address    string `cbor:"4,keyasint,omitempty"`
	Sequence   uint64 `cbor:"5,keyasint,omitempty"`
	TTL        int64  `cbor:"6,keyasint,omitempty"`
	Cached     int64  `cbor:"7,keyasint,omitempty"`
	Considered int    `cbor:"8,keyasint,omitempty"`
	Waited     int64  `cbor:"9,keyasint,omitempty"`
	RetryAfter int64  `cbor:"10,keyasint,omitempty"`
	Clock      uint64 `cbor:"11,keyasint,omitempty"`
	Pool       string `cbor:"12,keyasint,omitempty"` // with Cell, the cell to which it redirects
	Cell       int    `cbor:"13,keyasint,omitempty"`
	Release    string `cbor:"14,keyasint,omitempty"`
	IsWhole    bool   `cbor:"15,keyasint,omitempty"` // the pool is one cell at the node, and the request was for another
}

// FromGrantResponse converts a grant response.
func FromGrantResponse(r sched.GrantResponse) GrantResponse {
	return GrantResponse{
		Outcome: uint8(r.Outcome), Reason: string(r.Reason), Endpoint: string(r.Endpoint),
		Address: r.Address, Sequence: r.Sequence, TTL: int64(r.TTL), Cached: int64(r.Cached),
		Considered: r.Considered, Waited: int64(r.Waited), RetryAfter: int64(r.RetryAfter),
		Pool: string(r.Cell.Pool), Cell: r.Cell.Index, Release: string(r.Release),
	}
}

// ToGrantResponse converts a received grant response.
func (m GrantResponse) ToGrantResponse() sched.GrantResponse {
	return sched.GrantResponse{
		Outcome: sched.Outcome(m.Outcome), Reason: sched.Reason(m.Reason),
		Endpoint: ident.Endpoint(m.Endpoint), Release: ident.Release(m.Release), Address: m.Address, Sequence: m.Sequence,
		TTL: time.Duration(m.TTL), Cached: ident.Tokens(m.Cached), Considered: m.Considered,
		Waited: time.Duration(m.Waited), RetryAfter: time.Duration(m.RetryAfter),
		Cell: ident.CellID{Pool: ident.PoolID(m.Pool), Index: m.Cell},
	}
}

// IdleSlots reports how many slots of a cell are free.
type IdleSlots struct {
	Pool string `cbor:"1,keyasint"`
	Cell int    `cbor:"2,keyasint"`
	Free int    `cbor:"3,keyasint"`
}

// Progress reports the mean of the recent inter-token latencies.
type Progress struct {
	InterTokenLatency int64 `cbor:"1,keyasint"`
}

// Completion is sched.Completion on the wire.
type Completion struct {
	Failed            bool   `cbor:"1,keyasint,omitempty"`
	Unused            bool   `cbor:"2,keyasint,omitempty"`
	TimeToFirstToken  int64  `cbor:"3,keyasint,omitempty"`
	InterTokenLatency int64  `cbor:"4,keyasint,omitempty"`
	Uncached          int64  `cbor:"5,keyasint,omitempty"`
	Cached            int64  `cbor:"6,keyasint,omitempty"`
	Output            int64  `cbor:"7,keyasint,omitempty"`
	Request           string `cbor:"8,keyasint,omitempty"`
	Pool              string `cbor:"9,keyasint,omitempty"`
	Cell              int    `cbor:"10,keyasint,omitempty"`
	Refused           bool   `cbor:"11,keyasint,omitempty"`
	Erred             bool   `cbor:"12,keyasint,omitempty"`
	Cancelled         bool   `cbor:"13,keyasint,omitempty"`
	Leaving           bool   `cbor:"14,keyasint,omitempty"`
	NoAnswer          bool   `cbor:"15,keyasint,omitempty"`
	IsWhole           bool   `cbor:"17,keyasint,omitempty"`
	// Statement is nil if there is none.
	Statement *Started `cbor:"16,keyasint,omitempty"`
}

// FromCompletion converts a completion. It leaves Request, Pool and Cell empty, which
// are set only in a message with KindCompletedLate.
func FromCompletion(c sched.Completion) Completion {
	m := Completion{
		Failed: c.Failed, Unused: c.Unused, TimeToFirstToken: int64(c.TimeToFirstToken), InterTokenLatency: int64(c.InterTokenLatency),
		Uncached: int64(c.Uncached), Cached: int64(c.Cached), Output: int64(c.Output),
		Refused: c.Refused, Erred: c.Erred, Cancelled: c.Cancelled, Leaving: c.Leaving, NoAnswer: c.NoAnswer, IsWhole: c.IsWhole,
	}
	if c.Statement != nil {
		statement := FromStatement(c.Statement)
		m.Statement = &statement
	}
	return m
}

// ToCompletion converts a received completion.
func (m Completion) ToCompletion() sched.Completion {
	c := sched.Completion{
		Failed: m.Failed, Unused: m.Unused, TimeToFirstToken: time.Duration(m.TimeToFirstToken),
		InterTokenLatency: time.Duration(m.InterTokenLatency), Uncached: ident.Tokens(m.Uncached),
		Cached: ident.Tokens(m.Cached), Output: ident.Tokens(m.Output),
		Refused: m.Refused, Erred: m.Erred, Cancelled: m.Cancelled, Leaving: m.Leaving, NoAnswer: m.NoAnswer, IsWhole: m.IsWhole,
	}
	if m.Statement != nil {
		statement := m.Statement.ToStatement()
		c.Statement = &statement
	}
	return c
}

// InFlightQuery queries the requests of a cell that a node has in flight.
type InFlightQuery struct {
	Pool string `cbor:"1,keyasint"`
	Cell int    `cbor:"2,keyasint"`
	// IsWhole is set if the pool is one cell at the sender. The cell does not tell, since the
	// sender may have handed it over before the pool was divided.
	IsWhole bool `cbor:"3,keyasint,omitempty"`
	// FormOnly asks for IsWhole of the reply and nothing else.
	FormOnly bool `cbor:"4,keyasint,omitempty"`
}

// InFlightReply lists the granted requests of a cell that a node has in flight,
// the node's endpoint estimates if it has the cell, and the admission levels that
// it currently requests for the pool.
type InFlightReply struct {
	InFlight  []InFlight         `cbor:"1,keyasint,omitempty"`
	Estimates []EndpointEstimate `cbor:"2,keyasint,omitempty"`
	Levels    []CloseTiers       `cbor:"3,keyasint,omitempty"`
	// Limits holds the rate limits that endpoints of any pool stated to the node.
	Limits map[string]float64 `cbor:"4,keyasint,omitempty"`
	// IsWhole is set if the pool is one cell at the node and not at the sender of the query.
	IsWhole bool `cbor:"5,keyasint,omitempty"`
}

// InFlight is sched.InFlight on the wire.
type InFlight struct {
	Request  string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
	Charge   int64  `cbor:"3,keyasint"`
	Started  bool   `cbor:"4,keyasint,omitempty"`
	Stream   string `cbor:"5,keyasint,omitempty"`
	Release  string `cbor:"6,keyasint,omitempty"`
}

// FromInFlight converts a request in flight.
func FromInFlight(r sched.InFlight) InFlight {
	return InFlight{string(r.Request), string(r.Endpoint), int64(r.Charge), r.Started, string(r.Stream), string(r.Release)}
}

// ToInFlight converts a request that node has in flight.
func (m InFlight) ToInFlight(node ident.NodeID) sched.InFlight {
	return sched.InFlight{
		Request: ident.RequestID(m.Request), Node: node, Endpoint: ident.Endpoint(m.Endpoint),
		Charge: ident.Tokens(m.Charge), Started: m.Started,
		Stream: ident.RequestID(m.Stream), Release: ident.Release(m.Release),
	}
}

// CloseTiers requests that a node close the tiers below an admission level. Node is
// the sender. One with the lowest level opens the tiers that the sender closed in earlier
// epochs. Nodes of the previous release send neither Run nor Epoch, and ignore them.
type CloseTiers struct {
	Node  string `cbor:"1,keyasint"`
	Pool  string `cbor:"2,keyasint"`
	Level uint8  `cbor:"3,keyasint"`
	Run   uint64 `cbor:"4,keyasint,omitempty"`
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
}

// FromCloseRequest converts a close request of node.
func FromCloseRequest(node ident.NodeID, r admit.CloseRequest) CloseTiers {
	return CloseTiers{string(node), string(r.Pool), uint8(r.Level), r.Run, r.Epoch}
}

// ToCloseRequest converts a received close request.
func (m CloseTiers) ToCloseRequest() admit.CloseRequest {
	return admit.CloseRequest{Pool: ident.PoolID(m.Pool), Level: ident.Tier(m.Level), Run: m.Run, Epoch: m.Epoch}
}
