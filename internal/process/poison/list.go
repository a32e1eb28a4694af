package poison

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// QuarantineTime is how long a blamed trait is quarantined. After it, a single
	// further crash blames the trait again.
	QuarantineTime = 10 * time.Minute
	// minExtension is the least time by which Add extends a quarantine. Nodes tell each
	// other the remaining times, which grow by the delay of each message.
	minExtension = time.Minute
	// maxQuarantined bounds the list, so that it fits into a gossip message.
	maxQuarantined = 64
)

// List holds the quarantined traits. Requests read an immutable map, which Add replaces.
// The zero value is empty. It is safe for concurrent use.
type List struct {
	mu     sync.Mutex
	traits atomic.Pointer[map[ident.Trait]time.Time]
}

// Add quarantines a trait until a time, at most QuarantineTime from now. It reports
// whether the trait was not quarantined before; the quarantine of one that was is extended
// by minExtension or more. If the list is full, the trait whose quarantine ends first is dropped.
func (l *List) Add(trait ident.Trait, until, now time.Time) bool {
	until = earlier(until, now.Add(QuarantineTime))
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.load()[trait]
	if !until.After(now) || known && old.After(now) && until.Sub(old) < minExtension {
		return false
	}
	traits := l.All(now)
	traits[trait] = until
	if len(traits) > maxQuarantined {
		delete(traits, firstToEnd(traits))
	}
	l.traits.Store(&traits)
	return !known || !old.After(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func firstToEnd(traits map[ident.Trait]time.Time) ident.Trait {
	var first ident.Trait
	var end time.Time
	for trait, until := range traits {
		if end.IsZero() || until.Before(end) {
			first, end = trait, until
		}
	}
	return first
}

func (l *List) load() map[ident.Trait]time.Time {
	if traits := l.traits.Load(); traits != nil {
		return *traits
	}
	return nil
}

// All returns a copy of the quarantined traits with the end of their quarantine.
func (l *List) All(now time.Time) map[ident.Trait]time.Time {
	traits := map[ident.Trait]time.Time{}
	maps.Copy(traits, l.load())
	maps.DeleteFunc(traits, func(_ ident.Trait, until time.Time) bool { return !until.After(now) })
	return traits
}

// Find returns the first of the traits that is quarantined and the end of its
// quarantine.
func (l *List) Find(traits []ident.Trait, now time.Time) (trait ident.Trait, until time.Time, ok bool) {
	quarantined := l.load()
	if len(quarantined) == 0 {
		return 0, time.Time{}, false
	}
	for _, trait := range traits {
		if until, ok := quarantined[trait]; ok && until.After(now) {
			return trait, until, true
		}
	}
	return 0, time.Time{}, false
}
