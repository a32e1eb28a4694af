// Package watch follows the rows of one table of the store.
//
// A Table reads the table whole once and then what changed since. When the
// store's history is gone it reads the table whole again. While the store
// cannot be reached, what was read last counts. Rows can lapse while the store
// is away, and their writers need a moment to write them again: rows that are
// missing when it is back are believed gone only after a grace time. That does
// not hold where the store was away for this node alone.
//
// # Usage
//
//	t := &watch.Table{Name: "endpoints", Store: client, Changed: apply}
//	go t.Run(ctx)
package watch

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 100 * time.Millisecond
	maxPause   = 600 * time.Millisecond
	// missingWait is the wait at the store while rows are missing, so that they
	// are let go in time.
	missingWait = 200 * time.Millisecond
	// graceTime is how long after the store's return a missing row may still
	// come back.
	graceTime = 2 * time.Second
	// peerMargin is how much later than this node's last reading another's must
	// be to tell that the store did not fail for all: a call that was answered
	// while this node's was under way, and a probe.
	peerMargin = time.Second
)

// Table follows one table. Set the exported fields before Run.
type Table struct {
	Name  string
	Store *store.Client
	// Wait is how long a call may wait at the store for a change, and Interval
	// the pause between two calls.
	Wait     time.Duration
	Interval time.Duration
	// Changed gets the rows that are new, changed or Deleted, in the order of
	// their changes. It is called once after the first reading even when the
	// table is empty.
	Changed func([]store.Row)
	// PeerRead returns when another node last read the store, as far as known;
	// nil is never.
	PeerRead func() time.Time
	// Now is this node's clock; nil takes time.Now.
	Now func() time.Time
	Log *log.Logger

	rows    map[string]store.Row
	version int64
	// missing holds until when a row that was missing after an outage may come
	// back.
	missing map[string]time.Time
	failed  int
	// back is when the store was last back after an outage of its own.
	back time.Time
	read tick.Latest
}

// ReadAt returns when the table was last read, on this node's clock; the zero
// time is never.
func (t *Table) ReadAt() time.Time { return t.read.Time() }

// Run follows the table until the context ends.
func (t *Table) Run(ctx context.Context) {
	t.rows, t.missing = map[string]store.Row{}, map[string]time.Time{}
	for ctx.Err() == nil {
		var err error
		if t.version == 0 {
			err = t.scan(ctx)
		} else {
			err = t.feed(ctx)
		}
		t.expire(t.now())
		pause := t.Interval
		if err != nil {
			pause = min(firstPause<<min(t.failed, 3), maxPause)
		}
		t.note(err)
		if !tick.Sleep(ctx, pause) {
			return
		}
	}
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// note logs a lost and a regained store once each.
func (t *Table) note(err error) {
	if err == nil {
		t.read.Tell(t.now())
		if t.failed > 0 {
			t.Log.Info("table_regained", "table", t.Name, "version", t.version, "failed_calls", t.failed)
		}
		t.failed = 0
		return
	}
	t.failed++
	if t.failed == 1 {
		t.Log.Warn("table_lost", "table", t.Name, "version", t.version, "error", err)
	}
}

func (t *Table) scan(ctx context.Context) error {
	rows, version, err := t.Store.Scan(ctx, t.Name)
	if err != nil {
		return err
	}
	t.returned()
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	for key := range t.rows {
		if !present[key] {
			rows = append(rows, store.Row{Key: key, Version: version, Deleted: true})
		}
	}
	t.apply(rows)
	t.version = version
	return nil
}

func (t *Table) feed(ctx context.Context) error {
	wait := t.Wait
	if len(t.missing) > 0 {
		wait = min(wait, missingWait)
	}
	rows, version, err := t.Store.Feed(ctx, t.Name, t.version, wait)
	if err == store.ErrHistoryGone { //nolint:errorlint // the client returns it as it is.
		t.Log.Info("table_history_gone", "table", t.Name, "version", t.version)
		t.version = 0
		return t.scan(ctx)
	}
	if err != nil {
		return err
	}
	t.returned()
	if len(rows) > 0 {
		t.apply(rows)
	}
	t.version = max(t.version, version)
	return nil
}

// returned notes when the store is back after an outage. Where others read it
// meanwhile, it lost nothing.
func (t *Table) returned() {
	if t.failed == 0 {
		return
	}
	if t.PeerRead != nil && t.PeerRead().After(t.ReadAt().Add(t.Wait+peerMargin)) {
		return
	}
	t.back = t.now()
}

// apply passes on the rows that say something new. A row that is deleted right
// after an outage is kept for a while.
func (t *Table) apply(rows []store.Row) {
	now := t.now()
	var news []store.Row
	for _, r := range rows {
		known, ok := t.rows[r.Key]
		switch {
		case ok && r.Version < known.Version:
		case r.Deleted && !ok:
		case r.Deleted && now.Sub(t.back) < graceTime:
			if _, waiting := t.missing[r.Key]; !waiting {
				t.missing[r.Key] = t.back.Add(graceTime)
			}
		case r.Deleted:
			delete(t.rows, r.Key)
			delete(t.missing, r.Key)
			news = append(news, r)
		default:
			delete(t.missing, r.Key)
			t.rows[r.Key] = r
			if !ok || r.Version > known.Version {
				news = append(news, r)
			}
		}
	}
	if len(news) > 0 || t.version == 0 {
		t.Changed(news)
	}
}

// expire lets go of the rows that did not come back in time.
func (t *Table) expire(now time.Time) {
	var gone []store.Row
	for key, until := range t.missing {
		if now.Before(until) || t.failed > 0 {
			continue
		}
		gone = append(gone, store.Row{Key: key, Version: t.version, Deleted: true})
		delete(t.rows, key)
		delete(t.missing, key)
	}
	if len(gone) > 0 {
		t.Changed(gone)
	}
}
