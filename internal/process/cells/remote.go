package cells

import (
	"context"
	"slices"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/tick"
)

// frame is one message read from the stream of a grant request.
type frame struct {
	kind link.Kind
	body []byte
}

// serveGrantRequest responds to another node's grant request and, once it is
// granted, tracks the request on the same stream until it completes.
func (m *Manager) serveGrantRequest(ctx context.Context, s *link.Stream, message wire.GrantRequest) {
	isWhole := m.learnForm(message.CellID().Pool, message.CellID().Index == 0)
	cell := m.LocalCell(message.CellID())
	if message.Standby && (cell == nil || cell.IsHeldUp(ident.Tier(message.Tier))) {
		// By the requester's view another node, which is unresponsive, owns the cell. A takeover
		// by this node's view must not delay the request.
		if standby := m.StandbyCell(message.CellID(), false); standby != nil {
			cell = standby
		}
	}
	if cell == nil {
		moved := sched.GrantResponse{Outcome: sched.Moved, Reason: sched.ReasonCellMoved}
		response := wire.FromGrantResponse(moved)
		response.IsWhole = isWhole
		s.Send(wire.KindGrantResponse, response) //nolint:errcheck // the requester sees the stream end.
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
			cell.Track(request).Complete(sched.Completion{Unused: true})
		}
		return
	}
	response := wire.FromGrantResponse(request.Response)
	response.Clock = uint64(m.Clock.Now())
	err := s.Send(wire.KindGrantResponse, response)
	s.CloseWrite()
	if request.Response.Outcome != sched.Granted {
		return
	}
	// CloseWrite has ended the stream's context.
	ctx = context.WithoutCancel(ctx)
	if err != nil || !m.trackRequest(ctx, cell, request, frames) {
		m.startInFlightCheck(cell, request)
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
	tracker := cell.Track(request)
	idle := time.NewTimer(untilCheck(request, streamIdleTimeout))
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
			if m.endIfNotInFlight(ctx, cell, request) {
				return true
			}
			// f is empty and matches no kind below.
		}
		idle.Reset(untilCheck(request, streamIdleTimeout))
		switch f.kind {
		case wire.KindStarted:
			if started, err := link.Decode[wire.Started](f.body); err == nil {
				tracker.UpdateEndpoint(started.ToStatement())
			}
			tracker.FirstToken()
		case wire.KindProgress:
			if p, err := link.Decode[wire.Progress](f.body); err == nil {
				tracker.Progress(time.Duration(p.InterTokenLatency))
			}
		case wire.KindCompleted:
			completion, err := link.Decode[wire.Completion](f.body)
			if err != nil {
				return false
			}
			tracker.Complete(completion.ToCompletion())
			return true
		}
	}
}

// startInFlightCheck runs checkInFlight in the background. It does nothing before
// Run is called or after Run's context is done.
func (m *Manager) startInFlightCheck(cell *sched.Cell, request *sched.GrantRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx != nil && m.ctx.Err() == nil {
		ctx := m.ctx
		m.tasks.Go(func() { m.checkInFlight(ctx, cell, request) })
	}
}

// endIfNotInFlight queries the entry node of a request. It ends the request if it is no longer
// in flight there, or if the entry node does not respond and the request's deadline has passed,
// after which its endpoint does not work on it any more. It reports whether it did.
func (m *Manager) endIfNotInFlight(ctx context.Context, cell *sched.Cell, request *sched.GrantRequest) bool {
	tracker := cell.Track(request)
	inFlight, responded := m.inFlightAt(ctx, request.Node, cell.ID)
	tracker.SetOrphaned(!responded)
	switch {
	case !responded && time.Now().Before(request.Deadline):
		return false
	case !responded:
		tracker.Release()
		return true
	case slices.ContainsFunc(inFlight, func(f sched.InFlight) bool { return f.Request == request.Request }):
		return false
	}
	tracker.Complete(sched.Completion{Unused: true})
	return true
}

// untilCheck returns the time until the next query of a request's entry node: the interval, or
// less if the request's deadline comes first.
func untilCheck(request *sched.GrantRequest, interval time.Duration) time.Duration {
	if left := time.Until(request.Deadline); left > 0 {
		return min(interval, left)
	}
	return interval
}

// checkInFlight queries the entry node of a request whose stream broke until the
// request is no longer in flight. The cell may be owned, standby or retired.
func (m *Manager) checkInFlight(ctx context.Context, cell *sched.Cell, request *sched.GrantRequest) {
	for delay := firstInFlightCheckDelay; cell.Track(request).IsInFlight() && tick.Sleep(ctx, delay); delay = untilCheck(request, inFlightCheckInterval) {
		if m.endIfNotInFlight(ctx, cell, request) {
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
	reply := wire.InFlightReply{IsWhole: m.learnForm(id.Pool, message.IsWhole)}
	if message.FormOnly {
		s.Send(wire.KindInFlight, reply) //nolint:errcheck // the sender asks again.
		return
	}
	for _, f := range m.InFlight(id) {
		reply.InFlight = append(reply.InFlight, wire.FromInFlight(f))
	}
	for _, cell := range m.cellsWithEstimates(id) {
		for _, estimate := range cell.Estimates() {
			reply.Estimates = append(reply.Estimates, wire.FromEndpointEstimate(estimate))
		}
	}
	if m.KnownLimits != nil {
		reply.Limits = wire.FromLimits(m.KnownLimits())
	}
	for _, request := range m.admission.Pending() {
		if request.Pool == id.Pool {
			reply.Levels = append(reply.Levels, wire.FromCloseRequest(m.Self().ID, request))
		}
	}
	s.Send(wire.KindInFlight, reply) //nolint:errcheck // the new owner queries again.
}

// inFlightAt returns the requests of a cell that are in flight at an entry node;
// ok is false if the node does not respond. A node that is not a member has none.
func (m *Manager) inFlightAt(ctx context.Context, node ident.NodeID, id ident.CellID) (inFlight []sched.InFlight, ok bool) {
	if node == m.Self().ID {
		return m.InFlight(id), true
	}
	other, known := m.Members().Find(node)
	if !known {
		return nil, true
	}
	reply, err := m.callInFlight(ctx, other, id)
	for _, f := range reply.InFlight {
		inFlight = append(inFlight, f.ToInFlight(node))
	}
	return inFlight, err == nil
}

func (m *Manager) callInFlight(ctx context.Context, to member.Member, id ident.CellID) (wire.InFlightReply, error) {
	query := wire.InFlightQuery{Pool: string(id.Pool), Cell: id.Index, IsWhole: m.Roster().IsWhole(id.Pool)}
	return m.sendInFlightQuery(ctx, to, query)
}

func (m *Manager) sendInFlightQuery(ctx context.Context, to member.Member, query wire.InFlightQuery) (wire.InFlightReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return link.Call[wire.InFlightQuery, wire.InFlightReply](ctx, m.Open, to.PeerAddress, wire.KindInFlight, query)
}
