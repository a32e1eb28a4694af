package watch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/platform"
)

// TestScripts follows a table of the platform's stand-in, by scripts of lines:
//
//	put KEY VALUE | remove KEY        a row changes
//	down | busy | slow | up           the store's state
//	drop_history
//	peer_reads                        another node reads the store now
//	wait T
//	want KEY=VALUE...                 the rows as the follower knows them
//	calls_at_most N                   since the last such line
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, file) })
		})
	}
}

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

type script struct {
	*testing.T
	place string
	cloud cloud.Platform
	rows  map[string]string
	peer  time.Time
	calls int
}

func runScript(t *testing.T, file string) {
	s := &script{T: t, rows: map[string]string{}}
	calls := &platform.Store{Address: "store", Transport: direct{&s.cloud}}
	table := &Table{
		Name: "things", Store: &store.Client{Service: calls.Service()}, Wait: 2 * time.Second, Interval: 100 * time.Millisecond,
		Changed: s.changed, PeerRead: func() time.Time { return s.peer }, Log: log.New(io.Discard),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); table.Run(ctx) }()
	raw, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer raw.Close() //nolint:errcheck // only read.
	lines := bufio.NewScanner(raw)
	for n := 1; lines.Scan(); n++ {
		s.place = fmt.Sprintf("%s:%d", file, n)
		if words := strings.Fields(lines.Text()); len(words) > 0 && words[0] != "#" {
			s.run(words[0], words[1:])
		}
	}
	cancel()
	<-done
	// Calls that the store still holds end first.
	time.Sleep(slowTime)
}

func (s *script) changed(rows []store.Row) {
	for _, r := range rows {
		if r.Deleted {
			delete(s.rows, r.Key)
			continue
		}
		s.rows[r.Key] = string(r.Value)
	}
}

func (s *script) run(command string, words []string) {
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
		s.peer = time.Now()
	case "wait":
		d, err := time.ParseDuration(words[0])
		qt.Assert(s.T, err, qt.IsNil, qt.Commentf(s.place))
		time.Sleep(d)
		synctest.Wait()
	case "want":
		var got []string
		for key, value := range s.rows {
			got = append(got, key+"="+value)
		}
		slices.Sort(got)
		qt.Check(s.T, strings.Join(got, " "), qt.Equals, strings.Join(words, " "), qt.Commentf(s.place))
	case "calls_at_most":
		_, reads := s.cloud.Counts()
		var most int
		fmt.Sscan(words[0], &most) //nolint:errcheck // a bad number is 0.
		qt.Check(s.T, reads-s.calls <= most, qt.IsTrue, qt.Commentf("%s: %d calls", s.place, reads-s.calls))
		s.calls = reads
	default:
		s.Fatalf("%s: unknown command %s", s.place, command)
	}
}
