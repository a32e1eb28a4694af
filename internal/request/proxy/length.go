package proxy

import (
	"sync"

	"goldcrestwick/internal/request/ident"
)

const (
	// firstLength is expected of a route's answers before any has ended.
	firstLength = 128.0
	// lengthShare is the weight of the last answer in a route's mean.
	lengthShare = 0.05
)

// lengths learns how long the answers of each route are, for callers that do
// not say. The zero value is ready for use.
type lengths struct {
	mu    sync.Mutex
	means map[string]float64
}

// expect returns the caller's guess, or the mean of the route, within what the
// caller allows.
func (l *lengths) expect(r *Request) ident.Tokens {
	if r.Pool.Kind == ident.ApplicationRunner {
		return 0
	}
	expected := r.Info.Hint
	if expected == 0 {
		l.mu.Lock()
		mean, ok := l.means[r.Route.Name]
		l.mu.Unlock()
		if !ok {
			mean = firstLength
		}
		expected = ident.Tokens(mean)
	}
	if r.Info.HasTokens {
		expected = min(expected, r.Info.Output)
	}
	return expected
}

func (l *lengths) learn(r *Request, output ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.means == nil {
		l.means = map[string]float64{}
	}
	mean, ok := l.means[r.Route.Name]
	if !ok {
		mean = float64(output)
	}
	l.means[r.Route.Name] = mean + lengthShare*(float64(output)-mean)
}
