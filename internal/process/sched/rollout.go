package sched

import (
	"math/bits"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Rollout divides a pool's unbound requests between the release to which an operator
// moves the pool, its target, and all others. Requests that are bound to a release are
// exempt.
type Rollout struct {
	Target ident.Release
	// Share is the part of the grants that the target gets. At 1 the other releases get
	// none, and at 0 the target gets none.
	Share float64
	// Usable holds the endpoints of the target that may be used; nil means all.
	Usable map[ident.Endpoint]bool
	// Barred holds other releases that get no unbound requests: targets of earlier orders
	// that were not moved to.
	Barred map[ident.Release]bool
	// IsSealed makes requests that are bound to another release than the target wait.
	// Nothing runs at the other releases then, and the platform is about to stop them.
	IsSealed bool
}

// Answer describes an answer of an endpoint to Cell.Answered.
type Answer struct {
	Release  ident.Release
	Endpoint ident.Endpoint
	// Node is the entry node.
	Node  ident.NodeID
	Route string
	// Class is the class of the tokens that the endpoint had to compute: the number of
	// bits that their number needs, 0 for application runners.
	Class uint8
	// IsNew is set in the first report of an answer. A stream is reported when it begins,
	// and once more if it fails later or when it has ended.
	IsNew bool
	// Latency is the time from the grant to the first token, 0 if it was reported before
	// or there was none.
	Latency time.Duration
	// InterToken is the mean time between tokens, 0 if it is unknown.
	InterToken time.Duration
	// Failed is set if the endpoint failed, answered with a server error, refused the request
	// although it had ample room, or had not begun its answer by the deadline.
	Failed bool
	// Broke is set with Failed if the connection failed, so that several failures may have
	// one cause, and Unreached with both if no connection was made or used.
	Broke, Unreached bool
}

// side selects the releases at which a request may run.
type side uint8

const (
	anyRelease side = iota
	otherReleases
	targetRelease
)

// shareTolerance keeps rounding from putting off the target's turn by one grant.
const shareTolerance = 1e-9

// overdueMargin is how long before its deadline a request may be given up for it, since the
// cell and the entry node count the time from different events.
const overdueMargin = 100 * time.Millisecond

// rolloutState is a cell's state of its pool's rollout.
type rolloutState struct {
	Rollout
	isActive bool
	// deficit is by how many grants the target has had less than its share. The target
	// never has more, so that its part of all grants never exceeds the share.
	deficit float64
}

// SetRollout sets or, with nil, ends the rollout of the cell's pool.
func (c *Cell) SetRollout(r *Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.rollout
	if r == nil {
		*s = rolloutState{}
	} else {
		if !s.isActive || s.Target != r.Target || r.Share <= 0 {
			s.deficit = 0
		}
		s.Rollout, s.isActive = *r, true
	}
	if c.byID != nil {
		c.grantWaiting(c.now())
	}
}

// allows reports whether an endpoint is on the given side.
func (s *rolloutState) allows(e *endpoint, at side) bool {
	switch at {
	case targetRelease:
		return e.Release == s.Target && (s.Usable == nil || s.Usable[e.ID])
	case otherReleases:
		return e.Release != s.Target && !s.Barred[e.Release]
	}
	return true
}

// isSealedFor reports whether requests that are bound to a release wait.
func (s *rolloutState) isSealedFor(release ident.Release) bool {
	return s.isActive && s.IsSealed && release != s.Target
}

// mainSide returns the side that gets unbound requests when it is not the target's turn.
func (s *rolloutState) mainSide() side {
	switch {
	case !s.isActive:
		return anyRelease
	case s.Share >= 1:
		return targetRelease
	}
	return otherReleases
}

// isTargetsTurn reports whether the next grant of an unbound request is the target's.
func (s *rolloutState) isTargetsTurn() bool {
	return s.isActive && s.Share > 0 && s.Share < 1 && s.deficit+s.Share >= 1-shareTolerance
}

// record counts a grant of an unbound request. If the target has no room in its turn,
// another release gets the request, and the target at most one more turn for it.
func (s *rolloutState) record(release ident.Release) {
	if !s.isActive {
		return
	}
	s.deficit += s.Share
	if release == s.Target {
		s.deficit--
	}
	s.deficit = min(max(s.deficit, 0), 1)
}

// GrantedWithin returns the number of requests that the cell has granted for less than the
// given time and that have not ended, by release of their endpoint. Entry nodes know of older
// ones; the cell may still have some whose end was reported to the cell's next node.
func (c *Cell) GrantedWithin(d time.Duration) map[ident.Release]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[ident.Release]int{}
	now := c.now()
	for _, g := range c.inflight {
		if !g.isAdopted && now.Sub(g.grantedAt) < d {
			counts[g.release]++
		}
	}
	return counts
}

// answerOf describes the answer to a granted request.
func (c *Cell) answerOf(g *grant) Answer {
	a := Answer{Release: g.release, Endpoint: g.endpoint.ID, Node: g.node, Route: g.route}
	if c.Pool.Kind != ident.ApplicationRunner {
		a.Class = uint8(bits.Len64(uint64(max(g.uncached, 0))))
	}
	return a
}

// reportAnswerBegun reports a stream that has begun. Other answers are reported at their end,
// since the first token of a failure is reported as well.
func (c *Cell) reportAnswerBegun(g *grant) {
	if c.Answered == nil || g.stream == "" || g.isAdopted || g.isAnswerReported {
		return
	}
	g.isAnswerReported = true
	a := c.answerOf(g)
	a.IsNew, a.Latency = true, g.firstTokenAt.Sub(g.grantedAt)
	c.Answered(a)
}

// hasAmpleRoom reports whether the endpoint has at least half of its slots free and states no
// limit, so that it has no reason to refuse requests.
func (e *endpoint) hasAmpleRoom() bool {
	return e.Slots > 0 && 2*e.running <= e.Slots && e.rateLimit == 0 && !e.isLeaving()
}

// reportAnswerEnded reports how a request ended, unless its caller left before its deadline or
// the endpoint did not run it. An endpoint that refuses requests with ample room fails: a
// release that refuses all of them would otherwise have no answer that speaks against it.
func (c *Cell) reportAnswerEnded(g *grant, completion Completion, now time.Time) {
	isGroundless := completion.Refused && !completion.Failed && !completion.Leaving && g.endpoint.hasAmpleRoom()
	if c.Answered == nil || g.isAdopted || completion.Unused || completion.Refused && !isGroundless {
		return
	}
	isOverdue := completion.Cancelled && !g.isPrefillDone && now.Add(overdueMargin).After(g.deadline)
	if completion.Cancelled && !isOverdue {
		return
	}
	a := c.answerOf(g)
	a.Failed = completion.Failed || completion.Erred || isOverdue || isGroundless
	a.Broke = completion.Failed
	a.Unreached = completion.Failed && !completion.NoAnswer && !g.isPrefillDone
	a.InterToken = completion.InterTokenLatency
	if !g.isAnswerReported {
		a.IsNew = true
		if !a.Failed {
			a.Latency = completion.TimeToFirstToken
		}
	}
	c.Answered(a)
}

// mayRunAt reports whether the endpoint has the release that the request needs.
func (r *GrantRequest) mayRunAt(e *endpoint) bool { return r.Release == nil || *r.Release == e.Release }

// isReleaseGone reports whether the request needs a release that only leaving endpoints
// have, or none.
func (c *Cell) isReleaseGone(r *GrantRequest) bool {
	return r.Release != nil && !slices.ContainsFunc(c.endpoints, func(e *endpoint) bool {
		return r.mayRunAt(e) && !e.isLeaving()
	})
}
