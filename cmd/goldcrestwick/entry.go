package main

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/spool"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trust"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/platform"
)

const (
	// addressesTTL is how long callers keep the answer of the directory; some
	// keep it three times as long.
	addressesTTL = time.Second
	// closeAfter is when a stopping node closes the connections of callers
	// that still use it: by then their lists have expired.
	closeAfter = 3*addressesTTL + 500*time.Millisecond
	// graceMargin is left of the grace time for the end of the process, stopTime
	// of it for the node's own last work.
	graceMargin = time.Second
	stopTime    = 700 * time.Millisecond
	// memoryShare is the part of the process's memory that the heap may fill
	// before the collector works harder.
	memoryShare = 0.6
	// maxListeners bounds the listeners that can fail.
	maxListeners = 8
	trustPause   = 200 * time.Millisecond
	trustTime    = 2 * time.Second
	readTimeout  = 5 * time.Second
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one entry node on the platform",
		Description: "Settings, endpoints and certificates come from the platform's store. The first TERM signal takes the node\n" +
			"out of the address lists; it serves on until its requests have ended or the grace time is over.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process; by default the platform's"},
		},
		Action: runEntry,
	}
}

// entryNode is an entry node on the platform with its listeners.
type entryNode struct {
	// process is the settings with which the process began, settings those in
	// force.
	process   config.Process
	settings  atomic.Pointer[config.Process]
	node      *node.Node
	link      *link.Link
	callers   *http.Server
	listeners map[string]net.Listener
	log       *log.Logger
	failed    chan error
	// linger is how long a stopping node serves callers that still come.
	linger time.Duration
	// ready is closed when the addresses in use are known.
	ready chan struct{}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	if file == "" {
		file = platform.SettingsFile()
	}
	if file == "" {
		return usageError{eris.New("no settings file is given")}
	}
	p, err := config.LoadProcess(file)
	if err != nil {
		return err
	}
	if p.Grace == 0 {
		return usageError{eris.Errorf("%s has no section [entry]", file)}
	}
	limitMemory(p)
	lines := spool.New(c.Root().Writer)
	defer lines.Close()
	e := newEntryNode(p, newLogger(p, lines))
	e.log.Info("process_started", "node", p.Name, "availability_zone", p.Zone, "callers", p.CallerAddress)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		<-e.ready
		e.reload(ctx, file, reload)
	}()
	return e.run(ctx)
}

func limitMemory(p config.Process) {
	if p.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.Memory)))
	}
}

func newEntryNode(p config.Process, logger *log.Logger) *entryNode {
	e := &entryNode{
		process: p, log: logger, listeners: map[string]net.Listener{},
		failed: make(chan error, maxListeners), ready: make(chan struct{}), linger: closeAfter,
	}
	e.settings.Store(&p)
	return e
}

func (e *entryNode) run(ctx context.Context) error {
	if err := e.open(); err != nil {
		return err
	}
	client := newStoreClient(e.process.StoreAddress)
	e.link = &link.Link{Mux: &link.Mux{}}
	e.node = &node.Node{
		Process: e.process, Store: client, Open: e.link.Open, Forget: e.link.Forget, Redial: e.link.Redial, Log: e.log,
		Platform: &node.Platform{
			SettingsTable: platform.OperatorTable, SettingsKey: platform.SettingsKey,
			EndpointTable: platform.EndpointTable, SettingsVersion: platform.SettingsVersion,
			ParseSettings: platform.ParseSettings, ParseEndpoint: platform.ParseEndpoint,
			HeaderCodec: platform.HeaderCodec(),
		},
	}
	resumeKey := make([]byte, minResumeKey)
	rand.Read(resumeKey) //nolint:errcheck // crypto/rand.Read never fails.
	e.node.Prepare(e.link.Mux, resumeKey)
	e.serve()
	close(e.ready)
	starting, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if err := e.start(starting, client); err != nil && ctx.Err() == nil {
			e.failed <- err
		}
	}()
	select {
	case <-ctx.Done():
		return e.drain()
	case err := <-e.failed:
		return err
	}
}

// open opens the TCP addresses. Port 0 lets the system choose.
func (e *entryNode) open() error {
	p := &e.process
	for _, at := range []*string{&p.CallerAddress, &p.ReadyAddress, &p.DirectoryAddress, &p.OperatorAddress, &p.MetricsAddress} {
		if *at == "" {
			continue
		}
		l, err := net.Listen("tcp", *at)
		if err != nil {
			return eris.Wrapf(err, "listen at %s", *at)
		}
		*at = l.Addr().String()
		e.listeners[*at] = l
	}
	return nil
}

// serve answers callers, who get a truthful refusal until the node has joined.
func (e *entryNode) serve() {
	e.callers = e.node.Router().Server()
	operators := e.node.Operators().Handler()
	for address, server := range map[string]*http.Server{
		e.process.CallerAddress:    e.callers,
		e.process.ReadyAddress:     plainServer(platform.ReadinessHandler(e.node.IsReady)),
		e.process.DirectoryAddress: plainServer(platform.DirectoryHandler(e.node.EntryAddresses, addressesTTL)),
		e.process.OperatorAddress:  plainServer(operators),
		e.process.MetricsAddress:   plainServer(operators),
	} {
		l := e.listeners[address]
		if l != nil {
			go serveHTTP(server, l, e.failed)
		}
	}
}

// serveHTTP runs a server until it is closed, and tells when it fails.
func serveHTTP(server *http.Server, l net.Listener, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- eris.Wrapf(err, "serve at %s", l.Addr())
	}
}

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readTimeout, IdleTimeout: time.Minute}
}

// start joins the fleet once the store has given the fleet's authority.
func (e *entryNode) start(ctx context.Context, client *store.Client) error {
	peers, err := netip.ParseAddrPort(e.process.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "peer address")
	}
	keeper := &trust.Keeper{Store: client, Name: string(e.process.Name), IP: peers.Addr().AsSlice(), Log: e.log}
	for {
		loading, cancel := context.WithTimeout(ctx, trustTime)
		err := keeper.Load(loading)
		cancel()
		if err == nil {
			break
		}
		e.log.Warn("authority_not_loaded", "error", err)
		if !tick.Sleep(ctx, trustPause) {
			return nil
		}
	}
	e.link.TLS = keeper.Config
	e.node.SetLedgerKey(keeper.LedgerKey())
	if err := e.link.Listen(e.process.PeerAddress); err != nil {
		return err
	}
	e.node.Process.PeerAddress = e.link.Address()
	e.node.Start(ctx)
	return nil
}

// drain leaves the fleet without cutting a request that ends in time.
func (e *entryNode) drain() error {
	began := time.Now()
	grace := e.settings.Load().Grace
	e.log.Info("process_stopping", "grace", grace)
	e.node.Router().Leave()
	e.node.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), grace-graceMargin)
	defer cancel()
	tick.Sleep(ctx, e.linger)
	err := e.callers.Shutdown(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.node.Stop()
	}()
	select {
	case <-stopped:
	case <-time.After(stopTime):
		e.log.Warn("ledger_may_be_unwritten", "reason", "the grace time is over")
	}
	e.log.Info("process_stopped", "took", time.Since(began), "requests_cut", err != nil)
	return nil
}
