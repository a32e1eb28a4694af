package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	// stableWindow is the time after a fault of a node that it needs to be in touch again.
	stableWindow = 3 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests at an endpoint that
	// names a limit; maxLateCrashing bounds those that crash endpoints, later
	// than stableWindow after the fifth crash under a part or the third under a request.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	maxLateCrashing = 3
	// maxFalls and a tenth of their number bound how often brittle models fall over.
	maxFalls = 2
	// maxHeld is the longest time to the refusal of a request while nothing but the replacement of
	// nodes happens.
	maxHeld = time.Second
	// cutSlack is the time before the start of a request within which a fault may cut it.
	cutSlack = 2 * time.Second
)

// check checks all records against what the endpoints received.
func (r *run) check() {
	arrivals := map[string][]arrived{}
	for _, e := range slices.Concat(r.world.allModels(), r.world.apps) {
		for _, a := range e.ReceivedRequests() {
			if want := a.Header.Get(engine.ExpectInstanceHeader); want != e.name {
				r.violation("%s was sent to %s as %q", a.Header.Get(engine.AttemptIDHeader), e.name, want)
				continue
			}
			id := a.Header.Get(engine.AttemptIDHeader)
			arrivals[id] = append(arrivals[id], arrived{e.name, a.At, a.WasRefused})
		}
	}
	for _, rec := range r.records {
		r.report.Sent++
		if rec.began != "" && !rec.isTriedAgain {
			r.report.TakenUp++
		}
		if rec.began != "" && rec.status == http.StatusOK {
			r.report.GoneOn++
		}
		r.checkRecord(rec, arrivals[rec.id])
	}
	r.checkSlow()
	r.checkCrashing(r.world.allModels(), 5, hasCrashingPart)
	r.checkCrashing(r.world.apps, 3, func(a engine.ReceivedRequest) bool { return a.Target == crashingPath })
	falls := 0
	for _, e := range r.world.allModels() {
		r.checkLimit(e)
		falls += e.falls
	}
	r.report.Falls = falls
	if r.world.rollout != nil {
		r.checkRollout()
	}
	r.checkOwnEnds()
	if falls > maxFalls+len(r.world.allModels())/10 {
		r.violation("models that survive %d refusals a second fell over %d times", r.world.brittle.Load(), falls)
	}
}

// arrived is a request that reached an endpoint, which runs it unless it refuses it as not run.
type arrived struct {
	endpoint   string
	at         time.Time
	wasRefused bool
}

// attemptsOf holds, for the kinds of requests that may run once, the numbers of endpoints to which
// one may be sent.
var attemptsOf = map[string]int{"label": 1, "book": 2}

func (r *run) describe(arrivals []arrived) string {
	var b strings.Builder
	for _, a := range arrivals {
		fmt.Fprintf(&b, " %s at %s, refused there: %v;", a.endpoint, r.sinceStart(a.at), a.wasRefused)
	}
	return b.String()
}

// checkRecord checks one request that reached endpoints.
func (r *run) checkRecord(rec record, arrivals []arrived) {
	attempts, isOnce := attemptsOf[rec.kind]
	runs := 0
	for _, a := range arrivals {
		if !a.wasRefused {
			runs++
		}
	}
	if isOnce && (runs > 1 || len(arrivals) > attempts) {
		r.violation("%s %s ran at endpoints %d times:%s", rec.kind, rec.id, runs, r.describe(arrivals))
	}
	switch {
	case rec.status == http.StatusServiceUnavailable || rec.status == http.StatusTooManyRequests || rec.status == http.StatusRequestTimeout:
		r.report.Refused++
		if held := rec.end.Sub(rec.start); r.IsCalm && held > maxHeld && !r.isOfEarlier(rec) {
			r.violation("%s %s at %s, sent at %s, was refused after %s", rec.kind, rec.id, rec.node, r.sinceStart(rec.start), held)
		}
		if len(arrivals) > 0 && runs == 0 {
			r.report.RefusedThere++
		}
		if isOnce && runs > 0 {
			r.violation("%s %s was refused with %d by %s between %s and %s and ran at an endpoint:%s", rec.kind, rec.id, rec.status,
				rec.node, r.sinceStart(rec.start), r.sinceStart(rec.end), r.describe(arrivals))
		}
	case rec.status >= http.StatusBadRequest && rec.status < http.StatusInternalServerError:
		r.violation("%s %s got %d", rec.kind, rec.id, rec.status)
	case rec.status == http.StatusOK:
		r.checkAnswer(rec)
	case rec.err != nil:
		r.checkCut(rec, len(arrivals))
	}
}

func (r *run) checkAnswer(rec record) {
	if rec.attempt != rec.id || !strings.HasSuffix(rec.stamp, "."+rec.id) {
		r.violation("%s %s got the answer to %q, stamp %q", rec.kind, rec.id, rec.attempt, rec.stamp)
	}
	isStream := rec.kind == "chat" || rec.kind == "label"
	if rec.isCut && !r.mayBeCut(rec) {
		r.violation("%s %s at %s was cut between %s and %s with no fault but silent endpoints", rec.kind, rec.id, r.nodeOf(rec),
			r.sinceStart(rec.start), r.sinceStart(rec.end))
	}
	switch {
	case rec.isCut && (!isStream || isStreamStart(rec.resumed+rec.body)):
	case isStream && !rec.isCut && isWholeStream(rec.resumed+rec.body), !isStream && rec.body == "done":
		r.report.Whole++
	default:
		r.violation("%s %s at %s, sent at %s, got a wrong body, cut %v, after %.200q: %.200q", rec.kind, rec.id, r.nodeOf(rec), r.sinceStart(rec.start),
			rec.isCut, rec.resumed, rec.body)
	}
}

