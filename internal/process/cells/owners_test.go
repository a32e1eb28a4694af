package cells

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
)

// TestPreferenceList checks that the nodes of a cell's zone go first, and among them
// those with much capacity, and that other nodes follow where the zone has too few.
func TestPreferenceList(t *testing.T) {
	var ready []member.Member
	for zone, capacities := range map[ident.AvailabilityZone][]int{"a": {800, 192, 192, 800}, "b": {192, 192}, "c": {400, 0}} {
		for i, capacity := range capacities {
			ready = append(ready, member.Member{ID: ident.NodeID(fmt.Sprint(zone, i)), Zone: zone, Capacity: capacity})
		}
	}
	for zone, want := range map[ident.AvailabilityZone][]string{
		"a": {"a800", "a800", "a192", "a192"},
		"b": {"b192", "b192", "a800", "a800"},
		"c": {"c400", "c0", "a800", "a800"},
		"":  {"a800", "a800", "c400", "?"},
	} {
		list := preferenceList(ready, ident.CellID{Pool: "p", Index: 7}, zone)
		qt.Assert(t, list, qt.HasLen, len(want))
		counts := map[string]int{}
		for i, m := range list {
			got := fmt.Sprint(m.Zone, m.Capacity)
			counts[got]++
			if zone != "" {
				qt.Check(t, got, qt.Equals, want[i], qt.Commentf("zone %q, place %d", zone, i))
			}
		}
		if zone == "" {
			qt.Check(t, counts["a800"], qt.Equals, 2)
			qt.Check(t, counts["c400"], qt.Equals, 1)
		}
	}
}

// TestOwnerOfWholePoolStays checks that the owner of a cell without a zone is a node with much
// capacity, and that the cell stays there when another node fails or a small one joins. The node
// with the most capacity is left out: the others are measured by it.
func TestOwnerOfWholePoolStays(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	ready := []member.Member{{ID: "largest", Zone: "0", Capacity: 800}}
	for i := range 110 {
		m := member.Member{ID: ident.NodeID(fmt.Sprint("n", i)), Zone: ident.AvailabilityZone(fmt.Sprint(i % 3)), Capacity: 130 + random.IntN(660)}
		ready = append(ready, m)
	}
	for k := range 20 {
		id := ident.CellID{Pool: ident.PoolID(fmt.Sprint("p", k))}
		owner := preferenceList(ready, id, "")[0]
		qt.Check(t, owner.Capacity >= 400, qt.IsTrue)
		for i := 1; i < len(ready); i++ {
			if ready[i].ID == owner.ID {
				continue
			}
			rest := slices.Concat(ready[:i], ready[i+1:])
			qt.Assert(t, preferenceList(rest, id, "")[0].ID, qt.Equals, owner.ID)
			small := member.Member{ID: ident.NodeID(fmt.Sprint("s", i)), Capacity: 390}
			qt.Assert(t, preferenceList(append(rest, small), id, "")[0].ID, qt.Equals, owner.ID)
		}
	}
}

// TestCandidates checks that joining members can own cells only while they are more
// than the ready ones.
func TestCandidates(t *testing.T) {
	for _, test := range []struct{ ready, joining, leaving, want int }{
		{1, 0, 0, 1}, {1, 100, 3, 101}, {50, 51, 0, 101}, {51, 50, 0, 51}, {100, 1, 2, 100},
	} {
		v := &member.View{}
		for state, n := range map[member.State]int{member.Ready: test.ready, member.Joining: test.joining, member.Leaving: test.leaving} {
			for i := range n {
				v.Members = append(v.Members, member.Member{ID: ident.NodeID(fmt.Sprint(state, i)), Region: "r", State: state})
			}
		}
		qt.Check(t, candidates(v, "r"), qt.HasLen, test.want, qt.Commentf("%+v", test))
		qt.Check(t, candidates(v, "other"), qt.HasLen, 0)
	}
}

// TestIdleSlots checks that the cell with the most free slots is taken until it has
// too few, that reports expire, and that cells of other pools don't count.
func TestIdleSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	cell := func(pool ident.PoolID, i int) ident.CellID { return ident.CellID{Pool: pool, Index: i} }
	s := &idleSlots{}
	s.set(cell("p", 1), 3, now)
	s.set(cell("p", 2), 4, now)
	s.set(cell("p", 3), 90, now.Add(-time.Second))
	s.set(cell("q", 4), 90, now)
	taken := map[ident.CellID]int{}
	for {
		to, ok := s.take(cell("p", 9), now)
		if !ok {
			break
		}
		taken[to]++
	}
	qt.Check(t, taken, qt.DeepEquals, map[ident.CellID]int{cell("p", 1): 2, cell("p", 2): 3})
	_, ok := s.take(cell("q", 4), now)
	qt.Check(t, ok, qt.IsFalse)
}

// TestIdleReceivers guards against reports from each cell of a large pool to each other one, and
// against cells that hear of no free slots in some availability zone.
func TestIdleReceivers(t *testing.T) {
	for _, size := range []int{1, 2, maxIdleReceivers + 1, maxIdleReceivers + 2, 48, 128, 131} {
		cells := make([]roster.Cell, size)
		for i := range cells {
			cells[i].ID = ident.CellID{Pool: "p", Index: 3*i + 1}
			cells[i].Zone = ident.AvailabilityZone([]string{"a", "b", "c", "d"}[4*i/size])
		}
		received := map[ident.CellID]int{}
		zones := map[ident.CellID]map[ident.AvailabilityZone]bool{}
		for _, from := range cells {
			for _, to := range idleReceivers(cells, from.ID) {
				qt.Assert(t, to.ID, qt.Not(qt.Equals), from.ID)
				received[to.ID]++
				if zones[to.ID] == nil {
					zones[to.ID] = map[ident.AvailabilityZone]bool{}
				}
				zones[to.ID][from.Zone] = true
			}
		}
		for _, c := range cells {
			qt.Check(t, received[c.ID], qt.Equals, min(size-1, maxIdleReceivers), qt.Commentf("%d cells", size))
			if size > maxIdleReceivers {
				qt.Check(t, len(zones[c.ID]), qt.Equals, 4, qt.Commentf("%d cells", size))
			}
		}
	}
}

// TestPreferenceListOfMany guards against another order of the nodes of a cell than that of
// member.RankedByCapacity, by which account coordinators are chosen and earlier versions of the
// program rank the nodes of cells.
func TestPreferenceListOfMany(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for round := range 200 {
		var ready, own, other []member.Member
		for i := range random.IntN(40) {
			m := member.Member{ID: ident.NodeID(fmt.Sprint("n", i)), Zone: ident.AvailabilityZone(fmt.Sprint(random.IntN(9))), Capacity: 100 * random.IntN(9)}
			ready = append(ready, m)
			if m.Zone == "0" {
				own = append(own, m)
			} else {
				other = append(other, m)
			}
		}
		id := ident.CellID{Pool: "p", Index: round}
		want := slices.Concat(member.RankedByCapacity(own, id.String()), member.RankedByCapacity(other, id.String()))
		want = want[:min(len(want), maxPreferred)]
		qt.Assert(t, preferenceList(ready, id, "0"), qt.HasLen, len(want), qt.Commentf("round %d of seed 7", round))
		for i, m := range preferenceList(ready, id, "0") {
			qt.Assert(t, m, qt.Equals, want[i], qt.Commentf("round %d of seed 7", round))
		}
	}
}
