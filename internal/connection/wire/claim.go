package wire

import (
	"net/http"
	"time"

	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/refuse"
)

// Claim is claims.Claim on the wire.
type Claim struct {
	Account    string `cbor:"1,keyasint"`
	Key        string `cbor:"2,keyasint"`
	Request    string `cbor:"3,keyasint"`
	Node       string `cbor:"4,keyasint"`
	Token      string `cbor:"5,keyasint"`
	Digest     uint64 `cbor:"6,keyasint"`
	Created    int64  `cbor:"7,keyasint,omitempty"` // Unix milliseconds; 0 if unknown
	Idempotent bool   `cbor:"8,keyasint,omitempty"`
	Remaining  int64  `cbor:"9,keyasint"` // until the deadline
}

// FromClaim converts a claim; remaining is the time until the request's deadline.
func FromClaim(c claims.Claim, remaining time.Duration) Claim {
	m := Claim{
		Account: string(c.Key.Account), Key: c.Key.Key, Request: string(c.Request),
		Node: string(c.Node), Token: c.Token, Digest: c.Digest, Idempotent: c.Idempotent,
		Remaining: int64(remaining),
	}
	if !c.Created.IsZero() {
		m.Created = c.Created.UnixMilli()
	}
	return m
}

// ToClaim converts a received claim, without the time until the deadline.
func (m Claim) ToClaim() claims.Claim {
	c := claims.Claim{
		Key:     claims.Key{Account: ident.ClientAccount(m.Account), Key: m.Key},
		Request: ident.RequestID(m.Request), Node: ident.NodeID(m.Node), Token: m.Token,
		Digest: m.Digest, Idempotent: m.Idempotent,
	}
	if m.Created > 0 {
		c.Created = time.UnixMilli(m.Created)
	}
	return c
}

// ClaimResult is claims.Result on the wire.
type ClaimResult struct {
	Outcome uint8   `cbor:"1,keyasint"`
	Request string  `cbor:"2,keyasint,omitempty"`
	Node    string  `cbor:"3,keyasint,omitempty"`
	Stored  *Stored `cbor:"4,keyasint,omitempty"`
}

// Stored is claims.Stored on the wire.
type Stored struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// FromStored converts a stored answer; nil stays nil.
func FromStored(s *claims.Stored) *Stored {
	if s == nil {
		return nil
	}
	return &Stored{s.Status, s.ContentType, s.Body}
}

// ToStored converts a received stored answer; nil stays nil.
func (m *Stored) ToStored() *claims.Stored {
	if m == nil {
		return nil
	}
	return &claims.Stored{Status: m.Status, ContentType: m.ContentType, Body: m.Body}
}

// FromClaimResult converts the result of a claim.
func FromClaimResult(r claims.Result) ClaimResult {
	return ClaimResult{uint8(r.Outcome), string(r.Request), string(r.Node), FromStored(r.Stored)}
}

// ToClaimResult converts a received result.
func (m ClaimResult) ToClaimResult() claims.Result {
	return claims.Result{
		Outcome: claims.Outcome(m.Outcome), Request: ident.RequestID(m.Request),
		Node: ident.NodeID(m.Node), Stored: m.Stored.ToStored(),
	}
}

