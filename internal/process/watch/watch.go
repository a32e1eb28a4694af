// Package watch maintains a local copy of one table of the store.
//
// A Table scans the table once and then reads its change feed. When the feed's
// history is no longer available, it scans the table again. While the store is
// unreachable, the rows read last remain valid. Rows can expire during an outage
// of the store, and their writers need some time to write them again. Rows that
// are missing after an outage are therefore removed only after a grace period.
// There is no grace period if the store was unreachable for this node only.
//
// A store that was restored from an older copy is in a new era. Its rows replace
// the known ones whatever their versions, and rows that the copy lacks get the
// grace period too.
//
// Instead of reading the store itself, a Table can follow the Table of another
// node: that one hands out Updates, and this one applies them with Follow.
//
// # Usage
//
//	t := &watch.Table{Name: "endpoints", Store: client, Wait: wait, Interval: interval, Changed: apply, Log: logger}
//	go t.Run(ctx)
//
//	update, next := t.Updates(cursor, settled) // on another node's behalf
//	other.Follow(update, age)
//	other.ObserveSettled(update.Settled)
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// initialRetryDelay and maxRetryDelay bound the backoff after a failed call.
	initialRetryDelay = 100 * time.Millisecond
	// staleRetryDelay is the time between calls while the store's responses are
	// older than the local copy.
	staleRetryDelay = 300 * time.Millisecond
	maxRetryDelay   = 600 * time.Millisecond
	// maxBackoffSteps is the number of failures after which the backoff has reached
	// its bound.
	maxBackoffSteps = 3
	// missingRowsWait bounds how long a call waits at the store for a change while
	// rows are missing, so that they are removed soon after their grace period.
	missingRowsWait = 200 * time.Millisecond
	// gracePeriod is how long after the store's recovery a missing row is kept.
	gracePeriod = 2 * time.Second
	// answerMargin is how much longer than Wait a call may last. A call that is sent while the
	// store is silent is not answered when the store is back, so that the sum bounds how long
	// this node can take the store for silent after its return. The platform expects its nodes
	// to follow the store again 3 s after that.
	answerMargin = 500 * time.Millisecond
	// peerReadMargin is how much later than this node's last read, beyond Wait,
	// another node's read must be to show that the store did not fail for all
	// nodes. It covers a read of the other node that completed while this
	// node's call was in progress, and the probe that reported it.
	peerReadMargin = time.Second
)

// errStale is returned for a response that is older than the local copy. It has
// nothing new, and rows in it may have been deleted since.
var errStale = eris.New("the store's response is older than the local copy")

// Table follows one table of the store. Set the exported fields before calling
// Run. Methods are safe for concurrent use.
type Table struct {
	Name  string
	Store *store.Client
	// Wait returns how long a call may wait at the store for a change, and Interval
	// the delay between two calls, which is extended if Interval returns more at its end.
	Wait     func() time.Duration
	Interval func() time.Duration
	// Changed is called with the rows that are new, changed or Deleted. Rows from
	// the change feed are in the order in which the store returned them. It is
	// called after each scan, even without any rows. Calls are serialized, and must
	// not call methods of the Table.
	Changed func([]store.Row)
	// Content, if not nil, returns the content of a row that counts, to be compared with ==, or
	// nil if the row cannot be decoded. A row that was written again with the same content is
	// neither passed to Changed nor sent to followers, except in a new era of the store.
	Content func(store.Row) any
	// NewEra, if not nil, is called after the first scan of a store that was
	// restored from an older copy, before its rows are used.
	NewEra func(store.Era)
	// PeerRead returns the latest known time at which another node read the
	// store. A nil function or the zero time means never.
	PeerRead func() time.Time
	// MaxRetryDelay bounds the backoff after failed calls, which then starts at half
	// of it; if it is nil or returns 0, the default backoff applies.
	MaxRetryDelay func() time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log *log.Logger

	pause gate

	// mu guards the fields below.
	mu   sync.Mutex
	rows map[string]store.Row
	// contents caches the contents of rows.
	contents map[string]any
	// position is the store's position up to which rows is current, and settled that up to
	// which nothing is missing, see Settled.
	position, settled store.Position
	// hasFollowed is set while the local copy may lack deletions between the two positions, for
	// which the Table of another node, which this one follows, has a grace period.
	hasFollowed bool
	// hasScanned is set after the first scan or snapshot; needsScan is set when the
	// feed cannot continue from position.
	hasScanned, needsScan bool
	// missing holds the end of the grace period of each row that was missing
	// after an outage.
	missing map[string]time.Time
	// failures counts the consecutive failed calls.
	failures int
	// answerTime is how long the store takes to answer, without the time for which a call waits
	// there for a change.
	answerTime time.Duration
	// recoveredAt is when the store last recovered from an outage that was not
	// limited to this node.
	recoveredAt time.Time
	lastRead    tick.Latest
	changes     changeLog
}

