package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// nextUpdates returns this node's own entry and the latest entries that are below
// their transmit limit. Those that were transmitted less than half as often as the
// limit allows go first, so that many changes at once, as when a fleet starts, delay
// neither each other for long nor a later one. The own entry is always included,
// so that a node that communicates with this one learns its state even if the
// update was lost.
func (l *List) nextUpdates() []Member { return l.nextUpdatesWith(nil) }

// nextUpdatesWith is nextUpdates with one more entry, which is not nil if there is one. Its place is
// reserved before the others are chosen, since each chosen entry counts as transmitted.
func (l *List) nextUpdatesWith(reserved *record) []Member {
	limit := transmitFactor * bits.Len(uint(len(l.all)))
	var candidates []*record
	for _, r := range l.all {
		if r.transmits < limit && r.ID != l.self.ID && r != reserved {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *record) int {
		return cmp.Or(b.urgency()-a.urgency(), cmp.Compare(2*a.transmits/limit, 2*b.transmits/limit), b.since.Compare(a.since), cmp.Compare(a.ID, b.ID))
	})
	places := maxUpdates - 1
	if reserved != nil {
		places--
	}
	candidates = candidates[:min(len(candidates), places)]
	if reserved != nil {
		candidates = append(candidates, reserved)
	}
	selected := []Member{l.self}
	for _, r := range candidates {
		r.transmits++
		selected = append(selected, r.Member)
	}
	return selected
}

// urgency orders entries for transmission: those that leave or are dead go before the
// others, which can be as many as the fleet has members after its start.
func (r *record) urgency() int {
	if r.State >= Leaving {
		return 1
	}
	return 0
}

// replyTo returns the updates for the response to a message. A sender that is suspect or dead
// here is told so with each response: if the update has reached its transmit limit without
// reaching the sender, it would otherwise never refute it. The caller holds l.mu.
func (l *List) replyTo(updates []Member) []Member {
	if len(updates) == 0 {
		return l.nextUpdates()
	}
	known := l.all[updates[0].ID]
	if known == nil || known.ID == l.self.ID || !known.supersedes(updates[0]) {
		return l.nextUpdates()
	}
	return l.nextUpdatesWith(known)
}