// mayBeCut reports whether a fault other than the silence of an endpoint may have cut the
// answer to a request: one of its node or any crash of a model, or that its time was over. Where all
// endpoints stand still, nodes have others serve requests, and a fault of such a one counts too.
func (r *run) mayBeCut(rec record) bool {
	if r.HasSilences && r.isNearUnplanned(rec.end, rec.end.Sub(rec.start)) {
		return true
	}
	if r.nodeMayCut(rec) || rec.end.Sub(rec.start) > routeTimeout {
		return true
	}
	return slices.ContainsFunc(r.world.allModels(), func(e *endpoint) bool { return slices.ContainsFunc(e.downAt, rec.isDuring) })
}

// nodeMayCut reports whether a fault or the end of its node may have cut the answer to a
// request.
func (r *run) nodeMayCut(rec record) bool {
	return slices.ContainsFunc(r.unplanned[rec.node], rec.isDuring) || slices.ContainsFunc(r.stopped[rec.node], rec.isCutByStop)
}

// isCutByStop reports whether the node of a request may have cut its answer at the end of the grace
// period: the request was sent before the callers' addresses had expired, and ended late.
func (rec *record) isCutByStop(stopped time.Time) bool {
	return rec.start.Before(stopped.Add(stopServeTime)) && rec.end.After(stopped.Add(stopCutFrom))
}

// checkOwnEnds checks that no process has ended by itself.
func (r *run) checkOwnEnds() {
	for _, n := range r.world.nodes {
		n.mu.Lock()
		ends := slices.Clone(n.ownEnds)
		n.mu.Unlock()
		for _, end := range ends {
			r.violation("a process ended by itself: %s", end)
		}
	}
}

// isDuring reports whether a time is within the request's or shortly before.
func (rec *record) isDuring(at time.Time) bool {
	return at.After(rec.start.Add(-cutSlack)) && at.Before(rec.end)
}

// checkCut checks a request that got no answer: its node was killed or frozen, was not
// reached, had to end while the request was at an endpoint, or ended an idle connection at the
// same moment.
func (r *run) checkCut(rec record, arrivals int) {
	var dial *net.OpError
	if errors.As(rec.err, &dial) && dial.Op == "dial" || arrivals == 0 && rec.end.Sub(rec.start) < lostTime {
		return
	}
	for _, at := range r.unplanned[rec.node] {
		if at.Before(rec.end) && at.After(rec.start.Add(-stableWindow)) {
			return
		}
	}
	if slices.ContainsFunc(r.stopped[rec.node], func(stopped time.Time) bool {
		if r.isOfEarlier(rec) {
			// Earlier builds answer nothing that they hold at the end of the grace period.
			return rec.start.Before(stopped.Add(stopGrace)) && rec.end.After(stopped.Add(stopCutFrom))
		}
		return arrivals > 0 && rec.isCutByStop(stopped)
	}) {
		return
	}
	r.violation("%s %s at %s got no answer from %s between %s and %s, %d arrivals: %v",
		rec.kind, rec.id, r.sinceStart(rec.start), r.nodeOf(rec), r.sinceStart(rec.start), r.sinceStart(rec.end), arrivals, rec.err)
}

// lostTime is the time within which a connection may be closed on which a request has
// just been sent.
const lostTime = 200 * time.Millisecond

// checkCrashing checks that few of the requests that crash endpoints of a pool reach it
// later than stableWindow after the crash of the given number. Those that a node sent
// within stableWindow after it was frozen don't count.
func (r *run) checkCrashing(pool []*endpoint, number int, isCrashing func(engine.ReceivedRequest) bool) {
	var crashes []time.Time
	for _, e := range pool {
		crashes = append(crashes, e.crashedAt...)
	}
	r.report.Crashes += len(crashes)
	if len(crashes) < number {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from, late := crashes[number-1].Add(stableWindow), 0
	for _, e := range pool {
		for _, a := range e.ReceivedRequests() {
			if isCrashing(a) && a.At.After(from) && !r.isNearUnplanned(a.At, stableWindow) {
				late++
			}
		}
	}
	if late > maxLateCrashing {
		r.violation("%d crashing requests reached endpoints after the crash %d of %d", late, number, len(crashes))
	}
}

func hasCrashingPart(r engine.ReceivedRequest) bool {
	return strings.Contains(r.Header.Get(engine.PromptPrefixHeader), ","+crashingPart+":")
}

// isNearUnplanned reports whether any node was killed or frozen in a time before at.
func (r *run) isNearUnplanned(at time.Time, before time.Duration) bool {
	for _, times := range r.unplanned {
		for _, fault := range times {
			if fault.Before(at) && at.Sub(fault) < before {
				return true
			}
		}
	}
	return false
}

// checkLimit checks the windows of an endpoint with a limit in which, and before which, no
// node was killed or frozen.
func (r *run) checkLimit(e *endpoint) {
	if e.limitedAt.IsZero() {
		return
	}
	var at []time.Time
	for _, a := range e.ReceivedRequests() {
		if a.At.After(e.limitedAt.Add(stableWindow)) {
			at = append(at, a.At)
		}
	}
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) > limitWindow {
			first++
		}
		count := i - first + 1
		if float64(count) > limitFactor*limitRate*limitWindow.Seconds()+limitSlack && !r.isNearUnplanned(at[i], limitWindow+stableWindow) {
			r.violation("%s got %d requests in %v to %s", e.name, count, limitWindow, r.sinceStart(at[i]))
			return
		}
	}
}
