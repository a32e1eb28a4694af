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

// frame is one message read from the stream of a grant request.
type frame struct {
	kind link.Kind
	body []byte
}

// serveGrantRequest responds to another node's grant request and, once it is
// granted, tracks the request on the same stream until it completes.
func (m *Manager) serveGrantRequest(ctx context.Context, s *link.Stream, message wire.GrantRequest) {
	cell := m.LocalCell(message.CellID())
	if cell == nil && message.Standby {
		cell = m.StandbyCell(message.CellID(), false)
	}
	if cell == nil {
		moved := sched.GrantResponse{Outcome: sched.Moved, Reason: sched.ReasonCellMoved}
		s.Send(wire.KindGrantResponse, wire.FromGrantResponse(moved)) //nolint:errcheck // the requester sees the stream end.
		return
	}
	m.Clock.Observe(clock.Time(message.Clock))
	done := make(chan struct{})
	defer close(done)
	woken := make(chan struct{}, 1)
	request := message.ToGrantRequest(time.Now())
	request.MayRedirect = request.MayRedirect && !message.Standby
	request.Wake = func() { woken <- struct{}{} }
	frames := readFrames(s, done)
	if !m.Submit(cell, request) && !waitForResponse(s, woken, frames) {
		if !cell.Cancel(request) && request.Response.Outcome == sched.Granted {
			cell.Complete(request.Request, sched.Completion{Unused: true})
		}
		return
	}
	response := wire.FromGrantResponse(request.Response)
	response.Clock = uint64(m.Clock.Now())
	err := s.Send(wire.KindGrantResponse, response)
	if request.Response.Outcome != sched.Granted {
		return
	}
	if err != nil || !m.trackRequest(ctx, cell, request, frames) {
		m.startInFlightCheck(cell, request.Request, request.Node)
	}
}

