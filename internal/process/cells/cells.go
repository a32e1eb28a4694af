// Package cells runs the cells that this node owns and locates the owners of
// the others.
//
// Each cell of a pool is owned by one ready member of the region, chosen by
// rendezvous hashing over each node's own membership view. In a large pool a cell has
// the endpoints of one availability zone, and its owner is a node there. While views
// differ, two nodes can run the same cell, or cells with the same endpoints. The
// endpoints may then receive more work than their windows allow, but no request runs
// twice, because only the entry node of a request dispatches it.
//
// A node that takes over a cell first queries every member of the region for its
// in-flight requests of the cell and for its pending close requests. Until every
// member has replied or left the view, only the highest tier and the tiers of its
// group are granted in that cell, unless the pool is one cell; see lowestInTakeOver.
//
// # Usage
//
//	m := &cells.Manager{
//		Self: list.Self, Members: list.View, Tree: tree.Load, Open: transport.Open,
//		InFlight: inFlight, Clock: &hybridClock,
//	}
//	m.Register(&mux)
//	go m.Run(ctx)
//	m.SetRoster(view) // cells that are configured before Run skip the takeover
package cells

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/version/config"
)

const (
	tickInterval = 100 * time.Millisecond
	// LoadPollInterval is the time between load polls of an endpoint. Every
	// pollsPerEventRead-th poll also reads its cache events.
	LoadPollInterval      = 2 * time.Second
	pollsPerEventRead     = 4
	loadPollTimeout       = 800 * time.Millisecond
	peerCallTimeout       = 400 * time.Millisecond
	takeOverRetryInterval = 250 * time.Millisecond
	// maxTakeOverPause is how long a cell that is taken over grants nothing while members do
	// not reply. Calls have targets of 120 ms and more, and would be refused if the cell waited
	// for the timeout of a query to a dead member.
	maxTakeOverPause = 100 * time.Millisecond
	// settleTime is how long a node must own a cell in the startPeriod after its start
	// before it takes the cell over. While a fleet starts, views grow from one member to
	// all within a second, and each node owns most cells for a moment.
	settleTime  = 300 * time.Millisecond
	startPeriod = 10 * time.Second
	// inFlightCheckInterval is the time between queries for a request whose
	// stream broke, and firstInFlightCheckDelay the time before the first one.
	inFlightCheckInterval   = 2 * time.Second
	firstInFlightCheckDelay = 100 * time.Millisecond
	// streamIdleTimeout is how long the stream of a granted request may be idle
	// before the cell's node queries the entry node for whether the request is
	// still in flight. Entry nodes report progress every second. The query is
	// needed because the stream of a killed process stays open until its
	// connection's idle timeout.
	streamIdleTimeout = 1500 * time.Millisecond
	// adoptedCheckInterval is the time between queries for adopted requests,
	// those that the cell's previous node granted.
	adoptedCheckInterval = time.Second
	// queuedKeepAliveInterval is the time between keep-alive messages to the
	// requester of a queued grant request.
	queuedKeepAliveInterval = 100 * time.Millisecond
	// GrantResponseTimeout is how long a requester waits for any message from a
	// cell's node before it tries another node. It covers several round trips
	// and pauses of that node's process.
	GrantResponseTimeout = 300 * time.Millisecond
)

