// Package entry serves a request on its entry node, the node that the caller is
// connected to: account limits, claim of the idempotency key, grant request,
// dispatch and answer.
//
// Only the entry node holds the request and dispatches it, at most once. As long
// as nothing was sent to an endpoint, it can request another grant. After that,
// the caller gets either the complete answer or a refusal that states whether the
// request may have run.
//
// # Usage
//
//	e := &entry.Entry{Self: id, Cells: manager, Open: open, Keys: keys, Quota: limiter, Client: c, Clock: clock}
//	refusal := e.Serve(ctx, &entry.Job{Request: req, Account: account, Pool: pool, Tier: tier, Sink: sink})
package entry

import (
	"context"
	"sync"
	"time"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/request/relay"
	"goldcrestwick/internal/version/config"
)

const (
	// maxDispatches limits the grants that are used for one request. A further
	// grant is used only if nothing was sent with the one before.
	maxDispatches = 4
	// grantRetryInterval is the wait before another grant request if the cell is
	// moving to another node, no node could be reached or the pool has no cells.
	grantRetryInterval = 50 * time.Millisecond
	// maxCompletionAttempts limits the attempts to report a completion after the
	// stream of its grant request broke. completionTimeout limits each attempt and
	// is also the wait after it.
	maxCompletionAttempts = 5
	completionTimeout     = time.Second
)

// Job is one request with the settings that apply to it.
type Job struct {
	Request *intake.Request
	Account *config.Account
	Pool    *config.Pool
	Tier    *config.Tier
	// Version is the settings version that applies to the request until it ends.
	Version ident.Version
	// FirstTokenTarget is the request's first-token target; 0 selects the pool's.
	FirstTokenTarget time.Duration
	// BlockTokens holds the tokens of each block of the prompt, nil if all blocks
	// have the same size.
	BlockTokens []ident.Tokens
	// Traits holds what other requests may have in common with this one. If it is nil,
	// the beginnings of the prompt and the whole request are used.
	Traits []ident.Trait
	// Avoid lists endpoints at which the request has already failed.
	Avoid []ident.Endpoint
	// Route is the name of the caller's route.
	Route string
	// Stream and Release are those of sched.GrantRequest.
	Stream  ident.RequestID
	Release *ident.Release
	// MaxRejections is that of sched.GrantRequest.
	MaxRejections int

	// hasBeenRedirected is set once a cell has redirected the request; it then waits
	// wherever it is sent.
	hasBeenRedirected bool
	Sink              answer.Sink
	// OnRun, if set, is called before the caller gets the answer of an earlier
	// request with the same idempotency key, with the identifier of that request.
	// It is not called if the job runs itself.
	OnRun func(ident.RequestID)
}

// Entry serves requests. Set the exported fields before use.
type Entry struct {
	Self   ident.NodeID
	Zone   ident.AvailabilityZone
	Cells  *cells.Manager
	Open   link.Opener
	Keys   *IdempotencyKeys
	Quota  *quota.Limiter
	Client *client.Client
	// Clock is the node's hybrid logical clock.
	Clock *clock.Clock
	// Quarantined returns the first of a request's traits that is quarantined, and
	// until when; nil means that none is.
	Quarantined func([]ident.Trait) (trait ident.Trait, until time.Time, ok bool)
	// KnownLimits returns the rate limits that endpoints stated to this node; nil means
	// none.
	KnownLimits func() map[ident.Endpoint]ident.Rate
	// SendsRoute adds the route to grant requests, for cells that count answers by it.
	SendsRoute bool
	// Record is called for each step of each request; it may be nil.
	Record func(trace.Record)
	// OnFinished is called with the result of each dispatch, for the metrics; it
	// may be nil.
	OnFinished func(*Job, relay.Result)

	active   sync.WaitGroup
	mu       sync.Mutex
	inFlight map[ident.CellID]map[ident.RequestID]sched.InFlight
}

