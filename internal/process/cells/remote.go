package cells

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/ident"
)

// frame is one message read from a bid's stream.
type frame struct {
	kind link.Kind
	body []byte
}

// serveGrantRequest answers another node's bid and follows the granted request on the
// same stream until it ends.
func (m *Manager) serveGrantRequest(ctx context.Context, s *link.Stream, message wire.GrantRequest) {
	cell := m.Local(message.CellID())
	if cell == nil && message.Standby {
		cell = m.Standby(message.CellID(), false)
	}
	if cell == nil {
		moved := sched.GrantResponse{Outcome: sched.Moved, Reason: sched.ReasonCellMoved}
		s.Send(wire.KindGrantResponse, wire.FromGrantResponse(moved)) //nolint:errcheck // the bidder sees the stream end.
		return
	}
	m.Clock.Observe(clock.Time(message.Clock))
	woken := make(chan struct{}, 1)
	b := message.ToGrantRequest(time.Now())
	b.Wake = func() { woken <- struct{}{} }
	frames := readFrames(s)
	if !cell.Submit(b) && !waitFor(s, woken, frames) {
		if !cell.Cancel(b) && b.Response.Outcome == sched.Granted {
			cell.Done(b.Request, sched.Completion{Unused: true})
		}
		return
	}
	answer := wire.FromGrantResponse(b.Response)
	answer.Clock = uint64(m.Clock.Now())
	err := s.Send(wire.KindGrantResponse, answer)
	if b.Response.Outcome != sched.Granted {
		return
	}
	if err != nil || !m.follow(ctx, cell, b, frames) {
		m.startAudit(cell, b.Request, b.Node)
	}
}

// waitFor waits for a bid's answer and tells the bidder now and then that this
// node is there. It reports false when the bidder went away.
func waitFor(s *link.Stream, woken <-chan struct{}, frames <-chan frame) bool {
	ticker := time.NewTicker(queuedInterval)
	defer ticker.Stop()
	for {
		if s.Send(wire.KindQueued, wire.Done{}) != nil {
			return false
		}
		select {
		case <-woken:
			return true
		case <-frames:
			return false
		case <-ticker.C:
		}
	}
}

// readFrames reads a stream until it ends, which closes the channel.
func readFrames(s *link.Stream) <-chan frame {
	frames := make(chan frame, 2)
	go func() {
		defer close(frames)
		for {
			kind, body, err := s.Receive()
			if err != nil {
				return
			}
			frames <- frame{kind, body}
		}
	}()
	return frames
}

// follow reports whether it saw the request's end: the stream told it, or the
// bidder's node no longer holds the request.
func (m *Manager) follow(ctx context.Context, cell *sched.Cell, b *sched.GrantRequest, frames <-chan frame) bool {
	id := b.Request
	quiet := time.NewTimer(quietTime)
	defer quiet.Stop()
	for {
		var f frame
		select {
		case next, ok := <-frames:
			if !ok {
				return false
			}
			f = next
		case <-quiet.C:
			if m.endUnheld(ctx, cell, id, b.Node) {
				return true
			}
		}
		quiet.Reset(quietTime)
		switch f.kind {
		case wire.KindStarted:
			if started, err := link.Decode[wire.Started](f.body); err == nil && started.Known {
				cell.Occupied(id, sched.Occupancy{Running: started.Running, Waiting: started.Waiting})
			}
			cell.FirstToken(id)
		case wire.KindProgress:
			if p, err := link.Decode[wire.Progress](f.body); err == nil {
				cell.Progress(id, time.Duration(p.InterTokenLatency))
			}
		case wire.KindCompleted:
			ended, err := link.Decode[wire.Completion](f.body)
			if err != nil {
				return false
			}
			cell.Done(id, ended.ToCompletion())
			return true
		}
	}
}

func (m *Manager) startAudit(cell *sched.Cell, id ident.RequestID, node ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx != nil && m.ctx.Err() == nil {
		ctx := m.ctx
		m.tasks.Go(func() { m.audit(ctx, cell, id, node) })
	}
}

// endUnheld ends a request that its entry node no longer holds, and reports
// whether it did. A node that does not answer may hold it.
func (m *Manager) endUnheld(ctx context.Context, cell *sched.Cell, id ident.RequestID, node ident.NodeID) bool {
	held, ok := m.heldBy(ctx, node, cell.ID)
	if !ok || held[id] {
		return false
	}
	cell.Done(id, sched.Completion{Unused: true})
	return true
}

// audit asks the entry node of a request whose stream broke whether it still
// holds the request, until it does not. The cell may be the node's own, stand
// in for another, or have been handed over.
func (m *Manager) audit(ctx context.Context, cell *sched.Cell, id ident.RequestID, node ident.NodeID) {
	for wait := firstAudit; cell.IsInFlight(id) && tick.Sleep(ctx, wait); wait = auditInterval {
		if m.endUnheld(ctx, cell, id, node) {
			return
		}
	}
}

func (m *Manager) serveEnded(_ context.Context, s *link.Stream, message wire.Completion) {
	id := ident.CellID{Pool: ident.PoolID(message.Pool), Index: message.Cell}
	if cell := m.find(id); cell != nil {
		cell.Done(ident.RequestID(message.Request), message.ToCompletion())
	}
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // the sender tries again.
}

