package fleet

import (
	"time"

	qt "github.com/frankban/quicktest"
)

// limit sets the limit on requests per second that engines name in their answers, or
// none.
func (p *proxyCase) limit(names []string, given map[string]string) {
	for _, name := range names {
		e := p.engines[name]
		e.mu.Lock()
		e.limit, e.limitedAt = given["rate"], time.Now()
		e.mu.Unlock()
	}
}

// checkRate checks the largest number of requests that reached an engine within any
// window, later than after= from the last limit line.
func (p *proxyCase) checkRate(names []string, given map[string]string) {
	window, after := p.ParseDuration(given["window"]), p.ParseDuration(given["after"])
	for _, name := range names {
		e := p.engines[name]
		var at []time.Time
		for _, r := range e.ReceivedRequests() {
			if r.At.After(e.limitedAt.Add(after)) {
				at = append(at, r.At)
			}
		}
		most, first := 0, 0
		for i := range at {
			for at[i].Sub(at[first]) > window {
				first++
			}
			most = max(most, i-first+1)
		}
		comment := qt.Commentf("%s: %s: %d requests in %v", p.Position, name, most, window)
		qt.Check(p.T, most >= p.IntOption("at_least", 0), qt.IsTrue, comment)
		if given["at_most"] != "" {
			qt.Check(p.T, most <= p.IntOption("at_most", 0), qt.IsTrue, comment)
		}
	}
}
