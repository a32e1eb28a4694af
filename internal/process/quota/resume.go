package quota

import (
	"time"

	"golang.org/x/time/rate"
)

// maxResumptionDebt bounds the debt in which requests that take up streams may leave a
// bucket, as a fraction of its burst. It stays within the platform's tolerance of 10%.
const maxResumptionDebt = 0.1

// acquireResumption takes the tokens of a request that takes up a stream, also from an empty
// bucket. Requests that begin a stream then wait until the debt is repaid.
//
// The load pattern behind it is the loss of many nodes: the callers of their streams come
// back at once, amid new requests that keep the bucket empty. A stream that is refused loses
// what its caller has already read.
func acquireResumption(l *rate.Limiter, now time.Time, n int) (retryAfter time.Duration, ok bool) {
	if l.Limit() == rate.Inf {
		return 0, true
	}
	if missing := -maxResumptionDebt*float64(l.Burst()) - l.TokensAt(now); missing >= 0 {
		return time.Duration((missing + 1) / float64(l.Limit()) * float64(time.Second)), false
	}
	take(l, now, n)
	return 0, true
}
