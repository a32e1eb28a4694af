package entry

import (
	"context"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
)

// Grant is one answered bid. Only a granted one has the functions, and it is
// ended once.
type Grant struct {
	Cell     ident.CellID
	Response sched.GrantResponse
	// Received is when the answer came, from which its life counts.
	Received time.Time
	// Started tells the cell that the first token came and how many requests
	// the endpoint had, if known; Progress the time between tokens of late, Complete
	// how the request went.
	Started  func(*sched.Occupancy)
	Progress func(between time.Duration)
	Complete func(sched.Completion)
}

// upload marks a streamed body as touched when any of it was read.
type upload struct {
	io.Reader
	touched atomic.Bool
}

func (u *upload) Read(b []byte) (int, error) {
	u.touched.Store(true)
	return u.Reader.Read(b)
}

// RequestGrant asks the request's cell until it is granted or refused. While no node
// runs the cell, it tries again until the deadline.
func (e *Entry) RequestGrant(ctx context.Context, j *Job) (*Grant, *refuse.Refusal) {
	if j.Request.Upload != nil {
		if _, ok := j.Request.Upload.(*upload); !ok {
			j.Request.Upload = &upload{Reader: j.Request.Upload}
		}
	}
	for moves := 0; ; moves++ {
		cell, ok := e.chooseCell(j)
		if ok {
			e.note(j, trace.Record{Event: trace.GrantRequested, Cell: cell.String()})
			s := e.bidAt(ctx, j, cell, moves)
			switch s.Response.Outcome {
			case sched.Granted:
				e.note(j, trace.Record{Event: trace.GrantTaken, Endpoint: s.Response.Endpoint})
				return s, nil
			case sched.Shed:
				return nil, shedRefusal(s.Response)
			}
			e.note(j, trace.Record{Event: trace.Moved, Cell: cell.String()})
		}
		if refusal := e.pause(ctx, j); refusal != nil {
			return nil, refusal
		}
	}
}

// pause waits before the next bid, unless the caller or the deadline is gone.
func (e *Entry) pause(ctx context.Context, j *Job) *refuse.Refusal {
	left := time.Until(j.Request.Deadline)
	if left <= bidPause {
		refusal := refuse.New(refuse.NoEndpoint, "no node or endpoint of the pool could be reached before the deadline")
		refusal.RetryAfter = time.Second
		return refusal
	}
	select {
	case <-ctx.Done():
		return e.callerGone(j)
	case <-time.After(bidPause):
		return nil
	}
}

func shedRefusal(a sched.GrantResponse) *refuse.Refusal {
	r := refuse.New(refuse.Reason(a.Reason), shedMessages[a.Reason])
	r.RetryAfter = a.RetryAfter
	return r
}

var shedMessages = map[sched.Reason]string{
	sched.ReasonOverload:            "the pool has more waiting requests than it can hold",
	sched.ReasonTierClosed:          "the pool is overloaded and the tier is closed in favour of higher ones",
	sched.ReasonDeadlineUnreachable: "no endpoint could finish the answer by the deadline",
	sched.ReasonDeadlinePassed:      "the deadline passed while the request waited",
}

// chooseCell spreads requests over a pool's cells by the beginning of their
// prompt, so that a chat comes back to the cell that has its prefix; requests
// without one are spread by their identifier.
func (e *Entry) chooseCell(j *Job) (ident.CellID, bool) {
	all := e.Cells.Roster().Cells(j.Pool.ID)
	if len(all) == 0 {
		return ident.CellID{}, false
	}
	key := string(j.Request.ID)
	if n := len(j.Request.Prefix); n > 0 {
		key = fingerprintKey(j.Request.Prefix[min(n, spreadBlocks)-1])
	}
	best, most := all[0].ID, uint64(0)
	for _, c := range all {
		if score := member.Score(key, c.ID.String()); score >= most {
			best, most = c.ID, score
		}
	}
	return best, true
}

// spreadBlocks is how far into a prompt chats are told apart; the first blocks
// are often a shared instruction.
const spreadBlocks = 8

func fingerprintKey(f ident.Fingerprint) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(f >> (8 * i))
	}
	return string(b[:])
}

