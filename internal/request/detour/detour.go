// Package detour serves a request through another node, for a node that has lost its path
// to the endpoints.
//
// The node that the caller is connected to has admitted the request and keeps it. The
// other one finds the route in its own settings, which are no older than those by which the
// request was admitted; otherwise it fetches them or declines. It requests a grant and
// dispatches like for a caller of its own, and sends the answer back as it comes. It never
// passes the request on.
// While it has nothing to send it sends heartbeats, so that the caller's node does not wait
// for one that is gone.
//
// # Usage
//
//	c := &detour.Client{Open: open, Peers: peers, Log: logger}
//	result, ok := c.Serve(ctx, request, w)
//
//	s := &detour.Server{AwaitSettings: await, Resolve: router.Resolve, Serve: proxy.Serve, IsLost: monitor.IsLost}
//	link.Handle(mux, wire.KindDetour, s.Handle)
package detour

import (
	"time"

	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/proxy"
)

const (
	// maxPeers bounds the nodes that are tried for a request.
	maxPeers = 3
	// openTimeout bounds the opening of a stream to a node.
	openTimeout = 300 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats, and silenceTimeout the time
	// without a message after which a node is taken to be gone if another one can serve the
	// request. Otherwise lastSilenceTimeout applies: giving up earlier loses what may still come
	// from a node that stands still or has no processor for a second. It is shorter than the 2 s
	// without an event after which callers abandon a stream, which they take up if it is cut.
	heartbeatInterval  = 150 * time.Millisecond
	silenceTimeout     = 700 * time.Millisecond
	lastSilenceTimeout = 1500 * time.Millisecond
	// settingsTimeout bounds the time in which a node with older settings than the requester
	// fetches them. It is shorter than silenceTimeout, since no heartbeats are sent yet.
	settingsTimeout = 300 * time.Millisecond
	// bodyTimeout bounds the receipt of a request's body.
	bodyTimeout = 2 * time.Second
	// maxDataBytes bounds the data in a message.
	maxDataBytes = 256 << 10
	// maxBodyBytes bounds a request's body, whatever the requester announces.
	maxBodyBytes = 64 << 20
)

// fromResult converts the result of a request.
func fromResult(r proxy.Result) wire.DetourEnd {
	m := wire.DetourEnd{
		Truncated: r.Truncated, Attempts: r.Attempts, Interrupted: r.Interrupted, Events: r.Events,
		Endpoint: string(r.Endpoint), Reason: r.Reason, CutAfter: r.CutAfter, Pool: string(r.Pool),
	}
	for _, release := range r.Releases {
		m.Releases = append(m.Releases, string(release))
	}
	if r.Refusal != nil {
		refusal := wire.FromRefusal(r.Refusal)
		m.Refusal = &refusal
	}
	return m
}

// toResult converts a received result.
func toResult(m wire.DetourEnd) proxy.Result {
	r := proxy.Result{
		Truncated: m.Truncated, Attempts: m.Attempts, Interrupted: m.Interrupted, Events: m.Events,
		Endpoint: ident.Endpoint(m.Endpoint), Reason: m.Reason, CutAfter: m.CutAfter, Pool: ident.PoolID(m.Pool),
	}
	for _, release := range m.Releases {
		r.Releases = append(r.Releases, ident.Release(release))
	}
	if m.Refusal != nil {
		r.Refusal = m.Refusal.ToRefusal()
	}
	return r
}