// Manager runs cells. Set the exported fields before use.
type Manager struct {
	Self    func() member.Member
	Members func() *member.View
	Tree    func() *config.Tree
	// RecentlyFailed returns the number of members that failed recently; nil
	// means none.
	RecentlyFailed func() int
	// Open opens a stream to another node.
	Open link.Opener
	// InFlight returns the requests of a cell that are in flight with this node
	// as their entry node.
	InFlight func(ident.CellID) []sched.InFlight
	// KnownLimits returns the rate limits that endpoints stated to this node; nil means
	// none.
	KnownLimits func() map[ident.Endpoint]ident.Rate
	// PollLoad requests the load report of an endpoint.
	PollLoad func(context.Context, sched.EndpointSpec) (sched.LoadReport, error)
	// PollCacheEvents requests the cache events of an endpoint after a sequence
	// number and returns the number to continue from; nil disables cache events.
	PollCacheEvents func(ctx context.Context, spec sched.EndpointSpec, after int) ([]CacheEvent, int, error)
	// Policy selects the scheduling algorithm. With a baseline policy every
	// node runs all cells.
	Policy sched.Policy
	// CloseRequestFailed is called with the node and the error when a close
	// request fails; nil ignores failures.
	CloseRequestFailed func(ident.NodeID, error)
	// OwnershipChanged is called when this node begins or ceases to own a cell; nil
	// ignores changes. It must not call the Manager.
	OwnershipChanged func(id ident.CellID, isOwner bool)
	// ClosingLower is called when a cell of this node begins to request that the tiers
	// below the given one are closed, with the cell's lock held; nil ignores it.
	ClosingLower func(id ident.CellID, tier ident.Tier, cause sched.CloseCause)
	// OpenedLower is called when this node ends a closure of the tiers of a pool below a level,
	// with how long it was wanted; nil ignores it.
	OpenedLower func(pool ident.PoolID, level ident.Tier, lasted time.Duration)
	// AdmitsRelease reports whether endpoints of a pool with a release may get requests;
	// nil means that all may. Reconcile must be called when its results change.
	AdmitsRelease func(ident.PoolID, ident.Release) bool
	// Unite is called when a pool that is divided here is one cell at another node and can be
	// one here, as roster.View.CanUnite reports. It must replace the roster by one in which it
	// is. Nil ignores it.
	Unite func(ident.PoolID)
	// Ended is called when a granted request ends, with the cell's lock held; nil ignores
	// it.
	Ended func(sched.Ended)
	// Suspended is called when a cell suspends an endpoint for failures, with the cell's
	// lock held; nil ignores it.
	Suspended func(ident.CellID, sched.Suspended)
	// LimitLearned is called when an endpoint's learned limit has changed; see
	// sched.Cell.LimitLearned. Nil ignores it.
	LimitLearned func(ident.CellID, sched.EndpointLoad)
	// Started is called when an endpoint of a cell has begun a stream, or gone on with
	// one, or had when this node took the cell over. A cell's lock may be held; nil ignores
	// it.
	Started func(cell ident.CellID, stream ident.RequestID, release ident.Release)
	// Answered is called with each answer that sched.Cell.Answered reports, with the cell's
	// lock held; nil ignores it.
	Answered func(ident.PoolID, sched.Answer)
	// Observe is called with each decision, with the cell's lock held; nil
	// ignores decisions.
	Observe func(sched.Decision)
	// Clock is the node's hybrid logical clock.
	Clock *clock.Clock

	admission admit.Controller
	roster    atomic.Pointer[roster.View]
	owners    atomic.Pointer[ownerTable]
	idle      idleSlots
	handed    handedEstimates
	rollouts  rollouts
	// hasCells is set when this node begins to run a cell, standby cells included;
	// hasLocalCells only when it is the cell's owner. wantsClosures is set when this node
	// begins to want a closure.
	hasCells, hasLocalCells, wantsClosures tick.Signal
	mu                                     sync.Mutex
	local                                  map[ident.CellID]*localCell
	retired                                map[ident.CellID]*sched.Cell
	retiredAt                              map[ident.CellID]time.Time
	knownMembers                           map[ident.NodeID]bool
	// reconciledTree is the settings at the end of the latest Reconcile.
	reconciledTree *config.Tree
	// lostMemberAt is when a known member was found to have left the view.
	lostMemberAt time.Time
	// standby holds the cells that this node runs in place of an unresponsive
	// owner.
	standby map[standbyKey]*sched.Cell
	// unresponsiveUntil holds, for each unresponsive node, the time until which
	// it is skipped.
	unresponsiveUntil map[ident.NodeID]time.Time
	tasks             sync.WaitGroup
	ctx               context.Context
	// startedAt is when Run was called.
	startedAt time.Time

	// formMu guards smallSince and changes of roster. Cells take it with their locks held, and mu is held when cells are
	// configured, so no other lock may be taken while it is held.
	formMu sync.Mutex
	// smallSince holds since when each pool that roster.View.IsSmall reports has been small.
	smallSince map[ident.PoolID]time.Time
}

