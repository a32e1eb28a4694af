package node

import (
	"context"
	"math/rand/v2"
	"net/http"

	"goldcrestwick/internal/connection/router"
	"goldcrestwick/internal/process/budget"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/version/config"
)

// Platform says where the store has the settings and the endpoints, and how
// they and the headers of requests are read.
type Platform struct {
	SettingsTable, SettingsKey, EndpointTable string

	SettingsVersion func(text []byte) (ident.Version, error)
	ParseSettings   func(text []byte) (*config.Tree, error)
	ParseEndpoint   func(id string, value []byte) (roster.Instance, error)
	HeaderCodec     proxy.HeaderCodec
}

// prepareProxy connects the parts that pass requests on.
func (n *Node) prepareProxy() {
	if n.Platform == nil {
		return
	}
	n.budget = budget.Budget{
		Limit: n.Process.RetryBudget,
		Nodes: func() int { return len(n.members.View().Ready("")) },
	}
	n.conns.Dial = n.DialEndpoint
	n.proxy = proxy.Proxy{
		RequestGrant: n.entry.RequestGrant, IsLeaving: n.cells.IsLeaving, Conns: &n.conns, Budget: &n.budget,
		Codec: n.Platform.HeaderCodec, Record: n.recordHere,
	}
	n.router = router.Router{
		Tree: n.settingsOrNil, DecodeRequest: n.Platform.HeaderCodec.DecodeRequest, Serve: n.servePassed,
		Quota: &n.quota, Meter: &n.meter, Record: n.recordHere, Log: n.Log,
	}
	n.meter.Gauge("goldcrestwick_endpoint_connections_opened", func() float64 { return float64(n.conns.Dialled()) })
}

// SetRetryBudget changes the bound on repeats, except for its window. It is safe
// for concurrent use.
func (n *Node) SetRetryBudget(r config.RetryBudget) { n.budget.SetLimit(r) }

// recordHere records a step that this node took.
func (n *Node) recordHere(r trace.Record) {
	r.Node = n.Process.Name
	n.record(r)
}

func (n *Node) servePassed(ctx context.Context, r *proxy.Request, w http.ResponseWriter) proxy.Result {
	return n.proxy.Serve(ctx, r, w)
}

// Router returns the part that serves callers whose requests are passed on.
func (n *Node) Router() *router.Router { return &n.router }

// IsReady reports whether the node takes work.
func (n *Node) IsReady() bool { return n.isReady() }

func (n *Node) settingsOrNil() *config.Tree {
	if t := n.tree.Load(); t != nil && t.Version > 0 {
		return t
	}
	return nil
}

// EntryAddresses returns where callers can connect, in an order that differs
// between calls.
func (n *Node) EntryAddresses(ident.AvailabilityZone) []string {
	var list []string
	for _, m := range n.members.View().Ready(n.Process.Region) {
		if !m.Suspect {
			list = append(list, m.CallerAddress)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
