package proxy

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

// holdOffs holds the endpoints that want no requests from this node for some time,
// as they stated with status 503. The load pattern behind it is a full endpoint:
// each further request costs a round trip and is refused again, while the other
// endpoints have room. The zero value is empty. It is safe for concurrent use.
type holdOffs struct {
	mu sync.Mutex
	// until holds the end of each endpoint's time. Entries that have ended are
	// removed by the next call of endpoints.
	until map[ident.Endpoint]time.Time
}

// add excludes an endpoint for d from now on, unless it is excluded for longer
// already.
func (h *holdOffs) add(id ident.Endpoint, now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = map[ident.Endpoint]time.Time{}
	}
	if end := now.Add(d); end.After(h.until[id]) {
		h.until[id] = end
	}
}

// covers reports whether an endpoint is excluded.
func (h *holdOffs) covers(id ident.Endpoint, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until[id])
}

// endpoints returns the excluded endpoints, nil if there are none.
func (h *holdOffs) endpoints(now time.Time) []ident.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	var excluded []ident.Endpoint
	for id, end := range h.until {
		if !now.Before(end) {
			delete(h.until, id)
			continue
		}
		excluded = append(excluded, id)
	}
	return excluded
}