// Register adds the handlers for messages from other nodes.
func (m *Manager) Register(mux *link.Mux) {
	link.Handle(mux, wire.KindGrantRequest, m.serveGrantRequest)
	link.Handle(mux, wire.KindCompletedLate, m.serveCompletion)
	link.Handle(mux, wire.KindInFlight, m.serveInFlight)
	link.Handle(mux, wire.KindCloseTiers, m.serveCloseTiers)
	link.Handle(mux, wire.KindIdleSlots, m.serveIdleSlots)
	link.Handle(mux, wire.KindEstimates, m.serveEstimates)
}

// SetRoster replaces the endpoint view.
func (m *Manager) SetRoster(v *roster.View) {
	m.storeRoster(v)
	m.Reconcile()
}

// Roster returns the current endpoint view.
func (m *Manager) Roster() *roster.View {
	if v := m.roster.Load(); v != nil {
		return v
	}
	return &roster.View{}
}

// IsLeaving reports whether an endpoint is leaving or is not listed in the
// cell's pool.
func (m *Manager) IsLeaving(cell ident.CellID, id ident.Endpoint) bool {
	spec, ok := m.findEndpoint(cell.Pool, id)
	return !ok || spec.Leaving
}

func (m *Manager) findEndpoint(pool ident.PoolID, id ident.Endpoint) (spec sched.EndpointSpec, ok bool) {
	for _, c := range m.Roster().Cells(pool) {
		for _, spec := range c.Endpoints {
			if spec.ID == id {
				return spec, true
			}
		}
	}
	return sched.EndpointSpec{}, false
}

// Reconcile starts the cells that this node now owns, hands over those that it
// no longer owns, and drops the requests of members that left the view. It must
// be called after each change of the members, the settings or the endpoints.
func (m *Manager) Reconcile() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.local == nil {
		m.local = map[ident.CellID]*localCell{}
		m.retired = map[ident.CellID]*sched.Cell{}
		m.retiredAt = map[ident.CellID]time.Time{}
	}
	assigned := m.assignedCells()
	for id, lc := range m.local {
		if _, ok := assigned[id]; !ok {
			lc.cell.Close()
			m.retired[id] = lc.cell
			m.retiredAt[id] = time.Now()
			delete(m.local, id)
			m.notifyOwnership(id, false)
		}
	}
	for id, cell := range assigned {
		m.configure(id, cell)
	}
	m.configureStandby()
	m.dropRemovedMembers()
	m.reconciledTree = m.Tree()
}

func (m *Manager) assignedCells() map[ident.CellID]roster.Cell {
	assigned := map[ident.CellID]roster.Cell{}
	self := m.Self()
	for _, cell := range m.Roster().All() {
		owner, ok := m.Owner(cell.ID)
		if ok && owner.ID == self.ID && m.Tree().Pool(cell.ID.Pool) != nil {
			cell.Endpoints = m.admitted(cell)
			assigned[cell.ID] = cell
		}
	}
	return assigned
}

func (m *Manager) configure(id ident.CellID, cell roster.Cell) {
	pool := m.Tree().Pool(id.Pool)
	if lc := m.local[id]; lc != nil {
		lc.setEndpoints(cell.Endpoints)
		lc.cell.Configure(pool, cell.Endpoints)
		return
	}
	lc := &localCell{specs: cell.Endpoints}
	c := m.newCell(id, pool, lc)
	lc.cell = c
	previous := m.previousCells(id)
	delete(m.retired, id)
	delete(m.retiredAt, id)
	c.Pause()
	c.Configure(pool, cell.Endpoints)
	for _, p := range previous {
		for _, estimate := range p.Estimates() {
			c.SetEstimate(estimate)
		}
	}
	c.SetLoads(m.handed.of(id, time.Now()))
	m.local[id] = lc
	m.applyRollout(c)
	m.hasCells.Set()
	m.hasLocalCells.Set()
	m.notifyOwnership(id, true)
	if m.Policy != sched.Fair || m.ctx == nil {
		c.Resume(admit.AdmitAll)
		return
	}
	settling := m.settlingTime(id.Pool)
	m.tasks.Go(func() { m.takeOverSettled(m.ctx, c, settling) })
}

