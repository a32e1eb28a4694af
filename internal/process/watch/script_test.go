package watch_test

import (
	"context"
	"io"
	"iter"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/watch"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/stand/skew"
	"goldcrestwick/platform"
)

// TestScripts runs scripts against a Table on a simulated platform. Their commands:
//
//	put KEY VALUE | remove KEY        writes or deletes a row
//	put_unreadable KEY BYTES          writes a row that cannot be decoded
//	down | busy | slow | up           sets the store's state
//	drop_history                      makes the store drop its change history
//	copy | restore                    copies the store, and restores the last copy
//	pause | resume                    stops and starts the table's own reads
//	follow [settled=no]               applies an update of a second table that reads the store
//	sent N                            checks the number of rows in the last update of it
//	changes N                         checks the number of changed rows since the last such line
//	freeze_reader | thaw_reader       stops and starts the second table's reads
//	forget_cursor                     makes the next follow take a snapshot
//	eras N                            checks how often NewEra was called
//	peer_reads                        another node reads the store now
//	clock_steps T                     steps the time of day by whole seconds
//	wait T
//	want KEY=VALUE...                 checks the rows of the table's local copy
//	calls_at_most N                   bounds the reads since the last such line
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", runScript) }

// unreadable is a byte with which no row that can be decoded begins.
const unreadable = "?"

// slowDelay is how long a slow store delays a call.
const slowDelay = 5 * time.Second

// direct is a transport that calls the simulated platform without a network.
type direct struct{ http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.ServeHTTP(w, r)
	}()
	select {
	case <-done:
		return w.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

type scriptRunner struct {
	*testing.T
	script.Line
	cloud cloud.Platform
	// table is under test; reader is the one that it follows on request, from
	// cursor on.
	table, reader *watch.Table
	cursor        watch.Cursor
	isFrozen      bool
	// sent is the number of rows in the last update of the second table, and changes the number
	// of rows that the table under test has reported since the last such line.
	sent, changes int
	copied        cloud.Copy
	eras          atomic.Int64
	// mu guards rows, peerReadAt and step, which the table's goroutine uses too.
	mu         sync.Mutex
	rows       map[string]string
	peerReadAt time.Time
	startedAt  time.Time
	// step is the sum of the steps of the time of day.
	step time.Duration
	// checkedReads is the store's read count at the last calls_at_most line.
	checkedReads int
}

// origin is a time with a monotonic clock reading, which the times of a synctest
// bubble lack. The Table's clock starts at it.
var origin = time.Now()

func (s *scriptRunner) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return skew.ShiftWallClock(origin.Add(time.Since(s.startedAt)), s.step)
}

func runScript(t *testing.T, lines iter.Seq[script.Line]) {
	s := &scriptRunner{T: t, rows: map[string]string{}, startedAt: time.Now()}
	s.table = s.newTable(s.changed)
	s.reader = s.newTable(func([]store.Row) {})
	s.reader.Pause()
	ctx, cancel := context.WithCancel(t.Context())
	var runs sync.WaitGroup
	runs.Go(func() { s.table.Run(ctx) })
	runs.Go(func() { s.reader.Run(ctx) })
	for s.Line = range lines {
		s.runCommand(s.Command, s.Args)
	}
	cancel()
	runs.Wait()
	// Let the calls that the slow store still delays end first.
	time.Sleep(slowDelay)
}

func (s *scriptRunner) newTable(changed func([]store.Row)) *watch.Table {
	client := &platform.Store{Address: "store", Transport: direct{&s.cloud}}
	return &watch.Table{
		Name: "things", Store: &store.Client{Service: client.Service()}, Wait: func() time.Duration { return 2 * time.Second }, Interval: func() time.Duration { return 100 * time.Millisecond },
		Changed: changed, Content: content, NewEra: func(store.Era) { s.eras.Add(1) }, PeerRead: s.peerRead, Now: s.now, Log: log.New(io.Discard),
	}
}