// waitForResponse waits until a queued grant request is decided and sends
// keep-alive messages to the requester meanwhile. It returns false if the
// requester closed the stream or sent a message before the response.
func waitForResponse(s *link.Stream, woken <-chan struct{}, frames <-chan frame) bool {
	ticker := time.NewTicker(queuedKeepAliveInterval)
	defer ticker.Stop()
	for {
		if s.Send(wire.KindQueued, wire.Empty{}) != nil {
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

// readFrames reads a stream until it ends, which closes the channel, or done is closed.
// The stream's context is no substitute for done: it ends when the requester closes the
// stream, while its last messages are still to be read.
func readFrames(s *link.Stream, done <-chan struct{}) <-chan frame {
	frames := make(chan frame, 2)
	go func() {
		defer close(frames)
		for {
			kind, body, err := s.Receive()
			if err != nil {
				return
			}
			select {
			case frames <- frame{kind, body}:
			case <-done:
				return
			}
		}
	}()
	return frames
}

// trackRequest applies the messages about a granted request to its cell. It
// reports whether the request ended: the stream carried its completion, or the
// request is no longer in flight at its entry node. It returns false if the stream
// ends first or its completion cannot be decoded.
func (m *Manager) trackRequest(ctx context.Context, cell *sched.Cell, request *sched.GrantRequest, frames <-chan frame) bool {
	id := request.Request
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	for {
		var f frame
		select {
		case received, ok := <-frames:
			if !ok {
				return false
			}
			f = received
		case <-idle.C:
			if m.endIfNotInFlight(ctx, cell, id, request.Node) {
				return true
			}
			// f is empty and matches no kind below.
		}
		idle.Reset(streamIdleTimeout)
		switch f.kind {
		case wire.KindStarted:
			if started, err := link.Decode[wire.Started](f.body); err == nil {
				cell.UpdateEndpoint(id, started.ToStatement())
			}
			cell.FirstToken(id)
		case wire.KindProgress:
			if p, err := link.Decode[wire.Progress](f.body); err == nil {
				cell.Progress(id, time.Duration(p.InterTokenLatency))
			}
		case wire.KindCompleted:
			completion, err := link.Decode[wire.Completion](f.body)
			if err != nil {
				return false
			}
			cell.Complete(id, completion.ToCompletion())
			return true
		}
	}
}

// startInFlightCheck runs checkInFlight in the background. It does nothing before
// Run is called or after Run's context is done.
func (m *Manager) startInFlightCheck(cell *sched.Cell, id ident.RequestID, node ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx != nil && m.ctx.Err() == nil {
		ctx := m.ctx
		m.tasks.Go(func() { m.checkInFlight(ctx, cell, id, node) })
	}
}

// endIfNotInFlight ends a request that is no longer in flight at its entry node
// and reports whether it did. If the entry node does not respond, the request is
// assumed to be in flight.
func (m *Manager) endIfNotInFlight(ctx context.Context, cell *sched.Cell, id ident.RequestID, node ident.NodeID) bool {
	inFlight, ok := m.inFlightAt(ctx, node, cell.ID)
	if !ok || inFlight[id] {
		return false
	}
	cell.Complete(id, sched.Completion{Unused: true})
	return true
}

// checkInFlight queries the entry node of a request whose stream broke until the
// request is no longer in flight. The cell may be owned, standby or retired.
func (m *Manager) checkInFlight(ctx context.Context, cell *sched.Cell, id ident.RequestID, node ident.NodeID) {
	for delay := firstInFlightCheckDelay; cell.IsInFlight(id) && tick.Sleep(ctx, delay); delay = inFlightCheckInterval {
		if m.endIfNotInFlight(ctx, cell, id, node) {
			return
		}
	}
}

func (m *Manager) serveCompletion(_ context.Context, s *link.Stream, message wire.Completion) {
	id := ident.CellID{Pool: ident.PoolID(message.Pool), Index: message.Cell}
	if cell := m.localOrRetired(id); cell != nil {
		cell.Complete(ident.RequestID(message.Request), message.ToCompletion())
	}
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the sender retries.
}

// serveInFlight sends the new owner of a cell this node's in-flight requests,
// endpoint estimates and pending close requests for it.
func (m *Manager) serveInFlight(_ context.Context, s *link.Stream, message wire.InFlightQuery) {
	id := ident.CellID{Pool: ident.PoolID(message.Pool), Index: message.Cell}
	var reply wire.InFlightReply
	for _, f := range m.InFlight(id) {
		reply.InFlight = append(reply.InFlight, wire.FromInFlight(f))
	}
	if cell := m.localOrRetired(id); cell != nil {
		for _, estimate := range cell.Estimates() {
			reply.Estimates = append(reply.Estimates, wire.FromEndpointEstimate(estimate))
		}
	}
	if m.KnownLimits != nil {
		reply.Limits = wire.FromLimits(m.KnownLimits())
	}
	for _, request := range m.admission.Pending(time.Now()) {
		if request.Pool == id.Pool {
			reply.Levels = append(reply.Levels, wire.FromCloseRequest(m.Self().ID, request))
		}
	}
	s.Send(wire.KindInFlight, reply) //nolint:errcheck // the new owner queries again.
}

// takeOverSettled takes over a cell once this node has owned it for a time.
func (m *Manager) takeOverSettled(ctx context.Context, cell *sched.Cell, settling time.Duration) {
	if settling > 0 && !tick.Sleep(ctx, settling) || m.LocalCell(cell.ID) != cell {
		return
	}
	m.takeOver(ctx, cell)
}

// takeOver collects from every member the in-flight requests of a cell. The
// highest tier is granted after the first round of queries; the other tiers
// wait until every member has replied or left the view, because a member that
// has not replied may have closed them. They do not wait if the pool has only one
// cell or if they share a group with the highest tier.
func (m *Manager) takeOver(ctx context.Context, cell *sched.Cell) {
	defer m.checkAdopted(ctx, cell)
	replied := map[ident.NodeID]bool{m.Self().ID: true}
	for _, f := range m.InFlight(cell.ID) {
		m.adopt(cell, f)
	}
	if m.KnownLimits != nil {
		cell.LearnLimits(m.KnownLimits())
	}
	for {
		missing := m.queryMembers(ctx, cell, replied)
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
		case <-time.After(takeOverRetryInterval):
		}
		if m.LocalCell(cell.ID) != cell {
			return
		}
	}
}

// checkAdopted periodically queries the entry nodes of adopted requests and ends
// those no longer in flight, since their completions may have been reported to
// the previous owner of the cell.
func (m *Manager) checkAdopted(ctx context.Context, cell *sched.Cell) {
	for m.LocalCell(cell.ID) == cell {
		nodes := cell.NodesWithAdopted()
		if len(nodes) == 0 {
			return
		}
		for _, node := range nodes {
			if inFlight, ok := m.inFlightAt(ctx, node, cell.ID); ok {
				cell.ReconcileAdopted(node, inFlight)
			}
		}
		if !tick.Sleep(ctx, adoptedCheckInterval) {
			return
		}
	}
}

// inFlightAt returns the requests of a cell that are in flight at an entry node;
// ok is false if the node does not respond. A node that is not a member has none.
func (m *Manager) inFlightAt(ctx context.Context, node ident.NodeID, id ident.CellID) (inFlight map[ident.RequestID]bool, ok bool) {
	inFlight = map[ident.RequestID]bool{}
	if node == m.Self().ID {
		for _, f := range m.InFlight(id) {
			inFlight[f.Request] = true
		}
		return inFlight, true
	}
	other, known := m.Members().Find(node)
	if !known {
		return inFlight, true
	}
	reply, err := m.callInFlight(ctx, other, id)
	for _, f := range reply.InFlight {
		inFlight[ident.RequestID(f.Request)] = true
	}
	return inFlight, err == nil
}

// queryMembers queries in parallel the members of the region that have not
// replied yet, and returns the number that still have not.
func (m *Manager) queryMembers(ctx context.Context, cell *sched.Cell, replied map[ident.NodeID]bool) int {
	type reply struct {
		from member.Member
		wire.InFlightReply
		err error
	}
	region := m.Self().Region
	replies := make(chan reply)
	queried := 0
	for _, other := range m.Members().Members {
		if other.Region != region || replied[other.ID] {
			continue
		}
		queried++
		go func() {
			inFlight, err := m.callInFlight(ctx, other, cell.ID)
			replies <- reply{other, inFlight, err}
		}()
	}
	missing := 0
	for range queried {
		r := <-replies
		if r.err != nil {
			missing++
			continue
		}
		replied[r.from.ID] = true
		m.applyInFlightReply(cell, r.from.ID, r.InFlightReply)
	}
	return missing
}

func (m *Manager) callInFlight(ctx context.Context, to member.Member, id ident.CellID) (wire.InFlightReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	query := wire.InFlightQuery{Pool: string(id.Pool), Cell: id.Index}
	return link.Call[wire.InFlightQuery, wire.InFlightReply](ctx, m.Open, to.PeerAddress, wire.KindInFlight, query)
}

func (m *Manager) applyInFlightReply(cell *sched.Cell, from ident.NodeID, r wire.InFlightReply) {
	for _, f := range r.InFlight {
		m.adopt(cell, f.ToInFlight(from))
	}
	cell.LearnLimits(wire.ToLimits(r.Limits))
	for _, estimate := range r.Estimates {
		cell.SetEstimate(estimate.ToEndpointEstimate())
	}
	for _, request := range r.Levels {
		m.admission.Close(request.ToCloseRequest(), time.Now())
	}
}

// adopt adds a request in flight that another node's cell granted.
func (m *Manager) adopt(cell *sched.Cell, f sched.InFlight) {
	cell.Adopt(f)
	if f.Started && f.Stream != "" {
		m.ReportStarted(cell.ID, f.Stream, f.Release)
	}
}
