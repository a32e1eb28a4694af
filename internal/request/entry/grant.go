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
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/refuse"
)

// Grant is the response to a grant request. The functions are set only if the
// outcome is sched.Granted; then Complete must be called exactly once.
type Grant struct {
	Cell     ident.CellID
	Response sched.GrantResponse
	// Received is when the response arrived; its TTL counts from then.
	Received time.Time
	// ReportStarted reports the first token to the cell, and what the endpoint stated of
	// itself if that is known. ReportProgress reports the recent inter-token
	// latency. Complete reports how the request went.
	ReportStarted  func(*sched.Statement)
	ReportProgress func(interToken time.Duration)
	Complete       func(sched.Completion)
}

// uploadReader is a streamed body that records whether a read was attempted.
type uploadReader struct {
	io.Reader
	isRead atomic.Bool
}

func (u *uploadReader) Read(b []byte) (int, error) {
	u.isRead.Store(true)
	return u.Reader.Read(b)
}

// RequestGrant requests a grant from the request's cell until it is granted or
// refused. While no node runs the cell or the pool has no cells, it retries until
// at most grantRetryInterval remains before the deadline.
func (e *Entry) RequestGrant(ctx context.Context, j *Job) (*Grant, *refuse.Refusal) {
	if j.Request.BodyReader != nil {
		if _, ok := j.Request.BodyReader.(*uploadReader); !ok {
			j.Request.BodyReader = &uploadReader{Reader: j.Request.BodyReader}
		}
	}
	for moves := 0; ; moves++ {
		cell, ok := e.chooseCell(j)
		j.hasBeenRedirected = false
		if ok {
			e.record(j, trace.Record{Event: trace.GrantRequested, Cell: cell.String()})
			g := e.requestGrantAt(ctx, j, cell, moves)
			if g.Response.Outcome == sched.Redirected {
				j.hasBeenRedirected = true
				e.record(j, trace.Record{Event: trace.Redirected, Cell: cell.String(), Reason: g.Response.Cell.String()})
				g = e.requestGrantAt(ctx, j, g.Response.Cell, 0)
			}
			switch g.Response.Outcome {
			case sched.Granted:
				e.record(j, trace.Record{Event: trace.GrantTaken, Endpoint: g.Response.Endpoint})
				return g, nil
			case sched.Shed:
				return nil, shedRefusal(g.Response)
			}
			e.record(j, trace.Record{Event: trace.Moved, Cell: cell.String()})
		}
		if refusal := e.waitToRetry(ctx, j); refusal != nil {
			return nil, refusal
		}
	}
}

// waitToRetry waits for grantRetryInterval before the next grant request. It
// returns a refusal if the caller went away or no more than that remains until the
// deadline.
func (e *Entry) waitToRetry(ctx context.Context, j *Job) *refuse.Refusal {
	remaining := time.Until(j.Request.Deadline)
	if remaining <= grantRetryInterval {
		refusal := refuse.New(refuse.NoEndpoint, "no node or endpoint of the pool could be reached before the deadline")
		refusal.RetryAfter = time.Second
		return refusal
	}
	select {
	case <-ctx.Done():
		return e.callerGone(j)
	case <-time.After(grantRetryInterval):
		return nil
	}
}

func shedRefusal(resp sched.GrantResponse) *refuse.Refusal {
	r := refuse.New(refuse.Reason(resp.Reason), shedMessages[resp.Reason])
	r.RetryAfter = resp.RetryAfter
	return r
}

var shedMessages = map[sched.Reason]string{
	sched.ReasonOverload:            "the pool has more waiting requests than it can hold",
	sched.ReasonTierClosed:          "the pool is overloaded and the tier is closed in favour of higher ones",
	sched.ReasonDeadlineUnreachable: "no endpoint could finish the answer by the deadline",
	sched.ReasonQuarantined:         "endpoints crashed under requests with a part of this prompt",
	sched.ReasonReleaseGone:         "no endpoint runs the software release that began the stream",
	sched.ReasonDeadlinePassed:      "the deadline passed while the request waited",
}

