// Package poison finds the traits of requests that crash endpoints, and holds the
// quarantined ones.
//
// A request that crashes its endpoint is lost with all other requests there. If the
// cause lies in a trait, such as a part of its prompt or all of a request that its caller
// sends again, other requests carry it to the next endpoints. A crash alone blames nothing,
// as endpoints also crash by themselves, and the requests at an endpoint share their traits
// with sound ones. Detector therefore counts, for each trait, the crashes of endpoints that
// held a request with the trait and had sent nothing of its answer. A trait becomes a
// suspect after minCrashes such crashes at different endpoints and times, if no request with
// it has completed meanwhile, or run on for SurvivalTime, but other requests have been
// answered. Of several suspects, those are blamed with which no request has completed for
// the longest time, and among these the ones with the most crashes; crashes that they
// explain no longer count against the others.
//
// The load patterns behind it are a stream of requests that share a document which crashes
// the engines, among sound requests of the same callers, and one request that ends all
// endpoints of a small pool within a second and comes again.
//
// # Usage
//
//	d := &poison.Detector{}
//	d.Crashed(poison.Crash{Endpoint: endpoint, SentAt: sent, At: now, Traits: traits})
//	d.Completed(endpoint, traits, now)
//	suspects, isPending := d.Suspects(now)
//	// call d.Exonerate with what other nodes report of the suspects, then:
//	for _, s := range d.Blame(suspects, now) {
//		list.Add(s.Trait, now.Add(poison.QuarantineTime), now)
//	}
//	...
//	if trait, until, ok := list.Find(traits, now); ok { /* refuse */ }
package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// minCrashes is the number of crashes at different times that make a trait a suspect.
	minCrashes = 3
	// SurvivalTime is how long after its first token a request must have run to show that
	// its traits crash nothing.
	SurvivalTime = 300 * time.Millisecond
	// minSeparation is the least time between two crashes that both count, unless the
	// second request was sent after the first crash to an endpoint that was running.
	// Endpoints that crash at the same moment have a common cause outside of the requests.
	minSeparation = 200 * time.Millisecond
	// ConfirmDelay is the time after which a crash counts, unless the endpoint has
	// completed a request since. Completions in the first part of that time, reportDelay,
	// may have been reported late.
	ConfirmDelay = 500 * time.Millisecond
	reportDelay  = 100 * time.Millisecond
	// EvidenceTime is how long crashes and completions are remembered.
	EvidenceTime = 30 * time.Minute
	// maxSuspects bounds the traits with evidence. The weakest ones are dropped.
	maxSuspects = 4096
	// minAnswered is the number of requests that the pool must have answered, at least in
	// part, since the first crash. If fewer were, its endpoints fail with any request.
	minAnswered = 8
	// maxCrashes bounds the crashes that are kept for a trait, the latest ones.
	maxCrashes = 16
	// maxUnreported bounds the crashes that are kept until other nodes are told of them.
	maxUnreported = 4096
	// historyTraits is the number of traits after which the older half of the completions
	// is forgotten.
	historyTraits = 16384
)

// Endpoint identifies one run of an endpoint of a pool.
type Endpoint struct {
	Pool ident.PoolID
	ID   ident.Endpoint
	// StartedUnixMilli is the time of its start, 0 if unknown.
	StartedUnixMilli int64
}

// Crash reports that an endpoint ended a connection without any part of the answer.
type Crash struct {
	Endpoint Endpoint
	// SentAt is a time before the request was sent, and At that of the crash.
	SentAt, At time.Time
	// Traits holds the traits of the request.
	Traits []ident.Trait
}

// Suspect is a trait with the time of the first crash that counts against it.
type Suspect struct {
	Trait ident.Trait
	Since time.Time
	// Endpoints holds the endpoints that crashed, and Pools their pools.
	Endpoints []ident.Endpoint
	Pools     map[ident.PoolID]bool
}

