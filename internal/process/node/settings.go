package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

const (
	// settingsPollInterval is the time between polls of the platform's settings by
	// the pollers. Each of the remaining nodes polls in one of slowPollFactor
	// intervals on average.
	settingsPollInterval = 500 * time.Millisecond
	slowPollFactor       = 10
	// maxPollers bounds the nodes that poll in every interval.
	maxPollers = 3
	// versionNoticeFanOut is the number of members to which a node sends a notice
	// of a new version.
	versionNoticeFanOut = 3
	// initialTreeTimeout bounds each attempt of a starting node to get its first
	// version from the platform and the members, and initialTreePause is the pause
	// between two attempts.
	initialTreePause   = 200 * time.Millisecond
	initialTreeTimeout = 2 * time.Second
)

// applyTree puts a settings version in force: it applies to new requests, and
// cells take their pool's new limits.
func (n *Node) applyTree(t *config.Tree) {
	earlier := n.tree.Load()
	n.formerPools.update(earlier, t, time.Now())
	n.tree.Store(t)
	if !maps.EqualFunc(earlier.StreamPools(), t.StreamPools(), slices.Equal) {
		n.formerPools.due.Set()
	}
	n.buildRoster()
	n.appendToLedger(trace.Record{Time: time.Now(), Node: n.Process.Name, Event: trace.SettingsApplied, Settings: t.Version})
	n.Log.Info("settings_in_force", "settings_version", t.Version, "earlier_version", earlier.Version,
		"follows_reader", n.changes.isFollowing.Load(), "read_age", time.Since(n.tables.endpointsReadAt()))
}

// announce sends a version notice to a few neighbors. Those that lack the
// version fetch it and announce it in turn.
func (n *Node) announce(v ident.Version) {
	neighbors := n.members.Neighbors(n.stopping)
	for _, m := range neighbors[:min(len(neighbors), versionNoticeFanOut)] {
		n.tasks.Go(func() { n.sendVersionNotice(m, v) })
	}
}

// randomMembers returns up to count other members, none of them suspect, in
// random order.
func (n *Node) randomMembers(count int) []member.Member {
	others := slices.DeleteFunc(slices.Clone(n.members.View().Members), func(m member.Member) bool {
		return m.ID == n.Process.Name || m.Suspect
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), count)]
}

func (n *Node) sendVersionNotice(m member.Member, v ident.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	notice := wire.VersionNotice{Version: uint64(v), PeerAddress: n.Process.PeerAddress}
	if _, err := link.Call[wire.VersionNotice, wire.Empty](ctx, n.Open, m.PeerAddress, wire.KindVersionNotice, notice); err != nil {
		n.Log.Debug("settings_news_not_delivered", "peer", m.ID, "error", err)
	}
}

func (n *Node) serveVersionNotice(_ context.Context, s *link.Stream, m wire.VersionNotice) {
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the notice needs no reply.
	n.fetchIfNewer(wire.Gossip{SettingsVersion: m.Version, PeerAddress: m.PeerAddress})
}

// awaitSettings waits until settings that are no older than a version are in force, which it
// fetches from another node if they are not. It returns false if ctx is done before.
func (n *Node) awaitSettings(ctx context.Context, version ident.Version, from string) bool {
	if n.tree.Load().Version >= version {
		return true
	}
	// Many requests may wait for the same version, which is fetched once.
	n.awaitingTree.Lock()
	defer n.awaitingTree.Unlock()
	if n.tree.Load().Version < version && ctx.Err() == nil {
		if err := n.fetchTree(ctx, from); err != nil {
			n.Log.Warn("settings_not_fetched", "from", from, "settings_version", uint64(version), "error", err)
		}
	}
	return n.tree.Load().Version >= version
}

// fetchTree fetches and applies the version in force at another node. Only the file
// texts that this node lacks are transferred.
func (n *Node) fetchTree(ctx context.Context, from string) error {
	call := wire.TreeQuery{KnownHashes: n.follower.KnownHashes()}
	t, err := link.Call[wire.TreeQuery, wire.Tree](ctx, n.Open, from, wire.KindTree, call)
	if err != nil {
		return err
	}
	return n.follower.ApplyUpdate(t.ToUpdate())
}

func (n *Node) serveTree(_ context.Context, s *link.Stream, m wire.TreeQuery) {
	s.Send(wire.KindTree, wire.FromUpdate(n.follower.UpdateFor(m.KnownHashes))) //nolint:errcheck // the peer retries.
}

