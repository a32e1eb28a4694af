package cells

import (
	"context"
	"sync"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
)

// maxRecent bounds the prompts remembered to understand cache events.
const maxRecent = 2048

// CacheEvent is an endpoint's late word that only the first tokens of a
// request's prompt are still cached.
type CacheEvent struct {
	Request ident.RequestID
	Kept    ident.Tokens
}

// recent remembers the prompts that a cell lately granted. The zero value is
// ready for use.
type recent struct {
	mu      sync.Mutex
	prompts map[ident.RequestID][]ident.Fingerprint
	order   []ident.RequestID
	next    int
}

func (r *recent) add(id ident.RequestID, prints []ident.Fingerprint) {
	if len(prints) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.prompts == nil {
		r.prompts = map[ident.RequestID][]ident.Fingerprint{}
	}
	if len(r.order) < maxRecent {
		r.order = append(r.order, id)
	} else {
		delete(r.prompts, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % maxRecent
	}
	r.prompts[id] = prints
}

func (r *recent) find(id ident.RequestID) []ident.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prompts[id]
}

// readEvents takes an endpoint's cache events since the last look. Events that
// the endpoint never published are made up for by the token counts of answers.
func (m *Manager) readEvents(ctx context.Context, o *owned, spec sched.EndpointSpec) {
	if m.Events == nil || spec.Kind != ident.ModelRunner || !o.isEventTurn(spec.ID) {
		return
	}
	events, next, err := m.Events(ctx, spec, o.seen(spec.ID))
	if err != nil {
		return
	}
	o.setSeen(spec.ID, next)
	for _, e := range events {
		if prints := o.recent.find(e.Request); prints != nil {
			o.cell.Evicted(spec.ID, prints, e.Kept)
		}
	}
}

// isEventTurn counts the polls of an endpoint.
func (o *owned) isEventTurn(id ident.Endpoint) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.polls == nil {
		o.polls = map[ident.Endpoint]int{}
	}
	o.polls[id]++
	return o.polls[id]%eventPolls == 0
}

func (o *owned) seen(id ident.Endpoint) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.events[id]
}

func (o *owned) setSeen(id ident.Endpoint, next int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.events == nil {
		o.events = map[ident.Endpoint]int{}
	}
	o.events[id] = next
}
