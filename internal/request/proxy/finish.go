package proxy

import (
	"context"
	"time"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/refuse"
)

// attemptResult is the result of one attempt.
type attemptResult uint8

const (
	// answered: the caller got the answer, or a truncated one that cannot be
	// resumed.
	answered attemptResult = iota
	// notSent: no byte of the request was sent.
	notSent
	// rejected: the endpoint reported that it did not run the request.
	rejected
	// runFailed: the endpoint ran the request and answered with a 5xx status.
	runFailed
	// interrupted: the request may have run, and its answer is not complete.
	interrupted
)

// outcome describes how an attempt ended.
type outcome struct {
	result attemptResult
	// reason says why the attempt failed, "" if it did not.
	reason string
	// completion is reported to the cell that granted the attempt.
	completion sched.Completion
}

// canRetry reports whether another attempt may follow one with the given outcome.
// Unless that attempt sent nothing, it also takes a retry from the budget.
func (p *Proxy) canRetry(ctx context.Context, s *requestState, out outcome) bool {
	if ctx.Err() != nil || time.Until(s.Deadline) < minRetryTime {
		return false
	}
	switch out.result {
	case notSent:
		s.unsentAttempts++
		return s.unsentAttempts < maxUnsentAttempts
	case rejected:
	case runFailed, interrupted:
		if !s.Route.IsRetryable() {
			return false
		}
	default:
		return false
	}
	return s.attempts < s.Route.MaxAttempts && p.Budget.TakeRetry(s.Pool.ID, time.Now())
}

// finish returns the result of a request after its last attempt. If no answer was
// started, it writes the last failure answer to the caller, if there is one.
func (p *Proxy) finish(ctx context.Context, s *requestState, out outcome) Result {
	s.result.Attempts = s.attempts
	if out.reason != "" {
		s.result.Reason = out.reason
	}
	switch {
	case out.result == answered:
	case s.stream.headSent:
		s.result.Truncated = true
		if isEndedByStop(ctx) {
			s.result.CutAfter, s.result.Pool = s.stream.lastEventID, s.Pool.ID
		}
	case s.failureAnswer != nil:
		s.failureAnswer.write(s.w)
		s.result.Status = s.failureAnswer.status
	case s.parent.Err() != nil:
		s.result.Refusal = refuse.NewMayHaveRun(refuse.CallerGone, "the caller went away")
	case isEndedByStop(ctx) && !s.mayHaveRun:
		s.result.Refusal = p.newStopRefusal()
	case isEndedByStop(ctx):
		s.result.Refusal = refuse.NewMayHaveRun(refuse.NodeStopping, ErrStopped.Error())
	case !s.mayHaveRun:
		s.result.Refusal = noEndpointRefusal(out)
	case ctx.Err() != nil:
		s.result.Refusal = refuse.NewMayHaveRun(refuse.DeadlinePassed, "no whole answer came by the deadline")
	default:
		s.result.Refusal = refuse.NewMayHaveRun(refuse.EndpointFailed, out.reason)
	}
	return s.result
}

// noEndpointRetryAfter is the wait after which an endpoint without capacity may
// accept a request again.
const noEndpointRetryAfter = 300 * time.Millisecond

func noEndpointRefusal(out outcome) *refuse.Refusal {
	r := refuse.New(refuse.NoEndpoint, "no endpoint took the request: "+out.reason)
	r.RetryAfter = noEndpointRetryAfter
	return r
}

// finishWithoutGrant returns the result of a request whose last grant request was
// refused: that refusal, or the result of the earlier attempts if one of them may
// have run or produced an answer.
func (p *Proxy) finishWithoutGrant(ctx context.Context, s *requestState, refusal *refuse.Refusal) Result {
	if !s.hasNotRun() {
		return p.finish(ctx, s, outcome{result: interrupted, reason: "no endpoint for a repeat: " + string(refusal.Reason)})
	}
	s.result.Attempts = s.attempts
	s.result.Reason = string(refusal.Reason)
	s.result.Refusal = refusal
	return s.result
}
