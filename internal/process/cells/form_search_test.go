package cells

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// formSeeds is the number of random searches, with the seeds 0, 1 and so on.
const formSeeds = 100

// TestRandomForms lets the number of a pool's endpoints change at random around the cell size and
// the number up to which a pool stays one cell. Nodes see a change at different times, within
// endpointsPropagation or not at all before the next one, start again, and send requests meanwhile.
// It guards against nodes that disagree on the form for good: once all have the same endpoints and
// each has sent a request, all must have the same form, and each cell one owner. At all times, it
// guards against a node that takes its cell for the only one while another node grants lower tiers in
// a zone's cell.
func TestRandomForms(t *testing.T) {
	whole, onlyCells := 0, 0
	for seed := range uint64(formSeeds) {
		runFormFleet(t, nil, func(f *formFleet) {
			random := rand.New(rand.NewPCG(seed, 0))
			pause := func(d time.Duration) {
				for ; d > 0; d -= searchStep {
					time.Sleep(min(d, searchStep))
					synctest.Wait()
					onlyCells += f.checkOnlyCell(seed)
				}
			}
			for range 2 + random.IntN(6) {
				n := 10 + random.IntN(20)
				for _, name := range f.names() {
					m := f.managers[name]
					if random.IntN(8) == 0 {
						m.SetRoster(&roster.View{}) // as a node that has just started.
					}
					if random.IntN(3) > 0 {
						m.SetRoster(f.next(m, n))
					}
					if random.IntN(3) == 0 {
						f.requestAtOwner(f.names()[random.IntN(len(f.managers))])
					}
				}
				pause(time.Duration(random.IntN(400)) * time.Millisecond)
				if random.IntN(2) == 0 {
					pause(endpointsPropagation / 2)
					f.set(n)
					pause(time.Duration(random.IntN(2)) * (onlyCellGuard + time.Second))
				}
			}
			f.set(14 + random.IntN(14))
			pause(onlyCellGuard + time.Second)
			for range 2 {
				for _, name := range f.names() {
					f.requestAtOwner(name)
				}
				pause(time.Second)
			}
			if f.checkAgreed(seed) {
				whole++
			}
		})
	}
	t.Logf("seeds 0 to %d: %d whole, %d times a node had the only cell", formSeeds-1, whole, onlyCells)
	qt.Check(t, whole > 0 && whole < formSeeds && onlyCells > 0, qt.IsTrue)
}

// searchStep is the time between two checks of the search.
const searchStep = 100 * time.Millisecond

// checkOnlyCell checks that no node grants the lower tier in a zone's cell while another one takes
// its cell for the only one. It returns how many nodes do.
func (f *formFleet) checkOnlyCell(seed uint64) int {
	var names []string
	for _, name := range f.names() {
		if f.managers[name].isOnlyCell("t/p") {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return 0
	}
	for name, m := range f.managers {
		for _, lc := range m.localCells() {
			if !roster.IsOfZone(lc.cell.ID) {
				continue
			}
			r := &sched.GrantRequest{Request: "low", Tier: 1, Deadline: time.Now().Add(time.Hour), Wake: func() {}}
			if lc.cell.Submit(r); r.Response.Outcome != sched.Granted {
				lc.cell.Cancel(r)
				continue
			}
			lc.cell.Complete("low", sched.Completion{Unused: true})
			qt.Check(f.t, names, qt.HasLen, 0, qt.Commentf("seed %d: %s grants tier 1 in a cell of zone %v", seed, name, lc.cell.ID))
		}
	}
	return len(names)
}

func (f *formFleet) names() []string {
	var names []string
	for _, m := range f.members.Members {
		names = append(names, m.PeerAddress)
	}
	return names
}

// requestAtOwner sends a request of a node for the first cell of the pool, as an entry node does.
func (f *formFleet) requestAtOwner(name string) {
	m := f.managers[name]
	all := m.Roster().Cells("t/p")
	if len(all) == 0 {
		return
	}
	if owner, ok := m.Owner(all[0].ID); ok && owner.PeerAddress != name && f.request(m, owner, all[0].ID).IsWhole {
		m.LearnWhole("t/p")
	}
}

// checkAgreed checks that all nodes have the same form and that each cell has one owner. It
// reports whether the pool is one cell.
func (f *formFleet) checkAgreed(seed uint64) bool {
	isWhole := f.managers["a"].Roster().IsWhole("t/p")
	owners := map[ident.CellID]int{}
	for name, m := range f.managers {
		qt.Check(f.t, m.Roster().IsWhole("t/p"), qt.Equals, isWhole, qt.Commentf("seed %d: %s", seed, name))
		for _, lc := range m.localCells() {
			owners[lc.cell.ID]++
		}
	}
	want := map[ident.CellID]int{}
	for _, c := range f.managers["a"].Roster().Cells("t/p") {
		want[c.ID] = 1
	}
	qt.Check(f.t, owners, qt.DeepEquals, want, qt.Commentf("seed %d", seed))
	return isWhole
}
