package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/fanout"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/watch"
)

const (
	// startWait bounds the time that a starting node waits for the list of nodes, and then
	// for other nodes' copies of the tables, before it reads the tables itself.
	startWait = 200 * time.Millisecond
	// startFollowTime is the time for which a node follows the node that it got the tables
	// from. Until the views of a starting fleet agree, in some seconds, the node that is a
	// reader in one view follows another in its own and takes no followers.
	startFollowTime = 5 * time.Second
	// maxStartNodes bounds the nodes that a starting node asks at the same time.
	maxStartNodes = 3
	// startRetryPause is the pause before a node is asked again that has refused, since it may
	// have had too many starting followers that have taken another node's answer meanwhile.
	startRetryPause = 20 * time.Millisecond
	// startCheckInterval is the time between checks for what a start waits for.
	startCheckInterval = 5 * time.Millisecond
)

// followFromStart gets the settings and the endpoints from another node, if the process's
// settings have it so and there is one that has them, or else from the store, and follows their
// changes until ctx is done. In the first case the tables of the settings and the endpoints are
// paused when it is called. joined is closed when the node has joined; a node that reads the
// store follows a reader as soon as it knows the nodes.
func (n *Node) followFromStart(ctx context.Context, joined <-chan struct{}) {
	if !n.Process.StartsFromNodes {
		// The first read of each table is under way, so that the node is ready as early as if it
		// did not follow a reader yet.
		if n.awaitRowsOfNodes(ctx) {
			n.followChanges(ctx)
		}
		return
	}
	if !n.followStartNodes(ctx, joined) {
		n.changes.isFollowing.Store(false)
		for _, t := range n.followedTables() {
			t.Resume()
		}
	}
	select {
	case <-joined:
	case <-ctx.Done():
	}
	n.followChanges(ctx)
}

// awaitRowsOfNodes waits for the first read of the table of nodes, and returns false if ctx is
// done first.
func (n *Node) awaitRowsOfNodes(ctx context.Context) bool {
	for n.isMissingNodes() {
		if !tick.Sleep(ctx, startCheckInterval) {
			return false
		}
	}
	return true
}

func (n *Node) isMissingNodes() bool {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return !n.tables.hasNodes
}

// startAnswer holds the tables that a node sent to a starting one, and the stream that brings
// their changes.
type startAnswer struct {
	from     member.Member
	stream   *link.Stream
	messages []wire.Changes
}

// followStartNodes follows the first of the start nodes that sends all tables, for
// startFollowTime and until this node has joined. It ends at once when this node has joined as
// a reader, since a node that follows another one serves no followers. It returns false if none
// has them within startWait, if the node that had them fails, or if there are no readers to
// follow then.
func (n *Node) followStartNodes(ctx context.Context, joined <-chan struct{}) bool {
	if !n.awaitNodeRows(ctx) {
		return false
	}
	until := time.Now().Add(startFollowTime)
	keep := func() bool {
		select {
		case <-joined:
			return time.Now().Before(until) && !n.isReader()
		default:
			return true
		}
	}
	nodes, isLarge := n.startNodes()
	n.changes.isFirst.Store(isLarge && len(nodes) == 0)
	answer, ok := n.askStartNodes(ctx, nodes)
	if !ok {
		return false
	}
	n.beginFollowing(answer.from)
	if err := n.followStream(ctx, answer.stream, answer.from, keep); err != nil {
		if ctx.Err() == nil {
			n.Log.Info("start_node_left", "peer", answer.from.ID, "error", err)
		}
		return false
	}
	return len(n.readers()) > 0
}

