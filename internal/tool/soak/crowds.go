package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// crowdClients is the number of clients of a crowd of a run, and crowdLasts how long it keeps
	// its connections.
	crowdClients = 40
	crowdLasts   = 400 * time.Millisecond
	// maxCrowdPause bounds the time between two crowds.
	maxCrowdPause = 2 * time.Second
	// nodeMemory is the memory in settingsFormat, and nodeDescriptors the limit on those of each
	// node of a run with crowds.
	nodeMemory      = 284 << 20
	nodeDescriptors = 4100
)

// ordinaryPaths are what ordinary clients ask for at the ports that do not serve callers.
var ordinaryPaths = map[port]string{
	directoryPort: "/api/resolve?name=h.example&region=r&zone=z", readyPort: "/api/readyz",
	operatorPort: "/v1/settings/status", metricsPort: "/metrics",
}

// crowdKinds are the ways in which clients of a run do not behave, at any port.
var crowdKinds = []crowd{
	{name: "head without end", act: sendEndlessly(requestStart, endlessLines)},
	{name: "unfinished head", act: sendUnfinishedHead},
	{name: "request line without end", act: sendEndlessly("GET /", endlessPath)},
	{name: "empty lines", act: sendEmptyLines},
	{name: "silent", act: silent},
	{name: "between requests", act: sendRequestAndWait},
	{name: "body not sent", act: sendNoBodyAnywhere},
	{name: "pipelined head", act: sendPipelinedHead},
	{name: "answers not read", act: sendUnread("/nothing")},
	{name: "silent and opened again", act: silent, reopens: true},
}

func endlessLines(i int) string { return shortLines(4096, i*1024) }
func endlessPath(int) string    { return strings.Repeat("a", 4096) }

// playCrowds lets crowds of clients that do not behave come to single nodes until the run's time is
// over. A node has no fault meanwhile. Its draws are its own, so that those of playPlan stay as they are.
func (r *run) playCrowds(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 1<<34))
	ports := []port{callerPort, callerPort, directoryPort, readyPort, operatorPort, metricsPort}
	for end := r.start.Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(random.Int64N(int64(maxCrowdPause))))
		c, i := crowdKinds[random.IntN(len(crowdKinds))], random.IntN(r.Nodes)
		c.port, c.clients = ports[random.IntN(len(ports))], crowdClients
		n := r.world.take(i)
		if n == nil {
			continue
		}
		r.note("%s has a crowd at its port %s: %s", n.name, c.port, c.name)
		crowdCtx, stop := context.WithCancel(ctx)
		wait := c.run(crowdCtx, n.address(c.port))
		time.Sleep(crowdLasts)
		r.checkUnderCrowd(ctx, n, c)
		stop()
		wait()
		r.world.release(n)
	}
}

// checkUnderCrowd checks that a node under a crowd lives within its memory and descriptors, and
// answers an ordinary client. An end of the process is a violation of its own.
func (r *run) checkUnderCrowd(ctx context.Context, n *nodeProcess, c crowd) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	path := ordinaryPaths[c.port]
	if path == "" {
		path = "/nothing"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(c.port)+path, nil)
	if err == nil {
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			resp.Body.Close() //nolint:errcheck // any answer will do.
		}
	}
	if err != nil && ctx.Err() == nil {
		r.violation("%s does not answer at its port %s under a crowd (%s): %v", n.name, c.port, c.name, err)
	}
	peak, descriptors, err := usage(n.pid())
	if err == nil && (peak > nodeMemory || descriptors >= nodeDescriptors) {
		r.violation("%s under a crowd (%s): peak memory %d MiB, %d descriptors", n.name, c.name, peak>>20, descriptors)
	}
}

// pid returns the process of the node's latest start.
func (n *nodeProcess) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

// usage returns the largest resident set of a process so far, in bytes, and the descriptors that it
// has open.
func usage(process int) (peak int64, descriptors int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if peak, err = strconv.ParseInt(kilobytes, 10, 64); err != nil {
		return 0, 0, err
	}
	all, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process))
	return peak << 10, len(all), err
}