// serveInFlight tells a cell's new node what this node holds and knows of it.
func (m *Manager) serveInFlight(_ context.Context, s *link.Stream, message wire.InFlightCall) {
	id := ident.CellID{Pool: ident.PoolID(message.Pool), Index: message.Cell}
	var reply wire.InFlightReply
	for _, h := range m.InFlight(id) {
		reply.InFlight = append(reply.InFlight, wire.FromInFlight(h))
	}
	if cell := m.find(id); cell != nil {
		for _, l := range cell.Estimates() {
			reply.Estimates = append(reply.Estimates, wire.FromEndpointEstimate(l))
		}
	}
	for _, ask := range m.tiers.Pending(time.Now()) {
		if ask.Pool == id.Pool {
			reply.Levels = append(reply.Levels, wire.FromCloseRequest(m.Self().ID, ask))
		}
	}
	s.Send(wire.KindInFlight, reply) //nolint:errcheck // the new node asks again.
}

// takeOver learns from every member what is in flight in a cell. The highest
// tier is granted after the first round of questions; the others wait until
// every member has answered or left the view, since a member that did not
// answer may have closed them.
func (m *Manager) takeOver(ctx context.Context, cell *sched.Cell) {
	defer m.followAdopted(ctx, cell)
	answered := map[ident.NodeID]bool{m.Self().ID: true}
	for _, h := range m.InFlight(cell.ID) {
		cell.Adopt(h)
	}
	for {
		missing := m.requestInFlight(ctx, cell, answered)
		if missing == 0 {
			cell.Resume(admit.AdmitAll)
			return
		}
		lowest := ident.Tier(0)
		if len(m.Roster().Cells(cell.ID.Pool)) <= 1 {
			// No other cell can have closed the pool's lower tiers.
			lowest = admit.AdmitAll
		}
		cell.Resume(lowest)
		select {
		case <-ctx.Done():
			return
		case <-time.After(askPause):
		}
		if m.Local(cell.ID) != cell {
			return
		}
	}
}

// followAdopted asks the nodes that hold adopted requests now and then which
// of them are still there, since their ends may be told to the cell's node of
// before.
func (m *Manager) followAdopted(ctx context.Context, cell *sched.Cell) {
	for m.Local(cell.ID) == cell {
		nodes := cell.Adopters()
		if len(nodes) == 0 {
			return
		}
		for _, node := range nodes {
			if held, ok := m.heldBy(ctx, node, cell.ID); ok {
				cell.KeepAdopted(node, held)
			}
		}
		if !tick.Sleep(ctx, adoptedInterval) {
			return
		}
	}
}

// heldBy returns the requests of a cell that a node holds; ok is false when the
// node does not answer. A node that is no member holds none.
func (m *Manager) heldBy(ctx context.Context, node ident.NodeID, id ident.CellID) (held map[ident.RequestID]bool, ok bool) {
	held = map[ident.RequestID]bool{}
	if node == m.Self().ID {
		for _, h := range m.InFlight(id) {
			held[h.Request] = true
		}
		return held, true
	}
	other, known := m.Members().Find(node)
	if !known {
		return held, true
	}
	reply, err := m.callInFlight(ctx, other, id)
	for _, h := range reply.InFlight {
		held[ident.RequestID(h.Request)] = true
	}
	return held, err == nil
}

// requestInFlight asks the members that have not answered yet, all at once, and
// returns how many are still missing.
func (m *Manager) requestInFlight(ctx context.Context, cell *sched.Cell, answered map[ident.NodeID]bool) int {
	type reply struct {
		from member.Member
		wire.InFlightReply
		err error
	}
	region := m.Self().Region
	replies := make(chan reply)
	asked := 0
	for _, other := range m.Members().Members {
		if other.Region != region || answered[other.ID] {
			continue
		}
		asked++
		go func() {
			held, err := m.callInFlight(ctx, other, cell.ID)
			replies <- reply{other, held, err}
		}()
	}
	missing := 0
	for range asked {
		r := <-replies
		if r.err != nil {
			missing++
			continue
		}
		answered[r.from.ID] = true
		m.learn(cell, r.from.ID, r.InFlightReply)
	}
	return missing
}

func (m *Manager) callInFlight(ctx context.Context, to member.Member, id ident.CellID) (wire.InFlightReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call := wire.InFlightCall{Pool: string(id.Pool), Cell: id.Index}
	return link.Call[wire.InFlightCall, wire.InFlightReply](ctx, m.Open, to.PeerAddress, wire.KindInFlight, call)
}

func (m *Manager) learn(cell *sched.Cell, from ident.NodeID, r wire.InFlightReply) {
	for _, h := range r.InFlight {
		cell.Adopt(h.ToInFlight(from))
	}
	for _, l := range r.Estimates {
		cell.SetEstimate(l.ToEndpointEstimate())
	}
	for _, f := range r.Levels {
		m.tiers.Close(f.ToCloseRequest(), time.Now())
	}
}
