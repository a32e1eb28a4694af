package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/fanout"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/watch"
)

const (
	// changesHeartbeat is the time between two messages of a reader to a follower
	// while nothing changes, and changesTimeout is how long a follower waits for one.
	changesHeartbeat = 400 * time.Millisecond
	changesTimeout   = 900 * time.Millisecond
	// nextReaderWait is how long a starting node that has followed a reader waits for the first
	// message of the next one before it reads the store meanwhile. Many nodes in the table of
	// nodes may be gone, and dialing one takes changesTimeout, too long for changes that have
	// to be known within 2 s. A reader that runs answers sooner.
	nextReaderWait = 100 * time.Millisecond
	// maxReadAge is the age of a reader's last read of the store from which on its
	// followers turn to another one. In normal operation the age stays below
	// readerWait, a pause and the time of a call.
	maxReadAge = 1600 * time.Millisecond
	// readerWait replaces watchTimeout in a fleet with readers, so that the followers
	// of a reader that the store does not answer find that out soon.
	readerWait = 700 * time.Millisecond
	// readerPause replaces watchPause in a reader of a large fleet. The endpoints write
	// their rows all the time, so that each of its calls returns at once.
	readerPause = 250 * time.Millisecond
	// startPause is the pause between two calls for a table in a large fleet of a node that
	// has no followers. It also bounds how much later than in the store such a node sees
	// that an endpoint leaves, which has to be below 2 s. With readerWait and the time of a
	// call it may pass maxReadAge, so that a node that others follow pauses readerPause.
	startPause = 800 * time.Millisecond
	// fleetSizeTime is the time after the start of a node in which the nodes of a fleet that
	// starts with it for the first time write their rows, so that it learns how large the fleet
	// is. Until then it pauses unknownSizePause between two calls, and unknownSizeNodesPause
	// for the table of nodes, which tells it.
	fleetSizeTime         = 2 * time.Second
	unknownSizePause      = 500 * time.Millisecond
	unknownSizeNodesPause = 300 * time.Millisecond
	// nodesReadPause is the pause between two calls for the table of nodes, of a node of a
	// large fleet that knows some members: gossip brings the others.
	nodesReadPause = 5 * time.Second
	// sourceCheckInterval is the time between checks whether a node that reads the
	// store itself should follow a reader.
	sourceCheckInterval = 500 * time.Millisecond
	// directRetryDelay bounds the backoff of a node that reads the store itself
	// although the fleet has readers. They have failed as well, so probably the
	// store is down for all.
	directRetryDelay = 3 * time.Second
	// maxStartingFollowers bounds the starting nodes that follow one node at the same time.
	// Each stream keeps an encoded copy of the tables, and nodes have 112 MB and more.
	maxStartingFollowers = 16
	// watchedTables is the number of the store's tables that a node follows.
	watchedTables = 3
)

var errStaleReader = eris.New("the reader has not read the store for some time")

// changes holds what a node needs to follow a reader of the store.
type changes struct {
	tables atomic.Pointer[[watchedTables]*watch.Table]
	// readers caches the readers of a view.
	readers atomic.Pointer[viewReaders]
	// startedAt is when the node began to start, and listedReaders caches the readers of the
	// table of nodes until startViewTime later.
	startedAt     time.Time
	listedReaders atomic.Pointer[listedReaders]
	// cursors holds the place in the reader's tables, by table.
	cursors map[string]watch.Cursor
	source  fanout.Source
	// sourceMu serializes changes of isFollowing with the pauses of the tables.
	sourceMu sync.Mutex
	// isFollowing is set while this node follows a reader and does not read the
	// store itself.
	isFollowing atomic.Bool
	// isFirst is set while this node starts as the first of its zone, which found no start
	// nodes in a large fleet. starting counts the starting nodes that follow this node.
	isFirst  atomic.Bool
	starting atomic.Int64
}

// followedTables returns the tables, none before they are created.
func (n *Node) followedTables() []*watch.Table {
	if tables := n.changes.tables.Load(); tables != nil {
		return tables[:]
	}
	return nil
}

// isOfUnknownSize reports whether the fleet may turn out to be large: this node starts, and the
// table of nodes had no row of it, so that the others may not have written theirs either.
func (n *Node) isOfUnknownSize() bool {
	n.tables.mu.Lock()
	hadOwnRow := n.tables.hadOwnRow
	n.tables.mu.Unlock()
	return !hadOwnRow && time.Since(n.changes.startedAt) < fleetSizeTime && !n.isInLargeFleet()
}

// tableWait returns how long a call may wait at the store for changes of the
// settings or the endpoints.
func (n *Node) tableWait() time.Duration {
	if n.isInLargeFleet() || n.isOfUnknownSize() {
		return readerWait
	}
	return watchTimeout
}

