package entry

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

// TestGrantWithoutRelease guards against streams that go on at another release since the cell's
// node runs a build that knows no releases: it grants any endpoint, and does not state the release.
func TestGrantWithoutRelease(t *testing.T) {
	tree, err := config.Parse(map[string][]byte{
		"root.ini":       []byte("[fleet]\nregion = r\n"),
		"teams/team.ini": []byte("[tier.one]\nrank = 0\n[pool.p]\nkind = model_runner\nmodel = m\n"),
	}, 1)
	qt.Assert(t, err, qt.IsNil)
	pool := tree.Teams[0].Pools[0].ID
	v1, v2 := ident.Release("v1"), ident.Release("v2")
	for _, test := range []struct {
		name        string
		wanted      *ident.Release
		granted     string
		wantOutcome sched.Outcome
		wantUnused  bool
	}{
		{"any", nil, "e2", sched.Granted, false},
		{"the release that began the stream", &v2, "e2", sched.Granted, false},
		{"another release", &v1, "e2", sched.Moved, true},
		{"an endpoint that is not listed here", &v1, "e3", sched.Moved, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				completions := make(chan wire.Completion, 1)
				go func() {
					s := link.NewStream(far)
					s.Receive()                                                                                                             //nolint:errcheck // the grant request.
					s.Send(wire.KindGrantResponse, wire.GrantResponse{Outcome: uint8(sched.Granted), Endpoint: test.granted, Address: "a"}) //nolint:errcheck // the test fails.
					if kind, body, err := s.Receive(); err == nil && kind == wire.KindCompleted {
						completion, _ := link.Decode[wire.Completion](body) //nolint:errcheck // the test fails.
						completions <- completion
					}
					close(completions)
				}()
				m := &cells.Manager{
					Self: func() member.Member { return member.Member{ID: "self"} }, Members: func() *member.View { return &member.View{} },
					Tree: func() *config.Tree { return tree }, Clock: &clock.Clock{},
				}
				m.SetRoster(roster.Build(tree, []roster.Instance{
					{ID: "e1", Endpoint: "e1", Pool: pool, Address: "a", Release: v1}, {ID: "e2", Endpoint: "e2", Pool: pool, Address: "a", Release: v2},
				}, "r"))
				e := &Entry{
					Cells: m, Clock: &clock.Clock{},
					Open: func(context.Context, string) (*link.Stream, error) { return link.NewStream(near), nil },
				}
				req := &sched.GrantRequest{Request: "r", Stream: "s", Release: test.wanted}
				g, responded := e.requestFromNode(t.Context(), req, remoteCell{id: ident.CellID{Pool: pool}})
				qt.Check(t, responded, qt.IsTrue)
				qt.Check(t, g.Response.Outcome, qt.Equals, test.wantOutcome)
				if test.wantOutcome == sched.Granted {
					qt.Check(t, g.Response.Release, qt.Equals, v2)
					g.Complete(sched.Completion{})
				}
				completion := <-completions
				qt.Check(t, completion.Unused, qt.Equals, test.wantUnused)
			})
		})
	}
}
