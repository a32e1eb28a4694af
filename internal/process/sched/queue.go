package sched

import (
	"goldcrestwick/internal/request/ident"
)

// queue keeps the waiting bids of one tier. Accounts share the tier by weight
// with start-time fair queueing in tokens: each account has a virtual time
// that advances by tokens over weight, and the account furthest behind is
// next. Within an account the bid with the earliest deadline is next.
type queue struct {
	accounts map[ident.ClientAccount]*share
	active   []*share
	virtual  float64
	length   int
	tokens   ident.Tokens
}

// share is one account's part of a tier's queue.
type share struct {
	account ident.ClientAccount
	virtual float64
	weight  float64
	heap    []*GrantRequest
	// skipped holds the round in which the account's first bid found no room.
	skipped uint64
}

func (q *queue) push(b *GrantRequest) {
	if q.accounts == nil {
		q.accounts = map[ident.ClientAccount]*share{}
	}
	s := q.accounts[b.sharer]
	if s == nil {
		s = &share{account: b.sharer}
		q.accounts[b.sharer] = s
	}
	s.weight = float64(max(b.Weight, 1))
	if len(s.heap) == 0 {
		s.virtual = max(s.virtual, q.virtual)
		q.active = append(q.active, s)
	}
	s.push(b)
	q.length++
	q.tokens += b.charge
}

// first returns the account that is next and was not skipped in this round.
func (q *queue) first(round uint64) *share {
	var next *share
	for _, s := range q.active {
		if s.skipped == round {
			continue
		}
		if next == nil || s.virtual < next.virtual {
			next = s
		}
	}
	return next
}

// take removes the first bid of an account and charges the account for it.
func (q *queue) take(s *share) *GrantRequest {
	b := s.heap[0]
	q.virtual = max(q.virtual, s.virtual)
	s.virtual += float64(b.charge) / s.weight
	q.remove(b)
	return b
}

// remove takes a waiting bid out. It reports whether the bid was there.
func (q *queue) remove(b *GrantRequest) bool {
	s := q.accounts[b.sharer]
	if s == nil || b.position >= len(s.heap) || s.heap[b.position] != b {
		return false
	}
	s.removeAt(b.position)
	q.length--
	q.tokens -= b.charge
	if len(s.heap) == 0 {
		q.deactivate(s)
	}
	return true
}

// deactivate takes an account without waiting bids out of the rotation. The
// share itself is kept, so that leaving and returning does not clear a debt;
// the number of accounts in the settings bounds it.
func (q *queue) deactivate(s *share) {
	for i, other := range q.active {
		if other == s {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			return
		}
	}
}

// latest returns the waiting bid that is last in order of the account that
// holds the most waiting tokens, the first to be shed within a tier.
func (q *queue) latest() *GrantRequest {
	var most *share
	var mostTokens float64
	for _, s := range q.active {
		var tokens float64
		for _, b := range s.heap {
			tokens += float64(b.charge)
		}
		if tokens /= s.weight; most == nil || tokens > mostTokens {
			most, mostTokens = s, tokens
		}
	}
	if most == nil {
		return nil
	}
	last := most.heap[0]
	for _, b := range most.heap {
		if last.precedes(b) {
			last = b
		}
	}
	return last
}

// each calls f with every waiting bid until f returns false.
func (q *queue) each(f func(*GrantRequest) bool) {
	for _, s := range q.active {
		for _, b := range s.heap {
			if !f(b) {
				return
			}
		}
	}
}

func (s *share) push(b *GrantRequest) {
	s.heap = append(s.heap, b)
	b.position = len(s.heap) - 1
	s.up(b.position)
}

func (s *share) removeAt(i int) {
	last := len(s.heap) - 1
	s.swap(i, last)
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if i < last {
		s.down(i)
		s.up(i)
	}
}

func (s *share) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *share) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if child+1 < len(s.heap) && s.less(child+1, child) {
			child++
		}
		if !s.less(child, i) {
			return
		}
		s.swap(i, child)
		i = child
	}
}

func (s *share) less(i, j int) bool { return s.heap[i].precedes(s.heap[j]) }

// precedes orders the bids of one account.
func (b *GrantRequest) precedes(other *GrantRequest) bool {
	if !b.order.Equal(other.order) {
		return b.order.Before(other.order)
	}
	return b.number < other.number
}

func (s *share) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heap[i].position = i
	s.heap[j].position = j
}
