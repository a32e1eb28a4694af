package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// confirmationTTL is the time for which a release may be used after it was seen in a
	// pool's row, or an endpoint last had it. It is far below dropDelay, so that no
	// release is used after it was dropped by another process.
	confirmationTTL = 10 * time.Second
	// goneDelay is the time for which no endpoint had a release before its pool's row
	// marks it as gone, and dropDelay the time from then until it is dropped.
	goneDelay = 10 * time.Second
	dropDelay = 2 * time.Minute
	// clockSkew is the most by which the clocks of two processes are assumed to differ.
	clockSkew = 10 * time.Second
	// unlistedMargin is how far ahead of the time CompleteSince of a row is while processes may
	// use releases that are not listed, and unlistedRenewal the margin below which it is moved.
	unlistedMargin  = time.Minute
	unlistedRenewal = 30 * time.Second
)

// Listing decides which releases of each pool may serve. A release may do so once its pool's
// row in the store lists it, so that the row is a complete record of the releases that can
// have begun streams, whatever processes are lost. The zero value is empty. It is safe for
// concurrent use.
type Listing struct {
	mu  sync.Mutex
	era int64
	// enteredAt is when era began here.
	enteredAt time.Time
	pools     map[ident.PoolID]*poolListing
	// changes counts the changes of what Admits returns.
	changes int64
	// mayUseUnlisted is set while processes may use releases that no row lists.
	mayUseUnlisted bool
	// isTableRead is set if pools that are not known yet have no row.
	isTableRead bool
}

type poolListing struct {
	// row is the row as last read or written, and version its version in the store, 0 if
	// there is none, valid if isVersionKnown is set.
	row            Row
	version        int64
	isVersionKnown bool
	// lost holds releases that the row listed in an earlier era. The record was complete
	// since lostSince, which is valid if hasLost is set, and is still if isKept is set.
	lost            []ident.Release
	lostSince       int64
	hasLost, isKept bool
	// isOlder is set if this process knew the pool in an earlier era.
	isOlder bool
	// present holds the releases of the pool's endpoints.
	present []ident.Release
	// confirmedAt holds when each release was last known to be listed and not marked as
	// gone, and admitted those that have been present ever since.
	confirmedAt map[ident.Release]time.Time
	admitted    map[ident.Release]bool
	// expiring holds the releases that were confirmed in an earlier era only. The store may
	// have lost them, so that their confirmations are not renewed.
	expiring map[ident.Release]bool
	// seenAt holds when each release was last present, and goneAt when it was first known
	// to be marked as gone.
	seenAt, goneAt map[ident.Release]time.Time
}

func (l *Listing) pool(id ident.PoolID) *poolListing {
	if l.pools == nil {
		l.pools = map[ident.PoolID]*poolListing{}
	}
	if l.pools[id] == nil {
		l.pools[id] = &poolListing{
			isVersionKnown: l.isTableRead, confirmedAt: map[ident.Release]time.Time{}, admitted: map[ident.Release]bool{},
			expiring: map[ident.Release]bool{}, seenAt: map[ident.Release]time.Time{}, goneAt: map[ident.Release]time.Time{},
		}
	}
	return l.pools[id]
}

// update applies the passage of time and the latest changes.
func (l *Listing) update(p *poolListing, now time.Time) {
	for _, release := range p.present {
		p.seenAt[release] = now
		// After a freeze of the process others may have dropped the release meanwhile.
		at, ok := p.confirmedAt[release]
		if ok && now.Sub(at) <= confirmationTTL {
			p.admitted[release] = true
			if !p.expiring[release] {
				p.confirmedAt[release] = now
			}
		}
	}
	maps.DeleteFunc(p.admitted, func(r ident.Release, _ bool) bool {
		at, ok := p.confirmedAt[r]
		return !ok || now.Sub(at) > confirmationTTL || !slices.Contains(p.present, r)
	})
	for _, release := range p.row.Releases {
		if _, ok := p.seenAt[release]; !ok {
			p.seenAt[release] = now
		}
	}
	for _, release := range p.row.Gone {
		if _, ok := p.goneAt[release]; !ok {
			p.goneAt[release] = now
		}
	}
	maps.DeleteFunc(p.goneAt, func(r ident.Release, _ time.Time) bool {
		return !slices.Contains(p.row.Gone, r) || slices.Contains(p.present, r)
	})
	maps.DeleteFunc(p.seenAt, func(r ident.Release, _ time.Time) bool {
		return !slices.Contains(p.row.Releases, r) && !slices.Contains(p.present, r)
	})
	for release, at := range p.confirmedAt {
		if now.Sub(at) > confirmationTTL {
			delete(p.confirmedAt, release)
			delete(p.expiring, release)
			l.changes++
		}
	}
}

