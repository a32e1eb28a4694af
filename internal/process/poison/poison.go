// Package poison finds the parts of prompts that crash endpoints, and holds the
// quarantined ones.
//
// A request that crashes its endpoint is lost with all other requests there. If the
// cause lies in a part of its prompt, other requests carry the same part to the next
// endpoints. A crash alone blames nothing, as endpoints also crash by themselves, and
// the requests at an endpoint share their parts with sound ones. Detector
// therefore counts, for each part, the crashes of endpoints that held a request with the
// part and had sent nothing of its answer. A part becomes a suspect after minCrashes such
// crashes at different endpoints and times, if no request with it has completed meanwhile,
// or run on for SurvivalTime, but other requests have been answered. Of several suspects,
// those are blamed with which no request has completed for the longest time, and crashes
// that they explain no longer count against the others.
//
// The load pattern behind it is a stream of requests that share a document which crashes
// the engines, among sound requests of the same callers.
//
// # Usage
//
//	d := &poison.Detector{}
//	d.Crashed(poison.Crash{Endpoint: id, At: now, Parts: parts})
//	d.Completed(endpoint, parts, now)
//	suspects, isPending := d.Suspects(now)
//	// call d.Exonerate with what other nodes report of the suspects, then:
//	for _, s := range d.Blame(suspects, now) {
//		list.Add(s.Part, now.Add(poison.QuarantineTime), now)
//	}
//	...
//	if part, until, ok := list.Find(parts, now); ok { /* refuse */ }
package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// minCrashes is the number of crashes at different times that make a part a suspect.
	minCrashes = 3
	// SurvivalTime is how long after its first token a request must have run to show that
	// its parts crash nothing.
	SurvivalTime = 300 * time.Millisecond
	// minSeparation is the least time between two crashes that both count. Endpoints
	// that crash at the same moment have a common cause outside of the requests.
	minSeparation = 200 * time.Millisecond
	// confirmDelay is the time after which a crash counts, unless the endpoint has
	// completed a request since. Completions in the first part of that time, reportDelay,
	// may have been reported late.
	confirmDelay = 500 * time.Millisecond
	reportDelay  = 100 * time.Millisecond
	// evidenceTime is how long crashes and completions are remembered.
	evidenceTime = 30 * time.Minute
	// maxSuspects bounds the parts with evidence. The weakest ones are dropped.
	maxSuspects = 4096
	// minAnswered is the number of requests that must have been answered, at least in part,
	// since the first crash. If fewer were, the endpoints fail with any request.
	minAnswered = 8
	// maxCrashes bounds the crashes that are kept for a part, the latest ones.
	maxCrashes = 16
	// historyParts is the number of parts after which the older half of the completions
	// is forgotten.
	historyParts = 8192
)

// Endpoint identifies one run of an endpoint.
type Endpoint struct {
	ID ident.Endpoint
	// StartedUnixMilli is the time of its start, 0 if unknown.
	StartedUnixMilli int64
}

// Crash reports that an endpoint ended a connection without any part of the answer.
type Crash struct {
	Endpoint Endpoint
	At       time.Time
	// Parts holds the parts of the request's prompt.
	Parts []ident.PromptPart
}

// Suspect is a part with the time of the first crash that counts against it.
type Suspect struct {
	Part  ident.PromptPart
	Since time.Time
	// Endpoints holds the endpoints that crashed.
	Endpoints []ident.Endpoint
}

// Detector collects crashes and completions. The zero value is ready for use. It is safe
// for concurrent use.
type Detector struct {
	mu       sync.Mutex
	suspects map[ident.PromptPart]*evidence
	// explained holds the endpoint runs whose crashes a blamed part explains, and when
	// they were explained.
	explained map[Endpoint]time.Time
	// unconfirmed holds the time of the latest crash of each endpoint run, until it is
	// confirmed.
	unconfirmed map[Endpoint]time.Time
	// answered counts the requests that were answered at least in part. Recent and older
	// hold when requests with a part last completed or were seen to run on.
	answered      int
	recent, older map[ident.PromptPart]time.Time
}

