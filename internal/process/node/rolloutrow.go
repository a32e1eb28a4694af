package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/store"
)

const (
	// rolloutTable has a row for each pool that is or was moved to another release, with
	// the progress of the rollout.
	rolloutTable = "rollouts"
	// rolloutWriteTimeout bounds each call for a row.
	rolloutWriteTimeout = 2 * time.Second
	// maxRolloutPause bounds the time that counts as passed on a rollout's clock while no
	// node conducted it. The clocks of the nodes that wrote and read the row may differ.
	maxRolloutPause = 10 * time.Minute
)

// rolloutRow is the value of a row of rolloutTable, whose key is the pool.
type rolloutRow struct {
	OrderVersion int64  `json:"order_version"`
	Target       string `json:"target"`
	RampMs       int64  `json:"ramp_ms"`
	IsWithdrawn  bool   `json:"is_withdrawn,omitempty"`
	// Fencing rises with each conductor, and Write with each of its writes.
	Fencing   uint64 `json:"fencing"`
	Conductor string `json:"conductor"`
	Write     uint64 `json:"write"`
	// ClockMs is the time on the rollout's clock, which starts with the pool's first order,
	// when the row was written, and WrittenUnixMilli the time of day.
	ClockMs          int64   `json:"clock_ms"`
	WrittenUnixMilli int64   `json:"written_unix_milli"`
	State            string  `json:"state"`
	Share            float64 `json:"share"`
	Endpoints        int     `json:"endpoints,omitempty"`
	Reason           string  `json:"reason,omitempty"`
	Machine          []byte  `json:"machine,omitempty"`
}

// canaryState returns the row's state; an unknown one is running.
func (r rolloutRow) canaryState() canary.State {
	for _, s := range []canary.State{canary.Finishing, canary.Done, canary.RolledBack} {
		if s.String() == r.State {
			return s
		}
	}
	return canary.Running
}

// order returns the order that the row is about.
func (r rolloutRow) order(pool ident.PoolID) canary.Order {
	return canary.Order{Pool: pool, Target: ident.Release(r.Target), Ramp: time.Duration(r.RampMs) * time.Millisecond, Version: r.OrderVersion}
}

// clockAt returns the time on the rollout's clock at the given time of day.
func (r rolloutRow) clockAt(now time.Time) time.Duration {
	passed := now.Sub(time.UnixMilli(r.WrittenUnixMilli))
	return time.Duration(r.ClockMs)*time.Millisecond + min(max(passed, 0), maxRolloutPause)
}

// writeOutcome is the outcome of a write of a row.
type writeOutcome uint8

const (
	// notWritten means that the row is not written and can be tried again; the outcome may
	// also not be known.
	notWritten writeOutcome = iota
	written
	// outdated means that another node conducts the rollout.
	outdated
)

// unknownVersion is the version of a row that has to be read before it can be written.
const unknownVersion = -1

// writeRollout writes a pool's row, if it has the given version, the pool's status and the
// table's mark in one transaction. It returns the row's version after that.
func (n *Node) writeRollout(ctx context.Context, pool ident.PoolID, row rolloutRow, version int64) (writeOutcome, int64) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	if version == unknownVersion {
		known, current, err := n.readRollout(ctx, pool)
		switch {
		case err != nil:
			return notWritten, unknownVersion
		case known.isNewerThan(row):
			return outdated, current
		}
		version = current
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // encoding strings, numbers and bytes cannot fail.
	}
	statusKey, status := n.Platform.FormatStatus(pool, row.canaryState(), ident.Release(row.Target))
	result, err := n.Store.Transact(ctx, []store.Check{{Table: rolloutTable, Key: string(pool), Version: version}}, []store.Write{
		{Table: rolloutTable, Key: string(pool), Value: value},
		{Table: n.Platform.StatusTable, Key: statusKey, Value: status},
		markOf(rolloutTable, time.Now()),
	})
	if err != nil {
		n.Log.Warn("rollout_not_written", "pool", pool, "state", row.State, "share", row.Share, "error", err)
	}
	known, current, readErr := n.readRollout(ctx, pool)
	switch {
	case err == nil && result.Applied && readErr != nil:
		return written, unknownVersion
	case readErr != nil:
		return notWritten, unknownVersion
	case known.isNewerThan(row):
		return outdated, current
	case known.Fencing == row.Fencing && known.Conductor == row.Conductor && known.Write == row.Write:
		return written, current
	}
	return notWritten, current
}

// isNewerThan reports whether a row is of a later conductor than other, or of another one
// with the same fencing number, which happens if the store was restored between both.
func (r rolloutRow) isNewerThan(other rolloutRow) bool {
	return r.Fencing > other.Fencing || r.Fencing == other.Fencing && r.Conductor != "" && r.Conductor != other.Conductor
}

// readRollout reads a pool's row and its version. A missing row has version 0. One that
// cannot be decoded is logged and counts as empty.
func (n *Node) readRollout(ctx context.Context, pool ident.PoolID) (rolloutRow, int64, error) {
	r, found, err := n.Store.Get(ctx, rolloutTable, string(pool))
	if err != nil {
		return rolloutRow{}, unknownVersion, eris.Wrap(err, "read the row of a rollout")
	}
	if !found {
		return rolloutRow{}, 0, nil
	}
	return n.decodeRollout(r), r.Version, nil
}

func (n *Node) decodeRollout(r store.Row) rolloutRow {
	var row rolloutRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		n.Log.Warn("rollout_row_unreadable", "pool", r.Key, "store_version", r.Version, "error", err)
		return rolloutRow{}
	}
	return row
}

// readRollouts learns at the start of the process how far the rollouts are. What is finished
// or done holds at once, since the old endpoints may be gone; otherwise the target gets
// nothing until the conductor's first step.
func (n *Node) readRollouts(rows []store.Row) {
	for _, r := range rows {
		row := n.decodeRollout(r)
		if row.Target == "" {
			continue
		}
		pool := ident.PoolID(r.Key)
		n.rollouts.mu.Lock()
		p := n.rolloutOf(pool)
		if p.order.Target == "" && p.problem == "" {
			// The order was withdrawn while no node ran.
			p.order, p.isWithdrawn, p.seenAt = row.order(pool), true, time.Now()
		}
		if state := row.canaryState(); p.order.Target != ident.Release(row.Target) && state != canary.Finishing && state != canary.Done {
			// The order was replaced while no node ran.
			p.barred = map[ident.Release]bool{ident.Release(row.Target): true}
		}
		if p.order.Target == ident.Release(row.Target) && p.step.Fencing <= row.Fencing && !p.hasStep {
			p.hasStep, p.step = true, wire.RolloutStep{
				Pool: r.Key, Target: row.Target, Fencing: row.Fencing, Conductor: row.Conductor,
				State: uint8(row.canaryState()), Share: row.Share, Reason: row.Reason,
			}
		}
		n.rollouts.mu.Unlock()
		n.applyRollout(pool)
		n.rollouts.hasOrders.Set()
	}
}
