// Package proxy forwards a caller's request to an endpoint and the endpoint's
// answer to the caller, both unchanged.
//
// Unlike in package entry, the body and the answer are opaque: a request is
// scheduled by its route and by fields of its header. The caller gets a complete
// answer or a visibly truncated one, and only if it belongs to the request. Once
// any part of a request has been sent, it is retried only while its route's
// maximum number of attempts, its deadline and the fleet's retry budget allow it.
// If the endpoint did not report that it did not run the request, the route must
// be retryable as well (config.Route.IsRetryable).
//
// # Usage
//
//	p := &proxy.Proxy{
//		RequestGrant: e.RequestGrant, IsLeaving: manager.IsLeaving,
//		Conns: &conn.Pool{}, Budget: budget, Codec: codec,
//	}
//	result := p.Serve(ctx, request, w)
//	switch {
//	case result.Refusal != nil: // nothing was written yet
//	case result.Truncated: // the connection must be closed
//	}
package proxy

import (
	"context"
	"net/http"
	"time"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/reach"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// maxUnsentAttempts limits the attempts of a request that end before any byte
	// of it is sent.
	maxUnsentAttempts = 4
	// minRetryTime is the least time until the deadline for which a retry is
	// worthwhile.
	minRetryTime = 100 * time.Millisecond
)

// PromptPart is one part of a prompt. Prompts with the same leading parts share a
// prefix.
type PromptPart struct {
	ID     uint64
	Tokens ident.Tokens
}

// RequestInfo is what the header of a caller's request states.
type RequestInfo struct {
	// AttemptID is the caller's identifier of this attempt.
	AttemptID string
	// Timeout is how long the caller waits, 0 if not given.
	Timeout time.Duration
	// APIKey identifies the client account.
	APIKey string
	// PromptTokens is the length of the prompt and MaxOutputTokens the limit of the
	// answer's length, valid if HasTokens is set. LengthHint is the caller's estimate
	// of the answer's length in tokens, 0 if not given.
	PromptTokens, MaxOutputTokens ident.Tokens
	LengthHint                    ident.Tokens
	HasTokens                     bool
	PromptParts                   []PromptPart
	// LastEventID is the identifier of the last event of this answer that the caller
	// has received, 0 for none.
	LastEventID int
	// Resumes is the AttemptID of the attempt that brought the first event of this
	// answer, "" if not given.
	Resumes string
}

// ForwardInfo is what the proxy adds to the header of a forwarded request.
type ForwardInfo struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Endpoint  ident.Endpoint
	// Account is nil on public routes.
	Account *config.Account
	// LastEventID requests the events after the one with this identifier; 0 requests
	// the whole answer.
	LastEventID int
}

// ResponseInfo is what the header of an endpoint's answer states.
type ResponseInfo struct {
	// AttemptID identifies the attempt that the answer belongs to, "" if not given.
	AttemptID string
	// NotRun is set if the endpoint reports that it did not run the request.
	NotRun bool
	// IsSigned is set if the answer has the signature of a run.
	IsSigned bool
	// Occupancy is the endpoint's count of its requests, nil if not given.
	Occupancy *sched.Occupancy
	// IsLeaving is set if the endpoint reports that it is shutting down.
	IsLeaving bool
	// RetryAfter is how long the endpoint wants no requests from this node, valid
	// with status 503; 0 if not given.
	RetryAfter time.Duration
	// RateLimit is how many requests the endpoint takes from all nodes together, 0 if it
	// names no limit.
	RateLimit ident.Rate
	// MaxRejections is how many requests per second the endpoint can reject for want of
	// room without falling over, 0 for any number. It applies to all endpoints of the pool.
	MaxRejections int
}

// HeaderCodec reads and writes the headers of one platform.
type HeaderCodec struct {
	DecodeRequest func(http.Header) (RequestInfo, error)
	// EncodeForward modifies a copy of the caller's header.
	EncodeForward  func(http.Header, ForwardInfo)
	DecodeResponse func(http.Header) ResponseInfo
}

// Request is one request to forward.
type Request struct {
	// ID identifies the request in cells and logs.
	ID     ident.RequestID
	Method string
	// Target is the path and query as received.
	Target string
	Host   string
	Header http.Header
	// Body is nil if the request has none.
	Body []byte
	// BodyDropped is called when the Proxy has set Body to nil, since only the caller is
	// still to read its answer; it may be nil.
	BodyDropped func()
	Info        RequestInfo
	Arrived     time.Time
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
	Route    *config.Route
	Pool     *config.Pool
	// Account is nil on public routes.
	Account *config.Account
	Tier    *config.Tier
	Version ident.Version
	// IsDetour is set if this node serves the request for another one, which has sent it to
	// EarlierAttempts endpoints before and has charged it to the retry budget.
	IsDetour        bool
	EarlierAttempts int
	// Dispatching is called before the request is sent to an endpoint, with the number of its
	// attempts, this one included; it may be nil.
	Dispatching func(attempts int)
	// Release is the release that began the stream which the request takes up, nil if it
	// is not known.
	Release *ident.Release
}

