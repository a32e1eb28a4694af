package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

const (
	// settingsInterval is the time between looks at the platform for the
	// nodes that look often; the others look once in slowLooks of these.
	settingsInterval = 500 * time.Millisecond
	slowLooks        = 10
	// lookers is the number of nodes that look often.
	lookers = 3
	// fanOut is how many members a node tells of a new version at once.
	fanOut       = 3
	treeTimeout  = 2 * time.Second
	firstPause   = 200 * time.Millisecond
	firstTimeout = 2 * time.Second
)

// useTree puts a version in force: new requests are judged by it and cells take
// their pool's new bounds.
func (n *Node) useTree(t *config.Tree) {
	n.tree.Store(t)
	n.buildRoster()
	n.prove(trace.Record{Time: time.Now(), Node: n.Process.Name, Event: trace.Settings, Settings: t.Version})
	n.Log.Info("settings_in_force", "settings_version", t.Version)
}

// announce tells a few others of a version, who tell others in turn.
func (n *Node) announce(v ident.Version) {
	for _, m := range n.someOthers(fanOut) {
		n.tasks.Go(func() { n.tell(m, v) })
	}
}

// someOthers picks members at random.
func (n *Node) someOthers(count int) []member.Member {
	others := slices.DeleteFunc(slices.Clone(n.members.View().Members), func(m member.Member) bool {
		return m.ID == n.Process.Name || m.Suspect
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), count)]
}

func (n *Node) tell(m member.Member, v ident.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	notice := wire.VersionNotice{Version: uint64(v), From: n.Process.PeerAddress}
	if _, err := link.Call[wire.VersionNotice, wire.Done](ctx, n.Open, m.PeerAddress, wire.KindVersionNotice, notice); err != nil {
		n.Log.Debug("settings_news_not_delivered", "peer", m.ID, "error", err)
	}
}

func (n *Node) serveVersionNotice(_ context.Context, s *link.Stream, m wire.VersionNotice) {
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // only a hint.
	n.hearOf(wire.Gossip{Settings: m.Version, From: m.From})
}

// hearOf fetches a version that another node has and this one has not.
func (n *Node) hearOf(g wire.Gossip) {
	if n.Tree != nil || ident.Version(g.Settings) <= n.tree.Load().Version || g.From == "" {
		return
	}
	n.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), treeTimeout)
		defer cancel()
		if err := n.fetch(ctx, g.From); err != nil {
			n.Log.Warn("settings_not_fetched", "from", g.From, "error", err)
		}
	})
}

// fetch takes the version in force at another node, with the texts that this
// one lacks.
func (n *Node) fetch(ctx context.Context, from string) error {
	call := wire.TreeCall{Have: n.follower.Have()}
	t, err := link.Call[wire.TreeCall, wire.Tree](ctx, n.Open, from, wire.KindTree, call)
	if err != nil {
		return err
	}
	return n.follower.Take(t.ToUpdate())
}

func (n *Node) serveTree(_ context.Context, s *link.Stream, m wire.TreeCall) {
	s.Send(wire.KindTree, wire.FromUpdate(n.follower.Update(m.Have))) //nolint:errcheck // the other asks again.
}

// firstTree waits until this node has the newest version that the platform or
// any member knows. With neither to ask, it waits for one of them.
func (n *Node) firstTree(ctx context.Context) {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, firstTimeout)
		err := n.follower.Refresh(asking)
		for _, m := range n.someOthers(len(n.members.View().Members)) {
			if e := n.fetch(asking, m.PeerAddress); e != nil {
				n.Log.Debug("settings_not_fetched", "from", m.ID, "error", e)
			}
		}
		cancel()
		if v, _ := n.follower.Version(); v > 0 {
			return
		}
		n.Log.Warn("no_settings_yet", "error", err)
		if !tick.Sleep(ctx, firstPause) {
			return
		}
		n.refreshList(ctx)
		n.members.Seed(ctx)
	}
}

// followSettings looks for a new version in the platform: a few nodes often,
// the others now and then, since they hear of it from those.
func (n *Node) followSettings(ctx context.Context) {
	ranked := member.Ranked(n.members.View().Ready(""), "settings_lookers")
	often := slices.ContainsFunc(ranked[:min(len(ranked), lookers)], func(m member.Member) bool {
		return m.ID == n.Process.Name
	})
	if !often && rand.IntN(slowLooks) != 0 {
		return
	}
	if err := n.follower.Refresh(ctx); err != nil {
		n.Log.Debug("settings_not_refreshed", "error", err)
	}
}

func (n *Node) serveVersion(_ context.Context, s *link.Stream, _ wire.Done) {
	v, since := n.follower.Version()
	s.Send(wire.KindVersion, wire.Version{Version: uint64(v), Since: since.UnixMilli()}) //nolint:errcheck // the asker does without.
}

// SettingsStatus returns the version in force at every member.
func (n *Node) SettingsStatus(ctx context.Context) []front.SettingsStatus {
	members := n.members.View().Members
	all := make([]front.SettingsStatus, len(members))
	done := make(chan struct{})
	for i, m := range members {
		all[i] = front.SettingsStatus{Node: string(m.ID)}
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if m.ID == n.Process.Name {
				v, since := n.follower.Version()
				all[i].Version, all[i].Since = uint64(v), since.UnixMilli()
				return
			}
			v, err := link.Call[wire.Done, wire.Version](ctx, n.Open, m.PeerAddress, wire.KindVersion, wire.Done{})
			if err != nil {
				all[i].Problem = err.Error()
				return
			}
			all[i].Version, all[i].Since = v.Version, v.Since
		}()
	}
	for range members {
		<-done
	}
	return all
}

var errNotFollowed = eris.New("this node reads its settings from files")

// GetSettings returns a file of the version in force here.
func (n *Node) GetSettings(file string) ([]byte, ident.Version, error) {
	if n.Tree != nil {
		return nil, 0, errNotFollowed
	}
	text, _, ok := n.follower.File(file)
	v, _ := n.follower.Version()
	if !ok {
		return nil, v, eris.Errorf("there is no file %s in version %d", file, v)
	}
	return text, v, nil
}

// PutSettings writes a change as the next version and puts it in force here.
func (n *Node) PutSettings(ctx context.Context, c repo.Change) (ident.Version, error) {
	if n.Tree != nil {
		return 0, errNotFollowed
	}
	v, err := n.repo.Put(ctx, c)
	if err != nil {
		return 0, err
	}
	n.Log.Info("settings_accepted", "settings_version", v, "file", c.File, "operator", c.Operator)
	if err := n.follower.Refresh(ctx); err != nil {
		n.Log.Warn("settings_not_refreshed", "error", err)
	}
	return v, nil
}

// SettingsHistory returns the latest changes, the newest first.
func (n *Node) SettingsHistory(ctx context.Context, most int) ([]repo.Past, error) {
	head, err := n.repo.Head(ctx)
	if err != nil {
		return nil, err
	}
	var all []repo.Past
	for v := head.Version; v > 0 && len(all) < most; v-- {
		p, err := n.repo.Past(ctx, v)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// Operators returns the part that serves operators.
func (n *Node) Operators() *front.Operators {
	return &front.Operators{
		Explain: n.Explain, Metrics: n.WriteMetrics,
		Settings: front.Settings{
			Tree: n.tree.Load, Get: n.GetSettings, Put: n.PutSettings,
			History: n.SettingsHistory, Status: n.SettingsStatus,
		},
	}
}
