package roster

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

// TestZoneCells checks that a region is divided by availability zone once its largest
// pool has more endpoints than a cell, and that the cells of a zone keep their
// identifiers when another zone gains or loses endpoints.
func TestZoneCells(t *testing.T) {
	team := &config.Team{}
	team.Pools = []*config.Pool{config.NewPool("t/big", team), config.NewPool("t/small", team)}
	tree, err := config.NewTree(config.TreeSpec{Version: 1, Team: team})
	qt.Assert(t, err, qt.IsNil)
	build := func(perZone map[string]int) map[string]int {
		specs := map[ident.PoolID][]sched.EndpointSpec{}
		for zone, n := range perZone {
			for i := range n {
				specs["t/big"] = append(specs["t/big"], sched.EndpointSpec{ID: ident.Endpoint(fmt.Sprint(zone, i)), Zone: ident.AvailabilityZone(zone)})
			}
			specs["t/small"] = append(specs["t/small"], sched.EndpointSpec{ID: ident.Endpoint("s" + zone), Zone: ident.AvailabilityZone(zone)})
		}
		v := buildView(tree, specs)
		counts := map[string]int{}
		for _, c := range v.All() {
			counts[fmt.Sprint(c.ID, c.Zone)] += len(c.Endpoints)
			qt.Check(t, v.Zone(c.ID), qt.Equals, c.Zone)
			for _, e := range c.Endpoints {
				qt.Check(t, c.Zone == "" || e.Zone == c.Zone, qt.IsTrue)
			}
		}
		return counts
	}
	qt.Check(t, build(map[string]int{"a": 8, "b": 8}), qt.DeepEquals, map[string]int{"t/big#0": 16, "t/small#0": 2})
	large := build(map[string]int{"a": 12, "b": 10})
	qt.Check(t, large, qt.HasLen, 4)
	for id, n := range build(map[string]int{"a": 12, "b": 6, "c": 5}) {
		if before, ok := large[id]; ok && id[len(id)-1] == 'a' {
			qt.Check(t, n, qt.Equals, before, qt.Commentf(id))
			delete(large, id)
		}
	}
	qt.Check(t, large, qt.HasLen, 2)
}
