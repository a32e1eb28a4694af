// Package node builds an entry node from its components and runs it.
//
// # Usage
//
//	n := &node.Node{Process: process, Tree: tree, Store: client, Open: transport.Open, Log: logger}
//	n.Prepare(&mux, resumeKey) // registers the handlers for peers
//	n.Start(ctx)               // joins the fleet
//	server := n.Front().Server()
//	go server.Serve(listener)
//	n.Leave()                  // hands the cells over; requests are still served
//	n.Wait()                   // until the last request of Front has ended
//	n.Stop()                   // ends the background work
package node

import (
	"context"
	"crypto/ed25519"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/connection/router"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/gate"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/reach"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/detour"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/follow"
	"goldcrestwick/internal/version/repo"
)

const (
	// instanceListInterval is the time between reads of the platform's list of
	// instances.
	instanceListInterval = time.Second
	// shareRequestInterval is the time between requests for this node's shares of
	// the account limits.
	shareRequestInterval = time.Second
	// joinTimeout bounds the wait for the instance list and the peers before a
	// node declares itself ready.
	joinTimeout = 3 * time.Second
	// peerCallTimeout bounds the calls to other nodes that have no timeout of their
	// own: share requests, state broadcasts, version notices and operators' queries.
	peerCallTimeout = 500 * time.Millisecond
	// maxClaimCoordinators bounds the nodes that write claims, since each of them
	// sends its own transactions to the store.
	maxClaimCoordinators = 16
)

