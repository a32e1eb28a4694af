package node

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/version/config"
)

// TestFetchIfNewer replays the gossip about one new version, which comes from several
// members at once: it is fetched once, and not at all if the reader that this node
// follows sends it first.
func TestFetchIfNewer(t *testing.T) {
	for _, test := range []struct {
		name                       string
		isFollowing, readerSendsIt bool
		want                       int
	}{
		{"without a reader", false, false, 1},
		{"the reader is silent", true, false, 1},
		{"the reader sends it", true, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			opened := 0
			n := &Node{Log: log.New(io.Discard), Open: func(context.Context, string) (*link.Stream, error) {
				opened++
				// The fetch is in progress until all gossip has come.
				time.Sleep(time.Millisecond)
				return nil, errUnreachable
			}}
			n.tree.Store(&config.Tree{Version: 3})
			n.changes.isFollowing.Store(test.isFollowing)
			for range 5 {
				n.fetchIfNewer(wire.Gossip{SettingsVersion: 4, PeerAddress: "peer"})
			}
			if test.readerSendsIt {
				time.Sleep(readerHeadStart / 2)
				n.tree.Store(&config.Tree{Version: 4})
			}
			n.tasks.Wait()
			qt.Check(t, opened, qt.Equals, test.want, qt.Commentf(test.name))
		})
	}
}

// TestFetchFromFrozenNode guards against settings that are late because the first node that told
// of them stands still: they are fetched from the next one within the 2 s in which they have to be
// in force.
func TestFetchFromFrozenNode(t *testing.T) {
	for _, isFollowing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			start, askedAfter := time.Now(), time.Duration(0)
			n := &Node{Log: log.New(io.Discard), Open: func(ctx context.Context, address string) (*link.Stream, error) {
				if address == "frozen" {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				askedAfter = time.Since(start)
				return nil, errUnreachable
			}}
			n.tree.Store(&config.Tree{Version: 3})
			n.changes.isFollowing.Store(isFollowing)
			n.fetchIfNewer(wire.Gossip{SettingsVersion: 4, PeerAddress: "frozen"})
			time.Sleep(time.Millisecond)
			n.fetchIfNewer(wire.Gossip{SettingsVersion: 4, PeerAddress: "sound"})
			n.tasks.Wait()
			qt.Check(t, askedAfter > 0 && askedAfter < 2*time.Second, qt.IsTrue, qt.Commentf("following %t: asked after %s", isFollowing, askedAfter))
		})
	}
}
