package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/ident"
)

const (
	// crashInterval is the time between two looks at new crashes, and between the calls
	// that report them.
	crashInterval = 100 * time.Millisecond
	// quarantineTable has a row for each quarantined part of prompts. It outlives a
	// restart of all nodes; among running ones, quarantines spread by gossip.
	quarantineTable = "quarantine"
	// quarantineReadPause is the pause between attempts to read that table at the start.
	quarantineReadPause = 300 * time.Millisecond
)

// poisonState holds what the node knows of parts of prompts that crash endpoints.
//
// The node of a cell sees the crashes and the completions of its requests. The nodes of
// several cells report crashes to each other, and ask each other for completions before
// they blame a part.
type poisonState struct {
	detector    poison.Detector
	quarantined poison.List
	// hasCrashes is set when the detector has a new crash.
	hasCrashes tick.Signal
	mu         sync.Mutex
	// unreported holds the crashes that other nodes of cells do not know yet.
	unreported []poison.Crash
}

// recordEnded records the end of a request that one of this node's cells granted. It is
// called with the cell's lock held.
func (n *Node) recordEnded(e sched.Ended) {
	if len(e.PromptParts) == 0 {
		return
	}
	endpoint := poison.Endpoint{ID: e.Endpoint.ID, StartedUnixMilli: e.Endpoint.StartedUnixMilli}
	switch {
	case e.Completion.NoAnswer:
		c := poison.Crash{Endpoint: endpoint, At: time.Now(), Parts: e.PromptParts}
		n.poison.detector.Crashed(c)
		n.poison.mu.Lock()
		n.poison.unreported = append(n.poison.unreported, c)
		n.poison.mu.Unlock()
		n.poison.hasCrashes.Set()
	case e.Completion.IsWhole:
		n.poison.detector.Completed(endpoint, e.PromptParts, time.Now())
	case e.IsAnswered:
		n.poison.detector.Answered(e.PromptParts, e.RanFor, time.Now())
	}
}

// watchCrashes reports crashes to the other nodes of cells and quarantines the parts of
// prompts that are to blame, until ctx is done.
func (n *Node) watchCrashes(ctx context.Context) {
	tick.OnDemand(ctx, crashInterval, &n.poison.hasCrashes, func(ctx context.Context) bool {
		others, ownsCell := n.otherCellOwners()
		n.reportCrashes(ctx, others)
		suspects, isPending := n.poison.detector.Suspects(time.Now())
		if len(suspects) == 0 {
			return isPending
		}
		n.exonerateRunning(suspects)
		if !n.askForCompletions(ctx, others, suspects) && !ownsCell {
			// Other nodes see most completions, and none of them has replied.
			return true
		}
		for _, s := range n.poison.detector.Blame(suspects, time.Now()) {
			n.quarantine(ctx, s)
		}
		return isPending
	})
}

// otherCellOwners returns the other nodes that own cells, and whether this node owns any.
func (n *Node) otherCellOwners() (others []member.Member, ownsCell bool) {
	for _, c := range n.cells.Roster().All() {
		owner, ok := n.cells.Owner(c.ID)
		switch {
		case !ok:
		case owner.ID == n.Process.Name:
			ownsCell = true
		case !slices.ContainsFunc(others, func(m member.Member) bool { return m.ID == owner.ID }):
			others = append(others, owner)
		}
	}
	return others, ownsCell
}

// reportCrashes reports the new crashes to other nodes. A report that is lost delays the
// verdict of its receiver only.
func (n *Node) reportCrashes(ctx context.Context, others []member.Member) {
	n.poison.mu.Lock()
	crashes := n.poison.unreported
	n.poison.unreported = nil
	n.poison.mu.Unlock()
	if len(crashes) == 0 {
		return
	}
	message := wire.FromCrashes(crashes, time.Now())
	callAll[wire.Crashes, wire.Empty](ctx, n, others, wire.KindCrashes, message)
}

func (n *Node) serveCrashes(_ context.Context, s *link.Stream, m wire.Crashes) {
	for _, c := range m.ToCrashes(time.Now()) {
		n.poison.detector.Crashed(c)
	}
	n.poison.hasCrashes.Set()
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the reporter ignores lost reports.
}

// exonerateRunning exonerates the suspects with which requests run well at present.
func (n *Node) exonerateRunning(suspects []poison.Suspect) {
	var parts []ident.PromptPart
	for _, s := range suspects {
		parts = append(parts, s.Part)
	}
	for _, part := range n.cells.RunningFor(parts, poison.SurvivalTime) {
		n.poison.detector.Exonerate(part, time.Now())
	}
}

// askForCompletions asks other nodes for the latest completions of requests with the
// suspects, and reports whether any has replied.
func (n *Node) askForCompletions(ctx context.Context, others []member.Member, suspects []poison.Suspect) bool {
	replies := callAll[wire.CompletedParts, wire.CompletedParts](ctx, n, others, wire.KindCompletedParts, wire.FromSuspects(suspects))
	for _, reply := range replies {
		for part, age := range reply.Ages {
			n.poison.detector.Exonerate(ident.PromptPart(part), time.Now().Add(-time.Duration(age)))
		}
	}
	return len(replies) > 0
}

