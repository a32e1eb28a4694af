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
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/connection/drain"
	"goldcrestwick/internal/connection/guard"
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
	// addressesTTL is the cache lifetime that callers receive with the entry
	// addresses. Some cache them for up to three times as long.
	addressesTTL = time.Second
	// drainDelay is how long a stopping node waits before it closes the
	// connections of callers that still use it. By then the callers' cached
	// addresses have expired.
	drainDelay = 3*addressesTTL + 500*time.Millisecond
	// graceMargin is the last part of the grace period. At its start the node no
	// longer waits for requests to end, and writes its remaining state.
	graceMargin = time.Second
	// heapMemoryShare is the fraction of the process's memory that is set as the
	// Go runtime's soft memory limit, near which garbage is collected more often.
	heapMemoryShare = 0.6
	// coreCapacity is the capacity of one core in config.Process.
	coreCapacity = 1000
	// maxListeners is the capacity of the channel of failures. It exceeds the
	// number of listeners, so that each can report a failure without blocking.
	maxListeners        = 8
	authorityRetryDelay = 200 * time.Millisecond
	// authorityCreateDelay is how long a node of a running fleet waits before it
	// creates an authority: the other nodes notice within some seconds that a
	// restored store has lost theirs, and write it again.
	authorityCreateDelay = 6 * time.Second
	authorityLoadTimeout = 2 * time.Second
	readHeaderTimeout    = 5 * time.Second
	// requestTimeout bounds the reading of a request, and answerTimeout that and the answer, on
	// the ports that do not serve callers. An operator's change of the settings takes longest.
	requestTimeout = 30 * time.Second
	answerTimeout  = time.Minute
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one entry node on the platform",
		Description: "Settings, endpoints and certificates are read from the platform's store. The first TERM signal removes the\n" +
			"node from the address lists; it keeps serving until its requests have ended or the grace period is over.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process; the platform sets the default"},
		},
		Action: runEntry,
	}
}

// entryNode is an entry node on the platform with its listeners.
type entryNode struct {
	// startSettings are the settings that the process started with, with the
	// addresses in use; settings are those in force.
	startSettings config.Process
	settings      atomic.Pointer[config.Process]
	node          *node.Node
	link          *link.Transport
	callerServer  *drain.Server
	listeners     map[string]net.Listener
	log           *log.Logger
	failures      chan error
	// drainDelay is the constant of the same name, except in tests.
	drainDelay time.Duration
	// listening is closed when node is set, the HTTP servers run and startSettings
	// has the addresses in use.
	listening chan struct{}
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
	if p.GracePeriod == 0 {
		return usageError{eris.Errorf("%s has no section [entry]", file)}
	}
	limitMemory(p)
	limitProcessors(p)
	logWriter := spool.New(c.Root().Writer)
	defer logWriter.Close()
	e := newEntryNode(p, newLogger(p, logWriter))
	e.log.Info("process_started", "node", p.Name, "availability_zone", p.Zone, "callers", p.CallerAddress)
	for _, f := range p.Ignored {
		e.log.Warn("setting_ignored", "finding", f.String())
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go func() {
		<-e.listening
		e.reload(ctx, file, reloadSignals)
	}()
	return e.run(ctx)
}

// limitMemory sets the soft limit of the Go runtime's memory. If the settings have
// no memory size, it leaves the limit as it is.
func limitMemory(p config.Process) {
	if p.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(p.MemoryBytes)))
	}
}

// limitProcessors makes the Go runtime run code on as many processors as the settings state,
// rounded up, unless it runs on fewer already. On more of them than it may use, it wakes
// threads that find nothing to do. If the settings have no number of cores, it leaves the
// runtime's own choice.
func limitProcessors(p config.Process) {
	if cores := (p.Capacity + coreCapacity - 1) / coreCapacity; cores > 0 && cores < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
}

func newEntryNode(p config.Process, logger *log.Logger) *entryNode {
	e := &entryNode{
		startSettings: p, log: logger, listeners: map[string]net.Listener{},
		failures: make(chan error, maxListeners), listening: make(chan struct{}), drainDelay: drainDelay,
	}
	e.settings.Store(&p)
	return e
}

// run starts the node and serves until ctx is done or a listener or the join
// fails. When ctx is done, it drains the node.
func (e *entryNode) run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	client := newStoreClient(e.startSettings.StoreAddress)
	e.link = newTransport(e.startSettings, e.log)
	e.node = &node.Node{
		Process: e.startSettings, Store: client, Open: e.link.Open, Forget: e.link.Forget, Redial: e.link.Redial, Log: e.log,
		Handshakes: e.link.Handshakes,
		Platform: &node.Platform{
			SettingsTable: platform.SettingsTable, SettingsKey: platform.SettingsKey,
			EndpointTable: platform.EndpointTable, SettingsVersion: platform.SettingsVersion,
			ParseSettings: platform.ParseSettings, ParseEndpoint: platform.ParseEndpoint,
			HeaderCodec: platform.HeaderCodec(),
			OrderPool:   platform.OrderPool, ParseOrder: platform.ParseOrder, FormatStatus: platform.FormatStatus, StatusTable: platform.StatusTable,
		},
	}
	resumeKey := make([]byte, minResumeKeyBytes)
	rand.Read(resumeKey) //nolint:errcheck // crypto/rand.Read never fails.
	e.node.Prepare(e.link.Mux, resumeKey)
	e.serve()
	close(e.listening)
	joinCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if err := e.join(joinCtx, client); err != nil && ctx.Err() == nil {
			e.failures <- err
		}
	}()
	select {
	case <-ctx.Done():
		return e.drain()
	case err := <-e.failures:
		return err
	}
}

