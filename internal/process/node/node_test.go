package node

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/watch"
	"goldcrestwick/internal/version/config"
)

// TestChangesOfEarlierEra guards against rows that are taken from a node which has not noticed
// that the store was restored: this node would take their versions for those of the new era.
func TestChangesOfEarlierEra(t *testing.T) {
	n := &Node{Store: &store.Client{Service: store.Service{Era: func() store.Era { return 2 }}}}
	applied := 0
	table := &watch.Table{Name: "endpoints", Changed: func([]store.Row) { applied++ }, Log: log.New(io.Discard)}
	n.changes.tables.Store(&[watchedTables]*watch.Table{{Name: "settings"}, table, {Name: "nodes"}})
	n.changes.cursors = map[string]watch.Cursor{}
	update := wire.Changes{Table: "endpoints", IsSnapshot: true, Era: 1, Version: 9, Rows: []wire.Row{{Key: "e1", Version: 9}}}
	qt.Check(t, n.applyChanges(update), qt.Equals, errStaleReader)
	qt.Check(t, table.HasRows(), qt.IsFalse)
	qt.Check(t, applied, qt.Equals, 0)
	update.Era = 2
	qt.Check(t, n.applyChanges(update), qt.IsNil)
	qt.Check(t, applied, qt.Equals, 1)
}

// TestRowsReadBeforeTheirTime guards against a node that hands its tables to a starting one
// between a scan and the record of its time, with which the rows would seem too old.
func TestRowsReadBeforeTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &watch.Table{
			Name: "endpoints", Log: log.New(io.Discard), Changed: func([]store.Row) {},
		}
		service := store.Service{Scan: func(context.Context, string) ([]store.Row, store.Position, error) {
			return nil, store.Position{Version: 1}, nil
		}}
		table.Store = &store.Client{Service: service}
		// Interval is called after the scan and before its time is recorded.
		var hadRows bool
		table.Interval = func() time.Duration {
			hadRows = table.HasRows()
			return time.Hour
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go table.Run(ctx)
		synctest.Wait()
		qt.Check(t, hadRows, qt.IsFalse)
		qt.Check(t, table.HasRows(), qt.IsTrue)
	})
}

// TestStartingFollowers guards against more starting followers than a node has memory for: each
// stream keeps an encoded copy of the tables.
func TestStartingFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{Store: &store.Client{}}
		var tables [watchedTables]*watch.Table
		for i := range tables {
			tables[i] = &watch.Table{Changed: func([]store.Row) {}}
			tables[i].Follow(watch.Update{IsSnapshot: true}, 0)
		}
		n.changes.tables.Store(&tables)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var serving atomic.Int64
		serve := func() {
			local, remote := net.Pipe()
			serving.Add(1)
			go io.Copy(io.Discard, remote) //nolint:errcheck // it ends with the stream.
			go func() {
				defer local.Close() //nolint:errcheck // the test is over.
				n.serveFollow(ctx, link.NewStream(local), wire.Follow{IsStarting: true})
				serving.Add(-1)
			}()
		}
		for range maxStartingFollowers + 3 {
			serve()
		}
		synctest.Wait()
		qt.Check(t, serving.Load(), qt.Equals, int64(maxStartingFollowers))
		cancel()
		synctest.Wait()
		qt.Check(t, n.changes.starting.Load(), qt.Equals, int64(0))
	})
}

// TestStopBeforeStart checks that a node whose process gets TERM before it has joined the
// fleet stops.
func TestStopBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{
			Process: config.Process{Name: "n0"}, Tree: &config.Tree{}, Store: &store.Client{}, Log: log.New(io.Discard),
		}
		n.Prepare(&link.Mux{}, nil)
		n.Leave()
		n.Stop()
		qt.Check(t, n.isReady(), qt.IsFalse)
	})
}