// tablePause returns the pause between two calls for the settings or the endpoints. In a
// large fleet a node that is not a reader reads the store only while it starts or while it
// finds no reader to follow. While it starts others may follow it, and it pauses like a reader. The rows of its endpoints change all the time, so that each call
// returns at once, and the many such nodes of a start would make most of the fleet's calls.
func (n *Node) tablePause() time.Duration {
	switch {
	case n.isOfUnknownSize():
		return unknownSizePause
	case !n.isInLargeFleet():
		return watchPause
	case n.isReader(), n.changes.isFirst.Load(), n.changes.starting.Load() > 0:
		return readerPause
	}
	return startPause
}

// nodesPause returns the pause between two calls for the table of nodes.
func (n *Node) nodesPause() time.Duration {
	switch {
	case n.isOfUnknownSize():
		return unknownSizeNodesPause
	case n.isInLargeFleet() && len(n.members.View().Members) >= fewMembers:
		return nodesReadPause
	}
	return n.tablePause()
}

// tableRetryDelay bounds the backoff after failed calls; 0 is the default.
func (n *Node) tableRetryDelay() time.Duration {
	if len(n.readers()) == 0 || n.isReader() || n.isStarting() {
		return 0
	}
	return directRetryDelay
}

// followChanges follows a reader of the store, or lets this node read the store
// itself where fanout.Source says so, until ctx is done.
func (n *Node) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		reader, ok := n.changes.source.Next(n.members.Self(), n.readers(), time.Now())
		if !ok {
			n.readStore()
			tick.Sleep(ctx, sourceCheckInterval)
			continue
		}
		err := n.followReader(ctx, reader)
		if ctx.Err() == nil && err != nil {
			n.changes.source.Failed(reader.ID, time.Now())
			n.recordAbsent(reader.ID)
			n.Log.Info("reader_left", "reader", reader.ID, "error", err)
		}
	}
}

// readStore makes this node read the store's tables itself.
func (n *Node) readStore() {
	n.changes.sourceMu.Lock()
	defer n.changes.sourceMu.Unlock()
	if !n.changes.isFollowing.CompareAndSwap(true, false) {
		return
	}
	n.Log.Info("reading_store", "read_age", time.Since(n.tables.endpointsReadAt()))
	for _, t := range n.followedTables() {
		t.Resume()
	}
}

// followReader applies the changes that a reader sends, until the reader fails or
// ceases to be the one to follow; then it returns nil.
func (n *Node) followReader(ctx context.Context, reader member.Member) error {
	overdue := time.AfterFunc(nextReaderWait, func() {
		if n.isStarting() {
			n.readStore()
		}
	})
	defer overdue.Stop()
	openCtx, cancel := context.WithTimeout(ctx, changesTimeout)
	stream, err := n.Open(openCtx, reader.PeerAddress)
	cancel()
	if err != nil {
		return err
	}
	// A node that starts has the tables sent only from its own first reads on, which are under way.
	n.awaitTables(ctx)
	query := wire.Follow{Cursors: map[string]wire.Cursor{}, Settled: n.settledPositions()}
	for table, c := range n.changes.cursors {
		query.Cursors[table] = wire.FromCursor(c)
	}
	if err := stream.Send(wire.KindFollow, query); err != nil {
		stream.Close() //nolint:errcheck // nothing more is read.
		return err
	}
	return n.followStream(ctx, stream, reader, func() bool {
		overdue.Stop()
		next, ok := n.changes.source.Next(n.members.Self(), n.readers(), time.Now())
		return ok && next.ID == reader.ID
	})
}

// settledPositions returns the positions up to which this node's copies of the tables have
// everything.
func (n *Node) settledPositions() map[string]wire.Position {
	positions := map[string]wire.Position{}
	for _, t := range n.followedTables() {
		if at := t.Settled(); at.Version > 0 && at.Era == t.Position().Era {
			positions[t.Name] = wire.FromPosition(at)
		}
	}
	return positions
}

// followStream applies the changes that another node sends, until that node fails or keep
// returns false; then it returns nil. It closes the stream.
func (n *Node) followStream(ctx context.Context, stream *link.Stream, reader member.Member, keep func() bool) error {
	defer stream.Close()                                      //nolint:errcheck // nothing more is read.
	defer context.AfterFunc(ctx, func() { stream.Close() })() //nolint:errcheck // unblocks Receive.
	for {
		if err := stream.SetReadDeadline(time.Now().Add(changesTimeout)); err != nil {
			return eris.Wrap(err, "follow a reader")
		}
		message, err := receiveChanges(stream)
		if err != nil {
			return err
		}
		if err := n.applyChanges(message); err != nil {
			return err
		}
		if message.Table == "" {
			n.beginFollowing(reader)
		}
		if !keep() {
			return nil
		}
	}
}

