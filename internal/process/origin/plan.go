package origin

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Plan returns the row that a pool should have in the store, and whether it differs from the
// one that it has as far as is known. If isKeeper is set, the row also marks and drops
// releases that are gone; one process should do so.
func (l *Listing) Plan(id ident.PoolID, isKeeper bool, now time.Time) (row Row, isChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(id)
	l.update(p, now)
	row = p.row
	row.Era = l.era
	if p.row.Era != l.era {
		switch {
		case p.hasLost && p.isKept:
			row.CompleteSince = max(p.lostSince, p.row.CompleteSince)
		case p.isOlder:
			// Processes that ran before the era, like this one, may use a lost release until
			// its confirmation expires.
			row.CompleteSince = now.Add(confirmationTTL + clockSkew).UnixMilli()
		case p.row.Era < 0:
			row.CompleteSince = now.Add(clockSkew).UnixMilli()
		default:
			row.CompleteSince = now.UnixMilli()
		}
	}
	if l.mayUseUnlisted && row.CompleteSince < now.Add(unlistedRenewal).UnixMilli() {
		row.CompleteSince = now.Add(unlistedMargin).UnixMilli()
	}
	row.Releases = union(p.row.Releases, p.lost, p.present)
	row.Gone = slices.DeleteFunc(slices.Clone(p.row.Gone), func(r ident.Release) bool { return slices.Contains(p.present, r) })
	if isKeeper && p.row.Era == l.era {
		p.markGone(&row, now)
	}
	isChanged = !slices.Equal(row.Releases, p.row.Releases) || !slices.Equal(row.Gone, p.row.Gone) || row.Era != p.row.Era ||
		row.CompleteSince > p.row.CompleteSince
	row.Serial++
	return row, isChanged && len(row.Releases) > 0
}

// markGone marks the releases that no endpoint has, and drops those marked for long.
func (p *poolListing) markGone(row *Row, now time.Time) {
	for _, release := range p.row.Releases {
		if slices.Contains(p.present, release) || len(p.present) == 0 {
			continue
		}
		at, isMarked := p.goneAt[release]
		switch {
		case isMarked && now.Sub(at) >= dropDelay:
			row.Releases = slices.DeleteFunc(row.Releases, func(r ident.Release) bool { return r == release })
			row.Gone = slices.DeleteFunc(row.Gone, func(r ident.Release) bool { return r == release })
			row.CompleteSince = max(row.CompleteSince, now.Add(clockSkew-dropDelay).UnixMilli())
		case !isMarked && now.Sub(p.seenAt[release]) >= goneDelay:
			row.Gone = union(row.Gone, []ident.Release{release})
		}
	}
}