// Detector collects crashes and completions. The zero value is ready for use. It is safe
// for concurrent use.
type Detector struct {
	mu       sync.Mutex
	suspects map[ident.Trait]*evidence
	// explained holds the endpoint runs whose crashes a blamed trait explains, and when
	// they were explained.
	explained map[Endpoint]time.Time
	// unconfirmed holds the time of the latest crash of each endpoint run, until it is
	// confirmed.
	unconfirmed map[Endpoint]time.Time
	// downSince holds the first crash of each endpoint run that has not completed a request
	// since.
	downSince map[Endpoint]time.Time
	// crashedAt holds the time of the latest crash of each endpoint run, and withdrawnAt when
	// one completed a request that withdrew its crashes.
	crashedAt, withdrawnAt map[Endpoint]time.Time
	// unreported holds what other nodes do not know yet, and unreportedPools the pools of
	// the evidence that its completions refute.
	unreported      Report
	unreportedPools map[ident.PoolID]bool
	// answered counts the requests of each pool that were answered at least in part.
	answered map[ident.PoolID]int
	// recent and older hold when requests with a trait last completed or were seen to run
	// on.
	recent, older map[ident.Trait]time.Time
}

// Crashed records a crash that this node has seen.
func (d *Detector) Crashed(c Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unreported.Crashes) < maxUnreported {
		d.unreported.Crashes = append(d.unreported.Crashes, c)
	}
	d.crashed(c)
}

func (d *Detector) crashed(c Crash) {
	if d.suspects == nil {
		d.suspects = map[ident.Trait]*evidence{}
		d.unconfirmed, d.downSince, d.crashedAt = map[Endpoint]time.Time{}, map[Endpoint]time.Time{}, map[Endpoint]time.Time{}
	}
	d.unconfirmed[c.Endpoint] = c.At
	d.crashedAt[c.Endpoint] = c.At
	if down, ok := d.downSince[c.Endpoint]; !ok || c.At.Before(down) {
		d.downSince[c.Endpoint] = c.At
	}
	if !d.isExplained(c) {
		for _, trait := range c.Traits {
			d.evidenceOf(trait).add(d.newCrash(c), d.completedAt(trait))
		}
	}
	if len(d.suspects) > maxSuspects {
		d.dropWeakest()
	}
}

// newCrash returns what evidence keeps of a crash. If the endpoint may have crashed before
// the request was sent, sentAt is zero.
func (d *Detector) newCrash(c Crash) crash {
	known := crash{endpoint: c.Endpoint, at: c.At, answered: d.answered[c.Endpoint.Pool]}
	if c.SentAt.Before(d.downSince[c.Endpoint]) {
		known.sentAt = c.SentAt
	}
	return known
}

// isExplained reports whether a blamed trait explains a crash. If a trait of this request
// does, the crash is counted against that trait only.
func (d *Detector) isExplained(c Crash) bool {
	for _, trait := range c.Traits {
		if e := d.suspects[trait]; e != nil && e.isBlamed {
			e.add(d.newCrash(c), d.completedAt(trait))
			d.explain(c.Endpoint, c.At)
		}
	}
	_, explained := d.explained[c.Endpoint]
	return explained
}

// explain removes the crash of an endpoint's run from the evidence against all traits
// that are not blamed.
func (d *Detector) explain(endpoint Endpoint, at time.Time) {
	if d.explained == nil {
		d.explained = map[Endpoint]time.Time{}
	}
	d.explained[endpoint] = at
	for _, e := range d.suspects {
		if !e.isBlamed {
			e.remove(func(c crash) bool { return c.endpoint == endpoint })
		}
	}
}

func (d *Detector) evidenceOf(trait ident.Trait) *evidence {
	e := d.suspects[trait]
	if e == nil {
		e = &evidence{}
		d.suspects[trait] = e
	}
	return e
}

// dropWeakest drops the quarter of the traits with the fewest and oldest crashes.
func (d *Detector) dropWeakest() {
	traits := slices.Collect(maps.Keys(d.suspects))
	slices.SortFunc(traits, func(a, b ident.Trait) int {
		x, y := d.suspects[a], d.suspects[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), x.lastCrash().Compare(y.lastCrash()))
	})
	for _, trait := range traits[:len(traits)/4] {
		delete(d.suspects, trait)
	}
}