// receiveChanges receives a message of a node that this one follows.
func receiveChanges(stream *link.Stream) (wire.Changes, error) {
	_, body, err := stream.Receive()
	if err != nil {
		return wire.Changes{}, eris.Wrap(err, "follow a reader")
	}
	return link.Decode[wire.Changes](body)
}

// beginFollowing pauses this node's own reads of the store, as it has all tables from another
// node.
func (n *Node) beginFollowing(reader member.Member) {
	n.changes.sourceMu.Lock()
	defer n.changes.sourceMu.Unlock()
	if !n.changes.isFollowing.CompareAndSwap(false, true) {
		return
	}
	n.Log.Info("following_reader", "reader", reader.ID, "reader_zone", reader.Zone)
	n.changes.isFirst.Store(false)
	for _, t := range n.followedTables() {
		t.Pause()
	}
}

// applyChanges applies a reader's message. It fails if the reader's rows are too old,
// older than this node's, or of an earlier era than the store has reported to this node: the
// gate of releases takes rows for those of the latest era.
func (n *Node) applyChanges(message wire.Changes) error {
	readAge := time.Duration(message.ReadAge)
	if readAge > maxReadAge || readAge < 0 {
		return errStaleReader
	}
	for _, t := range n.followedTables() {
		if t.Name != message.Table {
			if message.Table == "" {
				t.ObserveRead(readAge)
				if at, ok := message.Settled[t.Name]; ok {
					t.ObserveSettled(at.ToPosition())
				}
			}
			continue
		}
		u := message.ToTableUpdate()
		if u.Position.Era < n.storeEra() {
			return errStaleReader
		}
		if !t.Follow(u, readAge) {
			return errStaleReader
		}
		n.changes.cursors[t.Name] = u.Next
	}
	return nil
}

// serveFollow sends the changes of the store's tables to a follower. A node that
// does not read the store itself ends the stream at once, unless the follower starts: then
// any node that has the tables and few enough such followers will do. A node that is itself
// starting serves followers even while it follows another node: a follower that knows fewer nodes
// takes it for the reader, and would read the store for some time. Such nodes follow only those
// preferred to them, except after failures, when the age of the rows ends a circle.
func (n *Node) serveFollow(ctx context.Context, s *link.Stream, m wire.Follow) {
	cursors := map[string]watch.Cursor{}
	for table, c := range m.Cursors {
		cursors[table] = c.ToCursor()
	}
	settled := map[string]store.Position{}
	for table, p := range m.Settled {
		settled[table] = p.ToPosition()
	}
	if m.IsStarting {
		defer n.changes.starting.Add(-1)
		if n.changes.starting.Add(1) > maxStartingFollowers {
			return
		}
	}
	// A follower that starts at the same time would take a node that has no rows yet for one
	// that fails, and not ask it again for some time.
	n.awaitTables(ctx)
	heartbeat := time.NewTicker(changesHeartbeat)
	defer heartbeat.Stop()
	for len(n.followedTables()) > 0 && (m.IsStarting || !n.changes.isFollowing.Load() || n.isStarting()) {
		changed, err := n.sendChanges(s, cursors, settled)
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-changed[0]:
		case <-changed[1]:
		case <-changed[2]:
		}
	}
}

// sendChanges sends the changes after the cursors or, where those are unknown, after the settled
// positions of the follower, and a heartbeat. It advances both. It returns a channel for each table that is closed at its next change.
func (n *Node) sendChanges(s *link.Stream, cursors map[string]watch.Cursor, settled map[string]store.Position) (changed [watchedTables]<-chan struct{}, err error) {
	heartbeat := wire.Changes{Settled: map[string]wire.Position{}}
	var readAge time.Duration
	for i, t := range n.followedTables() {
		if i < watchedTables-1 {
			// The last table is read rarely and its age does not matter.
			readAge = max(readAge, time.Since(t.LastRead()))
		}
		u, next, ok := t.Updates(cursors[t.Name], settled[t.Name])
		if !ok {
			return changed, errStaleReader
		}
		changed[i] = next
		cursors[t.Name], settled[t.Name] = u.Next, u.Settled
		heartbeat.Settled[t.Name] = wire.FromPosition(u.Settled)
		if !u.IsSnapshot && len(u.Rows) == 0 {
			continue
		}
		message := wire.FromTableUpdate(t.Name, u)
		message.ReadAge = int64(time.Since(t.LastRead()))
		if t.Name == nodeTable {
			message.ReadAge = 0
		}
		if err := s.Send(wire.KindChanges, message); err != nil {
			return changed, err
		}
	}
	heartbeat.ReadAge = int64(readAge)
	return changed, s.Send(wire.KindChanges, heartbeat)
}

// IsReadingStore reports whether this node reads the store's tables itself, rather
// than following a reader.
func (n *Node) IsReadingStore() bool { return !n.changes.isFollowing.Load() }
