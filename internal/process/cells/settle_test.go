package cells

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
)

var errRefused = errors.New("refused")

// TestOwnershipSettles replays the start of a fleet, in which a node owns a cell for a
// moment only: it asks no member for the cell's requests. In a fleet that runs, a node
// that owns a cell asks them at once.
func TestOwnershipSettles(t *testing.T) {
	for _, test := range []struct {
		name             string
		otherIncarnation uint64
		ownsFor          time.Duration
		wantAsked        bool
	}{
		{"the fleet starts and the owner changes", 1_000_900, settleTime / 2, false},
		{"the fleet starts and the owner stays", 1_000_900, 2 * settleTime, true},
		{"the fleet runs", 5, settleTime / 2, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			m, _ := newStandbyManager(t)
			self := member.Member{ID: "self", State: member.Ready, Incarnation: 1_000_000}
			views := []*member.View{
				{Members: []member.Member{
					{ID: "a", State: member.Leaving, Incarnation: test.otherIncarnation},
					{ID: "b", State: member.Leaving, Incarnation: test.otherIncarnation},
					self,
				}},
				{Members: []member.Member{{ID: "a", State: member.Ready, Capacity: 800, Incarnation: test.otherIncarnation}, self}},
			}
			var view atomic.Pointer[member.View]
			var asked atomic.Int32
			view.Store(views[0])
			m.Self = func() member.Member { return self }
			m.Members = view.Load
			m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
			m.Open = func(context.Context, string) (*link.Stream, error) {
				asked.Add(1)
				return nil, errRefused
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				m.Run(ctx)
				close(done)
			}()
			synctest.Wait()
			m.Reconcile()
			time.Sleep(test.ownsFor)
			synctest.Wait()
			qt.Check(t, asked.Load() > 0, qt.Equals, test.wantAsked, qt.Commentf(test.name))
			view.Store(views[1])
			m.Reconcile()
			time.Sleep(time.Second)
			qt.Check(t, m.LocalCell(m.Roster().Cells("t/p")[0].ID) == nil, qt.IsTrue, qt.Commentf(test.name))
			cancel()
			<-done
		})
	}
}

// TestLostOwnerSettles guards against calls that are refused in a cell with idle endpoints: its
// owner is killed in the seconds after the start of a fleet, and the next owner waits before
// it takes the cell over as if the views were still growing.
func TestLostOwnerSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, id := newStandbyManager(t)
		self := member.Member{ID: "self", State: member.Ready, Incarnation: 1_000_000}
		owner := member.Member{ID: "owner", State: member.Ready, Capacity: 800, Incarnation: 1_000_000}
		var view atomic.Pointer[member.View]
		view.Store(&member.View{Members: []member.Member{owner, self}})
		m.Self = func() member.Member { return self }
		m.Members = view.Load
		m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
		m.Open = func(context.Context, string) (*link.Stream, error) { return nil, errRefused }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			m.Run(ctx)
			close(done)
		}()
		time.Sleep(startPeriod / 2)
		m.Reconcile()
		qt.Assert(t, m.LocalCell(id) == nil, qt.IsTrue)
		view.Store(&member.View{Members: []member.Member{self}})
		m.Reconcile()
		call := &sched.GrantRequest{Request: "call", Deadline: time.Now().Add(2 * time.Second), Wake: func() {}}
		m.LocalCell(id).Submit(call)
		time.Sleep(settleTime / 2)
		synctest.Wait()
		qt.Check(t, call.Response.Outcome, qt.Equals, sched.Granted)
		cancel()
		<-done
	})
}
