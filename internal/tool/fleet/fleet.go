// Package fleet starts a whole small deployment in one process: the stand-in
// platform, a stand-in for each endpoint that a settings tree names, and entry
// nodes that speak to each other over real QUIC links. The try command, the
// load command and the end-to-end tests use it.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Tree: tree, Nodes: 3})
//	defer f.Stop()
//	http.Get("http://" + f.Nodes[0].Address + "/v1/models")
package fleet

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/apprun"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/runner"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
	"goldcrestwick/platform"
)

const (
	serviceTime  = 20 * time.Millisecond
	shutdownTime = 5 * time.Second
	settleTime   = 30 * time.Second
	settlePause  = 50 * time.Millisecond
)

var resumeKey = []byte("shared by the nodes of one process")

// Options says what to start.
type Options struct {
	Tree  *config.Tree
	Nodes int
	// Files, when set, are written to the platform as the first settings, and
	// the nodes follow them there; Tree still names the endpoints.
	Files map[string][]byte
	// Policy is how the nodes decide.
	Policy sched.Policy
	// Network is what the parts are connected by; nil takes sockets on
	// 127.0.0.x.
	Network *Network
	// LogTo gets the nodes' logs; nil drops them.
	LogTo io.Writer
	// LogLevel is the least severe level logged.
	LogLevel log.Level
	// Prepare changes a node before it starts, PrepareRunner an engine; nil
	// changes nothing.
	Prepare       func(*Node)
	PrepareRunner func(ident.Endpoint, *runner.Runner)
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *cloud.Platform
	Runners  map[ident.Endpoint]*runner.Runner
	Services map[ident.Endpoint]*apprun.Runner
	Holdings *runner.Holdings
	Nodes    []*Node

	// LedgerKey signs the ledger of all nodes.
	LedgerKey ed25519.PrivateKey

	options  Options
	network  *Network
	listed   []cloud.Instance
	platform string
	servers  []*http.Server
}

// Node is one entry node of a Fleet.
type Node struct {
	*node.Node
	// Address is where callers connect, Host the machine's name in the
	// network.
	Address string
	Host    string

	peers  *Peers
	server *http.Server
	once   sync.Once
}

// Start starts a deployment and returns when all nodes know each other.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Platform: &cloud.Platform{}, Runners: map[ident.Endpoint]*runner.Runner{},
		Services: map[ident.Endpoint]*apprun.Runner{}, Holdings: &runner.Holdings{}, options: o,
	}
	if o.LogTo == nil {
		f.options.LogTo = io.Discard
	}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if _, f.LedgerKey, err = ed25519.GenerateKey(rand.Reader); err != nil {
		return eris.Wrap(err, "make a ledger key")
	}
	f.network = f.options.Network
	if f.network == nil {
		if f.network, err = Sockets(nil); err != nil {
			return err
		}
	}
	if f.platform, err = f.serve(f.Platform, PlatformHost); err != nil {
		return err
	}
	for _, team := range f.options.Tree.Teams {
		for _, e := range team.Endpoints {
			if err := f.startEndpoint(e); err != nil {
				return err
			}
		}
	}
	if f.options.Files != nil {
		r := &repo.Repo{Transact: f.platformStore().Transact, Get: f.platformStore().Get}
		if err := r.Init(context.Background(), f.options.Files, "fleet"); err != nil {
			return err
		}
	}
	for i := range f.options.Nodes {
		if _, err := f.AddNode(zoneOf(f.options.Tree, i)); err != nil {
			return err
		}
	}
	return f.settle()
}

// zoneOf spreads the nodes over the zones in which there are endpoints.
func zoneOf(tree *config.Tree, i int) ident.AvailabilityZone {
	var zones []ident.AvailabilityZone
	seen := map[ident.AvailabilityZone]bool{}
	for _, team := range tree.Teams {
		for _, e := range team.Endpoints {
			if !seen[e.Zone] {
				seen[e.Zone] = true
				zones = append(zones, e.Zone)
			}
		}
	}
	if len(zones) == 0 {
		return "zone"
	}
	return zones[i%len(zones)]
}

func (f *Fleet) serve(h http.Handler, host string) (string, error) {
	listener, err := f.network.Listen(host)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTime, ErrorLog: quiet()}
	f.servers = append(f.servers, server)
	go server.Serve(listener) //nolint:errcheck // it ends with Close.
	return "http://" + listener.Addr().String(), nil
}

var speeds = map[string]runner.Speed{"fast": runner.Fast, "medium": runner.Medium, "slow": runner.Slow}

