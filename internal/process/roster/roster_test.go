package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

// zonePools holds numbers of endpoints by pool and availability zone.
type zonePools map[ident.PoolID]map[string]int

// testRegion is a region with the pools t/big and t/small, whose cells have 16 endpoints.
type testRegion struct {
	t    *testing.T
	tree *config.Tree
}

func newTestRegion(t *testing.T) testRegion {
	team := &config.Team{}
	team.Pools = []*config.Pool{config.NewPool("t/big", team), config.NewPool("t/small", team)}
	tree, err := config.NewTree(config.TreeSpec{Version: 1, Team: team})
	qt.Assert(t, err, qt.IsNil)
	return testRegion{t, tree}
}

// next returns the view after previous, and checks that each cell of a zone has only
// endpoints of that zone and that the endpoints of each cell are ordered.
func (r testRegion) next(previous *View, pools zonePools) *View {
	specs := map[ident.PoolID][]sched.EndpointSpec{}
	for pool, zones := range pools {
		for zone, n := range zones {
			for i := range n {
				id := ident.Endpoint(fmt.Sprint(pool, zone, i))
				specs[pool] = append(specs[pool], sched.EndpointSpec{ID: id, Zone: ident.AvailabilityZone(zone)})
			}
		}
	}
	v := previous.next(r.tree, specs)
	for _, c := range v.All() {
		qt.Check(r.t, v.Zone(c.ID), qt.Equals, c.Zone)
		qt.Check(r.t, slices.IsSortedFunc(c.Endpoints, func(a, b sched.EndpointSpec) int { return cmp.Compare(a.ID, b.ID) }), qt.IsTrue)
		for _, e := range c.Endpoints {
			qt.Check(r.t, c.Zone == "" || e.Zone == c.Zone, qt.IsTrue)
		}
	}
	return v
}

// counts returns the numbers of endpoints by cell and zone.
func counts(v *View) map[string]int {
	counts := map[string]int{}
	for _, c := range v.All() {
		counts[fmt.Sprint(c.ID, c.Zone)] += len(c.Endpoints)
	}
	return counts
}

// TestZoneCells checks that a pool with more endpoints than a cell is divided by availability
// zone, and that the cells of a zone keep their identifiers when another zone gains or loses
// endpoints.
func TestZoneCells(t *testing.T) {
	r := newTestRegion(t)
	build := func(big map[string]int) map[string]int { return counts(r.next(nil, zonePools{"t/big": big})) }
	qt.Check(t, build(map[string]int{"a": 8, "b": 8}), qt.DeepEquals, map[string]int{"t/big#0": 16})
	large := build(map[string]int{"a": 12, "b": 10})
	qt.Check(t, large, qt.HasLen, 2)
	for id, n := range build(map[string]int{"a": 12, "b": 6, "c": 5}) {
		if before, ok := large[id]; ok && id[len(id)-1] == 'a' {
			qt.Check(t, n, qt.Equals, before, qt.Commentf(id))
			delete(large, id)
		}
	}
	qt.Check(t, large, qt.HasLen, 1)
}

// TestSmallPoolsAreWhole guards against cells of one endpoint: in a region with a large pool,
// which is divided by availability zone, a small pool is one cell without a zone.
func TestSmallPoolsAreWhole(t *testing.T) {
	r := newTestRegion(t)
	v := r.next(nil, zonePools{"t/big": {"a": 20, "b": 20}, "t/small": {"a": 1, "b": 1, "c": 1}})
	qt.Check(t, v.IsDivided("t/big"), qt.IsTrue)
	qt.Check(t, v.IsWhole("t/small"), qt.IsTrue)
	qt.Check(t, v.Cells("t/small"), qt.HasLen, 1)
	qt.Check(t, v.Cells("t/small")[0].ID, qt.Equals, ident.CellID{Pool: "t/small"})
	qt.Check(t, v.Cells("t/small")[0].Endpoints, qt.HasLen, 3)
}

// TestFormHasHysteresis checks that the form of a pool does not change with each endpoint that
// joins or leaves near the cell size: with 16 endpoints to a cell, one cell stays one up to
// 24 endpoints, and zones' cells stay until there are 16.
func TestFormHasHysteresis(t *testing.T) {
	r := newTestRegion(t)
	var v *View
	var forms []string
	for _, n := range []int{15, 16, 17, 16, 17, 24, 25, 24, 17, 16, 17, 0, 17} {
		zones := map[string]int{"a": n / 2, "b": n - n/2}
		v = r.next(v, zonePools{"t/big": zones})
		form := "none"
		switch {
		case v.IsWhole("t/big"):
			form = "whole"
		case v.IsDivided("t/big"):
			form = "divided"
		}
		forms = append(forms, fmt.Sprint(n, form))
	}
	qt.Check(t, strings.Join(forms, " "), qt.Equals,
		"15whole 16whole 17whole 16whole 17whole 24whole 25divided 24divided 17divided 16whole 17whole 0none 17divided")
}

// TestUnite checks that a divided pool becomes one cell with the same endpoints where its
// number of endpoints permits it, that other pools are left alone, and that it stays one.
func TestUnite(t *testing.T) {
	r := newTestRegion(t)
	pools := zonePools{"t/big": {"a": 20, "b": 20}, "t/small": {"a": 12, "b": 12}}
	v := r.next(nil, pools)
	qt.Check(t, v.IsDivided("t/small"), qt.IsTrue)
	qt.Check(t, v.CanUnite("t/big"), qt.IsFalse)
	qt.Check(t, v.Unite("t/big"), qt.Equals, v)
	united := v.Unite("t/small")
	qt.Check(t, v.IsDivided("t/small"), qt.IsTrue, qt.Commentf("a view is immutable"))
	qt.Check(t, united.IsWhole("t/small"), qt.IsTrue)
	qt.Check(t, united.CanUnite("t/small"), qt.IsFalse)
	next := r.next(united, pools)
	qt.Check(t, counts(next), qt.DeepEquals, counts(united))
	qt.Check(t, united.Cells("t/small"), qt.DeepEquals, next.Cells("t/small"))
	for _, c := range v.Cells("t/small") {
		qt.Check(t, united.Zone(c.ID), qt.Equals, ident.AvailabilityZone(""))
		qt.Check(t, IsOtherForm(c.ID, united.Cells("t/small")[0].ID), qt.IsTrue)
	}
}
