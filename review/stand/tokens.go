package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// lateAfter is the time after the timeout at which the rule counts a request.
	lateAfter = 500 * time.Millisecond
	// unlimited is the largest whole number that all JSON readers keep.
	unlimited = 1<<53 - 1
	// probes is the number of plain requests after the large one, and probeInterval the time between two.
	probes        = 300
	probeInterval = 20 * time.Millisecond
	// others is the number of tenants beside the one that sends the large request.
	others = 11
)

// playTokens has a client of one tenant ask for an answer of unlimited length, and clients of other tenants go on as
// before. It counts the requests of the others that have no answer half a second after their route's timeout.
func playTokens(w *world) (isBroken bool, err error) {
	config := settings(1, plainService)
	for i := range others {
		config["tenants"] = append(config["tenants"].([]map[string]any), map[string]any{ //nolint:errcheck,revive // settings makes it.
			"name": fmt.Sprint("t", 2+i), "api_keys": []string{fmt.Sprint("k", 2+i)}, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 36000, "burst": 36000,
		})
	}
	w.put("op", "config", config)
	for i := range 2 {
		if _, err := w.startRunner(fmt.Sprint("llm-", i), modelService, 0, 10); err != nil {
			return false, err
		}
		if _, err := w.startRunner(fmt.Sprint("app-", i), plainService, 60*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := w.startNode(fmt.Sprint("front-", i)); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the tenants' buckets fill.
	tokens := "628,294"
	if w.hasTrouble {
		tokens = fmt.Sprint("628,", unlimited)
	}
	w.note("a client sends a request with Goldcrestwick-Token-Counts %s", tokens)
	large := &request{
		id: "large", method: "POST", path: "/chat/1", key: "k1", body: "prompt", deadline: 12 * time.Second,
		header: map[string]string{"Goldcrestwick-Token-Counts": tokens, "Goldcrestwick-Model": "m", "Goldcrestwick-Prompt-Prefix": "5c1e07a2:60,91bd3f06:568"},
	}
	var sending sync.WaitGroup
	sending.Go(func() { large.send(w, w.nodes[0], 13*time.Second) })
	time.Sleep(time.Second)
	plain := make([]*request, probes)
	for i := range plain {
		plain[i] = &request{id: fmt.Sprint("read-", i), method: "GET", path: fmt.Sprint("/read/", i), key: fmt.Sprint("k", 2+i%others), deadline: 10 * time.Second}
		n := w.nodes[i%len(w.nodes)]
		// The client waits for longer than the route's timeout and half a second.
		sending.Go(func() { plain[i].send(w, n, plainTimeout+2*lateAfter) })
		time.Sleep(probeInterval)
	}
	sending.Wait()
	over, unanswered := 0, 0
	var hung *node
	for i, r := range plain {
		if r.took >= plainTimeout {
			over++
		}
		if r.status == 0 && r.took >= plainTimeout+lateAfter {
			unanswered++
			hung = w.nodes[i%len(w.nodes)]
		}
	}
	if hung != nil {
		w.noteStop(hung)
	}
	w.note("%d of %d plain requests of other tenants lasted longer than their route's timeout of %s, %d of them had no answer %s after it", over, probes, plainTimeout, unanswered, lateAfter)
	return unanswered >= 8 && 4*unanswered > over, nil
}

// grace is the time after a SIGTERM after which the platform kills a process.
const grace = 8 * time.Second

// noteStop stops a node and notes whether it ends in time.
func (w *world) noteStop(n *node) {
	n.signal(syscall.SIGTERM)
	stopped := time.Now()
	select {
	case <-n.hasEnded:
		w.note("%s gets a SIGTERM, and ends after %.1f s", n.name, time.Since(stopped).Seconds())
	case <-time.After(grace):
		w.note("%s gets a SIGTERM, and has not ended %s later", n.name, grace)
	}
}
