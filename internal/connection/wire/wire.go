// Package wire defines the messages between nodes and maps them by hand to
// and from the types that the rest of the program uses.
//
// Messages are CBOR maps with small integer keys, so that fields can be added
// without breaking nodes of the release before. Times travel as durations,
// since the clocks of two nodes differ; the receiver adds its own now.
//
// # Usage
//
//	s.Send(wire.KindGrantRequest, wire.FromGrantRequest(request, time.Now()))
//	...
//	request := message.ToGrantRequest(time.Now())
package wire

import (
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
)

// The kinds of message. The first message of a stream selects its handler;
// what follows is listed with it.
const (
	// KindGrantRequest opens a bid's stream: then KindGrantResponse back, and KindStarted,
	// KindProgress about once a second, and KindCompleted forth.
	KindGrantRequest link.Kind = iota + 1
	KindGrantResponse
	KindStarted
	KindProgress
	KindCompleted
	// KindCompletedLate is a call that reports an ending outside its bid's stream.
	KindCompletedLate
	// KindInFlight is a call for what a node holds of a cell.
	KindInFlight
	// KindCloseTiers is a call to close tiers.
	KindCloseTiers
	// KindProbe, KindIndirectProbe and KindSync are the calls of membership.
	KindProbe
	KindIndirectProbe
	KindSync
	// KindClaim, KindSettle and KindRelease are calls to the home of a key.
	KindClaim
	KindSettle
	KindRelease
	// KindJoin opens a stream of KindHead, KindChunk and KindRefusal.
	KindJoin
	KindHead
	KindChunk
	KindRefusal
	// KindExplain is a call for what a node remembers of a request.
	KindExplain
	// KindShareRequest is a call to the home of an account for a share of its limits.
	KindShareRequest
	// KindTree is a call for the files of a node's settings, KindVersionNotice tells of
	// a new version, KindVersion is a call for the version in force.
	KindTree
	KindVersionNotice
	KindVersion
	// KindLedgerReplica is a call to keep a block of the ledger.
	KindLedgerReplica
	// KindDone is an answer without content.
	KindDone
	// KindAcquire is a call to the home of an account to take a request from its
	// limits.
	KindAcquire
	// KindQueued says that a bid waits in its cell, again and again.
	KindQueued
)

// Done is an answer without content.
type Done struct{}

// LedgerReplica is a block of the ledger in its encoded form.
type LedgerReplica struct {
	Block   []byte `cbor:"1,keyasint"`
	Written uint64 `cbor:"2,keyasint"`
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
	Remaining        int64    `cbor:"8,keyasint"` // nanoseconds until the deadline
	Prefix           []uint64 `cbor:"9,keyasint,omitempty"`
	Pool             string   `cbor:"10,keyasint"`
	Cell             int      `cbor:"11,keyasint"`
	Settings         uint64   `cbor:"12,keyasint"`
	Clock            uint64   `cbor:"13,keyasint,omitempty"`
	FirstTokenTarget int64    `cbor:"14,keyasint,omitempty"` // nanoseconds to the first token
	Zone             string   `cbor:"15,keyasint,omitempty"`
	Avoid            []string `cbor:"16,keyasint,omitempty"`
	// Standby asks a node that does not run the cell to stand in.
	Standby bool    `cbor:"17,keyasint,omitempty"`
	Parts   []int64 `cbor:"18,keyasint,omitempty"` // tokens of each of Prefix
}

// FromGrantRequest maps a bid for a cell.
func FromGrantRequest(b *sched.GrantRequest, cell ident.CellID, version ident.Version, now time.Time) GrantRequest {
	return GrantRequest{
		Request: string(b.Request), Node: string(b.Node), Tier: uint8(b.Tier),
		Account: string(b.Account), Weight: b.Weight, Prompt: int64(b.Prompt),
		Output: int64(b.Output), Remaining: int64(b.Deadline.Sub(now)), Prefix: convert[uint64](b.Prefix),
		Pool: string(cell.Pool), Cell: cell.Index, Settings: uint64(version),
		FirstTokenTarget: int64(b.FirstTokenTarget), Zone: string(b.Zone), Avoid: rename[string](b.Avoid),
		Parts: convert[int64](b.PartTokens),
	}
}

// convert maps the elements of a list; an empty list becomes nil.
func convert[To, From ~int64 | ~uint64](from []From) []To {
	if len(from) == 0 {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = To(v)
	}
	return to
}

// rename maps a list of names.
func rename[To, From ~string](from []From) []To {
	if len(from) == 0 {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = To(v)
	}
	return to
}

