package node

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

// rescueInterval is the time between looks for dead nodes whose blocks are
// held here.
const rescueInterval = 2 * time.Second

func (n *Node) prepareLedger(mux *link.Mux) {
	link.Handle(mux, wire.KindCopy, n.serveCopy)
	if n.LedgerKey == nil {
		return
	}
	n.ledger = &ledger.Writer{
		Node: n.Process.Name, Key: n.LedgerKey, Clock: &n.clock, Put: n.Store.PutObject, Copy: n.copyBlock,
	}
	n.meter.Gauge("goldcrestwick_ledger_records_kept", func() float64 { return float64(n.ledger.Kept()) })
	n.meter.Gauge("goldcrestwick_ledger_blocks_held", func() float64 { return float64(n.copies.Held()) })
}

func (n *Node) startLedger(ctx context.Context) {
	if n.ledger == nil {
		return
	}
	n.tasks.Go(func() { n.ledger.Run(ctx) })
	n.tasks.Go(func() { tick.Every(ctx, rescueInterval, n.rescue) })
}

// prove adds a step to the ledger.
func (n *Node) prove(r trace.Record) {
	if n.ledger != nil {
		n.ledger.Add(r)
	}
}

func (n *Node) isLedgerFull() bool { return n.ledger != nil && n.ledger.IsFull() }

// copyBlock gives a block to a node in another zone, the same one as long as it
// lives.
func (n *Node) copyBlock(ctx context.Context, b ledger.Block, written uint64) error {
	to, ok := n.copyHolder()
	if !ok {
		return errNotReached
	}
	message := wire.Copy{Block: ledger.Encode([]ledger.Block{b}), Written: written}
	_, err := link.Call[wire.Copy, wire.Done](ctx, n.Open, to.PeerAddress, wire.KindCopy, message)
	return err
}

func (n *Node) copyHolder() (member.Member, bool) {
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

func (n *Node) serveCopy(_ context.Context, s *link.Stream, m wire.Copy) {
	blocks, err := ledger.Decode(m.Block)
	if err != nil {
		return
	}
	for _, b := range blocks {
		if !n.copies.Hold(b, m.Written) {
			return
		}
	}
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // the writer keeps the block as well.
}

// rescue writes the blocks of nodes that died.
func (n *Node) rescue(ctx context.Context) {
	view := n.members.View()
	alive := func(id ident.NodeID) bool {
		_, ok := view.Find(id)
		return ok
	}
	n.copies.Rescue(ctx, alive, n.Store.PutObject)
}
