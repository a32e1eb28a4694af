package node

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/store"
)

// TestTableMarks guards against calls for tables that are empty, and against rows that are not
// read: of a table whose mark cannot be decoded, of one that a version without marks has
// written, or that were written after the marks were read.
func TestTableMarks(t *testing.T) {
	now := time.Now()
	marked := func(at time.Time) store.Row {
		w := markOf(crashTable, at)
		return store.Row{Key: w.Key, Value: w.Value}
	}
	for name, test := range map[string]struct {
		rows        []store.Row
		readAt      time.Time
		hasOldNodes bool
		wantScan    bool
	}{
		"no marks":        {readAt: now},
		"another table":   {rows: []store.Row{{Key: "|" + rolloutTable, Value: []byte("{}")}}, readAt: now},
		"marked":          {rows: []store.Row{marked(now)}, readAt: now, wantScan: true},
		"marked long ago": {rows: []store.Row{marked(now.Add(-rowLifetime[crashTable] - 2*markMargin))}, readAt: now},
		"without an end":  {rows: []store.Row{{Key: "|" + crashTable, Value: []byte("{}")}}, readAt: now, wantScan: true},
		"unreadable":      {rows: []store.Row{{Key: "|" + crashTable, Value: []byte("{")}}, readAt: now, wantScan: true},
		"old nodes":       {readAt: now, hasOldNodes: true, wantScan: true},
		"read long ago":   {readAt: now.Add(-time.Minute), wantScan: true},
	} {
		scanned := 0
		n := &Node{Log: log.New(io.Discard), Store: &store.Client{Service: store.Service{
			Scan: func(_ context.Context, table string) ([]store.Row, store.Position, error) {
				qt.Check(t, table, qt.Equals, crashTable)
				scanned++
				return []store.Row{{Key: "k"}}, store.Position{}, nil
			},
		}}}
		n.tables.hasNodes, n.tables.marks.hasOldNodes = true, test.hasOldNodes
		others := n.learnMarks(append(slices.Clone(test.rows), store.Row{Key: "p"}), test.readAt)
		qt.Check(t, others, qt.DeepEquals, []store.Row{{Key: "p"}}, qt.Commentf("%s", name))
		read, applied := make(chan struct{}), -1
		close(read)
		isRead := n.readMarkedTable(context.Background(), read, crashTable, func(rows []store.Row) { applied = len(rows) })
		want := 0
		if test.wantScan {
			want = 1
		}
		qt.Check(t, []int{scanned, applied}, qt.DeepEquals, []int{want, want}, qt.Commentf("%s", name))
		qt.Check(t, isRead, qt.Equals, test.wantScan, qt.Commentf("%s", name))
	}
}

// TestRolloutMarked guards against nodes that start without the progress of a rollout, since
// its row was written without the mark of its table.
func TestRolloutMarked(t *testing.T) {
	var rows []store.Write
	n := &Node{
		Log: log.New(io.Discard),
		Platform: &Platform{
			StatusTable:  "status",
			FormatStatus: func(ident.PoolID, canary.State, ident.Release) (string, []byte) { return "k", []byte("{}") },
		},
		Store: &store.Client{Service: store.Service{
			Transact: func(_ context.Context, _ []store.Check, writes []store.Write) (store.Result, error) {
				rows = writes
				return store.Result{Applied: true}, nil
			},
			Get: func(context.Context, string, string) (store.Row, bool, error) {
				return store.Row{Version: 1, Value: rows[0].Value}, true, nil
			},
		}},
	}
	outcome, _ := n.writeRollout(context.Background(), "p", rolloutRow{Target: "v2", Fencing: 1}, 0)
	qt.Check(t, outcome, qt.Equals, written)
	qt.Check(t, slices.ContainsFunc(rows, func(w store.Write) bool {
		return w.Table == releaseTable && w.Key == markPrefix+rolloutTable
	}), qt.IsTrue)
}

// TestMarksMissing guards against a table that is never read since that of the marks, or that of
// nodes, which shows whether versions without marks have run, cannot be read.
func TestMarksMissing(t *testing.T) {
	for name, hasNodes := range map[string]bool{"no marks": true, "no nodes": false} {
		synctest.Test(t, func(t *testing.T) {
			n := &Node{Log: log.New(io.Discard), Store: &store.Client{Service: store.Service{
				Scan: func(context.Context, string) ([]store.Row, store.Position, error) {
					return []store.Row{{Key: "k"}}, store.Position{}, nil
				},
			}}}
			n.tables.hasNodes = hasNodes
			marksRead := make(chan struct{})
			if !hasNodes {
				n.learnMarks(nil, time.Now())
				close(marksRead)
			}
			started, applied := time.Now(), 0
			isRead := n.readMarkedTable(t.Context(), marksRead, crashTable, func(rows []store.Row) { applied = len(rows) })
			qt.Check(t, isRead, qt.IsTrue, qt.Commentf("%s", name))
			qt.Check(t, applied, qt.Equals, 1, qt.Commentf("%s", name))
			qt.Check(t, time.Since(started) <= marksWait, qt.IsTrue, qt.Commentf("%s", name))
		})
	}
}

// TestRegisterWithMarks guards against rows of a version without marks that nobody reads: the
// row of a node that shows them is overwritten without the marks, or never, since a table cannot
// be read.
func TestRegisterWithMarks(t *testing.T) {
	for name, test := range map[string]struct {
		hasNodes, hasOldNodes, isFirstStart, wantMarks bool
	}{
		"marked before":   {hasNodes: true},
		"old nodes":       {hasNodes: true, hasOldNodes: true, wantMarks: true},
		"unreadable":      {wantMarks: true},
		"the first start": {isFirstStart: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			var written []string
			n := &Node{Log: log.New(io.Discard), Store: &store.Client{Service: store.Service{
				Transact: func(_ context.Context, _ []store.Check, writes []store.Write) (store.Result, error) {
					for _, w := range writes {
						written = append(written, w.Table+" "+w.Key)
					}
					return store.Result{Applied: true}, nil
				},
			}}}
			n.Process.Name, n.Process.IsFirstStart = "n1", test.isFirstStart
			n.tables.hasNodes, n.tables.marks.hasOldNodes = test.hasNodes, test.hasOldNodes
			n.registerAtStart(t.Context())
			want := []string{"nodes n1"}
			if test.wantMarks {
				want = append(want, "releases |crashes", "releases |quarantine", "releases |rollouts")
			}
			qt.Check(t, written, qt.DeepEquals, want, qt.Commentf("%s", name))
		})
	}
}