// ToGrantRequest maps a received bid. A tier out of range becomes the lowest.
func (m GrantRequest) ToGrantRequest(now time.Time) *sched.GrantRequest {
	return &sched.GrantRequest{
		Request: ident.RequestID(m.Request), Node: ident.NodeID(m.Node),
		Tier: ident.Tier(min(m.Tier, ident.MaxTiers-1)), Account: ident.ClientAccount(m.Account),
		Weight: m.Weight, Prompt: max(ident.Tokens(m.Prompt), 0), Output: max(ident.Tokens(m.Output), 0),
		Deadline: now.Add(time.Duration(m.Remaining)), Prefix: convert[ident.Fingerprint](m.Prefix),
		FirstTokenTarget: time.Duration(m.FirstTokenTarget), Zone: ident.AvailabilityZone(m.Zone), Avoid: rename[ident.Endpoint](m.Avoid),
		PartTokens: convert[ident.Tokens](m.Parts),
	}
}

// CellID returns the cell that a bid is for.
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
}

// FromGrantResponse maps a cell's answer.
func FromGrantResponse(a sched.GrantResponse) GrantResponse {
	return GrantResponse{
		Outcome: uint8(a.Outcome), Reason: string(a.Reason), Endpoint: string(a.Endpoint),
		Address: a.Address, Sequence: a.Sequence, TTL: int64(a.TTL), Cached: int64(a.Cached),
		Considered: a.Considered, Waited: int64(a.Waited), RetryAfter: int64(a.RetryAfter),
	}
}

// ToGrantResponse maps a received answer.
func (m GrantResponse) ToGrantResponse() sched.GrantResponse {
	return sched.GrantResponse{
		Outcome: sched.Outcome(m.Outcome), Reason: sched.Reason(m.Reason),
		Endpoint: ident.Endpoint(m.Endpoint), Address: m.Address, Sequence: m.Sequence,
		TTL: time.Duration(m.TTL), Cached: ident.Tokens(m.Cached), Considered: m.Considered,
		Waited: time.Duration(m.Waited), RetryAfter: time.Duration(m.RetryAfter),
	}
}

// Started says that a request left its prefill phase, and how many requests its
// endpoint had; Known is false where it does not say.
type Started struct {
	Known   bool `cbor:"1,keyasint,omitempty"`
	Running int  `cbor:"2,keyasint,omitempty"`
	Waiting int  `cbor:"3,keyasint,omitempty"`
}

// FromOccupancy maps an endpoint's count, nil where it is not known.
func FromOccupancy(o *sched.Occupancy) Started {
	if o == nil {
		return Started{}
	}
	return Started{true, o.Running, o.Waiting}
}

// Progress tells the mean time between tokens of late, in nanoseconds.
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
}

// FromCompletion maps how a request went.
func FromCompletion(e sched.Completion) Completion {
	return Completion{
		Failed: e.Failed, Unused: e.Unused, TimeToFirstToken: int64(e.TimeToFirstToken), InterTokenLatency: int64(e.InterTokenLatency),
		Uncached: int64(e.Uncached), Cached: int64(e.Cached), Output: int64(e.Output),
		Refused: e.Refused, Erred: e.Erred, Cancelled: e.Cancelled,
	}
}

// ToCompletion maps a received ending.
func (m Completion) ToCompletion() sched.Completion {
	return sched.Completion{
		Failed: m.Failed, Unused: m.Unused, TimeToFirstToken: time.Duration(m.TimeToFirstToken),
		InterTokenLatency: time.Duration(m.InterTokenLatency), Uncached: ident.Tokens(m.Uncached),
		Cached: ident.Tokens(m.Cached), Output: ident.Tokens(m.Output),
		Refused: m.Refused, Erred: m.Erred, Cancelled: m.Cancelled,
	}
}

// InFlightCall asks what a node holds of a cell.
type InFlightCall struct {
	Pool string `cbor:"1,keyasint"`
	Cell int    `cbor:"2,keyasint"`
}

// InFlightReply lists the granted requests of a cell that a node holds, what it
// knows of the endpoints if it had the cell, and the floors it wishes.
type InFlightReply struct {
	InFlight  []InFlight         `cbor:"1,keyasint,omitempty"`
	Estimates []EndpointEstimate `cbor:"2,keyasint,omitempty"`
	Levels    []CloseTiers       `cbor:"3,keyasint,omitempty"`
}

// InFlight is sched.InFlight on the wire.
type InFlight struct {
	Request  string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
	Charge   int64  `cbor:"3,keyasint"`
	Started  bool   `cbor:"4,keyasint,omitempty"`
}

// FromInFlight maps a held request.
func FromInFlight(h sched.InFlight) InFlight {
	return InFlight{string(h.Request), string(h.Endpoint), int64(h.Charge), h.Started}
}

