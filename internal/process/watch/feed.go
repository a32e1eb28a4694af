package watch

import (
	"context"
	"time"

	"goldcrestwick/internal/process/store"
)

func (t *Table) readChanges(ctx context.Context, after store.Position) error {
	rows, at, err := t.feed(ctx, after)
	if err == store.ErrHistoryGone { //nolint:errorlint // the client returns it unwrapped.
		t.Log.Info("table_history_gone", "table", t.Name, "era", after.Era, "version", after.Version)
		t.mu.Lock()
		t.needsScan = true
		t.mu.Unlock()
		return t.scan(ctx)
	}
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Era != t.position.Era {
		// Another node's update has told of a new era meanwhile.
		return errStale
	}
	t.recordRecovery()
	t.apply(rows, false)
	if after == t.settled && !at.Before(t.position) {
		t.hasFollowed = false
	}
	if t.position.Before(at) {
		t.position = at
	}
	return nil
}

// feed reads the changes after a position, and measures how long the store takes to answer.
func (t *Table) feed(ctx context.Context, after store.Position) ([]store.Row, store.Position, error) {
	wait, timeout := t.wait()
	if wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	sent := time.Now()
	rows, at, err := t.Store.Feed(ctx, t.Name, after, wait)
	if err != nil {
		return nil, store.Position{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	took := time.Since(sent)
	if len(rows) == 0 {
		t.answerTime = max(took-wait, 0)
	} else if wait == 0 || took < t.answerTime {
		t.answerTime = took
	}
	return rows, at, nil
}

// wait returns how long the next call may wait at the store, and how long a call that waits may
// last. The sum of the time for the wait and that for the answer is the same for a slow store,
// for which the call waits less. While calls fail they do not wait, so that the store's return is
// found soon.
func (t *Table) wait() (wait, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait = t.Wait()
	timeout = wait + answerMargin
	switch {
	case t.failures > 0:
		return 0, timeout
	case len(t.missing) > 0:
		wait = min(wait, missingRowsWait)
	}
	return max(min(wait, timeout-2*t.answerTime), 0), timeout
}

// recordRecovery records the end of an outage. If another node read the store
// during the outage, the store was up and no rows have expired, so that there is
// no grace period. The caller holds t.mu.
func (t *Table) recordRecovery() {
	if t.failures == 0 {
		return
	}
	if t.PeerRead != nil && t.PeerRead().After(t.LastRead().Add(t.Wait()+peerReadMargin)) {
		return
	}
	// The writers of the rows know the store's return before this Table does, if its call was
	// lost in the outage.
	back := t.now()
	if since := t.Store.AnsweringSince(); !since.IsZero() {
		back = back.Add(-time.Since(since))
	}
	t.startGracePeriod(back)
}

// startGracePeriod starts the grace period of rows that are missing after the store has
// recovered at a time, and starts it again for those that are missing already.
func (t *Table) startGracePeriod(recovered time.Time) {
	t.recoveredAt = recovered
	for key := range t.missing {
		t.missing[key] = t.recoveredAt.Add(gracePeriod)
	}
}
