// Package fleet starts a small deployment in one process: the stand-in
// platform, a stand-in for each endpoint of a settings tree, and entry nodes
// connected by QUIC or, in tests, by in-memory pipes. The try command, the load
// command and the end-to-end tests use it.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Options{Tree: tree, Nodes: 3})
//	if err != nil {
//		return err
//	}
//	defer f.Stop()
//	resp, err := http.Get("http://" + f.Nodes[0].Address + "/healthz")
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
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/stand/apprun"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/runner"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
	"goldcrestwick/platform"
)

const (
	applicationServiceTime = 20 * time.Millisecond
	readHeaderTimeout      = 5 * time.Second
	startupTimeout         = 30 * time.Second
	startupPollInterval    = 50 * time.Millisecond
)

var resumeKey = []byte("shared by the nodes of one process")

// Options configures a Fleet.
type Options struct {
	// Tree holds the endpoints to start, and the settings of the nodes unless
	// Files is set.
	Tree *config.Tree
	// Nodes is the number of entry nodes.
	Nodes int
	// Files, if not nil, are written to the platform as the first settings
	// version, and the nodes read their settings from there instead of Tree.
	// The endpoints are those of Tree in any case.
	Files map[string][]byte
	// Policy is the scheduling policy of the nodes.
	Policy sched.Policy
	// Network connects the nodes, the endpoints and the platform; nil means
	// Loopback.
	Network *Network
	// LogOutput receives the nodes' logs; nil discards them.
	LogOutput io.Writer
	// LogLevel is the lowest level that is logged.
	LogLevel log.Level
	// ConfigureNode, if not nil, is called for each node before it starts,
	// ConfigureRunner for each model runner.
	ConfigureNode   func(*Node)
	ConfigureRunner func(ident.Endpoint, *runner.Runner)
}

// Fleet is a running deployment.
type Fleet struct {
	Platform           *cloud.Platform
	ModelRunners       map[ident.Endpoint]*runner.Runner
	ApplicationRunners map[ident.Endpoint]*apprun.Runner
	CacheDirectory     *runner.CacheDirectory
	Nodes              []*Node

	// LedgerKey signs the ledger of all nodes.
	LedgerKey ed25519.PrivateKey

	options     Options
	network     *Network
	instances   []cloud.Instance
	platformURL string
	servers     []*http.Server
}

// Node is one entry node of a Fleet.
type Node struct {
	*node.Node
	// Address is the host:port that serves callers, Host the node's host name in
	// the Network.
	Address string
	Host    string

	peers    *Peers
	server   *http.Server
	killOnce sync.Once
}

// Start starts a deployment and returns once every node sees all nodes as
// ready. It returns an error if that takes longer than 30 s after all nodes have
// started, or if a part cannot be started; it then stops the other parts.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Platform: &cloud.Platform{}, ModelRunners: map[ident.Endpoint]*runner.Runner{},
		ApplicationRunners: map[ident.Endpoint]*apprun.Runner{}, CacheDirectory: &runner.CacheDirectory{}, options: o,
	}
	if o.LogOutput == nil {
		f.options.LogOutput = io.Discard
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
		return eris.Wrap(err, "generate ledger key")
	}
	f.network = f.options.Network
	if f.network == nil {
		if f.network, err = Loopback(nil); err != nil {
			return err
		}
	}
	if f.platformURL, err = f.startServer(f.Platform, PlatformHost); err != nil {
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
		r := &repo.Repo{Transact: f.platformStoreClient().Transact, Get: f.platformStoreClient().Get}
		if err := r.Init(context.Background(), f.options.Files, "fleet"); err != nil {
			return err
		}
	}
	for i := range f.options.Nodes {
		if _, err := f.AddNode(zoneForNode(f.options.Tree, i)); err != nil {
			return err
		}
	}
	return f.waitForMembership()
}

// zoneForNode assigns node i to one of the zones that have endpoints, in
// round-robin order.
func zoneForNode(tree *config.Tree, i int) ident.AvailabilityZone {
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

func (f *Fleet) startServer(h http.Handler, host string) (string, error) {
	listener, err := f.network.Listen(host)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: discardLogger()}
	f.servers = append(f.servers, server)
	go server.Serve(listener) //nolint:errcheck // it returns when the server is closed.
	return "http://" + listener.Addr().String(), nil
}

var stepCostByGeneration = map[string]runner.StepCost{"fast": runner.Fast, "medium": runner.Medium, "slow": runner.Slow}

