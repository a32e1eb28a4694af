package origin

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// recentTime is the time for which a release that a pool no longer has is recorded.
	recentTime = 2 * time.Minute
	// unlimited is the age of a pool that is known to never have had another release.
	unlimited = time.Duration(math.MaxInt64)
)

// Census records which releases each pool has and had lately. The zero value is empty. It
// is safe for concurrent use.
type Census struct {
	mu    sync.Mutex
	pools map[ident.PoolID]*poolCensus
	// isComplete is set if pools that are not known yet had no endpoints before.
	isComplete bool
}

type poolCensus struct {
	present []ident.Release
	// lastSeen holds when each release was last present, including those that are.
	lastSeen map[ident.Release]time.Time
	// since is the time of the first observation. hasHistory is set if it is known which
	// releases the pool had before that.
	since      time.Time
	hasHistory bool
}

func (c *Census) pool(id ident.PoolID, now time.Time) *poolCensus {
	if c.pools == nil {
		c.pools = map[ident.PoolID]*poolCensus{}
	}
	if c.pools[id] == nil {
		c.pools[id] = &poolCensus{lastSeen: map[ident.Release]time.Time{}, since: now, hasHistory: c.isComplete}
	}
	return c.pools[id]
}

// Observe records the releases of the endpoints that the pools have now. A pool without
// endpoints keeps those that it had.
func (c *Census) Observe(releases map[ident.PoolID][]ident.Release, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range releases {
		if len(list) == 0 {
			continue
		}
		p := c.pool(id, now)
		p.touch(now)
		p.present = slices.Compact(slices.Sorted(slices.Values(list)))
		p.touch(now)
	}
}

// touch records that the present releases are seen.
func (p *poolCensus) touch(now time.Time) {
	for _, release := range p.present {
		p.lastSeen[release] = now
	}
}

// Learn records all releases that a pool had lately, as another process recorded them.
func (c *Census) Learn(id ident.PoolID, releases []ident.Release, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(id, now)
	p.hasHistory = true
	for _, release := range releases {
		p.lastSeen[release] = now
	}
}

// LearnAll records that no pool had any release but those that it has or Learn has
// recorded, as in a fleet that starts for the first time.
func (c *Census) LearnAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isComplete = true
	for _, p := range c.pools {
		p.hasHistory = true
	}
}

// Recent returns the releases that each pool has or had lately, sorted, for Learn. It
// leaves out pools of which that is not known.
func (c *Census) Recent(now time.Time) map[ident.PoolID][]ident.Release {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := map[ident.PoolID][]ident.Release{}
	for id, p := range c.pools {
		p.touch(now)
		maps.DeleteFunc(p.lastSeen, func(_ ident.Release, at time.Time) bool { return now.Sub(at) > recentTime })
		if p.hasHistory || now.Sub(p.since) > recentTime {
			recent[id] = slices.Sorted(maps.Keys(p.lastSeen))
		}
	}
	return recent
}

// Sole returns the only release that a pool has, and for how long it is known to have had
// no other. It returns false if the pool has several releases.
func (c *Census) Sole(id ident.PoolID, now time.Time) (release ident.Release, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	if p == nil || len(p.present) != 1 {
		return "", 0, false
	}
	age = now.Sub(p.since)
	if p.hasHistory {
		age = unlimited
	}
	for other, at := range p.lastSeen {
		if other != p.present[0] {
			age = min(age, now.Sub(at))
		}
	}
	return p.present[0], age, true
}

// IsMixed reports whether a pool has several releases.
func (c *Census) IsMixed(id ident.PoolID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	return p != nil && len(p.present) > 1
}
