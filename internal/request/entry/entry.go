// Package entry carries a request through its life on the node that its caller
// connected to: limits, claim, bid, dispatch, answer.
//
// The entry node alone holds the request and alone dispatches it, at most
// once. As long as nothing has left for an endpoint, it can bid again; from
// then on the request is either answered whole or ends with what is known.
//
// # Usage
//
//	e := &entry.Entry{Self: id, Cells: manager, Keys: keys, Client: c}
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
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/request/relay"
	"goldcrestwick/internal/version/config"
)

const (
	// dispatches bounds the grants that one request may try; only the last can
	// have left this process.
	dispatches = 4
	// bidPause is the wait before a bid that found its cell moving is repeated.
	bidPause = 50 * time.Millisecond
	// endAttempts bounds the repeats of a late ending.
	endAttempts = 5
	endTimeout  = time.Second
)

// Job is one request with what the settings say of it.
type Job struct {
	Request *intake.Request
	Account *config.Account
	Pool    *config.Pool
	Tier    *config.Tier
	// Version is the settings version by which the request is judged from
	// start to end.
	Version ident.Version
	// FirstTokenTarget is the request's own target for its first token; 0 takes the
	// pool's.
	FirstTokenTarget time.Duration
	// PartTokens are the tokens of the prompt's parts where they are not of one
	// size.
	PartTokens []ident.Tokens
	// Avoid lists endpoints that the request has already failed at.
	Avoid []ident.Endpoint
	Sink  answer.Sink
	// Run, when set, learns the identifier of the run whose answer the caller
	// gets: an earlier request's when the caller joined it.
	Run func(ident.RequestID)
}

// Entry serves requests. Set the exported fields before use.
type Entry struct {
	Self   ident.NodeID
	Zone   ident.AvailabilityZone
	Cells  *cells.Manager
	Open   link.Opener
	Keys   *Keys
	Quota  *quota.Limiter
	Client *client.Client
	// Clock is the node's hybrid logical clock.
	Clock *clock.Clock
	// Record gets each step of each request.
	Record func(trace.Record)
	// Finished gets the end of each dispatched request, for the metrics.
	Finished func(*Job, relay.Result)

	active sync.WaitGroup
	mu     sync.Mutex
	held   map[ident.CellID]map[ident.RequestID]sched.InFlight
}

// Serve answers a job. It returns nil when the sink has the whole answer, and
// otherwise what to tell the caller.
func (e *Entry) Serve(ctx context.Context, j *Job) *refuse.Refusal {
	e.active.Add(1)
	defer e.active.Done()
	e.note(j, trace.Record{Event: trace.Accepted})
	refusal := e.serve(ctx, j)
	if refusal != nil {
		refusal.Tier = j.Tier.Name
		e.note(j, trace.Record{Event: trace.Refused, Reason: string(refusal.Reason) + "; " + string(refusal.Run) + "; " + refusal.Message})
	}
	return refusal
}

func (e *Entry) serve(ctx context.Context, j *Job) *refuse.Refusal {
	if j.Request.Key != "" {
		return e.serveKeyed(ctx, j)
	}
	if j.Pool.Kind == ident.ApplicationRunner && !j.Pool.IsIdempotent(j.Request.Method, j.Request.Path) {
		return refuse.New(refuse.MissingKey, "this operation is not idempotent and needs the header "+intake.KeyHeader)
	}
	release, refusal := e.admit(ctx, j)
	if refusal != nil {
		return refusal
	}
	defer func() { release(refusal.MayHaveRun()) }()
	_, refusal = e.run(ctx, j, j.Sink)
	return refusal
}

// admit holds the request against its account's limits.
func (e *Entry) admit(ctx context.Context, j *Job) (quota.Release, *refuse.Refusal) {
	tokens := j.Request.Prompt + j.Request.Output
	release, verdict, retry := e.Quota.Admit(ctx, j.Account, tokens, time.Now())
	if verdict == quota.Admitted {
		return release, nil
	}
	refusal := refuse.New(refuse.AccountLimit, "the account is over its limit "+string(verdict))
	refusal.RetryAfter = retry
	return nil, refusal
}

