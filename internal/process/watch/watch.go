// Package watch maintains a local copy of one table of the store.
//
// A Table scans the table once and then reads its change feed. When the feed's
// history is no longer available, it scans the table again. While the store is
// unreachable, the rows read last remain valid. Rows can expire during an outage
// of the store, and their writers need some time to write them again. Rows that
// are missing after an outage are therefore removed only after a grace period.
// There is no grace period if the store was unreachable for this node only.
//
// # Usage
//
//	t := &watch.Table{Name: "endpoints", Store: client, Wait: wait, Interval: interval, Changed: apply, Log: logger}
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
	// initialRetryDelay and maxRetryDelay bound the backoff after a failed call.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 600 * time.Millisecond
	// missingRowsWait bounds how long a call waits at the store for a change while
	// rows are missing, so that they are removed soon after their grace period.
	missingRowsWait = 200 * time.Millisecond
	// gracePeriod is how long after the store's recovery a missing row is kept.
	gracePeriod = 2 * time.Second
	// peerReadMargin is how much later than this node's last read, beyond Wait,
	// another node's read must be to show that the store did not fail for all
	// nodes. It covers a read of the other node that completed while this
	// node's call was in progress, and the probe that reported it.
	peerReadMargin = time.Second
)

// Table follows one table of the store. Set the exported fields before calling
// Run.
type Table struct {
	Name  string
	Store *store.Client
	// Wait is how long a call may wait at the store for a change, and Interval
	// is the delay between two calls.
	Wait     time.Duration
	Interval time.Duration
	// Changed is called with the rows that are new, changed or Deleted. Rows from
	// the change feed are in the order in which the store returned them. It is
	// called after each scan, even without any rows.
	Changed func([]store.Row)
	// PeerRead returns the latest known time at which another node read the
	// store. A nil function or the zero time means never.
	PeerRead func() time.Time
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log *log.Logger

	rows map[string]store.Row
	// version is the table's version up to which rows is current; at 0 the table
	// is scanned.
	version int64
	// missing holds the end of the grace period of each row that was missing
	// after an outage.
	missing map[string]time.Time
	// failures counts the consecutive failed calls.
	failures int
	// recoveredAt is when the store last recovered from an outage that was not
	// limited to this node.
	recoveredAt time.Time
	lastRead    tick.Latest
}

// LastRead returns when the table was last read successfully, by this node's clock;
// the zero time means never.
func (t *Table) LastRead() time.Time { return t.lastRead.Time() }

// Run follows the table until the context ends.
func (t *Table) Run(ctx context.Context) {
	t.rows, t.missing = map[string]store.Row{}, map[string]time.Time{}
	for ctx.Err() == nil {
		var err error
		if t.version == 0 {
			err = t.scan(ctx)
		} else {
			err = t.readChanges(ctx)
		}
		t.expire(t.now())
		delay := t.Interval
		if err != nil {
			delay = min(initialRetryDelay<<min(t.failures, 3), maxRetryDelay)
		}
		t.recordCall(err)
		if !tick.Sleep(ctx, delay) {
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

// recordCall records the outcome of a call. It logs the first failure of an
// outage, and the recovery.
func (t *Table) recordCall(err error) {
	if err == nil {
		t.lastRead.Observe(t.now())
		if t.failures > 0 {
			t.Log.Info("table_regained", "table", t.Name, "version", t.version, "failed_calls", t.failures)
		}
		t.failures = 0
		return
	}
	t.failures++
	if t.failures == 1 {
		t.Log.Warn("table_lost", "table", t.Name, "version", t.version, "error", err)
	}
}

func (t *Table) scan(ctx context.Context) error {
	rows, version, err := t.Store.Scan(ctx, t.Name)
	if err != nil {
		return err
	}
	t.recordRecovery()
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

func (t *Table) readChanges(ctx context.Context) error {
	wait := t.Wait
	if len(t.missing) > 0 {
		wait = min(wait, missingRowsWait)
	}
	rows, version, err := t.Store.Feed(ctx, t.Name, t.version, wait)
	if err == store.ErrHistoryGone { //nolint:errorlint // the client returns it unwrapped.
		t.Log.Info("table_history_gone", "table", t.Name, "version", t.version)
		t.version = 0
		return t.scan(ctx)
	}
	if err != nil {
		return err
	}
	t.recordRecovery()
	if len(rows) > 0 {
		t.apply(rows)
	}
	t.version = max(t.version, version)
	return nil
}

// recordRecovery records the end of an outage. If another node read the store
// during the outage, the store was up and no rows have expired, so that there is
// no grace period.
func (t *Table) recordRecovery() {
	if t.failures == 0 {
		return
	}
	if t.PeerRead != nil && t.PeerRead().After(t.LastRead().Add(t.Wait+peerReadMargin)) {
		return
	}
	t.recoveredAt = t.now()
}

// apply applies rows to the local copy and calls Changed with those that changed
// it. A row that is deleted within gracePeriod of a recovery is kept until the period ends.
func (t *Table) apply(rows []store.Row) {
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
			delete(t.rows, r.Key)
			delete(t.missing, r.Key)
			changed = append(changed, r)
		default:
			delete(t.missing, r.Key)
			t.rows[r.Key] = r
			if !ok || r.Version > known.Version {
				changed = append(changed, r)
			}
		}
	}
	if len(changed) > 0 || t.version == 0 {
		t.Changed(changed)
	}
}

// expire removes the missing rows that were not written again within their grace
// period, unless the last recorded call failed.
func (t *Table) expire(now time.Time) {
	var expired []store.Row
	for key, until := range t.missing {
		if now.Before(until) || t.failures > 0 {
			continue
		}
		expired = append(expired, store.Row{Key: key, Version: t.version, Deleted: true})
		delete(t.rows, key)
		delete(t.missing, key)
	}
	if len(expired) > 0 {
		t.Changed(expired)
	}
}
