package node

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
)

// recoverInterval is the time between checks for dead nodes whose block replicas
// this node holds.
const recoverInterval = 2 * time.Second

const (
	// platformWriteInterval is the time between a node's ledger objects on the
	// platform, where store calls are expensive. It grows with the fleet from
	// ledgerFleet members on, up to maxWriteFactor times: the blocks have a copy on
	// another node, and a node of a large fleet adds few records.
	platformWriteInterval = 10 * time.Second
	ledgerFleet           = 32
	maxWriteFactor        = 3
	// dropBatchSize is the number of the oldest objects deleted at a time when the
	// store is full.
	dropBatchSize = 16
)

// SetLedgerKey sets the key that signs the ledger, for callers that obtain it only
// after Prepare. Call it before Start. The node must have a ledger, that is, have
// had Platform or LedgerKey set at Prepare.
func (n *Node) SetLedgerKey(key ed25519.PrivateKey) { n.ledger.Key = key }

// putLedgerObject writes an object. If the store is full, it deletes the oldest
// ledger objects and retries once.
func (n *Node) putLedgerObject(ctx context.Context, name string, body []byte) error {
	packed := ledger.Pack(body)
	err := n.Store.PutObject(ctx, name, packed)
	if eris.Is(err, store.ErrFull) {
		if err = n.dropOldestObjects(ctx); err == nil {
			err = n.Store.PutObject(ctx, name, packed)
		}
	}
	if err != nil {
		n.Log.Warn("ledger_not_written", "object", name, "bytes", len(packed), "error", err)
	}
	return err
}

// dropOldestObjects deletes the oldest ledger objects.
func (n *Node) dropOldestObjects(ctx context.Context) error {
	names, err := n.Store.ListObjects(ctx, ledger.Prefix)
	if err != nil {
		return err
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(ledger.SortKey(a), ledger.SortKey(b)) })
	for _, name := range names[:min(len(names), dropBatchSize)] {
		n.Log.Warn("ledger_object_dropped", "object", name, "reason", "the store is full")
		if err := n.Store.Delete(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) prepareLedger(mux *link.Mux) {
	link.Handle(mux, wire.KindLedgerReplica, n.serveLedgerReplica)
	if n.LedgerKey == nil && n.Platform == nil {
		return
	}
	n.ledger = &ledger.Writer{
		Node: n.Process.Name, Key: n.LedgerKey, Clock: &n.hybridClock, Put: n.putLedgerObject, Replicate: n.replicateBlock,
	}
	if n.Platform != nil {
		n.ledger.Interval = func() time.Duration {
			factor := min(max(len(n.members.View().Members)/ledgerFleet, 1), maxWriteFactor)
			return time.Duration(factor) * platformWriteInterval
		}
	}
	n.meter.Gauge("goldcrestwick_ledger_records_kept", func() float64 { return float64(n.ledger.Pending()) })
	n.meter.Gauge("goldcrestwick_ledger_blocks_held", func() float64 { return float64(n.replicas.Count()) })
}

func (n *Node) startLedger(ctx context.Context) {
	if n.ledger == nil {
		return
	}
	n.tasks.Go(func() { n.ledger.Run(ctx) })
	n.tasks.Go(func() { tick.Every(ctx, recoverInterval, n.recoverBlocks) })
}

// appendToLedger adds a step to the ledger, if the node keeps one.
func (n *Node) appendToLedger(r trace.Record) {
	if n.ledger != nil {
		n.ledger.Add(r)
	}
}

func (n *Node) isLedgerFull() bool { return n.ledger != nil && n.ledger.IsFull() }

// replicateBlock sends a block to the node that holds this node's replicas: one
// in another zone if possible, and the same one as long as it is ready.
func (n *Node) replicateBlock(ctx context.Context, b ledger.Block, written uint64) error {
	to, ok := n.replicaNode()
	if !ok {
		return errUnreachable
	}
	call := wire.LedgerReplica{Block: ledger.Pack(ledger.Encode([]ledger.Block{b})), WrittenThrough: written}
	_, err := link.Call[wire.LedgerReplica, wire.Empty](ctx, n.Open, to.PeerAddress, wire.KindLedgerReplica, call)
	if err != nil {
		n.Log.Debug("ledger_block_not_copied", "holder", to.ID, "last", b.Last(), "error", err)
	}
	return err
}

func (n *Node) replicaNode() (member.Member, bool) {
	var otherZones, sameZone []member.Member
	for _, m := range n.members.View().Ready(n.Process.Region) {
		switch {
		case m.ID == n.Process.Name:
		case m.Zone != n.Process.Zone:
			otherZones = append(otherZones, m)
		default:
			sameZone = append(sameZone, m)
		}
	}
	if len(otherZones) == 0 {
		otherZones = sameZone
	}
	return member.Owner(otherZones, "ledger/"+string(n.Process.Name))
}

func (n *Node) serveLedgerReplica(_ context.Context, s *link.Stream, m wire.LedgerReplica) {
	blocks, err := ledger.Unpack(m.Block)
	if err != nil {
		n.Log.Warn("ledger_copy_unreadable", "bytes", len(m.Block), "error", err)
		return
	}
	for _, b := range blocks {
		if !n.replicas.Add(b, m.WrittenThrough) {
			n.Log.Warn("ledger_copy_not_held", "writer", b.Chain.Node, "last", b.Last(), "blocks_held", n.replicas.Count())
			return
		}
	}
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the writer keeps the block until it is stored.
}

// recoverBlocks writes the replicated blocks of dead nodes to the object store.
func (n *Node) recoverBlocks(ctx context.Context) {
	view := n.members.View()
	alive := func(id ident.NodeID) bool {
		_, ok := view.Find(id)
		return ok
	}
	n.replicas.Recover(ctx, alive, n.putLedgerObject)
}
