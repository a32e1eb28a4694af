package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crowdMemory and crowdDescriptors are stated in the settings of the node, and bound what
	// the process has at its peak.
	crowdMemory      = 64 << 20
	crowdDescriptors = 512
	// crowdLogBytes bounds the log of a node whose clients send nothing that belongs to an
	// account. It is as much as a process buffers of its log.
	crowdLogBytes = 1 << 20
	// ordinaryTries is how often an ordinary caller sends a request within its deadline.
	ordinaryTries = 3
	// retryPause is the Retry-After of a node without room.
	retryPause = time.Second
)

// crowdSettings replaces lines of the settings. A node that is the first of its fleet starts at once.
var crowdSettings = []string{"memory = 284MiB", "memory = 64MiB\ndescriptors = 512", "region = r\n", "region = r\nfirst_start = true\ncores = 0.4\n"}

// crowds are the ways in which clients do not behave, each with its port and its size.
var crowds = []crowd{
	{name: "head_without_end", port: callerPort, clients: 64, connections: 2, act: sendEndlessly(requestStart, endlessLines)},
	{name: "head_without_end", port: directoryPort, clients: 64, connections: 2, act: sendEndlessly(requestStart, endlessLines)},
	{name: "head_without_end", port: readyPort, clients: 64, connections: 2, act: sendEndlessly(requestStart, endlessLines)},
	{name: "head_without_end", port: operatorPort, clients: 64, connections: 2, act: sendEndlessly(requestStart, endlessLines)},
	{name: "head_without_end", port: metricsPort, clients: 64, connections: 2, act: sendEndlessly(requestStart, endlessLines)},
	{name: "unfinished_head", port: callerPort, clients: 400, act: sendUnfinishedHead},
	{name: "unfinished_head", port: directoryPort, clients: 400, act: sendUnfinishedHead},
	{name: "unfinished_head", port: readyPort, clients: 400, act: sendUnfinishedHead},
	{name: "unfinished_head", port: operatorPort, clients: 400, act: sendUnfinishedHead},
	{name: "unfinished_head", port: metricsPort, clients: 400, act: sendUnfinishedHead},
	{name: "large_heads", port: callerPort, clients: 400, isKeyed: true, act: sendLargeRequests},
	{name: "empty_lines_without_end", port: callerPort, clients: 64, connections: 2, act: sendEmptyLines},
	{name: "empty_lines_without_end", port: directoryPort, clients: 64, connections: 2, act: sendEmptyLines},
	{name: "empty_lines_without_end", port: metricsPort, clients: 64, connections: 2, act: sendEmptyLines},
	{name: "request_line_without_end", port: callerPort, clients: 64, connections: 2, act: sendEndlessly("GET /", endlessPath)},
	{name: "request_line_without_end", port: directoryPort, clients: 64, connections: 2, act: sendEndlessly("GET /", endlessPath)},
	{name: "request_line_without_end", port: operatorPort, clients: 64, connections: 2, act: sendEndlessly("GET /", endlessPath)},
	{name: "silent", port: callerPort, clients: 700, act: silent},
	{name: "silent", port: directoryPort, clients: 700, act: silent},
	{name: "silent", port: readyPort, clients: 700, act: silent},
	{name: "silent", port: operatorPort, clients: 700, act: silent},
	{name: "silent_reopened", port: callerPort, clients: 400, reopens: true, act: silent},
	{name: "head_reopened", port: callerPort, clients: 400, reopens: true, act: sendUnfinishedHead},
	{name: "body_reopened", port: callerPort, clients: 400, isKeyed: true, reopens: true, act: sendNoBody},
	{name: "body_reopened", port: directoryPort, clients: 400, reopens: true, act: sendNoBodyAnywhere},
	{name: "between_requests", port: callerPort, clients: 700, act: sendRequestAndWait},
	{name: "between_requests", port: directoryPort, clients: 700, act: sendRequestAndWait},
	{name: "between_requests", port: metricsPort, clients: 700, act: sendRequestAndWait},
	{name: "body_not_sent", port: callerPort, clients: 700, isKeyed: true, act: sendNoBody},
	{name: "body_not_sent", port: directoryPort, clients: 700, act: sendNoBodyAnywhere},
	{name: "body_not_sent", port: operatorPort, clients: 700, act: sendNoBodyAnywhere},
	{name: "trailers", port: callerPort, clients: 400, isKeyed: true, act: sendTrailers},
	{name: "pipelined_head", port: callerPort, clients: 400, act: sendPipelinedHead},
	{name: "pipelined_head", port: directoryPort, clients: 400, act: sendPipelinedHead},
	{name: "answer_not_read", port: callerPort, clients: 700, act: sendUnread("/nothing")},
	{name: "answer_not_read", port: directoryPort, clients: 700, act: sendUnread("/api/resolve?name=h.example&region=r&zone=z")},
	{name: "answer_not_read", port: metricsPort, clients: 200, act: sendUnread("/metrics")},
	{name: "long_identifiers", port: callerPort, clients: 300, isKeyed: true, act: sendLongIDs},
}

