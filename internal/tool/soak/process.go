package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// nodeProcess is a node that runs as a process.
type nodeProcess struct {
	name, program, dir, store string

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
}

func (n *nodeProcess) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	settings := filepath.Join(n.dir, n.name+".ini")
	if err := os.WriteFile(settings, fmt.Appendf(nil, settingsFormat, n.name, n.store), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	logFile, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		return eris.Wrap(err, "create a log")
	}
	defer logFile.Close() //nolint:errcheck // the process has its own descriptor.
	n.process = exec.Command(n.program, "entry", "--settings", settings)
	n.process.Stdout, n.process.Stderr = logFile, logFile
	return eris.Wrap(n.process.Start(), "start a node")
}

func (n *nodeProcess) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		n.process.Process.Signal(s) //nolint:errcheck // the process may have ended.
	}
}

func (n *nodeProcess) wait() error {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return nil
	}
	return process.Wait()
}
