package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	// cutStreams is the number of streams that are cut, more than the models of one release
	// take.
	cutStreams = 60
	// leastRunning streams have run at the new release for runTime when they are cut. A stream
	// takes a second.
	leastRunning = 5
	runTime      = 300 * time.Millisecond
	// waitingTime is the time for which requests have waited at a node that goes on.
	waitingTime = 50 * time.Millisecond
)

// OutOfStep describes a node that is out of step while endpoints of another release join, and
// at which streams are taken up that began there by way of another node.
type OutOfStep struct {
	Program, Dir string
	// Node is the number of the node, and Lost that of the other one, which is killed.
	Node, Lost int
	// Stops lets the node stand still, IsCut cuts it off from the store, and LosesOthers kills
	// all other nodes before the streams are taken up.
	Stops, IsCut, LosesOthers bool
	// For is the least time for which the node is out of step.
	For time.Duration
}

// OutOfStepReport holds the numbers of the streams that were cut, by release, and of those that
// went on, and describes those that went on wrongly.
type OutOfStepReport struct {
	Cut        map[string]int
	GoneOn     int
	Violations []string
}

// Run plays the case.
func (o OutOfStep) Run(ctx context.Context) (report OutOfStepReport, err error) {
	w, err := newWorld(worldOptions{dir: o.Dir, nodes: defaultNodes, firstProgram: only(o.Program), releases: releases[:1], hasCutOffs: true})
	if err != nil {
		return report, err
	}
	defer w.close()
	if err := w.waitReady(ctx, defaultNodes); err != nil {
		return report, err
	}
	addresses, node, lost := w.addresses(), w.nodes[o.Node], w.nodes[o.Lost]
	node.cutOff(o.IsCut)
	if o.Stops {
		node.signal(syscall.SIGSTOP)
	}
	back := time.Now().Add(o.For)
	for i := range modelCount {
		e, err := newEndpoint(w, fmt.Sprint("t", i), "llm", targetRelease)
		if err != nil {
			return report, err
		}
		w.targets = append(w.targets, e)
		e.list()
	}
	begin := func(i int) record {
		r := record{id: fmt.Sprint("s", i, "-", time.Now().UnixNano()), kind: "chat"}
		r.send(ctx, http.DefaultClient, addresses[lost.name])
		return r
	}
	for !slices.ContainsFunc(sendAll(begin, func() {}), func(r record) bool { return strings.Contains(r.body, targetRelease) }) {
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
	}
	cut := sendAll(begin, func() {
		w.waitRunningAtTargets(ctx)
		lost.signal(syscall.SIGKILL)
	})
	for _, n := range w.nodes {
		if o.LosesOthers && n != node {
			n.signal(syscall.SIGKILL)
		}
	}
	if o.Stops {
		time.Sleep(time.Until(back))
	}
	again := sendAll(func(i int) record { return takeUpAt(ctx, addresses[node.name], cut[i]) }, func() {
		time.Sleep(waitingTime)
		node.signal(syscall.SIGCONT)
		time.Sleep(time.Until(back))
		node.cutOff(false)
	})
	report.Cut = map[string]int{}
	for i, r := range again {
		if !cut[i].isCut || cut[i].wholeEvents() == "" {
			continue
		}
		report.Cut[engine.ReleasesOf(cut[i].body)[0]]++
		if r.status != http.StatusOK || r.body == "" {
			continue
		}
		report.GoneOn++
		if !isStreamStart(r.resumed + r.body) {
			report.Violations = append(report.Violations, fmt.Sprintf("%s has events of the releases %v", r.began, engine.ReleasesOf(r.resumed+r.body)))
		}
	}
	return report, nil
}

// sendAll sends requests concurrently, calls during, and returns the results.
func sendAll(send func(int) record, during func()) []record {
	records := make([]record, cutStreams)
	var sent sync.WaitGroup
	for i := range records {
		sent.Go(func() { records[i] = send(i) })
	}
	during()
	sent.Wait()
	return records
}

// waitRunningAtTargets waits until some streams have run at the new release for a while.
func (w *world) waitRunningAtTargets(ctx context.Context) {
	for running := 0; running < leastRunning && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		running = 0
		for _, e := range w.targets {
			for _, r := range e.ReceivedRequests() {
				if r.EndedAt.IsZero() && time.Since(r.At) > runTime {
					running++
				}
			}
		}
	}
}

// takeUpAt takes a stream up at a node, again while it is refused.
func takeUpAt(ctx context.Context, address string, cut record) record {
	for end := time.Now().Add(takeUpTime); ; time.Sleep(takeUpPause) {
		r := record{id: fmt.Sprint(cut.id, "-", time.Now().UnixNano()), kind: "chat", began: cut.id, resumed: cut.wholeEvents()}
		r.send(ctx, http.DefaultClient, address)
		if r.err == nil && r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests || time.Now().After(end) {
			return r
		}
	}
}
