package fleet

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/tool/load"
	"goldcrestwick/internal/version/config"
)

// TestExamples runs both examples whole: every endpoint that they name, six
// entry nodes and a short workload of their profile, in which every answer must
// be whole, its own and in time.
func TestExamples(t *testing.T) {
	for name, profile := range load.Profiles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tree, err := config.Load(os.DirFS("../../../examples/"+name), 1)
				qt.Assert(t, err, qt.IsNil)
				net := &pipes.Net{}
				f, err := Start(Options{Tree: tree, Nodes: 6, Network: InMemory(net)})
				qt.Assert(t, err, qt.IsNil)
				g := &load.Generator{
					Profile: profile, Rate: 10, Length: 5 * time.Second, Seed: 1, Dial: net.Dial(callerHost),
					Key: func(account string) string { return "example-key-" + profile.Team + "-" + account },
				}
				for _, n := range f.Nodes {
					g.Nodes = append(g.Nodes, n.Address)
				}
				report := g.Run(t.Context())
				f.Stop()
				time.Sleep(lastTimeout)
				qt.Check(t, report.AllWhole(), qt.IsTrue, qt.Commentf("%v", report.Failures))
				for _, tier := range report.Tiers {
					qt.Check(t, tier.InTime, qt.Equals, tier.Offered, qt.Commentf(tier.Tier))
				}
			})
		})
	}
}
