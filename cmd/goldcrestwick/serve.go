package main

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/connection/guard"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/platform"
)

const (
	minResumeKeyBytes = 32
	drainPoll         = 200 * time.Millisecond
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry node",
		Description: "The first interrupt or TERM signal removes the node from the address lists. It keeps serving until the callers'\n" +
			"lists have expired and the last request has ended, then exits with 0. A second signal ends it at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process", Required: true},
		},
		Action: serve,
	}
}

// server is a running entry node with its listeners.
type server struct {
	node           *node.Node
	link           *link.Transport
	callerServer   *http.Server
	operatorServer *http.Server
	failures       chan error
	log            *log.Logger
	// callerAddress and operatorAddress are the addresses in use.
	callerAddress   string
	operatorAddress string
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := startServer(c.String("settings"), c.Root().ErrWriter)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return s.drain()
	case err := <-s.failures:
		return err
	}
}

// startServer loads the settings and the files that they name, and starts the node
// with its listeners. Its log is written to logTo.
func startServer(settingsFile string, logTo io.Writer) (*server, error) {
	p, err := config.LoadProcess(settingsFile)
	if err != nil {
		return nil, err
	}
	var tree *config.Tree
	if p.TreeDir != "" {
		if tree, err = config.Load(os.DirFS(p.TreeDir), 1); err != nil {
			return nil, err
		}
	}
	resumeKey, err := os.ReadFile(p.ResumeKeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the resume token key")
	}
	if len(resumeKey) < minResumeKeyBytes {
		return nil, usageError{eris.Errorf("the resume token key is shorter than %d bytes", minResumeKeyBytes)}
	}
	files := &link.CertFiles{CA: p.CAFile, Cert: p.CertFile, Key: p.KeyFile}
	if err := files.Load(); err != nil {
		return nil, err
	}
	s := &server{failures: make(chan error, 2), log: newLogger(p, logTo)}
	s.link = newTransport(p, s.log)
	s.link.TLSConfig = files.TLSConfig
	if err := s.link.Listen(p.PeerAddress); err != nil {
		return nil, err
	}
	p.PeerAddress = s.link.Address()
	return s, s.listenAndStart(p, tree, resumeKey)
}

// readLedgerKey reads an Ed25519 private key in PKCS #8 form, encoded as PEM.
func readLedgerKey(file string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the ledger key")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, usageError{eris.Errorf("%s contains no PEM block", file)}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return nil, usageError{eris.Errorf("%s contains no Ed25519 key in PKCS #8 form", file)}
	}
	return key, nil
}

// newStoreClient returns a client of the platform's store at address, which has
// the form IP:PORT.
func newStoreClient(address string) *store.Client {
	return &store.Client{Service: platform.NewStore(address).Service()}
}

func newLogger(p config.Process, to io.Writer) *log.Logger {
	formats := map[string]log.Formatter{"text": log.TextFormatter, "json": log.JSONFormatter, "logfmt": log.LogfmtFormatter}
	level, err := log.ParseLevel(p.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(to, log.Options{Level: level, Formatter: formats[p.LogFormat], ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
}

// listenAndStart opens the listeners for callers and operators, and starts the
// node and its HTTP servers.
func (s *server) listenAndStart(p config.Process, tree *config.Tree, resumeKey []byte) error {
	callers, err := net.Listen("tcp", p.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	operators, err := net.Listen("tcp", p.OperatorAddress)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	p.CallerAddress = callers.Addr().String()
	s.callerAddress, s.operatorAddress = p.CallerAddress, operators.Addr().String()
	s.node = &node.Node{
		Process: p, Tree: tree, Open: s.link.Open, Forget: s.link.Forget, Redial: s.link.Redial, Log: s.log,
		Store: newStoreClient(p.StoreAddress), Handshakes: s.link.Handshakes,
	}
	if p.LedgerKeyFile != "" {
		if s.node.LedgerKey, err = readLedgerKey(p.LedgerKeyFile); err != nil {
			return err
		}
	}
	s.node.Prepare(s.link.Mux, resumeKey)
	s.node.Start(context.Background())
	s.callerServer = s.node.Front().Server()
	s.operatorServer = newHTTPServer(s.node.Operators().Handler(), s.log)
	go serveHTTP(s.callerServer, s.node.NewPort("callers", guard.CallerShare).Protect(s.callerServer, callers), s.failures)
	go serveHTTP(s.operatorServer, s.node.NewPort("operators", guard.OperatorShare).Protect(s.operatorServer, operators), s.failures)
	s.log.Info("listening", "callers", p.CallerAddress, "peers", p.PeerAddress, "operators", operators.Addr().String())
	return nil
}

// drain leaves the fleet without interrupting a request. Callers that have the
// address cached are served until their lists have expired, and every request
// until it has ended.
func (s *server) drain() error {
	s.node.Leave()
	time.Sleep(s.node.Settings().Limits.AddressesTTL)
	err := s.callerServer.Shutdown(context.Background())
	s.node.Wait()
	s.node.Stop()
	if closeErr := s.operatorServer.Close(); err == nil {
		err = closeErr
	}
	if closeErr := s.link.Close(); err == nil {
		err = closeErr
	}
	s.log.Info("node_stopped")
	return eris.Wrap(err, "stop the node")
}
