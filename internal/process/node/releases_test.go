package node

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/version/config"
)

// TestReleasesOnce guards against a check of the release of each endpoint, of which a large pool
// has thousands, instead of one for each release.
func TestReleasesOnce(t *testing.T) {
	tree, err := config.Parse(map[string][]byte{
		"root.ini":       []byte("[fleet]\nregion = r\n"),
		"teams/team.ini": []byte("[tier.one]\nrank = 0\n[pool.p]\nkind = model_runner\nmodel = m\n"),
	}, 1)
	qt.Assert(t, err, qt.IsNil)
	pool := tree.Teams[0].Pools[0].ID
	var list []roster.Instance
	for i := range 100 {
		id := fmt.Sprintf("e%02d", i)
		list = append(list, roster.Instance{
			ID: id, Endpoint: ident.Endpoint(id), Pool: pool, Address: id, Zone: "z", Release: ident.Release(fmt.Sprintf("v%d", i%2)),
		})
	}
	n := &Node{}
	n.tree.Store(tree)
	qt.Check(t, n.releasesIn(roster.Build(tree, list, "r"))[pool], qt.ContentEquals, []ident.Release{"v0", "v1"})
}