func (f *Fleet) startEndpoint(e *config.Endpoint) error {
	instance := cloud.Instance{
		ID: string(e.ID), Kind: e.Pool.Kind.String(), State: "live", Region: string(f.options.Tree.Region),
		AvailabilityZone: string(e.Zone), Endpoint: string(e.ID), Pool: string(e.Pool.ID), Hardware: e.Generation,
	}
	var handler http.Handler
	if e.Pool.Kind == ident.ApplicationRunner {
		app := &apprun.Runner{CallDuration: applicationServiceTime}
		f.ApplicationRunners[e.ID] = app
		handler = app
	} else {
		stepCost, ok := stepCostByGeneration[e.Generation]
		if !ok {
			stepCost = runner.Medium
		}
		r := &runner.Runner{StepCost: stepCost, CacheDirectory: f.CacheDirectory, ChecksFencing: e.ChecksFencing}
		if f.options.ConfigureRunner != nil {
			f.options.ConfigureRunner(e.ID, r)
		}
		r.Start()
		f.ModelRunners[e.ID] = r
		handler = r
	}
	var err error
	instance.Address, err = f.startServer(handler, EndpointHost(e.ID))
	f.instances = append(f.instances, instance)
	f.Platform.SetInstances(f.instanceList())
	return err
}

func (f *Fleet) instanceList() []cloud.Instance { return append([]cloud.Instance(nil), f.instances...) }

// SetInstanceState sets an instance's state in the platform's instance list. It
// does nothing to an ID that is not in the list.
func (f *Fleet) SetInstanceState(id, state string) {
	for i := range f.instances {
		if f.instances[i].ID == id {
			f.instances[i].State = state
		}
	}
	f.Platform.SetInstances(f.instanceList())
}

// AddNode starts another entry node in a zone. It returns when the node is
// ready, which the other nodes may not have noticed yet.
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
		Store:  f.storeClient(host),
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
	if f.options.ConfigureNode != nil {
		f.options.ConfigureNode(n)
	}
	n.Prepare(mux, resumeKey)
	f.instances = append(f.instances, cloud.Instance{
		ID: name, Kind: "entry", State: "live", Region: string(f.options.Tree.Region), AvailabilityZone: string(zone),
		Address: n.Address, PeerAddress: n.peers.Address,
	})
	f.Platform.SetInstances(f.instanceList())
	n.Start(context.Background())
	n.server = n.Front().Server()
	n.server.ErrorLog = discardLogger()
	go n.server.Serve(listener) //nolint:errcheck // it returns when the server is closed.
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// platformStoreClient returns a store client that connects from the platform's own
// host.
func (f *Fleet) platformStoreClient() *store.Client { return f.storeClient(PlatformHost) }

func (f *Fleet) storeClient(host string) *store.Client {
	transport := &http.Transport{DialContext: f.network.Dial(host), DisableKeepAlives: true}
	service := &platform.Store{Address: strings.TrimPrefix(f.platformURL, "http://"), Transport: transport}
	return &store.Client{Service: service.Service()}
}

func (f *Fleet) logger(name string) *log.Logger {
	options := log.Options{Level: f.options.LogLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true}
	return log.NewWithOptions(f.options.LogOutput, options).With("node", name)
}

// waitForMembership waits until every node sees all nodes as ready.
func (f *Fleet) waitForMembership() error {
	deadline := time.Now().Add(startupTimeout)
	for time.Now().Before(deadline) {
		if f.hasFullMembership() {
			return nil
		}
		time.Sleep(startupPollInterval)
	}
	return eris.New("not every entry node saw all others as ready in time")
}

func (f *Fleet) hasFullMembership() bool {
	for _, n := range f.Nodes {
		if len(n.Members().Ready("")) != len(f.Nodes) {
			return false
		}
	}
	return true
}

// Kill stops a node abruptly, without notifying the other nodes.
func (n *Node) Kill() {
	n.killOnce.Do(func() {
		n.server.Close() //nolint:errcheck // it simulates a crash.
		n.Stop()
		n.peers.Close()
	})
}

// Shutdown stops a node gracefully: it withdraws the node from the address
// lists, waits for the requests in flight, then stops it. When ctx is done, it
// no longer waits for the connections of callers, and returns an error after it
// has stopped the node.
func (n *Node) Shutdown(ctx context.Context) error {
	n.Leave()
	err := n.server.Shutdown(ctx)
	n.Wait()
	n.Kill()
	return eris.Wrap(err, "shut down node")
}

// Stop stops the nodes abruptly, then the endpoints and the platform.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, s := range f.servers {
		s.Close() //nolint:errcheck // the server holds no state to save.
	}
	for _, r := range f.ModelRunners {
		r.Stop()
	}
}
