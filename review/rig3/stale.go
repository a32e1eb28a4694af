package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// fleetSize is the number of nodes that stay. replaced other machines are added and removed again,
	// replacedAtOnce of them at a time, replacePause apart, and settleTime passes after the last of them
	// has ended.
	fleetSize                = 6
	replaced, replacedAtOnce = 560, 16
	replacePause, settleTime = 600 * time.Millisecond, 6 * time.Second
	// rate is the tenant's limit in tokens a second, and its burst. Each request counts as
	// requestTokens, and the tenant asks for asked times its limit.
	rate, requestTokens, asked = 398041, 6610, 4
	// loadTime is the time with load before all nodes are killed, downTime that until they are started
	// again, and recoverTime that with load after it.
	loadTime, downTime, recoverTime = 5 * time.Second, time.Second, 11 * time.Second
	// The quota's window and its tolerances, as in the sheets.
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 140000
	// clientsPerNode is the number of clients that ask one node's directory.
	clientsPerNode = 4
)

// staleNodes has machines added and removed over and over, always with SIGTERM, as when an operator
// replaces machines, and then kills all nodes at the same moment while a tenant asks for more than its
// limit. With TROUBLE=kill no machines are added and removed.
func staleNodes(w *world) (held bool, err error) {
	w.writeStreamConfig()
	for i := range 6 {
		r, err := w.startRunner(fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return false, err
		}
		r.isModel = true
		r.beat()
		go r.keepBeating()
	}
	if err := w.startNodes(fleetSize); err != nil {
		return false, err
	}
	if trouble := os.Getenv("TROUBLE"); trouble != "0" && trouble != "kill" {
		if err := w.replaceMachines(); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, n := range w.nodes {
		for range clientsPerNode {
			clients.Go(func() { w.client(ctx, n) })
		}
	}
	time.Sleep(loadTime)
	if err := w.killAll(); err != nil {
		cancel()
		return false, err
	}
	time.Sleep(recoverTime)
	cancel()
	clients.Wait()
	used, at := w.mostTokens()
	allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaOver) + quotaSlack
	w.note("the most tokens run in %v: %d from %.3f s on; allowed %.0f", quotaWindow, used, at.Seconds(), allowed)
	if used == 0 {
		return false, errors.New("nothing ran")
	}
	return float64(used) <= allowed, nil
}

// killAll kills all nodes at the same moment, and starts them again under their names and addresses.
func (w *world) killAll() error {
	if os.Getenv("TROUBLE") == "0" {
		return nil
	}
	for _, n := range w.nodes {
		n.process.Process.Kill() //nolint:errcheck // Wait shows the end.
	}
	w.note("all nodes are killed")
	for _, n := range w.nodes {
		n.process.Wait() //nolint:errcheck // it was killed.
	}
	time.Sleep(downTime)
	for _, n := range w.nodes {
		if err := w.run(n, false); err != nil {
			return err
		}
	}
	return nil
}

// replaceMachines adds machines and removes them with SIGTERM once they are ready.
func (w *world) replaceMachines() error {
	var leaving sync.WaitGroup
	for first := 0; first < replaced; first += replacedAtOnce {
		var batch []*node
		for i := range min(replacedAtOnce, replaced-first) {
			n, err := w.startNode(fmt.Sprintf("front-old-%d", first+i+1), false)
			if err != nil {
				return err
			}
			batch = append(batch, n)
		}
		if err := w.awaitReady(batch); err != nil {
			return err
		}
		for _, n := range batch {
			n.process.Process.Signal(syscall.SIGTERM) //nolint:errcheck // Wait shows the end.
			leaving.Go(func() { n.process.Wait() })   //nolint:errcheck // it was stopped.
		}
		w.forget(batch)
		w.note("%d machines were added and get SIGTERM, for good", len(batch))
		time.Sleep(replacePause)
	}
	leaving.Wait()
	w.note("%d machines have been added and removed", replaced)
	time.Sleep(settleTime)
	return nil
}

// client sends requests as fast as its part of the tenant's traffic asks for, to the addresses
// that the directory of a node names.
func (w *world) client(ctx context.Context, n *node) {
	perSecond := float64(asked*rate) / requestTokens / (fleetSize * clientsPerNode)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	httpClient := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}
	var addresses []string
	var until time.Time
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Now().After(until) {
			if fresh, err := w.resolve(httpClient, n); err == nil {
				addresses, until = fresh, time.Now().Add(time.Second)
			}
		}
		if len(addresses) == 0 {
			continue
		}
		address := addresses[rand.IntN(len(addresses))]
		open.Go(func() { w.ask(httpClient, address) })
	}
}

// resolve asks the directory of a node for addresses.
func (w *world) resolve(client *http.Client, n *node) ([]string, error) {
	resp, err := client.Get("http://" + n.directory + "/api/resolve?name=rig.example&region=r&zone=z")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	var reply struct{ Addresses []string }
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return nil, err
	}
	return reply.Addresses, nil
}

// ask sends one request of the tenant.
func (w *world) ask(client *http.Client, address string) {
	id := fmt.Sprintf("%016x", w.requests.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/stream/"+id, nil)
	if err != nil {
		panic(err) // the address is a valid one.
	}
	req.Host = "rig.example"
	req.Header.Set("Goldcrestwick-Attempt-Id", id)
	req.Header.Set("Goldcrestwick-Deadline-Ms", "4000")
	req.Header.Set("Goldcrestwick-Model", "m")
	req.Header.Set("Goldcrestwick-Token-Counts", fmt.Sprintf("60,%d", requestTokens-60))
	req.Header.Set("Goldcrestwick-Prompt-Prefix", id+":60")
	req.Header.Set("Goldcrestwick-Length-Hint", "18")
	req.Header.Set("X-Api-Key", "rig-key")
	w.note("client sends %s to %s", id, address)
	w.sent.Store(id, w.now())
	resp, err := client.Do(req)
	if err != nil {
		w.note("client has no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	var body [512]byte
	size := 0
	for {
		n, err := resp.Body.Read(body[:])
		if size += n; err != nil {
			break
		}
	}
	w.note("client gets %d to %s, %d bytes", resp.StatusCode, id, size)
}

// mostTokens returns the most tokens of requests that were sent and arrived at a runner that ran them
// in some quotaWindow, and when that began.
func (w *world) mostTokens() (most int, from time.Duration) {
	type run struct{ sent, arrived time.Duration }
	var runs []run
	for _, r := range w.runners {
		r.mu.Lock()
		for _, a := range r.arrived {
			if sent, ok := w.sent.Load(a.attempt); ok {
				runs = append(runs, run{sent.(time.Duration), a.at}) //nolint:errcheck,revive // only this type is stored.
			}
		}
		r.mu.Unlock()
	}
	for _, first := range runs {
		tokens := 0
		for _, other := range runs {
			if other.sent >= first.sent && other.arrived < first.sent+quotaWindow {
				tokens += requestTokens
			}
		}
		if tokens > most {
			most, from = tokens, first.sent
		}
	}
	return most, from
}

// nodeIP returns a loopback address of a node's own.
func nodeIP(i int) string {
	return net.IPv4(127, byte(60+os.Getpid()%100), byte((os.Getpid()/100+i/200)%250), byte(i%200+1)).String()
}