// Node is one entry node. Set the exported fields before Prepare.
type Node struct {
	Process config.Process
	// Tree holds fixed settings. If nil, the node reads them from the platform or
	// from other nodes and follows their changes.
	Tree  *config.Tree
	Store *store.Client
	// Platform, when set, makes the node read settings and endpoints from the
	// store's tables and proxy callers' requests.
	Platform *Platform
	// Open opens streams to other nodes.
	Open link.Opener
	// Forget, if not nil, closes the connection to a node that is gone.
	Forget func(address string)
	// Redial, if not nil, replaces a connection whose peer does not respond.
	Redial func(address string)
	// Handshakes, if not nil, returns the handshakes that peers have begun, for the metrics.
	Handshakes func() link.HandshakeStats
	// Client sends requests to endpoints, except for proxied ones; nil means a new
	// client with the default settings.
	Client *client.Client
	// DialEndpoint opens the connections for proxied requests; nil means TCP.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	// StoreRestored, if not nil, is called when the store was restored from an older
	// copy of itself, to write again what the process has outside the node. It is
	// called again until it succeeds.
	StoreRestored func(context.Context) error
	Policy        sched.Policy
	Log           *log.Logger
	// LedgerKey signs the ledger. Without Platform, nil disables the ledger; with
	// Platform, SetLedgerKey can set the key later.
	LedgerKey ed25519.PrivateKey
	// OnStep, when set, is called for each recorded step of a request on this node.
	OnStep func(trace.Record)
	// OnDecision, when set, is called for each decision of this node's cells, with
	// the cell's lock held. It must not block or call the cell.
	OnDecision func(sched.Decision)

	tree                   atomic.Pointer[config.Tree]
	formerPools            formerPools
	members                member.List
	cells                  cells.Manager
	entry                  entry.Entry
	keys                   entry.IdempotencyKeys
	claimCoordinator       claims.Coordinator
	quotaLimiter           quota.Limiter
	shareAllocator         quota.Allocator
	quotaCoordinator       quota.Coordinator
	handovers              handoverState
	trace                  trace.Buffer
	meter                  meter.Meter
	front                  front.CallerAPI
	gate                   gate.Gate
	decisions              decisionBuffer
	hybridClock            clock.Clock
	ledger                 *ledger.Writer
	replicas               ledger.Replicas
	instances              atomic.Pointer[[]roster.Instance]
	claimCoordinatorsSince atomic.Pointer[claimCoordinatorsSince]
	// viewChanged is when the view of the fleet last changed.
	viewChanged atomic.Pointer[time.Time]
	// viewDue is set when the view has changed since it was last applied.
	viewDue   tick.Signal
	memberLog memberLog
	repo      repo.Repo
	conns     conn.Pool
	unused    unusedLog
	budget    budget.Budget
	proxy     proxy.Proxy
	router    router.Router
	tables    tableState
	// awaitingTree is held while settings are fetched for requests that wait for them.
	awaitingTree sync.Mutex
	treeSources  treeSources
	changes      changes
	poison       poisonState
	streams      streamState
	rollouts     rolloutState
	releases     releaseState
	reach        reach.Monitor
	detours      detour.Server
	// answers and bodies bound what is held for slow callers.
	answers, bodies memory.Budget
	ports           ports

	claimCoordinatorSet atomic.Pointer[claimCoordinatorSet]
	quotaCoordinators   atomic.Pointer[viewCoordinators]
	follower            follow.Follower
	resumeKey           []byte
	ctx                 context.Context
	// isLeaving is set by Leave, also before Start.
	isLeaving atomic.Bool
	// stopping is done when Stop is called, which calls cancel.
	stopping context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

// claimCoordinatorSet caches the claim coordinators of one view, that is, the nodes
// that write claims. They are cached because every claim needs them.
type claimCoordinatorSet struct {
	view    *member.View
	members []member.Member
}

// claimCoordinatorsSince holds the names of the current claim coordinators and
// the time since which they have not changed. It outlives a view, unlike
// claimCoordinatorSet.
type claimCoordinatorsSince struct {
	joinedNames string // the result of joinNames
	since       time.Time
}

// Prepare connects the components and registers the handlers for peer requests
// on mux. The resume key signs resume tokens and is shared by all nodes.
func (n *Node) Prepare(mux *link.Mux, resumeKey []byte) {
	n.stopping, n.cancel = context.WithCancel(context.Background())
	n.tree.Store(n.Tree)
	if n.Tree == nil {
		n.tree.Store(&config.Tree{})
	}
	n.Store.Service = n.Store.Service.Counted(n.meter.StoreCall)
	n.repo = repo.Repo{Transact: n.Store.Transact, Get: n.Store.Get}
	n.follower = follow.Follower{Repo: &n.repo, Parse: n.settingsParser(), Apply: n.applyTree, OnApplied: n.announce}
	n.resumeKey = resumeKey
	n.rollouts.run = rand.Uint64()
	n.rollouts.counts.isOn = n.conductsRollouts()
	if n.Client == nil {
		n.Client = &client.Client{}
	}
	n.unused.limit()
	n.Client.Unused = func(address string, err error) { n.logUnused("", address, reply.FaultOf(err), err.Error()) }
	n.members = member.List{
		Probe: n.probe, IndirectProbe: n.indirectProbe, Sync: n.syncMembers, Seeds: n.seeds, Changed: n.membersChanged,
	}
	n.cells = cells.Manager{
		Self: n.members.Self, Members: n.members.View, Tree: n.tree.Load, Open: n.Open,
		RecentlyFailed: func() int { return n.members.RecentlyFailed(recentFailureWindow) },
		InFlight:       n.entry.InFlight, Policy: n.Policy, Observe: n.recordDecision, Ended: n.recordEnded, Started: n.recordOrigin,
		Suspended: n.logSuspended, LimitLearned: n.logLimitLearned,
		Answered:    n.recordAnswer,
		KnownLimits: n.proxy.KnownLimits, Unite: n.unitePool,
		Clock: &n.hybridClock, OwnershipChanged: n.logOwnership, ClosingLower: n.logClosing, OpenedLower: n.logOpened,
		CloseRequestFailed: func(to ident.NodeID, err error) {
			n.Log.Debug("floor_not_acknowledged", "peer", to, "error", err)
		},
	}
	n.streams.own.TTL = ownOriginTTL
	if n.Platform != nil {
		n.cells.AdmitsRelease = n.admitsRelease
	}
	if n.Platform == nil {
		n.cells.PollLoad, n.cells.PollCacheEvents = n.pollLoad, n.pollCacheEvents
	}
	n.claimCoordinator = claims.Coordinator{Transact: n.Store.Transact, WriteRate: n.claimWriteRate, Since: n.coordinatorsUnchangedSince}
	n.keys = entry.IdempotencyKeys{
		Self: n.Process.Name, CoordinatorOf: n.claimCoordinatorOf, Coordinator: &n.claimCoordinator, Open: n.Open,
		FindMember: func(id ident.NodeID) (member.Member, bool) { return n.members.View().Find(id) },
	}
	n.quotaLimiter = quota.Limiter{EqualShare: n.equalShare, Acquire: n.acquire}
	n.quotaCoordinator = quota.Coordinator{Fraction: n.reachableFraction, Since: n.viewUnchangedSince}
	if n.Process.LimitTolerance.IsSet() {
		n.quotaCoordinator.OnTakeover, n.quotaCoordinator.OnRefusedAfterTakeover = n.logTakeover, n.countRefusedAfterTakeover
	}
	n.entry = entry.Entry{
		Self: n.Process.Name, Zone: n.Process.Zone, Cells: &n.cells, Open: n.Open, Keys: &n.keys, Quota: &n.quotaLimiter,
		Client: n.Client, Clock: &n.hybridClock, Record: n.recordStep, OnFinished: n.recordLatencies, KnownLimits: n.proxy.KnownLimits,
		Quarantined: n.findQuarantined, SendsRoute: n.conductsRollouts(),
	}
	n.front = front.CallerAPI{
		Tree: n.tree.Load, Serve: n.entry.Serve, Addresses: n.addresses, IsReady: n.isReady,
		Resume: n.resume, ResumeToken: n.newResumeToken, Meter: &n.meter, Gate: &n.gate,
		IsLedgerFull: n.isLedgerFull,
	}
	n.gate = gate.Gate{Limits: n.gateLimits, CanShed: n.cells.CanShedInAllPools, CloseLower: n.cells.CloseLowerInAllPools}
	n.prepareProxy(mux)
	n.prepareLedger(mux)
	n.cells.Register(mux)
	n.keys.Register(mux)
	n.registerPeers(mux)
	n.registerGauges()
}

// Front returns the HTTP front end that serves callers.
func (n *Node) Front() *front.CallerAPI { return &n.front }

// Settings returns the settings in force.
func (n *Node) Settings() *config.Tree { return n.tree.Load() }

// Cells returns the manager of the cells that this node runs.
func (n *Node) Cells() *cells.Manager { return &n.cells }

// Members returns the node's view of the fleet.
func (n *Node) Members() *member.View { return n.members.View() }

// Start joins the fleet and returns when the node is ready or ctx is done. The node's background
// work ends with ctx, or with Stop.
//
// Without Platform, it waits at most joinTimeout for the instance list and the
// peers; if they do not respond, the node starts alone and finds them later. A
// node without Tree also waits, without a limit, for its settings. With Platform,
// it waits without a limit until it has read the settings, the endpoints and the
// nodes from the store, and then at most joinTimeout for the peers.
func (n *Node) Start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(n.stopping, cancel)
	n.ctx = ctx
	n.members.Start(member.Member{
		ID: n.Process.Name, Region: n.Process.Region, Zone: n.Process.Zone,
		PeerAddress: n.Process.PeerAddress, CallerAddress: n.Process.CallerAddress,
		State: member.Joining, Incarnation: uint64(time.Now().UnixMilli()), Capacity: n.Process.Capacity,
	})
	if n.isLeaving.Load() {
		n.setLeaving()
	}
	n.tasks.Go(func() { n.applyViews(ctx) })
	n.tasks.Go(func() { n.cells.Run(ctx) })
	if n.Process.LimitTolerance.IsSet() {
		n.tasks.Go(func() {
			tick.Every(ctx, quotaBeatInterval, func(context.Context) { n.quotaCoordinator.Beat(time.Now()) })
		})
	}
	n.tasks.Go(func() { n.claimCoordinator.Run(ctx) })
	n.tasks.Go(func() { n.exchangeCrashes(ctx) })
	n.tasks.Go(func() { n.watchCrashes(ctx) })
	n.tasks.Go(func() { n.reportOrigins(ctx) })
	n.tasks.Go(func() { n.writeOrigins(ctx) })
	n.tasks.Go(func() { n.reach.Run(ctx) })
	n.tasks.Go(func() { n.flushDecisionsPeriodically(ctx) })
	n.startLedger(ctx)
	if n.Platform != nil {
		n.startFromTables(ctx)
		return
	}
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	n.refreshList(joinCtx)
	n.members.Seed(joinCtx)
	cancel()
	if n.Tree == nil {
		n.fetchInitialTree(ctx)
		n.tasks.Go(func() { tick.Every(ctx, settingsPollInterval, n.pollSettings) })
	}
	n.tasks.Go(func() { tick.Every(ctx, instanceListInterval, n.refreshList) })
	n.join(ctx)
}

