// Package front serves callers and operators over HTTP.
//
// Callers get the chat and completion forms of model runners, the services of
// application runners and the list of entry addresses. Operators get metrics
// and explanations on an address of their own.
//
// # Usage
//
//	f := &front.Front{Tree: tree, Serve: entry.Serve, Addresses: addresses}
//	server := f.Server()
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
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// headerSlack is how far past the limit a header is still read, so that
	// the refusal can say why.
	headerSlack = 32 << 10
	bearer      = "Bearer "
	ledgerRetry = 30 * time.Second
)

// Address is one entry address for callers.
type Address struct {
	Node    ident.NodeID
	Address string
	Zone    ident.AvailabilityZone
}

// ResumePoint says where a broken answer can be taken up.
type ResumePoint struct {
	Account  ident.ClientAccount
	Pool     ident.PoolID
	Endpoint ident.Endpoint
	Request  ident.RequestID
	Form     intake.Form
}

// Front serves HTTP. Set the exported fields before use.
type Front struct {
	Tree func() *config.Tree
	// Serve answers a job.
	Serve func(context.Context, *entry.Job) *refuse.Refusal
	// Addresses returns the addresses for an account, in the order in which to
	// use them.
	Addresses func(*config.Account, ident.AvailabilityZone) []Address
	// IsReady reports whether the node takes work.
	IsReady func() bool
	// Resume streams the rest of an answer whose entry node died.
	Resume func(ctx context.Context, account ident.ClientAccount, token string, from int, sink Sinker) *refuse.Refusal
	// Token makes a resume token for a run.
	Token func(ResumePoint) string
	Meter *meter.Meter
	Gate  *gate.Gate
	// IsFull reports whether the node can prove no more and must not accept;
	// nil is never.
	IsFull func() bool
}

// Server returns the callers' server with the time limits of the settings.
func (f *Front) Server() *http.Server {
	limits := f.Tree().Limits
	return &http.Server{
		Handler:           linger.Handler(f.routes()),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.HeaderBytes) + headerSlack,
	}
}

func (f *Front) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(f.checkHeader)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }) //nolint:errcheck // the caller may be gone.
	r.Get("/readyz", f.ready)
	r.Get("/v1/addresses", f.authenticated(f.addresses))
	r.Get("/v1/models", f.authenticated(f.models))
	r.Post("/v1/chat/completions", f.authenticated(f.model(intake.Chat)))
	r.Post("/v1/completions", f.authenticated(f.model(intake.Completion)))
	r.Get("/v1/resume", f.authenticated(f.resume))
	r.HandleFunc("/services/{name}", f.authenticated(f.service))
	r.HandleFunc("/services/{name}/*", f.authenticated(f.service))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		f.refuse(w, ident.NewRequestID(), refuse.New(refuse.NotFound, "there is nothing at "+r.URL.Path))
	})
	return r
}

// refuse counts and sends a refusal.
func (f *Front) refuse(w http.ResponseWriter, id ident.RequestID, r *refuse.Refusal) {
	f.Meter.Refused(r.Tier, string(r.Reason), string(r.Run))
	w.Header().Set(requestIDHeader, string(id))
	r.Write(w, id)
}

const requestIDHeader = "X-Request-Id"

