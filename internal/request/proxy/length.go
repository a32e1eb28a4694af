package proxy

import (
	"sync"

	"goldcrestwick/internal/process/ident"
)

const (
	// initialOutputTokens is the estimate for a route none of whose streams has
	// completed yet.
	initialOutputTokens = 128.0
	// meanWeight is the weight of the latest stream in a route's exponentially
	// weighted moving average.
	meanWeight = 0.05
	// minRemainingDivisor divides the expected length into the part that a stream which is taken
	// up has left at least.
	minRemainingDivisor = 4
)

// lengthEstimator estimates the length in tokens of a route's answers from its
// completed streams, for requests without a length hint. The zero value is ready for use.
type lengthEstimator struct {
	mu    sync.Mutex
	means map[string]float64
}

// estimate returns the caller's length hint or, without one, the route's mean,
// at most the caller's output limit, less the events that the caller has already, but at least
// a part: a stream that is longer than expected goes on for an unknown time. For application
// runners it returns 0.
func (l *lengthEstimator) estimate(r *Request) ident.Tokens {
	if r.Pool.Kind == ident.ApplicationRunner {
		return 0
	}
	expected := r.Info.LengthHint
	if expected == 0 {
		l.mu.Lock()
		mean, ok := l.means[r.Route.Name]
		l.mu.Unlock()
		if !ok {
			mean = initialOutputTokens
		}
		expected = ident.Tokens(mean)
	}
	if r.Info.HasTokens {
		expected = min(expected, r.Info.MaxOutputTokens)
	}
	least := expected / minRemainingDivisor
	eventTokens := ident.Tokens(max(r.Pool.TokensPerEvent, 1))
	received := min(ident.Tokens(r.Info.LastEventID), expected/eventTokens) * eventTokens
	return max(expected-received, least)
}

// observe adds the length of a completed stream to the route's mean.
func (l *lengthEstimator) observe(r *Request, output ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.means == nil {
		l.means = map[string]float64{}
	}
	mean, ok := l.means[r.Route.Name]
	if !ok {
		mean = float64(output)
	}
	l.means[r.Route.Name] = mean + meanWeight*(float64(output)-mean)
}
