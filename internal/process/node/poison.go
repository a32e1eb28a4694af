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
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// crashInterval is the time between two looks at new crashes, and between the calls
	// that report them.
	crashInterval = 100 * time.Millisecond
	// quarantineTable has a row for each quarantined trait. It outlives a
	// restart of all nodes; among running ones, quarantines spread by gossip.
	quarantineTable = "quarantine"
)

// poisonState holds what the node knows of traits of requests that crash endpoints.
//
// The node of a cell sees the crashes and the completions of its requests. It reports
// crashes, and completions that refute them, to the other nodes that may decide: those of
// other cells, and the standby nodes of its pool's cells. Before a node blames a trait, it
// asks them for completions.
type poisonState struct {
	detector    poison.Detector
	quarantined poison.List
	// hasCrashes is set when the detector has new evidence, and hasNews when there may be
	// something to report or to ask for.
	hasCrashes, hasNews tick.Signal
	// ownsCell is set when this node begins to own a cell.
	ownsCell tick.Signal
	mu       sync.Mutex
	// blamedBefore holds traits that were quarantined at some time of the last
	// poison.EvidenceTime before this node started.
	blamedBefore []ident.Trait
	// rows holds what is written to crashTable.
	rows crashStore
	// read holds what was read of crashTable, until this node begins to own a cell of the
	// pool, and asked the pools of which it has asked other nodes for evidence.
	read  map[ident.PoolID]poison.Report
	asked map[ident.PoolID]bool
	// gained and lost hold the pools of which this node has begun to own a cell, or ceased
	// to, since the other nodes were asked for evidence, or told it.
	gained, lost map[ident.PoolID]bool
}

// recordEnded records the end of a request that one of this node's cells granted. It is
// called with the cell's lock held.
func (n *Node) recordEnded(e sched.Ended) {
	if len(e.Traits) == 0 {
		return
	}
	endpoint := poison.Endpoint{Pool: e.Pool, ID: e.Endpoint.ID, StartedUnixMilli: e.Endpoint.StartedUnixMilli}
	switch {
	case e.Completion.NoAnswer:
		c := poison.Crash{Endpoint: endpoint, SentAt: e.GrantedAt, At: time.Now(), Traits: e.Traits}
		n.poison.detector.Crashed(c)
		n.poison.wake()
	case e.Completion.IsWhole:
		if n.poison.detector.Completed(endpoint, e.Traits, time.Now()) {
			n.poison.wake()
		}
	case e.IsAnswered:
		if n.poison.detector.Answered(e.Pool, e.Traits, e.RanFor, time.Now()) {
			n.poison.wake()
		}
	}
}

func (p *poisonState) wake() {
	p.hasCrashes.Set()
	p.hasNews.Set()
}

// exchangeCrashes reports crashes to the other nodes that decide, and asks them for evidence,
// until ctx is done.
func (n *Node) exchangeCrashes(ctx context.Context) {
	tick.OnDemand(ctx, crashInterval, &n.poison.hasNews, func(ctx context.Context) bool {
		n.exchangeEvidence(ctx)
		n.reportCrashes(ctx)
		return false
	})
}

