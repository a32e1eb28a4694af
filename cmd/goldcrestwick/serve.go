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

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/platform"
)

const (
	minResumeKey = 32
	drainPoll    = 200 * time.Millisecond
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry node",
		Description: "The first interrupt or TERM signal takes the node out of the address lists; it serves on until the\n" +
			"callers' lists have expired and the last request has ended, then exits with 0. A second signal ends it at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this process", Required: true},
		},
		Action: serve,
	}
}

// server is a running entry node with its listeners.
type server struct {
	node      *node.Node
	link      *link.Link
	callers   *http.Server
	operators *http.Server
	failed    chan error
	log       *log.Logger
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
	case err := <-s.failed:
		return err
	}
}

func startServer(settings string, logTo io.Writer) (*server, error) {
	p, err := config.LoadProcess(settings)
	if err != nil {
		return nil, err
	}
	var tree *config.Tree
	if p.Tree != "" {
		if tree, err = config.Load(os.DirFS(p.Tree), 1); err != nil {
			return nil, err
		}
	}
	key, err := os.ReadFile(p.ResumeKey)
	if err != nil {
		return nil, eris.Wrap(err, "read the key of resume tokens")
	}
	if len(key) < minResumeKey {
		return nil, usageError{eris.Errorf("the key of resume tokens has less than %d bytes", minResumeKey)}
	}
	files := &link.Files{CA: p.CAFile, Cert: p.CertFile, Key: p.KeyFile}
	if err := files.Load(); err != nil {
		return nil, err
	}
	s := &server{failed: make(chan error, 2), log: newLogger(p, logTo)}
	s.link = &link.Link{TLS: files.Config, Mux: &link.Mux{}}
	if err := s.link.Listen(p.PeerAddress); err != nil {
		return nil, err
	}
	p.PeerAddress = s.link.Address()
	return s, s.listen(p, tree, key)
}

// readLedgerKey reads an ed25519 key in PKCS #8, as PEM.
func readLedgerKey(file string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the ledger's key")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, usageError{eris.Errorf("%s holds no PEM block", file)}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return nil, usageError{eris.Errorf("%s holds no ed25519 key in PKCS #8", file)}
	}
	return key, nil
}

// newStoreClient calls the platform's store at an address of the form IP:PORT.
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

func (s *server) listen(p config.Process, tree *config.Tree, key []byte) error {
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
		Store: newStoreClient(p.StoreAddress),
	}
	if p.LedgerKey != "" {
		if s.node.LedgerKey, err = readLedgerKey(p.LedgerKey); err != nil {
			return err
		}
	}
	s.node.Prepare(s.link.Mux, key)
	s.node.Start(context.Background())
	s.callers = s.node.Front().Server()
	s.operators = &http.Server{Handler: s.node.Operators().Handler(), ReadHeaderTimeout: s.node.Settings().Limits.HeaderTimeout}
	go serveHTTP(s.callers, callers, s.failed)
	go serveHTTP(s.operators, operators, s.failed)
	s.log.Info("listening", "callers", p.CallerAddress, "peers", p.PeerAddress, "operators", operators.Addr().String())
	return nil
}

// drain leaves the fleet without cutting a request: callers that kept the
// address are served until their lists have expired, and every request until
// it has ended.
func (s *server) drain() error {
	s.node.Leave()
	time.Sleep(s.node.Settings().Limits.AddressesTTL)
	err := s.callers.Shutdown(context.Background())
	s.node.Wait()
	s.node.Stop()
	if e := s.operators.Close(); err == nil {
		err = e
	}
	if e := s.link.Close(); err == nil {
		err = e
	}
	s.log.Info("node_stopped")
	return eris.Wrap(err, "stop")
}
