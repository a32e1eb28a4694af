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

	"goldcrestwick/internal/process/ident"
)

const (
	fleetSize = 12
	// convergenceTime is how soon a failure must be known everywhere: a round of
	// probes, the suspicion timeout and 5 s for the gossip.
	convergenceTime = fleetSize*ProbeInterval + SuspicionTimeout + 5*time.Second
)

var errUnreachable = errors.New("unreachable")

// network connects lists by direct calls. Links between nodes can be cut.
type network struct {
	mu       sync.Mutex
	lists    map[string]*List
	cutLinks map[[2]string]bool
}

func (n *network) reach(from, to string) (*List, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutLinks[[2]string{from, to}] || n.cutLinks[[2]string{to, from}] || n.lists[to] == nil {
		return nil, errUnreachable
	}
	return n.lists[to], nil
}

func (n *network) setLinks(isCut bool, from string, to ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range to {
		n.cutLinks[[2]string{from, t}] = isCut
	}
}

func (n *network) add(nodeName string, seeds []Member) *List {
	l := &List{Seeds: func(context.Context) []Member { return seeds }}
	l.Probe = func(_ context.Context, to Member, updates []Member) ([]Member, error) {
		other, err := n.reach(nodeName, to.PeerAddress)
		if err != nil {
			return nil, err
		}
		return other.Merge(updates), nil
	}
	l.IndirectProbe = func(_ context.Context, via, target Member) error {
		if _, err := n.reach(nodeName, via.PeerAddress); err != nil {
			return err
		}
		_, err := n.reach(via.PeerAddress, target.PeerAddress)
		return err
	}
	l.Sync = func(_ context.Context, to Member, all []Member) ([]Member, error) {
		other, err := n.reach(nodeName, to.PeerAddress)
		if err != nil {
			return nil, err
		}
		other.Merge(all)
		return other.All(), nil
	}
	n.lists[nodeName] = l
	l.Start(Member{ID: ident.NodeID(nodeName), Region: "r", PeerAddress: nodeName, State: Ready, Incarnation: 1})
	return l
}

// runFleet starts a fleet whose nodes have one seed each, waits until all are
// known to all, and calls run.
func runFleet(t *testing.T, run func(*testing.T, *network, []*List)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{lists: map[string]*List{}, cutLinks: map[[2]string]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*List
		for i := range fleetSize {
			seed := Member{ID: ident.NodeID(nodeName(max(i-1, 0))), PeerAddress: nodeName(max(i-1, 0))}
			all = append(all, n.add(nodeName(i), []Member{seed}))
		}
		for _, l := range all {
			l.Seed(ctx)
			running.Go(func() { l.Run(ctx) })
		}
		time.Sleep(convergenceTime)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, fleetSize)
		}
		run(t, n, all)
		cancel()
		running.Wait()
	})
}

func nodeName(i int) string { return fmt.Sprintf("n%02d", i) }

// TestNodeFailure checks that a node which is cut off from all others is removed
// from their views, and is added again once it can be reached.
func TestNodeFailure(t *testing.T) {
	runFleet(t, func(t *testing.T, n *network, all []*List) {
		var others []string
		for i := 1; i < fleetSize; i++ {
			others = append(others, nodeName(i))
		}
		n.setLinks(true, nodeName(0), others...)
		time.Sleep(convergenceTime)
		for _, l := range all[1:] {
			_, found := l.View().Find(ident.NodeID(nodeName(0)))
			qt.Assert(t, found, qt.IsFalse)
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, fleetSize-1)
		}
		n.setLinks(false, nodeName(0), others...)
		time.Sleep(convergenceTime + SeedInterval + SyncInterval)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, fleetSize)
		}
	})
}

// TestSingleLinkFailure cuts only the link between two nodes and checks that no
// node is declared dead, since indirect probes reach both.
func TestSingleLinkFailure(t *testing.T) {
	runFleet(t, func(t *testing.T, n *network, all []*List) {
		n.setLinks(true, nodeName(0), nodeName(1))
		for range 60 {
			time.Sleep(time.Second)
			for _, l := range all {
				qt.Assert(t, l.View().Members, qt.HasLen, fleetSize)
			}
		}
	})
}

