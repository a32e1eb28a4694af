package quota

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// backLife is how long after it was drawn a request can still give back
	// what it took. Later the bucket may have been full meanwhile, and giving
	// back would add to it: at most what the rate gives in that time, which
	// the tolerance of a tenth in the platform's window of 8 s allows.
	backLife = 750 * time.Millisecond
	// backDelay is how long what is given back waits for the next request that
	// is drawn from the same home.
	backDelay = 50 * time.Millisecond
)

// Release ends an admitted request. One that did not run gives back what it
// took of the limits.
type Release func(ran bool)

// AcquireRequest is a request for an account's home.
type AcquireRequest struct {
	Tokens ident.Tokens
	// Refund is what requests gave back since the last AcquireRequest.
	Refund Refund
	// RefundOnly takes nothing.
	RefundOnly bool
}

// Refund is what requests that did not run took before.
type Refund struct {
	Requests int
	Tokens   ident.Tokens
}

// drawn is a request that did not run.
type drawn struct {
	at     time.Time
	tokens ident.Tokens
}

// returnLater tells the home what was given back, unless the next request does.
func (k *Limiter) returnLater(a *config.Account, at *account) {
	if len(at.unused) != 1 {
		return // a timer runs for the ones before.
	}
	time.AfterFunc(backDelay, func() {
		k.mu.Lock()
		back := at.takeBack(time.Now())
		k.mu.Unlock()
		if back.Requests > 0 {
			k.Acquire(context.Background(), a, AcquireRequest{Refund: back, RefundOnly: true})
		}
	})
}

// takeBack sums up what was given back and is still fresh, and forgets it.
func (a *account) takeBack(now time.Time) Refund {
	var b Refund
	for _, d := range a.unused {
		if now.Sub(d.at) < backLife {
			b.Requests++
			b.Tokens += d.tokens
		}
	}
	a.unused = a.unused[:0]
	return b
}

// giveBack adds to a bucket up to its burst: the next look caps it there.
func giveBack(l *rate.Limiter, n int, now time.Time) {
	if n > 0 && l.Limit() != rate.Inf {
		l.ReserveN(now, -n)
	}
}