// requestGrantAt requests a grant from the node that runs a cell, or from its
// standby nodes if that node is unresponsive. Moves is the number of grant requests
// that failed before. If it exceeds maxMoves, this node and the cell's node have
// disagreed on the membership for longer than a change takes to spread; then the
// cell's node is skipped too. If no standby responds, this node uses an isolated
// standby cell.
func (e *Entry) requestGrantAt(ctx context.Context, j *Job, cell ident.CellID, moves int) *Grant {
	req := &sched.GrantRequest{
		Request: j.Request.ID, Node: e.Self, Tier: j.Tier.Rank, Account: j.Account.ID,
		Weight: j.Account.Weight, Prompt: j.Request.PromptTokens, Output: j.Request.OutputTokens,
		Deadline: j.Request.Deadline, Prefix: j.Request.Prefix,
		FirstTokenTarget: j.remainingTarget(time.Now()), FullTarget: j.target(), Zone: e.Zone, Avoid: j.Avoid, BlockTokens: j.BlockTokens,
		Traits: j.Traits, Stream: j.Stream, Release: j.Release, MaxRejections: j.MaxRejections,
	}
	if e.SendsRoute {
		req.Route = j.Route
	}
	// A cell with room may have no endpoint of the release.
	mayRedirect := !j.hasBeenRedirected && j.Release == nil
	req.HasOtherCells = e.hasOtherCells(j, cell)
	if local := e.Cells.LocalCell(cell); local != nil {
		req.MayRedirect = mayRedirect
		return e.requestFromCell(ctx, req, local)
	}
	owners := e.Cells.PreferenceList(cell)
	for i, owner := range owners[:min(len(owners), maxOwners)] {
		isStandby := i > 0
		if isStandby {
			e.addKnownLimits(req)
		}
		req.MayRedirect = mayRedirect && !isStandby
		if !isStandby && moves > maxMoves && len(owners) > 1 {
			continue
		}
		if owner.ID == e.Self {
			if g, ok := e.requestOnThisNode(ctx, req, cell, isStandby); ok {
				return g
			}
			break
		}
		if e.Cells.IsUnresponsive(owner.ID) {
			continue
		}
		g, responded := e.requestFromNode(ctx, req, remoteCell{cell, owner, isStandby, j.Version})
		if responded {
			e.Cells.MarkResponsive(owner.ID)
		}
		if responded || ctx.Err() != nil {
			return g
		}
		e.Cells.MarkUnresponsive(owner.ID)
		e.record(j, trace.Record{Event: trace.Unresponsive, Cell: cell.String(), Reason: string(owner.ID)})
	}
	if isolated := e.Cells.StandbyCell(cell, true); isolated != nil {
		req.MayRedirect = false
		e.addKnownLimits(req)
		return e.requestFromCell(ctx, req, isolated)
	}
	return movedGrant()
}

// maxOwners limits the nodes that are tried for a cell, the one that runs it
// included, before this node uses an isolated standby cell.
const maxOwners = 3

// maxMoves is the number of unsuccessful grant requests of one request up to which
// the cell's node is still tried; after that only its standbys are.
const maxMoves = 3

func movedGrant() *Grant { return &Grant{Response: sched.GrantResponse{Outcome: sched.Moved}} }

// requestOnThisNode handles a grant request for a cell whose owner or standby is
// this node, but which does not run here. As the owner it returns the outcome
// sched.Moved. As a standby it requests the grant from its standby cell, and
// returns false if it has none.
func (e *Entry) requestOnThisNode(ctx context.Context, req *sched.GrantRequest, cell ident.CellID, isStandby bool) (*Grant, bool) {
	if !isStandby {
		// By its own view this node runs the cell but has not started it yet.
		return movedGrant(), true
	}
	standby := e.Cells.StandbyCell(cell, false)
	if standby == nil {
		return nil, false
	}
	return e.requestFromCell(ctx, req, standby), true
}

