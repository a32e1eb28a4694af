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
	// quarantineTable has a row for each quarantined trait. It outlives a
	// restart of all nodes; among running ones, quarantines spread by gossip.
	quarantineTable = "quarantine"
)

// poisonState holds what the node knows of traits of requests that crash endpoints.
//
// The node of a cell sees the crashes and the completions of its requests. The nodes of
// several cells report crashes to each other, and ask each other for completions before
// they blame a trait.
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
	if len(e.Traits) == 0 {
		return
	}
	endpoint := poison.Endpoint{Pool: e.Pool, ID: e.Endpoint.ID, StartedUnixMilli: e.Endpoint.StartedUnixMilli}
	switch {
	case e.Completion.NoAnswer:
		c := poison.Crash{Endpoint: endpoint, SentAt: e.GrantedAt, At: time.Now(), Traits: e.Traits}
		n.poison.detector.Crashed(c)
		n.poison.mu.Lock()
		n.poison.unreported = append(n.poison.unreported, c)
		n.poison.mu.Unlock()
		n.poison.hasCrashes.Set()
	case e.Completion.IsWhole:
		n.poison.detector.Completed(endpoint, e.Traits, time.Now())
	case e.IsAnswered:
		n.poison.detector.Answered(e.Pool, e.Traits, e.RanFor, time.Now())
	}
}

// watchCrashes reports crashes to the other nodes of cells and quarantines the traits that
// are to blame, until ctx is done.
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
		if n.poison.quarantined.Add(ident.Trait(trait), time.UnixMilli(row.UntilUnixMilli), now) {
			n.Log.Info("quarantine_learned", "trait", r.Key, "from", "store")
		}
	}
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
	err := n.writeRows(ctx, writes)
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
