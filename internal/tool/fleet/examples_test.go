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

// TestExamples starts each example deployment with all its endpoints and six
// entry nodes, and sends a short workload of its profile. Every request must get
// the complete answer to its own prompt within its deadline.
func TestExamples(t *testing.T) {
	for name, profile := range load.Profiles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tree, err := config.Load(os.DirFS("../../../examples/"+name), 1)
				qt.Assert(t, err, qt.IsNil)
				net := &pipes.Network{}
				f, err := Start(Options{Tree: tree, Nodes: 6, Network: InMemory(net)})
				qt.Assert(t, err, qt.IsNil)
				g := &load.Generator{
					Profile: profile, Rate: 10, Duration: 5 * time.Second, Seed: 1, Dial: net.Dial(callerHost),
					APIKey: func(account string) string { return "example-key-" + profile.Team + "-" + account },
				}
				for _, n := range f.Nodes {
					g.Nodes = append(g.Nodes, n.Address)
				}
				report := g.Run(t.Context())
				f.Stop()
				time.Sleep(cleanupTime)
				qt.Check(t, report.AllComplete(), qt.IsTrue, qt.Commentf("%v", report.Failures))
				for _, tier := range report.Tiers {
					qt.Check(t, tier.InTime, qt.Equals, tier.Offered, qt.Commentf(tier.Tier))
				}
			})
		})
	}
}