// askStartNodes asks all of the nodes at the same time for the tables, and applies the first
// complete answer that is not too old. They are not asked in turn, since a node that does not
// run may not refuse a connection, and dialing it would use up startWait.
func (n *Node) askStartNodes(ctx context.Context, nodes []member.Member) (startAnswer, bool) {
	askCtx, cancel := context.WithTimeout(ctx, startWait)
	answers := make(chan startAnswer)
	var asking sync.WaitGroup
	defer func() {
		cancel()
		// An open to a node that does not run may return later.
		n.tasks.Go(asking.Wait)
	}()
	for _, m := range nodes {
		asking.Go(func() {
			answer, err := n.askStartNode(askCtx, m)
			for err != nil && tick.Sleep(askCtx, startRetryPause) {
				answer, err = n.askStartNode(askCtx, m)
			}
			if err != nil {
				if !errors.Is(askCtx.Err(), context.Canceled) {
					n.Log.Info("start_node_left", "peer", m.ID, "error", err)
				}
				answer.from = m
			}
			select {
			case answers <- answer:
			case <-askCtx.Done():
				if answer.stream != nil {
					answer.stream.Close() //nolint:errcheck // nothing more is read.
				}
			}
		})
	}
	for range nodes {
		select {
		case <-askCtx.Done():
			return startAnswer{}, false
		case answer := <-answers:
			if answer.stream == nil {
				continue
			}
			err := n.applyAnswer(answer)
			if err == nil {
				return answer, true
			}
			n.Log.Info("start_node_left", "peer", answer.from.ID, "error", err)
			answer.stream.Close() //nolint:errcheck // nothing more is read.
		}
	}
	return startAnswer{}, false
}

// askStartNode asks a node for the tables and waits for all of them, until ctx is done.
func (n *Node) askStartNode(ctx context.Context, m member.Member) (startAnswer, error) {
	stream, err := n.Open(ctx, m.PeerAddress)
	if err != nil {
		return startAnswer{}, err
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() }) //nolint:errcheck // unblocks Receive.
	answer := startAnswer{from: m, stream: stream}
	err = stream.Send(wire.KindFollow, wire.Follow{IsStarting: true})
	for err == nil {
		var message wire.Changes
		if message, err = receiveChanges(stream); err != nil {
			break
		}
		answer.messages = append(answer.messages, message)
		if message.Table == "" && stop() {
			return answer, nil
		}
	}
	stream.Close() //nolint:errcheck // nothing more is read.
	return startAnswer{}, err
}

// applyAnswer applies the tables that a start node has sent.
func (n *Node) applyAnswer(answer startAnswer) error {
	for _, message := range answer.messages {
		if err := n.applyChanges(message); err != nil {
			return err
		}
	}
	return nil
}

// awaitNodeRows waits for the first read of the table of nodes, at most startWait.
func (n *Node) awaitNodeRows(ctx context.Context) bool {
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); {
		n.tables.mu.Lock()
		hasNodes := n.tables.hasNodes
		n.tables.mu.Unlock()
		if hasNodes {
			return true
		}
		if !tick.Sleep(ctx, startCheckInterval) {
			return false
		}
	}
	return false
}

// startNodes returns the nodes from which this node can get the tables at its start: nodes of
// its zone that precede it in an order that all nodes share. So the first one reads the store, and no nodes wait for each other. It is the order of
// readers of the same capacity, so that most nodes need not change to another one later. There
// are none in a small fleet; isLarge is false then.
func (n *Node) startNodes() (nodes []member.Member, isLarge bool) {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	if len(n.tables.nodes) < fanout.MinFleet {
		return nil, false
	}
	own := fanout.Score(n.Process.Name)
	var found []member.Member
	for _, in := range n.tables.nodes {
		id := ident.NodeID(in.ID)
		if in.Zone == n.Process.Zone && in.Region == n.Process.Region && in.PeerAddress != "" && fanout.Score(id) > own {
			found = append(found, member.Member{ID: id, Zone: in.Zone, PeerAddress: in.PeerAddress})
		}
	}
	slices.SortFunc(found, func(a, b member.Member) int { return cmp.Compare(fanout.Score(b.ID), fanout.Score(a.ID)) })
	return found[:min(len(found), maxStartNodes)], true
}

// awaitTables waits until this node has read all tables that it follows, at most startWait,
// for a node that starts at the same time.
func (n *Node) awaitTables(ctx context.Context) {
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); {
		tables := n.followedTables()
		if len(tables) > 0 && !slices.ContainsFunc(tables, func(t *watch.Table) bool { return !t.HasRows() }) {
			return
		}
		if !tick.Sleep(ctx, startCheckInterval) {
			return
		}
	}
}
