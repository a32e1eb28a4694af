package sched

import (
	"goldcrestwick/internal/process/ident"
)

// queue holds the waiting requests of one class. Accounts share the class by
// weight with start-time fair queueing in tokens: each account has a virtual
// time that advances by the granted tokens divided by the account's weight, and
// the account with the lowest virtual time is served next. Within an account,
// requests are ordered by sortTime, earliest first.
type queue struct {
	accounts    map[ident.ClientAccount]*accountQueue
	active      []*accountQueue
	virtualTime float64
	length      int
	tokens      ident.Tokens
	// resumptionsInRow is the number of requests that take up streams which were served since
	// another one was.
	resumptionsInRow int
}

// accountQueue holds the waiting requests of one account in a class.
type accountQueue struct {
	account     ident.ClientAccount
	virtualTime float64
	weight      float64
	// isResumption is set if the requests take up streams, which go before those that begin one.
	isResumption bool
	// heap is a binary min-heap in the order of GrantRequest.precedes.
	heap []*GrantRequest
	// skippedRound is the last round in which the account's first request
	// fitted no endpoint.
	skippedRound uint64
}

func (q *queue) push(r *GrantRequest) {
	if q.accounts == nil {
		q.accounts = map[ident.ClientAccount]*accountQueue{}
	}
	a := q.accounts[r.queueAccount]
	if a == nil {
		a = &accountQueue{account: r.queueAccount, isResumption: r.isResumption()}
		q.accounts[r.queueAccount] = a
	}
	a.weight = float64(max(r.Weight, 1))
	if len(a.heap) == 0 {
		a.virtualTime = max(a.virtualTime, q.virtualTime)
		q.active = append(q.active, a)
	}
	a.push(r)
	q.length++
	q.tokens += r.charge
}

// maxResumptionsInRow bounds the requests that take up streams which a class grants one after the
// other while others wait, so that accounts that do so all the time do not shut out the others.
const maxResumptionsInRow = 3

// nextAccount returns the account with the lowest virtual time that was not
// skipped in this round, or nil. Accounts whose requests take up streams go first.
//
// The load pattern behind the order is the loss of many nodes, after which the callers of
// their streams come back amid new requests. A stream that is refused loses what its caller
// has already read.
func (q *queue) nextAccount(round uint64) *accountQueue {
	var resumption, other *accountQueue
	for _, a := range q.active {
		next := &other
		if a.isResumption {
			next = &resumption
		}
		if a.skippedRound != round && (*next == nil || a.virtualTime < (*next).virtualTime) {
			*next = a
		}
	}
	if resumption == nil || other != nil && q.resumptionsInRow >= maxResumptionsInRow {
		return other
	}
	return resumption
}

// dequeue removes the first request of an account and advances the account's
// virtual time by its charge.
func (q *queue) dequeue(a *accountQueue) *GrantRequest {
	r := a.heap[0]
	q.serve(r, a)
	return r
}

// serve removes a waiting request and advances its account's virtual time by its charge. The
// queue's virtual time, at which accounts start, becomes that of next, the account that was next:
// the request can be of an account that is ahead, for which a call of next was passed over. It
// stays as it is if next takes up a stream, since such an account goes first whatever its
// virtual time, and one that starts at that time would wait for all others to catch up.
func (q *queue) serve(r *GrantRequest, next *accountQueue) {
	a := q.accounts[r.queueAccount]
	if next.isResumption {
		q.resumptionsInRow++
	} else {
		q.resumptionsInRow = 0
		q.virtualTime = max(q.virtualTime, next.virtualTime)
	}
	a.virtualTime += float64(r.charge) / a.weight
	q.remove(r)
}

// remove removes a waiting request. It reports whether the request was queued.
func (q *queue) remove(r *GrantRequest) bool {
	a := q.accounts[r.queueAccount]
	if a == nil || r.heapIndex >= len(a.heap) || a.heap[r.heapIndex] != r {
		return false
	}
	a.removeAt(r.heapIndex)
	q.length--
	q.tokens -= r.charge
	if len(a.heap) == 0 {
		q.deactivate(a)
	}
	return true
}

// deactivate removes an account without waiting requests from the active
// accounts. The accountQueue is kept, so that an account cannot reset its
// virtual time by emptying its queue; the number of accounts in the settings
// bounds the memory.
func (q *queue) deactivate(a *accountQueue) {
	for i, other := range q.active {
		if other == a {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			return
		}
	}
}

// shedCandidate returns the request to shed first: the last one in order of the
// account with the most waiting requests relative to its weight, and the last of all
// among such accounts. Sizes do not count, since the account with the most waiting
// tokens is the one with the largest request where most accounts have one waiting.
// Requests that take up streams are shed after all others, unless they are larger than
// maxProtected: a large one would have all others shed until it waits alone.
func (q *queue) shedCandidate(maxProtected ident.Tokens) *GrantRequest {
	var candidate *GrantRequest
	var most float64
	isCandidateProtected := false
	for _, a := range q.active {
		backlog, last := float64(len(a.heap))/a.weight, a.last()
		isProtected := a.isResumption && last.charge <= maxProtected
		switch {
		case candidate == nil, isCandidateProtected && !isProtected:
		case !isCandidateProtected && isProtected, backlog < most, backlog == most && !candidate.precedes(last):
			continue
		}
		candidate, most, isCandidateProtected = last, backlog, isProtected
	}
	return candidate
}

// last returns the account's last request in order. There must be one.
func (a *accountQueue) last() *GrantRequest {
	last := a.heap[0]
	for _, r := range a.heap {
		if last.precedes(r) {
			last = r
		}
	}
	return last
}

// each calls f for every waiting request until f returns false.
func (q *queue) each(f func(*GrantRequest) bool) {
	for _, a := range q.active {
		for _, r := range a.heap {
			if !f(r) {
				return
			}
		}
	}
}

func (a *accountQueue) push(r *GrantRequest) {
	a.heap = append(a.heap, r)
	r.heapIndex = len(a.heap) - 1
	a.up(r.heapIndex)
}

func (a *accountQueue) removeAt(i int) {
	last := len(a.heap) - 1
	a.swap(i, last)
	a.heap[last] = nil
	a.heap = a.heap[:last]
	if i < last {
		a.down(i)
		a.up(i)
	}
}

func (a *accountQueue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !a.less(i, parent) {
			return
		}
		a.swap(i, parent)
		i = parent
	}
}

func (a *accountQueue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(a.heap) {
			return
		}
		if child+1 < len(a.heap) && a.less(child+1, child) {
			child++
		}
		if !a.less(child, i) {
			return
		}
		a.swap(i, child)
		i = child
	}
}

func (a *accountQueue) less(i, j int) bool { return a.heap[i].precedes(a.heap[j]) }

// precedes reports whether r is served before other within an account.
func (r *GrantRequest) precedes(other *GrantRequest) bool {
	if !r.sortTime.Equal(other.sortTime) {
		return r.sortTime.Before(other.sortTime)
	}
	return r.arrivalNumber < other.arrivalNumber
}

func (a *accountQueue) swap(i, j int) {
	a.heap[i], a.heap[j] = a.heap[j], a.heap[i]
	a.heap[i].heapIndex = i
	a.heap[j].heapIndex = j
}

// skipRelease skips the accounts that take up streams of a release in this round.
func (q *queue) skipRelease(release ident.Release, round uint64) {
	for _, a := range q.active {
		if r := a.heap[0].Release; r != nil && *r == release {
			a.skippedRound = round
		}
	}
}

func (c *Cell) waitingCount() int {
	n := 0
	for class := range c.queues {
		n += c.queues[class].length
	}
	return n
}
