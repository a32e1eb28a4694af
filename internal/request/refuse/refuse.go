// Package refuse describes every answer that is not the one asked for.
//
// A refusal says why, and what is known of the request's run. It says not_run
// only when that is certain: nothing of the request left for an endpoint, and
// no earlier attempt under the same idempotency key can have.
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

	"goldcrestwick/internal/request/ident"
)

// RunState says what is known of a request's run.
type RunState string

// What can be known.
const (
	NotRun  RunState = "not_run"
	Unknown RunState = "unknown"
)

// Reason names the cause of a refusal in answers, logs and metrics.
type Reason string

// The reasons. Each has one HTTP status, see Status.
const (
	BadRequest          Reason = "bad_request"
	BadJSON             Reason = "bad_json"
	BadDeadline         Reason = "bad_deadline"
	BadKey              Reason = "bad_idempotency_key"
	BadResume           Reason = "bad_resume_token"
	MissingKey          Reason = "missing_idempotency_key"
	NoAccount           Reason = "unknown_account"
	UnknownModel        Reason = "unknown_model"
	UnknownService      Reason = "unknown_service"
	NotFound            Reason = "not_found"
	BodyTooLarge        Reason = "body_too_large"
	BodyTooSlow         Reason = "body_too_slow"
	KeyReused           Reason = "idempotency_key_reused"
	AccountLimit        Reason = "account_limit"
	Overload            Reason = "overload"
	TierClosed          Reason = "tier_closed_for_overload"
	NodeFull            Reason = "node_full"
	DeadlineUnreachable Reason = "deadline_unreachable"
	DeadlinePassed      Reason = "deadline_passed"
	NoEndpoint          Reason = "no_endpoint"
	StoreDown           Reason = "claim_store_unavailable"
	EarlierRun          Reason = "earlier_run_unknown"
	OutcomeGone         Reason = "outcome_no_longer_held"
	EndpointFailed      Reason = "endpoint_failed"
	AnswerBroken        Reason = "answer_incomplete"
	LedgerFull          Reason = "ledger_full"
	CallerGone          Reason = "caller_gone"
	HeaderTooLarge      Reason = "header_too_large"
	NotReady            Reason = "node_not_ready"
)

var statuses = map[Reason]int{
	BadRequest: http.StatusBadRequest, BadJSON: http.StatusBadRequest,
	BadDeadline: http.StatusBadRequest, BadKey: http.StatusBadRequest,
	BadResume: http.StatusBadRequest, MissingKey: http.StatusBadRequest,
	NoAccount: http.StatusUnauthorized, UnknownModel: http.StatusNotFound,
	UnknownService: http.StatusNotFound, NotFound: http.StatusNotFound,
	BodyTooLarge: http.StatusRequestEntityTooLarge, BodyTooSlow: http.StatusRequestTimeout,
	KeyReused: http.StatusUnprocessableEntity, AccountLimit: http.StatusTooManyRequests,
	Overload: http.StatusServiceUnavailable, TierClosed: http.StatusServiceUnavailable,
	NodeFull: http.StatusServiceUnavailable, DeadlineUnreachable: http.StatusServiceUnavailable,
	DeadlinePassed: http.StatusGatewayTimeout, NoEndpoint: http.StatusServiceUnavailable,
	StoreDown: http.StatusServiceUnavailable, EarlierRun: http.StatusConflict,
	OutcomeGone: http.StatusConflict, EndpointFailed: http.StatusBadGateway,
	AnswerBroken: http.StatusBadGateway, LedgerFull: http.StatusServiceUnavailable,
	CallerGone: http.StatusRequestTimeout, HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	NotReady: http.StatusServiceUnavailable,
}

// Refusal is one refused or failed request.
type Refusal struct {
	Reason  Reason
	Message string
	Run     RunState
	// Tier is empty when the tier was not known yet.
	Tier string
	// RetryAfter is when a retry is worth while; 0 means that none is.
	RetryAfter time.Duration
}

// New returns a refusal of a request that was not run.
func New(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Run: NotRun}
}

// Uncertain returns a refusal of a request that may have been run.
func Uncertain(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Run: Unknown}
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if s, ok := statuses[r.Reason]; ok {
		return s
	}
	return http.StatusInternalServerError
}

type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Type       string   `json:"type"`
	Reason     Reason   `json:"reason"`
	Message    string   `json:"message"`
	Tier       string   `json:"tier,omitempty"`
	Run        RunState `json:"run"`
	RetryAfter int      `json:"retry_after,omitempty"`
	RequestID  string   `json:"request_id"`
}

// JSON returns the body of the refusal; retry_after is in whole seconds.
func (r *Refusal) JSON(id ident.RequestID) []byte {
	raw, err := json.Marshal(body{detail{
		Type: "refused", Reason: r.Reason, Message: r.Message, Tier: r.Tier, Run: r.Run,
		RetryAfter: r.seconds(), RequestID: string(id),
	}})
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return raw
}

// MayHaveRun reports whether a request that ended with this refusal, or with
// none, may have run.
func (r *Refusal) MayHaveRun() bool { return r == nil || r.Run != NotRun }

// Write sends the refusal as an HTTP answer.
func (r *Refusal) Write(w http.ResponseWriter, id ident.RequestID) {
	if s := r.seconds(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	r.WriteAs(w, id, r.Status())
}

// WriteAs sends the refusal with a status of its own. Its length is announced,
// so that the caller has the whole of it before the connection ends.
func (r *Refusal) WriteAs(w http.ResponseWriter, id ident.RequestID, status int) {
	body := append(r.JSON(id), '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // the caller may be gone.
}

func (r *Refusal) seconds() int { return int(math.Ceil(r.RetryAfter.Seconds())) }
