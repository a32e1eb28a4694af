// Package front serves callers and operators over HTTP.
//
// Callers get the chat and completion APIs of model runners, the services of
// application runners, and the list of entry addresses. Operators get metrics,
// explanations of scheduling decisions and the settings, on a separate address.
//
// # Usage
//
//	api := &front.CallerAPI{
//		Tree: tree, Serve: entry.Serve, Addresses: addresses, IsReady: isReady,
//		Resume: resume, ResumeToken: resumeToken, Meter: meter, Gate: gate,
//	}
//	server := api.Server()
//	server.Serve(listener)
package front

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"goldcrestwick/internal/connection/linger"
	"goldcrestwick/internal/process/gate"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// headerSlackBytes is how far past the configured limit net/http still reads
	// a header, so that an oversized one gets a typed refusal.
	headerSlackBytes     = 32 << 10
	bearerPrefix         = "Bearer "
	ledgerFullRetryAfter = 30 * time.Second
)

// Address is one entry address for callers.
type Address struct {
	Node    ident.NodeID
	Address string
	Zone    ident.AvailabilityZone
}

// ResumePoint identifies a run whose interrupted answer can be resumed.
type ResumePoint struct {
	Account  ident.ClientAccount
	Pool     ident.PoolID
	Endpoint ident.Endpoint
	Request  ident.RequestID
	Form     intake.Form
}

// CallerAPI serves callers. All exported fields except IsLedgerFull must be set before
// use.
type CallerAPI struct {
	// Tree returns the settings in force.
	Tree func() *config.Tree
	// Serve schedules a job and writes its answer to the job's sink.
	Serve func(context.Context, *entry.Job) *refuse.Refusal
	// Addresses returns the entry addresses for an account, in order of
	// preference.
	Addresses func(*config.Account, ident.AvailabilityZone) []Address
	// IsReady reports whether the node accepts requests.
	IsReady func() bool
	// Resume streams the rest of an answer whose entry node failed.
	Resume func(ctx context.Context, account ident.ClientAccount, token string, from int, sink SinkFactory) *refuse.Refusal
	// ResumeToken returns a resume token for a run.
	ResumeToken func(ResumePoint) string
	Meter       *meter.Meter
	Gate        *gate.Gate
	// IsLedgerFull reports whether the ledger has no space for further records, in
	// which case no request is accepted. A nil func means never.
	IsLedgerFull func() bool
}

// Server returns the HTTP server for callers, with the timeouts from the settings in
// force when it is called.
func (api *CallerAPI) Server() *http.Server {
	limits := api.Tree().Limits
	return &http.Server{
		Handler:           linger.Handler(api.routes()),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.HeaderBytes) + headerSlackBytes,
	}
}

func (api *CallerAPI) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(api.limitHeaderSize)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }) //nolint:errcheck // the caller may be gone.
	r.Get("/readyz", api.handleReady)
	r.Get("/v1/addresses", api.authenticated(api.handleAddresses))
	r.Get("/v1/models", api.authenticated(api.handleModels))
	r.Post("/v1/chat/completions", api.authenticated(api.modelHandler(intake.Chat)))
	r.Post("/v1/completions", api.authenticated(api.modelHandler(intake.Completion)))
	r.Get("/v1/resume", api.authenticated(api.handleResume))
	r.HandleFunc("/services/{name}", api.authenticated(api.handleService))
	r.HandleFunc("/services/{name}/*", api.authenticated(api.handleService))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		api.refuse(w, ident.NewRequestID(), refuse.New(refuse.NotFound, "there is nothing at "+r.URL.Path))
	})
	return r
}

// refuse counts a refusal and writes it as the response.
func (api *CallerAPI) refuse(w http.ResponseWriter, id ident.RequestID, r *refuse.Refusal) {
	api.Meter.Refused(r.Tier, string(r.Reason), string(r.RunState))
	w.Header().Set(requestIDHeader, string(id))
	r.Write(w, id)
}

const requestIDHeader = "X-Request-Id"

// limitHeaderSize refuses requests whose header is over the configured limit.
func (api *CallerAPI) limitHeaderSize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := int64(len(r.RequestURI))
		for name, values := range r.Header {
			for _, v := range values {
				size += int64(len(name) + len(v))
			}
		}
		if size > api.Tree().Limits.HeaderBytes {
			api.refuse(w, ident.NewRequestID(), refuse.New(refuse.HeaderTooLarge, "the header is longer than the limit"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type accountHandler func(http.ResponseWriter, *http.Request, *config.Tree, *config.Account)

// authenticated looks up the account of the bearer key. It compares only the
// key's hash, so its timing reveals nothing about the key.
func (api *CallerAPI) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tree := api.Tree()
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		account := tree.AccountByKeyHash(sha256.Sum256([]byte(key)))
		if !ok || account == nil {
			api.refuse(w, ident.NewRequestID(), refuse.New(refuse.UnknownAccount, "the header Authorization needs \"Bearer\" and the key of a client account"))
			return
		}
		next(w, r, tree, account)
	}
}

func (api *CallerAPI) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !api.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n")) //nolint:errcheck // the caller may be gone.
}

