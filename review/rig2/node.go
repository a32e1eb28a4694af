package rig2

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

const settingsFormat = `[node]
name = %s
availability_zone = z
region = r
caller_address = %s
peer_address = %s
operator_address = %s
first_start = %t
cores = 0.4

[platform]
store = %s

[entry]
directory_address = %s
ready_address = %s
metrics_address = %s
zones = z:r
memory = 284MiB
grace = 8s

[repeats]
ratio = 0.2
extra = 58
window = 10s

[limits]
over = 0.1
slack = 140000
window = 8s

[log]
level = info
format = logfmt
`

// addressCount is the number of addresses of a node.
const addressCount = 6

// Node is an entry node, which runs as a process of its own.
type Node struct {
	Name                        string
	CallerAddress, ReadyAddress string

	deployment *Deployment
	addresses  []string
	settings   string
	starts     int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// StartNode starts an entry node.
func (d *Deployment) StartNode(name string) (*Node, error) {
	addresses, err := freeAddresses(1+len(d.nodes), addressCount)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, CallerAddress: addresses[0], ReadyAddress: addresses[4], deployment: d, addresses: addresses}
	n.settings = filepath.Join(d.Dir, name+".ini")
	d.nodes = append(d.nodes, n)
	return n, n.Start()
}

// Start starts the process, again if it has ended.
func (n *Node) Start() error {
	a := n.addresses
	store := n.deployment.storeAddress
	text := fmt.Sprintf(settingsFormat, n.Name, a[0], a[1], a[2], n.starts == 0, store, a[3], a[4], a[5])
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	n.starts++
	output, err := os.OpenFile(filepath.Join(n.deployment.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program(), "entry")
	command.Env = []string{"GOLDCRESTWICK_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.deployment.Dir}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		output.Close() //nolint:errcheck // the process has ended.
		n.deployment.Record("process of %s ended: %v", n.Name, err)
		close(exited)
	}()
	n.deployment.Record("process of %s started", n.Name)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command.Process.Signal(s) //nolint:errcheck // it may have ended.
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// Log returns what the process has written.
func (n *Node) Log() string {
	text, err := os.ReadFile(filepath.Join(n.deployment.Dir, n.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}
