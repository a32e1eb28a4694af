// Package router takes in callers' requests that are passed on as they came.
//
// It finds the route by host and path and the account by API key, holds the
// request against the account's limits, reads its body and hands it to a
// proxy.Proxy. What it refuses has not run, and says so by its status.
//
// # Usage
//
//	d := &router.Router{Tree: tree, DecodeRequest: codec.DecodeRequest, Serve: p.Serve, Quota: limiter, Log: logger}
//	server := d.Server()
//	go server.Serve(listener)
//	d.Leave() // connections are closed after their next answer
package router

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"goldcrestwick/internal/connection/linger"
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// headerTimeout bounds a caller's header before any settings are known;
	// callers that are slower than the settings' limit are few.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep a connection idle, so that a
	// request seldom crosses the close.
	idleTimeout = 90 * time.Second
	headerBytes = 64 << 10
	// notReadyRetry is when a node without settings is worth another try.
	notReadyRetry = 500 * time.Millisecond
)

// Router serves callers. Set the exported fields before use; it is safe for
// concurrent use.
type Router struct {
	// Tree returns the settings in force, nil before there are any.
	Tree          func() *config.Tree
	DecodeRequest func(http.Header) (proxy.RequestInfo, error)
	Serve         func(context.Context, *proxy.Request, http.ResponseWriter) proxy.Result
	Quota         *quota.Limiter
	Meter         *meter.Meter
	// Record gets the first and the last step of each request.
	Record func(trace.Record)
	Log    *log.Logger

	leaving atomic.Bool
	number  atomic.Uint64
	// inUse holds the identifiers of open requests: callers may use one twice.
	inUse sync.Map
}

// Server returns the HTTP server for callers.
func (d *Router) Server() *http.Server {
	return &http.Server{
		Handler: linger.Handler(d), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: d.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// Leave makes every answer from now on the last of its connection.
func (d *Router) Leave() { d.leaving.Store(true) }

// ServeHTTP serves one request.
func (d *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	tree := d.Tree()
	if tree == nil {
		refusal := refuse.New(refuse.NotReady, "this node has no settings yet")
		refusal.RetryAfter = notReadyRetry
		d.refuse(w, r, &proxy.Request{Arrived: arrived, Method: r.Method}, refusal)
		return
	}
	req, refusal := d.read(w, r, tree, arrived)
	if refusal != nil {
		d.refuse(w, r, req, refusal)
		return
	}
	release, refusal := d.admit(r.Context(), req)
	if refusal != nil {
		d.refuse(w, r, req, refusal)
		return
	}
	ran := true
	defer func() { release(ran) }()
	defer d.inUse.Delete(req.ID)
	d.step(req, trace.Record{Event: trace.Accepted})
	d.Meter.Accepted(req.Tier.Name, string(req.Pool.ID))
	result := d.Serve(r.Context(), req, w)
	ran = result.Refusal.MayHaveRun()
	d.note(req, result)
	switch {
	case result.Refusal != nil:
		d.refuse(w, r, req, result.Refusal)
	case result.Cut:
		// net/http closes the connection without the end of the answer.
		panic(http.ErrAbortHandler)
	}
}

// read finds the request's route and account and reads its body.
func (d *Router) read(w http.ResponseWriter, r *http.Request, tree *config.Tree, arrived time.Time) (*proxy.Request, *refuse.Refusal) {
	req := &proxy.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header,
		Arrived: arrived, Version: tree.Version,
	}
	info, err := d.DecodeRequest(r.Header)
	req.Info = info
	req.ID = d.identify(info.ID)
	if err != nil {
		return req, refuse.New(refuse.BadRequest, err.Error())
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req.Route = tree.RouteFor(hostOf(r.Host), path)
	if req.Route == nil {
		return req, refuse.New(refuse.NotFound, "no route for this host and path")
	}
	if !req.Route.Public {
		req.Account = tree.AccountByKey(sha256.Sum256([]byte(info.Key)))
		if req.Account == nil {
			return req, refuse.New(refuse.NoAccount, "the API key is not known")
		}
	}
	req.Tier = tree.TierFor(req.Account, req.Route)
	req.Pool = req.Route.PoolAt(rand.Float64())
	req.Deadline = arrived.Add(req.Route.Timeout)
	if info.Timeout > 0 && info.Timeout < req.Route.Timeout {
		req.Deadline = arrived.Add(info.Timeout)
	}
	return req, d.readBody(w, r, req, tree.Limits)
}

// readBody holds the whole body, so that it can be sent a second time.
func (d *Router) readBody(w http.ResponseWriter, r *http.Request, req *proxy.Request, limits config.Limits) *refuse.Refusal {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		if r.Header.Get("Content-Length") != "" {
			req.Body = []byte{}
		}
		return nil
	}
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(req.Deadline) //nolint:errcheck // not every writer has one.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse.New(refuse.BodyTooLarge, "the body is longer than "+strconv.FormatInt(limits.BodyBytes, 10)+" bytes")
	case err != nil:
		w.Header().Set("Connection", "close")
		return refuse.New(refuse.BodyTooSlow, "the body did not come whole: "+err.Error())
	}
	controller.SetReadDeadline(time.Time{}) //nolint:errcheck // not every writer has one.
	req.Body = body
	return nil
}

