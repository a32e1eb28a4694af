// Package router serves callers whose requests are proxied to endpoints
// unchanged.
//
// A Router finds the route by host and path and the account by API key, reads the
// request's body, checks the account's limits and passes the request to a
// proxy.Proxy. A request that the Router refuses before it calls Serve has not run;
// its refusal has a 4xx status or 503.
//
// # Usage
//
//	rt := &router.Router{
//		Tree: tree, DecodeRequest: codec.DecodeRequest, Serve: p.Serve, Quota: limiter,
//		Meter: meter, Record: record, Log: logger,
//	}
//	server := rt.Server()
//	go server.Serve(listener)
//	rt.DisableKeepAlives() // closes each connection after its next answer
package router

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"goldcrestwick/internal/connection/linger"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// headerTimeout limits the time to read a request's header. Like idleTimeout it is fixed,
	// because the server starts before any settings are loaded; few callers are slower than
	// the settings' limit.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that the server
	// rarely closes a connection on which a request is already on its way.
	idleTimeout = 90 * time.Second
	// unknownLinesPerSecond and unknownLinesBurst bound the log lines of refused requests that
	// belong to no account, since clients without a key can send any number of them.
	unknownLinesPerSecond = 20
	unknownLinesBurst     = 200
	// notReadyRetryAfter is the Retry-After of a node that has no settings yet.
	notReadyRetryAfter = 500 * time.Millisecond
)

// Router is an HTTP handler that routes requests to pools. All exported fields except
// Bodies must be set before use. It is safe for concurrent use.
type Router struct {
	// Tree returns the settings in force, or nil if none are loaded yet.
	Tree func() *config.Tree
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest func(http.Header) (proxy.RequestInfo, error)
	// Serve proxies a request. It writes the answer unless its result has a refusal,
	// which the Router writes.
	Serve func(context.Context, *proxy.Request, http.ResponseWriter) proxy.Result
	// FindPool returns the pool of a stream that has begun, if the stream's route leads there or
	// led there until recently, or nil.
	FindPool func(*config.Route, ident.PoolID) *config.Pool
	Quota    *quota.Limiter
	Meter    *meter.Meter
	// Record records the first and the last step of each request.
	Record func(trace.Record)
	Log    *log.Logger
	// Bodies bounds the bytes of the requests' bodies; nil means no bound for all of them.
	Bodies *memory.Budget

	// stoppingSince is when DisableKeepAlives was called, zero before that.
	stoppingSince tick.Latest
	idSuffix      atomic.Uint64
	// unknownLines limits the lines of requests without an account, and unknownOmitted counts
	// those left out since the last one.
	unknownLines   *rate.Limiter
	unknownOmitted atomic.Int64
	// openIDs holds the identifiers of the requests in progress, since callers may
	// use the same one twice.
	openIDs sync.Map
}

// Server returns the HTTP server for callers. It bounds neither heads nor connections; a
// guard.Port does.
func (rt *Router) Server() *http.Server {
	rt.unknownLines = rate.NewLimiter(unknownLinesPerSecond, unknownLinesBurst)
	return &http.Server{
		Handler: linger.Handler(rt), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: memory.ConnContext,
		ErrorLog:    rt.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// DisableKeepAlives makes the server close each connection after its next answer. It is
// called when the node begins to stop.
func (rt *Router) DisableKeepAlives() { rt.stoppingSince.Observe(time.Now()) }

// stoppingFor returns for how long the node has been stopping, 0 if it is not.
func (rt *Router) stoppingFor() time.Duration {
	if since := rt.stoppingSince.Time(); !since.IsZero() {
		return time.Since(since)
	}
	return 0
}

// ServeHTTP proxies a request or refuses it.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !rt.stoppingSince.Time().IsZero() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	tree := rt.Tree()
	if tree == nil {
		refusal := refuse.New(refuse.NodeNotReady, "this node has no settings yet")
		refusal.RetryAfter = notReadyRetryAfter
		rt.refuse(w, r, &proxy.Request{Arrived: arrived, Method: r.Method}, refusal)
		return
	}
	req, body, refusal := rt.readRequest(w, r, tree, arrived)
	defer body.End()
	if refusal != nil {
		rt.refuse(w, r, req, refusal)
		return
	}
	release, refusal := rt.admit(r.Context(), req)
	if refusal != nil {
		rt.refuse(w, r, req, refusal)
		return
	}
	ran := true
	defer func() { release(ran) }()
	defer rt.openIDs.Delete(req.ID)
	rt.recordStep(req, trace.Record{Event: trace.Accepted})
	rt.Meter.Accepted(req.Tier.Name, string(req.Pool.ID))
	answer := &answerWriter{ResponseWriter: w}
	result := rt.Serve(r.Context(), req, answer)
	ran = result.Refusal.MayHaveRun()
	rt.recordResult(req, result)
	switch {
	case result.Refusal != nil && !answer.hasHead:
		rt.refuse(w, r, req, result.Refusal)
	case result.Refusal != nil || result.Truncated:
		// net/http then closes the connection without completing the answer.
		panic(http.ErrAbortHandler)
	}
}

// readRequest finds the route and the account of a request and reads its body. The share
// must be ended when the request ends.
func (rt *Router) readRequest(w http.ResponseWriter, r *http.Request, tree *config.Tree, arrived time.Time) (*proxy.Request, *memory.Share, *refuse.Refusal) {
	req := &proxy.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Arrived: arrived}
	if refusal := rt.resolve(req, tree); refusal != nil {
		return req, nil, refusal
	}
	share, refusal := rt.readBody(w, r, req, tree.Limits)
	return req, share, refusal
}