// remoteCell is a cell at another node.
type remoteCell struct {
	id   ident.CellID
	node member.Member
	// isStandby is set if the node is a standby for the cell's node.
	isStandby bool
	version   ident.Version
}

// requestFromCell requests a grant from a cell of this node, without network
// messages. If ctx ends while the request is queued, it returns the outcome
// sched.Moved.
func (e *Entry) requestFromCell(ctx context.Context, req *sched.GrantRequest, cell *sched.Cell) *Grant {
	woken := make(chan struct{}, 1)
	req.Wake = func() { woken <- struct{}{} }
	if !e.Cells.Submit(cell, req) {
		select {
		case <-woken:
		case <-ctx.Done():
			if cell.Cancel(req) {
				return movedGrant()
			}
			<-woken
		}
	}
	g := &Grant{Cell: cell.ID, Response: req.Response, Received: time.Now()}
	if req.Response.Outcome != sched.Granted {
		return g
	}
	tracker := cell.Track(req)
	e.addInFlight(cell.ID, inFlightOf(req, g))
	g.ReportStarted = func(s *sched.Statement) {
		e.markStarted(cell.ID, req.Request)
		if s != nil {
			tracker.UpdateEndpoint(*s)
		}
		tracker.FirstToken()
	}
	g.ReportProgress = tracker.Progress
	g.Complete = func(completion sched.Completion) {
		e.removeInFlight(cell.ID, req.Request)
		tracker.Complete(completion)
	}
	return g
}

// requestFromNode requests a grant from another node. The stream stays open while
// the granted request runs. If it breaks before the response, nothing has been
// dispatched and the grant request can be retried. Responded is false if the node
// cannot be reached or sends nothing for cells.GrantResponseTimeout; a stream that
// breaks in another way counts as a response with the outcome sched.Moved.
func (e *Entry) requestFromNode(ctx context.Context, req *sched.GrantRequest, remote remoteCell) (g *Grant, responded bool) {
	cell := remote.id
	openCtx, cancel := context.WithTimeout(ctx, cells.GrantResponseTimeout)
	stream, err := e.Open(openCtx, remote.node.PeerAddress)
	cancel()
	if err != nil {
		return movedGrant(), false
	}
	message := wire.FromGrantRequest(req, cell, remote.version, time.Now())
	message.Standby = remote.isStandby
	message.Clock = uint64(e.Clock.Now())
	if stream.Send(wire.KindGrantRequest, message) != nil {
		stream.Close() //nolint:errcheck // the stream is broken.
		return movedGrant(), false
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() }) //nolint:errcheck // unblocks Receive.
	body, err := receiveResponse(stream)
	stop()
	if err != nil {
		stream.Close() //nolint:errcheck // the stream is broken.
		return movedGrant(), !errors.Is(err, os.ErrDeadlineExceeded)
	}
	response, err := link.Decode[wire.GrantResponse](body)
	e.Clock.Observe(clock.Time(response.Clock))
	if response.IsWhole {
		e.Cells.LearnWhole(cell.Pool)
	}
	grant := &Grant{Cell: cell, Response: response.ToGrantResponse(), Received: time.Now()}
	if err != nil || grant.Response.Outcome != sched.Granted {
		stream.Close() //nolint:errcheck // no grant, nothing to report.
		return grant, true
	}
	if !e.hasRelease(cell.Pool, req, grant) {
		e.completeRemotely(stream, req.Request, cell, sched.Completion{Unused: true})
		return movedGrant(), true
	}
	e.addInFlight(cell, inFlightOf(req, grant))
	grant.ReportStarted = func(s *sched.Statement) {
		e.markStarted(cell, req.Request)
		if owner, ok := e.Cells.Owner(cell); ok && (owner.ID != remote.node.ID || owner.Suspect) && req.Stream != "" {
			// The node that granted the request may be gone.
			e.Cells.ReportStarted(cell, req.Stream, grant.Response.Release)
		}
		stream.Send(wire.KindStarted, wire.FromStatement(s)) //nolint:errcheck // the completion is reported in any case.
	}
	grant.ReportProgress = func(interToken time.Duration) {
		stream.Send(wire.KindProgress, wire.Progress{InterTokenLatency: int64(interToken)}) //nolint:errcheck // the completion is reported in any case.
	}
	grant.Complete = func(completion sched.Completion) {
		e.removeInFlight(cell, req.Request)
		e.completeRemotely(stream, req.Request, cell, completion)
	}
	return grant, true
}

