package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

// addCrashRows keeps the crashes that were written before this node started, until it knows
// what other nodes know.
func (n *Node) addCrashRows(rows []store.Row) {
	now := time.Now()
	newest := map[ident.PoolID]time.Time{}
	slots := map[ident.PoolID]int{}
	read, crashes := map[ident.PoolID]poison.Report{}, 0
	for _, r := range rows {
		pool, node, slot, ok := parseCrashKey(r)
		report, written, err := decodeCrashRow(pool, r.Value, now)
		if !ok || err != nil {
			n.Log.Warn("crash_row_unreadable", "key", r.Key, "error", err)
			continue
		}
		if node == n.Process.Name && written.After(newest[pool]) {
			newest[pool], slots[pool] = written, (slot+1)%crashSlots
		}
		all := read[pool]
		if all.Completed == nil {
			all.Completed = map[ident.Trait]time.Time{}
		}
		all.Crashes = append(all.Crashes, report.Crashes...)
		crashes += len(report.Crashes)
		for trait, at := range report.Completed {
			if at.After(all.Completed[trait]) {
				all.Completed[trait] = at
			}
		}
		read[pool] = all
	}
	n.poison.rows.mu.Lock()
	n.poison.rows.nextSlots = slots
	n.poison.rows.mu.Unlock()
	n.keepRead(read)
	if len(rows) > 0 {
		n.meter.Count("goldcrestwick_crash_rows_read_total", len(rows))
		n.Log.Info("crashes_read", "rows", len(rows), "crashes", crashes)
	}
	if n.ctx != nil {
		n.tasks.Go(func() { n.cleanCrashTable(n.ctx, rows) })
	}
}

func (n *Node) keepRead(read map[ident.PoolID]poison.Report) {
	n.poison.mu.Lock()
	defer n.poison.mu.Unlock()
	n.poison.read = read
	for pool := range read {
		if n.poison.asked[pool] {
			// It began to own a cell before the table was read.
			n.poison.setOwnership(pool, true)
		}
	}
	n.poison.wake()
}

// markBlamed marks traits as blamed, and those that are quarantined, whose evidence may have
// been learned after their quarantine. They are not blamed again for the same crashes.
func (n *Node) markBlamed(traits []ident.Trait) {
	for _, trait := range traits {
		n.poison.detector.SetBlamed(trait)
	}
	for trait := range n.poison.quarantined.All(time.Now()) {
		n.poison.detector.SetBlamed(trait)
	}
}

func (n *Node) blamedBefore() []ident.Trait {
	n.poison.mu.Lock()
	defer n.poison.mu.Unlock()
	return n.poison.blamedBefore
}

// cleanCrashTable removes outdated rows, such as those of nodes that do not exist any more, until
// ctx is done: first those that were read at the start, once the node has joined the fleet, and
// then, each poison.EvidenceTime, what the table has then. At each time one node does so. Rows
// that are left are ignored by their age.
func (n *Node) cleanCrashTable(ctx context.Context, rows []store.Row) {
	var unreadable map[string]int64
	isRead := true
	for delay := crashRemovalDelay; tick.Sleep(ctx, delay); delay = poison.EvidenceTime + rand.N(poison.EvidenceTime/8) {
		owner, ok := n.members.View().Owner(n.Process.Region, crashTable)
		isOwner := ok && owner.ID == n.Process.Name
		if isOwner && !isRead {
			read, _, err := n.Store.Scan(ctx, crashTable)
			n.countCrashCall("read", err)
			if err != nil {
				continue
			}
			rows = read
		}
		var outdated []store.Row
		outdated, unreadable = outdatedCrashRows(rows, unreadable, time.Now())
		rows, isRead = nil, false
		if isOwner {
			n.removeCrashRows(ctx, outdated)
		}
	}
}

// outdatedCrashRows returns the rows whose crashes are all older than the evidence time. Rows
// that are unreadable, maybe of another version of this program, are outdated if they were so
// an evidence time ago, and unchanged since; it also returns these rows' versions.
func outdatedCrashRows(rows []store.Row, before map[string]int64, now time.Time) (outdated []store.Row, unreadable map[string]int64) {
	unreadable = map[string]int64{}
	for _, r := range rows {
		pool, _, _, ok := parseCrashKey(r)
		report, written, err := decodeCrashRow(pool, r.Value, now)
		if !ok || err != nil {
			unreadable[r.Key] = r.Version
			if before[r.Key] == r.Version {
				outdated = append(outdated, r)
			}
			continue
		}
		if len(report.Crashes) == 0 && now.Sub(written) > poison.EvidenceTime {
			outdated = append(outdated, r)
		}
	}
	return outdated, unreadable
}

// removeCrashRows removes rows. One that was written again meanwhile stays.
func (n *Node) removeCrashRows(ctx context.Context, outdated []store.Row) {
	for part := range slices.Chunk(outdated, maxRemovals/2) {
		var checks []store.Check
		var writes []store.Write
		for _, r := range part {
			checks = append(checks, store.Check{Table: crashTable, Key: r.Key, Version: r.Version})
			writes = append(writes, store.Write{Table: crashTable, Key: r.Key})
		}
		callCtx, cancel := context.WithTimeout(ctx, crashCallTimeout)
		_, err := n.Store.Transact(callCtx, checks, writes)
		cancel()
		n.countCrashCall("remove", err)
		if err != nil {
			return
		}
	}
}
