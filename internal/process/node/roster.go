package node

import (
	"context"

	"goldcrestwick/internal/process/ident"
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

// buildRoster builds the roster from the newest instances and settings. Calls are serialized,
// so that a roster built from earlier ones does not replace it.
func (n *Node) buildRoster() {
	n.tables.rosterMu.Lock()
	defer n.tables.rosterMu.Unlock()
	var list []roster.Instance
	if known := n.instances.Load(); known != nil {
		list = *known
	}
	v := n.cells.Roster().Next(n.tree.Load(), list, n.Process.Region)
	n.observeReleases(v)
	n.cells.SetRoster(v)
	n.releases.due.Set()
}

// unitePool makes a pool one cell that is divided by availability zone here and one cell at
// another node.
func (n *Node) unitePool(pool ident.PoolID) {
	n.tables.rosterMu.Lock()
	defer n.tables.rosterMu.Unlock()
	if v := n.cells.Roster(); v.CanUnite(pool) {
		n.Log.Info("pool_is_one_cell", "pool", pool, "cells_before", len(v.Cells(pool)))
		n.cells.SetRoster(v.Unite(pool))
	}
}

// rebuildInstances rebuilds the list of instances and the roster from the tables.
func (n *Node) rebuildInstances() {
	n.storeInstances()
	n.buildRoster()
}

// storeInstances stores the list of instances. Calls are serialized, so that the list that is
// stored last is also the newest.
func (n *Node) storeInstances() {
	n.tables.instancesMu.Lock()
	defer n.tables.instancesMu.Unlock()
	n.tables.mu.Lock()
	list := make([]roster.Instance, 0, len(n.tables.endpoints)+len(n.tables.nodes))
	for _, in := range n.tables.endpoints {
		if n.admitsEndpoint(in) {
			list = append(list, in)
		}
	}
	for _, in := range n.tables.nodes {
		list = append(list, in)
	}
	n.tables.mu.Unlock()
	n.instances.Store(&list)
}