// ToInFlight maps a held request of a node.
func (m InFlight) ToInFlight(node ident.NodeID) sched.InFlight {
	return sched.InFlight{
		Request: ident.RequestID(m.Request), Node: node, Endpoint: ident.Endpoint(m.Endpoint),
		Charge: ident.Tokens(m.Charge), Started: m.Started,
	}
}

// EndpointEstimate is sched.EndpointEstimate on the wire.
type EndpointEstimate struct {
	Endpoint          string  `cbor:"1,keyasint"`
	Window            int64   `cbor:"2,keyasint"`
	PrefillRate       float64 `cbor:"3,keyasint"`
	InterTokenLatency int64   `cbor:"4,keyasint"`
}

// FromEndpointEstimate maps what a cell learned.
func FromEndpointEstimate(l sched.EndpointEstimate) EndpointEstimate {
	return EndpointEstimate{string(l.Endpoint), int64(l.Window), l.PrefillRate, int64(l.InterTokenLatency)}
}

// ToEndpointEstimate maps what another cell learned.
func (m EndpointEstimate) ToEndpointEstimate() sched.EndpointEstimate {
	return sched.EndpointEstimate{
		Endpoint: ident.Endpoint(m.Endpoint), Window: ident.Tokens(m.Window),
		PrefillRate: m.PrefillRate, InterTokenLatency: time.Duration(m.InterTokenLatency),
	}
}

// CloseTiers asks a node to close the tiers below a floor.
type CloseTiers struct {
	Node  string `cbor:"1,keyasint"`
	Pool  string `cbor:"2,keyasint"`
	Level uint8  `cbor:"3,keyasint"`
}

// FromCloseRequest maps a floor question.
func FromCloseRequest(node ident.NodeID, a admit.CloseRequest) CloseTiers {
	return CloseTiers{string(node), string(a.Pool), uint8(a.Level)}
}

// ToCloseRequest maps a received floor question.
func (m CloseTiers) ToCloseRequest() admit.CloseRequest {
	return admit.CloseRequest{Pool: ident.PoolID(m.Pool), Level: ident.Tier(m.Level)}
}

// Gossip carries membership updates.
type Gossip struct {
	Members []Member `cbor:"1,keyasint,omitempty"`
	// Settings is the version in force at the sender, From its peer address.
	Settings uint64 `cbor:"2,keyasint,omitempty"`
	From     string `cbor:"3,keyasint,omitempty"`
	// Read is how long ago the sender last read the store, in nanoseconds; 0 is
	// not said.
	Read int64 `cbor:"4,keyasint,omitempty"`
}

// IndirectProbe asks a node to probe another.
type IndirectProbe struct {
	Target Member `cbor:"1,keyasint"`
}

// Reached answers IndirectProbe.
type Reached struct {
	Reached bool `cbor:"1,keyasint"`
}

// Member is member.Member on the wire.
type Member struct {
	ID          string `cbor:"1,keyasint"`
	Region      string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Peer        string `cbor:"4,keyasint"`
	Caller      string `cbor:"5,keyasint"`
	State       uint8  `cbor:"6,keyasint"`
	Suspect     bool   `cbor:"7,keyasint,omitempty"`
	Incarnation uint64 `cbor:"8,keyasint"`
	Settings    uint64 `cbor:"9,keyasint,omitempty"`
}

// FromMember maps a member.
func FromMember(m member.Member) Member {
	return Member{
		string(m.ID), string(m.Region), string(m.Zone), m.PeerAddress, m.CallerAddress,
		uint8(m.State), m.Suspect, m.Incarnation, uint64(m.Settings),
	}
}

// ToMember maps a received member.
func (m Member) ToMember() member.Member {
	return member.Member{
		ID: ident.NodeID(m.ID), Region: ident.Region(m.Region), Zone: ident.AvailabilityZone(m.Zone),
		PeerAddress: m.Peer, CallerAddress: m.Caller, State: min(member.State(m.State), member.Dead),
		Suspect: m.Suspect, Incarnation: m.Incarnation, Settings: ident.Version(m.Settings),
	}
}

// FromMembers maps a list of members.
func FromMembers(all []member.Member) Gossip {
	g := Gossip{Members: make([]Member, len(all))}
	for i, m := range all {
		g.Members[i] = FromMember(m)
	}
	return g
}

// ToMembers maps a received list of members.
func (g Gossip) ToMembers() []member.Member {
	all := make([]member.Member, len(g.Members))
	for i, m := range g.Members {
		all[i] = m.ToMember()
	}
	return all
}