// run bids until a grant can be used, dispatches, and tells the cell the end.
// Sent reports whether anything left for an endpoint.
func (e *Entry) run(ctx context.Context, j *Job, sink answer.Sink) (sent bool, refusal *refuse.Refusal) {
	for attempt := 1; ; attempt++ {
		s, refusal := e.RequestGrant(ctx, j)
		if refusal != nil {
			return false, refusal
		}
		result, used := e.dispatch(ctx, j, s, sink)
		if used && result.Sent {
			return true, result.Refusal
		}
		if ctx.Err() != nil {
			return false, e.callerGone(j)
		}
		if used && attempt >= dispatches || j.uploadTouched() {
			return false, result.Refusal
		}
	}
}

func (e *Entry) callerGone(j *Job) *refuse.Refusal {
	e.note(j, trace.Record{Event: trace.CallerGone})
	return refuse.New(refuse.CallerGone, "the caller went away before the request was dispatched")
}

// dispatch uses a grant. Used is false when the grant's life was over or the
// endpoint is leaving; then nothing was sent.
func (e *Entry) dispatch(ctx context.Context, j *Job, s *Grant, sink answer.Sink) (result relay.Result, used bool) {
	if time.Since(s.Received) > s.Response.TTL || e.Cells.IsLeaving(s.Cell, s.Response.Endpoint) || ctx.Err() != nil {
		s.Complete(sched.Completion{Unused: true})
		return relay.Result{Refusal: refuse.New(refuse.NoEndpoint, "the grant could not be used in time")}, false
	}
	e.note(j, trace.Record{Event: trace.Dispatched, Endpoint: s.Response.Endpoint})
	run := &relay.Run{
		Client: e.Client, Address: s.Response.Address, Endpoint: s.Response.Endpoint,
		Request: j.Request, Sink: sink, Started: func() { s.Started(nil) }, Progress: s.Progress, Timeout: j.Pool.CallTimeout,
	}
	if j.Pool.Kind == ident.ApplicationRunner {
		result = run.Service(ctx)
	} else {
		result = run.Model(ctx)
	}
	s.Complete(result.Completion)
	if e.Finished != nil {
		e.Finished(j, result)
	}
	e.noteResult(j, s, result)
	return result, true
}

func (e *Entry) noteResult(j *Job, s *Grant, result relay.Result) {
	r := trace.Record{Endpoint: s.Response.Endpoint}
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
	e.note(j, r)
}

// note completes a record with what is known of the job.
func (e *Entry) note(j *Job, r trace.Record) {
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

// InFlight returns the granted requests of a cell that this node holds.
func (e *Entry) InFlight(cell ident.CellID) []sched.InFlight {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]sched.InFlight, 0, len(e.held[cell]))
	for _, h := range e.held[cell] {
		all = append(all, h)
	}
	return all
}

func (e *Entry) hold(cell ident.CellID, h sched.InFlight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		e.held = map[ident.CellID]map[ident.RequestID]sched.InFlight{}
	}
	if e.held[cell] == nil {
		e.held[cell] = map[ident.RequestID]sched.InFlight{}
	}
	e.held[cell][h.Request] = h
}

func (e *Entry) unhold(cell ident.CellID, id ident.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held[cell], id)
	if len(e.held[cell]) == 0 {
		delete(e.held, cell)
	}
}

// Wait returns when every request has ended.
func (e *Entry) Wait() { e.active.Wait() }

// uploadTouched reports whether a part of a streamed body was read, after
// which the request cannot be dispatched again.
func (j *Job) uploadTouched() bool {
	u, ok := j.Request.Upload.(*upload)
	return ok && u.touched.Load()
}
