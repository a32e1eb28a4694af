// Package cells runs the cells that this node owns, and finds the owner of the
// others.
//
// Every cell of a pool has one owner among the ready members of the region, by
// rendezvous hashing over each node's own view. When views differ for a while,
// two nodes can both run a cell; the endpoints then get more work than their
// windows say, and nothing else follows, since only the entry node that holds
// a request dispatches it.
//
// A node that takes a cell over first asks every member what it holds of the
// cell and which floors it wishes. Until all have answered or left, only the
// highest tier is granted there.
//
// # Usage
//
//	m := &cells.Manager{Self: list.Self, Members: list.View, Tree: tree, Open: link.Open}
//	m.Register(&mux)
//	m.SetRoster(view)
//	go m.Run(ctx)
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
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	tickInterval = 100 * time.Millisecond
	// PollInterval is the time between looks at each endpoint's load; its cache
	// events are asked for once in eventPolls of them.
	PollInterval = 2 * time.Second
	eventPolls   = 4
	pollTimeout  = 800 * time.Millisecond
	askTimeout   = 400 * time.Millisecond
	askPause     = 250 * time.Millisecond
	// auditInterval is the time between questions about a request whose
	// stream broke.
	auditInterval = 2 * time.Second
	firstAudit    = 100 * time.Millisecond
	// quietTime is how long a stream may say nothing of its granted request
	// before its node is asked whether it still holds it; progress is told
	// every second. A stream to a process that was killed does not end until
	// its connection has been idle for long.
	quietTime = 1500 * time.Millisecond
	// adoptedInterval is the time between questions about adopted requests.
	adoptedInterval = time.Second
	// queuedInterval is the time between two words to a bidder whose bid
	// waits.
	queuedInterval = 100 * time.Millisecond
	// GrantResponseTimeout is how long a bidder waits for any word of a cell's node
	// before it decides without it: several round trips and the node's own
	// pauses.
	GrantResponseTimeout = 300 * time.Millisecond
)

// Manager runs cells. Set the exported fields before use.
type Manager struct {
	Self    func() member.Member
	Members func() *member.View
	Tree    func() *config.Tree
	// RecentlyFailed returns how many members lately went missing; nil is none.
	RecentlyFailed func() int
	// Open reaches the other nodes.
	Open link.Opener
	// InFlight returns the granted requests of a cell that this node's entry side
	// holds.
	InFlight func(ident.CellID) []sched.InFlight
	// Poll asks an endpoint for its load.
	Poll func(context.Context, sched.EndpointSpec) (sched.LoadReport, error)
	// Events asks an endpoint for its cache events after a number and returns
	// the number to ask from next; nil does without.
	Events func(ctx context.Context, spec sched.EndpointSpec, after int) ([]CacheEvent, int, error)
	// Policy is how cells decide. With a baseline every node runs all cells.
	Policy sched.Policy
	// Unreached gets the node that a call for a floor did not reach, and why;
	// nil drops it.
	Unreached func(ident.NodeID, error)
	// Observe gets each decision, with the cell's lock held.
	Observe func(sched.Decision)
	// Clock is the node's hybrid logical clock.
	Clock *clock.Clock

	tiers   admit.Controller
	roster  atomic.Pointer[roster.View]
	mu      sync.Mutex
	local   map[ident.CellID]*owned
	retired map[ident.CellID]*sched.Cell
	members map[ident.NodeID]bool
	// standby holds the cells that decide while their node is silent, silent
	// until when a node is passed over.
	standby map[standbyKey]*sched.Cell
	silent  map[ident.NodeID]time.Time
	tasks   sync.WaitGroup
	ctx     context.Context
}

// owned is a cell that runs here.
type owned struct {
	cell   *sched.Cell
	specs  []sched.EndpointSpec
	recent recent

	mu sync.Mutex
	// events holds how far each endpoint's cache events were read.
	events map[ident.Endpoint]int
	polls  map[ident.Endpoint]int
}

// Register adds the handlers for the other nodes' messages.
func (m *Manager) Register(mux *link.Mux) {
	link.Handle(mux, wire.KindGrantRequest, m.serveGrantRequest)
	link.Handle(mux, wire.KindCompletedLate, m.serveEnded)
	link.Handle(mux, wire.KindInFlight, m.serveInFlight)
	link.Handle(mux, wire.KindCloseTiers, m.serveCloseTiers)
}

// SetRoster replaces the picture of the endpoints.
func (m *Manager) SetRoster(v *roster.View) {
	m.roster.Store(v)
	m.Reconcile()
}

// Roster returns the picture of the endpoints.
func (m *Manager) Roster() *roster.View {
	if v := m.roster.Load(); v != nil {
		return v
	}
	return &roster.View{}
}

// IsLeaving reports whether an endpoint is known to be leaving or gone.
func (m *Manager) IsLeaving(cell ident.CellID, id ident.Endpoint) bool {
	for _, c := range m.Roster().Cells(cell.Pool) {
		for _, spec := range c.Endpoints {
			if spec.ID == id {
				return spec.Leaving
			}
		}
	}
	return true
}

// Owners returns the ready nodes in the order in which they stand in for a
// cell's node, which is the first.
func (m *Manager) Owners(id ident.CellID) []member.Member {
	self := m.Self()
	if m.Policy != sched.Fair {
		return []member.Member{self}
	}
	return member.Ranked(m.Members().Ready(self.Region), id.String())
}

// Owner returns the node that runs a cell by this node's view.
func (m *Manager) Owner(id ident.CellID) (member.Member, bool) {
	self := m.Self()
	if m.Policy != sched.Fair {
		return self, true
	}
	return m.Members().Owner(self.Region, id.String())
}

