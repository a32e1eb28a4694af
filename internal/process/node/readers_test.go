package node

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
)

// TestReadersOfStart guards against a node of a starting fleet that takes itself, or a node that
// follows a reader, for the reader of its zone because its view lacks the reader, and reads the
// store.
func TestReadersOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, now := &Node{}, uint64(time.Now().UnixMilli())
		self := member.Member{ID: "a-01", Zone: "a", Region: "r", Capacity: 8, State: member.Joining}
		n.Process.Name, n.Process.Zone, n.Process.Region = self.ID, self.Zone, self.Region
		n.members.Start(self)
		n.changes.startedAt = time.Now()
		check := func(want string) {
			t.Helper()
			var names []string
			for _, r := range n.readers() {
				names = append(names, string(r.ID))
			}
			qt.Check(t, fmt.Sprint(names), qt.Equals, want)
		}
		check("[]")
		// By their capacities the nodes with the lowest numbers are preferred.
		n.tables.nodes, n.tables.capacities = map[string]roster.Instance{}, map[string]int{}
		var ready []member.Member
		for i := range 14 {
			for _, zone := range []ident.AvailabilityZone{"a", "b"} {
				id := fmt.Sprintf("%s-%02d", zone, i)
				n.tables.nodes[id] = roster.Instance{ID: id, IsNode: true, Zone: zone, Region: "r", PeerAddress: id}
				n.tables.capacities[id] = 9 - min(i, 8)
				if ident.NodeID(id) != self.ID {
					ready = append(ready, member.Member{ID: ident.NodeID(id), Zone: zone, Region: "r", State: member.Ready, Capacity: 9 - min(i, 8), Incarnation: now})
				}
			}
		}
		n.tables.nodesChange++
		check("[a-00 b-00]")
		n.recordAbsent("a-00") // which starts later.
		check("[a-01 b-00]")
		n.members.Merge(ready[:1])
		check("[a-00 b-00]")
		qt.Check(t, n.isReader(), qt.IsFalse)
		n.members.SetSelf(func(m *member.Member) { m.State = member.Ready })
		n.members.Merge(ready[2:]) // lacks b-00.
		check("[a-00 b-00]")
		suspect := ready[0]
		suspect.Suspect = true
		n.members.Merge(ready[1:2])
		check("[a-00 b-00]")
		n.members.Merge([]member.Member{suspect})
		check("[a-01 b-00]")
		qt.Check(t, n.isReader(), qt.IsTrue)
		// By the view of a fleet that runs, b-00 is gone.
		gone := ready[1]
		gone.State = member.Dead
		n.members.Merge([]member.Member{gone})
		check("[a-01 b-01]")
		time.Sleep(startViewTime)
		n.tables.nodes["b-99"] = roster.Instance{ID: "b-99", Zone: "b", Region: "r", PeerAddress: "b-99"}
		n.tables.capacities["b-99"] = 99
		n.tables.nodesChange++
		check("[a-01 b-01]")
		// It starts again while the others run.
		n.changes.startedAt = time.Now()
		n.members.SetSelf(func(*member.Member) {})
		check("[a-01 b-01]")
		qt.Check(t, n.changes.listedReaders.Load().readers, qt.IsNil)
	})
}

// TestNextReaderGone guards against a follower that goes without new rows while it dials a reader
// that is gone, after another one has failed during the start of the fleet.
func TestNextReaderGone(t *testing.T) {
	for name, test := range map[string]struct {
		age         time.Duration
		wantReading bool
	}{
		"while it starts": {wantReading: true},
		"later":           {age: startViewTime},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := &Node{Log: log.New(io.Discard), Open: func(ctx context.Context, _ string) (*link.Stream, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}}
			n.changes.startedAt = time.Now().Add(-test.age)
			n.changes.isFollowing.Store(true)
			failed := make(chan error)
			go func() { failed <- n.followReader(t.Context(), member.Member{ID: "n2"}) }()
			time.Sleep(nextReaderWait)
			synctest.Wait()
			qt.Check(t, n.IsReadingStore(), qt.Equals, test.wantReading, qt.Commentf("%s", name))
			qt.Check(t, <-failed, qt.IsNotNil, qt.Commentf("%s", name))
		})
	}
}
