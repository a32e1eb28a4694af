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
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

// recoverInterval is the time between looks for dead nodes whose blocks are
// held here.
const recoverInterval = 2 * time.Second

const (
	// platformWrite is the time between a node's ledger objects where calls to
	// the store are dear.
	platformWrite = 10 * time.Second
	// dropAtOnce is how many of the oldest objects make room in a full store.
	dropAtOnce = 16
)

// SetLedgerKey gives the key that signs the ledger, where it is known only after
// Prepare. Call it before Start.
func (n *Node) SetLedgerKey(key ed25519.PrivateKey) { n.ledger.Key = key }

// putLedger writes an object, and makes room for it when the store is full.
func (n *Node) putLedger(ctx context.Context, name string, body []byte) error {
	packed := ledger.Pack(body)
	err := n.Store.PutObject(ctx, name, packed)
	if eris.Is(err, store.ErrFull) {
		if err = n.dropOldest(ctx); err == nil {
			err = n.Store.PutObject(ctx, name, packed)
		}
	}
	if err != nil {
		n.Log.Warn("ledger_not_written", "object", name, "bytes", len(packed), "error", err)
	}
	return err
}

// dropOldest removes the oldest ledger objects.
func (n *Node) dropOldest(ctx context.Context) error {
	names, err := n.Store.Names(ctx, ledger.Prefix)
	if err != nil {
		return err
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(ledger.Age(a), ledger.Age(b)) })
	for _, name := range names[:min(len(names), dropAtOnce)] {
		n.Log.Warn("ledger_object_dropped", "object", name, "reason", "the store is full")
		if err := n.Store.Drop(ctx, name); err != nil {
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
		Node: n.Process.Name, Key: n.LedgerKey, Clock: &n.clock, Put: n.putLedger, Replicate: n.replicateBlock,
	}
	if n.Platform != nil {
		n.ledger.Interval = platformWrite
	}
	n.meter.Gauge("goldcrestwick_ledger_records_kept", func() float64 { return float64(n.ledger.Kept()) })
	n.meter.Gauge("goldcrestwick_ledger_blocks_held", func() float64 { return float64(n.copies.Count()) })
}

func (n *Node) startLedger(ctx context.Context) {
	if n.ledger == nil {
		return
	}
	n.tasks.Go(func() { n.ledger.Run(ctx) })
	n.tasks.Go(func() { tick.Every(ctx, recoverInterval, n.recoverBlocks) })
}

// prove adds a step to the ledger.
func (n *Node) prove(r trace.Record) {
	if n.ledger != nil {
		n.ledger.Add(r)
	}
}

func (n *Node) isLedgerFull() bool { return n.ledger != nil && n.ledger.IsFull() }

// replicateBlock gives a block to a node in another zone, the same one as long as it
// lives.
func (n *Node) replicateBlock(ctx context.Context, b ledger.Block, written uint64) error {
	to, ok := n.replicaNode()
	if !ok {
		return errNotReached
	}
	message := wire.LedgerReplica{Block: ledger.Pack(ledger.Encode([]ledger.Block{b})), Written: written}
	_, err := link.Call[wire.LedgerReplica, wire.Done](ctx, n.Open, to.PeerAddress, wire.KindLedgerReplica, message)
	if err != nil {
		n.Log.Debug("ledger_block_not_copied", "holder", to.ID, "last", b.Last(), "error", err)
	}
	return err
}

func (n *Node) replicaNode() (member.Member, bool) {
	var elsewhere, same []member.Member
	for _, m := range n.members.View().Ready(n.Process.Region) {
		switch {
		case m.ID == n.Process.Name:
		case m.Zone != n.Process.Zone:
			elsewhere = append(elsewhere, m)
		default:
			same = append(same, m)
		}
	}
	if len(elsewhere) == 0 {
		elsewhere = same
	}
	return member.Owner(elsewhere, "ledger/"+string(n.Process.Name))
}

func (n *Node) serveLedgerReplica(_ context.Context, s *link.Stream, m wire.LedgerReplica) {
	blocks, err := ledger.Unpack(m.Block)
	if err != nil {
		n.Log.Warn("ledger_copy_unreadable", "bytes", len(m.Block), "error", err)
		return
	}
	for _, b := range blocks {
		if !n.copies.Add(b, m.Written) {
			n.Log.Warn("ledger_copy_not_held", "writer", b.Chain.Node, "last", b.Last(), "blocks_held", n.copies.Count())
			return
		}
	}
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // the writer keeps the block as well.
}

// recoverBlocks writes the blocks of nodes that died.
func (n *Node) recoverBlocks(ctx context.Context) {
	view := n.members.View()
	alive := func(id ident.NodeID) bool {
		_, ok := view.Find(id)
		return ok
	}
	n.copies.Recover(ctx, alive, n.putLedger)
}
