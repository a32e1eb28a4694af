package watch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/store"
)

// maxLoggedChanges bounds the changes that a Table keeps for followers. It covers
// several replacements of all endpoints of a large fleet; a follower that is
// further behind gets a snapshot.
const maxLoggedChanges = 4096

// Cursor is a follower's place in the changes of another node's Table. The zero
// value asks for a snapshot.
type Cursor struct {
	// Log identifies the Table, and Sequence counts its changes.
	Log, Sequence uint64
}

// Update holds the changes of a Table after a cursor.
type Update struct {
	// Next is the cursor for the next update.
	Next Cursor
	// IsSnapshot is set if Rows holds all rows of the table.
	IsSnapshot bool
	Rows       []store.Row
	// Position is the store's position up to which the rows are current.
	Position store.Position
	// Settled is the position up to which nothing is missing in the Table that returned the
	// update, see Table.Settled.
	Settled store.Position
}

// changeLog keeps the latest changes of a table in order.
type changeLog struct {
	id uint64
	// dropped counts the changes before the first one in rows.
	dropped uint64
	// base is the position after which the log has all changes.
	base store.Position
	rows []store.Row
	// changed is closed at the next change; it is nil if nobody waits.
	changed chan struct{}
}

func (l *changeLog) add(rows []store.Row) {
	if len(rows) == 0 {
		return
	}
	l.rows = append(l.rows, rows...)
	if excess := len(l.rows) - maxLoggedChanges; excess > 0 {
		for _, r := range l.rows[:excess] {
			l.base.Version = max(l.base.Version, r.Version)
		}
		l.rows = slices.Clone(l.rows[excess:])
		l.dropped += uint64(excess)
	}
	l.notify()
}

func (l *changeLog) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// restart empties the log, so that all followers get what has changed since their positions
// after the base, or a snapshot.
func (l *changeLog) restart(base store.Position) {
	l.id, l.dropped, l.base, l.rows = 0, 0, base, nil
	l.notify()
}

func (l *changeLog) end() Cursor {
	if l.id == 0 {
		l.id = rand.Uint64() | 1
	}
	return Cursor{l.id, l.dropped + uint64(len(l.rows))}
}

// after returns the changes after a cursor; ok is false if they are not all kept.
func (l *changeLog) after(c Cursor) (rows []store.Row, ok bool) {
	end := l.end()
	if c.Log != end.Log || c.Sequence < l.dropped || c.Sequence > end.Sequence {
		return nil, false
	}
	return slices.Clone(l.rows[c.Sequence-l.dropped:]), true
}

// since returns the changes after a position; ok is false if they are not all kept.
func (l *changeLog) since(p store.Position) (rows []store.Row, ok bool) {
	if p.Era != l.base.Era || p.Version == 0 || p.Before(l.base) {
		return nil, false
	}
	for _, r := range l.rows {
		if r.Version > p.Version {
			rows = append(rows, r)
		}
	}
	return rows, true
}

// Updates returns the changes after a cursor or, if they are no longer all known, after the
// position up to which the follower's copy is settled, or else a snapshot, and a channel that
// is closed at the next change. ok is false if the table has not been read yet.
func (t *Table) Updates(c Cursor, settled store.Position) (u Update, next <-chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasScanned {
		return Update{}, nil, false
	}
	if t.changes.changed == nil {
		t.changes.changed = make(chan struct{})
	}
	u = Update{Next: t.changes.end(), Position: t.position, Settled: t.settled}
	rows, isKept := t.changes.after(c)
	if !isKept {
		rows, isKept = t.changes.since(settled)
	}
	if isKept {
		u.Rows = rows
	} else {
		u.IsSnapshot, u.Rows = true, slices.Collect(maps.Values(t.rows))
	}
	return u, t.changes.changed, true
}

// Follow applies an update of another node's Table, which read the store readAge
// ago. Rows from before the position of this Table are skipped, since it knows what
// became of them, but for deletions of rows that it has in an earlier version. It returns
// false, and changes nothing, if the update is from an older era of the store.
func (t *Table) Follow(u Update, readAge time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Position.Era < t.position.Era {
		return false
	}
	t.lastRead.Observe(t.now().Add(-readAge))
	t.failures = 0
	t.enterEra(u.Position.Era)
	// The other Table has kept missing rows for their grace period already.
	t.recoveredAt = time.Time{}
	clear(t.missing)
	t.hasFollowed = true
	isBehind := t.hasScanned && u.Position.Before(t.position)
	switch {
	case u.IsSnapshot && isBehind:
		u.Rows = t.deletedIn(u)
	case u.IsSnapshot:
		t.replace(u.Rows, u.Position)
		return true
	case isBehind:
		u.Rows = slices.DeleteFunc(slices.Clone(u.Rows), func(r store.Row) bool { return !r.Deleted && r.Version <= t.position.Version })
	}
	t.apply(u.Rows, false)
	if t.position.Before(u.Position) {
		t.position = u.Position
	}
	return true
}

// deletedIn returns the deletions of the rows that were deleted before a snapshot that is older
// than this Table's position. The caller holds t.mu.
func (t *Table) deletedIn(u Update) []store.Row {
	present := map[string]bool{}
	for _, r := range u.Rows {
		present[r.Key] = true
	}
	var deleted []store.Row
	for key, r := range t.rows {
		if !present[key] && r.Version <= u.Position.Version {
			deleted = append(deleted, store.Row{Key: key, Version: u.Position.Version, Deleted: true})
		}
	}
	return deleted
}

// Settled returns the position up to which nothing is missing in the local copy: neither changes
// nor deletions that wait for the end of a grace period, here or in the Table of another node
// that this one followed. It is zero if that is not known.
func (t *Table) Settled() store.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settled
}

// ObserveSettled records that the Table that this one follows is settled up to a position. All
// of its updates up to then have been applied with Follow.
func (t *Table) ObserveSettled(at store.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasScanned || at.Era != t.position.Era {
		return
	}
	t.settle(at)
	if t.position.Before(at) {
		t.position = at
	}
	t.hasFollowed = t.settled != t.position
}

// settle records a position up to which nothing is missing. The caller holds t.mu.
func (t *Table) settle(at store.Position) {
	if t.settled.Before(at) {
		t.settled = at
	}
}

// ObserveRead records that another node, whose Table this one follows, read the
// store readAge ago.
func (t *Table) ObserveRead(readAge time.Duration) { t.lastRead.Observe(t.now().Add(-readAge)) }

// gate is open or closed; the zero value is open.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; it is nil while the gate is open.
	opened chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns true once the gate is open, or false if the context is done.
func (g *gate) wait(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return ctx.Err() == nil
	}
	select {
	case <-opened:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
