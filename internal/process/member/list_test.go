package member

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/request/ident"
)

const (
	size = 12
	// findTime is how soon a death must be known everywhere: a round of
	// probes, the time of suspicion, and the spread.
	findTime = size*ProbeInterval + SuspectTime + 5*time.Second
)

var errCut = errors.New("no way")

// network joins lists by direct calls, with cuts between them.
type network struct {
	mu    sync.Mutex
	lists map[string]*List
	cuts  map[[2]string]bool
}

func (n *network) reach(from, to string) (*List, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]string{from, to}] || n.cuts[[2]string{to, from}] || n.lists[to] == nil {
		return nil, errCut
	}
	return n.lists[to], nil
}

func (n *network) set(cut bool, from string, to ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range to {
		n.cuts[[2]string{from, t}] = cut
	}
}

func (n *network) add(name string, seeds []Member) *List {
	l := &List{Seeds: func(context.Context) []Member { return seeds }}
	l.Probe = func(_ context.Context, to Member, updates []Member) ([]Member, error) {
		other, err := n.reach(name, to.PeerAddress)
		if err != nil {
			return nil, err
		}
		return other.Merge(updates), nil
	}
	l.IndirectProbe = func(_ context.Context, via, target Member) error {
		if _, err := n.reach(name, via.PeerAddress); err != nil {
			return err
		}
		_, err := n.reach(via.PeerAddress, target.PeerAddress)
		return err
	}
	l.Sync = func(_ context.Context, to Member, all []Member) ([]Member, error) {
		other, err := n.reach(name, to.PeerAddress)
		if err != nil {
			return nil, err
		}
		other.Merge(all)
		return other.All(), nil
	}
	n.lists[name] = l
	l.Start(Member{ID: ident.NodeID(name), Region: "r", PeerAddress: name, State: Ready, Incarnation: 1})
	return l
}

// inFleet starts a fleet whose nodes know one seed each.
func inFleet(t *testing.T, run func(*testing.T, *network, []*List)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{lists: map[string]*List{}, cuts: map[[2]string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*List
		for i := range size {
			seed := Member{ID: ident.NodeID(name(max(i-1, 0))), PeerAddress: name(max(i-1, 0))}
			all = append(all, n.add(name(i), []Member{seed}))
		}
		for _, l := range all {
			l.Seed(ctx)
			running.Go(func() { l.Run(ctx) })
		}
		time.Sleep(findTime)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, size)
		}
		run(t, n, all)
		cancel()
		running.Wait()
	})
}

func name(i int) string { return fmt.Sprintf("n%02d", i) }

// TestDeath cuts one node off and checks that all others find out, and that it
// is taken back once it is reached again.
func TestDeath(t *testing.T) {
	inFleet(t, func(t *testing.T, n *network, all []*List) {
		var others []string
		for i := 1; i < size; i++ {
			others = append(others, name(i))
		}
		n.set(true, name(0), others...)
		time.Sleep(findTime)
		for _, l := range all[1:] {
			_, found := l.View().Find(ident.NodeID(name(0)))
			qt.Assert(t, found, qt.IsFalse)
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, size-1)
		}
		n.set(false, name(0), others...)
		time.Sleep(findTime + SeedInterval + SyncInterval)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, size)
		}
	})
}

// TestOneLink cuts the link between two nodes only: nobody is declared dead,
// since others reach both.
func TestOneLink(t *testing.T) {
	inFleet(t, func(t *testing.T, n *network, all []*List) {
		n.set(true, name(0), name(1))
		for range 60 {
			time.Sleep(time.Second)
			for _, l := range all {
				qt.Assert(t, l.View().Members, qt.HasLen, size)
			}
		}
	})
}

// TestHalves lets two halves of the fleet lose each other for an hour: each
// goes on alone, and they are one again afterwards.
func TestHalves(t *testing.T) {
	inFleet(t, func(t *testing.T, n *network, all []*List) {
		for i := range size / 2 {
			for j := size / 2; j < size; j++ {
				n.set(true, name(i), name(j))
			}
		}
		time.Sleep(time.Hour)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, size/2)
		}
		for i := range size / 2 {
			for j := size / 2; j < size; j++ {
				n.set(false, name(i), name(j))
			}
		}
		time.Sleep(findTime + SeedInterval)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, size)
		}
	})
}

// TestLeaving checks that a node's own word spreads.
func TestLeaving(t *testing.T) {
	inFleet(t, func(t *testing.T, _ *network, all []*List) {
		all[3].SetSelf(func(m *Member) { m.State = Leaving })
		time.Sleep(5 * time.Second)
		for _, l := range all {
			m, found := l.View().Find(ident.NodeID(name(3)))
			qt.Assert(t, found, qt.IsTrue)
			qt.Assert(t, m.State, qt.Equals, Leaving)
			owner, _ := l.View().Owner("r", "key")
			first, _ := all[0].View().Owner("r", "key")
			qt.Assert(t, owner.ID, qt.Equals, first.ID)
		}
	})
}

// TestOwnerMoves checks that a member that goes moves only its own keys.
func TestOwnerMoves(t *testing.T) {
	var members []Member
	for i := range size {
		members = append(members, Member{ID: ident.NodeID(name(i))})
	}
	moved, own := 0, 0
	const keys = 3000
	for k := range keys {
		key := fmt.Sprint("key", k)
		before, _ := Owner(members, key)
		after, _ := Owner(members[1:], key)
		if before.ID == members[0].ID {
			own++
		}
		if before.ID != after.ID {
			moved++
		}
	}
	qt.Assert(t, moved, qt.Equals, own)
	qt.Assert(t, own > keys/size/2 && own < keys/size*2, qt.IsTrue, qt.Commentf("%d of %d keys", own, keys))
}

// TestLostUpdate checks that a member whose change was told as often as updates
// are passed on, and missed by one other, is known to it after one probe
// between the two, in either direction.
func TestLostUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, probe := range []func(told, other *List) []Member{
			func(told, other *List) []Member { return other.Merge(told.Merge(nil)) },
			func(told, other *List) []Member { return told.Merge(other.Merge(nil)) },
		} {
			told, other := &List{}, &List{}
			told.Start(Member{ID: "told", State: Joining, Incarnation: 1})
			other.Start(Member{ID: "other", State: Ready, Incarnation: 1})
			other.Merge([]Member{told.Self()})
			told.SetSelf(func(m *Member) { m.State = Ready })
			for range 100 {
				told.Merge(nil) // its answers go to others, or are lost.
			}
			other.Merge(probe(told, other))
			m, ok := other.View().Find("told")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, m.State, qt.Equals, Ready)
		}
	})
}
