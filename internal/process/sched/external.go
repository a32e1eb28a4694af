package sched

import (
	"time"
)

// updateExternalLoad computes the external load from the endpoint's count of
// its requests. Granted requests that have not arrived there yet are not in the
// count, so the external load may be too low. It is too high by the counted
// requests that the cell has already ended.
func (e *endpoint) updateExternalLoad(o Occupancy, now time.Time) {
	e.externalLoad = max(o.Running+o.Waiting-e.running, 0)
	e.externalLoadUpdated = now
	e.load.State(o.Pace, now)
}

// externalLoadAt returns the number of external requests, which decreases
// linearly with the age of the count.
func (e *endpoint) externalLoadAt(now time.Time) int {
	if e.externalLoad == 0 {
		return 0
	}
	freshness := 1 - float64(now.Sub(e.externalLoadUpdated))/float64(maxExternalLoadAge)
	return int(max(freshness, 0)*float64(e.externalLoad) + 0.5)
}

// reportedDelay estimates the delay from requests in the endpoint's load report
// that this cell did not grant. It decreases linearly with the report's age on
// receipt.
func (e *endpoint) reportedDelay() time.Duration {
	external := e.report.Waiting + e.report.Running - e.running + e.grantsSinceReport
	if e.reportedAt.IsZero() || external <= 0 {
		return 0
	}
	freshness := 1 - float64(e.report.Age)/float64(maxLoadReportAge)
	return time.Duration(max(freshness, 0) * float64(external) * float64(e.interTokenLatency))
}
