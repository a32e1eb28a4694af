package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Report is evidence that one node passes to another.
type Report struct {
	Crashes []Crash
	// Completed holds when requests with traits last completed.
	Completed map[ident.Trait]time.Time
	// Working holds when endpoints that seemed to have crashed completed requests.
	Working map[Endpoint]time.Time
	// Blamed holds traits that were blamed.
	Blamed []ident.Trait
	// Known holds when endpoint runs crashed of which the reporter knows, also those whose
	// crashes are refuted or withdrawn. It is set by Evidence only.
	Known map[Endpoint]time.Time
}

// IsEmpty reports whether the report has no evidence.
func (r Report) IsEmpty() bool {
	return len(r.Crashes)+len(r.Completed)+len(r.Working)+len(r.Blamed) == 0
}

// Pools returns the pools of the crashes and of the endpoints that work.
func (r Report) Pools() map[ident.PoolID]bool {
	pools := map[ident.PoolID]bool{}
	for _, c := range r.Crashes {
		pools[c.Endpoint.Pool] = true
	}
	for endpoint := range r.Working {
		pools[endpoint.Pool] = true
	}
	return pools
}

// addCompleted adds when requests with the traits of the crashes last completed.
func (d *Detector) addCompleted(r *Report) {
	for _, c := range r.Crashes {
		for _, trait := range c.Traits {
			if at := d.completedAt(trait); !at.IsZero() {
				if r.Completed == nil {
					r.Completed = map[ident.Trait]time.Time{}
				}
				r.Completed[trait] = at
			}
		}
	}
}

// TakeReport returns the crashes and completions that were recorded since its last call
// and that other nodes need, with the pools of the evidence that the completions refute.
func (d *Detector) TakeReport() (r Report, pools map[ident.PoolID]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, d.unreported = d.unreported, Report{}
	pools = r.Pools()
	maps.Copy(pools, d.unreportedPools)
	d.unreportedPools = nil
	d.addCompleted(&r)
	return r, pools
}

// Evidence returns all evidence of crashes of a pool, for a node that has none.
func (d *Detector) Evidence(pool ident.PoolID, now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetOld(now)
	type key struct {
		endpoint Endpoint
		at       time.Time
	}
	crashes := map[key]*Crash{}
	var r Report
	for _, trait := range slices.Sorted(maps.Keys(d.suspects)) {
		e := d.suspects[trait]
		isOfPool := false
		for _, c := range e.crashes {
			if c.endpoint.Pool != pool {
				continue
			}
			isOfPool = true
			k := key{c.endpoint, c.at}
			if crashes[k] == nil {
				crashes[k] = &Crash{Endpoint: c.endpoint, SentAt: c.at, At: c.at}
			}
			if !c.sentAt.IsZero() {
				crashes[k].SentAt = c.sentAt
			}
			crashes[k].Traits = append(crashes[k].Traits, trait)
		}
		if isOfPool && e.isBlamed {
			r.Blamed = append(r.Blamed, trait)
		}
	}
	for _, c := range crashes {
		r.Crashes = append(r.Crashes, *c)
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	d.addCompleted(&r)
	r.Known = map[Endpoint]time.Time{}
	for _, times := range []map[Endpoint]time.Time{d.withdrawnAt, d.crashedAt} {
		for endpoint, at := range times {
			if endpoint.Pool == pool {
				r.Known[endpoint] = at
			}
		}
	}
	return r
}

// Standing returns the crashes without those that are withdrawn, and without the traits with
// which requests have completed since.
func (d *Detector) Standing(crashes []Crash) []Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	var standing []Crash
	for _, c := range crashes {
		if at, ok := d.withdrawnAt[c.Endpoint]; ok && isWithdrawn(c.At, at, 0) {
			continue
		}
		c.Traits = slices.DeleteFunc(slices.Clone(c.Traits), func(trait ident.Trait) bool {
			return d.completedAt(trait).After(c.At)
		})
		if len(c.Traits) > 0 {
			standing = append(standing, c)
		}
	}
	return standing
}

// Learn records evidence of another node. A crash that is already known, by whatever
// source, is not counted again.
func (d *Detector) Learn(r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range r.Crashes {
		// The time of a crash in a message is later by the delay of the message. A completion
		// between the two times must not seem to be earlier than the crash.
		if known, ok := d.crashedAt[c.Endpoint]; ok && c.Endpoint.StartedUnixMilli != 0 {
			if c.At.Before(known) {
				d.moveCrashes(c.Endpoint, c.At)
			}
			c.At = earlier(c.At, known)
			c.SentAt = earlier(c.SentAt, c.At)
		}
		d.crashed(c)
	}
	for endpoint, at := range r.Working {
		d.withdraw(endpoint, at, reportDelay)
	}
	for trait, at := range r.Completed {
		d.exonerate(trait, at)
	}
	for _, trait := range r.Blamed {
		d.setBlamed(trait)
	}
}

// moveCrashes moves the known crashes of an endpoint's run to an earlier time, and drops them
// where a request with the trait has completed since.
func (d *Detector) moveCrashes(endpoint Endpoint, at time.Time) {
	for trait, e := range d.suspects {
		e.move(endpoint, at, d.completedAt(trait))
	}
}

// SetBlamed records that another node has blamed a trait.
func (d *Detector) SetBlamed(trait ident.Trait) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setBlamed(trait)
}

func (d *Detector) setBlamed(trait ident.Trait) {
	e := d.suspects[trait]
	if e == nil || e.isBlamed && e.blamedWith == len(e.crashes) {
		return
	}
	e.isBlamed, e.blamedWith = true, len(e.crashes)
	for _, c := range e.crashes {
		d.explain(c.endpoint, c.at)
	}
}

// withdraw removes the crashes of an endpoint that has completed a request shortly after
// them. Slack is the difference in the delays of the messages that told of the two.
func (d *Detector) withdraw(endpoint Endpoint, at time.Time, slack time.Duration) {
	if !d.crashedAt[endpoint].After(at) {
		delete(d.unconfirmed, endpoint)
		delete(d.crashedAt, endpoint)
	}
	if d.withdrawnAt == nil {
		d.withdrawnAt = map[Endpoint]time.Time{}
	}
	d.withdrawnAt[endpoint] = at
	for _, e := range d.suspects {
		e.remove(func(c crash) bool { return c.endpoint == endpoint && isWithdrawn(c.at, at, slack) })
	}
}

// isWithdrawn reports whether a completion at an endpoint withdraws its crash.
func isWithdrawn(crashed, completed time.Time, slack time.Duration) bool {
	return !crashed.After(completed) && completed.Sub(crashed) < ConfirmDelay+slack
}