// ClaimEnd ends a claim. It is sent with KindSettle if the request ran and with
// KindRelease if it did not.
type ClaimEnd struct {
	Account string  `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	Token   string  `cbor:"3,keyasint"`
	Stored  *Stored `cbor:"4,keyasint,omitempty"`
}

// NewClaimEnd returns the message that ends the claim of a key. Stored is the answer
// to keep, nil if there is none.
func NewClaimEnd(k claims.Key, token string, stored *claims.Stored) ClaimEnd {
	return ClaimEnd{string(k.Account), k.Key, token, FromStored(stored)}
}

// ClaimKey returns the idempotency key of the claim.
func (m ClaimEnd) ClaimKey() claims.Key {
	return claims.Key{Account: ident.ClientAccount(m.Account), Key: m.Key}
}

// Join requests the answer from the node that runs a request, starting at chunk
// number FirstChunk.
type Join struct {
	Request    string `cbor:"1,keyasint"`
	Account    string `cbor:"2,keyasint"`
	FirstChunk int    `cbor:"3,keyasint"`
}

// Head is answer.Head on the wire.
type Head struct {
	Status   int                 `cbor:"1,keyasint"`
	Header   map[string][]string `cbor:"2,keyasint,omitempty"`
	Endpoint string              `cbor:"3,keyasint"`
	Request  string              `cbor:"4,keyasint"`
}

// FromHead converts the head of an answer.
func FromHead(h answer.Head) Head {
	return Head{h.Status, h.Header, string(h.Endpoint), string(h.Request)}
}

// ToHead converts a received head.
func (m Head) ToHead() answer.Head {
	return answer.Head{
		Status: m.Status, Header: http.Header(m.Header),
		Endpoint: ident.Endpoint(m.Endpoint), Request: ident.RequestID(m.Request),
	}
}

// Chunk is answer.Chunk on the wire.
type Chunk struct {
	Number           int    `cbor:"1,keyasint"`
	Data             []byte `cbor:"2,keyasint,omitempty"`
	Last             bool   `cbor:"3,keyasint,omitempty"`
	FinishReason     string `cbor:"4,keyasint,omitempty"`
	PromptTokens     int64  `cbor:"5,keyasint,omitempty"`
	CachedTokens     int64  `cbor:"6,keyasint,omitempty"`
	OutputTokens     int64  `cbor:"7,keyasint,omitempty"`
	CumulativeTokens int    `cbor:"8,keyasint,omitempty"`
}

// FromChunk converts a chunk of an answer.
func FromChunk(c answer.Chunk) Chunk {
	return Chunk{
		c.Index, c.Data, c.Last, c.FinishReason,
		int64(c.Usage.PromptTokens), int64(c.Usage.CachedTokens), int64(c.Usage.OutputTokens), c.CumulativeTokens,
	}
}

// ToChunk converts a received chunk.
func (m Chunk) ToChunk() answer.Chunk {
	return answer.Chunk{
		Index: m.Number, Data: m.Data, Last: m.Last, FinishReason: m.FinishReason, CumulativeTokens: m.CumulativeTokens,
		Usage: answer.Usage{PromptTokens: ident.Tokens(m.PromptTokens), CachedTokens: ident.Tokens(m.CachedTokens), OutputTokens: ident.Tokens(m.OutputTokens)},
	}
}

// Refusal is refuse.Refusal on the wire.
type Refusal struct {
	Reason     string `cbor:"1,keyasint"`
	Message    string `cbor:"2,keyasint"`
	Run        string `cbor:"3,keyasint"`
	Tier       string `cbor:"4,keyasint,omitempty"`
	RetryAfter int64  `cbor:"5,keyasint,omitempty"`
}

// FromRefusal converts a refusal.
func FromRefusal(r *refuse.Refusal) Refusal {
	return Refusal{string(r.Reason), r.Message, string(r.RunState), r.Tier, int64(r.RetryAfter)}
}

// ToRefusal converts a received refusal.
func (m Refusal) ToRefusal() *refuse.Refusal {
	return &refuse.Refusal{
		Reason: refuse.Reason(m.Reason), Message: m.Message, RunState: refuse.RunState(m.Run),
		Tier: m.Tier, RetryAfter: time.Duration(m.RetryAfter),
	}
}

// Explain queries a node's trace records of a request.
type Explain struct {
	Request string `cbor:"1,keyasint"`
}

// Records holds a node's trace records of a request.
type Records struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
}

// Record is trace.Record on the wire.
type Record struct {
	Time            int64  `cbor:"1,keyasint"` // Unix nanoseconds
	Node            string `cbor:"2,keyasint"`
	Request         string `cbor:"3,keyasint"`
	Event           string `cbor:"4,keyasint"`
	Account         string `cbor:"5,keyasint,omitempty"`
	Tier            string `cbor:"6,keyasint,omitempty"`
	Pool            string `cbor:"7,keyasint,omitempty"`
	Cell            string `cbor:"8,keyasint,omitempty"`
	Endpoint        string `cbor:"9,keyasint,omitempty"`
	Reason          string `cbor:"10,keyasint,omitempty"`
	Considered      string `cbor:"11,keyasint,omitempty"`
	Waiting         int    `cbor:"12,keyasint,omitempty"`
	Cached          int64  `cbor:"13,keyasint,omitempty"`
	Sequence        uint64 `cbor:"14,keyasint,omitempty"`
	Waited          int64  `cbor:"15,keyasint,omitempty"`
	SettingsVersion uint64 `cbor:"16,keyasint,omitempty"`
}

// FromRecords converts trace records.
func FromRecords(records []trace.Record) Records {
	m := Records{Records: make([]Record, len(records))}
	for i, r := range records {
		m.Records[i] = Record{
			r.Time.UnixNano(), string(r.Node), string(r.Request), string(r.Event), string(r.Account),
			r.Tier, string(r.Pool), r.Cell, string(r.Endpoint), r.Reason, r.Considered, r.Waiting,
			int64(r.Cached), r.Sequence, int64(r.Waited), uint64(r.Settings),
		}
	}
	return m
}

// ToRecords converts received trace records.
func (m Records) ToRecords() []trace.Record {
	records := make([]trace.Record, len(m.Records))
	for i, r := range m.Records {
		records[i] = trace.Record{
			Time: time.Unix(0, r.Time), Node: ident.NodeID(r.Node), Request: ident.RequestID(r.Request),
			Event: trace.Event(r.Event), Account: ident.ClientAccount(r.Account), Tier: r.Tier,
			Pool: ident.PoolID(r.Pool), Cell: r.Cell, Endpoint: ident.Endpoint(r.Endpoint),
			Reason: r.Reason, Considered: r.Considered, Waiting: r.Waiting,
			Cached: ident.Tokens(r.Cached), Sequence: r.Sequence, Waited: time.Duration(r.Waited),
			Settings: ident.Version(r.SettingsVersion),
		}
	}
	return records
}

// Acquire requests that the coordinator of an account charge a request to its
// limits, after refunding what was charged for requests that did not run.
type Acquire struct {
	Account        string `cbor:"1,keyasint"`
	Tokens         int64  `cbor:"2,keyasint"`
	RefundRequests int64  `cbor:"3,keyasint,omitempty"`
	RefundTokens   int64  `cbor:"4,keyasint,omitempty"`
	// RefundOnly is set if nothing is to be charged.
	RefundOnly   bool `cbor:"5,keyasint,omitempty"`
	IsResumption bool `cbor:"6,keyasint,omitempty"`
}

// FromAcquireRequest converts a request to the coordinator of an account.
func FromAcquireRequest(account ident.ClientAccount, r quota.AcquireRequest) Acquire {
	return Acquire{
		Account: string(account), Tokens: int64(r.Tokens),
		RefundRequests: int64(r.Refund.Requests), RefundTokens: int64(r.Refund.Tokens), RefundOnly: r.RefundOnly,
		IsResumption: r.IsResumption,
	}
}

// ToAcquireRequest converts a received request. Negative amounts become 0.
func (m Acquire) ToAcquireRequest() quota.AcquireRequest {
	return quota.AcquireRequest{
		Tokens:     max(ident.Tokens(m.Tokens), 0),
		Refund:     quota.Refund{Requests: max(int(m.RefundRequests), 0), Tokens: max(ident.Tokens(m.RefundTokens), 0)},
		RefundOnly: m.RefundOnly, IsResumption: m.IsResumption,
	}
}

// Acquired is the reply to Acquire. Known is false if the receiver does not know
// the account or is not its coordinator.
type Acquired struct {
	Known      bool   `cbor:"1,keyasint,omitempty"`
	Result     string `cbor:"2,keyasint,omitempty"`
	RetryAfter int64  `cbor:"3,keyasint,omitempty"`
}

// ShareRequest requests shares of the limits of some accounts from their
// coordinator. Demand is the requester's demand by account, as a fraction of the
// account's limits.
type ShareRequest struct {
	Node   string             `cbor:"1,keyasint"`
	Demand map[string]float64 `cbor:"2,keyasint"`
}

// Shares is the reply to ShareRequest: the share of each account's limits that the
// requester may use, as a fraction.
type Shares struct {
	Shares map[string]float64 `cbor:"1,keyasint"`
}