// Serve runs a job. It returns nil if the sink got the complete answer, and
// otherwise the refusal to send to the caller. If the caller went away while the
// answer was sent, it returns nil for a request without an idempotency key and a
// refusal with refuse.CallerGone for a request with one.
func (e *Entry) Serve(ctx context.Context, j *Job) *refuse.Refusal {
	e.active.Add(1)
	defer e.active.Done()
	e.record(j, trace.Record{Event: trace.Accepted})
	refusal := e.serve(ctx, j)
	if refusal != nil {
		refusal.Tier = j.Tier.Name
		e.record(j, trace.Record{Event: trace.Refused, Reason: string(refusal.Reason) + "; " + string(refusal.RunState) + "; " + refusal.Message})
	}
	return refusal
}

func (e *Entry) serve(ctx context.Context, j *Job) *refuse.Refusal {
	if j.Request.IdempotencyKey != "" {
		return e.serveKeyed(ctx, j)
	}
	if j.Pool.Kind == ident.ApplicationRunner && !j.Pool.IsIdempotent(j.Request.Method, j.Request.Path) {
		return refuse.New(refuse.MissingIdempotencyKey, "this operation is not idempotent and needs the header "+intake.IdempotencyKeyHeader)
	}
	release, refusal := e.admit(ctx, j)
	if refusal != nil {
		return refusal
	}
	defer func() { release(refusal.MayHaveRun()) }()
	_, refusal = e.run(ctx, j, j.Sink)
	return refusal
}

// admit applies the limits of the request's account. The returned function is nil
// if the request is refused; otherwise it must be called when the request ends.
func (e *Entry) admit(ctx context.Context, j *Job) (quota.Release, *refuse.Refusal) {
	tokens := j.Request.PromptTokens + j.Request.OutputTokens
	release, result, retryAfter := e.Quota.Admit(ctx, j.Account, tokens, time.Now())
	if result == quota.Admitted {
		return release, nil
	}
	refusal := refuse.New(refuse.AccountLimit, "the account is over its limit "+string(result))
	refusal.RetryAfter = retryAfter
	return nil, refusal
}

// run requests grants until one can be used, dispatches the request, and reports
// its completion to the cell. Sent is true if anything was sent to an endpoint.
func (e *Entry) run(ctx context.Context, j *Job, sink answer.Sink) (sent bool, refusal *refuse.Refusal) {
	if j.Traits == nil {
		j.Traits = traitsOf(j)
	}
	for attempt := 1; ; attempt++ {
		if refusal := e.quarantineRefusal(j); refusal != nil {
			return false, refusal
		}
		g, refusal := e.RequestGrant(ctx, j)
		if refusal != nil {
			return false, refusal
		}
		if refusal := e.quarantineRefusal(j); refusal != nil {
			g.Complete(sched.Completion{Unused: true})
			return false, refusal
		}
		result, used := e.dispatch(ctx, j, g, sink)
		if used && result.Sent {
			return true, result.Refusal
		}
		if ctx.Err() != nil {
			return false, e.callerGone(j)
		}
		if used && attempt >= maxDispatches || j.isUploadRead() {
			return false, result.Refusal
		}
	}
}

func (e *Entry) callerGone(j *Job) *refuse.Refusal {
	e.record(j, trace.Record{Event: trace.CallerGone})
	return refuse.New(refuse.CallerGone, "the caller went away before the request was dispatched")
}

