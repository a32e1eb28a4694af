package node

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/version/config"
)

// TestOriginReplyToEarlierBuild guards against streams that a node of a build before d023f67 takes
// up at the only release that it has seen, though others know of a second one.
func TestOriginReplyToEarlierBuild(t *testing.T) {
	n := &Node{}
	pools := map[ident.PoolID][]ident.Release{"p": {"v1", "v2"}, "q": {"v1"}}
	n.releases.listing.Observe(pools, true, time.Now())
	isMixed := func(pool string) bool {
		near, far := net.Pipe()
		go func() {
			n.serveOriginQuery(t.Context(), link.NewStream(far), wire.OriginQuery{Stream: "s", Pool: pool})
			far.Close() //nolint:errcheck // the reply was read or the test fails.
		}()
		_, body, err := link.NewStream(near).Receive()
		qt.Assert(t, err, qt.IsNil)
		// Key 7 is the one by which these builds know it.
		reply, err := link.Decode[struct {
			IsMixed bool `cbor:"7,keyasint"`
		}](body)
		qt.Assert(t, err, qt.IsNil)
		return reply.IsMixed
	}
	qt.Check(t, isMixed("p"), qt.IsTrue)
	qt.Check(t, isMixed("q"), qt.IsFalse)
	n.releases.listing.AssumeUnlisted(true)
	qt.Check(t, isMixed("q"), qt.IsTrue)
}

// TestDetourToEarlierBuild guards against requests that are sent to a node of a build which does
// not serve them for other nodes, while one of this build could.
func TestDetourToEarlierBuild(t *testing.T) {
	n := &Node{Process: config.Process{Name: "n0", Zone: "z", Region: "r"}}
	n.members.Start(member.Member{ID: "n0", State: member.Ready})
	n.members.Merge([]member.Member{
		{ID: "n1", Region: "r", Zone: "z", State: member.Ready},
		{ID: "n2", Region: "r", Zone: "other", State: member.Ready},
		{ID: "n3", Region: "r", Zone: "z", State: member.Ready},
	})
	n.tables.learnBuild("n1", 0, time.Now())
	n.tables.learnBuild("n3", 0, time.Now())
	n.tables.learnBuild("n3", nodeRowSchema, time.Now())
	for range 10 {
		var order []ident.NodeID
		for _, m := range n.detourPeers() {
			order = append(order, m.ID)
		}
		qt.Assert(t, order, qt.DeepEquals, []ident.NodeID{"n3", "n2", "n1"})
	}
}
