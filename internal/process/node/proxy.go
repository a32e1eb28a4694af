package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/connection/router"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/reach"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/spread"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/detour"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/version/config"
)

// Platform names the store's tables of settings and endpoints and holds the
// functions that parse them and the codec for request headers.
type Platform struct {
	SettingsTable, SettingsKey, EndpointTable string

	SettingsVersion func(text []byte) (ident.Version, error)
	ParseSettings   func(text []byte) (*config.Tree, error)
	ParseEndpoint   func(id string, value []byte) (roster.Instance, error)
	HeaderCodec     proxy.HeaderCodec

	// OrderPool returns the pool of a row of SettingsTable that orders a rollout, by the
	// row's key. ParseOrder parses the row, and FormatStatus returns the row of StatusTable
	// with the state of the order. Without them no rollout is conducted.
	OrderPool    func(key string) (ident.PoolID, bool)
	ParseOrder   func(key string, value []byte) (canary.Order, error)
	FormatStatus func(pool ident.PoolID, state canary.State, target ident.Release) (key string, value []byte)
	StatusTable  string
}

// prepareProxy connects the components that proxy requests.
func (n *Node) prepareProxy(mux *link.Mux) {
	if n.Platform == nil {
		return
	}
	n.budget = budget.Budget{
		Limit:     n.Process.RetryBudget,
		NodeCount: func() int { return len(n.members.View().Serving("")) },
	}
	n.conns.Dial = n.DialEndpoint
	n.proxy = proxy.Proxy{
		RequestGrant: n.entry.RequestGrant, IsLeaving: n.cells.IsLeaving, HasRelease: n.cells.HasRelease, Conns: &n.conns, Budget: &n.budget,
		Codec: n.Platform.HeaderCodec, Record: n.recordLocalStep, MarkLeaving: n.markLeaving,
		LimitChanged: func(id ident.Endpoint, limit ident.Rate) {
			n.Log.Info("endpoint_limit_changed", "endpoint", id, "requests_per_second", float64(limit))
		},
		AnswerUnused: func(request ident.RequestID, id ident.Endpoint, fault reply.Fault, reason string) {
			n.logUnused(request, string(id), fault, reason)
		},
		Quarantined: n.findQuarantined, FindOrigin: n.findOrigin, FindFormerPool: n.findFormerPool,
		IsAlone: n.isAlone,
		Started: func(stream ident.RequestID, o origin.Origin) { n.streams.known.Add(stream, o, time.Now()) },
	}
	n.router = router.Router{
		Tree: n.settingsOrNil, DecodeRequest: n.Platform.HeaderCodec.DecodeRequest, Serve: n.serveProxied, FindPool: n.proxy.FindPool,
		Quota: &n.quotaLimiter, Meter: &n.meter, Record: n.recordLocalStep, Log: n.Log,
		Bodies: &n.bodies,
	}
	n.prepareMemory()
	n.prepareDetours(mux)
	n.meter.Gauge("goldcrestwick_endpoint_path_lost", func() float64 {
		if n.reach.IsLost() {
			return 1
		}
		return 0
	})
	n.meter.Gauge("goldcrestwick_reads_store", func() float64 {
		if n.IsReadingStore() {
			return 1
		}
		return 0
	})
	n.meter.Gauge("goldcrestwick_store_read_age_seconds", func() float64 {
		return time.Since(n.tables.endpointsReadAt()).Seconds()
	})
	n.meter.Gauge("goldcrestwick_limited_endpoints", func() float64 { return float64(len(n.proxy.KnownLimits())) })
	n.meter.Gauge("goldcrestwick_quarantined_traits", func() float64 { return float64(len(n.poison.quarantined.All(time.Now()))) })
	n.meter.Gauge("goldcrestwick_endpoint_connections_opened", func() float64 { return float64(n.conns.DialCount()) })
}

// SetRetryBudget changes the retry budget, except for its window. It is safe for
// concurrent use.
func (n *Node) SetRetryBudget(r config.RetryBudget) { n.budget.SetLimit(r) }

// recordLocalStep records a step under this node's name.
func (n *Node) recordLocalStep(r trace.Record) {
	r.Node = n.Process.Name
	n.recordStep(r)
}

func (n *Node) serveProxied(ctx context.Context, r *proxy.Request, w http.ResponseWriter) proxy.Result {
	return n.proxy.Serve(ctx, r, w)
}

// Router returns the HTTP router for callers whose requests are proxied.
func (n *Node) Router() *router.Router { return &n.router }

// HasPath reports whether the node reaches the endpoints, as far as it knows.
func (n *Node) HasPath() bool { return !n.reach.IsLost() }

