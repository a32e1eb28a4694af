package sched

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// transitWeight is the weight of a new sample in the moving average of the transit.
	transitWeight = 0.05
	// maxTransit bounds the transit: calls in flight are at most twice the slots, and the
	// excess of a wrong estimate waits at the endpoint for about the time of one call.
	maxTransit = 0.5
)

// transit is the fraction of its time in flight during which a call is not at its endpoint:
// on the way from the cell through its entry node to the endpoint, and back. Calls in transit
// occupy no slot there.
//
// The load pattern behind it is a small service with short calls behind many slow entry nodes.
// Where a call of 13 ms was in flight for 28 ms until the cell learned of its end, the
// endpoints were half idle while the cell counted all slots as busy and refused calls.
type transit float64

// add adds a call that was in flight for a time and at its endpoint for a part of that.
func (t *transit) add(inFlight, atEndpoint time.Duration) {
	if inFlight <= 0 || atEndpoint <= 0 {
		return
	}
	sample := min(max(1-atEndpoint.Seconds()/inFlight.Seconds(), 0), maxTransit)
	*t += transitWeight * (transit(sample) - *t)
}

// of returns how many of a number of calls in flight are in transit.
func (t transit) of(running int) int { return int(float64(t) * float64(running)) }

// atEndpoint returns the number of granted requests that are expected to be at the endpoint.
// Other requests than calls spend nearly all of their time there.
func (e *endpoint) atEndpoint() int { return e.running - e.transit.of(e.running) }

// recordTransit records the end of a grant of this cell. An endpoint that rejects a call has
// no room for more than its slots; the transit is then estimated anew.
func (e *endpoint) recordTransit(g *grant, completion *Completion, now time.Time) {
	switch {
	case e.Kind != ident.ApplicationRunner || !e.adapts() || completion == nil || g.isAdopted:
	case completion.Refused && !completion.Failed:
		e.transit = 0
	case completion.IsWhole && !completion.Erred:
		e.transit.add(now.Sub(g.grantedAt), completion.TimeToFirstToken)
	}
}