// confirm records that, at a time, the store's row listed releases that are not marked as
// gone. What was known in an earlier era expires as if it was confirmed when that era ended.
func (l *Listing) confirm(p *poolListing, releases []ident.Release, isEarlierEra bool, at, now time.Time) {
	l.update(p, now)
	isEarlierEra = !l.enteredAt.IsZero() && (isEarlierEra || at.Before(l.enteredAt))
	if isEarlierEra && at.After(l.enteredAt) {
		at = l.enteredAt
	}
	if now.Sub(at) > confirmationTTL {
		return
	}
	for _, release := range releases {
		old, ok := p.confirmedAt[release]
		if !ok {
			l.changes++
			p.expiring[release] = isEarlierEra
		} else if !isEarlierEra {
			delete(p.expiring, release)
		}
		if !ok || old.Before(at) {
			p.confirmedAt[release] = at
		}
	}
	l.update(p, now)
}

// Observe records the releases of the endpoints that the pools have now. While the list of
// endpoints may be outdated, isFresh is not set, and no release counts as gone.
func (l *Listing) Observe(releases map[ident.PoolID][]ident.Release, isFresh bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range releases {
		l.pool(id)
	}
	for id, p := range l.pools {
		l.update(p, now)
		p.present = slices.Compact(slices.Sorted(slices.Values(releases[id])))
		if !isFresh || len(p.present) == 0 {
			for release := range p.seenAt {
				p.seenAt[release] = now
			}
			clear(p.goneAt)
		}
		l.update(p, now)
	}
}

// Admits reports whether an endpoint with a release may get requests of a pool.
func (l *Listing) Admits(id ident.PoolID, release ident.Release, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[id]
	if p == nil {
		return false
	}
	l.update(p, now)
	_, isConfirmed := p.confirmedAt[release]
	return isConfirmed
}

// AdmitsAll reports whether endpoints with any of the releases may get requests of a pool.
func (l *Listing) AdmitsAll(id ident.PoolID, releases []ident.Release, now time.Time) bool {
	return !slices.ContainsFunc(releases, func(r ident.Release) bool { return !l.Admits(id, r, now) })
}

// Changes returns a number that rises when what Admits returns has changed.
func (l *Listing) Changes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

// AssumeUnlisted sets whether processes may run that use releases before a row lists them. While
// they do, rows are not complete, which the rows show to processes that start later.
func (l *Listing) AssumeUnlisted(mayUse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mayUseUnlisted = mayUse
}

// IsMixed reports whether a pool may have several releases: its row lists them, or will, or
// processes may use others than it lists.
func (l *Listing) IsMixed(id ident.PoolID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[id]
	return p != nil && (l.mayUseUnlisted || len(union(p.row.Releases, p.lost, p.present)) > 1)
}

// Pools returns the pools that are known.
func (l *Listing) Pools() []ident.PoolID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.pools))
}

// EnterEra records that the store is in a later era, which has lost the latest changes. All
// rows have to be written again.
func (l *Listing) EnterEra(era int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(era, now)
}

func (l *Listing) enterEra(era int64, now time.Time) {
	if era <= l.era {
		return
	}
	l.enteredAt = now
	for _, p := range l.pools {
		l.update(p, now)
		for release := range p.confirmedAt {
			p.expiring[release] = p.row.Era != era || !slices.Contains(p.row.Usable(), release)
		}
		p.hasLost, p.isKept, p.lostSince = p.row.Era == l.era && p.row.Serial > 0, false, p.row.CompleteSince
		p.lost = union(p.lost, p.row.Releases)
		p.isOlder = p.isOlder || !p.row.isEmpty()
		p.isVersionKnown = false
	}
	l.era = era
}