func (n *Node) serveCompletedParts(_ context.Context, s *link.Stream, m wire.CompletedParts) {
	for _, part := range n.cells.RunningFor(m.ToParts(), poison.SurvivalTime) {
		n.poison.detector.Exonerate(part, time.Now())
	}
	times := n.poison.detector.CompletedAt(m.ToParts())
	s.Send(wire.KindCompletedParts, wire.CompletedParts{Ages: wire.FromPartTimes(times, time.Now(), false)}) //nolint:errcheck // the asker decides without it.
}

// callAll makes a call to several nodes at once and returns the replies.
func callAll[Query, Reply any](ctx context.Context, n *Node, to []member.Member, kind link.Kind, query Query) []Reply {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var replies []Reply
	for _, m := range to {
		calls.Go(func() {
			reply, err := link.Call[Query, Reply](ctx, n.Open, m.PeerAddress, kind, query)
			if err != nil {
				n.Log.Debug("call_failed", "peer", m.ID, "kind", kind, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	calls.Wait()
	return replies
}

// quarantine quarantines a part on this node, tells its neighbors and writes the part's
// row.
func (n *Node) quarantine(ctx context.Context, s poison.Suspect) {
	now := time.Now()
	until := now.Add(poison.QuarantineTime)
	isNew := n.poison.quarantined.Add(s.Part, until, now)
	n.Log.Warn("prompt_part_quarantined", "part", partKey(s.Part), "crashed_endpoints", joinEndpoints(s.Endpoints),
		"first_crash", now.Sub(s.Since), "new", isNew)
	if isNew {
		n.applyQuarantine()
	}
	n.tasks.Go(func() { n.writeQuarantines(ctx, map[ident.PromptPart]time.Time{s.Part: until}) }) //nolint:errcheck // gossip spreads it as well.
}

// learnQuarantines adds the quarantines that another node knows, and passes new ones on
// to the neighbors at once.
func (n *Node) learnQuarantines(g wire.Gossip) {
	hasNew, now := false, time.Now()
	for part, remaining := range g.Quarantined {
		if n.poison.quarantined.Add(ident.PromptPart(part), now.Add(time.Duration(remaining)), now) {
			hasNew = true
			n.Log.Info("prompt_part_quarantine_learned", "part", partKey(ident.PromptPart(part)), "from", g.PeerAddress)
		}
	}
	if hasNew {
		n.applyQuarantine()
	}
}

// applyQuarantine refuses the requests that wait in this node's cells and have a
// quarantined part, and tells the neighbors of the quarantine.
func (n *Node) applyQuarantine() {
	n.cells.ShedQuarantined(func(parts []ident.PromptPart) (time.Time, bool) {
		_, until, ok := n.findQuarantined(parts)
		return until, ok
	})
	n.tasks.Go(n.broadcastState)
}

// findQuarantined returns the first of the parts that is quarantined, and until when.
func (n *Node) findQuarantined(parts []ident.PromptPart) (part ident.PromptPart, until time.Time, ok bool) {
	return n.poison.quarantined.Find(parts, time.Now())
}

func partKey(part ident.PromptPart) string { return strconv.FormatUint(uint64(part), 16) }

// quarantineRow is the value of a row of quarantineTable, whose key is the part.
type quarantineRow struct {
	UntilUnixMilli int64 `json:"until_unix_ms"`
}

// readQuarantines adds the quarantines of the store's table. It tries until the table was
// read or ctx is done.
func (n *Node) readQuarantines(ctx context.Context) {
	for {
		rows, _, err := n.Store.Scan(ctx, quarantineTable)
		if err == nil {
			n.addQuarantineRows(rows)
			return
		}
		n.Log.Warn("quarantines_not_read", "error", err)
		if !tick.Sleep(ctx, quarantineReadPause) {
			return
		}
	}
}

func (n *Node) addQuarantineRows(rows []store.Row) {
	now := time.Now()
	for _, r := range rows {
		var row quarantineRow
		part, err := strconv.ParseUint(r.Key, 16, 64)
		if err != nil || json.Unmarshal(r.Value, &row) != nil {
			n.Log.Warn("quarantine_row_unreadable", "key", r.Key)
			continue
		}
		if n.poison.quarantined.Add(ident.PromptPart(part), time.UnixMilli(row.UntilUnixMilli), now) {
			n.Log.Info("prompt_part_quarantine_learned", "part", r.Key, "from", "store")
		}
	}
}

// writeQuarantines writes the rows of quarantined parts.
func (n *Node) writeQuarantines(ctx context.Context, parts map[ident.PromptPart]time.Time) error {
	var writes []store.Write
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		value, err := json.Marshal(quarantineRow{parts[part].UnixMilli()})
		if err != nil {
			panic(err) // encoding an integer cannot fail.
		}
		writes = append(writes, store.Write{Table: quarantineTable, Key: partKey(part), Value: value})
	}
	if len(writes) == 0 {
		return nil
	}
	err := n.writeRows(ctx, writes)
	if err != nil {
		n.Log.Warn("quarantine_not_written", "parts", len(writes), "error", err)
	}
	return err
}

// rewriteQuarantines writes the rows of all quarantined parts again. One node does so for
// the fleet.
func (n *Node) rewriteQuarantines(ctx context.Context) error {
	owner, ok := n.members.View().Owner(n.Process.Region, quarantineTable)
	if !ok || owner.ID != n.Process.Name {
		return nil
	}
	return n.writeQuarantines(ctx, n.poison.quarantined.All(time.Now()))
}
