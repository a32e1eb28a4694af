package sched

import (
	"math"
	"time"

	"goldcrestwick/internal/process/ident"
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
	// minBacklogTime is how long requests of a class must have waited without interruption
	// before its expected wait closes lower tiers. Until then, the rate of grants shows what
	// was asked of the cell and not what it can do; a burst is over within this time.
	minBacklogTime = 200 * time.Millisecond
	// callDeviations is the number of mean deviations above the usual time within which
	// about 19 of 20 calls are answered.
	callDeviations = 2
)

// classStats counts the arrivals and grants of one class with exponential
// decay.
type classStats struct {
	arrivals, grants float64
	updated          time.Time
	// timeToFirstToken is the moving average of the time from a grant to its
	// first token.
	timeToFirstToken time.Duration
	// firstTokenDeviation is the moving average of the distance of these times to it.
	firstTokenDeviation time.Duration
	// granted is the number of all grants, without decay. grantedBefore is that of the class
	// and of those below its group at backlogSince, when a request of the class began to wait
	// while no other one did.
	granted, grantedBefore uint64
	backlogSince           time.Time
}

// addFirstToken adds a time from a grant to its first token.
func (s *classStats) addFirstToken(d time.Duration) {
	s.firstTokenDeviation = ewma(s.firstTokenDeviation, (d - s.timeToFirstToken).Abs())
	s.timeToFirstToken = ewma(s.timeToFirstToken, d)
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
	before := c.groupEnd
	defer func() {
		if c.groupEnd != before {
			// grantedBefore counts the classes below the former group.
			for class := range c.classStats {
				s := &c.classStats[class]
				s.backlogSince, s.grantedBefore = c.now(), c.grantedFrom(ident.Tier(class))
			}
		}
	}()
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

// maxWait returns how long a request may wait for its grant: its usefulWait, and for calls
// callDeviations times the deviation of the time from grant to first token less.
//
// The load pattern behind it is an overload of a service, in which nearly all calls wait for
// as long as they may. Without the deviation, half of those that wait that long are late.
// Prompts of a class differ too much in length for their deviation to say much.
func (c *Cell) maxWait(r *GrantRequest) time.Duration {
	wait := c.usefulWait(r)
	if c.Pool.Kind == ident.ApplicationRunner {
		wait -= callDeviations * c.classStats[r.class].firstTokenDeviation
	}
	return max(wait, minWait(r))
}

// usefulWait returns the wait for a grant after which the first token is late in any case, so
// that the capacity can serve another request in time: the first-token target less the usual
// time from grant to first token.
func (c *Cell) usefulWait(r *GrantRequest) time.Duration {
	return max(r.FirstTokenTarget-c.classStats[r.class].timeToFirstToken, minWait(r))
}

// acceptableWait returns the wait by which closures are decided: the usefulWait of a request
// that had its whole target left when it came. Without a target, that of the pool applies.
//
// The load pattern behind it is requests that reach the cell late because of slow entry nodes,
// or are repeated. Nearly any wait is too long for them, and closing the lower tiers in the
// whole pool does not change that.
func (c *Cell) acceptableWait(r *GrantRequest) time.Duration {
	target := max(r.FullTarget, c.firstTokenTarget(r))
	return max(target-c.classStats[r.class].timeToFirstToken, time.Duration(minWaitFraction*float64(target)))
}

func minWait(r *GrantRequest) time.Duration {
	return time.Duration(minWaitFraction * float64(r.FirstTokenTarget))
}

// expectedClassWait estimates how long the last request of a class waits, from
// the rate of grants of the class and of the lower groups, which it precedes as soon
// as it has to wait, taken as at least one per second. It returns 0 while there are
// fewer than minArrivals, and while too few grants show the rate of a cell that has just
// begun to grant all classes. Unlike expectedWait, it does not consider higher classes.
//
// The load patterns behind it are a high tier with few requests, whose own rate is low
// because it asks for little, and a cell that is taken over under load, which has granted
// nothing or the highest tier alone; neither is slow. The rate of a class that goes before
// others shows what it asks for and not what the cell can do, even more while the lower tiers
// are closed; it is at least the class's part of the cell's throughput. For the lowest tiers
// the rate itself is used, which falls as they are refused.
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
	if c.hasLowerTiers(class) {
		rate = max(rate, c.classThroughput(class, counted, now))
	}
	return time.Duration(float64(c.queues[class].length) / rate * float64(time.Second))
}

