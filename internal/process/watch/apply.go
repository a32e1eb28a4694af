package watch

import (
	"time"

	"goldcrestwick/internal/process/store"
)

// apply applies rows to the local copy and calls Changed with those that changed
// it; always is set if Changed has to be called even without any. A row that is
// deleted within gracePeriod of a recovery is kept until the period ends. The caller
// holds t.mu.
func (t *Table) apply(rows []store.Row, always bool) {
	if t.rows == nil {
		t.rows, t.missing = map[string]store.Row{}, map[string]time.Time{}
	}
	now := t.now()
	var changed []store.Row
	for _, r := range rows {
		known, ok := t.rows[r.Key]
		switch {
		case ok && r.Version < known.Version:
		case r.Deleted && !ok:
		case r.Deleted && now.Sub(t.recoveredAt) < gracePeriod:
			if _, isMissing := t.missing[r.Key]; !isMissing {
				t.missing[r.Key] = t.recoveredAt.Add(gracePeriod)
			}
		case r.Deleted:
			t.remove(r.Key)
			changed = append(changed, r)
		default:
			delete(t.missing, r.Key)
			r = t.trim(r)
			isChanged := !ok || r.Version > known.Version && !t.hasSameContent(known, r)
			t.rows[r.Key] = r
			if isChanged {
				changed = append(changed, r)
			}
		}
	}
	t.publish(changed, always)
}

// maxUnreadableBytes is the length up to which the value of a row that cannot be decoded is kept.
// Another writer's rows may have 64 KiB each, and a message to a follower at most 1 MiB.
const maxUnreadableBytes = 1 << 10

// trim returns a row without its value if that is long and cannot be decoded.
func (t *Table) trim(r store.Row) store.Row {
	if len(r.Value) > maxUnreadableBytes && t.Content != nil && t.Content(r) == nil {
		r.Value = nil
	}
	return r
}

// remove removes a row. The caller holds t.mu.
func (t *Table) remove(key string) {
	delete(t.rows, key)
	delete(t.contents, key)
	delete(t.missing, key)
}

// hasSameContent reports whether a row was written again with the content of the known one,
// and caches the content. Rows that are known from an earlier era have the version 0 and differ
// from all others: each is sent again, as followers may have another state of it. The caller
// holds t.mu.
func (t *Table) hasSameContent(known, r store.Row) bool {
	if t.Content == nil {
		return false
	}
	if t.contents == nil {
		t.contents = map[string]any{}
	}
	old, isCached := t.contents[r.Key]
	if !isCached {
		old = t.Content(known)
	}
	t.contents[r.Key] = t.Content(r)
	return known.Version > 0 && old != nil && old == t.contents[r.Key]
}

// publish records changed rows for followers and calls Changed with them. The
// caller holds t.mu.
func (t *Table) publish(changed []store.Row, always bool) {
	t.changes.add(changed)
	if len(changed) > 0 || always {
		t.Changed(changed)
	}
}

// expire removes the missing rows that were not written again within their grace
// period, unless the last recorded call failed. The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	var expired []store.Row
	for key, until := range t.missing {
		if now.Before(until) || t.failures > 0 {
			continue
		}
		expired = append(expired, store.Row{Key: key, Version: t.position.Version, Deleted: true})
		t.remove(key)
	}
	t.publish(expired, false)
}