func (f *Fleet) startEndpoint(e *config.Endpoint) error {
	in := cloud.Instance{
		ID: string(e.ID), Kind: e.Pool.Kind.String(), State: "live", Region: string(f.options.Tree.Region),
		Zone: string(e.Zone), Endpoint: string(e.ID), Pool: string(e.Pool.ID), Hardware: e.Generation,
	}
	var handler http.Handler
	if e.Pool.Kind == ident.ApplicationRunner {
		a := &apprun.Runner{Time: serviceTime}
		f.Services[e.ID] = a
		handler = a
	} else {
		speed, ok := speeds[e.Generation]
		if !ok {
			speed = runner.Medium
		}
		r := &runner.Runner{Speed: speed, Holdings: f.Holdings, ChecksFencing: e.ChecksFencing}
		if f.options.PrepareRunner != nil {
			f.options.PrepareRunner(e.ID, r)
		}
		r.Start()
		f.Runners[e.ID] = r
		handler = r
	}
	var err error
	in.Address, err = f.serve(handler, HostOf(e.ID))
	f.listed = append(f.listed, in)
	f.Platform.SetInstances(f.list())
	return err
}

func (f *Fleet) list() []cloud.Instance { return append([]cloud.Instance(nil), f.listed...) }

// SetState changes an instance's state in the platform's list.
func (f *Fleet) SetState(id, state string) {
	for i := range f.listed {
		if f.listed[i].ID == id {
			f.listed[i].State = state
		}
	}
	f.Platform.SetInstances(f.list())
}

// AddNode starts one more entry node.
func (f *Fleet) AddNode(zone ident.AvailabilityZone) (*Node, error) {
	name := fmt.Sprintf("entry-%d", len(f.Nodes)+1)
	host := f.network.NodeHost(len(f.Nodes))
	n := &Node{Host: host}
	mux := &link.Mux{}
	listener, err := f.network.Listen(host)
	if err != nil {
		return nil, err
	}
	if n.peers, err = f.network.Peers(host, mux); err != nil {
		return nil, err
	}
	n.Address = listener.Addr().String()
	dial := f.network.Dial(host)
	n.Node = &node.Node{
		Process: config.Process{
			Name: ident.NodeID(name), Zone: zone, Region: f.options.Tree.Region,
			CallerAddress: n.Address, PeerAddress: n.peers.Address,
		},
		Tree:   f.options.Tree,
		Store:  f.storeFrom(host),
		Open:   n.peers.Open,
		Forget: n.peers.Forget,
		Client: &client.Client{Dial: dial},
		Policy: f.options.Policy,
		Log:    f.logger(name),

		LedgerKey: f.LedgerKey,
	}
	if f.options.Files != nil {
		n.Node.Tree = nil
	}
	if f.options.Prepare != nil {
		f.options.Prepare(n)
	}
	n.Prepare(mux, resumeKey)
	f.listed = append(f.listed, cloud.Instance{
		ID: name, Kind: "entry", State: "live", Region: string(f.options.Tree.Region), Zone: string(zone),
		Address: n.Address, Peer: n.peers.Address,
	})
	f.Platform.SetInstances(f.list())
	n.Start(context.Background())
	n.server = n.Front().Server()
	n.server.ErrorLog = quiet()
	go n.server.Serve(listener) //nolint:errcheck // it ends with Close.
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// platformStore is the platform as its own machine sees it.
func (f *Fleet) platformStore() *store.Client { return f.storeFrom(PlatformHost) }

func (f *Fleet) storeFrom(host string) *store.Client {
	transport := &http.Transport{DialContext: f.network.Dial(host), DisableKeepAlives: true}
	calls := &platform.Store{Address: strings.TrimPrefix(f.platform, "http://"), Transport: transport}
	return &store.Client{Service: calls.Service()}
}

func (f *Fleet) logger(name string) *log.Logger {
	options := log.Options{Level: f.options.LogLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true}
	return log.NewWithOptions(f.options.LogTo, options).With("node", name)
}

// settle waits until every node sees every other ready.
func (f *Fleet) settle() error {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) {
		if f.isSettled() {
			return nil
		}
		time.Sleep(settlePause)
	}
	return eris.New("the nodes did not find each other in time")
}

func (f *Fleet) isSettled() bool {
	for _, n := range f.Nodes {
		if len(n.Members().Ready("")) != len(f.Nodes) {
			return false
		}
	}
	return true
}

// Kill ends a node at once, without any word to the others.
func (n *Node) Kill() {
	n.once.Do(func() {
		n.server.Close() //nolint:errcheck // a crash.
		n.Stop()
		n.peers.Close()
	})
}

// Shutdown ends a node gracefully: out of the lists, then idle, then gone.
func (n *Node) Shutdown(ctx context.Context) error {
	n.Leave()
	err := n.server.Shutdown(ctx)
	n.Wait()
	n.Kill()
	return eris.Wrap(err, "shut down")
}

// Stop ends everything.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, s := range f.servers {
		s.Close() //nolint:errcheck // nothing is to be saved.
	}
	for _, r := range f.Runners {
		r.Stop()
	}
}
