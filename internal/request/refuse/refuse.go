// Package refuse defines the errors that callers receive instead of an answer.
//
// A refusal states its reason and whether the request may have been executed. The
// state is not_run only if that is certain: no part of the request was sent to an
// endpoint, or the endpoint reported that it did not execute it, and no earlier
// attempt with the same idempotency key can have been executed.
//
// # Usage
//
//	r := refuse.New(refuse.Overload, "all endpoints of the pool are busy")
//	r.RetryAfter = 3 * time.Second
//	r.Write(w, requestID)
package refuse

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"goldcrestwick/internal/process/ident"
)

// RunState is whether a request was executed, as far as is known.
type RunState string

// The run states. Unknown means that the request may have been executed.
const (
	NotRun  RunState = "not_run"
	Unknown RunState = "unknown"
)

// Reason is the cause of a refusal, as reported in answers, logs and metrics.
type Reason string

// The reasons. Each maps to one HTTP status, see Status.
const (
	BadRequest            Reason = "bad_request"
	BadJSON               Reason = "bad_json"
	BadDeadline           Reason = "bad_deadline"
	BadIdempotencyKey     Reason = "bad_idempotency_key"
	BadResumeToken        Reason = "bad_resume_token"
	MissingIdempotencyKey Reason = "missing_idempotency_key"
	UnknownAccount        Reason = "unknown_account"
	UnknownModel          Reason = "unknown_model"
	UnknownService        Reason = "unknown_service"
	NotFound              Reason = "not_found"
	BodyTooLarge          Reason = "body_too_large"
	BodyTooSlow           Reason = "body_too_slow"
	IdempotencyKeyReused  Reason = "idempotency_key_reused"
	AccountLimit          Reason = "account_limit"
	Overload              Reason = "overload"
	TierClosedForOverload Reason = "tier_closed_for_overload"
	// NodeFull means that the node has no capacity for another request.
	NodeFull Reason = "node_full"
	// DeadlineUnreachable means that no endpoint could finish the answer by the
	// deadline, DeadlinePassed that the deadline has passed.
	DeadlineUnreachable Reason = "deadline_unreachable"
	DeadlinePassed      Reason = "deadline_passed"
	// NoEndpoint means that no endpoint took the request, EndpointFailed that the
	// chosen endpoint could not be reached, gave no answer or reported an error, and
	// AnswerIncomplete that an answer could not be completed or belonged to another
	// request.
	NoEndpoint            Reason = "no_endpoint"
	ClaimStoreUnavailable Reason = "claim_store_unavailable"
	// EarlierRunUnknown means that an earlier request with the idempotency key may
	// have run, and that its node is gone or cannot be reached.
	EarlierRunUnknown Reason = "earlier_run_unknown"
	// OutcomeNoLongerHeld means that the answer of a request that may have run is
	// no longer kept, or that the endpoint to resume it from is gone.
	OutcomeNoLongerHeld Reason = "outcome_no_longer_held"
	EndpointFailed      Reason = "endpoint_failed"
	AnswerIncomplete    Reason = "answer_incomplete"
	// Quarantined means that endpoints crashed under requests with a trait of this one.
	Quarantined Reason = "quarantined"
	// OriginUnknown means that no node knows which software release began the stream that
	// the request takes up, and ReleaseGone that no endpoint runs it any more.
	OriginUnknown  Reason = "origin_unknown"
	ReleaseGone    Reason = "release_gone"
	LedgerFull     Reason = "ledger_full"
	CallerGone     Reason = "caller_gone"
	HeaderTooLarge Reason = "header_too_large"
	// NodeNotReady means that the node has not loaded its settings yet.
	NodeNotReady Reason = "node_not_ready"
	// NodeStopping means that the node stops before it could have given the whole answer.
	NodeStopping Reason = "node_stopping"
)

