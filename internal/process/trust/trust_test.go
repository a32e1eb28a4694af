package trust

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/stand/cloud"
)

// table is the store's table, whose next answers can be lost.
type table struct {
	cloud cloud.Platform
	mu    sync.Mutex
	lose  int
}

var errLost = eris.New("no answer")

func (b *table) service() store.Service {
	return store.Service{
		Get: func(_ context.Context, name, key string) (store.Row, bool, error) {
			// A transaction whose check cannot hold shows the row.
			r := b.cloud.Apply(cloud.Transaction{Checks: []cloud.Check{{Table: name, Key: key, Version: -1}}})
			row := r.Conflicts[0].Row
			return store.Row{Key: key, Version: row.Version, Value: row.Value}, row.Version > 0, nil
		},
		Transact: func(_ context.Context, checks []store.Check, writes []store.Write) (store.Result, error) {
			t := cloud.Transaction{}
			for _, c := range checks {
				t.Checks = append(t.Checks, cloud.Check(c))
			}
			for _, w := range writes {
				t.Writes = append(t.Writes, cloud.Write(w))
			}
			r := b.cloud.Apply(t)
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.lose > 0 {
				b.lose--
				return store.Result{}, errLost
			}
			result := store.Result{Applied: r.Applied}
			for _, c := range r.Conflicts {
				result.Conflicts = append(result.Conflicts, store.Row{Key: c.Key, Version: c.Version, Value: c.Value})
			}
			return result, nil
		},
	}
}

func keeper(b *table) *Keeper {
	return &Keeper{
		Store: &store.Client{Service: b.service()}, Name: "n", IP: net.IPv4(127, 0, 0, 1), Log: log.New(io.Discard),
	}
}

// TestSameAuthority checks that nodes which start at once end with one
// authority, and that each trusts the others' certificates.
func TestSameAuthority(t *testing.T) {
	b := &table{}
	keepers := make([]*Keeper, 5)
	var starting sync.WaitGroup
	for i := range keepers {
		keepers[i] = keeper(b)
		starting.Go(func() { qt.Check(t, keepers[i].Load(t.Context()), qt.IsNil) })
	}
	starting.Wait()
	for _, k := range keepers {
		qt.Check(t, k.Config().RootCAs.Equal(keepers[0].Config().RootCAs), qt.IsTrue)
		qt.Check(t, k.LedgerKey().Equal(keepers[0].LedgerKey()), qt.IsTrue)
	}
}

// TestLostAnswer checks that an authority whose write was not answered is found
// by the next try.
func TestLostAnswer(t *testing.T) {
	b := &table{lose: 1}
	k := keeper(b)
	qt.Assert(t, k.Load(t.Context()), qt.IsNotNil)
	qt.Assert(t, k.Load(t.Context()), qt.IsNil)
	other := keeper(b)
	qt.Assert(t, other.Load(t.Context()), qt.IsNil)
	qt.Assert(t, other.Config().RootCAs.Equal(k.Config().RootCAs), qt.IsTrue)
}

// TestUnreadable checks that a row which holds no authority is an error and is
// not replaced.
func TestUnreadable(t *testing.T) {
	b := &table{}
	b.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: Table, Key: key, Value: []byte("no PEM")}}})
	qt.Assert(t, keeper(b).Load(t.Context()), qt.ErrorMatches, ".*PEM.*")
}
