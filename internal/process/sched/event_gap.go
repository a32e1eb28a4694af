package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// minGapFraction is the fraction of the pool's event gap target for which an engine may
	// be busy with prompts at least. An engine that needs nearly the whole gap for the tokens
	// of an event still has to read prompts.
	minGapFraction = 0.25
	// pauseCost is the cost of a pause in one running stream, and maxPauseCost that of pauses
	// in many. It stays below failureCost, so that no prompt goes to a failing endpoint to
	// spare the streams of others.
	pauseCost    = 100 * time.Millisecond
	maxPauseCost = 4 * failureCost / 5
)

// maxPrefillTime returns how long an engine may be busy with the prompts that it has been
// granted: up to the request's first-token target and, if the pool has a target for the gap
// between events, as long as the streams that run there get their next event in time.
//
// The load pattern behind it is long prompts among streams. An engine reads a prompt in
// chunks between the tokens of its streams, so that each of them pauses until the prompts
// are read, and all of them are late.
func (c *Cell) maxPrefillTime(r *GrantRequest, e *endpoint) time.Duration {
	target := c.firstTokenTarget(r)
	if gap := c.eventGapAllowance(e); gap > 0 {
		return min(target, gap)
	}
	return target
}

// eventGapAllowance returns what the event gap target leaves for prompts at an engine, 0 if
// there is no target or no stream that could pause.
func (c *Cell) eventGapAllowance(e *endpoint) time.Duration {
	if e.generating == 0 {
		return 0
	}
	return c.streamGapAllowance(e)
}

// streamGapAllowance is eventGapAllowance for an engine with streams, whether it has any or not.
func (c *Cell) streamGapAllowance(e *endpoint) time.Duration {
	gap := c.Pool.EventGapTarget
	if gap == 0 || e.Slots == 0 || e.Kind != ident.ModelRunner {
		return 0
	}
	eventTime := time.Duration(max(c.Pool.TokensPerEvent, 1)) * e.interTokenLatency
	return max(gap-eventTime, time.Duration(minGapFraction*float64(gap)))
}

// costOfPauses returns the cost of the pauses that a prompt causes in the streams of an
// engine. It steers prompts that are too long for any allowance to engines with few streams.
func (c *Cell) costOfPauses(e *endpoint, uncached ident.Tokens) time.Duration {
	if !c.wouldPause(e, uncached) {
		return 0
	}
	return min(time.Duration(e.generating)*pauseCost, maxPauseCost)
}