// checkHeader refuses a header over the limit while it can still say so.
func (f *Front) checkHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := int64(len(r.RequestURI))
		for name, values := range r.Header {
			for _, v := range values {
				size += int64(len(name) + len(v))
			}
		}
		if size > f.Tree().Limits.HeaderBytes {
			f.refuse(w, ident.NewRequestID(), refuse.New(refuse.HeaderTooLarge, "the header is longer than the limit"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type accountHandler func(http.ResponseWriter, *http.Request, *config.Tree, *config.Account)

// authenticated finds the account of the bearer key. Only the key's hash is
// compared, so the time it takes tells nothing of the key.
func (f *Front) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tree := f.Tree()
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		account := tree.AccountByKey(sha256.Sum256([]byte(key)))
		if !ok || account == nil {
			f.refuse(w, ident.NewRequestID(), refuse.New(refuse.NoAccount, "the header Authorization needs \"Bearer\" and the key of a client account"))
			return
		}
		next(w, r, tree, account)
	}
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if !f.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n")) //nolint:errcheck // the caller may be gone.
}

// model serves a request for a model runner.
func (f *Front) model(form intake.Form) accountHandler {
	return func(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
		leave, refusal := f.enter(r, tree, account)
		if refusal != nil {
			f.refuse(w, ident.NewRequestID(), refusal)
			return
		}
		defer leave()
		setReadDeadline(w, tree.Limits.BodyTimeout)
		req, refusal := intake.Model(r, form, tree.Limits, time.Now())
		if refusal != nil {
			f.refuse(w, req.ID, refusal)
			return
		}
		setReadDeadline(w, 0)
		pool := tree.PoolFor(account, ident.ModelRunner, req.Name)
		if pool == nil {
			f.refuse(w, req.ID, refuse.New(refuse.UnknownModel, "the account's team has no model "+quoted(req.Name)))
			return
		}
		f.serve(w, r, tree, account, pool, req)
	}
}

// service serves a request for an application runner.
func (f *Front) service(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
	leave, refusal := f.enter(r, tree, account)
	if refusal != nil {
		f.refuse(w, ident.NewRequestID(), refusal)
		return
	}
	defer leave()
	name := chi.URLParam(r, "name")
	req, refusal := intake.Service(r, name, chi.URLParam(r, "*"), tree.Limits, time.Now())
	if refusal != nil {
		f.refuse(w, req.ID, refusal)
		return
	}
	pool := tree.PoolFor(account, ident.ApplicationRunner, name)
	if pool == nil {
		f.refuse(w, req.ID, refuse.New(refuse.UnknownService, "the account's team has no service "+quoted(name)))
		return
	}
	req.Upload = &slowReader{r.Body, w, tree.Limits.BodyTimeout, tree.Limits.BodyBytes}
	f.serve(w, r, tree, account, pool, req)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account, pool *config.Pool, req *intake.Request) {
	tier := account.TierOf(pool, req.Output)
	if !req.HasDeadline && tier.Deadline > 0 {
		req.Deadline = req.Arrived.Add(tier.Deadline)
	}
	f.Meter.Accepted(tier.Name, string(pool.ID))
	out := f.writer(w, r, tree, account, pool, req)
	job := &entry.Job{
		Request: req, Account: account, Pool: pool, Tier: tier, Version: tree.Version,
		Sink: out.sink(), Run: out.setRun,
	}
	refusal := f.Serve(r.Context(), job)
	if refusal == nil {
		f.Meter.Answered(tier.Name, string(pool.ID), time.Now().Before(req.Deadline))
		return
	}
	f.Meter.Refused(tier.Name, string(refusal.Reason), string(refusal.Run))
	out.fail(refusal)
}

// enter admits a request to this node's memory. The body is not read yet, so
// the account's requests count as the highest tier that they can have.
func (f *Front) enter(r *http.Request, tree *config.Tree, account *config.Account) (func(), *refuse.Refusal) {
	ctx, cancel := context.WithTimeout(r.Context(), tree.Limits.BodyTimeout)
	defer cancel()
	tier := account.HighestTier()
	if f.IsFull != nil && f.IsFull() {
		refusal := refuse.New(refuse.LedgerFull, "the object store has been away for so long that this node can keep no more proofs")
		refusal.RetryAfter = ledgerRetry
		refusal.Tier = tier.Name
		return nil, refusal
	}
	leave, entered := f.Gate.Enter(ctx, tier.Rank, min(r.ContentLength, tree.Limits.BodyBytes))
	if entered {
		return leave, nil
	}
	refusal := refuse.New(refuse.NodeFull, "this node holds as many requests as it can; use another address")
	refusal.RetryAfter = time.Second
	refusal.Tier = tier.Name
	return nil, refusal
}

func setReadDeadline(w http.ResponseWriter, after time.Duration) {
	var at time.Time
	if after > 0 {
		at = time.Now().Add(after)
	}
	http.NewResponseController(w).SetReadDeadline(at) //nolint:errcheck // not every writer has one.
}
