package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// takeoverWindow is the time after the creation of a bucket in which refused tokens count
	// as refused after a takeover.
	takeoverWindow = 2 * time.Second
	// stallTime is the time without a Beat after which the other nodes may have found this one
	// failed: they wait for member.SuspicionTimeout before they do.
	stallTime = 2 * time.Second
	// maxHandedDebt bounds the debt that a level can state, in bursts, far above the longest
	// requests: a wrong message must not shut an account out for good.
	maxHandedDebt = 100
)

// Level is the level of a bucket, which is negative in debt, and its size. The zero value is
// that of an unlimited one.
type Level struct{ Level, Burst float64 }

// Levels are the levels of an account's buckets.
type Levels struct{ Requests, Tokens Level }

// Origin states where the level of a new bucket comes from.
type Origin string

// The origins.
const (
	// InitialFill is initialFill plus what the rate has added since Since.
	InitialFill Origin = "initial"
	// HandedOver is the level that the previous coordinator handed over.
	HandedOver Origin = "handed_over"
	// Stalled is at most initialFill, after the process was stalled.
	Stalled Origin = "stalled"
)

// Takeover is the creation of an account's buckets on a coordinator, or their renewal after it
// was stalled.
type Takeover struct {
	Account ident.ClientAccount
	Origin  Origin
	// Tokens is the level of the bucket for tokens.
	Tokens Level
}

// Remove removes the buckets of the accounts that this node no longer coordinates and returns
// their levels for the next coordinators. The tokens in them cannot be granted here any more,
// so that the next coordinator can grant them.
//
// A bucket that stayed would fill up while another node coordinates the account, and grant a
// whole burst besides if the account came back.
func (c *Coordinator) Remove(isCoordinator func(ident.ClientAccount) bool, now time.Time) map[ident.ClientAccount]Levels {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed map[ident.ClientAccount]Levels
	for id, b := range c.buckets {
		if isCoordinator(id) {
			continue
		}
		delete(c.buckets, id)
		if removed == nil {
			removed = map[ident.ClientAccount]Levels{}
		}
		removed[id] = Levels{levelOf(b.requests, now), levelOf(b.tokens, now)}
	}
	return removed
}

// Beat records that the process runs. It is called several times within stallTime. If the
// process was stalled for longer, other nodes may have coordinated the accounts meanwhile, and
// the buckets, which have filled up, are lowered to initialFill. Without any call this is never
// done.
func (c *Coordinator) Beat(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowerAfterStall(now)
}

// lowerAfterStall does the work of Beat. It is done by each request as well, since requests can
// come before the next Beat after a stall.
func (c *Coordinator) lowerAfterStall(now time.Time) {
	isStalled := !c.beat.IsZero() && now.Sub(c.beat) >= stallTime
	if now.After(c.beat) {
		c.beat = now
	}
	if !isStalled {
		return
	}
	for id, b := range c.buckets {
		for _, l := range []*rate.Limiter{b.requests, b.tokens} {
			if l.Limit() != rate.Inf {
				lowerTo(l, initialFill*float64(l.Burst()), now)
			}
		}
		c.takeOver(id, b, Stalled, now)
	}
}

// Accept takes over the levels that the previous coordinator of an account handed over. If the
// account has no buckets here yet, they start at these levels. Otherwise they are lowered to
// what the levels leave of their burst, and never raised: they may have granted already what
// the levels have.
func (c *Coordinator) Accept(a *config.Account, levels Levels, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, isKnown := c.buckets[a.ID]
	b := c.limitersOf(a, now)
	for _, l := range []struct {
		limiter *rate.Limiter
		level   Level
	}{{b.requests, levels.Requests}, {b.tokens, levels.Tokens}} {
		switch {
		case l.limiter.Limit() == rate.Inf:
		case !l.level.isValid():
			if !isKnown {
				drain(l.limiter, 0, now)
			}
		case isKnown:
			// The previous bucket was smaller if that node reached a part of the fleet alone.
			lowerTo(l.limiter, l.level.Level+max(float64(l.limiter.Burst())-l.level.Burst, 0), now)
		default:
			lowerTo(l.limiter, l.level.Level, now)
		}
	}
	if !isKnown {
		c.takeOver(a.ID, b, HandedOver, now)
	}
}

func (l Level) isValid() bool {
	return l.Burst > 0 && !math.IsInf(l.Burst, 0) && !math.IsNaN(l.Level) && !math.IsInf(l.Level, 0)
}

// takeOver records that buckets have been created, or lowered after a stall.
func (c *Coordinator) takeOver(id ident.ClientAccount, b *buckets, origin Origin, now time.Time) {
	b.created = now
	if c.OnTakeover != nil {
		c.OnTakeover(Takeover{id, origin, levelOf(b.tokens, now)})
	}
}

// countRefused counts the tokens of a request that was refused soon after a takeover.
func (c *Coordinator) countRefused(b *buckets, tokens ident.Tokens, now time.Time) {
	if c.OnRefusedAfterTakeover != nil && now.Sub(b.created) < takeoverWindow {
		c.OnRefusedAfterTakeover(tokens)
	}
}

// levelOf returns the level of a bucket.
func levelOf(l *rate.Limiter, now time.Time) Level {
	if l.Limit() == rate.Inf {
		return Level{}
	}
	return Level{l.TokensAt(now), float64(l.Burst())}
}

// lowerTo lowers a bucket to a level, and leaves it as it is if it is lower.
func lowerTo(l *rate.Limiter, level float64, now time.Time) {
	level = max(level, -maxHandedDebt*float64(l.Burst()))
	take(l, now, int(math.Ceil(l.TokensAt(now)-level)))
}

// Sequences recognizes handovers that come twice or after later ones of the same node. The
// zero value is ready for use and safe for concurrent use.
type Sequences struct {
	mu   sync.Mutex
	last map[ident.NodeID][2]uint64
}

// IsNew reports whether a handover of a node follows all earlier ones, by the number of the
// node's run, which must rise with each, and that of the handover in it. It is false from then
// on.
func (s *Sequences) IsNew(node ident.NodeID, run, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := [2]uint64{run, sequence}
	if last := s.last[node]; slices.Compare(next[:], last[:]) <= 0 {
		return false
	}
	if s.last == nil {
		s.last = map[ident.NodeID][2]uint64{}
	}
	s.last[node] = next
	return true
}
