package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/fanout"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

const (
	// releaseTable has a row for each pool, with the releases that may serve in it, and the
	// marks of other tables. It outlives a restart of all nodes.
	releaseTable = "releases"
	// releaseInterval is the time between checks whether a row has to be written, and
	// releaseRetryPause that while one has.
	releaseInterval   = 500 * time.Millisecond
	releaseRetryPause = 200 * time.Millisecond
	// followerDelay is the time for which the nodes that run cells of a pool leave the write
	// to the owner of its first cell, which tells them.
	followerDelay = 150 * time.Millisecond
	// startSpread is the time over which the nodes of a large fleet spread their writes while
	// the fleet starts: each of them owns most cells for a moment, and the store takes 150
	// transactions per second. It is below the settleTime of package cells, in which no
	// request is granted anyway.
	startSpread = 200 * time.Millisecond
	// tableReadWait is how long a node that starts waits for its read of the table, which
	// saves it a read of each row.
	tableReadWait = 300 * time.Millisecond
	// releaseCallTimeout bounds the calls to the store for rows of releaseTable.
	releaseCallTimeout = 2 * time.Second
	// maxReleaseWrites bounds the attempts of one write that other nodes' writes precede.
	maxReleaseWrites = 5
	// releaseQueryPause is the time between queries of the other nodes for what is listed.
	releaseQueryPause = time.Second
	// outdatedReadPause is the time between reads of a row that may be outdated.
	outdatedReadPause = time.Minute
	// maxCensusAge is the age of the list of endpoints up to which it shows that no endpoint
	// has a release any more. A node reads the list anew within watchTimeout.
	maxCensusAge = 2*watchTimeout + time.Second
)

var errStoreRestored = eris.New("the store was restored during the call")

// releaseState holds what the node needs to keep the rows of releaseTable.
type releaseState struct {
	listing origin.Listing
	// due is set when endpoints, cells or rows have changed.
	due tick.Signal
	// dueSince holds since when a row has to be written. queriedAt and readAt hold when the
	// other nodes were last asked and outdated rows were last read. Only keepReleases uses
	// them.
	dueSince          map[ident.PoolID]time.Time
	queriedAt, readAt time.Time
	// startDelay is how long this node leaves writes to others while it knows few members of
	// a large fleet.
	startDelay time.Duration
	// applied is the count of changes of listing that the cells follow.
	applied atomic.Int64
}

// admitsRelease reports whether endpoints of a pool with a release may get requests.
func (n *Node) admitsRelease(id ident.PoolID, release ident.Release) bool {
	return !n.tree.Load().HasStreams(id) || n.releases.listing.Admits(id, release, time.Now())
}

// releasesIn returns the releases of the endpoints of all pools with streams, each once.
func (n *Node) releasesIn(v *roster.View) map[ident.PoolID][]ident.Release {
	releases := map[ident.PoolID][]ident.Release{}
	tree := n.tree.Load()
	for _, c := range v.All() {
		if !tree.HasStreams(c.ID.Pool) {
			continue
		}
		for _, spec := range c.Endpoints {
			if !slices.Contains(releases[c.ID.Pool], spec.Release) {
				releases[c.ID.Pool] = append(releases[c.ID.Pool], spec.Release)
			}
		}
	}
	return releases
}

// observeReleases records the releases of the endpoints in a view.
func (n *Node) observeReleases(v *roster.View) {
	now := time.Now()
	n.releases.listing.AssumeUnlisted(n.mayUseUnlisted(now))
	n.releases.listing.Observe(n.releasesIn(v), n.endpointsAge(now) <= maxCensusAge, now)
	n.updateMixed()
}

// applyReleases applies what has changed in what is known to be listed.
func (n *Node) applyReleases() {
	n.updateMixed()
	if changes := n.releases.listing.Changes(); n.releases.applied.Swap(changes) != changes {
		n.cells.Reconcile()
	}
}

// releaseScan is the first read of releaseTable, by a call that started at a time. It has failed
// if started is zero.
type releaseScan struct {
	rows    []store.Row
	started time.Time
}

// scanReleases reads releaseTable once, and records the marks in it. It makes one attempt, so
// that the marked tables are read soon if this one cannot be.
func (n *Node) scanReleases(ctx context.Context) releaseScan {
	started := time.Now()
	rows, _, err := n.Store.Scan(ctx, releaseTable)
	if err != nil {
		n.Log.Warn("table_not_read", "table", releaseTable, "error", err)
		return releaseScan{}
	}
	n.formerPools.learnTable(len(rows) == 0 && n.Store.Era() == 0)
	n.learnMarks(rows, started)
	return releaseScan{rows, started}
}

// isCurrent reports whether what the first read returned can be applied, after the tables of
// settings, endpoints and nodes have been read. A store that was restored at some time is read
// again: the listing takes what was read before it learned of the era for rows of an earlier one.
func (n *Node) isCurrent(first releaseScan) bool {
	return n.Store.Era() == 0 && time.Since(first.started) <= markReadTTL
}

