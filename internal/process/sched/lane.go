package sched

import (
	"math"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// serviceTime is the time constant with which arrivals and grants are
	// forgotten.
	serviceTime = 3 * time.Second
	// lowerShare is how much of the service of one lane the next lower one of
	// the same tier gets while not all can be served.
	lowerShare = 0.75
	// minArrivals is the weight of arrivals below which a lane's service is not
	// judged.
	minArrivals = 4.0
	// leastPatience is the part of its target that a bid may wait in any case.
	leastPatience = 0.25
)

// service counts the arrivals and grants of one lane, older ones less and
// less.
type service struct {
	arrived, granted float64
	at               time.Time
	// first is the mean time from a grant to the first token of late.
	first time.Duration
}

func (s *service) advance(now time.Time) {
	if dt := now.Sub(s.at); dt > 0 && !s.at.IsZero() {
		left := math.Exp(-dt.Seconds() / serviceTime.Seconds())
		s.arrived *= left
		s.granted *= left
	}
	s.at = now
}

// ratio is the part of the lane's arrivals that was granted; 1 while there are
// few.
func (s *service) ratio() float64 {
	if s.arrived < minArrivals {
		return 1
	}
	return s.granted / s.arrived
}

// perSecond is the lane's rate of grants.
func (s *service) perSecond() float64 { return s.granted / serviceTime.Seconds() }

// setLanes takes over which lanes share service. Lanes are numbered as the
// tiers of the pool's team; those of one group are served in proportion to
// their arrivals, all others strictly in order.
func (c *Cell) setLanes() {
	for i := range c.last {
		c.last[i] = ident.Tier(i)
	}
	if c.Pool == nil || c.Pool.Team == nil {
		return
	}
	for _, t := range c.Pool.Team.Tiers {
		if t.Rank < ident.MaxTiers && t.GroupEnd < ident.MaxTiers && t.GroupEnd > t.Rank {
			c.last[t.Rank] = t.GroupEnd
		}
	}
}

// next returns the lane of a group whose first bid is next: the one that got
// the least of what it asked for, higher lanes counting for more. It returns
// false when no lane has a bid that was not skipped in this round.
func (c *Cell) next(first, last ident.Tier) (lane ident.Tier, s *share, ok bool) {
	least := math.Inf(1)
	weight := 1.0
	for i := first; i <= last; i++ {
		if c.queues[i].length > 0 {
			if found := c.queues[i].first(c.round); found != nil {
				if ratio := c.service[i].ratio() / weight; ratio < least {
					least, lane, s, ok = ratio, i, found, true
				}
			}
		}
		weight *= lowerShare
	}
	return lane, s, ok
}

// patience is how long a bid is worth waiting for: its target less what its
// first token takes once it is granted. Past it the answer is late in any case,
// and its room serves another in time.
func (c *Cell) patience(b *GrantRequest) time.Duration {
	return max(b.FirstTokenTarget-c.service[b.lane].first, time.Duration(leastPatience*float64(b.FirstTokenTarget)))
}

// laneWait estimates how long the last bid of a lane waits, from the lane's
// own rate of grants.
func (c *Cell) laneWait(lane ident.Tier, now time.Time) time.Duration {
	s := &c.service[lane]
	s.advance(now)
	if s.arrived < minArrivals {
		return 0
	}
	rate := max(s.perSecond(), 1)
	return time.Duration(float64(c.queues[lane].length) / rate * float64(time.Second))
}