// receiveResponse reads up to the response to a grant request. While the grant
// request waits, the cell's node sends wire.KindQueued periodically; each message
// extends the read deadline.
func receiveResponse(stream *link.Stream) (body []byte, err error) {
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

// completeRemotely reports a completion to the cell's node on the stream of the
// grant request. If the stream is broken, it is reported in the background by a
// call to the node that then runs the cell.
func (e *Entry) completeRemotely(stream *link.Stream, id ident.RequestID, cell ident.CellID, completion sched.Completion) {
	message := wire.FromCompletion(completion)
	message.Request, message.Pool, message.Cell = string(id), string(cell.Pool), cell.Index
	err := stream.Send(wire.KindCompleted, message)
	stream.Close() //nolint:errcheck // the exchange is over.
	if err == nil {
		return
	}
	e.active.Go(func() { e.reportLateCompletion(message, cell) })
}

// reportLateCompletion reports a completion to the node that runs the cell, in at
// most maxCompletionAttempts attempts.
func (e *Entry) reportLateCompletion(message wire.Completion, cell ident.CellID) {
	for range maxCompletionAttempts {
		cell = e.Cells.CurrentCell(cell)
		message.Cell = cell.Index
		owner, ok := e.Cells.Owner(cell)
		if ok && owner.ID == e.Self {
			if local := e.Cells.LocalCell(cell); local != nil {
				local.Complete(ident.RequestID(message.Request), message.ToCompletion())
				return
			}
		}
		if ok && e.sendLateCompletion(owner, message) == nil {
			return
		}
		time.Sleep(completionTimeout)
	}
}

func (e *Entry) sendLateCompletion(owner member.Member, message wire.Completion) error {
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	_, err := link.Call[wire.Completion, wire.Empty](ctx, e.Open, owner.PeerAddress, wire.KindCompletedLate, message)
	return err
}

// minTargetFraction is the fraction of its first-token target that a request always has left
// for a cell: it can still be in time where an endpoint has room.
const minTargetFraction = 0.25

// resumptionTarget is the first-token target of a request that takes up a stream. Its caller gives
// up after 2 s without an event; 0.5 s of them are for the way to the cell and back.
const resumptionTarget = 1500 * time.Millisecond

// target returns the time within which the first token is useful, 0 for no limit: the first-token
// target or, for a stream that is taken up, resumptionTarget if that is longer.
//
// The load pattern behind the latter is the loss of many nodes. The streams that their callers
// take up have few endpoints of their release, and are late whatever they wait; a refusal
// loses what the callers have already read.
func (j *Job) target() time.Duration {
	if j.Release != nil && j.FirstTokenTarget > 0 {
		return max(j.FirstTokenTarget, resumptionTarget)
	}
	return j.FirstTokenTarget
}

// remainingTarget returns what is left of the first-token target after the time since the
// request arrived, which slow nodes and links use up before a cell hears of it. A request that
// is late already, such as one that is repeated, may wait like a new one.
func (j *Job) remainingTarget(now time.Time) time.Duration {
	target := j.target()
	left := target - now.Sub(j.Request.Arrived)
	if left <= 0 {
		return target
	}
	return max(left, time.Duration(minTargetFraction*float64(target)))
}
