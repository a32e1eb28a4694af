package sched

import (
	"math/rand/v2"
	"time"
)

// The load pattern behind this file is a pool whose endpoints fall over when they reject
// many requests for want of room, while the cell does not know how full they are: after it has
// moved, or after a node went dark whose requests they still run. Each rejection is then
// worth a look, and a burst of grants to one endpoint is a burst of rejections.

const (
	// fragileTTL is how long the cell takes its endpoints for fragile after the last grant
	// request that says so.
	fragileTTL = 5 * time.Second
	// rejectionWindow is the time over which rejections count, a second and a margin for
	// the way of the answers.
	rejectionWindow = 1200 * time.Millisecond
	// acceptanceTime is the time after which a request that was not rejected has been
	// accepted: a rejection takes a round trip and no work.
	acceptanceTime = 60 * time.Millisecond
	// endpointsPerRisk is the number of endpoints of a cell that let it risk as many
	// rejections more as a single one stands.
	endpointsPerRisk = 8
	// maxFragileJitter is about the difference in cost between endpoints that are alike.
	maxFragileJitter = 20 * time.Millisecond
	// fragileFraction is the part of an endpoint's rejections that a cell risks. The rest is
	// left to other cells that may grant at the same time.
	fragileFraction = 0.5
)

// risk holds the recent rejections of an endpoint and the grants that may be rejected.
type risk struct {
	rejectedAt []time.Time
	// grantedAt holds the times of the grants within acceptanceTime.
	grantedAt []time.Time
}

// learnFragile records what a grant request says of the pool's endpoints.
func (c *Cell) learnFragile(r *GrantRequest, now time.Time) {
	if r.MaxRejections > 0 {
		c.maxRejections, c.fragileUntil = r.MaxRejections, now.Add(fragileTTL)
	}
}

// mayRisk reports whether another grant to an endpoint, if it is rejected, leaves the
// endpoint within the rejections that it stands. Rejections by other endpoints count as well:
// a cell that knows the load of its endpoints has none, and one that does not may be one of
// several that do not.
func (c *Cell) mayRisk(e *endpoint, now time.Time) bool {
	if !now.Before(c.fragileUntil) {
		return true
	}
	e.risk.expire(now)
	c.rejectedAt = dropBefore(c.rejectedAt, now.Add(-rejectionWindow))
	share := fragileFraction
	if c.LimitShare > 0 {
		share *= c.LimitShare
	}
	allowed := max(int(share*float64(c.maxRejections)), 1)
	return len(e.risk.rejectedAt)+len(e.risk.grantedAt) < allowed &&
		len(c.rejectedAt)+len(e.risk.grantedAt) < allowed*(1+len(c.endpoints)/endpointsPerRisk)
}

// fragileJitter returns a random cost that is added for each endpoint of a fragile pool, so
// that cells which know equally little do not choose the same endpoints.
func (c *Cell) fragileJitter(now time.Time) time.Duration {
	if !now.Before(c.fragileUntil) {
		return 0
	}
	return rand.N(maxFragileJitter)
}

func (r *risk) expire(now time.Time) {
	r.rejectedAt = dropBefore(r.rejectedAt, now.Add(-rejectionWindow))
	r.grantedAt = dropBefore(r.grantedAt, now.Add(-acceptanceTime))
}

// dropBefore drops the times up to the given one from the front of an ascending slice.
func dropBefore(times []time.Time, before time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(before) {
		n++
	}
	return append(times[:0], times[n:]...)
}

// recordGrant records a grant while the pool is fragile.
func (c *Cell) recordGrant(e *endpoint, now time.Time) {
	if now.Before(c.fragileUntil) {
		e.risk.grantedAt = append(e.risk.grantedAt, now)
	}
}

// recordRejection records that an endpoint rejected a request for want of room, and what it
// stated of its load.
func (c *Cell) recordRejection(e *endpoint, s *Statement, now time.Time) {
	if s != nil && s.Occupancy != nil {
		e.updateExternalLoad(*s.Occupancy, now)
	}
	if now.Before(c.fragileUntil) {
		e.risk.rejectedAt = append(e.risk.rejectedAt, now)
		c.rejectedAt = append(c.rejectedAt, now)
	}
}
