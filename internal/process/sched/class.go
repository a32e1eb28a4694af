package sched

import (
	"math"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// serviceTimeConstant is the time constant of the exponential decay of a
	// class's arrivals and grants.
	serviceTimeConstant = 3 * time.Second
	// lowerClassWeight is the grant ratio of a class relative to the next
	// higher class of its group while the cell is overloaded.
	lowerClassWeight = 0.75
	// minArrivals is the decayed number of arrivals below which a class's grant
	// ratio and expected wait are not meaningful.
	minArrivals = 4.0
	// minWaitFraction is the fraction of its first-token target that a request
	// may always wait.
	minWaitFraction = 0.25
)

// classStats counts the arrivals and grants of one class with exponential
// decay.
type classStats struct {
	arrivals, grants float64
	updated          time.Time
	// timeToFirstToken is the moving average of the time from a grant to its
	// first token.
	timeToFirstToken time.Duration
}

func (s *classStats) decay(now time.Time) {
	if dt := now.Sub(s.updated); dt > 0 && !s.updated.IsZero() {
		factor := math.Exp(-dt.Seconds() / serviceTimeConstant.Seconds())
		s.arrivals *= factor
		s.grants *= factor
	}
	s.updated = now
}

// grantRatio returns the fraction of the arrivals that was granted, or 1 while
// there are fewer than minArrivals.
func (s *classStats) grantRatio() float64 {
	if s.arrivals < minArrivals {
		return 1
	}
	return s.grants / s.arrivals
}

// setClassGroups sets groupEnd from the settings. Classes are numbered like the tiers of the pool's team. Classes of one group are
// served in proportion to their arrivals, all others in strict priority order.
func (c *Cell) setClassGroups() {
	for i := range c.groupEnd {
		c.groupEnd[i] = ident.Tier(i)
	}
	if c.Pool == nil || c.Pool.Team == nil {
		return
	}
	for _, t := range c.Pool.Team.Tiers {
		if t.Rank < ident.MaxTiers && t.GroupEnd < ident.MaxTiers && t.GroupEnd > t.Rank {
			c.groupEnd[t.Rank] = t.GroupEnd
		}
	}
}

// nextInGroup returns the class of the group first to last that is served next,
// and the account that is next in it. This is the class with the lowest grant
// ratio divided by its weight; higher classes have a larger weight. It returns
// false if no class has an account that was not skipped in this round.
func (c *Cell) nextInGroup(first, last ident.Tier) (class ident.Tier, account *accountQueue, ok bool) {
	leastRatio := math.Inf(1)
	weight := 1.0
	for i := first; i <= last; i++ {
		if c.queues[i].length > 0 {
			if next := c.queues[i].nextAccount(c.round); next != nil {
				if ratio := c.classStats[i].grantRatio() / weight; ratio < leastRatio {
					leastRatio, class, account, ok = ratio, i, next, true
				}
			}
		}
		weight *= lowerClassWeight
	}
	return class, account, ok
}

// maxWait returns how long a request may wait for its grant: its first-token
// target less the usual time from grant to first token. After that the first
// token would be late in any case, and the capacity can serve another request
// in time.
func (c *Cell) maxWait(r *GrantRequest) time.Duration {
	return max(r.FirstTokenTarget-c.classStats[r.class].timeToFirstToken, time.Duration(minWaitFraction*float64(r.FirstTokenTarget)))
}

// expectedClassWait estimates how long the last request of a class waits, from
// the rate of grants of the class and of the lower groups, which it precedes as soon
// as it has to wait, taken as at least one per second. It returns 0 while there are
// fewer than minArrivals, and while too few grants show the rate of a cell that has just
// begun to grant all classes. Unlike expectedWait, it does not consider higher classes.
//
// The load patterns behind it are a high tier with few requests, whose own rate is low
// because it asks for little, and a cell that is taken over under load, which has granted
// nothing or the highest tier alone; neither is slow.
func (c *Cell) expectedClassWait(class ident.Tier, now time.Time) time.Duration {
	s := &c.classStats[class]
	s.decay(now)
	granting := c.grantingTime(now)
	if s.arrivals < minArrivals || granting == 0 {
		return 0
	}
	grants := s.grants
	for lower := int(c.groupEnd[class]) + 1; lower < len(c.classStats); lower++ {
		c.classStats[lower].decay(now)
		grants += c.classStats[lower].grants
	}
	if granting < serviceTimeConstant && grants < minArrivals {
		return 0
	}
	// At a steady rate the decayed count reaches the rate times this time.
	counted := serviceTimeConstant.Seconds() * (1 - math.Exp(-granting.Seconds()/serviceTimeConstant.Seconds()))
	rate := max(grants/counted, 1)
	return time.Duration(float64(c.queues[class].length) / rate * float64(time.Second))
}

// grantingTime returns how long the cell has been granting all classes, 0 while it does
// not.
func (c *Cell) grantingTime(now time.Time) time.Duration {
	if c.isPaused || c.hasTierLimit && c.tierLimit < ident.MaxTiers-1 {
		return 0
	}
	return now.Sub(c.grantsAllSince)
}
