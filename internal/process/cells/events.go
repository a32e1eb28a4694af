package cells

import (
	"context"
	"sync"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// maxRecentPrompts bounds the prompts kept to resolve cache events.
const maxRecentPrompts = 2048

// CacheEvent is an endpoint's asynchronous report that only the first Kept tokens
// of a request's prompt are still cached.
type CacheEvent struct {
	Request ident.RequestID
	Kept    ident.Tokens
}

// promptHistory is a ring buffer of the prompts that a cell granted recently. A
// prompt that is granted again is removed with its first entry. The zero value is
// ready for use.
type promptHistory struct {
	mu      sync.Mutex
	prompts map[ident.RequestID][]ident.Fingerprint
	order   []ident.RequestID
	next    int
}

func (h *promptHistory) add(id ident.RequestID, fingerprints []ident.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.prompts == nil {
		h.prompts = map[ident.RequestID][]ident.Fingerprint{}
	}
	if len(h.order) < maxRecentPrompts {
		h.order = append(h.order, id)
	} else {
		delete(h.prompts, h.order[h.next])
		h.order[h.next] = id
		h.next = (h.next + 1) % maxRecentPrompts
	}
	h.prompts[id] = fingerprints
}

func (h *promptHistory) find(id ident.RequestID) []ident.Fingerprint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.prompts[id]
}

// readCacheEvents applies the cache events of an endpoint since the last read.
// For evictions without an event, the cached token counts of later answers
// correct the prefix index.
func (m *Manager) readCacheEvents(ctx context.Context, lc *localCell, spec sched.EndpointSpec) {
	if m.PollCacheEvents == nil || spec.Kind != ident.ModelRunner || !lc.isEventPoll(spec.ID) {
		return
	}
	events, next, err := m.PollCacheEvents(ctx, spec, lc.eventCursor(spec.ID))
	if err != nil {
		return
	}
	lc.setEventCursor(spec.ID, next)
	for _, e := range events {
		if fingerprints := lc.recentPrompts.find(e.Request); fingerprints != nil {
			lc.cell.PrefixEvicted(spec.ID, fingerprints, e.Kept)
		}
	}
}

// isEventPoll counts a load poll of an endpoint and reports whether the endpoint's
// cache events are to be read after it.
func (lc *localCell) isEventPoll(id ident.Endpoint) bool {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if lc.pollCounts == nil {
		lc.pollCounts = map[ident.Endpoint]int{}
	}
	lc.pollCounts[id]++
	return lc.pollCounts[id]%pollsPerEventRead == 0
}

func (lc *localCell) eventCursor(id ident.Endpoint) int {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.eventCursors[id]
}

func (lc *localCell) setEventCursor(id ident.Endpoint, next int) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if lc.eventCursors == nil {
		lc.eventCursors = map[ident.Endpoint]int{}
	}
	lc.eventCursors[id] = next
}
