package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// acquireBoth takes a request and its tokens from two buckets. If one refuses, nothing is
// taken and retryAfter is the time until it has capacity.
func acquireBoth(requests, tokens *rate.Limiter, refused *refusedSize, req AcquireRequest, now time.Time) (result Result, retryAfter time.Duration) {
	acquireRequest := acquire
	if req.IsResumption {
		acquireRequest = acquireResumption
	}
	if retryAfter, ok := acquireRequest(requests, now, 1); !ok {
		return RequestsLimit, retryAfter
	}
	ok := true
	if req.IsResumption {
		retryAfter, ok = acquireResumption(tokens, now, int(req.Tokens))
	} else {
		retryAfter, ok = acquireTokens(tokens, refused, now, int(req.Tokens))
	}
	if !ok {
		credit(requests, 1, now)
		return TokensLimit, retryAfter
	}
	return Admitted, 0
}

// acquire takes n tokens from a bucket, or returns the time until it can. A
// request larger than the burst needs a full bucket and leaves it in debt.
func acquire(l *rate.Limiter, now time.Time, n int) (time.Duration, bool) {
	if l.Limit() == rate.Inf {
		return 0, true
	}
	first := min(n, l.Burst())
	r := l.ReserveN(now, first)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait, false
	}
	take(l, now, n-first)
	return 0, true
}

// take takes n tokens from a bucket, which may leave it in debt. Limiters reserve no more than
// their burst at once, so that the burst is raised meanwhile.
func take(l *rate.Limiter, now time.Time, n int) {
	if n <= 0 || l.Limit() == rate.Inf {
		return
	}
	burst := l.Burst()
	l.SetBurstAt(now, max(n, burst))
	l.ReserveN(now, n)
	l.SetBurstAt(now, burst)
}

// draw takes n tokens from a bucket, unless it is in debt by its burst already.
func draw(l *rate.Limiter, n int, now time.Time) {
	if l.Limit() == rate.Inf {
		return
	}
	if level := l.TokensAt(now) + float64(l.Burst()); level > 0 {
		take(l, now, min(n, int(math.Ceil(level/float64(l.Burst())))*l.Burst()))
	}
}

// updateLimiter returns l with its rate and burst set to a share of the given
// ones, or a new limiter with a full bucket if l is nil or unlimited. A rate of 0
// or less means unlimited.
func updateLimiter(l *rate.Limiter, perSecond, burstSize, share float64, now time.Time) *rate.Limiter {
	limit, burst := rate.Inf, 1
	if perSecond > 0 {
		limit = rate.Limit(perSecond * share)
		burst = max(int(min(burstSize*share, maxBurst)), 1)
	}
	if l == nil || l.Limit() == rate.Inf {
		return rate.NewLimiter(limit, burst)
	}
	if l.Limit() != limit || l.Burst() != burst {
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
	}
	return l
}

func burstOf(a *config.Account) float64 {
	if a.BurstTokens > 0 {
		return a.BurstTokens
	}
	return a.TokensPerSecond * burstPeriod.Seconds()
}

// exceedsLimit reports whether a request is so large that the account's limit on tokens never allows
// it, and returns the time in which the rate adds up to it.
func exceedsLimit(a *config.Account, tokens ident.Tokens) (retryAfter time.Duration, ok bool) {
	if a.TokensPerSecond <= 0 {
		return 0, false
	}
	if tokens >= 0 && float64(tokens) <= burstOf(a)+a.TokensPerSecond*maxDebtTime.Seconds() {
		return 0, false
	}
	seconds := min(math.Abs(float64(tokens))/a.TokensPerSecond, maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}