// Suspects returns the traits with enough crashes to be blamed, each once until a further
// crash after it was blamed. IsPending reports whether crashes wait for their
// confirmation, or suspects for answers to other requests; then Suspects should be called
// again within a fraction of a second.
func (d *Detector) Suspects(now time.Time) (suspects []Suspect, isPending bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetOld(now)
	for trait, e := range d.suspects {
		d.noteAnswered(e, now)
		confirmed, isEnough := e.confirmed(now)
		isPending = isPending || now.Sub(e.lastCrash()) < ConfirmDelay || isEnough && len(confirmed) > e.blamedWith
		if s, ok := d.suspect(trait, now); ok {
			suspects = append(suspects, s)
		}
	}
	return suspects, isPending
}

func (d *Detector) forgetOld(now time.Time) {
	isOld := func(at time.Time) bool { return now.Sub(at) > EvidenceTime }
	maps.DeleteFunc(d.suspects, func(_ ident.Trait, e *evidence) bool { return isOld(e.lastCrash()) })
	maps.DeleteFunc(d.unconfirmed, func(_ Endpoint, at time.Time) bool { return now.Sub(at) >= ConfirmDelay })
	maps.DeleteFunc(d.crashedAt, func(_ Endpoint, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(d.downSince, func(_ Endpoint, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(d.withdrawnAt, func(_ Endpoint, at time.Time) bool { return isOld(at) })
	maps.DeleteFunc(d.explained, func(_ Endpoint, at time.Time) bool { return isOld(at) })
}

// suspect reports whether a trait has enough confirmed crashes.
func (d *Detector) suspect(trait ident.Trait, now time.Time) (Suspect, bool) {
	e := d.suspects[trait]
	if e == nil || len(e.crashes) <= e.blamedWith {
		return Suspect{}, false
	}
	confirmed, isEnough := e.confirmed(now)
	// Those that were answered need SurvivalTime to exonerate their traits.
	if !isEnough || len(confirmed) <= e.blamedWith || e.answeredAt.IsZero() || now.Sub(e.answeredAt) < SurvivalTime {
		return Suspect{}, false
	}
	s := Suspect{Trait: trait, Since: confirmed[0].at, Pools: map[ident.PoolID]bool{}}
	for _, c := range confirmed {
		s.Pools[c.endpoint.Pool] = true
		s.Endpoints = append(s.Endpoints, c.endpoint.ID)
	}
	return s, true
}

// noteAnswered records when enough requests have been answered since the first crash.
func (d *Detector) noteAnswered(e *evidence, now time.Time) {
	if !e.answeredAt.IsZero() || len(e.crashes) == 0 {
		return
	}
	first := e.crashes[0]
	if d.answered[first.endpoint.Pool]-first.answered >= minAnswered {
		e.answeredAt = now
	}
}

// Blame returns those of the suspects that are to blame. Suspects that were exonerated
// since Suspects returned them are not.
func (d *Detector) Blame(suspects []Suspect, now time.Time) []Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	completed := map[ident.Trait]time.Time{}
	for _, s := range suspects {
		completed[s.Trait] = d.completedAt(s.Trait)
	}
	order := func(a, b Suspect) int {
		return cmp.Or(completed[a.Trait].Compare(completed[b.Trait]), cmp.Compare(len(b.Endpoints), len(a.Endpoints)))
	}
	slices.SortStableFunc(suspects, order)
	var blamed []Suspect
	for len(suspects) > 0 {
		// Traits that have equally long not completed, and crashed as many endpoints,
		// cannot be told apart.
		equal := 1
		for equal < len(suspects) && order(suspects[equal], suspects[0]) == 0 {
			equal++
		}
		blamed = append(blamed, d.blameTogether(suspects[:equal], now)...)
		suspects = suspects[equal:]
	}
	return blamed
}

// blameTogether blames those of the traits that still are suspects.
func (d *Detector) blameTogether(suspects []Suspect, now time.Time) []Suspect {
	var blamed []Suspect
	for _, old := range suspects {
		if s, ok := d.suspect(old.Trait, now); ok {
			blamed = append(blamed, s)
			d.suspects[s.Trait].isBlamed = true
		}
	}
	for _, s := range blamed {
		e := d.suspects[s.Trait]
		e.blamedWith = len(s.Endpoints)
		for _, c := range e.crashes {
			d.explain(c.endpoint, c.at)
		}
	}
	return blamed
}
