// Package node assembles one entry node from its parts and runs it.
//
// # Usage
//
//	n := &node.Node{Process: process, Tree: tree, Store: client, Open: link.Open, Log: logger}
//	n.Prepare(&mux)      // registers the handlers for peers
//	n.Start(ctx)         // joins the fleet
//	http.Serve(listener, n.Front().Server().Handler)
//	n.Leave()            // out of the lists; serves on
//	n.Wait()             // until the last request has ended
package node

import (
	"context"
	"crypto/ed25519"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/router"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/gate"
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/follow"
	"goldcrestwick/internal/version/repo"
)

const (
	// listInterval is the time between looks at the platform's list.
	listInterval = time.Second
	// shareInterval is the time between questions for shares of limits.
	shareInterval = time.Second
	// joinTime bounds the wait for the list and the peers before a node
	// counts itself ready.
	joinTime    = 3 * time.Second
	callTimeout = 500 * time.Millisecond
	// maxHomes bounds the nodes that write claims, since each writes its own
	// transactions.
	maxHomes = 16
)

// Node is one entry node. Set the exported fields before Prepare.
type Node struct {
	Process config.Process
	// Tree is the settings; nil takes them from the platform and follows
	// their changes.
	Tree  *config.Tree
	Store *store.Client
	// Platform, when set, makes the node take settings and endpoints from the
	// store's tables and pass callers' requests on as they come.
	Platform *Platform
	// Open reaches the other nodes. Forget drops the connection to one that is
	// gone, Redial replaces one that gives no sign of life; nil is allowed.
	Open   link.Opener
	Forget func(address string)
	Redial func(address string)
	Client *client.Client
	// DialEndpoint opens the connections of passed requests; nil takes TCP.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	Policy       sched.Policy
	Log          *log.Logger
	// LedgerKey signs the ledger; nil keeps none.
	LedgerKey ed25519.PrivateKey
	// Step, when set, is called at each step of each request on this node.
	Step func(trace.Record)
	// Decided, when set, is called with each decision of this node's cells,
	// with the cell's lock held.
	Decided func(sched.Decision)

	tree        atomic.Pointer[config.Tree]
	members     member.List
	cells       cells.Manager
	entry       entry.Entry
	keys        entry.Keys
	home        claims.Coordinator
	quota       quota.Limiter
	allocator   quota.Allocator
	coordinator quota.Coordinator
	trace       trace.Memory
	meter       meter.Meter
	front       front.Front
	gate        gate.Gate
	decisions   decisions
	clock       clock.Clock
	ledger      *ledger.Writer
	copies      ledger.Replicas
	instances   atomic.Pointer[[]roster.Instance]
	tenure      atomic.Pointer[tenure]
	// viewChanged is when the members last changed.
	viewChanged atomic.Pointer[time.Time]
	// lastView is the view that was logged last.
	lastView atomic.Pointer[member.View]
	repo     repo.Repo
	conns    conn.Pool
	budget   budget.Budget
	proxy    proxy.Proxy
	router   router.Router
	watched  watched

	claimHomes atomic.Pointer[claimHomes]
	follower   follow.Follower
	resumeKey  []byte
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// claimHomes are the nodes that write claims by one view, which every claim asks
// for.
type claimHomes struct {
	view  *member.View
	homes []member.Member
}

// tenure is since when the set of claim homes has been the same.
type tenure struct {
	homes string
	since time.Time
}

// Prepare connects the parts and registers the handlers for peers. The resume
// key is shared by all nodes.
func (n *Node) Prepare(mux *link.Mux, resumeKey []byte) {
	n.tree.Store(n.Tree)
	if n.Tree == nil {
		n.tree.Store(&config.Tree{})
	}
	n.repo = repo.Repo{Transact: n.Store.Transact, Get: n.Store.Get}
	n.follower = follow.Follower{Repo: &n.repo, Parse: n.parser(), Apply: n.useTree, Announce: n.announce}
	n.resumeKey = resumeKey
	if n.Client == nil {
		n.Client = &client.Client{}
	}
	n.members = member.List{
		Probe: n.probe, IndirectProbe: n.indirectProbe, Sync: n.syncList, Seeds: n.seeds, Changed: n.membersChanged,
	}
	n.cells = cells.Manager{
		Self: n.members.Self, Members: n.members.View, Tree: n.tree.Load, Open: n.Open,
		RecentlyFailed: func() int { return n.members.RecentlyFailed(recentFailureTime) },
		InFlight:       n.entry.InFlight, Policy: n.Policy, Observe: n.observe,
		Clock: &n.clock,
		Unreached: func(to ident.NodeID, err error) {
			n.Log.Debug("floor_not_acknowledged", "peer", to, "error", err)
		},
	}
	if n.Platform == nil {
		n.cells.Poll, n.cells.Events = n.poll, n.cacheEvents
	}
	n.home = claims.Coordinator{Transact: n.Store.Transact, WriteRate: n.writeRate, Tenure: n.homeSince}
	n.keys = entry.Keys{
		Self: n.Process.Name, CoordinatorOf: n.homeOf, Coordinator: &n.home, Open: n.Open,
		Find: func(id ident.NodeID) (member.Member, bool) { return n.members.View().Find(id) },
	}
	n.quota = quota.Limiter{EqualShare: n.evenShare, Acquire: n.acquire}
	n.coordinator = quota.Coordinator{Fraction: n.limitsPart, Since: n.viewSince}
	n.entry = entry.Entry{
		Self: n.Process.Name, Zone: n.Process.Zone, Cells: &n.cells, Open: n.Open, Keys: &n.keys, Quota: &n.quota,
		Client: n.Client, Clock: &n.clock, Record: n.record, Finished: n.finished,
	}
	n.front = front.Front{
		Tree: n.tree.Load, Serve: n.entry.Serve, Addresses: n.addresses, IsReady: n.isReady,
		Resume: n.resume, Token: n.resumeToken, Meter: &n.meter, Gate: &n.gate,
		IsFull: n.isLedgerFull,
	}
	n.gate = gate.Gate{Limits: n.gateLimits, CanShed: n.cells.CanShedEverywhere, CloseLower: n.cells.CloseLowerEverywhere}
	n.prepareProxy()
	n.prepareLedger(mux)
	n.cells.Register(mux)
	n.keys.Register(mux)
	n.registerPeers(mux)
	n.gauges()
}

// Front returns the part that serves callers.
func (n *Node) Front() *front.Front { return &n.front }

// Settings returns the settings in force.
func (n *Node) Settings() *config.Tree { return n.tree.Load() }

// Cells returns the part that runs cells.
func (n *Node) Cells() *cells.Manager { return &n.cells }

// Members returns the node's picture of the fleet.
func (n *Node) Members() *member.View { return n.members.View() }

// Start joins the fleet. It returns when the node is ready, or after a bounded
// time when neither peers nor the platform answer: then the node goes on alone
// and finds them later.
func (n *Node) Start(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.members.Start(member.Member{
		ID: n.Process.Name, Region: n.Process.Region, Zone: n.Process.Zone,
		PeerAddress: n.Process.PeerAddress, CallerAddress: n.Process.CallerAddress,
		State: member.Joining, Incarnation: uint64(time.Now().UnixMilli()),
	})
	n.tasks.Go(func() { n.cells.Run(ctx) })
	n.tasks.Go(func() { n.home.Run(ctx) })
	n.tasks.Go(func() { n.drainDecisions(ctx) })
	n.startLedger(ctx)
	if n.Platform != nil {
		n.startWatched(ctx)
		return
	}
	joining, cancel := context.WithTimeout(ctx, joinTime)
	n.refreshList(joining)
	n.members.Seed(joining)
	cancel()
	if n.Tree == nil {
		n.firstTree(ctx)
		n.tasks.Go(func() { tick.Every(ctx, settingsInterval, n.followSettings) })
	}
	n.tasks.Go(func() { tick.Every(ctx, listInterval, n.refreshList) })
	n.join(ctx)
}

// join makes the node one that takes work.
func (n *Node) join(ctx context.Context) {
	n.members.SetSelf(func(m *member.Member) { m.State = member.Ready })
	n.tasks.Go(n.tellState)
	n.tasks.Go(func() { n.members.Run(ctx) })
	n.tasks.Go(func() { tick.Every(ctx, shareInterval, n.askShares) })
	n.Log.Info("node_ready", "node", n.Process.Name, "availability_zone", n.Process.Zone,
		"members", len(n.members.View().Members), "settings_version", n.tree.Load().Version)
}

// Leave takes the node out of the lists and hands its cells over. It serves on
// until Stop.
func (n *Node) Leave() {
	n.members.SetSelf(func(m *member.Member) { m.State = member.Leaving })
	n.tellState()
	n.Log.Info("node_leaving", "node", n.Process.Name, "open_requests", n.gate.Open())
}

// Wait returns when every request has ended.
func (n *Node) Wait() { n.entry.Wait() }

// Stop ends the node's own work. Call it after Leave and Wait for a graceful
// shutdown; alone it is a crash that the other nodes have to find out.
func (n *Node) Stop() {
	n.cancel()
	n.tasks.Wait()
	n.Client.CloseIdle()
	n.conns.Close()
}

func (n *Node) gateLimits() gate.Limits {
	l := n.tree.Load().Limits
	return gate.Limits{Open: l.OpenRequests, Bytes: l.HeldBytes}
}

func (n *Node) isReady() bool { return n.members.Self().State == member.Ready }

// membersChanged reacts to a new picture of the fleet.
func (n *Node) membersChanged(v *member.View) {
	now := time.Now()
	n.viewChanged.Store(&now)
	n.logMembers(v)
	n.cells.Reconcile()
	homes := homesKey(n.homes(v))
	if old := n.tenure.Load(); old == nil || old.homes != homes {
		n.tenure.Store(&tenure{homes, time.Now()})
	}
	n.forgetGone(v)
}

// logMembers logs each member that came, went or changed its state.
func (n *Node) logMembers(v *member.View) {
	old := n.lastView.Swap(v)
	if old == nil {
		old = &member.View{}
	}
	for _, m := range v.Members {
		before, known := old.Find(m.ID)
		if known && before.State == m.State && before.Suspect == m.Suspect {
			continue
		}
		n.Log.Info("member_changed", "member", m.ID, "state", m.State, "suspect", m.Suspect, "known_before", known,
			"incarnation", m.Incarnation, "members", len(v.Members))
	}
	for _, m := range old.Members {
		if _, still := v.Find(m.ID); !still {
			n.Log.Info("member_gone", "member", m.ID, "incarnation", m.Incarnation, "members", len(v.Members))
		}
	}
}

// refreshList reads the platform's list and rebuilds the picture of the
// endpoints. While the list cannot be read, the last one counts.
func (n *Node) refreshList(ctx context.Context) {
	list, changed, err := n.Store.List(ctx, n.Process.Region)
	if err != nil {
		n.Log.Warn("instance_list_unavailable", "error", err)
	}
	if changed || n.instances.Load() == nil {
		n.instances.Store(&list)
		n.buildRoster()
	}
}

func (n *Node) buildRoster() {
	var list []roster.Instance
	if known := n.instances.Load(); known != nil {
		list = *known
	}
	n.cells.SetRoster(roster.Build(n.tree.Load(), list, n.Process.Region))
}