// bidAt bids at a cell's node, or at those that stand in for it. After several
// moves the views of this node and of the cell's differ for longer than a change
// takes, and the next nodes stand in.
func (e *Entry) bidAt(ctx context.Context, j *Job, cell ident.CellID, moves int) *Grant {
	b := &sched.GrantRequest{
		Request: j.Request.ID, Node: e.Self, Tier: j.Tier.Rank, Account: j.Account.ID,
		Weight: j.Account.Weight, Prompt: j.Request.Prompt, Output: j.Request.Output,
		Deadline: j.Request.Deadline, Prefix: j.Request.Prefix,
		FirstTokenTarget: j.FirstTokenTarget, Zone: e.Zone, Avoid: j.Avoid, PartTokens: j.PartTokens,
	}
	if local := e.Cells.Local(cell); local != nil {
		return e.bidLocally(ctx, b, local)
	}
	owners := e.Cells.Owners(cell)
	for i, owner := range owners[:min(len(owners), maxOwners)] {
		isStandby := i > 0
		if !isStandby && moves > maxMoves && len(owners) > 1 {
			continue
		}
		if owner.ID == e.Self {
			if g, ok := e.bidHere(ctx, b, cell, isStandby); ok {
				return g
			}
			break
		}
		if e.Cells.IsUnresponsive(owner.ID) {
			continue
		}
		g, heard := e.bidRemotely(ctx, b, remoteCell{cell, owner, isStandby, j.Version})
		if heard {
			e.Cells.MarkResponsive(owner.ID)
		}
		if heard || ctx.Err() != nil {
			return g
		}
		e.Cells.MarkUnresponsive(owner.ID)
		e.note(j, trace.Record{Event: trace.Unresponsive, Cell: cell.String(), Reason: string(owner.ID)})
	}
	if alone := e.Cells.Standby(cell, true); alone != nil {
		return e.bidLocally(ctx, b, alone)
	}
	return moved()
}

// maxOwners bounds the nodes that stand in for a cell before a node decides
// alone.
const maxOwners = 3

// maxMoves is how often a bid is told that its cell moved before it turns to
// the nodes that stand in.
const maxMoves = 3

func moved() *Grant { return &Grant{Response: sched.GrantResponse{Outcome: sched.Moved}} }

// bidHere bids where this node is the cell's own or stands in. It returns false
// when the cell is not known here.
func (e *Entry) bidHere(ctx context.Context, b *sched.GrantRequest, cell ident.CellID, isStandby bool) (*Grant, bool) {
	if !isStandby {
		// The cell's node by this node's view, which has not begun yet.
		return moved(), true
	}
	standby := e.Cells.Standby(cell, false)
	if standby == nil {
		return nil, false
	}
	return e.bidLocally(ctx, b, standby), true
}

// remoteCell is a cell at another node.
type remoteCell struct {
	id    ident.CellID
	owner member.Member
	// isStandby is set when the node stands in for the cell's own.
	isStandby bool
	version   ident.Version
}

// bidLocally bids at a cell of this node, without any message.
func (e *Entry) bidLocally(ctx context.Context, b *sched.GrantRequest, cell *sched.Cell) *Grant {
	woken := make(chan struct{}, 1)
	b.Wake = func() { woken <- struct{}{} }
	if !cell.Submit(b) {
		select {
		case <-woken:
		case <-ctx.Done():
			if cell.Cancel(b) {
				return moved()
			}
			<-woken
		}
	}
	s := &Grant{Cell: cell.ID, Response: b.Response, Received: time.Now()}
	if b.Response.Outcome != sched.Granted {
		return s
	}
	e.hold(cell.ID, heldOf(b, s))
	s.Started = func(o *sched.Occupancy) {
		if o != nil {
			cell.Occupied(b.Request, *o)
		}
		cell.FirstToken(b.Request)
	}
	s.Progress = func(between time.Duration) { cell.Progress(b.Request, between) }
	s.Complete = func(end sched.Completion) {
		e.unhold(cell.ID, b.Request)
		cell.Done(b.Request, end)
	}
	return s
}

