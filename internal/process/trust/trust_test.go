package trust

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/stand/cloud"
)

// table is the store's table; the responses to its next transactions can be lost.
type table struct {
	cloud           cloud.Platform
	mu              sync.Mutex
	responsesToLose int
}

var errLost = eris.New("response lost")

func (tbl *table) service() store.Service {
	return store.Service{
		Get: func(_ context.Context, name, key string) (store.Row, bool, error) {
			// A transaction whose check always fails returns the row as a conflict.
			r := tbl.cloud.Apply(cloud.Transaction{Checks: []cloud.Check{{Table: name, Key: key, Version: -1}}})
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
			r := tbl.cloud.Apply(t)
			tbl.mu.Lock()
			defer tbl.mu.Unlock()
			if tbl.responsesToLose > 0 {
				tbl.responsesToLose--
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

func newManager(tbl *table) *Manager {
	return &Manager{
		Store: &store.Client{Service: tbl.service()}, Name: "n", IP: net.IPv4(127, 0, 0, 1), Log: log.New(io.Discard),
	}
}

// TestSameAuthority checks that nodes which start concurrently end up with the
// same authority, so that they trust each other's certificates, and with the same
// ledger key.
func TestSameAuthority(t *testing.T) {
	tbl := &table{}
	managers := make([]*Manager, 5)
	var starting sync.WaitGroup
	for i := range managers {
		managers[i] = newManager(tbl)
		starting.Go(func() { qt.Check(t, managers[i].Load(t.Context()), qt.IsNil) })
	}
	starting.Wait()
	for _, m := range managers {
		qt.Check(t, m.TLSConfig().RootCAs.Equal(managers[0].TLSConfig().RootCAs), qt.IsTrue)
		qt.Check(t, m.LedgerKey().Equal(managers[0].LedgerKey()), qt.IsTrue)
	}
}

// TestLostResponse checks that an authority which was written although the
// response was lost is found by the next call of Load.
func TestLostResponse(t *testing.T) {
	tbl := &table{responsesToLose: 1}
	m := newManager(tbl)
	qt.Assert(t, m.Load(t.Context()), qt.IsNotNil)
	qt.Assert(t, m.Load(t.Context()), qt.IsNil)
	other := newManager(tbl)
	qt.Assert(t, other.Load(t.Context()), qt.IsNil)
	qt.Assert(t, other.TLSConfig().RootCAs.Equal(m.TLSConfig().RootCAs), qt.IsTrue)
}

// TestUnreadableAuthority checks that Load fails on a row which holds no
// authority, instead of replacing the row.
func TestUnreadableAuthority(t *testing.T) {
	tbl := &table{}
	tbl.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: Table, Key: key, Value: []byte("no PEM")}}})
	qt.Assert(t, newManager(tbl).Load(t.Context()), qt.ErrorMatches, ".*PEM.*")
}

// TestRestore checks that a store which was restored without the authority gets it
// back, and that a node which starts before that waits for it instead of creating
// another one.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tbl := &table{}
		empty := tbl.cloud.Copy()
		old := newManager(tbl)
		qt.Assert(t, old.Load(t.Context()), qt.IsNil)
		tbl.cloud.Restore(empty)
		fresh := newManager(tbl)
		fresh.CreateDelay = 5 * time.Second
		qt.Assert(t, fresh.Load(t.Context()), qt.Equals, ErrNoAuthority)
		time.Sleep(time.Second)
		qt.Assert(t, old.Restore(t.Context()), qt.IsNil)
		qt.Assert(t, fresh.Load(t.Context()), qt.IsNil)
		qt.Check(t, fresh.TLSConfig().RootCAs.Equal(old.TLSConfig().RootCAs), qt.IsTrue)

		// If nobody writes it again, the node creates one, and the others use it.
		tbl.cloud.Restore(empty)
		late := newManager(tbl)
		late.CreateDelay = 5 * time.Second
		qt.Assert(t, late.Load(t.Context()), qt.Equals, ErrNoAuthority)
		time.Sleep(6 * time.Second)
		qt.Assert(t, late.Load(t.Context()), qt.IsNil)
		qt.Assert(t, old.Restore(t.Context()), qt.IsNil)
		qt.Check(t, late.TLSConfig().RootCAs.Equal(old.TLSConfig().RootCAs), qt.IsTrue)
	})
}