// expectedBacklogWait is expectedClassWait for the decision to close lower tiers. It returns
// 0 until requests of the class have waited for minBacklogTime. Until the rate over
// serviceTimeConstant shows the capacity, it uses the rate since they began to wait if that is
// higher.
//
// The load pattern behind it is a burst in a cell that was idle, whose past rate is low because
// little was asked of it.
func (c *Cell) expectedBacklogWait(class ident.Tier, now time.Time) time.Duration {
	s := &c.classStats[class]
	waiting, backlogTime := c.queues[class].length, now.Sub(s.backlogSince)
	if waiting == 0 || backlogTime < minBacklogTime {
		return 0
	}
	wait := c.expectedClassWait(class, now)
	if grants := c.grantedFrom(class) - s.grantedBefore; grants > 0 && backlogTime < serviceTimeConstant {
		wait = min(wait, time.Duration(float64(waiting)/float64(grants)*float64(backlogTime)))
	}
	return wait
}

// grantedFrom returns the number of grants of a class and of the classes below its group.
func (c *Cell) grantedFrom(class ident.Tier) uint64 {
	granted := c.classStats[class].granted
	for lower := int(c.groupEnd[class]) + 1; lower < len(c.classStats); lower++ {
		granted += c.classStats[lower].granted
	}
	return granted
}

// beginBacklog records that a request of a class begins to wait, if no other one does.
func (c *Cell) beginBacklog(class ident.Tier, now time.Time) {
	if c.queues[class].length == 0 {
		s := &c.classStats[class]
		s.backlogSince, s.grantedBefore = now, c.grantedFrom(class)
	}
}

// hasLowerTiers reports whether requests of tiers below the class's group come, or are
// refused because these tiers are closed.
func (c *Cell) hasLowerTiers(class ident.Tier) bool {
	if c.Admits != nil && !c.Admits(ident.MaxTiers-1) {
		return true
	}
	for lower := int(c.groupEnd[class]) + 1; lower < len(c.classStats); lower++ {
		if c.classStats[lower].arrivals > 0 {
			return true
		}
	}
	return false
}

// classThroughput returns the grants per second that a class can expect from the requests
// in flight, by Little's law: its part, by arrivals, of what the higher groups leave to its
// group. Counted is the time in seconds that the decayed counts stand for. It returns 0
// unless requests have ended lately, since endpoints that stall serve nothing.
func (c *Cell) classThroughput(class ident.Tier, counted float64, now time.Time) float64 {
	residence := c.residenceTime.meanOfRequests()
	if residence == 0 || now.Sub(c.residenceTime.updated) > serviceTimeConstant {
		return 0
	}
	running := 0
	for _, e := range c.endpoints {
		if !e.isLeaving() && e.health == healthy {
			running += e.running
		}
	}
	throughput := float64(running) / residence.Seconds()
	var groupArrivals float64
	for i := range c.classStats {
		s := &c.classStats[i]
		s.decay(now)
		switch {
		case c.groupEnd[i] < class:
			throughput -= s.grants / counted
		case c.groupEnd[i] == c.groupEnd[class]:
			groupArrivals += s.arrivals
		}
	}
	return max(throughput, 0) * c.classStats[class].arrivals / max(groupArrivals, 1)
}

// grantingTime returns how long the cell has been granting all classes, 0 while it does
// not.
func (c *Cell) grantingTime(now time.Time) time.Duration {
	if c.isPaused || c.hasTierLimit && c.tierLimit < ident.MaxTiers-1 {
		return 0
	}
	return now.Sub(c.grantsAllSince)
}

func (c *Cell) firstTokenTarget(r *GrantRequest) time.Duration {
	if r.FirstTokenTarget > 0 {
		return r.FirstTokenTarget
	}
	return c.Pool.FirstTokenTarget
}