func (m *Manager) newCell(id ident.CellID, pool *config.Pool, lc *localCell) *sched.Cell {
	var check *time.Timer // guarded by the cell's lock.
	c := &sched.Cell{
		ID: id, Pool: pool, Policy: m.Policy, Ended: m.Ended,
		Observe: func(d sched.Decision) {
			if d.Request.Response.Outcome == sched.Granted {
				lc.recentPrompts.add(d.Request.Request, d.Request.Prefix)
			}
			if m.Observe != nil {
				m.Observe(d)
			}
		},
		Suspended: func(s sched.Suspended) {
			if m.Suspended != nil {
				m.Suspended(id, s)
			}
		},
		LimitLearned: func(l sched.EndpointLoad) {
			if m.LimitLearned != nil {
				m.LimitLearned(id, l)
			}
		},
		Started: func(stream ident.RequestID, release ident.Release) {
			m.ReportStarted(id, stream, release)
		},
		Answered: func(a sched.Answer) {
			if m.Answered != nil {
				m.Answered(id.Pool, a)
			}
		},
		Admits:     func(t ident.Tier) bool { return m.admission.Admits(id.Pool, t, time.Now()) },
		CloseLower: func(t ident.Tier, cause sched.CloseCause) { m.closeLower(id, t, cause) },
		CanShed:    func(t ident.Tier) bool { return m.canShed(id.Pool, t) },
	}
	c.CheckAfter = func(d time.Duration) {
		if check == nil {
			check = time.AfterFunc(d, c.Tick)
			return
		}
		check.Reset(d)
	}
	return c
}

// ReportStarted reports to Started that an endpoint of a cell has begun a stream, or gone on
// with one.
func (m *Manager) ReportStarted(cell ident.CellID, stream ident.RequestID, release ident.Release) {
	if m.Started != nil {
		m.Started(cell, stream, release)
	}
}

// Run runs the periodic work of the cells until ctx is done. Then it closes them, so
// that no request waits in a cell that decides nothing any more.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx, m.startedAt = ctx, time.Now()
	m.mu.Unlock()
	m.tasks.Go(func() { tick.OnDemand(ctx, tickInterval, &m.hasCells, m.tick) })
	m.tasks.Go(func() { tick.OnDemand(ctx, admit.StepInterval, &m.wantsClosures, m.stepClosures) })
	m.tasks.Go(func() { tick.Every(ctx, LoadPollInterval, m.pollAll) })
	m.tasks.Go(func() { tick.OnDemand(ctx, idleReportInterval, &m.hasLocalCells, m.reportIdleSlots) })
	m.tasks.Go(func() { tick.Every(ctx, estimatesInterval, m.sendEstimates) })
	m.tasks.Go(func() { tick.Every(ctx, askFormInterval, m.askForm) })
	<-ctx.Done()
	for _, lc := range m.localCells() {
		lc.cell.Close()
	}
	for _, c := range m.standbyCells() {
		c.Close()
	}
	m.tasks.Wait()
}

// tick performs the time-dependent work of the cells and reports whether there are
// any.
func (m *Manager) tick(context.Context) bool {
	local, standby := m.localCells(), m.standbyCells()
	for _, lc := range local {
		lc.cell.Tick()
		m.redirectWaiting(lc.cell)
	}
	for _, c := range standby {
		c.Tick()
	}
	return len(local)+len(standby) > 0
}
