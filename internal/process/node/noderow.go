package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
)

// nodeRow is the value of an entry node's row in the table of nodes.
type nodeRow struct {
	Zone          string `json:"availability_zone"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Capacity is the processor time in thousandths of a core, by which readers are chosen.
	Capacity int `json:"capacity,omitempty"`
	// Schema is nodeRowSchema, or 0 in rows of versions that did not mark tables.
	Schema int `json:"schema,omitempty"`
}

// earlierBuildTTL is the time for which a node of an earlier build that is no member may go on,
// for example after a freeze.
const earlierBuildTTL = 2 * time.Minute

// earlierBuild is a node whose row has an earlier schema, or had until it was replaced. Builds
// from before nodeRowSchema use releases before releaseTable lists them.
type earlierBuild struct {
	// ranAt is when it was last known to run.
	ranAt      time.Time
	isReplaced bool
}

// applyNodeRows applies changed rows of the table of nodes, which gives the
// addresses of possible peers. After the first read, changes trigger a new search
// for members.
func (n *Node) applyNodeRows(rows []store.Row) {
	n.tables.mu.Lock()
	if n.tables.nodes == nil {
		n.tables.nodes, n.tables.capacities = map[string]roster.Instance{}, map[string]int{}
	}
	isFirst := !n.tables.hasNodes
	n.tables.hasNodes = true
	if isFirst {
		n.tables.hadOwnRow = slices.ContainsFunc(rows, func(r store.Row) bool { return r.Key == string(n.Process.Name) && !r.Deleted })
	}
	n.tables.nodesChange++
	for _, r := range rows {
		if r.Deleted {
			delete(n.tables.nodes, r.Key)
			delete(n.tables.capacities, r.Key)
			continue
		}
		var row nodeRow
		err := json.Unmarshal(r.Value, &row)
		if isFirst && row.Schema < nodeRowSchema {
			n.tables.marks.hasOldNodes = true
		}
		if n.tables.learnBuild(r.Key, row.Schema, time.Now()) {
			n.Log.Info("node_of_earlier_build", "node", r.Key, "schema", row.Schema, "is_replaced", row.Schema >= nodeRowSchema)
		}
		if err != nil {
			n.Log.Warn("node_row_unreadable", "node", r.Key, "store_version", r.Version, "error", err)
			continue
		}
		n.tables.nodes[r.Key] = roster.Instance{
			ID: r.Key, IsNode: true, Region: ident.Region(row.Region), Zone: ident.AvailabilityZone(row.Zone),
			Address: row.CallerAddress, PeerAddress: row.PeerAddress,
		}
		n.tables.capacities[r.Key] = row.Capacity
	}
	n.tables.mu.Unlock()
	n.rebuildInstances()
	if !isFirst && len(rows) > 0 && len(n.members.View().Members) < fewMembers {
		n.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
			defer cancel()
			n.members.Seed(ctx)
		})
	}
}

// learnBuild records the schema of a node's row, and reports whether the node is one of an
// earlier build now, or no longer. The caller holds t.mu.
func (t *tableState) learnBuild(name string, schema int, now time.Time) bool {
	known, isEarlier := t.earlierBuilds[name]
	switch {
	case schema < nodeRowSchema:
		if t.earlierBuilds == nil {
			t.earlierBuilds = map[string]earlierBuild{}
		}
		t.earlierBuilds[name] = earlierBuild{ranAt: now}
		return !isEarlier || known.isReplaced
	case isEarlier && !known.isReplaced:
		t.earlierBuilds[name] = earlierBuild{ranAt: now, isReplaced: true}
		return true
	}
	return false
}

// earlierNodes returns the nodes whose rows have an earlier schema.
func (t *tableState) earlierNodes() map[ident.NodeID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := map[ident.NodeID]bool{}
	for name, build := range t.earlierBuilds {
		nodes[ident.NodeID(name)] = !build.isReplaced
	}
	return nodes
}

// mayUseUnlisted reports whether nodes may run that use releases before releaseTable lists them.
func (n *Node) mayUseUnlisted(now time.Time) bool {
	view := n.members.View()
	n.tables.mu.Lock()
	defer n.tables.mu.Unlock()
	mayRun := false
	for name, build := range n.tables.earlierBuilds {
		if _, isMember := view.Find(ident.NodeID(name)); isMember && !build.isReplaced {
			build.ranAt = now
			n.tables.earlierBuilds[name] = build
		}
		mayRun = mayRun || now.Sub(build.ranAt) <= earlierBuildTTL
	}
	return mayRun
}

// registerNode writes this node's row and retries until the store confirms it or
// ctx is done. With withMarks it marks all tables in the same transaction: rows without marks
// may exist, and the row that this one overwrites may be all that shows it.
func (n *Node) registerNode(ctx context.Context, withMarks bool) {
	row, err := json.Marshal(nodeRow{
		Zone: string(n.Process.Zone), Region: string(n.Process.Region),
		PeerAddress: n.Process.PeerAddress, CallerAddress: n.Process.CallerAddress,
		Capacity: n.Process.Capacity,
		Schema:   nodeRowSchema,
	})
	if err != nil {
		panic(err) // encoding strings cannot fail.
	}
	for {
		writes := []store.Write{{Table: nodeTable, Key: string(n.Process.Name), Value: row}}
		if withMarks {
			for _, table := range slices.Sorted(maps.Keys(rowLifetime)) {
				writes = append(writes, markOf(table, time.Now()))
			}
		}
		err := n.writeRows(ctx, writes)
		if err == nil {
			return
		}
		n.Log.Warn("node_row_not_written", "error", err)
		if !tick.Sleep(ctx, registerPause) {
			return
		}
	}
}

func (n *Node) writeRows(ctx context.Context, writes []store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	result, err := n.Store.Transact(ctx, nil, writes)
	if err == nil && !result.Applied {
		err = eris.New("the store rejected the write of the node's row")
	}
	return err
}