// dispatch sends the request to the granted endpoint and relays its answer. Used
// is false if nothing was sent because the grant's TTL is over, the endpoint is
// leaving or the caller went away.
func (e *Entry) dispatch(ctx context.Context, j *Job, g *Grant, sink answer.Sink) (result relay.Result, used bool) {
	if time.Since(g.Received) > g.Response.TTL || e.Cells.IsLeaving(g.Cell, g.Response.Endpoint) || ctx.Err() != nil {
		g.Complete(sched.Completion{Unused: true})
		return relay.Result{Refusal: refuse.New(refuse.NoEndpoint, "the grant could not be used in time")}, false
	}
	e.record(j, trace.Record{Event: trace.Dispatched, Endpoint: g.Response.Endpoint})
	run := &relay.Run{
		Client: e.Client, Address: g.Response.Address, Endpoint: g.Response.Endpoint,
		Request: j.Request, Sink: sink, Started: func() { g.ReportStarted(nil) }, Progress: g.ReportProgress, Timeout: j.Pool.CallTimeout,
	}
	if j.Pool.Kind == ident.ApplicationRunner {
		result = run.Service(ctx)
	} else {
		result = run.Model(ctx)
	}
	g.Complete(result.Completion)
	if e.OnFinished != nil {
		e.OnFinished(j, result)
	}
	e.recordResult(j, g, result)
	return result, true
}

func (e *Entry) recordResult(j *Job, g *Grant, result relay.Result) {
	r := trace.Record{Endpoint: g.Response.Endpoint}
	switch {
	case !result.Sent:
		r.Event = trace.NotSent
		if result.Refusal != nil {
			r.Reason = result.Refusal.Message
		}
	case result.CallerGone:
		r.Event = trace.CallerGone
	case result.Refusal == nil:
		r.Event = trace.Finished
	default:
		return
	}
	e.record(j, r)
}

// record fills in the fields of the job and calls Record.
func (e *Entry) record(j *Job, r trace.Record) {
	if e.Record == nil {
		return
	}
	r.Time = time.Now()
	r.Node = e.Self
	r.Request = j.Request.ID
	r.Account = j.Account.ID
	r.Tier = j.Tier.Name
	r.Pool = j.Pool.ID
	r.Settings = j.Version
	e.Record(r)
}

// InFlight returns the granted requests of a cell that this node has in flight, and those of
// cells of the pool's other form, which may run at the same endpoints.
func (e *Entry) InFlight(cell ident.CellID) []sched.InFlight {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]sched.InFlight, 0, len(e.inFlight[cell]))
	for other, requests := range e.inFlight {
		if other != cell && !roster.IsOtherForm(other, cell) {
			continue
		}
		for _, r := range requests {
			all = append(all, r)
		}
	}
	return all
}

// InFlightByRelease returns the number of granted requests of a pool that this node has in
// flight, by release of their endpoint.
func (e *Entry) InFlightByRelease(pool ident.PoolID) map[ident.Release]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := map[ident.Release]int{}
	for cell, requests := range e.inFlight {
		if cell.Pool != pool {
			continue
		}
		for _, r := range requests {
			counts[r.Release]++
		}
	}
	return counts
}

func (e *Entry) addInFlight(cell ident.CellID, r sched.InFlight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight == nil {
		e.inFlight = map[ident.CellID]map[ident.RequestID]sched.InFlight{}
	}
	if e.inFlight[cell] == nil {
		e.inFlight[cell] = map[ident.RequestID]sched.InFlight{}
	}
	e.inFlight[cell][r.Request] = r
}

// markStarted records that an endpoint has begun to answer a request in flight.
func (e *Entry) markStarted(cell ident.CellID, id ident.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.inFlight[cell][id]; ok {
		r.Started = true
		e.inFlight[cell][id] = r
	}
}

func (e *Entry) removeInFlight(cell ident.CellID, id ident.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlight[cell], id)
	if len(e.inFlight[cell]) == 0 {
		delete(e.inFlight, cell)
	}
}

// Wait waits until every request has ended, background work included.
func (e *Entry) Wait() { e.active.Wait() }

// isUploadRead reports whether a read of a streamed body was attempted. If so,
// the request cannot be dispatched again. It is false for a request without a
// streamed body.
func (j *Job) isUploadRead() bool {
	upload, ok := j.Request.BodyReader.(*uploadReader)
	return ok && upload.isRead.Load()
}