// Crashed records a crash.
func (d *Detector) Crashed(c Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspects == nil {
		d.suspects = map[ident.PromptPart]*evidence{}
		d.unconfirmed = map[Endpoint]time.Time{}
	}
	d.unconfirmed[c.Endpoint] = c.At
	if !d.isExplained(c) {
		for _, part := range c.Parts {
			d.evidenceOf(part).add(crash{c.Endpoint, c.At, d.answered}, d.completedAt(part))
		}
	}
	if len(d.suspects) > maxSuspects {
		d.dropWeakest()
	}
}

// isExplained reports whether a blamed part explains a crash. If a part of this request
// does, the crash is counted against that part only.
func (d *Detector) isExplained(c Crash) bool {
	for _, part := range c.Parts {
		if e := d.suspects[part]; e != nil && e.isBlamed {
			e.add(crash{c.Endpoint, c.At, d.answered}, d.completedAt(part))
			d.explain(c.Endpoint, c.At)
		}
	}
	_, explained := d.explained[c.Endpoint]
	return explained
}

// explain removes the crash of an endpoint's run from the evidence against all parts
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

func (d *Detector) evidenceOf(part ident.PromptPart) *evidence {
	e := d.suspects[part]
	if e == nil {
		e = &evidence{}
		d.suspects[part] = e
	}
	return e
}

// dropWeakest drops the quarter of the parts with the fewest and oldest crashes.
func (d *Detector) dropWeakest() {
	parts := slices.Collect(maps.Keys(d.suspects))
	slices.SortFunc(parts, func(a, b ident.PromptPart) int {
		x, y := d.suspects[a], d.suspects[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), x.lastCrash().Compare(y.lastCrash()))
	})
	for _, part := range parts[:len(parts)/4] {
		delete(d.suspects, part)
	}
}

// Completed records that an endpoint completed a request. It exonerates the request's
// parts, and an endpoint that seemed to have crashed shortly before.
func (d *Detector) Completed(endpoint Endpoint, parts []ident.PromptPart, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered++
	for _, part := range parts {
		d.exonerate(part, now)
	}
	at, ok := d.unconfirmed[endpoint]
	if age := now.Sub(at); !ok || age < reportDelay || age >= confirmDelay {
		return
	}
	delete(d.unconfirmed, endpoint)
	for _, e := range d.suspects {
		e.remove(func(c crash) bool { return c.endpoint == endpoint && now.Sub(c.at) < confirmDelay })
	}
}

// Answered records that a request was answered in part and did not complete, as happens to
// those that are at an endpoint when it crashes. If it ran for SurvivalTime, it
// exonerates its parts.
func (d *Detector) Answered(parts []ident.PromptPart, ranFor time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered++
	if ranFor < SurvivalTime {
		return
	}
	for _, part := range parts {
		d.exonerate(part, now)
	}
}

// Exonerate records that a request with a part completed at another node, or has run for
// SurvivalTime.
func (d *Detector) Exonerate(part ident.PromptPart, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exonerate(part, at)
}

func (d *Detector) exonerate(part ident.PromptPart, at time.Time) {
	if !at.After(d.completedAt(part)) {
		return
	}
	if d.recent == nil || len(d.recent) >= historyParts {
		d.recent, d.older = map[ident.PromptPart]time.Time{}, d.recent
	}
	d.recent[part] = at
	if e := d.suspects[part]; e != nil && at.After(e.lastCrash()) {
		delete(d.suspects, part)
	} else if e != nil {
		e.remove(func(c crash) bool { return c.at.Before(at) })
	}
}

// completedAt returns when a request with a part last completed, as far as that is
// remembered, or the zero time.
func (d *Detector) completedAt(part ident.PromptPart) time.Time {
	if at, ok := d.recent[part]; ok {
		return at
	}
	return d.older[part]
}

