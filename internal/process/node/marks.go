package node

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/store"
)

const (
	// markPrefix and the name of a table are the key of a row of releaseTable that marks the
	// table as one with rows. Names of pools have no bar.
	markPrefix = "|"
	// nodeRowSchema is the schema of the rows of nodeTable of versions that mark tables. Those
	// of earlier versions have none.
	nodeRowSchema = 1
	// markMargin is how much longer than its rows matter a table is marked, since the clocks
	// of the nodes that write and read the mark may differ.
	markMargin = time.Minute
	// markReadTTL is how long after the read of the marks at the start a table without a mark
	// counts as empty. Later, rows may have been written since.
	markReadTTL = 3 * time.Second
	// marksWait bounds how long a starting node waits for the marks and the table of nodes
	// before it does without them, as some table may be unreadable.
	marksWait = time.Second
)

// rowLifetime holds, for each table that is usually empty, how long after the latest write its
// rows matter to a node that starts; 0 is for ever. Each write of such rows marks the table in
// the same transaction, so that starting nodes need not read it while it is empty: each call to
// the store is priced, and all nodes of a fleet may start at once.
var rowLifetime = map[string]time.Duration{
	quarantineTable: poison.QuarantineTime + poison.EvidenceTime,
	crashTable:      poison.EvidenceTime,
	rolloutTable:    0,
}

// tableMark is the value of a row that marks a table.
type tableMark struct {
	// UntilUnixMilli is when the rows cease to matter, 0 if they never do.
	UntilUnixMilli int64 `json:"until_unix_ms,omitempty"`
}

// tableMarks holds the marks that a node has read at its start. It is guarded by the mutex of
// tableState.
type tableMarks struct {
	marks  map[string]tableMark
	readAt time.Time
	// hasOldNodes is set if nodes have run whose version did not mark tables. Then any table
	// may have rows.
	hasOldNodes bool
}

// markOf returns the write that marks a table at the time of a write of its rows.
func markOf(table string, now time.Time) store.Write {
	var mark tableMark
	if lifetime := rowLifetime[table]; lifetime > 0 {
		mark.UntilUnixMilli = now.Add(lifetime + markMargin).UnixMilli()
	}
	value, err := json.Marshal(mark)
	if err != nil {
		panic(err) // encoding an integer cannot fail.
	}
	return store.Write{Table: releaseTable, Key: markPrefix + table, Value: value}
}

// learnMarks records the marks among the rows of releaseTable, as a call that started at a time
// has read them, learns the row routesKey, and returns the other rows. A mark that cannot be
// decoded never ends.
func (n *Node) learnMarks(rows []store.Row, started time.Time) (others []store.Row) {
	marks := map[string]tableMark{}
	for _, r := range rows {
		if r.Key == routesKey {
			n.learnRoutesRow(r)
			continue
		}
		table, isMark := strings.CutPrefix(r.Key, markPrefix)
		if !isMark {
			others = append(others, r)
			continue
		}
		var mark tableMark
		if err := json.Unmarshal(r.Value, &mark); err != nil {
			n.Log.Warn("table_mark_unreadable", "table", table, "error", err)
			mark = tableMark{}
		}
		marks[table] = mark
	}
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	n.tables.marks.marks, n.tables.marks.readAt = marks, started
	return others
}

// mayHaveRows reports whether a table may have rows that matter, as far as the marks tell that
// were read at the start.
func (m *tableMarks) mayHaveRows(table string, now time.Time) bool {
	mark, isMarked := m.marks[table]
	switch {
	case m.hasOldNodes, now.Sub(m.readAt) > markReadTTL:
		return true
	case !isMarked:
		return false
	}
	return mark.UntilUnixMilli == 0 || now.UnixMilli() < mark.UntilUnixMilli
}

// readMarkedTable passes the rows of a table that is usually empty to apply, none if it is
// empty by the marks, and reports whether it has read the table. It waits at most marksWait for
// the marks and the table of nodes; if either is missing then, it reads the table. It returns when
// that is done, or when ctx is done.
func (n *Node) readMarkedTable(ctx context.Context, marksRead <-chan struct{}, table string, apply func([]store.Row)) (isRead bool) {
	waitCtx, cancel := context.WithTimeout(ctx, marksWait)
	defer cancel()
	select {
	case <-marksRead:
	case <-waitCtx.Done():
	}
	areNodesRead := n.awaitRowsOfNodes(waitCtx)
	n.tables.mu.Lock()
	mayHaveRows := !areNodesRead || n.tables.marks.mayHaveRows(table, time.Now())
	n.tables.mu.Unlock()
	if !mayHaveRows {
		apply(nil)
		return false
	}
	n.readTable(ctx, table, func(rows []store.Row, _ time.Time) {
		apply(rows)
		isRead = true
	})
	return isRead
}

// registerAtStart writes this node's row. If nodes of a version without marks have run, it
// marks their tables with the same call, since it overwrites the row of such a node. The rows of
// these nodes show it until then, so that each node that starts reads all tables. If the table of
// nodes cannot be read soon, such nodes may have run. A fleet that starts for the first time has
// no such rows.
func (n *Node) registerAtStart(ctx context.Context) {
	if n.Process.IsFirstStart {
		n.registerNode(ctx, false)
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, marksWait)
	areNodesRead := n.awaitRowsOfNodes(waitCtx)
	cancel()
	n.tables.mu.Lock()
	mayLackMarks := !areNodesRead || n.tables.marks.hasOldNodes
	n.tables.mu.Unlock()
	n.registerNode(ctx, mayLackMarks)
}
