package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	// exposeShare, exposeSlack and rollbackTime are the bounds in rolloutSettings.
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	// maxBadAnswers is the number of bad answers after which rollbackTime begins.
	maxBadAnswers = 50
	// contactMargin is the time after the end of a fault of the store within which nodes
	// that back off are still taken to have no contact.
	contactMargin = time.Second
	// restoreMargin is the time after a restore within which the nodes write again what the
	// store has lost, with the faults of the store in between added.
	restoreMargin = 10 * time.Second
	// rewriteTime is the time that nodes need to see a restore and write a status again.
	rewriteTime = time.Second
	// killMargin is the time within which an endpoint notices that the node of a
	// request was killed.
	killMargin = 300 * time.Millisecond
)

// recordRestore records that the store is about to be restored. A nil rollout ignores it.
func (o *rollout) recordRestore() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restoredAt = append(o.restoredAt, time.Now())
}

// recordLoss records that all nodes are about to be killed. A nil rollout ignores it.
func (o *rollout) recordLoss() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lostAt = append(o.lostAt, time.Now())
}

// isForgotten reports whether the end of the rollout was lost: the store was restored after it
// from an older copy, and all nodes were killed before they could write the end again.
func (o *rollout) isForgotten() bool {
	return slices.ContainsFunc(o.restoredAt, func(restored time.Time) bool {
		return restored.After(o.firstEnd()) && slices.ContainsFunc(o.lostAt, func(lost time.Time) bool {
			return lost.After(restored) && lost.Sub(restored) < rewriteTime
		})
	})
}

// hadNoContact reports whether the entry node of a request had no contact with the store at a
// time. The run knows this from the faults that it injects, and not from the nodes: from the start
// of a fault of the store, or of the node's path to it, until contactMargin after its end.
func (o *rollout) hadNoContact(node string, at time.Time) bool {
	return slices.ContainsFunc(o.noContact, func(i interval) bool {
		return (i.node == "" || i.node == node) && at.After(i.from) && at.Before(i.to.Add(contactMargin))
	})
}

// checkRollout checks the rollout of the run.
func (r *run) checkRollout() {
	o := r.world.rollout
	end := o.ended()
	o.mu.Lock()
	defer o.mu.Unlock()
	isFaulty := slices.ContainsFunc(r.world.targets, func(e *endpoint) bool { return len(e.downAt) > 0 || !e.limitedAt.IsZero() })
	switch {
	case o.quality == good && end == rolledBack && !isFaulty:
		r.violation("a good release without a fault of its endpoints was rolled back")
	case o.quality != good && end != rolledBack:
		r.violation("a %s release ended as %q", o.quality, end)
	}
	r.checkStatuses(o, end)
	if end == doneName {
		r.checkCutByDone(o)
	}
	exposed := "not bounded"
	if o.quality != good {
		exposed = r.checkExposure(o)
	}
	r.report.Rollout = fmt.Sprintf("%s, faults of its endpoints %v, ended %q after %v, statuses%s; exposed: %s",
		o.quality, isFaulty, end, o.firstEnd().Sub(o.orderedAt).Round(time.Millisecond), o.describeStatuses(r), exposed)
}

// firstEnd returns when the rollout ended, or the time of the order if it did not.
func (o *rollout) firstEnd() time.Time {
	for _, s := range o.statuses {
		if s.state != runningName {
			return s.at
		}
	}
	return o.orderedAt
}

func (o *rollout) describeStatuses(r *run) string {
	var b strings.Builder
	for _, s := range o.statuses {
		fmt.Fprintf(&b, " %s %s", r.sinceStart(s.at), s.state)
	}
	return b.String()
}

// checkStatuses checks that the status does not change after the end. A restored store may
// show the order as running for restoreMargin, until the nodes have written the end again, and
// to the end of the run if no node is left that knows the end.
func (r *run) checkStatuses(o *rollout, end string) {
	isOver, isForgotten := false, o.isForgotten()
	for _, s := range o.statuses {
		isRestored := slices.ContainsFunc(o.restoredAt, func(at time.Time) bool { return s.at.After(at) && s.at.Sub(at) < restoreMargin })
		if isOver && s.state != end && (s.state != runningName || !isRestored && !isForgotten) {
			r.violation("the status changed to %s after %s:%s", s.state, end, o.describeStatuses(r))
		}
		isOver = isOver || s.state == end && end != ""
	}
	if last := o.statuses; isOver && last[len(last)-1].state != end && !isForgotten {
		r.violation("the status is %s at the end, after %s:%s", last[len(last)-1].state, end, o.describeStatuses(r))
	}
}

// checkCutByDone checks that nothing ran at the old endpoints when they were stopped, except
// requests of nodes that were killed a moment before.
func (r *run) checkCutByDone(o *rollout) {
	if len(o.cutByDone) > 0 && !r.isNearUnplanned(o.firstEnd(), killMargin) {
		r.violation("%d requests ran at old endpoints when these were stopped at %s: %.300q", len(o.cutByDone), r.sinceStart(o.firstEnd()), o.cutByDone)
	}
}

// checkExposure checks what a bad release got: at most exposeShare of the pool's requests and
// exposeSlack until the deadline and until the end of the run, both without the requests of nodes
// that had no contact with the store, and nothing later than rollbackTime after the bad answer
// maxBadAnswers. Requests that take up streams go to the release that began them at any share
// and are not counted.
func (r *run) checkExposure(o *rollout) string {
	type arrival struct {
		at       time.Time
		node     string
		isTarget bool
	}
	var arrivals []arrival
	nodes := map[string]string{}
	for _, rec := range r.records {
		nodes[rec.id] = rec.node
	}
	bad := slices.Clone(o.failedAt)
	for _, e := range r.world.allModels() {
		isTarget := e.Release == targetRelease
		for _, a := range e.ReceivedRequests() {
			if a.At.Before(o.orderedAt) {
				continue
			}
			if o.quality == slow && isTarget && !a.EndedAt.IsZero() {
				bad = append(bad, a.EndedAt)
			}
			if a.Header.Get(engine.LastEventIDHeader) == "" {
				arrivals = append(arrivals, arrival{a.At, nodes[a.Header.Get(engine.AttemptIDHeader)], isTarget})
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	slices.SortFunc(bad, time.Time.Compare)
	all, got, late, uncounted := 0, 0, 0, 0
	deadline := o.orderedAt.Add(rampTime)
	checkShare := func(when string) {
		if float64(got) > exposeShare*float64(all)+exposeSlack {
			r.violation("a %s release got %d of %d requests %s", o.quality, got, all, when)
		}
	}
	isChecked := false
	for _, a := range arrivals {
		if !isChecked && a.at.After(deadline) {
			checkShare("until the deadline")
			isChecked = true
		}
		if !o.hadNoContact(a.node, a.at) {
			all++
			if a.isTarget {
				got++
			}
		} else if a.isTarget {
			uncounted++
		}
		if !a.isTarget {
			continue
		}
		if len(bad) >= maxBadAnswers && a.at.After(bad[maxBadAnswers-1].Add(rollbackTime)) {
			late++
		}
	}
	checkShare("until the end")
	if late > 0 {
		r.violation("a %s release got %d requests later than %v after its bad answer %d", o.quality, late, rollbackTime, maxBadAnswers)
	}
	return fmt.Sprintf("%d of %d and %d without contact with the store, %d bad answers", got, all, uncounted, len(bad))
}
