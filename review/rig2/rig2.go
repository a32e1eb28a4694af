// Package rig2 starts the parts of a small deployment for the scripts of the second review: a
// store, runners and entry nodes, all on loopback addresses.
//
// The store is the project's stand-in. The runners are small servers that run each request that
// is meant for them, and record it.
//
// # Usage
//
//	d, err := rig2.Start("record.txt", settings)
//	defer d.Close()
//	r := d.AddRunner("app-1", "app")
//	n, err := d.StartNode("n1")
//	err = d.AwaitReady(20 * time.Second)
//	d.Record("what was seen")
package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/stand/cloud"
)

// heartbeatInterval is the time between two writes of a runner's row, as in the settings of the
// users' example.
const heartbeatInterval = 1200 * time.Millisecond

// Deployment is a running deployment.
type Deployment struct {
	// Store is the platform's store.
	Store cloud.Platform
	// Dir is a temporary folder with the settings and the logs of the nodes. It is removed by
	// Close unless the variable KEEP is set.
	Dir string

	started      time.Time
	server       *httptest.Server
	storeAddress string
	done         chan struct{}
	tasks        sync.WaitGroup

	mu      sync.Mutex
	record  *os.File
	nodes   []*Node
	runners []*Runner
}

// Start starts a deployment without nodes and runners whose operator has written settings, and
// opens its record.
func Start(record string, settings map[string]any) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir, started: time.Now(), done: make(chan struct{}), record: file}
	d.Put("op", "", "config", settings)
	d.server = httptest.NewServer(&d.Store)
	d.storeAddress = strings.TrimPrefix(d.server.URL, "http://")
	d.tasks.Go(d.beat)
	return d, nil
}

// Close ends all processes of the deployment and removes its folder.
func (d *Deployment) Close() {
	close(d.done)
	for _, n := range d.nodes {
		n.Kill()
	}
	for _, r := range d.runners {
		r.server.Close() //nolint:errcheck // the run is over.
	}
	d.server.CloseClientConnections()
	d.server.Close()
	d.tasks.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.Dir) //nolint:errcheck // it is in the temporary folder.
	}
	d.record.Close() //nolint:errcheck // each line has been written.
}

// Record writes a line with the time since the start into the record.
func (d *Deployment) Record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.started).Seconds()}, values...)...)
}

// Put writes a row as a writer of the platform.
func (d *Deployment) Put(table, part, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these values can be encoded.
	}
	d.Store.Apply(cloud.Transaction{Partition: part, Writes: []cloud.Write{{Table: table, Key: key, Value: raw}}})
}

// Remove deletes a row as a writer of the platform.
func (d *Deployment) Remove(table, part, key string) {
	d.Store.Apply(cloud.Transaction{Partition: part, Writes: []cloud.Write{{Table: table, Key: key}}})
}

// beat writes the rows of the runners until the deployment is closed.
func (d *Deployment) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		runners := d.runners
		d.mu.Unlock()
		for _, r := range runners {
			r.beat()
		}
	}
}

// AwaitReady waits until all nodes say that they are ready.
func (d *Deployment) AwaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready after %s", n.Name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (n *Node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ReadyAddress + "/api/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close() //nolint:errcheck // only the status is used.
	return answer.StatusCode == http.StatusOK
}

// freeAddresses returns free addresses of a node. Each node has a loopback IP address of its own,
// so that no other socket takes its ports while it is down.
func freeAddresses(node, count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250, node))
		if err != nil {
			return nil, err
		}
		defer l.Close() //nolint:errcheck // the address is used afterwards.
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// program is the program that the deploy file runs.
func program() string { return filepath.Join("target", "goldcrestwick") }
