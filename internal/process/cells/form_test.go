package cells

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

// formFleet is a fleet of managers with one pool, t/p, whose cells have 16 endpoints.
type formFleet struct {
	t        *testing.T
	tree     *config.Tree
	members  member.View
	managers map[string]*Manager
	// unresponsive is the address of a node that answers nothing.
	unresponsive atomic.Pointer[string]
	inFlight     map[string][]sched.InFlight
}

// runFormFleet starts the managers a to e, each with a view in which the pool has had the given
// number of endpoints before, and calls run.
func runFormFleet(t *testing.T, before map[string]int, run func(*formFleet)) {
	synctest.Test(t, func(t *testing.T) {
		tree := zoneTree(t)
		f := &formFleet{t: t, tree: tree, managers: map[string]*Manager{}, inFlight: map[string][]sched.InFlight{}}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			f.members.Members = append(f.members.Members, member.Member{ID: ident.NodeID(name), PeerAddress: name, Zone: "a", State: member.Ready})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, self := range f.members.Members {
			f.add(self)
		}
		for _, m := range f.managers {
			running.Go(func() { m.Run(ctx) })
		}
		synctest.Wait()
		for name, m := range f.managers {
			if before[name] > 0 {
				m.storeRoster(f.next(m, before[name]))
			}
		}
		run(f)
		cancel()
		running.Wait()
	})
}

