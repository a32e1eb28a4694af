package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/fanout"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/watch"
)

const (
	// changesHeartbeat is the time between two messages of a reader to a follower
	// while nothing changes, and changesTimeout is how long a follower waits for one.
	changesHeartbeat = 400 * time.Millisecond
	changesTimeout   = 900 * time.Millisecond
	// maxReadAge is the age of a reader's last read of the store from which on its
	// followers turn to another one. In normal operation the age stays below
	// readerWait, a pause and the time of a call.
	maxReadAge = 1600 * time.Millisecond
	// readerWait replaces watchTimeout in a fleet with readers, so that the followers
	// of a reader that the store does not answer find that out soon.
	readerWait = 700 * time.Millisecond
	// startPause is the pause between two calls for a table in a large fleet whose
	// readers are not known yet. With readerWait it is below maxReadAge, since the node
	// may turn out to be a reader.
	startPause = 800 * time.Millisecond
	// sourceCheckInterval is the time between checks whether a node that reads the
	// store itself should follow a reader.
	sourceCheckInterval = 500 * time.Millisecond
	// directRetryDelay bounds the backoff of a node that reads the store itself
	// although the fleet has readers. They have failed as well, so probably the
	// store is down for all.
	directRetryDelay = 3 * time.Second
	// watchedTables is the number of the store's tables that a node follows.
	watchedTables = 3
)

var errStaleReader = eris.New("the reader has not read the store for some time")

// changes holds what a node needs to follow a reader of the store.
type changes struct {
	tables atomic.Pointer[[watchedTables]*watch.Table]
	// readers caches the readers of a view.
	readers atomic.Pointer[viewReaders]
	// cursors holds the place in the reader's tables, by table.
	cursors map[string]watch.Cursor
	source  fanout.Source
	// isFollowing is set while this node follows a reader and does not read the
	// store itself.
	isFollowing atomic.Bool
}

// viewReaders holds the readers of one view.
type viewReaders struct {
	view    *member.View
	readers []member.Member
}

// readers returns the nodes that read the store for the others, nil if every node
// reads it.
func (n *Node) readers() []member.Member {
	v := n.members.View()
	if known := n.changes.readers.Load(); known != nil && known.view == v {
		return known.readers
	}
	readers := fanout.Readers(v, n.Process.Region)
	n.changes.readers.Store(&viewReaders{v, readers})
	return readers
}

// followedTables returns the tables, none before they are created.
func (n *Node) followedTables() []*watch.Table {
	if tables := n.changes.tables.Load(); tables != nil {
		return tables[:]
	}
	return nil
}

// tableWait returns how long a call may wait at the store for changes of the
// settings or the endpoints.
func (n *Node) tableWait() time.Duration {
	if n.knownNodes() >= fanout.MinFleet || len(n.readers()) > 0 {
		return readerWait
	}
	return watchTimeout
}

// tablePause returns the pause between two calls for a table. While a large fleet
// starts, its rows change all the time, and a node that has read them once learns the
// rest from a reader.
func (n *Node) tablePause() time.Duration {
	if len(n.readers()) == 0 && n.knownNodes() >= fanout.MinFleet {
		return startPause
	}
	return watchPause
}

// knownNodes returns the number of nodes in the store's table.
func (n *Node) knownNodes() int {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return len(n.tables.nodes)
}

// tableRetryDelay bounds the backoff after failed calls; 0 is the default.
func (n *Node) tableRetryDelay() time.Duration {
	readers := n.readers()
	isReader := slices.ContainsFunc(readers, func(r member.Member) bool { return r.ID == n.Process.Name })
	if len(readers) == 0 || isReader {
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
			n.Log.Info("reader_left", "reader", reader.ID, "error", err)
		}
	}
}

// readStore makes this node read the store's tables itself.
func (n *Node) readStore() {
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	openCtx, cancelOpen := context.WithTimeout(ctx, changesTimeout)
	stream, err := n.Open(openCtx, reader.PeerAddress)
	cancelOpen()
	if err != nil {
		return err
	}
	defer stream.Close()                              //nolint:errcheck // nothing more is read.
	context.AfterFunc(ctx, func() { stream.Close() }) //nolint:errcheck // unblocks Receive.
	query := wire.Follow{Cursors: map[string]wire.Cursor{}}
	for table, c := range n.changes.cursors {
		query.Cursors[table] = wire.FromCursor(c)
	}
	if err := stream.Send(wire.KindFollow, query); err != nil {
		return err
	}
	for {
		if err := stream.SetReadDeadline(time.Now().Add(changesTimeout)); err != nil {
			return eris.Wrap(err, "follow a reader")
		}
		_, body, err := stream.Receive()
		if err != nil {
			return eris.Wrap(err, "follow a reader")
		}
		message, err := link.Decode[wire.Changes](body)
		if err != nil {
			return err
		}
		if err := n.applyChanges(message); err != nil {
			return err
		}
		if message.Table == "" && n.changes.isFollowing.CompareAndSwap(false, true) {
			n.Log.Info("following_reader", "reader", reader.ID, "reader_zone", reader.Zone)
			for _, t := range n.followedTables() {
				t.Pause()
			}
		}
		if next, ok := n.changes.source.Next(n.members.Self(), n.readers(), time.Now()); !ok || next.ID != reader.ID {
			return nil
		}
	}
}

// applyChanges applies a reader's message. It fails if the reader's rows are too old
// or older than this node's.
func (n *Node) applyChanges(message wire.Changes) error {
	readAge := time.Duration(message.ReadAge)
	if readAge > maxReadAge || readAge < 0 {
		return errStaleReader
	}
	for _, t := range n.followedTables() {
		if t.Name != message.Table {
			if message.Table == "" {
				t.ObserveRead(readAge)
			}
			continue
		}
		u := message.ToTableUpdate()
		if !t.Follow(u, readAge) {
			return errStaleReader
		}
		n.changes.cursors[t.Name] = u.Next
	}
	return nil
}

// serveFollow sends the changes of the store's tables to a follower. A node that
// does not read the store itself ends the stream at once.
func (n *Node) serveFollow(ctx context.Context, s *link.Stream, m wire.Follow) {
	cursors := map[string]watch.Cursor{}
	for table, c := range m.Cursors {
		cursors[table] = c.ToCursor()
	}
	heartbeat := time.NewTicker(changesHeartbeat)
	defer heartbeat.Stop()
	for len(n.followedTables()) > 0 && !n.changes.isFollowing.Load() {
		changed, err := n.sendChanges(s, cursors)
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

// sendChanges sends the changes after the cursors, which it advances, and a
// heartbeat. It returns a channel for each table that is closed at its next change.
func (n *Node) sendChanges(s *link.Stream, cursors map[string]watch.Cursor) (changed [watchedTables]<-chan struct{}, err error) {
	var readAge time.Duration
	for i, t := range n.followedTables() {
		if i < watchedTables-1 {
			// The last table is read rarely and its age does not matter.
			readAge = max(readAge, time.Since(t.LastRead()))
		}
		u, next, ok := t.Updates(cursors[t.Name])
		if !ok {
			return changed, errStaleReader
		}
		changed[i] = next
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
		cursors[t.Name] = u.Next
	}
	return changed, s.Send(wire.KindChanges, wire.Changes{ReadAge: int64(readAge)})
}

// IsReadingStore reports whether this node reads the store's tables itself, rather
// than following a reader.
func (n *Node) IsReadingStore() bool { return !n.changes.isFollowing.Load() }
