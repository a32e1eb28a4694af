package canary

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// allRoutes is the key of the tests over all routes; no route has this name.
	allRoutes = "*"
	// recentSteps is the number of steps whose answers of the old release are the present.
	recentSteps = 4
	// minTrials is the number of answers of the old release from which their adverse share
	// is an estimate.
	minTrials = 20
	// priorTrials is the weight of the longer history in the share of the recent steps, and
	// with priorAdverse that of the unknown in the history: none adverse of 100 is no proof
	// of 0.
	priorTrials, priorAdverse = 10, 0.5
	// maxLongTrials is the number of answers at which the longer history is halved.
	maxLongTrials = 5000
	// historyFactor multiplies the thresholds while the old release has no comparable
	// load and only its history is a measure.
	historyFactor = 1.2
	// doubtful is the value of a test from which the share is not raised. One failure among
	// few answers is below it, since some route has one at most times.
	doubtful = 3.2
	// certain is the value of a test from which failures count that are not spread over the
	// entry nodes, or that the sample does not list by entry node.
	certain = 13.0
	// secondLook is where the tests of slow answers start again after an alarm: above 0, since
	// a slow release is likelier than before.
	secondLook = 2.0
	// maxRoutes bounds the routes that are tested on their own, and the encoded state.
	maxRoutes = 32
)

// route holds the tests of one route, and the old release's adverse shares there.
type route struct {
	tests  [numKinds]test
	recent [recentSteps][numKinds]tally // the latest step first
	long   [numKinds]tally
}

// Judge compares the target's answers with the old release's of the same time, route and
// class. The zero value knows nothing.
type Judge struct {
	target   ident.Release
	places   map[place]*baseline
	routes   map[string]*route
	entries  entries
	paces    paces
	epochEnd time.Duration
}

// conditions tell how a step's answers compare.
type conditions struct {
	// historyOnly is set while the old release's load is so low that its present answers
	// are no measure.
	historyOnly bool
	// ignoreSpeed is set while the target has more load than the old release ever had.
	ignoreSpeed bool
}

// finding is what the judge's tests say, with the counts that decided.
type finding struct {
	verdict Verdict
	// isSuspicious is set if a test is not clear of the target; the share is not raised then.
	isSuspicious bool
	// isSpeed is set if a Bad verdict is due to slow answers alone.
	isSpeed bool
	// doubt is the highest value of any test; a test is Bad at badBound.
	doubt  float64
	reason string
}

// setTarget starts the tests anew. The old release's history stays unless it may include
// answers of another target.
func (j *Judge) setTarget(target ident.Release) {
	if j.target != "" && j.target != target {
		*j = Judge{}
	}
	j.target = target
	for _, r := range j.routes {
		r.tests = [numKinds]test{}
	}
}

// resetSpeed restarts the tests of slow answers at secondLook.
func (j *Judge) resetSpeed() {
	for _, r := range j.routes {
		for k := range numKinds {
			if k != failed {
				r.tests[k] = test{ratio: secondLook, sum: secondLook}
			}
		}
	}
}

// observe adds a step's counts.
func (j *Judge) observe(s *Sample, c conditions, now time.Duration) {
	j.endEpochs(now)
	j.entries.add(s.Entries, now)
	type sides struct{ old, target [numKinds]tally }
	step := map[string]*sides{allRoutes: {}}
	of := func(name string) *sides {
		if step[name] == nil {
			step[name] = &sides{}
		}
		return step[name]
	}
	byPlace := map[place]thresholds{}
	for key, count := range s.Counts {
		limits, known := byPlace[place{key.Route, key.Class}]
		if !known {
			limits = j.thresholds(place{key.Route, key.Class}, c.historyOnly)
			byPlace[place{key.Route, key.Class}] = limits
		}
		if key.Release == j.target && j.target != "" {
			if c.ignoreSpeed {
				limits = thresholds{}
			}
			limits.classify(&count, &of(key.Route).target)
			limits.classify(&count, &of(allRoutes).target)
			continue
		}
		limits.classify(&count, &of(key.Route).old)
		limits.classify(&count, &of(allRoutes).old)
	}
	addLost(&step[allRoutes].old, &step[allRoutes].target, s.Lost, j.target)
	counted := j.entries.discount(s.Entries, j.target)
	for name := range j.routes {
		of(name) // so that steps without answers pass as well
	}
	all := j.route(allRoutes)
	all.addOld(&step[allRoutes].old)
	for name, sides := range step {
		r := j.route(name)
		if r == nil {
			continue
		}
		if r != all {
			r.addOld(&sides.old)
		}
		r.addTarget(&sides.target, all, counted)
	}
	j.addPaces(s.Paces)
	for key, count := range s.Counts {
		if key.Release != j.target || j.target == "" {
			j.learn(place{key.Route, key.Class}, &count)
		}
	}
}

