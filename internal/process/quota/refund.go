package quota

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// refundTTL is the time after their acquisition in which tokens can be
	// refunded.
	// The bucket may have been full in between, so that a refund exceeds the
	// limit by at most the rate times refundTTL. The platform's tolerance of
	// 10% in a window of 8 s allows that much.
	refundTTL = 750 * time.Millisecond
	// refundDelay is how long a refund waits for the account's next request to
	// the coordinator before it is sent on its own.
	refundDelay = 50 * time.Millisecond
)

// Release ends an admitted request. If the request did not run, the tokens that
// it acquired are refunded.
type Release func(ran bool)

// AcquireRequest is a request to an account's coordinator.
type AcquireRequest struct {
	Tokens ident.Tokens
	// Refund is the refund accumulated since the last AcquireRequest.
	Refund Refund
	// IsResumption is set if the request takes up a stream.
	IsResumption bool
	// RefundOnly makes the request acquire nothing.
	RefundOnly bool
}

// Refund is the total of the requests and tokens acquired for requests that did not
// run.
type Refund struct {
	Requests int
	Tokens   ident.Tokens
}

// pendingRefund is an acquisition whose request did not run.
type pendingRefund struct {
	acquiredAt time.Time
	tokens     ident.Tokens
}

// scheduleRefund sends the pending refunds to the coordinator after refundDelay,
// unless the account's next request carries them first.
func (l *Limiter) scheduleRefund(a *config.Account, acct *account) {
	if len(acct.pendingRefunds) != 1 {
		return // the first pending refund has started the timer.
	}
	time.AfterFunc(refundDelay, func() {
		l.mu.Lock()
		refund := acct.takeRefund(time.Now())
		l.mu.Unlock()
		if refund.Requests > 0 {
			l.Acquire(context.Background(), a, AcquireRequest{Refund: refund, RefundOnly: true})
		}
	})
}

// takeRefund returns the sum of the pending refunds within refundTTL and clears
// them all.
func (a *account) takeRefund(now time.Time) Refund {
	var sum Refund
	for _, p := range a.pendingRefunds {
		if now.Sub(p.acquiredAt) < refundTTL {
			sum.Requests++
			sum.Tokens = sum.Tokens.Plus(p.tokens)
		}
	}
	a.pendingRefunds = a.pendingRefunds[:0]
	return sum
}

// credit adds n tokens to a bucket. The limiter caps the bucket at its burst the
// next time it is used.
func credit(l *rate.Limiter, n int, now time.Time) {
	if n > 0 && l.Limit() != rate.Inf {
		l.ReserveN(now, -n)
	}
}