// Local returns a cell that this node runs, or nil.
func (m *Manager) Local(id ident.CellID) *sched.Cell {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.local[id]; o != nil {
		return o.cell
	}
	return nil
}

// find returns a cell that this node runs or lately ran.
func (m *Manager) find(id ident.CellID) *sched.Cell {
	if c := m.Local(id); c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.retired[id]
}

// Reconcile starts the cells that this node owns now, hands over those that it
// no longer owns, and drops the requests of members that are gone. Call it
// when the members, the settings or the endpoints changed.
func (m *Manager) Reconcile() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.local == nil {
		m.local = map[ident.CellID]*owned{}
		m.retired = map[ident.CellID]*sched.Cell{}
	}
	wanted := m.wanted()
	for id, o := range m.local {
		if _, ok := wanted[id]; !ok {
			o.cell.Close()
			m.retired[id] = o.cell
			delete(m.local, id)
		}
	}
	for id, cell := range wanted {
		m.configure(id, cell)
	}
	m.configureStandby()
	m.dropGone()
}

func (m *Manager) wanted() map[ident.CellID]roster.Cell {
	wanted := map[ident.CellID]roster.Cell{}
	self := m.Self()
	for _, cell := range m.Roster().All() {
		owner, ok := m.Owner(cell.ID)
		if ok && owner.ID == self.ID && m.Tree().Pool(cell.ID.Pool) != nil {
			wanted[cell.ID] = cell
		}
	}
	return wanted
}

func (m *Manager) configure(id ident.CellID, cell roster.Cell) {
	pool := m.Tree().Pool(id.Pool)
	if o := m.local[id]; o != nil {
		o.setEndpoints(cell.Endpoints)
		o.cell.Configure(pool, cell.Endpoints)
		return
	}
	o := &owned{specs: cell.Endpoints}
	c := m.newCell(id, pool, o)
	o.cell = c
	last := m.retired[id]
	delete(m.retired, id)
	c.Pause()
	c.Configure(pool, cell.Endpoints)
	if last != nil {
		for _, l := range last.Estimates() {
			c.SetEstimate(l)
		}
	}
	m.local[id] = o
	if m.Policy != sched.Fair || m.ctx == nil {
		c.Resume(admit.AdmitAll)
		return
	}
	m.tasks.Go(func() { m.takeOver(m.ctx, c) })
}

func (m *Manager) newCell(id ident.CellID, pool *config.Pool, o *owned) *sched.Cell {
	return &sched.Cell{
		ID: id, Pool: pool, Policy: m.Policy,
		Observe: func(d sched.Decision) {
			if d.Request.Response.Outcome == sched.Granted {
				o.recent.add(d.Request.Request, d.Request.Prefix)
			}
			if m.Observe != nil {
				m.Observe(d)
			}
		},
		Admits:     func(t ident.Tier) bool { return m.tiers.Admits(id.Pool, t, time.Now()) },
		CloseLower: func(t ident.Tier) { m.tiers.CloseLower(id.Pool, t, time.Now()) },
		CanShed:    func(t ident.Tier) bool { return m.canShed(id.Pool, t) },
	}
}

// dropGone ends the requests of members that have left the view.
func (m *Manager) dropGone() {
	now := map[ident.NodeID]bool{}
	for _, other := range m.Members().Members {
		now[other.ID] = true
	}
	for id := range m.members {
		if now[id] {
			continue
		}
		for _, o := range m.local {
			o.cell.DropNode(id)
		}
	}
	m.members = now
}

// Run drives the cells until the context ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.tasks.Go(func() { tick.Every(ctx, tickInterval, m.tick) })
	m.tasks.Go(func() { tick.Every(ctx, admit.ResendInterval, m.sendCloseRequests) })
	m.tasks.Go(func() { tick.Every(ctx, PollInterval, m.pollAll) })
	<-ctx.Done()
	m.tasks.Wait()
}

func (m *Manager) cells() []*owned {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*owned, 0, len(m.local))
	for _, o := range m.local {
		all = append(all, o)
	}
	return all
}

func (o *owned) endpoints() []sched.EndpointSpec {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.specs
}

func (o *owned) setEndpoints(specs []sched.EndpointSpec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.specs = specs
}

func (m *Manager) tick(context.Context) {
	for _, o := range m.cells() {
		o.cell.Tick()
	}
	for _, c := range m.standbyCells() {
		c.Tick()
	}
}

// pollAll asks every endpoint of the cells here for its load.
func (m *Manager) pollAll(ctx context.Context) {
	if m.Poll == nil {
		return
	}
	for _, o := range m.cells() {
		for _, spec := range o.endpoints() {
			m.tasks.Go(func() { m.poll(ctx, o, spec) })
		}
	}
	m.forgetRetired()
}

func (m *Manager) poll(ctx context.Context, o *owned, spec sched.EndpointSpec) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := m.Poll(ctx, spec)
	if err != nil {
		o.cell.Unreachable(spec.ID)
		return
	}
	o.cell.Report(report)
	m.readEvents(ctx, o, spec)
}

func (m *Manager) forgetRetired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.retired {
		if c.Load().InFlight == 0 {
			delete(m.retired, id)
		}
	}
}

// Loads returns the load of each cell that runs here.
func (m *Manager) Loads() map[ident.CellID]sched.Load {
	all := map[ident.CellID]sched.Load{}
	for _, o := range m.cells() {
		all[o.cell.ID] = o.cell.Load()
	}
	return all
}