// addLost counts the loss of endpoints as one failure of their release, however many are lost
// in one step: they mostly share a host or a zone.
func addLost(old, target *[numKinds]tally, lost map[ident.Release]int, release ident.Release) {
	for r, n := range lost {
		if n <= 0 {
			continue
		}
		if r == release {
			target[failed].add(tally{1, 1})
		} else {
			old[failed].add(tally{1, 1})
		}
	}
}

func (j *Judge) endEpochs(now time.Duration) {
	if now < j.epochEnd && now >= j.epochEnd-epoch { // the store's clock may have stepped back
		return
	}
	j.epochEnd = now + epoch
	for _, b := range j.places {
		b.endEpoch()
	}
}

func (j *Judge) learn(p place, c *Count) {
	b := j.places[p]
	if b == nil {
		if len(j.places) >= maxPlaces {
			return
		}
		if j.places == nil {
			j.places = map[place]*baseline{}
		}
		b = &baseline{}
		j.places[p] = b
	}
	b.add(c)
}

// route returns a route's record, or nil if there are too many routes.
func (j *Judge) route(name string) *route {
	r := j.routes[name]
	if r == nil && len(j.routes) < maxRoutes {
		if j.routes == nil {
			j.routes = map[string]*route{}
		}
		r = &route{}
		j.routes[name] = r
	}
	return r
}

// addOld adds the old release's answers of a step.
func (r *route) addOld(old *[numKinds]tally) {
	copy(r.recent[1:], r.recent[:])
	r.recent[0] = *old
	for k := range r.long {
		r.long[k].add(old[k])
		if r.long[k].trials > maxLongTrials {
			r.long[k].trials /= 2
			r.long[k].adverse /= 2
		}
	}
}

// addTarget adds the target's answers of a step to the tests; counted is the part of its
// failures that is evidence.
func (r *route) addTarget(target *[numKinds]tally, all *route, counted float64) {
	failures := target[failed].adverse
	for k := range numKinds {
		t := target[k]
		if k != gap {
			t.adverse = max(t.adverse-(1-counted)*failures, 0)
		}
		p0, p1 := k.probabilities(r.base(k, all))
		r.tests[k].add(t, p0, p1)
	}
}

// base returns the old release's adverse share: the largest of its history and of the latest
// one, two and four steps, where these have enough answers. If a route has too few, those of
// all routes count. A route's history is not taken as better than that of all routes: in few
// answers a share of 1% mostly shows as 0.
func (r *route) base(k kind, all *route) float64 {
	base := 0.0
	for _, long := range []tally{r.long[k], all.long[k]} {
		if long.trials >= minTrials {
			base = max(base, (long.adverse+priorAdverse)/(long.trials+priorTrials))
		}
	}
	result := base
	for _, source := range []*route{r, all} {
		var recent tally
		found := false
		for n := range recentSteps {
			recent.add(source.recent[n][k])
			if isWindow := n == 0 || n == 1 || n == recentSteps-1; isWindow && recent.trials >= minTrials {
				found = true
				result = max(result, (recent.adverse+priorTrials*base)/(recent.trials+priorTrials))
			}
		}
		if found {
			break
		}
	}
	return result
}

// find returns what the tests say. A Bad verdict on failures needs failures that are spread
// over the entry nodes.
func (j *Judge) find() finding {
	all := j.routes[allRoutes]
	if all == nil {
		return finding{}
	}
	f := finding{verdict: Good}
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		r := j.routes[name]
		for k := range numKinds {
			t := &r.tests[k]
			if t.isBad() && (k != failed || max(t.ratio, t.sum) >= certain || j.entries.areSpread(j.target)) {
				return finding{verdict: Bad, isSuspicious: true, isSpeed: k != failed, doubt: badBound, reason: j.describe(name, k)}
			}
			if isUnknown := t.seen.trials == 0 && k != failed; r == all && !isUnknown && t.ratio > goodBound {
				f.verdict = Undecided
			}
			if doubt := max(t.ratio, t.sum*badBound/cusumBound); doubt > f.doubt {
				f.doubt, f.reason = doubt, j.describe(name, k)
			}
		}
	}
	for k := range numKinds {
		f.isSuspicious = f.isSuspicious || all.tests[k].ratio > 0
	}
	if f.isSuspicious = f.isSuspicious || f.doubt >= doubtful; f.isSuspicious {
		f.verdict = Undecided
	}
	if f.doubt == 0 {
		f.reason = j.describe(allRoutes, failed)
	}
	return f
}

// describe names the counts of a test.
func (j *Judge) describe(name string, k kind) string {
	r := j.routes[name]
	where := "on all routes"
	if name != allRoutes {
		where = "on route " + name
	}
	t, old := r.tests[k].seen, r.long[k]
	oldShare := 0.0
	if old.trials > 0 {
		oldShare = 100 * old.adverse / old.trials
	}
	return fmt.Sprintf("%s: %.0f of %.0f answers %s %s, %.1f%% at the old release", j.target, t.adverse, t.trials, k, where, oldShare)
}