// fetchInitialTree fetches the newest version that the platform or any member
// has. It retries until it has a version or ctx is done.
func (n *Node) fetchInitialTree(ctx context.Context) {
	for ctx.Err() == nil {
		fetchCtx, cancel := context.WithTimeout(ctx, initialTreeTimeout)
		err := n.follower.Refresh(fetchCtx)
		for _, m := range n.randomMembers(len(n.members.View().Members)) {
			if e := n.fetchTree(fetchCtx, m.PeerAddress); e != nil {
				n.Log.Debug("settings_not_fetched", "from", m.ID, "error", e)
			}
		}
		cancel()
		if v, _ := n.follower.Version(); v > 0 {
			return
		}
		n.Log.Warn("no_settings_yet", "error", err)
		if !tick.Sleep(ctx, initialTreePause) {
			return
		}
		n.refreshList(ctx)
		n.members.Seed(ctx)
	}
}

// pollSettings checks the platform for a new version. A few nodes do so in every
// interval; the others do so rarely, since they get version notices.
func (n *Node) pollSettings(ctx context.Context) {
	ranked := member.Ranked(n.members.View().Ready(""), "settings_lookers")
	isPoller := slices.ContainsFunc(ranked[:min(len(ranked), maxPollers)], func(m member.Member) bool {
		return m.ID == n.Process.Name
	})
	if !isPoller && rand.IntN(slowPollFactor) != 0 {
		return
	}
	if err := n.follower.Refresh(ctx); err != nil {
		n.Log.Debug("settings_not_refreshed", "error", err)
	}
}

func (n *Node) serveVersion(_ context.Context, s *link.Stream, _ wire.Empty) {
	v, since := n.follower.Version()
	s.Send(wire.KindVersion, wire.Version{Version: uint64(v), SinceUnixMilli: since.UnixMilli()}) //nolint:errcheck // the peer reports the failure.
}

// SettingsStatus returns the version in force at every member, or the problem in
// its place if the member cannot be reached.
func (n *Node) SettingsStatus(ctx context.Context) []front.SettingsStatus {
	members := n.members.View().Members
	all := make([]front.SettingsStatus, len(members))
	done := make(chan struct{})
	for i, m := range members {
		all[i] = front.SettingsStatus{Node: string(m.ID)}
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			if m.ID == n.Process.Name {
				v, since := n.follower.Version()
				all[i].Version, all[i].SinceUnixMilli = uint64(v), since.UnixMilli()
				return
			}
			v, err := link.Call[wire.Empty, wire.Version](ctx, n.Open, m.PeerAddress, wire.KindVersion, wire.Empty{})
			if err != nil {
				all[i].Problem = err.Error()
				return
			}
			all[i].Version, all[i].SinceUnixMilli = v.Version, v.SinceUnixMilli
		}()
	}
	for range members {
		<-done
	}
	return all
}

var errSettingsFromFiles = eris.New("this node reads its settings from files")

// GetSettings returns a file of the version in force on this node, and that
// version. It fails if the node has fixed settings (Tree).
func (n *Node) GetSettings(file string) ([]byte, ident.Version, error) {
	if n.Tree != nil {
		return nil, 0, errSettingsFromFiles
	}
	text, _, ok := n.follower.File(file)
	v, _ := n.follower.Version()
	if !ok {
		return nil, v, eris.Errorf("settings file %s does not exist in version %d", file, v)
	}
	return text, v, nil
}

// PutSettings writes a change as the next version, puts it in force on this node
// and returns the version. If only the second step fails, that is logged and the
// version is put in force later. It fails if the node has fixed settings (Tree).
func (n *Node) PutSettings(ctx context.Context, c repo.Change) (ident.Version, error) {
	if n.Tree != nil {
		return 0, errSettingsFromFiles
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

// SettingsHistory returns up to limit changes, the newest first.
func (n *Node) SettingsHistory(ctx context.Context, limit int) ([]repo.HistoryEntry, error) {
	head, err := n.repo.Head(ctx)
	if err != nil {
		return nil, err
	}
	var all []repo.HistoryEntry
	for v := head.Version; v > 0 && len(all) < limit; v-- {
		p, err := n.repo.HistoryEntry(ctx, v)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// Operators returns the HTTP front end that serves operators.
func (n *Node) Operators() *front.OperatorAPI {
	return &front.OperatorAPI{
		Explain: n.Explain, Metrics: n.WriteMetrics, Rollout: n.Rollout,
		Settings: front.SettingsAPI{
			Tree: n.tree.Load, Get: n.GetSettings, Put: n.PutSettings,
			History: n.SettingsHistory, Status: n.SettingsStatus,
		},
	}
}
