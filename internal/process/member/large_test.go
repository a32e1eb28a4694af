package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

const (
	largeFleet = 180
	largeZones = 6
	// spreadTime is how soon an update must have reached all members of the large
	// fleet, which has to have settings in force and endpoints drained within 4 s.
	spreadTime = 4 * time.Second
)

// TestLargeFleet starts a large fleet at once, from a list that names all nodes, and
// checks that every node knows all others soon, that each probes only some of them,
// and that a failure and a state change spread in time.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{lists: map[string]*List{}, cutLinks: map[[2]string]bool{}}
		var mu sync.Mutex
		probed := map[string]map[string]bool{}
		var seeds []Member
		for i := range largeFleet {
			seeds = append(seeds, Member{ID: ident.NodeID(nodeName(i)), PeerAddress: nodeName(i)})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*List
		for i := range largeFleet {
			l := n.add(nodeName(i), seeds)
			l.SetSelf(func(m *Member) { m.Zone = ident.AvailabilityZone(fmt.Sprint("z", i%largeZones)) })
			probe := l.Probe
			l.Probe = func(ctx context.Context, to Member, updates []Member) ([]Member, error) {
				mu.Lock()
				if probed[nodeName(i)] == nil {
					probed[nodeName(i)] = map[string]bool{}
				}
				probed[nodeName(i)][to.PeerAddress] = true
				mu.Unlock()
				return probe(ctx, to, updates)
			}
			all = append(all, l)
		}
		for _, l := range all {
			running.Go(func() { l.Seed(ctx); l.Run(ctx) })
		}
		time.Sleep(2 * SeedInterval)
		checkViews := func(want int) {
			for _, l := range all {
				qt.Check(t, len(l.View().Ready("r")), qt.Equals, want, qt.Commentf("%s", l.self.ID))
			}
		}
		checkViews(largeFleet)

		mu.Lock()
		clear(probed)
		mu.Unlock()
		time.Sleep(20 * time.Second)
		mu.Lock()
		for name, targets := range probed {
			qt.Check(t, len(targets) <= zoneSuccessors+farSuccessors, qt.IsTrue, qt.Commentf("%s: %d", name, len(targets)))
		}
		mu.Unlock()

		all[7].SetSelf(func(m *Member) { m.State = Leaving })
		time.Sleep(spreadTime)
		checkViews(largeFleet - 1)

		var others []string
		for i := 1; i < largeFleet; i++ {
			others = append(others, nodeName(i))
		}
		n.setLinks(true, nodeName(0), others...)
		time.Sleep((zoneSuccessors+farSuccessors)*ProbeInterval + SuspicionTimeout + spreadTime)
		for _, l := range all[1:] {
			_, found := l.View().Find(ident.NodeID(nodeName(0)))
			qt.Check(t, found, qt.IsFalse, qt.Commentf("%s", l.self.ID))
		}
		cancel()
		running.Wait()
	})
}