// resolve decodes the header of a request, reserves its identifier and finds its route,
// account, tier, pool and deadline.
func (rt *Router) resolve(req *proxy.Request, tree *config.Tree) *refuse.Refusal {
	info, err := rt.DecodeRequest(req.Header)
	req.Info, req.Version = info, tree.Version
	req.ID = rt.reserveID(info.AttemptID)
	if err != nil {
		return refuse.New(refuse.BadRequest, err.Error())
	}
	path, _, _ := strings.Cut(req.Target, "?")
	req.Route = tree.RouteFor(normalizeHost(req.Host), path)
	if req.Route == nil {
		return refuse.New(refuse.NotFound, "no route for this host and path")
	}
	if !req.Route.Public {
		req.Account = tree.AccountByKeyHash(sha256.Sum256([]byte(info.APIKey)))
		if req.Account == nil {
			return refuse.New(refuse.UnknownAccount, "the API key is not known")
		}
	}
	req.Tier = tree.TierFor(req.Account, req.Route)
	req.Pool = req.Route.PoolAt(rand.Float64())
	req.Deadline = req.Arrived.Add(req.Route.Timeout)
	if info.Timeout > 0 && info.Timeout < req.Route.Timeout {
		req.Deadline = req.Arrived.Add(info.Timeout)
	}
	return nil
}

// Resolve fills in a request that this node serves for another one, which has admitted it,
// has its body and has chosen the given pool. If the route does not lead there, a stream that
// was begun there goes on in that pool or, if the route has not led there lately as far as this
// node knows, is refused; other requests go where the route leads. The release function must be
// called when the request ends.
func (rt *Router) Resolve(req *proxy.Request, pool ident.PoolID) (release func(), refusal *refuse.Refusal) {
	tree := rt.Tree()
	if tree == nil {
		return func() {}, refuse.New(refuse.NodeNotReady, "this node has no settings yet")
	}
	if refusal = rt.resolve(req, tree); refusal == nil {
		refusal = rt.choosePool(req, pool)
	}
	return func() { rt.openIDs.Delete(req.ID) }, refusal
}

// choosePool sets the pool of a request that another node has chosen, as Resolve describes.
func (rt *Router) choosePool(req *proxy.Request, id ident.PoolID) *refuse.Refusal {
	chosen := req.Route.FindPool(id)
	if chosen == nil && req.Release == nil {
		return nil
	}
	if chosen == nil {
		chosen = rt.FindPool(req.Route, id)
	}
	if chosen == nil {
		return refuse.New(refuse.OriginUnknown, "the route does not lead to the pool that began the stream")
	}
	req.Pool = chosen
	return nil
}

// reserveID returns a caller's request identifier and adds it to openIDs. It appends
// a suffix if the identifier is in use. If id is empty, it returns a new identifier.
func (rt *Router) reserveID(id string) ident.RequestID {
	unique := ident.CallerID(id)
	if id == "" {
		unique = ident.NewRequestID()
	}
	for {
		if _, taken := rt.openIDs.LoadOrStore(unique, true); !taken {
			return unique
		}
		unique = ident.RequestID(string(ident.CallerID(id)) + "~" + strconv.FormatUint(rt.idSuffix.Add(1), 10))
	}
}

