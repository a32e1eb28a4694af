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
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/apprun"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/runner"
	"goldcrestwick/internal/version/config"
)

const (
	serviceTime  = 20 * time.Millisecond
	shutdownTime = 5 * time.Second
	settleTime   = 10 * time.Second
	settlePause  = 50 * time.Millisecond
)

var resumeKey = []byte("shared by the nodes of one process")

// Options says what to start.
type Options struct {
	Tree  *config.Tree
	Nodes int
	// Policy is how the nodes decide.
	Policy sched.Policy
	// LogTo gets the nodes' logs; nil drops them.
	LogTo io.Writer
	// LogLevel is the least severe level logged.
	LogLevel log.Level
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *cloud.Platform
	Runners  map[ident.Endpoint]*runner.Runner
	Services map[ident.Endpoint]*apprun.Runner
	Holdings *runner.Holdings
	Nodes    []*Node

	options   Options
	authority *link.Authority
	listed    []cloud.Instance
	platform  string
	servers   []*http.Server
}

// Node is one entry node of a Fleet.
type Node struct {
	*node.Node
	// Address is where callers connect.
	Address string

	link   *link.Link
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
	if f.authority, err = link.NewAuthority(); err != nil {
		return err
	}
	if f.platform, err = f.serve(f.Platform, "127.0.0.1:0"); err != nil {
		return err
	}
	for _, team := range f.options.Tree.Teams {
		for _, e := range team.Endpoints {
			if err := f.startEndpoint(e); err != nil {
				return err
			}
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

func (f *Fleet) serve(h http.Handler, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", eris.Wrap(err, "listen")
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
		r.Start()
		f.Runners[e.ID] = r
		handler = r
	}
	var err error
	in.Address, err = f.serve(handler, "127.0.0.1:0")
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
	number := len(f.Nodes) + 1
	ip := net.IPv4(127, 0, 0, byte(number)) //nolint:gosec // a fleet has few nodes.
	name := fmt.Sprintf("entry-%d", number)
	certs, err := f.authority.Issue(name, ip)
	if err != nil {
		return nil, err
	}
	n := &Node{link: &link.Link{TLS: link.Fixed(certs), Mux: &link.Mux{}}}
	if err := n.link.Listen(ip.String() + ":0"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", ip.String()+":0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	n.Address = listener.Addr().String()
	logger := log.NewWithOptions(f.options.LogTo, log.Options{Level: f.options.LogLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true})
	n.Node = &node.Node{
		Process: config.Process{
			Name: ident.NodeID(name), Zone: zone, Region: f.options.Tree.Region,
			CallerAddress: n.Address, PeerAddress: n.link.Address(),
		},
		Tree:   f.options.Tree,
		Store:  &store.Client{Table: f.platform, Objects: f.platform, Instances: f.platform},
		Open:   n.link.Open,
		Forget: n.link.Forget,
		Policy: f.options.Policy,
		Log:    logger.With("node", name),
	}
	n.Prepare(n.link.Mux, resumeKey)
	f.listed = append(f.listed, cloud.Instance{
		ID: name, Kind: "entry", State: "live", Region: string(f.options.Tree.Region), Zone: string(zone),
		Address: n.Address, Peer: n.link.Address(),
	})
	f.Platform.SetInstances(f.list())
	n.Start(context.Background())
	n.server = n.Front().Server()
	n.server.ErrorLog = quiet()
	go n.server.Serve(listener) //nolint:errcheck // it ends with Close.
	f.Nodes = append(f.Nodes, n)
	return n, nil
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
		n.link.Close() //nolint:errcheck // a crash.
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