var httpStatuses = map[Reason]int{
	BadRequest: http.StatusBadRequest, BadJSON: http.StatusBadRequest,
	BadDeadline: http.StatusBadRequest, BadIdempotencyKey: http.StatusBadRequest,
	BadResumeToken: http.StatusBadRequest, MissingIdempotencyKey: http.StatusBadRequest,
	UnknownAccount: http.StatusUnauthorized, UnknownModel: http.StatusNotFound,
	UnknownService: http.StatusNotFound, NotFound: http.StatusNotFound,
	BodyTooLarge: http.StatusRequestEntityTooLarge, BodyTooSlow: http.StatusRequestTimeout,
	IdempotencyKeyReused: http.StatusUnprocessableEntity, AccountLimit: http.StatusTooManyRequests,
	Overload: http.StatusServiceUnavailable, TierClosedForOverload: http.StatusServiceUnavailable,
	NodeFull: http.StatusServiceUnavailable, DeadlineUnreachable: http.StatusServiceUnavailable,
	DeadlinePassed: http.StatusGatewayTimeout, NoEndpoint: http.StatusServiceUnavailable,
	ClaimStoreUnavailable: http.StatusServiceUnavailable, EarlierRunUnknown: http.StatusConflict,
	OutcomeNoLongerHeld: http.StatusConflict, EndpointFailed: http.StatusBadGateway,
	AnswerIncomplete: http.StatusBadGateway, LedgerFull: http.StatusServiceUnavailable,
	CallerGone: http.StatusRequestTimeout, HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	NodeNotReady: http.StatusServiceUnavailable, NodeStopping: http.StatusGatewayTimeout, Quarantined: http.StatusServiceUnavailable,
	OriginUnknown: http.StatusServiceUnavailable, ReleaseGone: http.StatusServiceUnavailable,
}

// Refusal is the error of a refused or failed request.
type Refusal struct {
	Reason   Reason
	Message  string
	RunState RunState
	// Tier is empty if the tier was not yet known.
	Tier string
	// RetryAfter is the time after which a retry is worthwhile; 0 means that a
	// retry is not.
	RetryAfter time.Duration
}

// New returns a refusal of a request that was not executed.
func New(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message, RunState: NotRun}
}

// NewQuarantined returns the refusal of a request with a quarantined trait.
func NewQuarantined(trait ident.Trait, until time.Time) *Refusal {
	r := New(Quarantined, "endpoints crashed under requests with the trait "+strconv.FormatUint(uint64(trait), 16)+" of this one")
	r.RetryAfter = time.Until(until)
	return r
}

// NewMayHaveRun returns a refusal of a request that may have been executed.
func NewMayHaveRun(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message, RunState: Unknown}
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// Status returns the HTTP status of the refusal. For a request that may have been executed it is
// never one by which callers conclude that it was not.
func (r *Refusal) Status() int {
	s, ok := httpStatuses[r.Reason]
	if !ok {
		return http.StatusInternalServerError
	}
	switch s {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if r.MayHaveRun() {
			return http.StatusBadGateway
		}
	}
	return s
}

// responseBody is the JSON body of a refusal.
type responseBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type       string   `json:"type"`
	Reason     Reason   `json:"reason"`
	Message    string   `json:"message"`
	Tier       string   `json:"tier,omitempty"`
	Run        RunState `json:"run"`
	RetryAfter int      `json:"retry_after,omitempty"`
	RequestID  string   `json:"request_id"`
}

// JSON returns the response body of the refusal. The field retry_after is in
// seconds, rounded up.
func (r *Refusal) JSON(id ident.RequestID) []byte {
	raw, err := json.Marshal(responseBody{errorDetail{
		Type: "refused", Reason: r.Reason, Message: r.Message, Tier: r.Tier, Run: r.RunState,
		RetryAfter: r.retryAfterSeconds(), RequestID: string(id),
	}})
	if err != nil {
		panic(err) // strings and numbers can always be encoded.
	}
	return raw
}

// MayHaveRun reports whether a request that ended with r may have been executed.
// It returns true if r is nil, which means success.
func (r *Refusal) MayHaveRun() bool { return r == nil || r.RunState != NotRun }

// Write sends the refusal as an HTTP response.
func (r *Refusal) Write(w http.ResponseWriter, id ident.RequestID) {
	if s := r.retryAfterSeconds(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	r.WriteAs(w, id, r.Status())
}

// WriteAs sends the refusal with the given HTTP status. It sets Content-Length, so
// that the caller can read the complete body even if the connection is closed
// afterwards.
func (r *Refusal) WriteAs(w http.ResponseWriter, id ident.RequestID, status int) {
	body := append(r.JSON(id), '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // the caller may be gone.
}

// retryAfterSeconds returns RetryAfter in seconds, rounded up.
func (r *Refusal) retryAfterSeconds() int { return int(math.Ceil(r.RetryAfter.Seconds())) }
