package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// nodeProcess is a node that runs as a process.
type nodeProcess struct {
	name, program, dir, store string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	// hasEnded is closed when the process has ended, with waitErr. isEnded is set once a signal
	// has been sent that ends it, and ownEnds describes the ends without one.
	hasEnded chan struct{}
	waitErr  error
	isEnded  bool
	ownEnds  []string
	// programs holds the programs that the node has run, in order.
	programs []startedProgram

	// settings follow those that all nodes have.
	settings string
	// callerAddress and peerAddress, if not empty, replace the ones of settingsFormat.
	callerAddress, peerAddress string
	// others holds the addresses of the node's other ports, and replacements pairs of a line of
	// settingsFormat and what replaces it.
	others       map[port]string
	replacements []string
	// descriptors, if not 0, is the limit on open descriptors of the process.
	descriptors int
	// ownStore serves the store to this node alone, and isCutOff ends that.
	ownStore *httptest.Server
	isCutOff atomic.Bool
}

// port is one that a node listens on.
type port string

// The ports. The first two are in the node's row.
const (
	callerPort    port = "caller"
	peerPort      port = "peer"
	directoryPort port = "directory"
	readyPort     port = "ready"
	operatorPort  port = "operator"
	metricsPort   port = "metrics"
)

// chooseOthers chooses the addresses of the ports that are not in the node's row.
func (n *nodeProcess) chooseOthers(ip string) error {
	n.others = map[port]string{}
	for _, p := range []port{directoryPort, readyPort, operatorPort, metricsPort} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return eris.Wrap(err, "choose a port")
		}
		n.others[p] = l.Addr().String()
		l.Close() //nolint:errcheck // no other process uses the IP address.
	}
	return nil
}

// address returns the address of a port.
func (n *nodeProcess) address(p port) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch p {
	case callerPort:
		return n.callerAddress
	case peerPort:
		return n.peerAddress
	}
	return n.others[p]
}

// startedProgram is a program that was started at a time.
type startedProgram struct {
	at      time.Time
	program string
}

// programAt returns the program that the node ran at a time.
func (n *nodeProcess) programAt(at time.Time) (program string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.programs {
		if !p.at.After(at) {
			program = p.program
		}
	}
	return program
}

// serveStore gives the node a server of its own for the store, so that the node can be cut
// off from it.
func (n *nodeProcess) serveStore(store http.Handler) {
	n.ownStore = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.isCutOff.Load() {
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	}))
	n.store = strings.TrimPrefix(n.ownStore.URL, "http://")
}

// cutOff cuts the node off from the store, or ends that.
func (n *nodeProcess) cutOff(isCutOff bool) {
	n.isCutOff.Store(isCutOff)
	if isCutOff {
		n.ownStore.CloseClientConnections()
	}
}

func (n *nodeProcess) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	settings := filepath.Join(n.dir, n.name+".ini")
	text := fmt.Sprintf(settingsFormat+n.settings, n.name, n.store)
	if n.peerAddress != "" {
		text = strings.NewReplacer("caller_address = 127.0.0.1:0", "caller_address = "+n.callerAddress,
			"peer_address = 127.0.0.1:0", "peer_address = "+n.peerAddress).Replace(text)
	}
	for p, address := range n.others {
		text = strings.Replace(text, string(p)+"_address = 127.0.0.1:0", string(p)+"_address = "+address, 1)
	}
	text = strings.NewReplacer(n.replacements...).Replace(text)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	logFile, err := os.Create(n.logPath())
	if err != nil {
		return eris.Wrap(err, "create a log")
	}
	defer logFile.Close() //nolint:errcheck // the process has its own descriptor.
	n.process = exec.Command(n.program, "entry", "--settings", settings)
	if n.descriptors > 0 {
		limit := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, n.descriptors)
		n.process = exec.Command("sh", "-c", limit, n.program, "entry", "--settings", settings)
	}
	n.process.Stdout, n.process.Stderr = logFile, logFile
	n.isEnded, n.programs = false, append(n.programs, startedProgram{time.Now(), n.program})
	if err := n.process.Start(); err != nil {
		return eris.Wrap(err, "start a node")
	}
	process, hasEnded := n.process, make(chan struct{})
	n.hasEnded = hasEnded
	go func() {
		err := process.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.waitErr = err; !n.isEnded {
			n.ownEnds = append(n.ownEnds, fmt.Sprintf("%s, log %s: %v", n.name, n.logPath(), err))
		}
		close(hasEnded)
	}()
	return nil
}

// keepAddresses makes the node's later starts use the addresses of its row, as on a machine of its
// own. Its IP address is its own, so that no other process takes the ports meanwhile.
func (n *nodeProcess) keepAddresses(w *world) {
	var row struct {
		CallerAddress string `json:"caller_address"`
		PeerAddress   string `json:"peer_address"`
	}
	if json.Unmarshal(w.cloud.Rows("nodes")[n.name], &row) == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.callerAddress, n.peerAddress = row.CallerAddress, row.PeerAddress
	}
}

// run sets the program that the node runs from its next start on.
func (n *nodeProcess) run(program string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program = program
}

// logPath returns the path of the log of the latest start. The caller holds n.mu.
func (n *nodeProcess) logPath() string {
	return filepath.Join(n.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts))
}

// logEndBytes bounds the part of a log that logEnd returns.
const logEndBytes = 4 << 10

// logEnd returns the last lines of the log of the latest start.
func (n *nodeProcess) logEnd() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	text, err := os.ReadFile(n.logPath())
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-logEndBytes, 0):])
}

// hasLogged reports whether the process that was started last has logged anything. It does so
// after it has begun to handle signals.
func (n *nodeProcess) hasLogged() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	info, err := os.Stat(n.logPath())
	return err != nil || info.Size() > 0
}

func (n *nodeProcess) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		n.isEnded = n.isEnded || s == syscall.SIGTERM || s == syscall.SIGKILL
		n.process.Process.Signal(s) //nolint:errcheck // the process may have ended.
	}
}

func (n *nodeProcess) wait() error {
	n.mu.Lock()
	hasEnded := n.hasEnded
	n.mu.Unlock()
	if hasEnded == nil {
		return nil
	}
	<-hasEnded
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.waitErr
}