// identify makes a caller's identifier unique among the open requests.
func (d *Router) identify(id string) ident.RequestID {
	unique := ident.RequestID(id)
	if id == "" {
		unique = ident.NewRequestID()
	}
	for {
		if _, taken := d.inUse.LoadOrStore(unique, true); !taken {
			return unique
		}
		unique = ident.RequestID(id + "~" + strconv.FormatUint(d.number.Add(1), 10))
	}
}

// admit holds the request against its account's limits.
func (d *Router) admit(ctx context.Context, req *proxy.Request) (release quota.Release, refusal *refuse.Refusal) {
	if req.Account == nil {
		return func(bool) {}, nil
	}
	tokens := req.Account.PlainTokens
	if req.Info.HasTokens {
		tokens = req.Info.Prompt + req.Info.Output
	}
	release, verdict, retry := d.Quota.Admit(ctx, req.Account, tokens, time.Now())
	if verdict == quota.Admitted {
		return release, nil
	}
	refusal = refuse.New(refuse.AccountLimit, fmt.Sprintf(
		"the account is over its limit %s: %d tokens asked, limits %.0f tokens and %.0f requests a second",
		verdict, tokens, req.Account.Tokens, req.Account.Requests))
	refusal.RetryAfter = retry
	return nil, refusal
}

// refuse answers a request that gets no endpoint's answer.
func (d *Router) refuse(w http.ResponseWriter, r *http.Request, req *proxy.Request, refusal *refuse.Refusal) {
	defer d.inUse.Delete(req.ID)
	status := refusal.Status()
	if !refusal.MayHaveRun() && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	tier := ""
	if req.Tier != nil {
		tier = req.Tier.Name
	}
	d.Meter.Refused(tier, string(refusal.Reason), string(refusal.Run))
	d.Log.Info("request_refused", "request_id", string(req.ID), "reason", refusal.Reason, "run", refusal.Run,
		"status", status, "retry_after", refusal.RetryAfter, "message", refusal.Message,
		"account", accountName(req.Account), "route", routeName(req.Route), "caller_gone", r.Context().Err() != nil,
		"took", time.Since(req.Arrived), "settings_version", uint64(req.Version))
	if refusal.RetryAfter > 0 && !refusal.MayHaveRun() {
		// Rounded up: a caller that is told 0.00 comes back at once.
		hundredths := math.Ceil(refusal.RetryAfter.Seconds() * 100)
		w.Header().Set("Retry-After", strconv.FormatFloat(hundredths/100, 'f', 2, 64))
	}
	refusal.WriteAs(w, req.ID, status)
}

// step completes a record with what is known of a request.
func (d *Router) step(req *proxy.Request, r trace.Record) {
	r.Time, r.Request, r.Pool, r.Settings = time.Now(), req.ID, req.Pool.ID, req.Version
	r.Account, r.Tier = accountName(req.Account), req.Tier.Name
	d.Record(r)
}

func (d *Router) note(req *proxy.Request, result proxy.Result) {
	last := trace.Record{Event: trace.Finished, Endpoint: result.Endpoint}
	switch {
	case result.Refusal != nil:
		last.Event = trace.Refused
		last.Reason = string(result.Refusal.Reason) + "; " + string(result.Refusal.Run) + "; " + result.Refusal.Message
	case result.Cut:
		last.Event = trace.Broken
		last.Reason = result.Reason
	}
	d.step(req, last)
	if last.Event == trace.Finished {
		d.Meter.Answered(req.Tier.Name, string(req.Pool.ID), result.FirstAnswer <= req.Route.FirstAnswer)
		d.Meter.FirstToken(req.Tier.Name, string(req.Pool.ID), result.FirstAnswer)
	}
	d.Log.Info("request_ended", "request_id", string(req.ID), "account", accountName(req.Account), "route", req.Route.Name, "pool", req.Pool.ID,
		"endpoint", result.Endpoint, "status", result.Status, "attempts", result.Attempts, "cut", result.Cut,
		"reason", result.Reason, "first_answer", result.FirstAnswer, "took", time.Since(req.Arrived),
		"settings_version", uint64(req.Version))
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

// hostOf returns a host in lower case and without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