// watchCrashes quarantines the traits that are to blame, until ctx is done. A verdict asks
// other nodes, which takes up to peerCallTimeout if one does not respond; it therefore does not
// share a loop with reports.
func (n *Node) watchCrashes(ctx context.Context) {
	tick.OnDemand(ctx, crashInterval, &n.poison.hasCrashes, func(ctx context.Context) bool {
		suspects, isPending := n.poison.detector.Suspects(time.Now())
		if len(suspects) == 0 {
			return isPending
		}
		n.exonerateRunning(suspects)
		pools := map[ident.PoolID]bool{}
		for _, s := range suspects {
			maps.Copy(pools, s.Pools)
		}
		others, ownsCell := n.otherDeciders(pools)
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

// exonerateRunning exonerates the suspects with which requests run well at present.
func (n *Node) exonerateRunning(suspects []poison.Suspect) {
	var traits []ident.Trait
	for _, s := range suspects {
		traits = append(traits, s.Trait)
	}
	for _, trait := range n.cells.RunningFor(traits, poison.SurvivalTime) {
		n.poison.detector.Exonerate(trait, time.Now())
	}
}

// askForCompletions asks other nodes for the latest completions of requests with the
// suspects, and reports whether any has replied.
func (n *Node) askForCompletions(ctx context.Context, others []member.Member, suspects []poison.Suspect) bool {
	replies := callAll[wire.CompletedTraits, wire.CompletedTraits](ctx, n, others, wire.KindCompletedTraits, wire.FromSuspects(suspects))
	for _, reply := range replies {
		for trait, age := range reply.Ages {
			n.poison.detector.Exonerate(ident.Trait(trait), time.Now().Add(-time.Duration(age)))
		}
	}
	return len(replies) > 0
}

func (n *Node) serveCompletedTraits(_ context.Context, s *link.Stream, m wire.CompletedTraits) {
	for _, trait := range n.cells.RunningFor(m.ToTraits(), poison.SurvivalTime) {
		n.poison.detector.Exonerate(trait, time.Now())
	}
	times := n.poison.detector.CompletedAt(m.ToTraits())
	s.Send(wire.KindCompletedTraits, wire.CompletedTraits{Ages: wire.FromTraitTimes(times, time.Now(), false)}) //nolint:errcheck // the asker decides without it.
}

// callAll makes a call to several nodes at once and returns the replies.
func callAll[Query, Reply any](ctx context.Context, n *Node, to []member.Member, kind link.Kind, query Query) []Reply {
	var replies []Reply
	callUntil(ctx, n, to, kind, query, func(reply Reply) bool {
		replies = append(replies, reply)
		return false
	})
	return replies
}

// callUntil makes a call to several nodes at once and passes the replies to received, one
// after the other, until it returns true or all nodes have replied or failed.
func callUntil[Query, Reply any](ctx context.Context, n *Node, to []member.Member, kind link.Kind, query Query, received func(Reply) bool) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	isDone := false
	for _, m := range to {
		calls.Go(func() {
			reply, err := link.Call[Query, Reply](ctx, n.Open, m.PeerAddress, kind, query)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case isDone:
			case err != nil:
				n.Log.Debug("call_failed", "peer", m.ID, "kind", kind, "error", err)
			case received(reply):
				isDone = true
				cancel()
			}
		})
	}
	calls.Wait()
}

// quarantine quarantines a trait on this node, tells its neighbors and writes the trait's
// row.
func (n *Node) quarantine(ctx context.Context, s poison.Suspect) {
	now := time.Now()
	until := now.Add(poison.QuarantineTime)
	isNew := n.poison.quarantined.Add(s.Trait, until, now)
	n.Log.Warn("trait_quarantined", "trait", traitKey(s.Trait), "crashed_endpoints", ident.Join(s.Endpoints),
		"first_crash", now.Sub(s.Since), "new", isNew)
	if isNew {
		n.applyQuarantine()
	}
	n.tasks.Go(func() { n.writeQuarantines(ctx, map[ident.Trait]time.Time{s.Trait: until}) }) //nolint:errcheck // gossip spreads it as well.
}

// learnQuarantines adds the quarantines that another node knows, and passes new ones on
// to the neighbors at once.
func (n *Node) learnQuarantines(g wire.Gossip) {
	hasNew, now := false, time.Now()
	for trait, remaining := range g.Quarantined {
		if n.poison.quarantined.Add(ident.Trait(trait), now.Add(time.Duration(remaining)), now) {
			hasNew = true
			n.poison.detector.SetBlamed(ident.Trait(trait))
			n.Log.Info("quarantine_learned", "trait", traitKey(ident.Trait(trait)), "from", g.PeerAddress)
		}
	}
	if hasNew {
		n.applyQuarantine()
	}
}

// applyQuarantine refuses the requests that wait in this node's cells and have a
// quarantined trait, and tells the neighbors of the quarantine.
func (n *Node) applyQuarantine() {
	n.cells.ShedQuarantined(func(traits []ident.Trait) (time.Time, bool) {
		_, until, ok := n.findQuarantined(traits)
		return until, ok
	})
	n.tasks.Go(n.broadcastState)
}

// findQuarantined returns the first of the traits that is quarantined, and until when.
func (n *Node) findQuarantined(traits []ident.Trait) (trait ident.Trait, until time.Time, ok bool) {
	return n.poison.quarantined.Find(traits, time.Now())
}

func traitKey(trait ident.Trait) string { return strconv.FormatUint(uint64(trait), 16) }

// quarantineRow is the value of a row of quarantineTable, whose key is the trait.
type quarantineRow struct {
	UntilUnixMilli int64 `json:"until_unix_ms"`
}

func (n *Node) addQuarantineRows(rows []store.Row) {
	now := time.Now()
	for _, r := range rows {
		var row quarantineRow
		trait, err := strconv.ParseUint(r.Key, 16, 64)
		if err != nil || json.Unmarshal(r.Value, &row) != nil {
			n.Log.Warn("quarantine_row_unreadable", "key", r.Key)
			continue
		}
		until := time.UnixMilli(row.UntilUnixMilli)
		if now.Sub(until) < poison.EvidenceTime {
			n.poison.mu.Lock()
			n.poison.blamedBefore = append(n.poison.blamedBefore, ident.Trait(trait))
			n.poison.mu.Unlock()
		}
		if n.poison.quarantined.Add(ident.Trait(trait), until, now) {
			n.Log.Info("quarantine_learned", "trait", r.Key, "from", "store")
		}
	}
	n.markBlamed(n.blamedBefore())
}

// writeQuarantines writes the rows of quarantined traits.
func (n *Node) writeQuarantines(ctx context.Context, traits map[ident.Trait]time.Time) error {
	var writes []store.Write
	for _, trait := range slices.Sorted(maps.Keys(traits)) {
		value, err := json.Marshal(quarantineRow{traits[trait].UnixMilli()})
		if err != nil {
			panic(err) // encoding an integer cannot fail.
		}
		writes = append(writes, store.Write{Table: quarantineTable, Key: traitKey(trait), Value: value})
	}
	if len(writes) == 0 {
		return nil
	}
	err := n.writeRows(ctx, append(writes, markOf(quarantineTable, time.Now())))
	if err != nil {
		n.Log.Warn("quarantine_not_written", "traits", len(writes), "error", err)
	}
	return err
}

// rewriteQuarantines writes the rows of all quarantined traits again. One node does so for
// the fleet.
func (n *Node) rewriteQuarantines(ctx context.Context) error {
	owner, ok := n.members.View().Owner(n.Process.Region, quarantineTable)
	if !ok || owner.ID != n.Process.Name {
		return nil
	}
	return n.writeQuarantines(ctx, n.poison.quarantined.All(time.Now()))
}
