package cells

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
)

// TestEstimatesSurviveOwner guards against a standby cell, or a cell's next owner, that knows
// nothing of the endpoints' load since the owner was killed and cannot be asked, and against
// estimates that are used when they are old.
func TestEstimatesSurviveOwner(t *testing.T) {
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 1}, {estimatesTTL + time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			owner, id := newStandbyManager(t)
			standby, _ := newStandbyManager(t)
			var mux link.Mux
			standby.Register(&mux)
			view := &member.View{Members: []member.Member{{ID: "self", State: member.Ready, Capacity: 800}, {ID: "other", State: member.Ready}}}
			owner.Members = func() *member.View { return view }
			owner.Open = func(context.Context, string) (*link.Stream, error) {
				near, far := net.Pipe()
				go mux.Serve(t.Context(), link.NewStream(far))
				return link.NewStream(near), nil
			}
			owner.Reconcile()
			cell := owner.LocalCell(id)
			qt.Assert(t, cell != nil, qt.IsTrue)
			owner.sendEstimates(t.Context())
			owner.tasks.Wait()
			qt.Check(t, standby.handed.of(id, time.Now()), qt.HasLen, 0)

			for i := range 40 {
				r := &sched.GrantRequest{Request: ident.RequestID(fmt.Sprint(i)), Deadline: time.Now().Add(time.Hour)}
				qt.Assert(t, cell.Submit(r), qt.IsTrue)
				time.Sleep(10 * time.Millisecond)
				cell.Complete(r.Request, sched.Completion{TimeToFirstToken: 10 * time.Millisecond, InterTokenLatency: 10 * time.Millisecond})
			}
			owner.sendEstimates(t.Context())
			owner.tasks.Wait()
			time.Sleep(test.after)
			qt.Check(t, standby.StandbyCell(id, false).EndpointLoads(), qt.HasLen, test.want)
			next := &member.View{Members: []member.Member{{ID: "self", State: member.Ready}}}
			standby.Members = func() *member.View { return next }
			standby.Reconcile()
			qt.Check(t, standby.LocalCell(id).EndpointLoads(), qt.HasLen, test.want)
		})
	}
}
