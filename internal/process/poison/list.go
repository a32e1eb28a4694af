package poison

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// QuarantineTime is how long a blamed part is quarantined. After it, a single
	// further crash blames the part again.
	QuarantineTime = 10 * time.Minute
	// minExtension is the least time by which Add extends a quarantine. Nodes tell each
	// other the remaining times, which grow by the delay of each message.
	minExtension = time.Minute
	// maxQuarantined bounds the list, so that it fits into a gossip message.
	maxQuarantined = 64
)

// List holds the quarantined parts. Requests read an immutable map, which Add replaces.
// The zero value is empty. It is safe for concurrent use.
type List struct {
	mu    sync.Mutex
	parts atomic.Pointer[map[ident.PromptPart]time.Time]
}

// Add quarantines a part until a time, at most QuarantineTime from now. It reports
// whether the part was not quarantined before; the quarantine of one that was is extended
// by minExtension or more. If the list is full, the part whose quarantine ends first is dropped.
func (l *List) Add(part ident.PromptPart, until, now time.Time) bool {
	until = earlier(until, now.Add(QuarantineTime))
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.load()[part]
	if !until.After(now) || known && old.After(now) && until.Sub(old) < minExtension {
		return false
	}
	parts := l.All(now)
	parts[part] = until
	if len(parts) > maxQuarantined {
		delete(parts, firstToEnd(parts))
	}
	l.parts.Store(&parts)
	return !known || !old.After(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func firstToEnd(parts map[ident.PromptPart]time.Time) ident.PromptPart {
	var first ident.PromptPart
	var end time.Time
	for part, until := range parts {
		if end.IsZero() || until.Before(end) {
			first, end = part, until
		}
	}
	return first
}

func (l *List) load() map[ident.PromptPart]time.Time {
	if parts := l.parts.Load(); parts != nil {
		return *parts
	}
	return nil
}

// All returns a copy of the quarantined parts with the end of their quarantine.
func (l *List) All(now time.Time) map[ident.PromptPart]time.Time {
	parts := map[ident.PromptPart]time.Time{}
	maps.Copy(parts, l.load())
	maps.DeleteFunc(parts, func(_ ident.PromptPart, until time.Time) bool { return !until.After(now) })
	return parts
}

// Find returns the first of the parts that is quarantined and the end of its
// quarantine.
func (l *List) Find(parts []ident.PromptPart, now time.Time) (part ident.PromptPart, until time.Time, ok bool) {
	quarantined := l.load()
	if len(quarantined) == 0 {
		return 0, time.Time{}, false
	}
	for _, part := range parts {
		if until, ok := quarantined[part]; ok && until.After(now) {
			return part, until, true
		}
	}
	return 0, time.Time{}, false
}