// modelHandler returns the handler for requests to model runners.
func (api *CallerAPI) modelHandler(form intake.Form) accountHandler {
	return func(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
		release, refusal := api.admit(r, tree, account)
		if refusal != nil {
			api.refuse(w, ident.NewRequestID(), refusal)
			return
		}
		defer release()
		setReadDeadline(w, tree.Limits.BodyTimeout)
		req, refusal := intake.ParseModel(r, form, tree.Limits, time.Now())
		if refusal != nil {
			api.refuse(w, req.ID, refusal)
			return
		}
		setReadDeadline(w, 0)
		pool := tree.PoolFor(account, ident.ModelRunner, req.Name)
		if pool == nil {
			api.refuse(w, req.ID, refuse.New(refuse.UnknownModel, "the account's team has no model "+quoted(req.Name)))
			return
		}
		api.serve(w, r, tree, account, pool, req)
	}
}

// handleService serves a request to an application runner.
func (api *CallerAPI) handleService(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
	release, refusal := api.admit(r, tree, account)
	if refusal != nil {
		api.refuse(w, ident.NewRequestID(), refusal)
		return
	}
	defer release()
	name := chi.URLParam(r, "name")
	req, refusal := intake.ParseService(r, name, chi.URLParam(r, "*"), tree.Limits, time.Now())
	if refusal != nil {
		api.refuse(w, req.ID, refusal)
		return
	}
	pool := tree.PoolFor(account, ident.ApplicationRunner, name)
	if pool == nil {
		api.refuse(w, req.ID, refuse.New(refuse.UnknownService, "the account's team has no service "+quoted(name)))
		return
	}
	req.BodyReader = &uploadReader{r.Body, w, tree.Limits.BodyTimeout, tree.Limits.BodyBytes}
	api.serve(w, r, tree, account, pool, req)
}

func (api *CallerAPI) serve(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account, pool *config.Pool, req *intake.Request) {
	tier := account.TierOf(pool, req.OutputTokens)
	if !req.HasDeadline && tier.Deadline > 0 {
		req.Deadline = req.Arrived.Add(tier.Deadline)
	}
	api.Meter.Accepted(tier.Name, string(pool.ID))
	rw := api.newResponseWriter(w, r, tree, account, pool, req)
	job := &entry.Job{
		Request: req, Account: account, Pool: pool, Tier: tier, Version: tree.Version,
		Sink: rw.sink(), OnRun: rw.setRunID,
	}
	refusal := api.Serve(r.Context(), job)
	if refusal == nil {
		api.Meter.Answered(tier.Name, string(pool.ID), time.Now().Before(req.Deadline))
		return
	}
	api.Meter.Refused(tier.Name, string(refusal.Reason), string(refusal.RunState))
	rw.fail(refusal)
}

// admit waits until the node has capacity for the request, for at most BodyTimeout. If
// the request is admitted, the returned function must be called when it ends. The tier
// depends on the body, which is not read yet, so admit assumes the account's highest
// tier.
func (api *CallerAPI) admit(r *http.Request, tree *config.Tree, account *config.Account) (func(), *refuse.Refusal) {
	ctx, cancel := context.WithTimeout(r.Context(), tree.Limits.BodyTimeout)
	defer cancel()
	tier := account.HighestTier()
	if api.IsLedgerFull != nil && api.IsLedgerFull() {
		refusal := refuse.New(refuse.LedgerFull, "the object store has been away for so long that this node can keep no more proofs")
		refusal.RetryAfter = ledgerFullRetryAfter
		refusal.Tier = tier.Name
		return nil, refusal
	}
	release, admitted := api.Gate.Acquire(ctx, tier.Rank, min(r.ContentLength, tree.Limits.BodyBytes))
	if admitted {
		return release, nil
	}
	refusal := refuse.New(refuse.NodeFull, "this node holds as many requests as it can; use another address")
	refusal.RetryAfter = time.Second
	refusal.Tier = tier.Name
	return nil, refusal
}

// setReadDeadline sets the read deadline of the connection; a zero timeout
// removes it.
func setReadDeadline(w http.ResponseWriter, timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	http.NewResponseController(w).SetReadDeadline(deadline) //nolint:errcheck // not every ResponseWriter supports it.
}