// TestPartition partitions the fleet into halves for an hour and checks that each
// half has its own view, and that the views merge afterwards.
func TestPartition(t *testing.T) {
	runFleet(t, func(t *testing.T, n *network, all []*List) {
		for i := range fleetSize / 2 {
			for j := fleetSize / 2; j < fleetSize; j++ {
				n.setLinks(true, nodeName(i), nodeName(j))
			}
		}
		time.Sleep(time.Hour)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, fleetSize/2)
		}
		for i := range fleetSize / 2 {
			for j := fleetSize / 2; j < fleetSize; j++ {
				n.setLinks(false, nodeName(i), nodeName(j))
			}
		}
		time.Sleep(convergenceTime + SeedInterval)
		for _, l := range all {
			qt.Assert(t, l.View().Ready("r"), qt.HasLen, fleetSize)
		}
	})
}

// TestLeaving checks that a node's change of its own state reaches all nodes, and
// that all nodes then agree on the owner of a key.
func TestLeaving(t *testing.T) {
	runFleet(t, func(t *testing.T, _ *network, all []*List) {
		all[3].SetSelf(func(m *Member) { m.State = Leaving })
		time.Sleep(5 * time.Second)
		for _, l := range all {
			m, found := l.View().Find(ident.NodeID(nodeName(3)))
			qt.Assert(t, found, qt.IsTrue)
			qt.Assert(t, m.State, qt.Equals, Leaving)
			owner, _ := l.View().Owner("r", "key")
			first, _ := all[0].View().Owner("r", "key")
			qt.Assert(t, owner.ID, qt.Equals, first.ID)
		}
	})
}

// TestOwnerAfterRemoval checks that the removal of a member changes the owner of
// its own keys only.
func TestOwnerAfterRemoval(t *testing.T) {
	var members []Member
	for i := range fleetSize {
		members = append(members, Member{ID: ident.NodeID(nodeName(i))})
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
	qt.Assert(t, own > keys/fleetSize/2 && own < keys/fleetSize*2, qt.IsTrue, qt.Commentf("%d of %d keys", own, keys))
}

// TestLostUpdate checks that one probe, in either direction, is enough for a node
// to learn a member's change even if the update reached its transmit limit
// without reaching that node.
func TestLostUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, probe := range []func(changed, other *List) []Member{
			func(changed, other *List) []Member { return other.Merge(changed.Merge(nil)) },
			func(changed, other *List) []Member { return changed.Merge(other.Merge(nil)) },
		} {
			changed, other := &List{}, &List{}
			changed.Start(Member{ID: "changed", State: Joining, Incarnation: 1})
			other.Start(Member{ID: "other", State: Ready, Incarnation: 1})
			other.Merge([]Member{changed.Self()})
			changed.SetSelf(func(m *Member) { m.State = Ready })
			for range 100 {
				changed.Merge(nil) // the updates go to other nodes or are lost.
			}
			other.Merge(probe(changed, other))
			m, ok := other.View().Find("changed")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, m.State, qt.Equals, Ready)
		}
	})
}

// TestEndedMember guards against limits that are lowered for a node which has ended gracefully as
// for one that may live behind a partition, though nobody has heard that it was leaving.
func TestEndedMember(t *testing.T) {
	l := &List{}
	l.Start(Member{ID: "n1", State: Ready})
	l.Merge([]Member{{ID: "n2", State: Ready, Incarnation: 1}, {ID: "n3", State: Ready, Incarnation: 1}})
	l.Merge([]Member{{ID: "n2", State: Dead, Incarnation: 2}, {ID: "n3", State: Dead, Suspect: true, Incarnation: 1}})
	qt.Check(t, l.View().Members, qt.HasLen, 1)
	qt.Check(t, l.RecentlyFailed(time.Minute), qt.Equals, 1)
}

// TestServingMembers guards against a fleet without anybody to serve while all nodes leave.
func TestServingMembers(t *testing.T) {
	view := &View{Members: []Member{
		{ID: "n1", State: Leaving}, {ID: "n2", State: Leaving, IsClosing: true}, {ID: "n3", State: Leaving, Suspect: true}, {ID: "n4", State: Joining},
	}}
	qt.Check(t, view.Serving(""), qt.DeepEquals, view.Members[:1])
	qt.Check(t, (&View{Members: view.Members[1:]}).Serving(""), qt.DeepEquals, view.Members[1:3])
	qt.Check(t, (&View{Members: append(view.Members, Member{ID: "n5", State: Ready})}).Serving(""), qt.HasLen, 1)
}
