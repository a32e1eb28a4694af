package node

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/fanout"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

// startViewTime is the time after the start of a node after which the readers are those of its
// view rather than those of the table of nodes. The views of a starting fleet of 110 nodes
// agree within 8 s if the nodes have 0.13 cores.
const startViewTime = 15 * time.Second

// viewReaders holds the readers of one view.
type viewReaders struct {
	view    *member.View
	readers []member.Member
}

// readers returns the nodes that read the store for the others, nil if every node
// reads it. While this node starts together with the fleet they are those of the table of
// nodes: all nodes have the same rows, whereas their views take some seconds to agree. By a
// view that lacks the reader of its zone a node would take itself or one that follows for a
// reader.
func (n *Node) readers() []member.Member {
	v := n.members.View()
	if n.isStarting() {
		if readers := n.readersByTable(v); readers != nil {
			return readers
		}
	}
	if known := n.changes.readers.Load(); known != nil && known.view == v {
		return known.readers
	}
	readers := fanout.Readers(v, n.Process.Region)
	n.changes.readers.Store(&viewReaders{v, readers})
	return readers
}

// isStarting reports whether the readers are those of the table of nodes.
func (n *Node) isStarting() bool { return time.Since(n.changes.startedAt) < startViewTime }

// listedReaders holds the readers of one state of the table of nodes and one view.
type listedReaders struct {
	view    *member.View
	change  int
	readers []member.Member
}

// recordAbsent records that a node did not serve this one, which excludes it from the readers
// by the table of nodes until this node knows it as a ready member. It may be gone for good, or
// start later.
func (n *Node) recordAbsent(id ident.NodeID) {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	if n.tables.absent == nil {
		n.tables.absent = map[string]bool{}
	}
	n.tables.absent[string(id)] = true
	n.tables.nodesChange++
}

// readersByTable returns the readers among the nodes in the table of nodes, except for those
// that leave, are dead, absent or do not respond. It returns nil if enough members of a view run for so
// long that they know each other: the view then comes from them, and has no nodes that are gone.
func (n *Node) readersByTable(v *member.View) []member.Member {
	n.tables.mu.Lock()
	change := n.tables.nodesChange
	n.tables.mu.Unlock()
	if known := n.changes.listedReaders.Load(); known != nil && known.view == v && known.change == change {
		return known.readers
	}
	self, gone, ready := n.members.Self(), map[string]bool{}, map[string]bool{}
	for _, m := range n.members.All() {
		gone[string(m.ID)] = m.Suspect || m.State >= member.Leaving
		ready[string(m.ID)] = m.State == member.Ready
	}
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	change = n.tables.nodesChange
	listed := []member.Member{self}
	for id, in := range n.tables.nodes {
		isGone := gone[id] || n.tables.absent[id] && !ready[id]
		if in.Region == n.Process.Region && in.PeerAddress != "" && id != string(self.ID) && !isGone {
			listed = append(listed, member.Member{
				ID: ident.NodeID(id), Region: in.Region, Zone: in.Zone, PeerAddress: in.PeerAddress, Capacity: n.tables.capacities[id],
			})
		}
	}
	var readers []member.Member
	if !isRunning(v.Ready(n.Process.Region), time.Now()) {
		readers = fanout.Choose(listed)
	}
	n.changes.listedReaders.Store(&listedReaders{v, change, readers})
	return readers
}

// isRunning reports whether so many of the members started startViewTime ago that they have
// readers.
func isRunning(ready []member.Member, now time.Time) bool {
	running := 0
	for _, m := range ready {
		// The first incarnation is the time of the start.
		if now.Sub(time.UnixMilli(int64(m.Incarnation))) >= startViewTime {
			running++
		}
	}
	return running >= fanout.MinFleet
}

// isInLargeFleet reports whether some nodes read the store for the others, or will do so when
// the fleet has started.
func (n *Node) isInLargeFleet() bool {
	return n.knownNodes() >= fanout.MinFleet || len(n.readers()) > 0
}

// isReader reports whether this node reads the store for others.
func (n *Node) isReader() bool {
	return slices.ContainsFunc(n.readers(), func(r member.Member) bool { return r.ID == n.Process.Name })
}

// knownNodes returns the number of nodes in the store's table.
func (n *Node) knownNodes() int {
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	return len(n.tables.nodes)
}
