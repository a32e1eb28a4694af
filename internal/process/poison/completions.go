package poison

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// countAnswered counts a request that a pool answered at least in part.
func (d *Detector) countAnswered(pool ident.PoolID) {
	if d.answered == nil {
		d.answered = map[ident.PoolID]int{}
	}
	d.answered[pool]++
}

// Completed records that an endpoint completed a request. It exonerates the request's
// traits, and an endpoint that seemed to have crashed shortly before. It reports whether
// that refutes evidence, which is to be reported to other nodes.
func (d *Detector) Completed(endpoint Endpoint, traits []ident.Trait, now time.Time) (isReported bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countAnswered(endpoint.Pool)
	isReported = d.exonerateAll(endpoint.Pool, traits, now)
	if down, ok := d.downSince[endpoint]; ok && now.Sub(down) >= reportDelay {
		delete(d.downSince, endpoint)
	}
	at, ok := d.unconfirmed[endpoint]
	if age := now.Sub(at); !ok || age < reportDelay || age >= ConfirmDelay {
		return isReported
	}
	d.withdraw(endpoint, now, 0)
	if d.unreported.Working == nil {
		d.unreported.Working = map[Endpoint]time.Time{}
	}
	d.unreported.Working[endpoint] = now
	return true
}

// exonerateAll exonerates the traits of a request of a pool and reports whether there was
// evidence against any of them.
func (d *Detector) exonerateAll(pool ident.PoolID, traits []ident.Trait, now time.Time) (hadEvidence bool) {
	for _, trait := range traits {
		if !d.exonerate(trait, now) {
			continue
		}
		hadEvidence = true
		if d.unreportedPools == nil {
			d.unreportedPools = map[ident.PoolID]bool{}
		}
		d.unreportedPools[pool] = true
		if d.unreported.Completed == nil {
			d.unreported.Completed = map[ident.Trait]time.Time{}
		}
		d.unreported.Completed[trait] = now
	}
	return hadEvidence
}

// Answered records that a request was answered in part and did not complete, as happens to
// those that are at an endpoint when it crashes. If it ran for SurvivalTime, it
// exonerates its traits. It reports whether that refutes evidence, like Completed.
func (d *Detector) Answered(pool ident.PoolID, traits []ident.Trait, ranFor time.Duration, now time.Time) (isReported bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countAnswered(pool)
	return ranFor >= SurvivalTime && d.exonerateAll(pool, traits, now)
}

// Exonerate records that a request with a trait completed at another node, or has run for
// SurvivalTime.
func (d *Detector) Exonerate(trait ident.Trait, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exonerate(trait, at)
}

// exonerate reports whether there was evidence against the trait.
func (d *Detector) exonerate(trait ident.Trait, at time.Time) (hadEvidence bool) {
	if !at.After(d.completedAt(trait)) {
		return false
	}
	if d.recent == nil || len(d.recent) >= historyTraits {
		d.recent, d.older = map[ident.Trait]time.Time{}, d.recent
	}
	d.recent[trait] = at
	e := d.suspects[trait]
	if e != nil && at.After(e.lastCrash()) {
		delete(d.suspects, trait)
	} else if e != nil {
		e.remove(func(c crash) bool { return c.at.Before(at) })
	}
	return e != nil
}

// completedAt returns when a request with a trait last completed, as far as that is
// remembered, or the zero time.
func (d *Detector) completedAt(trait ident.Trait) time.Time {
	if at, ok := d.recent[trait]; ok {
		return at
	}
	return d.older[trait]
}

// CompletedAt returns when requests with each of the traits last completed, as far as that
// is remembered.
func (d *Detector) CompletedAt(traits []ident.Trait) map[ident.Trait]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	completed := map[ident.Trait]time.Time{}
	for _, trait := range traits {
		if at := d.completedAt(trait); !at.IsZero() {
			completed[trait] = at
		}
	}
	return completed
}
