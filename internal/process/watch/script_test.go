package watch

import (
	"context"
	"io"
	"iter"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/stand/skew"
	"goldcrestwick/platform"
)

// TestScripts follows a table of the platform's stand-in, by scripts of lines:
//
//	put KEY VALUE | remove KEY        a row changes
//	down | busy | slow | up           the store's state
//	drop_history
//	peer_reads                        another node reads the store now
//	clock_steps T                     the time of day moves by whole seconds
//	wait T
//	want KEY=VALUE...                 the rows as the follower knows them
//	calls_at_most N                   since the last such line
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", play) }

// slowTime is how long a slow store holds a call.
const slowTime = 5 * time.Second

// direct calls the stand-in without a network.
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

type player struct {
	*testing.T
	script.Line
	cloud cloud.Platform
	// mu guards rows and peer, which the table's own goroutine uses too.
	mu    sync.Mutex
	rows  map[string]string
	peer  time.Time
	began time.Time
	step  time.Duration
	calls int
}

// origin has a monotonic reading, which times of a bubble lack.
var origin = time.Now()

func (s *player) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return skew.Wall(origin.Add(time.Since(s.began)), s.step)
}

func play(t *testing.T, lines iter.Seq[script.Line]) {
	s := &player{T: t, rows: map[string]string{}, began: time.Now()}
	calls := &platform.Store{Address: "store", Transport: direct{&s.cloud}}
	table := &Table{
		Name: "things", Store: &store.Client{Service: calls.Service()}, Wait: 2 * time.Second, Interval: 100 * time.Millisecond,
		Changed: s.changed, PeerRead: s.peerRead, Now: s.now, Log: log.New(io.Discard),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); table.Run(ctx) }()
	for s.Line = range lines {
		s.run(s.Command, s.Args)
	}
	cancel()
	<-done
	// Calls that the store still holds end first.
	time.Sleep(slowTime)
}

func (s *player) peerRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer
}

func (s *player) changed(rows []store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(s.rows, r.Key)
			continue
		}
		s.rows[r.Key] = string(r.Value)
	}
}

func (s *player) run(command string, words []string) {
	switch command {
	case "put":
		s.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "things", Key: words[0], Value: []byte(words[1])}}})
	case "remove":
		s.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "things", Key: words[0]}}})
	case "down":
		s.cloud.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Down: true} })
	case "busy":
		s.cloud.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Busy: true} })
	case "slow":
		s.cloud.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Delay: slowTime} })
	case "up":
		s.cloud.SetFault(nil)
	case "drop_history":
		s.cloud.DropHistory()
	case "peer_reads":
		now := s.now()
		s.mu.Lock()
		s.peer = now
		s.mu.Unlock()
	case "clock_steps":
		s.mu.Lock()
		s.step += s.Span(words[0])
		s.mu.Unlock()
	case "wait":
		time.Sleep(s.Span(words[0]))
		synctest.Wait()
	case "want":
		var got []string
		s.mu.Lock()
		for key, value := range s.rows {
			got = append(got, key+"="+value)
		}
		s.mu.Unlock()
		slices.Sort(got)
		qt.Check(s.T, strings.Join(got, " "), qt.Equals, strings.Join(words, " "), qt.Commentf(s.Place))
	case "calls_at_most":
		_, reads := s.cloud.Counts()
		qt.Check(s.T, reads-s.calls <= s.Number(words[0]), qt.IsTrue, qt.Commentf("%s: %d calls", s.Place, reads-s.calls))
		s.calls = reads
	default:
		s.Fatalf("%s: unknown command %s", s.Place, command)
	}
}
