// Package proxy carries a caller's request to an endpoint as it came, and the
// endpoint's answer back as it is.
//
// Unlike package entry's own requests, the body and the answer are opaque: what
// decides is the route, and labels that the caller put into the header. An
// answer reaches the caller whole or visibly cut, and only if it belongs to the
// request. A request is sent again only where its route allows it and the
// attempts, the deadline and the fleet's budget for repeats leave room; one
// that is not idempotent only when its endpoint said that it did not run it.
//
// # Usage
//
//	p := &proxy.Proxy{RequestGrant: entry.RequestGrant, Conns: &conn.Pool{}, Budget: budget, Codec: codec}
//	result := p.Serve(ctx, request, w)
//	switch {
//	case result.Refusal != nil: // nothing was written yet
//	case result.Cut: // the connection must be closed
//	}
package proxy

import (
	"context"
	"net/http"
	"time"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// unsentTries bounds the endpoints tried while nothing was sent.
	unsentTries = 4
	// minLeft is the least time that a repeat is worth trying for.
	minLeft = 100 * time.Millisecond
)

// Part is one part of a prompt, in order. Prompts share their leading parts.
type Part struct {
	ID     uint64
	Tokens ident.Tokens
}

// RequestInfo are what a caller says of a request in its header.
type RequestInfo struct {
	// ID is the caller's own identifier of this attempt.
	ID string
	// Timeout is how long the caller waits; 0 is not said.
	Timeout time.Duration
	// Key is the API key.
	Key string
	// Prompt counts the prompt's tokens and Output the most that the answer may
	// have; HasTokens is false without them. Hint is the caller's guess of the
	// answer's length, 0 without one.
	Prompt, Output ident.Tokens
	Hint           ident.Tokens
	HasTokens      bool
	Parts          []Part
	// After is the last event that the caller has of this answer, 0 for none.
	After int
}

// ForwardInfo is what a request says to its endpoint beyond what the caller said.
type ForwardInfo struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Endpoint  ident.Endpoint
	Account   *config.Account
	// After asks to go on after an event; 0 asks for the whole answer.
	After int
}

// ResponseInfo is what an endpoint's answer says in its header.
type ResponseInfo struct {
	// ID is the attempt that the answer belongs to; "" is not said.
	ID string
	// NotRun is the endpoint's word that it did not run the request.
	NotRun bool
	// IsSigned is set on answers of a run.
	IsSigned bool
	// Occupancy is the endpoint's count of its requests; nil is not said.
	Occupancy *sched.Occupancy
}

// HeaderCodec maps headers between the product and one platform.
type HeaderCodec struct {
	DecodeRequest func(http.Header) (RequestInfo, error)
	// EncodeForward changes a copy of the caller's header.
	EncodeForward  func(http.Header, ForwardInfo)
	DecodeResponse func(http.Header) ResponseInfo
}

// Request is one request on its way.
type Request struct {
	// ID identifies the request in cells and logs.
	ID     ident.RequestID
	Method string
	// Target is the path and query as they came.
	Target string
	Host   string
	Header http.Header
	// Body is nil where the request has none.
	Body    []byte
	Info    RequestInfo
	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's.
	Deadline time.Time
	Route    *config.Route
	Pool     *config.Pool
	// Account is nil on public routes.
	Account *config.Account
	Tier    *config.Tier
	Version ident.Version
}

// Result says how a request ended.
type Result struct {
	// Refusal is set when nothing of an answer was written.
	Refusal *refuse.Refusal
	// Cut is set when a part of an answer was written and the rest will not
	// come: the connection must be closed.
	Cut bool
	// Status is that of the answer, 0 without one.
	Status   int
	Attempts int
	Endpoint ident.Endpoint
	// FirstAnswer is the time to the first event or to the whole answer.
	FirstAnswer time.Duration
	Reason      string
}

// Proxy passes requests on. Set the exported fields before use; it is safe for
// concurrent use.
type Proxy struct {
	RequestGrant func(context.Context, *entry.Job) (*entry.Grant, *refuse.Refusal)
	IsLeaving    func(ident.CellID, ident.Endpoint) bool
	Conns        *conn.Pool
	Budget       *budget.Budget
	Codec        HeaderCodec
	// Record gets each step; nil is allowed.
	Record func(trace.Record)

	lengths lengths
}

// try is a request with what its attempts have brought so far.
type try struct {
	*Request
	w   http.ResponseWriter
	job *entry.Job
	// parent is the caller's context, without the deadline.
	parent context.Context
	// attempts counts the endpoints that the request was sent to.
	attempts int
	unsent   int
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	stream     stream
	// kept is an endpoint's failure that the caller gets if no repeat does
	// better.
	kept   *whole
	result Result
}