// content returns the value of a row without what follows a slash, which is its sequence number,
// or nil if it is unreadable.
func content(r store.Row) any {
	if len(r.Value) == 0 || r.Value[0] == unreadable[0] {
		return nil
	}
	value, _, _ := strings.Cut(string(r.Value), "/")
	return value
}

// follow lets the table under test take the reader's news.
func (s *scriptRunner) follow() {
	if !s.isFrozen {
		s.reader.Resume()
	}
	time.Sleep(150 * time.Millisecond)
	synctest.Wait()
	u, _, ok := s.reader.Updates(s.cursor, s.table.Settled())
	qt.Assert(s.T, ok, qt.IsTrue, qt.Commentf(s.Position))
	s.sent = len(u.Rows)
	if (u.IsSnapshot || len(u.Rows) > 0) && !s.table.Follow(u, 0) {
		return
	}
	s.cursor = u.Next
	if s.Options["settled"] != "no" {
		s.table.ObserveSettled(u.Settled)
	}
}

func (s *scriptRunner) peerRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerReadAt
}

func (s *scriptRunner) changed(rows []store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes += len(rows)
	for _, r := range rows {
		if r.Deleted {
			delete(s.rows, r.Key)
			continue
		}
		s.rows[r.Key] = string(r.Value)
	}
}

func (s *scriptRunner) runCommand(command string, args []string) {
	switch command {
	case "put_unreadable":
		s.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "things", Key: args[0], Value: []byte(strings.Repeat(unreadable, s.ParseInt(args[1])))}}})
	case "put":
		s.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "things", Key: args[0], Value: []byte(args[1])}}})
	case "remove":
		s.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "things", Key: args[0]}}})
	case "down":
		s.cloud.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Unavailable: true} })
	case "busy":
		s.cloud.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{TooManyRequests: true} })
	case "slow":
		s.cloud.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Delay: slowDelay} })
	case "up":
		s.cloud.SetFault(nil)
	case "drop_history":
		s.cloud.TruncateHistory()
	case "copy":
		s.copied = s.cloud.Copy()
	case "restore":
		s.cloud.Restore(s.copied)
	case "pause":
		s.table.Pause()
	case "resume":
		s.table.Resume()
	case "follow":
		s.follow()
	case "freeze_reader", "thaw_reader":
		s.isFrozen = s.Command == "freeze_reader"
		s.reader.Pause()
		time.Sleep(3 * time.Second)
		if !s.isFrozen {
			s.reader.Resume()
		}
	case "forget_cursor":
		s.cursor = watch.Cursor{}
	case "sent":
		qt.Check(s.T, s.sent, qt.Equals, s.ParseInt(args[0]), qt.Commentf(s.Position))
	case "changes":
		s.mu.Lock()
		qt.Check(s.T, s.changes, qt.Equals, s.ParseInt(args[0]), qt.Commentf(s.Position))
		s.changes = 0
		s.mu.Unlock()
	case "eras":
		qt.Check(s.T, int(s.eras.Load()), qt.Equals, s.ParseInt(args[0]), qt.Commentf(s.Position))
	case "peer_reads":
		now := s.now()
		s.mu.Lock()
		s.peerReadAt = now
		s.mu.Unlock()
	case "clock_steps":
		s.mu.Lock()
		s.step += s.ParseDuration(args[0])
		s.mu.Unlock()
	case "wait":
		time.Sleep(s.ParseDuration(args[0]))
		synctest.Wait()
	case "want":
		var got []string
		s.mu.Lock()
		for key, value := range s.rows {
			got = append(got, key+"="+value)
		}
		s.mu.Unlock()
		slices.Sort(got)
		qt.Check(s.T, strings.Join(got, " "), qt.Equals, strings.Join(args, " "), qt.Commentf(s.Position))
	case "calls_at_most":
		_, reads := s.cloud.OperationCounts()
		qt.Check(s.T, reads-s.checkedReads <= s.ParseInt(args[0]), qt.IsTrue, qt.Commentf("%s: %d calls", s.Position, reads-s.checkedReads))
		s.checkedReads = reads
	default:
		s.Fatalf("%s: unknown command %s", s.Position, command)
	}
}