// readReleases applies the rows of releaseTable as a call that started at a time has read them
// at the start of the node, and begins to read the origins of the streams of pools with several releases.
func (n *Node) readReleases(rows []store.Row, started time.Time) {
	n.releases.listing.EnterEra(int64(n.Store.Era()), time.Now())
	for _, r := range n.learnMarks(rows, started) {
		n.learnReleaseRow(r, started)
		if pool := ident.PoolID(r.Key); n.releases.listing.IsMixed(pool) {
			n.readOrigins(pool, time.Now())
		}
	}
	n.releases.listing.LearnTable()
	n.applyReleases()
}

// keepReleases has the releases of the endpoints of this node's cells listed until ctx is
// done. It begins when the table was read, or after a time if that takes long: other nodes may
// know what is listed.
func (n *Node) keepReleases(ctx context.Context, tableRead <-chan struct{}) {
	select {
	case <-tableRead:
	case <-time.After(tableReadWait):
	case <-ctx.Done():
	}
	n.releases.startDelay = rand.N(startSpread)
	for wait := time.Duration(0); ; {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-n.releases.due.C():
		case <-timer.C:
		}
		timer.Stop()
		n.observeReleases(n.cells.Roster())
		n.applyReleases()
		wait = releaseInterval
		if n.listDueReleases(ctx) {
			wait = releaseRetryPause
		}
	}
}

// listDueReleases writes the rows that have to be, and reports whether some still have.
func (n *Node) listDueReleases(ctx context.Context) bool {
	now, listing := time.Now(), &n.releases.listing
	present, due, since := n.releasesIn(n.cells.Roster()), map[ident.PoolID]bool{}, map[ident.PoolID]time.Time{}
	var withheld []ident.PoolID
	for pool := range n.cells.PoolsRun() {
		if !n.tree.Load().HasStreams(pool) {
			continue
		}
		isKeeper := n.ownsFirstCell(pool)
		_, isDue := listing.Plan(pool, isKeeper, now)
		isWithheld := !listing.AdmitsAll(pool, present[pool], now)
		if isWithheld {
			withheld = append(withheld, pool)
		}
		isOutdated := listing.IsOutdated(pool, now) && now.Sub(n.releases.readAt) > outdatedReadPause
		if !isDue && (isWithheld || isOutdated) {
			// The row that this node knows has to be confirmed.
			listing.ForgetVersion(pool)
			n.releases.readAt = now
			isDue = true
		}
		if !isDue {
			continue
		}
		since[pool] = now
		if at, ok := n.releases.dueSince[pool]; ok {
			since[pool] = at
		}
		if now.Sub(since[pool]) >= n.releaseDelay(isKeeper) {
			due[pool] = isKeeper
		}
	}
	n.releases.dueSince = since
	if len(withheld) > 0 && now.Sub(n.releases.queriedAt) >= releaseQueryPause {
		n.releases.queriedAt = now
		others := n.withoutSelf(n.members.View().Members)
		n.tasks.Go(func() { n.queryReleases(ctx, others[:min(len(others), maxOriginQueries)], withheld) })
	}
	if len(due) > 0 {
		if err := n.listReleases(ctx, due); err != nil {
			n.Log.Warn("releases_not_written", "pools", len(due), "withheld", len(withheld), "error", err)
			return true
		}
	}
	return len(since) > len(due)
}

// releaseDelay returns how long this node leaves a write to others.
func (n *Node) releaseDelay(isKeeper bool) time.Duration {
	switch {
	case !isKeeper:
		return followerDelay
	case len(n.members.View().Members) < fanout.MinFleet && n.knownNodes() >= fanout.MinFleet:
		return n.releases.startDelay
	}
	return 0
}

// listReleases writes the rows of pools, which holds whether this node keeps each row.
func (n *Node) listReleases(ctx context.Context, pools map[ident.PoolID]bool) error {
	ctx, cancel := context.WithTimeout(ctx, releaseCallTimeout)
	defer cancel()
	listing := &n.releases.listing
	n.keepComplete(ctx, pools)
	for range maxReleaseWrites {
		rows := map[ident.PoolID]origin.Row{}
		var checks []store.Check
		var writes []store.Write
		era := n.Store.Era()
		for pool, isKeeper := range pools {
			listing.EnterEra(int64(era), time.Now())
			version, err := n.releaseVersion(ctx, pool)
			if err != nil {
				return err
			}
			row, isChanged := listing.Plan(pool, isKeeper, time.Now())
			if !isChanged {
				continue
			}
			rows[pool] = row
			checks = append(checks, store.Check{Table: releaseTable, Key: string(pool), Version: version})
			writes = append(writes, store.Write{Table: releaseTable, Key: string(pool), Value: encodeReleaseRow(row)})
		}
		if len(rows) == 0 {
			n.applyReleases()
			return nil
		}
		routesChecks, routesWrites := n.firstRoutesRow(int64(era))
		checks, writes = append(checks, routesChecks...), append(writes, routesWrites...)
		started := time.Now()
		result, err := n.Store.Service.Transact(ctx, checks, writes)
		if err == nil && n.Store.Era() != era {
			err = errStoreRestored
		}
		switch {
		case err != nil:
			for pool := range rows {
				listing.ForgetVersion(pool)
			}
			return err
		case result.Applied:
			if len(routesWrites) > 0 {
				n.formerPools.setCreated()
			}
			n.confirmReleases(rows, started)
			return nil
		}
		for _, r := range result.Conflicts {
			if r.Key == routesKey {
				n.formerPools.setCreated()
				n.learnRoutesRow(r)
				continue
			}
			n.learnReleaseRow(r, started)
		}
	}
	return eris.New("other nodes' writes came first each time")
}