// Serve passes a request on and writes the answer.
func (p *Proxy) Serve(ctx context.Context, r *Request, w http.ResponseWriter) Result {
	t := &try{Request: r, w: w, parent: ctx, job: p.jobOf(r)}
	t.stream.start(r)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	p.Budget.RecordRequest(r.Pool.ID, time.Now())
	for {
		grant, refusal := p.RequestGrant(ctx, t.job)
		if refusal != nil {
			return p.giveUp(ctx, t, refusal)
		}
		out := p.attempt(ctx, t, grant)
		grant.Complete(out.ending)
		if out.verdict == done || !p.canRetry(ctx, t, out) {
			return p.finish(ctx, t, out)
		}
		t.job.Avoid = append(t.job.Avoid, grant.Response.Endpoint)
		p.note(t, trace.Record{Event: trace.Retried, Endpoint: grant.Response.Endpoint, Reason: out.reason})
	}
}

func (p *Proxy) jobOf(r *Request) *entry.Job {
	account := r.Account
	if account == nil {
		account = &config.Account{Weight: 1}
	}
	prints, sizes := fingerprints(r.Info.Parts)
	return &entry.Job{
		PartTokens: sizes,
		Request: &intake.Request{
			ID: r.ID, Kind: r.Pool.Kind, Arrived: r.Arrived, Deadline: r.Deadline,
			Prompt: r.Info.Prompt, Output: p.lengths.expect(r), Prefix: prints,
		},
		Account: account, Pool: r.Pool, Tier: r.Tier, Version: r.Version,
		FirstTokenTarget: r.Route.FirstAnswer,
	}
}

// verdict is how one attempt ended.
type verdict uint8

const (
	// done: the caller has the answer, or a part of it that cannot go on.
	done verdict = iota
	// unsent: nothing left this process.
	unsent
	// refused: the endpoint said that it did not run the request.
	refused
	// failed: the endpoint's own answer is a failure of its run.
	failed
	// broken: the request may have run and there is no whole answer.
	broken
)

type outcome struct {
	verdict verdict
	reason  string
	ending  sched.Completion
}

// canRetry decides whether the request is sent once more.
func (p *Proxy) canRetry(ctx context.Context, t *try, out outcome) bool {
	if ctx.Err() != nil || time.Until(t.Deadline) < minLeft {
		return false
	}
	switch out.verdict {
	case unsent:
		t.unsent++
		return t.unsent < unsentTries
	case refused:
	case failed, broken:
		if !t.Route.IsRetryable() {
			return false
		}
	default:
		return false
	}
	return t.attempts < t.Route.Attempts && p.Budget.TakeRetry(t.Pool.ID, time.Now())
}

// finish ends a request after its last attempt.
func (p *Proxy) finish(ctx context.Context, t *try, out outcome) Result {
	t.result.Attempts = t.attempts
	if out.reason != "" {
		t.result.Reason = out.reason
	}
	switch {
	case out.verdict == done:
	case t.stream.started:
		t.result.Cut = true
	case t.kept != nil:
		t.kept.write(t.w)
		t.result.Status = t.kept.status
	case t.parent.Err() != nil:
		t.result.Refusal = refuse.Uncertain(refuse.CallerGone, "the caller went away")
	case !t.mayHaveRun:
		t.result.Refusal = notRun(out)
	case ctx.Err() != nil:
		t.result.Refusal = refuse.Uncertain(refuse.DeadlinePassed, "no whole answer came by the deadline")
	default:
		t.result.Refusal = refuse.Uncertain(refuse.EndpointFailed, out.reason)
	}
	return t.result
}

// retryAfterRefusal is when an endpoint that had no room is worth another try.
const retryAfterRefusal = 300 * time.Millisecond

func notRun(out outcome) *refuse.Refusal {
	r := refuse.New(refuse.NoEndpoint, "no endpoint took the request: "+out.reason)
	r.RetryAfter = retryAfterRefusal
	return r
}

// giveUp ends a request that gets no grant.
func (p *Proxy) giveUp(ctx context.Context, t *try, refusal *refuse.Refusal) Result {
	if t.mayHaveRun || t.kept != nil || t.stream.started {
		return p.finish(ctx, t, outcome{verdict: broken, reason: "no endpoint for a repeat: " + string(refusal.Reason)})
	}
	t.result.Attempts = t.attempts
	t.result.Reason = string(refusal.Reason)
	t.result.Refusal = refusal
	return t.result
}

func (p *Proxy) note(t *try, r trace.Record) {
	if p.Record == nil {
		return
	}
	r.Time, r.Request, r.Pool, r.Settings = time.Now(), t.ID, t.Pool.ID, t.Version
	r.Account = t.job.Account.ID
	p.Record(r)
}