// LastRead returns when the table was last read successfully, by this node's clock;
// the zero time means never. For rows that were read by another node, it is the
// time of that node's read.
func (t *Table) LastRead() time.Time { return t.lastRead.Time() }

// Position returns the position of the store up to which the local copy is
// current.
func (t *Table) Position() store.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// HasRows reports whether the table has been read, by this node or by another one that it
// follows. It is false until the time of the read is known, without which followers would take
// the rows for too old.
func (t *Table) HasRows() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasScanned && !t.lastRead.Time().IsZero()
}

// HasFailed reports whether the last call to the store failed.
func (t *Table) HasFailed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures > 0
}

// Pause keeps Run from calling the store until Resume; a call in progress is
// completed. Both may be called before Run.
func (t *Table) Pause() { t.pause.close() }

// Resume lets Run call the store again.
func (t *Table) Resume() { t.pause.open() }

// Run follows the table until the context ends.
func (t *Table) Run(ctx context.Context) {
	for t.pause.wait(ctx) {
		err := t.read(ctx)
		delay := t.Interval()
		switch err { //nolint:errorlint // errStale is returned unwrapped.
		case nil:
		case errStale:
			delay = staleRetryDelay
		default:
			delay = t.retryDelay()
		}
		t.recordCall(err)
		if !tick.Sleep(ctx, delay) {
			return
		}
		if rest := t.Interval() - delay; err == nil && rest > 0 && !tick.Sleep(ctx, rest) {
			return
		}
	}
}

// read makes one call to the store.
func (t *Table) read(ctx context.Context) error {
	t.mu.Lock()
	needsScan, after := t.needsScan || !t.hasScanned, t.position
	if t.hasFollowed && t.settled.Era == after.Era && t.settled.Version > 0 {
		after = t.settled
	}
	t.mu.Unlock()
	err := error(nil)
	if needsScan {
		err = t.scan(ctx)
	} else {
		err = t.readChanges(ctx, after)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	if t.hasScanned && !t.hasFollowed && len(t.missing) == 0 {
		t.settle(t.position)
	}
	return err
}

// retryDelay returns the time until the next call after a failure that has not
// been recorded yet.
func (t *Table) retryDelay() time.Duration {
	t.mu.Lock()
	failures := min(t.failures, maxBackoffSteps)
	t.mu.Unlock()
	if t.MaxRetryDelay != nil && t.MaxRetryDelay() > 0 {
		limit := t.MaxRetryDelay()
		return min(limit/2<<failures, limit)
	}
	return min(initialRetryDelay<<failures, maxRetryDelay)
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
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.lastRead.Observe(t.now())
		if t.failures > 0 {
			t.Log.Info("table_regained", "table", t.Name, "version", t.position.Version, "failed_calls", t.failures,
				"store_answers_for", time.Since(t.Store.AnsweringSince()))
		}
		t.failures = 0
		return
	}
	if err == errStale { //nolint:errorlint // it is returned unwrapped.
		// The store is up, so this is no outage in which rows expire.
		return
	}
	t.failures++
	if t.failures == 1 {
		t.Log.Warn("table_lost", "table", t.Name, "version", t.position.Version, "error", err)
	}
}

func (t *Table) scan(ctx context.Context) error {
	rows, at, err := t.Store.Scan(ctx, t.Name)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasScanned && at.Before(t.position) {
		return errStale
	}
	if !t.enterEra(at.Era) {
		t.recordRecovery()
	}
	t.replace(rows, at)
	t.hasFollowed = false
	return nil
}

// enterEra prepares the local copy for rows of the given era. It reports whether
// the era is a new one; then the versions of the known rows no longer count, and
// missing rows get a grace period. The caller holds t.mu.
func (t *Table) enterEra(era store.Era) bool {
	if !t.hasScanned || era <= t.position.Era {
		return false
	}
	t.Log.Warn("store_restored", "table", t.Name, "era", era, "version", t.position.Version)
	for key, r := range t.rows {
		r.Version = 0
		t.rows[key] = r
	}
	t.startGracePeriod(t.now())
	if t.NewEra != nil {
		t.NewEra(era)
	}
	return true
}

// replace applies a complete list of the table's rows. The caller holds t.mu.
func (t *Table) replace(rows []store.Row, at store.Position) {
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	for key := range t.rows {
		if !present[key] {
			rows = append(rows, store.Row{Key: key, Version: at.Version, Deleted: true})
		}
	}
	isFirst := !t.hasScanned
	t.hasScanned, t.needsScan = true, false
	t.position = at
	t.apply(rows, isFirst)
	if isFirst || t.changes.base.Era != at.Era {
		t.changes.restart(at)
	}
}
