package cells

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

// TestSheddingBesideReconcile guards against a deadlock: a cell asks with its lock held whether it
// can shed, while Reconcile configures the cell with the manager's lock held.
func TestSheddingBesideReconcile(t *testing.T) {
	team := &config.Team{Tiers: []*config.Tier{{Rank: 0}, {Rank: 1}}}
	pool := config.NewPool("t/p", team)
	pool.QueueRequests = 2
	team.Pools = []*config.Pool{pool}
	tree, err := config.NewTree(config.TreeSpec{Version: 1, Team: team})
	qt.Assert(t, err, qt.IsNil)
	self := member.Member{ID: "a", State: member.Ready}
	view := &member.View{Members: []member.Member{self}}
	m := &Manager{
		Self: func() member.Member { return self }, Members: func() *member.View { return view },
		Tree: func() *config.Tree { return tree }, Clock: &clock.Clock{},
	}
	m.SetRoster(roster.Build(tree, []roster.Instance{{Endpoint: "e", Pool: "t/p", Address: "e", Slots: 1}}, ""))
	cell := m.LocalCell(ident.CellID{Pool: "t/p"})
	qt.Assert(t, cell != nil, qt.IsTrue)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			cell.Submit(&sched.GrantRequest{Request: ident.RequestID(fmt.Sprint(i)), Deadline: time.Now().Add(time.Minute), Wake: func() {}})
		}
	})
	running.Go(func() {
		for ctx.Err() == nil {
			m.Reconcile()
		}
	})
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock between a cell and Reconcile")
	}
}
