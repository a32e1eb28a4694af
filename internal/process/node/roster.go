package node

import (
	"context"

	"goldcrestwick/internal/process/roster"
)

// refreshList reads the platform's list of instances and rebuilds the roster of
// endpoints if it changed. While the list cannot be read, the last one is used, or
// an empty one if none has been read yet.
func (n *Node) refreshList(ctx context.Context) {
	list, changed, err := n.Store.ListInstances(ctx, n.Process.Region)
	if err != nil {
		n.Log.Warn("instance_list_unavailable", "error", err)
	}
	if changed || n.instances.Load() == nil {
		n.instances.Store(&list)
		n.buildRoster()
	}
}

func (n *Node) buildRoster() {
	var list []roster.Instance
	if known := n.instances.Load(); known != nil {
		list = *known
	}
	v := roster.Build(n.tree.Load(), list, n.Process.Region)
	n.recordCensus(v)
	n.cells.SetRoster(v)
}
