package proxy

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

// limitTTL is how long a named limit is remembered without an answer that names it
// again. Endpoints that are gone give no answers.
const limitTTL = time.Minute

// endpointLimits holds the rate limits that endpoints named in their answers to this
// node. The zero value is empty. It is safe for concurrent use.
type endpointLimits struct {
	mu    sync.Mutex
	known map[ident.Endpoint]namedLimit
}

type namedLimit struct {
	rate ident.Rate
	at   time.Time
}

// observe records the limit of an answer, 0 for none. It reports whether it differs from
// that of the endpoint's last answer.
func (l *endpointLimits) observe(id ident.Endpoint, rate ident.Rate, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.known[id]
	switch {
	case rate > 0 && l.known == nil:
		l.known = map[ident.Endpoint]namedLimit{id: {rate, now}}
	case rate > 0:
		l.known[id] = namedLimit{rate, now}
	default:
		delete(l.known, id)
	}
	return old.rate != rate
}

// all returns the limits by endpoint, nil if there are none.
func (l *endpointLimits) all(now time.Time) map[ident.Endpoint]ident.Rate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rates map[ident.Endpoint]ident.Rate
	for id, limit := range l.known {
		if now.Sub(limit.at) > limitTTL {
			delete(l.known, id)
			continue
		}
		if rates == nil {
			rates = map[ident.Endpoint]ident.Rate{}
		}
		rates[id] = limit.rate
	}
	return rates
}

// KnownLimits returns the limits that endpoints named in their answers to this node, nil
// if there are none.
func (p *Proxy) KnownLimits() map[ident.Endpoint]ident.Rate { return p.limits.all(time.Now()) }