// pathChanged tells the other nodes whether this one reaches the endpoints, so that callers
// are sent elsewhere.
func (n *Node) pathChanged(isLost bool) {
	n.Log.Warn("endpoint_path_changed", "lost", isLost)
	n.members.SetSelf(func(m *member.Member) { m.HasNoPath = isLost })
	n.tasks.Go(n.broadcastState)
}

// endpointAddresses returns the addresses of the endpoints that are not leaving.
func (n *Node) endpointAddresses() []string {
	var addresses []string
	for _, c := range n.cells.Roster().All() {
		for _, spec := range c.Endpoints {
			if !spec.Leaving {
				addresses = append(addresses, spec.Address)
			}
		}
	}
	return addresses
}

// detourPeers returns the nodes that may serve a request for this one, in random order, those
// of its availability zone first and those of earlier builds, which may not know detours, last.
func (n *Node) detourPeers() []member.Member {
	peers := slices.DeleteFunc(n.withoutSelf(n.members.View().Serving(n.Process.Region)), func(m member.Member) bool {
		return m.HasNoPath || m.Suspect || n.cells.IsUnresponsive(m.ID)
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	isEarlier := n.tables.earlierNodes()
	rank := func(m member.Member) int {
		if isEarlier[m.ID] {
			return maxDistance + 1
		}
		return distance(m.Zone, n.Process.Zone)
	}
	slices.SortStableFunc(peers, func(a, b member.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return peers
}

const maxDistance = 1

func distance(a, b ident.AvailabilityZone) int {
	if a == b {
		return 0
	}
	return maxDistance
}

// prepareDetours connects the components by which nodes serve requests for each other.
func (n *Node) prepareDetours(mux *link.Mux) {
	n.reach = reach.Monitor{Dial: n.conns.Check, Addresses: n.endpointAddresses, Changed: n.pathChanged}
	client := &detour.Client{Open: n.Open, PeerAddress: n.Process.PeerAddress, Peers: n.detourPeers, Log: n.Log}
	client.TakeRetry = func(pool ident.PoolID) bool { return n.budget.TakeRetry(pool, time.Now()) }
	n.proxy.Reach, n.proxy.Detour = &n.reach, client.Serve
	n.detours = detour.Server{
		AwaitSettings: n.awaitSettings, Resolve: n.router.Resolve, Serve: n.proxy.Serve, IsLost: n.reach.IsLost,
		Ended: func(r *proxy.Request, requester ident.Version, result proxy.Result) {
			n.Log.Info("detour_ended", "request_id", r.ID, "pool", r.Pool.ID, "endpoint", result.Endpoint, "status", result.Status,
				"attempts", result.Attempts, "events", result.Events, "reason", result.Reason,
				"settings_version", uint64(r.Version), "requester_settings_version", uint64(requester))
		},
		Declined: func(r *proxy.Request, requester ident.Version, reason string) {
			n.Log.Info("detour_declined", "request_id", r.ID, "reason", reason,
				"settings_version", uint64(r.Version), "requester_settings_version", uint64(requester))
		},
	}
	link.Handle(mux, wire.KindDetour, n.detours.Handle)
}

// WaitDetours waits until this node serves no request for another one, or ctx is done.
func (n *Node) WaitDetours(ctx context.Context) {
	for n.detours.Active() > 0 && tick.Sleep(ctx, detourWaitInterval) {
		continue
	}
}

// detourWaitInterval is the time between two looks of WaitDetours.
const detourWaitInterval = 50 * time.Millisecond

// IsReady reports whether the node accepts new requests.
func (n *Node) IsReady() bool { return n.isReady() }

// settingsOrNil returns the settings in force, or nil before the first version.
func (n *Node) settingsOrNil() *config.Tree {
	if t := n.tree.Load(); t != nil && t.Version > 0 {
		return t
	}
	return nil
}

// EntryAddresses returns the caller addresses of the members in this region that
// callers of a zone should use, in random order.
func (n *Node) EntryAddresses(zone ident.AvailabilityZone) []string {
	var list []string
	var zones []ident.AvailabilityZone
	for z, region := range n.Process.Zones {
		if region == n.Process.Region {
			zones = append(zones, z)
		}
	}
	for _, m := range spread.ForCallers(withPath(n.members.View().Serving(n.Process.Region)), zones, zone) {
		list = append(list, m.CallerAddress)
	}
	if len(list) == 0 {
		n.meter.Count("goldcrestwick_empty_address_lists_total", 1)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// withPath returns the members that reach the endpoints, or all if none does.
func withPath(ready []member.Member) []member.Member {
	reaching := slices.DeleteFunc(slices.Clone(ready), func(m member.Member) bool { return m.HasNoPath })
	if len(reaching) == 0 {
		return ready
	}
	return reaching
}