// TestCrowds guards against clients that end a process, make it hang, or keep ordinary callers
// out: heads without end or of very many short lines, and connections that take places and do
// nothing. Each crowd keeps its connections while an ordinary caller sends a request.
func TestCrowds(t *testing.T) {
	program := buildProgram(t, "../../..")
	for _, c := range crowds {
		t.Run(c.name+"_"+string(c.port), func(t *testing.T) {
			w, n := startUnderCrowd(t, program)
			ctx, cancel := context.WithCancel(t.Context())
			wait := c.run(ctx, n.address(c.port))
			checkServes(t, w, n, c.port)
			cancel()
			wait()
			checkServes(t, w, n, c.port)
			if !c.isKeyed {
				checkLog(t, n)
			}
		})
	}
}

// TestHandshakes guards against peers that begin handshakes at the port for nodes.
func TestHandshakes(t *testing.T) {
	w, n := startUnderCrowd(t, buildProgram(t, "../../.."))
	qt.Assert(t, beginHandshakes(t.Context(), n.address(peerPort), 16, 200), qt.IsNil)
	checkServes(t, w, n, callerPort)
}

// startUnderCrowd starts one node with little memory and few descriptors.
func startUnderCrowd(t *testing.T, program string) (*world, *nodeProcess) {
	w, err := newWorld(worldOptions{
		dir: t.ArtifactDir(), nodes: 1, firstProgram: only(program), releases: releases, isSound: true,
		replacements: crowdSettings, descriptors: crowdDescriptors,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.close)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	qt.Assert(t, w.waitReady(ctx, 1), qt.IsNil)
	w.nodes[0].keepAddresses(w)
	return w, w.nodes[0]
}

// checkServes checks that the process of a node lives within its memory and descriptors and
// that ordinary clients are answered.
func checkServes(t *testing.T, w *world, n *nodeProcess, p port) {
	t.Helper()
	qt.Check(t, isServed(t, w, n), qt.IsTrue, qt.Commentf("no ordinary request is answered"))
	if path, ok := ordinaryPaths[p]; ok {
		qt.Check(t, isAnswered(t, n.address(p), path), qt.IsTrue, qt.Commentf("%s is not answered", path))
	}
	n.mu.Lock()
	ends := n.ownEnds
	n.mu.Unlock()
	qt.Assert(t, ends, qt.HasLen, 0)
	peak, descriptors, err := usage(n.pid())
	qt.Assert(t, err, qt.IsNil)
	t.Logf("peak memory %.1f MiB, %d descriptors open", float64(peak)/(1<<20), descriptors)
	qt.Check(t, peak <= crowdMemory, qt.IsTrue, qt.Commentf("peak memory %d MiB", peak>>20))
	qt.Check(t, descriptors < crowdDescriptors, qt.IsTrue, qt.Commentf("%d descriptors open", descriptors))
}

// checkLog checks that a crowd has not written the log full.
func checkLog(t *testing.T, n *nodeProcess) {
	info, err := os.Stat(n.logPath())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, info.Size() <= crowdLogBytes, qt.IsTrue, qt.Commentf("the log has %d bytes", info.Size()))
}

// isServed reports whether an ordinary request is answered by an endpoint, at one of the tries
// that a caller has, each on a new connection and after the pause that a refusal asks for.
func isServed(t *testing.T, w *world, n *nodeProcess) bool {
	for i := range ordinaryTries {
		r := record{kind: "read", id: fmt.Sprint("ordinary-", t.Name(), i)}
		r.send(t.Context(), newOrdinaryClient(), w.addresses()[n.name])
		if r.status == http.StatusOK && r.stamp != "" {
			return true
		}
		t.Logf("try %d: status %d, %v", i, r.status, r.err)
		time.Sleep(retryPause)
	}
	return false
}

func isAnswered(t *testing.T, address, path string) bool {
	for i := range ordinaryTries {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
		qt.Assert(t, err, qt.IsNil)
		resp, err := newOrdinaryClient().Do(req)
		if err != nil {
			t.Logf("try %d: %v", i, err)
			time.Sleep(retryPause)
			continue
		}
		resp.Body.Close() //nolint:errcheck // the status is enough.
		if resp.StatusCode == http.StatusOK {
			return true
		}
		t.Logf("try %d: status %d", i, resp.StatusCode)
		time.Sleep(retryPause)
	}
	return false
}

func newOrdinaryClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
}