// keepComplete learns, after the store was restored, what all nodes had listed before. Then
// the record of each pool is as complete as it was. It does nothing unless all members have
// run for long and reply, since others may have listed what the store has lost.
func (n *Node) keepComplete(ctx context.Context, pools map[ident.PoolID]bool) {
	era := n.Store.Era()
	n.releases.listing.EnterEra(int64(era), time.Now())
	var keepable []ident.PoolID
	for pool := range pools {
		if n.releases.listing.IsKeepable(pool) {
			keepable = append(keepable, pool)
		}
	}
	members, stableSince := n.members.View().Members, uint64(time.Now().Add(-recentFailureWindow).UnixMilli())
	isStable := !slices.ContainsFunc(members, func(m member.Member) bool { return m.Incarnation > stableSince })
	if len(keepable) == 0 || !isStable || n.members.RecentlyFailed(recentFailureWindow) > 0 {
		return
	}
	others := n.withoutSelf(members)
	if n.queryReleases(ctx, others, keepable) < len(others) {
		return
	}
	for _, pool := range keepable {
		n.releases.listing.Keep(pool, int64(era))
	}
}

// confirmReleases applies rows that the store has taken by a call which started at a time, and
// tells the other nodes.
func (n *Node) confirmReleases(rows map[ident.PoolID]origin.Row, started time.Time) {
	now := time.Now()
	news := wire.Releases{AtUnixMilli: started.UnixMilli()}
	for pool, row := range rows {
		old, _ := n.releases.listing.Peer(pool, now)
		n.releases.listing.Confirm(pool, row, started, now)
		n.Log.Info("releases_written", "pool", pool, "releases", ident.Join(row.Releases), "gone", ident.Join(row.Gone),
			"serial", row.Serial, "era", row.Era)
		news.Pools = append(news.Pools, wire.FromPoolReleases(pool, row, row.Usable()))
		if len(old.Releases) > 1 && len(row.Releases) <= 1 && !n.tree.Load().SharesStreams(pool) {
			n.tasks.Go(func() { n.removeOrigins(n.ctx, pool) })
		}
	}
	n.applyReleases()
	n.tasks.Go(func() {
		callAll[wire.Releases, wire.Empty](n.ctx, n, n.withoutSelf(n.members.View().Members), wire.KindReleases, news)
	})
}

// queryReleases asks other nodes for what is listed, and returns how many replied.
func (n *Node) queryReleases(ctx context.Context, others []member.Member, pools []ident.PoolID) (replies int) {
	var query wire.ReleaseQuery
	for _, pool := range pools {
		query.Pools = append(query.Pools, string(pool))
	}
	started := time.Now()
	callUntil(ctx, n, others, wire.KindReleaseQuery, query, func(r wire.Releases) bool {
		n.learnReleases(r, started)
		replies++
		return false
	})
	return replies
}

func (n *Node) learnReleases(m wire.Releases, at time.Time) {
	for _, p := range m.Pools {
		pool, row, admitted := p.ToPoolReleases()
		n.releases.listing.LearnPeer(pool, row, admitted, at, time.Now())
	}
	if len(m.Pools) > 0 {
		n.applyReleases()
	}
}

func (n *Node) serveReleases(_ context.Context, s *link.Stream, m wire.Releases) {
	at := time.Now()
	if sent := time.UnixMilli(m.AtUnixMilli); m.AtUnixMilli > 0 && sent.Before(at) {
		// The message may have waited while this process was frozen. The sender's clock may be
		// wrong by clockSkew of package origin, which is far below dropDelay.
		at = sent
	}
	n.learnReleases(m, at)
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // a node that was not told reads the row.
}

func (n *Node) serveReleaseQuery(_ context.Context, s *link.Stream, m wire.ReleaseQuery) {
	var reply wire.Releases
	for _, name := range m.Pools {
		row, admitted := n.releases.listing.Peer(ident.PoolID(name), time.Now())
		reply.Pools = append(reply.Pools, wire.FromPoolReleases(ident.PoolID(name), row, admitted))
	}
	s.Send(wire.KindReleaseQuery, reply) //nolint:errcheck // the asker reads the store.
}

func (n *Node) ownsFirstCell(pool ident.PoolID) bool {
	cells := n.cells.Roster().Cells(pool)
	if len(cells) == 0 {
		return false
	}
	owner, ok := n.cells.Owner(cells[0].ID)
	return ok && owner.ID == n.Process.Name
}