func (f *formFleet) add(self member.Member) {
	m := &Manager{
		Self: func() member.Member { return self }, Members: func() *member.View { return &f.members },
		Tree: func() *config.Tree { return f.tree }, Clock: &clock.Clock{},
		InFlight: func(ident.CellID) []sched.InFlight { return f.inFlight[self.PeerAddress] },
	}
	var uniting sync.Mutex
	m.Unite = func(pool ident.PoolID) {
		uniting.Lock()
		defer uniting.Unlock()
		m.SetRoster(m.Roster().Unite(pool))
	}
	m.Open = func(ctx context.Context, address string) (*link.Stream, error) {
		if name := f.unresponsive.Load(); name != nil && *name == address {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if f.managers[address] == nil {
			return nil, errors.New("unreachable")
		}
		near, far := net.Pipe()
		mux := &link.Mux{}
		f.managers[address].Register(mux)
		go mux.Serve(ctx, link.NewStream(far))
		return link.NewStream(near), nil
	}
	f.managers[self.PeerAddress] = m
}

// next returns the next view of a manager with n endpoints in three zones.
func (f *formFleet) next(m *Manager, n int) *roster.View {
	return m.Roster().Next(f.tree, zoneInstances(n), "")
}

// zoneTree returns settings with the pool t/p and two tiers.
func zoneTree(t *testing.T) *config.Tree {
	team := &config.Team{}
	team.Pools = []*config.Pool{config.NewPool("t/p", team)}
	tree, err := config.NewTree(config.TreeSpec{Version: 1, Team: team})
	qt.Assert(t, err, qt.IsNil)
	team.Tiers = []*config.Tier{{Rank: 0}, {Rank: 1}}
	return tree
}

// zoneInstances returns n endpoints of the pool t/p in three zones.
func zoneInstances(n int) []roster.Instance {
	var list []roster.Instance
	for i := range n {
		list = append(list, roster.Instance{
			Endpoint: ident.Endpoint(fmt.Sprint("e", i)), Address: "x", Pool: "t/p", Slots: 2,
			Zone: ident.AvailabilityZone([]string{"a", "b", "c"}[i%3]),
		})
	}
	return list
}

// set gives each manager the view with n endpoints.
func (f *formFleet) set(n int) {
	for _, m := range f.managers {
		m.SetRoster(f.next(m, n))
	}
}

// check checks that the pool is one cell at all nodes, and that one of them runs it and none
// runs a cell of the other form.
func (f *formFleet) check() {
	owners := 0
	for name, m := range f.managers {
		qt.Check(f.t, m.Roster().IsWhole("t/p"), qt.IsTrue, qt.Commentf(name))
		for _, lc := range m.localCells() {
			qt.Check(f.t, lc.cell.ID, qt.Equals, ident.CellID{Pool: "t/p"}, qt.Commentf(name))
			owners++
		}
	}
	qt.Check(f.t, owners, qt.Equals, 1)
}

// TestNodesAgreeOnForm guards against two schedulers of the same endpoints for longer than a
// moment: nodes that have seen other numbers of endpoints disagree on whether a pool of 20
// endpoints is one cell. They must agree once each has a request, whichever of the nodes know
// that it is one cell.
func TestNodesAgreeOnForm(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for subset := 1; subset < 1<<len(names); subset++ {
		before := map[string]int{}
		for i, name := range names {
			if subset&(1<<i) != 0 {
				before[name] = 10
			}
		}
		runFormFleet(t, before, func(f *formFleet) {
			f.set(20)
			time.Sleep(time.Second)
			for _, name := range names {
				f.requestAtOwner(name)
			}
			time.Sleep(time.Second)
			f.check()
		})
	}
}

// TestRequestSpreadsForm checks that a grant request brings nodes to agree: the pool has been
// divided for long when one node, which owns nothing, has a view in which it is one cell.
func TestRequestSpreadsForm(t *testing.T) {
	runFormFleet(t, nil, func(f *formFleet) {
		f.set(20)
		time.Sleep(time.Second)
		id := ident.CellID{Pool: "t/p"}
		owner, _ := f.managers["a"].Owner(id)
		for name, m := range f.managers {
			if name == owner.PeerAddress {
				continue
			}
			qt.Check(t, m.Roster().IsDivided("t/p"), qt.IsTrue)
			m.SetRoster(f.next(m, 10))
			m.SetRoster(f.next(m, 20))
			f.request(m, owner, id)
			break
		}
		time.Sleep(time.Second)
		f.check()
	})
}

// TestResponseTellsForm checks that a node whose request for a zone's cell reaches a node for
// which the pool is one cell is told so.
func TestResponseTellsForm(t *testing.T) {
	runFormFleet(t, nil, func(f *formFleet) {
		m := f.managers["a"]
		m.SetRoster(f.next(m, 20))
		zone := m.Roster().Cells("t/p")[0].ID
		m.SetRoster(f.next(m, 10))
		response := f.request(f.managers["b"], f.members.Members[0], zone)
		qt.Check(t, response.IsWhole, qt.IsTrue)
		qt.Check(t, sched.Outcome(response.Outcome), qt.Equals, sched.Moved)
	})
}

// request sends a grant request for a cell and returns the response.
func (f *formFleet) request(from *Manager, to member.Member, id ident.CellID) wire.GrantResponse {
	stream, err := from.Open(f.t.Context(), to.PeerAddress)
	qt.Assert(f.t, err, qt.IsNil)
	defer stream.Close() //nolint:errcheck // the request is over.
	r := &sched.GrantRequest{Request: "r", Node: from.Self().ID, Deadline: time.Now().Add(time.Second)}
	qt.Assert(f.t, stream.Send(wire.KindGrantRequest, wire.FromGrantRequest(r, id, 1, time.Now())), qt.IsNil)
	for {
		kind, body, err := stream.Receive()
		qt.Assert(f.t, err, qt.IsNil)
		if kind == wire.KindGrantResponse {
			response, err := link.Decode[wire.GrantResponse](body)
			qt.Assert(f.t, err, qt.IsNil)
			return response
		}
	}
}

// TestUnitedPoolShedsInOrder guards against a higher tier that is shed before a lower one by a
// node that takes its cell of a pool for the only one, while other nodes may grant lower tiers in
// cells of the pool's zones. Such a node needs the acknowledgements of all members. A cell has 16
// endpoints, and a pool that is one cell stays one up to 24.
func TestUnitedPoolShedsInOrder(t *testing.T) {
	const long = time.Minute
	for _, test := range []struct {
		name   string
		before map[string]int
		change func(*formFleet, *Manager)
		want   bool
	}{
		{"small for long", map[string]int{"a": 10}, func(*formFleet, *Manager) { time.Sleep(long) }, true},
		{"just started", nil, func(f *formFleet, m *Manager) { m.SetRoster(f.next(m, 10)) }, false},
		{"started within the guard", nil, func(f *formFleet, m *Manager) {
			m.SetRoster(f.next(m, 10))
			time.Sleep(onlyCellGuard - time.Millisecond)
		}, false},
		{"started before the guard", nil, func(f *formFleet, m *Manager) {
			m.SetRoster(f.next(m, 10))
			time.Sleep(onlyCellGuard + time.Millisecond)
		}, true},
		{"endpoints unknown for a moment", map[string]int{"a": 10}, func(f *formFleet, m *Manager) {
			time.Sleep(long)
			m.SetRoster(&roster.View{})
			m.SetRoster(f.next(m, 10))
		}, false},
		{"divided, then small", map[string]int{"a": 30}, func(f *formFleet, m *Manager) {
			m.SetRoster(f.next(m, 16))
			time.Sleep(endpointsPropagation + time.Millisecond)
		}, false},
		{"never divided, above the cell size", map[string]int{"a": 10}, func(f *formFleet, m *Manager) {
			time.Sleep(long)
			m.SetRoster(f.next(m, 17))
			time.Sleep(long)
		}, false},
		{"the most endpoints of one cell", map[string]int{"a": 10}, func(f *formFleet, m *Manager) {
			m.SetRoster(f.next(m, 24))
			time.Sleep(long)
		}, false},
		{"more endpoints, other nodes only", map[string]int{"a": 10, "b": 10, "c": 10, "d": 10, "e": 10}, func(f *formFleet, _ *Manager) {
			time.Sleep(long)
			for _, name := range f.names()[1:] {
				f.managers[name].SetRoster(f.next(f.managers[name], 30))
			}
			time.Sleep(time.Second)
		}, false},
		{"several cells without zones, other nodes only", map[string]int{"a": 10, "b": 10, "c": 10, "d": 10, "e": 10}, func(f *formFleet, _ *Manager) {
			time.Sleep(long)
			list := zoneInstances(30)
			for i := range list {
				list[i].Zone = ""
			}
			for _, name := range f.names()[1:] {
				f.managers[name].SetRoster(roster.Build(f.tree, list, ""))
			}
			time.Sleep(time.Second)
		}, false},
		{"divided, in one zone", nil, func(f *formFleet, m *Manager) {
			list := zoneInstances(30)
			for i := range list {
				list[i].Zone = "a"
			}
			m.SetRoster(m.Roster().Next(f.tree, list, ""))
			time.Sleep(long)
		}, false},
	} {
		runFormFleet(t, test.before, func(f *formFleet) {
			m := f.managers["a"]
			test.change(f, m)
			qt.Check(t, m.canShed("t/p", 0), qt.IsFalse, qt.Commentf("%s: without a closure", test.name))
			now := time.Now()
			m.admission.CloseLower("t/p", 0, now)
			for _, request := range m.admission.Due(now) {
				m.admission.Acknowledge("a", request, now)
			}
			qt.Check(t, m.canShed("t/p", 0), qt.Equals, test.want, qt.Commentf(test.name))
		})
	}
}

// TestRetiredCellTellsNoForm guards against a pool that becomes one cell though no node has it as
// one: the queries for the requests of a cell that was retired when the pool was divided still have
// the index of the one cell.
func TestRetiredCellTellsNoForm(t *testing.T) {
	runFormFleet(t, nil, func(f *formFleet) {
		for _, n := range []int{10, 30, 20} {
			f.set(n)
			time.Sleep(time.Minute)
		}
		retired := &sched.Cell{ID: ident.CellID{Pool: "t/p"}, Pool: f.tree.Pool("t/p")}
		m := f.managers["a"]
		f.inFlight["b"] = []sched.InFlight{{Request: "r", Node: "b", Endpoint: "e0"}}
		request := &sched.GrantRequest{Request: "r", Node: "b", Deadline: time.Now().Add(time.Minute)}
		qt.Check(t, m.endIfNotInFlight(f.t.Context(), retired, request), qt.IsFalse)
		time.Sleep(time.Minute)
		for name, m := range f.managers {
			qt.Check(t, m.Roster().IsDivided("t/p"), qt.IsTrue, qt.Commentf(name))
		}
	})
}

// TestStandbyNodeTellsForm guards against two schedulers of the same endpoints for longer while
// the owner of the one cell does not answer: a node with a zone's cell then asks the nodes that
// stand in.
func TestStandbyNodeTellsForm(t *testing.T) {
	runFormFleet(t, nil, func(f *formFleet) {
		f.set(20)
		time.Sleep(time.Second)
		list := f.managers["a"].PreferenceList(ident.CellID{Pool: "t/p"})
		f.unresponsive.Store(&list[0].PeerAddress)
		standby := f.managers[list[1].PeerAddress]
		standby.SetRoster(f.next(standby, 10))
		standby.roster.Store(f.next(standby, 20)) // its own take-over would tell the others.
		time.Sleep(askFormInterval + 2*peerCallTimeout)
		told := 0
		for _, node := range f.members.Members {
			m := f.managers[node.PeerAddress]
			for _, c := range f.next(m, 30).All() {
				if owner, ok := m.Owner(c.ID); ok && owner.ID == node.ID && node.ID != list[0].ID {
					qt.Check(t, m.Roster().IsWhole("t/p"), qt.IsTrue, qt.Commentf(node.PeerAddress))
					told++
				}
			}
		}
		qt.Check(t, told > 0, qt.IsTrue)
	})
}

// TestOtherFormIsAdopted guards against endpoints that get twice their work when the form of
// their pool changes: the new cell counts what the cells of the other form have in flight.
func TestOtherFormIsAdopted(t *testing.T) {
	runFormFleet(t, nil, func(f *formFleet) {
		f.set(20)
		time.Sleep(time.Second)
		synctest.Wait()
		f.inFlight["c"] = []sched.InFlight{{Request: "r1", Node: "c", Endpoint: "e0"}, {Request: "r2", Node: "c", Endpoint: "e1"}}
		f.set(16)
		time.Sleep(500 * time.Millisecond)
		f.check()
		for _, m := range f.managers {
			if cell := m.LocalCell(ident.CellID{Pool: "t/p"}); cell != nil {
				qt.Check(t, cell.Load().InFlight, qt.Equals, 2)
			}
		}
	})
}

// TestPreviousCellsInOrder guards against older estimates of an endpoint that replace newer ones
// when the form of a pool has changed several times.
func TestPreviousCellsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Manager{retired: map[ident.CellID]*sched.Cell{}, retiredAt: map[ident.CellID]time.Time{}}
		m.storeRoster(&roster.View{})
		zone := roster.Build(zoneTree(t), zoneInstances(40), "").Cells("t/p")
		want := []*sched.Cell{}
		for i := range zone {
			id := zone[len(zone)-1-i].ID
			c := &sched.Cell{ID: id}
			m.retired[id], m.retiredAt[id] = c, time.Now()
			want = append(want, c)
			time.Sleep(time.Millisecond)
		}
		got := m.previousCells(ident.CellID{Pool: "t/p"})
		qt.Assert(t, len(got) > 2 && len(got) == len(want), qt.IsTrue)
		for i := range got {
			qt.Check(t, got[i] == want[i], qt.IsTrue, qt.Commentf("%d", i))
		}
	})
}

// TestCurrentCell checks that a late completion for a zone's cell goes to the one cell once the
// pool is united, and guards against completions that a node without the cell acknowledges.
func TestCurrentCell(t *testing.T) {
	m := &Manager{}
	tree := zoneTree(t)
	divided := roster.Build(tree, zoneInstances(20), "")
	m.storeRoster(divided)
	zone := divided.Cells("t/p")[0].ID
	qt.Check(t, m.CurrentCell(zone), qt.Equals, zone)
	m.storeRoster(divided.Unite("t/p"))
	qt.Check(t, m.CurrentCell(zone), qt.Equals, ident.CellID{Pool: "t/p"})
}