// IsKeepable reports whether the row of a pool has to be written again after the store has
// lost its latest changes, by a process that knows the row as it was before.
func (l *Listing) IsKeepable(id ident.PoolID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	return p.row.Era != l.era && p.hasLost && !p.isKept
}

// Keep records that, in an era, this process has learned all that any process listed in a
// pool before.
func (l *Listing) Keep(id ident.PoolID, era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.pool(id); era == l.era {
		p.isKept = true
	}
}

// LearnTable records that pools that are not known yet have no row.
func (l *Listing) LearnTable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isTableRead = true
	for _, p := range l.pools {
		if p.row.Serial == 0 && len(p.row.Releases) == 0 && !p.isVersionKnown {
			p.isVersionKnown, p.version = true, 0
		}
	}
}

// LearnRow records a pool's row as it was read from the store by a call that started at a
// time. A row that does not exist is the zero Row with version 0.
func (l *Listing) LearnRow(id ident.PoolID, row Row, version int64, started, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	l.withdrawUnlisted(p, row)
	p.row, p.version, p.isVersionKnown = row, version, true
	l.confirm(p, row.Usable(), false, started, now)
}

// Confirm records that the store has applied the write of a row that Plan returned, by a call
// that started at a time.
func (l *Listing) Confirm(id ident.PoolID, row Row, started, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	p.row, p.isVersionKnown, p.lost = row, false, nil
	l.confirm(p, row.Usable(), row.Era < l.era, started, now)
}

// LearnPeer records what another process knows: a pool's row, which may be outdated, and the
// releases that it admitted at a time and that endpoints had.
func (l *Listing) LearnPeer(id ident.PoolID, row Row, admitted []ident.Release, at, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(row.Era, now)
	p := l.pool(id)
	latest := p.row
	if latest.isEmpty() || row.isAfter(latest) {
		latest = row
	}
	switch {
	case row.Era < l.era:
		p.lost = union(p.lost, row.Releases)
	case row.isAfter(p.row):
		l.withdrawUnlisted(p, row)
		p.row, p.isVersionKnown = row, false
		if len(union(row.Releases, p.lost)) == len(row.Releases) {
			p.lost = nil
		}
	}
	usable := latest.Usable()
	l.confirm(p, slices.DeleteFunc(slices.Clone(admitted), func(r ident.Release) bool { return !slices.Contains(usable, r) }), row.Era < l.era, at, now)
}

// withdrawUnlisted withdraws the releases that a later row of the same era does not list: the
// row would prove that they have begun no stream.
func (l *Listing) withdrawUnlisted(p *poolListing, row Row) {
	if p.row.Era != row.Era || p.row.isEmpty() || !row.isAfter(p.row) {
		return
	}
	for release := range p.confirmedAt {
		if !slices.Contains(row.Releases, release) {
			delete(p.confirmedAt, release)
			delete(p.admitted, release)
			l.changes++
		}
	}
}

// Peer returns what LearnPeer of another process has to know of a pool.
func (l *Listing) Peer(id ident.PoolID, now time.Time) (row Row, admitted []ident.Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	l.update(p, now)
	return p.row, slices.Sorted(maps.Keys(p.admitted))
}

// ForgetVersion records that a pool's row may have changed, as after a write whose outcome
// is not known.
func (l *Listing) ForgetVersion(id ident.PoolID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool(id).isVersionKnown = false
}

// Version returns the version of a pool's row in the store, 0 if there is none. It returns
// false if the row has to be read.
func (l *Listing) Version(id ident.PoolID) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	return p.version, p.isVersionKnown
}

// IsOutdated reports whether the row of a pool that one release has had to itself for long
// still lists others here, so that the change of the row was missed.
func (l *Listing) IsOutdated(id ident.PoolID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	l.update(p, now)
	for _, release := range p.row.Releases {
		if now.Sub(p.seenAt[release]) > goneDelay+dropDelay+confirmationTTL {
			return true
		}
	}
	return false
}