// newTransport returns the transport of a process, without certificates.
func newTransport(p config.Process, logger *log.Logger) *link.Transport {
	return &link.Transport{
		Mux: newMux(logger), MaxHandshakes: link.HandshakesFor(p.MemoryBytes),
		HandshakesRefused: func(s link.HandshakeStats) {
			logger.Warn("handshakes_refused", "refused_since_start", s.Refused, "pending", s.Pending, "limit", s.Limit)
		},
	}
}

// newMux returns a mux for the messages of other nodes that logs a handler's panic.
func newMux(logger *log.Logger) *link.Mux {
	return &link.Mux{Panicked: func(kind link.Kind, value any, stack []byte) {
		logger.Error("message_handler_panicked", "kind", uint8(kind), "panic", value, "stack", string(stack))
	}}
}

// listen opens the TCP listeners and replaces each address in startSettings by
// the one in use, since port 0 lets the system choose a port.
func (e *entryNode) listen() error {
	p := &e.startSettings
	for _, address := range []*string{&p.CallerAddress, &p.ReadyAddress, &p.DirectoryAddress, &p.OperatorAddress, &p.MetricsAddress} {
		if *address == "" {
			continue
		}
		l, err := net.Listen("tcp", *address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", *address)
		}
		*address = l.Addr().String()
		e.listeners[*address] = l
	}
	return nil
}

// serve starts the HTTP servers. Until the node has a version of the
// settings, requests of callers are refused with the reason node_not_ready.
func (e *entryNode) serve() {
	e.callerServer = drain.New(e.node.Router().Server())
	callers := e.node.NewPort("callers", guard.CallerShare)
	callers.Refuse = e.node.Router().RefuseFull
	l := callers.Protect(e.callerServer.HTTP, e.callerServer.Listener(e.listeners[e.startSettings.CallerAddress]))
	go serveHTTP(e.callerServer.HTTP, e.node.CallerListener(l), e.failures)
	operators := e.node.Operators().Handler()
	p := &e.startSettings
	e.servePort("ready", p.ReadyAddress, platform.ReadinessHandler(e.node.IsReady), guard.OperatorShare)
	e.servePort("directory", p.DirectoryAddress, platform.DirectoryHandler(e.node.EntryAddresses, addressesTTL), guard.DirectoryShare)
	e.servePort("operators", p.OperatorAddress, operators, guard.OperatorShare)
	e.servePort("metrics", p.MetricsAddress, operators, guard.OperatorShare)
}

// servePort starts the HTTP server of a port, if the settings have its address.
func (e *entryNode) servePort(name, address string, h http.Handler, share guard.Share) {
	if l := e.listeners[address]; l != nil {
		server := newHTTPServer(h, e.log)
		go serveHTTP(server, e.node.NewPort(name, share).Protect(server, l), e.failures)
	}
}

// serveHTTP runs a server until it is closed, and sends the error if it fails.
func serveHTTP(server *http.Server, l net.Listener, failures chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failures <- eris.Wrapf(err, "serve on %s", l.Addr())
	}
}

func newHTTPServer(h http.Handler, logger *log.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: requestTimeout, WriteTimeout: answerTimeout, IdleTimeout: time.Minute,
		ErrorLog: logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// join loads the fleet's certificate authority from the store, retrying until it
// succeeds or ctx is done, and joins the fleet.
func (e *entryNode) join(ctx context.Context, client *store.Client) error {
	peerAddress, err := netip.ParseAddrPort(e.startSettings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "parse the peer address")
	}
	manager := &trust.Manager{Store: client, Name: string(e.startSettings.Name), IP: peerAddress.Addr().AsSlice(), Log: e.log}
	if !e.startSettings.IsFirstStart {
		manager.CreateDelay = authorityCreateDelay
	}
	e.node.StoreRestored = manager.Restore
	for {
		loadCtx, cancel := context.WithTimeout(ctx, authorityLoadTimeout)
		err := manager.Load(loadCtx)
		cancel()
		if err == nil {
			break
		}
		e.log.Warn("authority_not_loaded", "error", err)
		if !tick.Sleep(ctx, authorityRetryDelay) {
			return nil
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	e.link.TLSConfig = manager.TLSConfig
	e.node.SetLedgerKey(manager.LedgerKey())
	if err := e.link.Listen(e.startSettings.PeerAddress); err != nil {
		return err
	}
	e.node.Process.PeerAddress = e.link.Address()
	// The node keeps serving when ctx is done; Stop ends its background work.
	e.node.Start(context.WithoutCancel(ctx))
	return nil
}

// drain leaves the fleet. Requests that end before the last graceMargin of the
// grace period are not interrupted.
func (e *entryNode) drain() error {
	began := time.Now()
	grace := e.settings.Load().GracePeriod
	e.log.Info("process_stopping", "grace", grace)
	err := e.node.Shutdown(node.Shutdown{
		DrainDelay: e.drainDelay, ServeTime: grace - graceMargin, CloseCallers: e.callerServer.Shutdown,
	})
	e.log.Info("process_stopped", "took", time.Since(began), "requests_cut", e.node.CutRequests(), "answers_left", err != nil)
	return nil
}
