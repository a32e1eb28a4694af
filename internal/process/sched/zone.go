package sched

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// crossZonePenalty is the cost added for an endpoint in another zone. For an engine it equals a
// few steps, so that engines in the same zone are preferred while they are about as fast. For a
// plain service it is about the time of a call. With 8, 13 or 20 ms, the replays zones*.replay and
// others with services that slow down under load answer no more calls in time, while at half of
// the capacity up to 28 in 100 calls more go to another zone.
const crossZonePenalty = 40 * time.Millisecond

const (
	// maxPassedTime is for how long a call can be passed over for calls of the zones of the
	// places that become free: the additional network time of about 3 ms, and as much again. In
	// the replays zones*.replay, 13 and 25 ms answer as many calls in time (within 0.008).
	maxPassedTime = 6 * time.Millisecond
	// maxPassedCalls bounds by how many calls, of its own account's weight, an account can get
	// ahead of that of a call that is passed over, so that an account whose callers are in a
	// zone without endpoints gets its share.
	maxPassedCalls = 4
	// maxZoneCandidates bounds the waiting requests that are considered for a place, in equal
	// parts for each account, so that an account with many calls of other zones does not hide
	// the others. Each account has at least minZoneCandidates.
	maxZoneCandidates = 64
	minZoneCandidates = 8
)

// zonePenalty returns the cost added for an endpoint in another availability
// zone: traffic between zones is charged by the platform and adds latency. An
// unknown zone has no penalty.
func zonePenalty(r *GrantRequest, e *endpoint) time.Duration {
	if r.Zone == "" || e.Zone == "" || r.Zone == e.Zone {
		return 0
	}
	return crossZonePenalty
}

// preferInTime returns far, the best endpoint of other zones, if a call would be in time
// there but not at best, and best otherwise: bytes between zones cost less than a late call.
// All other costs, such as those of failures, still count. Both endpoints may be nil.
func (c *Cell) preferInTime(best, far *endpoint, bestCost, farCost time.Duration, r *GrantRequest, now time.Time) *endpoint {
	if far != nil && far != best && farCost-crossZonePenalty < bestCost && c.isTooSlow(best, r, now) && !c.isTooSlow(far, r, now) {
		return far
	}
	return best
}

// preferOwnZone returns the request that gets a place at e: r, which is the next in order or,
// if e is in another zone than r, the first call of the same class from the zone of e. r is
// passed over only for maxPassedTime, and only if it can still be in time then.
//
// The load pattern behind it is a service at its capacity: there, calls that are granted in
// order take the first place in any zone, and two thirds of them go to another zone.
func (c *Cell) preferOwnZone(r *GrantRequest, e *endpoint, now time.Time) *GrantRequest {
	if e.Kind != ident.ApplicationRunner || zonePenalty(r, e) == 0 || r.FirstTokenTarget == 0 {
		return r
	}
	if e.isAtLimit(now) {
		return r // r gets a place above the limit since it cannot wait, which may not hold for others.
	}
	if !r.passedAt.IsZero() && now.Sub(r.passedAt) >= maxPassedTime || now.Add(maxPassedTime+e.unitTime(now)).After(r.arrived.Add(r.FirstTokenTarget)) {
		return r
	}
	first := c.queues[r.class].firstOfZone(r, e, c.round)
	if first != r && r.passedAt.IsZero() {
		r.passedAt = now
	}
	return first
}

// firstOfZone returns the call of the zone of e that is granted there before r, or r if there is
// none: the first in order of all accounts that can be granted in this round and are not too far
// ahead of r's account. Within that bound, which keeps the shares, calls go by their deadlines:
// by virtual time, zones.replay answers 0.749 of the calls in time at 1.2 of the capacity instead
// of 0.776.
func (q *queue) firstOfZone(r *GrantRequest, e *endpoint, round uint64) *GrantRequest {
	own := q.accounts[r.queueAccount]
	if own == nil || r.Release != nil {
		return r
	}
	perAccount := max(maxZoneCandidates/len(q.active), minZoneCandidates)
	first, bound := r, own.virtualTime+maxPassedCalls*float64(r.charge)/own.weight
	for _, a := range q.active {
		if a.skippedRound == round || a.virtualTime > bound {
			continue
		}
		if found := a.firstOfZone(e, perAccount); found != nil && (first == r || found.precedes(first)) {
			first = found
		}
	}
	return first
}

// firstOfZone returns the account's first call of the zone of e that may be granted there, among
// the given number at the head of its heap, or nil.
func (a *accountQueue) firstOfZone(e *endpoint, candidates int) *GrantRequest {
	var first *GrantRequest
	for _, r := range a.heap[:min(len(a.heap), candidates)] {
		if r.Zone == e.Zone && r.Release == nil && !slices.Contains(r.Avoid, e.ID) && (first == nil || r.precedes(first)) {
			first = r
		}
	}
	return first
}