// CompletedAt returns when requests with each of the parts last completed, as far as that
// is remembered.
func (d *Detector) CompletedAt(parts []ident.PromptPart) map[ident.PromptPart]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	completed := map[ident.PromptPart]time.Time{}
	for _, part := range parts {
		if at := d.completedAt(part); !at.IsZero() {
			completed[part] = at
		}
	}
	return completed
}

// Suspects returns the parts with enough crashes to be blamed, each once until a further
// crash after it was blamed. IsPending reports whether crashes wait for their
// confirmation, or suspects for answers to other requests; then Suspects should be called
// again within a fraction of a second.
func (d *Detector) Suspects(now time.Time) (suspects []Suspect, isPending bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetOld(now)
	for part, e := range d.suspects {
		d.noteAnswered(e, now)
		confirmed, isEnough := e.confirmed(now)
		isPending = isPending || now.Sub(e.lastCrash()) < confirmDelay || isEnough && len(confirmed) > e.blamedWith
		if s, ok := d.suspect(part, now); ok {
			suspects = append(suspects, s)
		}
	}
	return suspects, isPending
}

func (d *Detector) forgetOld(now time.Time) {
	isOld := func(at time.Time) bool { return now.Sub(at) > evidenceTime }
	maps.DeleteFunc(d.suspects, func(_ ident.PromptPart, e *evidence) bool { return isOld(e.lastCrash()) })
	maps.DeleteFunc(d.unconfirmed, func(_ Endpoint, at time.Time) bool { return now.Sub(at) >= confirmDelay })
	maps.DeleteFunc(d.explained, func(_ Endpoint, at time.Time) bool { return isOld(at) })
}

// suspect reports whether a part has enough confirmed crashes.
func (d *Detector) suspect(part ident.PromptPart, now time.Time) (Suspect, bool) {
	e := d.suspects[part]
	if e == nil || len(e.crashes) <= e.blamedWith {
		return Suspect{}, false
	}
	confirmed, isEnough := e.confirmed(now)
	// Those that were answered need SurvivalTime to exonerate their parts.
	if !isEnough || len(confirmed) <= e.blamedWith || e.answeredAt.IsZero() || now.Sub(e.answeredAt) < SurvivalTime {
		return Suspect{}, false
	}
	s := Suspect{Part: part, Since: confirmed[0].at}
	for _, c := range confirmed {
		s.Endpoints = append(s.Endpoints, c.endpoint.ID)
	}
	return s, true
}

// noteAnswered records when enough requests have been answered since the first crash.
func (d *Detector) noteAnswered(e *evidence, now time.Time) {
	if e.answeredAt.IsZero() && len(e.crashes) > 0 && d.answered-e.crashes[0].answered >= minAnswered {
		e.answeredAt = now
	}
}

// Blame returns those of the suspects that are to blame. Suspects that were exonerated
// since Suspects returned them are not.
func (d *Detector) Blame(suspects []Suspect, now time.Time) []Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	completed := map[ident.PromptPart]time.Time{}
	for _, s := range suspects {
		completed[s.Part] = d.completedAt(s.Part)
	}
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return completed[a.Part].Compare(completed[b.Part]) })
	var blamed []Suspect
	for len(suspects) > 0 {
		// Parts that have equally long not completed cannot be told apart.
		equal := 1
		for equal < len(suspects) && completed[suspects[equal].Part].Equal(completed[suspects[0].Part]) {
			equal++
		}
		blamed = append(blamed, d.blameTogether(suspects[:equal], now)...)
		suspects = suspects[equal:]
	}
	return blamed
}

// blameTogether blames those of the parts that still are suspects.
func (d *Detector) blameTogether(suspects []Suspect, now time.Time) []Suspect {
	var blamed []Suspect
	for _, old := range suspects {
		if s, ok := d.suspect(old.Part, now); ok {
			blamed = append(blamed, s)
			d.suspects[s.Part].isBlamed = true
		}
	}
	for _, s := range blamed {
		e := d.suspects[s.Part]
		e.blamedWith = len(s.Endpoints)
		for _, c := range e.crashes {
			d.explain(c.endpoint, c.at)
		}
	}
	return blamed
}