// Result describes how a request ended.
type Result struct {
	// Refusal is set if no part of an answer was written.
	Refusal *refuse.Refusal
	// Truncated is set if an answer was written only in part; the connection must be
	// closed.
	Truncated bool
	// CutAfter is the identifier of the last event of a stream that was cut because the node that
	// served it stops, 0 if it was not or the events have none.
	CutAfter int
	// Pool is the one in which the request was served, set with CutAfter.
	Pool ident.PoolID
	// Status is the HTTP status of the answer, 0 without one.
	Status int
	// Attempts counts the attempts that sent any part of the request, and Interrupted
	// those of them whose answers broke off or never began.
	Attempts, Interrupted int
	// Events counts the events of a stream that were sent to the caller, or buffered for it
	// before it left.
	Events int
	// Endpoint is the endpoint of the last grant that was used, whether or not it
	// answered.
	Endpoint ident.Endpoint
	// Releases lists, for a stream, the software releases of the endpoints whose events
	// were sent to the caller, one for each attempt that brought any.
	Releases []ident.Release
	// TimeToFirstAnswer is the time from arrival to the first event of a stream or to
	// the complete answer. It is 0 for 5xx answers and for answers that are not
	// streams and are longer than maxBufferedBytes.
	TimeToFirstAnswer time.Duration
	// LongestGap is the longest time between two events of a stream from one endpoint.
	LongestGap time.Duration
	// Peer is the node through which the request was served, "" for this one.
	Peer ident.NodeID
	// EndCheck is what the dial showed that tells a whole answer without a length from one that was
	// broken off, "" if there was none.
	EndCheck string
	// Reason says why the last attempt or grant request failed, "" if it did not.
	Reason string
}

// Proxy forwards requests. Set the exported fields before use; it is safe for
// concurrent use.
type Proxy struct {
	RequestGrant func(context.Context, *entry.Job) (*entry.Grant, *refuse.Refusal)
	IsLeaving    func(ident.CellID, ident.Endpoint) bool
	// HasRelease reports whether an endpoint has a release as far as this node knows; it may be
	// nil. Streams use an endpoint only if this node and the cell's node agree on its release,
	// since it may have started again under its name with another one, which is known to only
	// one of them yet.
	HasRelease func(ident.PoolID, ident.Endpoint, ident.Release) bool
	Conns      *conn.Pool
	Budget     *budget.Budget
	Codec      HeaderCodec
	// MarkLeaving is called when an endpoint reports that it is shutting down; it
	// may be nil.
	MarkLeaving func(ident.Endpoint)
	// LimitChanged is called when an endpoint names another limit than in its last answer
	// to this node, with 0 when it names none any more; it may be nil.
	LimitChanged func(ident.Endpoint, ident.Rate)
	// AnswerUnused is called when an endpoint has failed to give an answer that can be used, with the
	// reason as text of bounded length; it may be nil.
	AnswerUnused func(ident.RequestID, ident.Endpoint, reply.Fault, string)
	// Quarantined returns the first of a request's traits that is quarantined, and
	// until when; nil means that none is.
	Quarantined func([]ident.Trait) (trait ident.Trait, until time.Time, ok bool)
	// FindOrigin returns the origin of the stream of a route that a job takes up; it returns
	// false if that cannot be told.
	FindOrigin func(context.Context, *entry.Job, *config.Route) (origin.Origin, bool)
	// FindFormerPool returns a pool to which a route led until recently, or nil; it may be nil.
	FindFormerPool func(route string, id ident.PoolID) *config.Pool
	// Started is called when an endpoint has begun a stream, or gone on with one; it may be
	// nil.
	Started func(stream ident.RequestID, o origin.Origin)
	// Reach tells whether this node has a path to the endpoints, and Detour has other nodes
	// serve a request; it returns false if they have done nothing for it. Unsent ends earlier
	// than ctx if a request that no endpoint has got is to be given up. Nil means that
	// requests are never served through other nodes.
	Reach  *reach.Monitor
	Detour func(ctx, unsent context.Context, r *Request, w http.ResponseWriter) (Result, bool)
	// IsAlone reports whether no node is ready, for the callers that this one refuses because it
	// stops. Nil means that others are.
	IsAlone func() bool
	// Record is called for each dispatch and each retry; it may be nil.
	Record func(trace.Record)

	stop     stopState
	lengths  lengthEstimator
	holdOffs holdOffs
	limits   endpointLimits
	fragile  fragilePools
}