// join declares the node ready, unless it leaves already, and starts its periodic work.
func (n *Node) join(ctx context.Context) {
	n.members.SetSelf(func(m *member.Member) {
		if m.State == member.Joining {
			m.State = member.Ready
		}
	})
	n.tasks.Go(n.broadcastState)
	n.tasks.Go(func() { n.members.Run(ctx) })
	n.tasks.Go(func() { tick.Every(ctx, shareRequestInterval, n.requestShares) })
	if !n.isReady() {
		return
	}
	n.Log.Info("node_ready", "node", n.Process.Name, "availability_zone", n.Process.Zone,
		"members", len(n.members.View().Members), "settings_version", n.tree.Load().Version)
}

func (n *Node) gateLimits() gate.Limits {
	l := n.tree.Load().Limits
	return gate.Limits{OpenRequests: l.OpenRequests, BodyBytes: l.TotalBodyBytes}
}

func (n *Node) isReady() bool { return n.members.Self().State == member.Ready }

// viewPause is the least time between two views that a node applies. When a fleet
// starts, its views change with nearly every message, and each takes the cells' owners
// to be chosen anew.
const viewPause = 50 * time.Millisecond

// membersChanged records that the view of the fleet has changed.
func (n *Node) membersChanged(*member.View) {
	now := time.Now()
	n.viewChanged.Store(&now)
	n.viewDue.Set()
}

// applyViews applies each new view of the fleet, the latest one if several follow
// each other within viewPause, until ctx is done.
func (n *Node) applyViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			if n.memberLog.due != nil {
				n.logMemberSummary()
			}
			return
		case <-n.memberLog.due:
			n.logMemberSummary()
			continue
		case <-n.viewDue.C():
		}
		n.applyView(n.members.View())
		if !tick.Sleep(ctx, viewPause) {
			return
		}
	}
}

// applyView applies a new view of the fleet.
func (n *Node) applyView(v *member.View) {
	n.logMembers(v)
	n.cells.Reconcile()
	n.tasks.Go(n.handOverLimits)
	names := joinNames(n.claimCoordinatorsIn(v))
	if old := n.claimCoordinatorsSince.Load(); old == nil || old.joinedNames != names {
		n.claimCoordinatorsSince.Store(&claimCoordinatorsSince{names, time.Now()})
	}
	n.closeGoneLinks(v)
}