// admit charges a request to its account's limits; a request without an account has
// none. If the request is admitted, release must be called when it ends, with whether
// it may have run.
func (rt *Router) admit(ctx context.Context, req *proxy.Request) (release quota.Release, refusal *refuse.Refusal) {
	if req.Account == nil {
		return func(bool) {}, nil
	}
	tokens := req.Account.DefaultTokens
	if req.Info.HasTokens {
		tokens = req.Info.PromptTokens.Plus(req.Info.MaxOutputTokens)
	}
	charge := rt.Quota.Admit
	if req.Route.Kind == config.Stream && req.Info.LastEventID > 0 {
		charge = rt.Quota.AdmitResumption
	}
	release, result, retryAfter := charge(ctx, req.Account, tokens, time.Now())
	if result == quota.Admitted {
		return release, nil
	}
	refusal = refuse.New(refuse.AccountLimit, fmt.Sprintf(
		"the account is over its limit %s: %d tokens asked, limits %.0f tokens and %.0f requests a second",
		result, tokens, req.Account.TokensPerSecond, req.Account.RequestsPerSecond))
	refusal.RetryAfter = retryAfter
	return nil, refusal
}

// recordStep fills in the request's fields of a record and records it.
func (rt *Router) recordStep(req *proxy.Request, r trace.Record) {
	r.Time, r.Request, r.Pool, r.Settings = time.Now(), req.ID, req.Pool.ID, req.Version
	r.Account, r.Tier = accountName(req.Account), req.Tier.Name
	rt.Record(r)
}

// recordResult records, counts and logs the end of a request that was accepted.
func (rt *Router) recordResult(req *proxy.Request, result proxy.Result) {
	last := trace.Record{Event: trace.Finished, Endpoint: result.Endpoint}
	switch {
	case result.Refusal != nil:
		last.Event = trace.Refused
		last.Reason = string(result.Refusal.Reason) + "; " + string(result.Refusal.RunState) + "; " + result.Refusal.Message
	case result.Truncated:
		last.Event = trace.Interrupted
		last.Reason = result.Reason
	}
	rt.recordStep(req, last)
	if last.Event == trace.Finished {
		rt.Meter.Answered(req.Tier.Name, string(req.Pool.ID), result.TimeToFirstAnswer <= req.Route.FirstAnswerTarget)
		rt.Meter.TimeToFirstToken(req.Tier.Name, string(req.Pool.ID), result.TimeToFirstAnswer)
	}
	if result.Interrupted > 0 {
		stage := "before_first_event"
		if result.Events > 0 {
			stage = "streaming"
		}
		rt.Meter.Interrupted(string(req.Pool.ID), stage, result.Interrupted)
	}
	rt.Log.Info("request_ended", "request_id", string(req.ID), "account", accountName(req.Account), "route", req.Route.Name, "pool", req.Pool.ID,
		"endpoint", result.Endpoint, "peer", result.Peer, "releases", ident.Join(result.Releases), "resumes", req.Info.Resumes, "resumed_after", req.Info.LastEventID, "status", result.Status, "attempts", result.Attempts, "cut", result.Truncated, "end_check", result.EndCheck,
		"reason", result.Reason, "interrupted", result.Interrupted, "events", result.Events, "prompt_parts", failedParts(req, result), "fingerprint", failedFingerprint(req, result),
		"prompt_tokens", int64(req.Info.PromptTokens), "max_output_tokens", int64(req.Info.MaxOutputTokens),
		"first_answer", result.TimeToFirstAnswer, "longest_gap", result.LongestGap, "took", time.Since(req.Arrived), "stopping", rt.stoppingFor(),
		"settings_version", uint64(req.Version))
}

// failedParts returns the identifiers of a request's prompt parts as log text, "" for
// a request without an interrupted attempt.
func failedParts(req *proxy.Request, result proxy.Result) string {
	if result.Interrupted == 0 {
		return ""
	}
	var b strings.Builder
	for i, part := range req.Info.PromptParts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(part.ID, 16))
	}
	return b.String()
}

// failedFingerprint returns a request's fingerprint as log text, "" for a request without
// an interrupted attempt.
func failedFingerprint(req *proxy.Request, result proxy.Result) string {
	if result.Interrupted == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(req.Fingerprint()), 16)
}

func accountName(a *config.Account) ident.ClientAccount {
	if a == nil {
		return ""
	}
	return a.ID
}

func routeName(r *config.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// normalizeHost returns a host in lower case and without a port.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