// requestState is a request with the state of its attempts.
type requestState struct {
	*Request
	w   http.ResponseWriter
	job *entry.Job
	// parent is the caller's context, without the deadline.
	parent context.Context
	// attempts counts the attempts that sent any part of the request, and
	// unsentAttempts those that ended before that.
	attempts       int
	unsentAttempts int
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// hasNoDetour is set once no other node would serve the request.
	hasNoDetour bool
	stream      streamState
	// failureAnswer is an endpoint's answer with a failure status, which the
	// caller gets if no retry succeeds.
	failureAnswer *bufferedAnswer
	result        Result
}

// Serve forwards a request and writes the answer to w. It returns when the caller has taken
// what its connection buffers of the answer.
func (p *Proxy) Serve(ctx context.Context, r *Request, w http.ResponseWriter) Result {
	defer p.stop.begin()()
	caller := memory.FromContext(ctx)
	caller.Begin(ctx, memory.Owner{Request: r.ID, Tier: r.Tier.Rank})
	result := p.serve(ctx, r, w)
	if caller.HasBuffered() && result.Interrupted == 0 && r.BodyDropped != nil {
		// An interrupted request is logged with the fingerprint of its body.
		r.Body = nil
		r.BodyDropped()
	}
	return deliver(caller, w, result)
}

func (p *Proxy) serve(ctx context.Context, r *Request, w http.ResponseWriter) (result Result) {
	s := &requestState{Request: r, w: w, parent: ctx, job: p.newJob(r), attempts: r.EarlierAttempts}
	s.stream.resumeFrom(r)
	if p.stop.refusesNew(r.Deadline) {
		return p.finishWithoutGrant(ctx, s, p.newStopRefusal())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelDeadline := context.WithDeadline(ctx, r.Deadline)
	defer cancelDeadline()
	unsent, release := p.stop.bind(ctx, r.Deadline, cancel)
	defer release()
	defer func() { p.stop.countCut(ctx, result) }()
	if !r.IsDetour {
		p.Budget.RecordRequest(r.Pool.ID, time.Now())
	}
	if refusal := p.bindRelease(ctx, s); refusal != nil {
		return p.finishWithoutGrant(ctx, s, refusal)
	}
	for {
		if refusal := p.quarantineRefusal(s); refusal != nil {
			return p.finishWithoutGrant(ctx, s, refusal)
		}
		if p.takesDetour(s) {
			result, ok := p.detour(ctx, unsent, s)
			if ok && p.takeUpCut(ctx, s, result) {
				continue
			}
			if ok {
				return result
			}
		}
		grant, refusal := p.requestGrant(ctx, unsent, s)
		if refusal != nil {
			return p.finishWithoutGrant(ctx, s, refusal)
		}
		if refusal := p.quarantineRefusal(s); refusal != nil {
			grant.Complete(sched.Completion{Unused: true})
			return p.finishWithoutGrant(ctx, s, refusal)
		}
		out := p.attempt(ctx, s, grant)
		grant.Complete(out.completion)
		if out.result == interrupted {
			s.result.Interrupted++
		}
		if out.result == answered || !p.canRetry(ctx, s, out) {
			return p.finish(ctx, s, out)
		}
		s.job.Avoid = append(s.job.Avoid, grant.Response.Endpoint)
		p.record(s, trace.Record{Event: trace.Retried, Endpoint: grant.Response.Endpoint, Reason: out.reason})
	}
}

// quarantineRefusal returns the refusal of a request with a quarantined trait, or nil.
func (p *Proxy) quarantineRefusal(s *requestState) *refuse.Refusal {
	if p.Quarantined == nil {
		return nil
	}
	trait, until, ok := p.Quarantined(s.job.Traits)
	if !ok {
		return nil
	}
	return refuse.NewQuarantined(trait, until)
}

func (p *Proxy) newJob(r *Request) *entry.Job {
	account := r.Account
	if account == nil {
		account = &config.Account{Weight: 1}
	}
	prefix, partTokens := fingerprints(r.Info.PromptParts)
	return &entry.Job{
		BlockTokens: partTokens, Traits: append(partTraits(r.Info.PromptParts), r.Fingerprint()),
		Request: &intake.Request{
			ID: r.ID, Kind: r.Pool.Kind, Arrived: r.Arrived, Deadline: r.Deadline,
			PromptTokens: r.Info.PromptTokens, OutputTokens: p.lengths.estimate(r), Prefix: prefix,
		},
		Account: account, Pool: r.Pool, Tier: r.Tier, Version: r.Version, Route: r.Route.Name,
		FirstTokenTarget: r.Route.FirstAnswerTarget, Avoid: p.holdOffs.endpoints(time.Now()), Stream: r.stream(),
		MaxRejections: p.fragile.maxRejections(r.Pool.ID, time.Now()),
	}
}

func (p *Proxy) record(s *requestState, r trace.Record) {
	if p.Record == nil {
		return
	}
	r.Time, r.Request, r.Pool, r.Settings = time.Now(), s.ID, s.Pool.ID, s.Version
	r.Account = s.job.Account.ID
	p.Record(r)
}