func heldOf(b *sched.GrantRequest, s *Grant) sched.InFlight {
	return sched.InFlight{
		Request: b.Request, Node: b.Node, Endpoint: s.Response.Endpoint,
		Charge: b.Prompt + b.Output,
	}
}

// bidRemotely bids at another node. The stream stays open while the granted
// request runs; when it breaks before the answer, nothing has been dispatched
// and the bid can be repeated. Heard is false when the node gave no sign of
// life for longer than patience allows.
func (e *Entry) bidRemotely(ctx context.Context, b *sched.GrantRequest, at remoteCell) (g *Grant, heard bool) {
	cell := at.id
	opening, cancel := context.WithTimeout(ctx, cells.GrantResponseTimeout)
	stream, err := e.Open(opening, at.owner.PeerAddress)
	cancel()
	if err != nil {
		return moved(), false
	}
	bid := wire.FromGrantRequest(b, cell, at.version, time.Now())
	bid.Standby = at.isStandby
	bid.Clock = uint64(e.Clock.Now())
	if stream.Send(wire.KindGrantRequest, bid) != nil {
		stream.Close() //nolint:errcheck // broken already.
		return moved(), false
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() }) //nolint:errcheck // unblocks Receive.
	body, err := receiveAnswer(stream)
	stop()
	if err != nil {
		stream.Close() //nolint:errcheck // broken already.
		return moved(), !errors.Is(err, os.ErrDeadlineExceeded)
	}
	message, err := link.Decode[wire.GrantResponse](body)
	e.Clock.Observe(clock.Time(message.Clock))
	s := &Grant{Cell: cell, Response: message.ToGrantResponse(), Received: time.Now()}
	if err != nil || s.Response.Outcome != sched.Granted {
		stream.Close() //nolint:errcheck // the bid is over.
		return s, true
	}
	e.hold(cell, heldOf(b, s))
	s.Started = func(o *sched.Occupancy) {
		stream.Send(wire.KindStarted, wire.FromOccupancy(o)) //nolint:errcheck // the end is told again.
	}
	s.Progress = func(between time.Duration) {
		stream.Send(wire.KindProgress, wire.Progress{InterTokenLatency: int64(between)}) //nolint:errcheck // the end is told again.
	}
	s.Complete = func(end sched.Completion) {
		e.unhold(cell, b.Request)
		e.endRemotely(stream, b.Request, cell, end)
	}
	return s, true
}

// receiveAnswer reads up to the answer of a bid. While the bid waits, its
// cell's node says so again and again.
func receiveAnswer(stream *link.Stream) (body []byte, err error) {
	for {
		if err := stream.SetReadDeadline(time.Now().Add(cells.GrantResponseTimeout)); err != nil {
			return nil, err
		}
		kind, body, err := stream.Receive()
		if err != nil {
			return nil, err
		}
		if kind != wire.KindQueued {
			return body, stream.SetReadDeadline(time.Time{})
		}
	}
}

// endRemotely tells the cell's node the end on the bid's stream. When the
// stream is broken, the cell's node of then is told by a call.
func (e *Entry) endRemotely(stream *link.Stream, id ident.RequestID, cell ident.CellID, end sched.Completion) {
	message := wire.FromCompletion(end)
	message.Request, message.Pool, message.Cell = string(id), string(cell.Pool), cell.Index
	err := stream.Send(wire.KindCompleted, message)
	stream.Close() //nolint:errcheck // the exchange is over.
	if err == nil {
		return
	}
	e.active.Go(func() { e.endLate(message, cell) })
}

func (e *Entry) endLate(message wire.Completion, cell ident.CellID) {
	for range endAttempts {
		owner, ok := e.Cells.Owner(cell)
		if ok && owner.ID == e.Self {
			if local := e.Cells.Local(cell); local != nil {
				local.Done(ident.RequestID(message.Request), message.ToCompletion())
				return
			}
		}
		if ok && e.callEnded(owner, message) == nil {
			return
		}
		time.Sleep(endTimeout)
	}
}

func (e *Entry) callEnded(owner member.Member, message wire.Completion) error {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_, err := link.Call[wire.Completion, wire.Done](ctx, e.Open, owner.PeerAddress, wire.KindCompletedLate, message)
	return err
}
