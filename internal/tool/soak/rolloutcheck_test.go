package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStatusChanges guards against a check that overlooks a status that leaves its end, or that
// blames nodes for an end that a restored store and a kill of all nodes have erased.
func TestStatusChanges(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	type states []observedStatus
	ended := states{{at(1), runningName}, {at(5), rolledBack}}
	for _, c := range []struct {
		name           string
		statuses       states
		restored, lost []time.Time
		want           int
	}{
		{"ended", ended, nil, nil, 0},
		{"running again", append(ended, observedStatus{at(6), runningName}), nil, nil, 2},
		{"another end", append(ended, observedStatus{at(6), doneName}), nil, nil, 2},
		{"another end after a restore", append(ended, observedStatus{at(6), doneName}), []time.Time{at(5.9)}, nil, 2},
		{"written again after a restore", append(ended, observedStatus{at(6), runningName}, observedStatus{at(7), rolledBack}), []time.Time{at(5.9)}, nil, 0},
		{"not written again", append(ended, observedStatus{at(6), runningName}), []time.Time{at(5.9)}, nil, 1},
		{"not written again, all nodes killed late", append(ended, observedStatus{at(6), runningName}), []time.Time{at(5.9)}, []time.Time{at(8)}, 1},
		{"all nodes killed after a restore", append(ended, observedStatus{at(6), runningName}), []time.Time{at(5.9)}, []time.Time{at(6)}, 0},
	} {
		r := &run{start: start}
		o := &rollout{statuses: c.statuses, restoredAt: c.restored, lostAt: c.lost}
		r.checkStatuses(o, rolledBack)
		qt.Check(t, r.report.Violations, qt.HasLen, c.want, qt.Commentf(c.name))
	}
}
