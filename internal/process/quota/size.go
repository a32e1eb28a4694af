package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// refusedTimeConstant is the time constant of the decay of refusedSize.
	refusedTimeConstant = 2 * time.Second
	// maxLevelDivisor bounds the level that a bucket must have for a small request: its
	// burst divided by this.
	maxLevelDivisor = 4
)

// refusedSize is the size in tokens of the largest request that a bucket refused lately. It
// decays exponentially.
type refusedSize struct {
	tokens  float64
	updated time.Time
}

func (s *refusedSize) at(now time.Time) int {
	if dt := now.Sub(s.updated); dt > 0 && !s.updated.IsZero() {
		s.tokens *= math.Exp(-dt.Seconds() / refusedTimeConstant.Seconds())
	}
	s.updated = now
	return int(s.tokens)
}

// acquireTokens takes n tokens from a bucket like acquire, but only if the bucket has
// enough for the largest request that it refused lately, up to a part of its burst.
//
// The load pattern behind it is an account that asks for a multiple of its limit. Its
// bucket is nearly empty all the time; if that were enough for small requests, they would
// take what comes in, and large ones would never find enough.
func acquireTokens(l *rate.Limiter, refused *refusedSize, now time.Time, n int) (retryAfter time.Duration, ok bool) {
	if l.Limit() == rate.Inf {
		return 0, true
	}
	level := min(refused.at(now), l.Burst()/maxLevelDivisor)
	if missing := float64(level) - l.TokensAt(now); level > n && missing > 0 {
		return time.Duration(missing / float64(l.Limit()) * float64(time.Second)), false
	}
	retryAfter, ok = acquire(l, now, n)
	if !ok {
		refused.tokens = max(refused.tokens, float64(n))
	}
	return retryAfter, ok
}
