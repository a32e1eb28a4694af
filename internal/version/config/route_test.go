package config

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

func newRoute(name, host, prefix string, pool *Pool) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Shares: []PoolShare{{pool, 1}}}
}

// TestRouteFor checks that the route with the longest matching prefix of the
// host is chosen.
func TestRouteFor(t *testing.T) {
	team := &Team{ID: "t"}
	pool := NewPool("t/p", team)
	tree, err := NewTree(TreeSpec{Version: 3, Team: team, Routes: []*Route{
		newRoute("short", "a", "/x/", pool), newRoute("long", "a", "/x/y/", pool), newRoute("other", "b", "/", pool),
	}})
	qt.Assert(t, err, qt.IsNil)
	for path, want := range map[string]string{
		"/x/1": "short", "/x/y/1": "long", "/x/y": "short", "/x": "", "/z/": "",
	} {
		got := ""
		if r := tree.RouteFor("a", path); r != nil {
			got = r.Name
		}
		qt.Check(t, got, qt.Equals, want, qt.Commentf(path))
	}
	qt.Check(t, tree.RouteFor("b", "/any").Name, qt.Equals, "other")
	qt.Check(t, tree.RouteFor("c", "/x/1") == nil, qt.IsTrue)
}

// TestRouteFindings checks that every invalid route yields a finding.
func TestRouteFindings(t *testing.T) {
	team := &Team{ID: "t"}
	pool := NewPool("t/p", team)
	_, err := NewTree(TreeSpec{File: "f", Team: team, Routes: []*Route{
		newRoute("host", "", "/x/", pool), newRoute("prefix", "a", "/x", pool), newRoute("pool", "a", "/x/", nil),
		{Name: "timeout", Host: "a", Prefix: "/", Shares: []PoolShare{{pool, 1}}},
		{Name: "shares", Host: "a", Prefix: "/", Timeout: time.Second},
	}})
	qt.Assert(t, err, qt.ErrorMatches, `(?s)f:0: \[route.host\]: the host is empty
.*prefix "/x" does not begin and end.*names no known pool.*timeout is missing.*has no pool`)
}

// TestPoolAtWeights checks that requests are divided by the weights of the pools.
func TestPoolAtWeights(t *testing.T) {
	a, b := &Pool{ID: "a"}, &Pool{ID: "b"}
	r := &Route{Shares: []PoolShare{{a, 90}, {b, 10}}}
	for point, want := range map[float64]*Pool{0: a, 0.5: a, 0.899: a, 0.901: b, 0.999: b} {
		qt.Check(t, r.PoolAt(point), qt.Equals, want, qt.Commentf("%v", point))
	}
	r.Shares[1].Weight = 0
	qt.Check(t, r.PoolAt(0.999), qt.Equals, a)
}

// TestTierFor checks that the account's rank takes precedence over the route's,
// and that only tiers with the same account rank share service.
func TestTierFor(t *testing.T) {
	team := &Team{ID: "t"}
	pool := NewPool("t/p", team)
	high := &Account{ID: "t/high", Tier: &Tier{Rank: 0}}
	low := &Account{ID: "t/low", Tier: &Tier{Rank: 1}}
	team.Accounts = []*Account{high, low}
	urgent, relaxed := newRoute("urgent", "a", "/u/", pool), newRoute("relaxed", "a", "/r/", pool)
	relaxed.Rank = 2
	tree, err := NewTree(TreeSpec{Team: team, Routes: []*Route{urgent, relaxed}})
	qt.Assert(t, err, qt.IsNil)
	order := []ident.Tier{
		tree.TierFor(high, urgent).Rank, tree.TierFor(high, relaxed).Rank,
		tree.TierFor(low, urgent).Rank, tree.TierFor(low, relaxed).Rank,
	}
	qt.Assert(t, order, qt.DeepEquals, []ident.Tier{0, 1, 2, 3})
	qt.Check(t, tree.TierFor(high, urgent).GroupEnd, qt.Equals, ident.Tier(1))
	qt.Check(t, tree.TierFor(low, urgent).GroupEnd, qt.Equals, ident.Tier(3))
	qt.Check(t, tree.TierFor(nil, relaxed).Rank, qt.Equals, ident.Tier(4))
}
