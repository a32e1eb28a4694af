// Package soak plays random plans of faults against nodes that run as real processes on
// loopback, and checks from what callers and endpoints saw that the promises hold.
//
// A run has stand-ins for the store and for endpoints of both kinds in this process, some
// nodes as processes, and callers that keep their connections until the process at the
// other end is gone. A seed gives the plan: signals, kills and restarts of nodes, a store
// that is away, slow or older, the kill of all nodes at once, settings that change, endpoints
// that crash by themselves, under a part of a prompt or a request, name a limit, fall silent for
// a moment, are brittle, or repeat refusals, and entries of another writer among theirs. In one
// of five seeds a rollout moves the models to another release, which is good or bad, while its
// conductor is killed, paused or cut off from the store. In two of five, models fall silent after
// changes of the settings, odd entries come and go, and all nodes are stopped one after the
// other; in one of these, a release joins while a node is frozen. Nodes may be of two builds.
// Some callers read long answers slowly. Crowds of clients that do not behave come to the ports of
// single nodes. Models of two software releases serve, and callers take
// up streams that are cut at other nodes. Faults overlap. Timing differs from run to run, so a
// seed repeats the plan, not every event.
//
// Options.HasSilences selects another plan: the settings change while all or most of the endpoints
// stand still, and requests to all nodes test which settings they go by.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "./goldcrestwick", Dir: dir, Seed: 7})
//	for _, v := range report.Violations { fmt.Println(v) }
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Options configures a run.
type Options struct {
	// Program is the path of the program under test, and Dir an empty folder for the
	// nodes' settings and logs.
	Program, Dir string
	Seed         uint64
	// Duration is the time with faults, Nodes the number of nodes and Callers that of
	// callers. Zero values select 10 s, 4 and 16.
	Duration       time.Duration
	Nodes, Callers int
	// Earlier is the path of the program of an earlier build, "" if all nodes run Program; the
	// seed says when nodes run it.
	Earlier string
	// HasSilences selects playSilences instead of random faults.
	HasSilences bool
	// IsCalm is set if there are no other faults than the replacement of nodes. Then nodes of Program
	// are to refuse requests soon or not at all.
	IsCalm bool
}

const (
	defaultDuration = 10 * time.Second
	defaultNodes    = 4
	defaultCallers  = 16
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
	// settleTime is the time after the last fault in which callers still send.
	settleTime = 2 * time.Second
	// minPause and maxPause bound the time between two faults.
	minPause, maxPause = 200 * time.Millisecond, 900 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	// Plan lists the faults with the time since the start.
	Plan []string
	// Sent counts the requests, Whole the whole answers, Refused the refusals that state
	// that the request was not run, RefusedThere those of them of requests that endpoints had
	// refused, and Crashes the endpoints that a prompt crashed.
	Sent, Whole, Refused, RefusedThere, Crashes int
	// TakenUp counts the streams that callers took up after they were cut, and GoneOn
	// those of them that went on.
	TakenUp, GoneOn int
	// Slow counts the answers to callers that read slowly, and SlowWhole the whole ones.
	Slow, SlowWhole int
	// Losses counts how often all nodes were killed at once.
	Losses int
	// Falls counts how often brittle models fell over.
	Falls int
	// Rollout describes the rollout and how it ended; "" if there was none.
	Rollout string
	// Probes counts the requests of playSilences that test the settings.
	Probes int
	// Violations describes each broken promise.
	Violations []string
}

// run is one run.
type run struct {
	Options
	rand  *rand.Rand
	world *world
	start time.Time

	mu     sync.Mutex
	report Report
	// unplanned holds the times of kills, freezes and ends of freezes, by node.
	unplanned map[string][]time.Time
	// stopped holds the times of the SIGTERMs of each node.
	stopped map[string][]time.Time
	records []record
	// slow holds the requests of callers that read slowly.
	slow []record
	// brittleAt is when the models became brittle.
	brittleAt time.Time
}

// Run plays the plan of a seed. The error is that of a run that could not be played.
func Run(ctx context.Context, o Options) (Report, error) {
	planned := plannedRollout(o.Seed)
	if o.HasSilences {
		planned = nil
	}
	if planned != nil {
		o.Duration, o.Callers = cmp.Or(o.Duration, rolloutDuration), cmp.Or(o.Callers, rolloutCallers)
	}
	if o.Earlier != "" {
		o.Duration = cmp.Or(o.Duration, mixOf(o.Seed).duration())
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	r := &run{
		Options: o, rand: rand.New(rand.NewPCG(o.Seed, 0)),
		unplanned: map[string][]time.Time{}, stopped: map[string][]time.Time{},
	}
	var err error
	w := worldOptions{
		dir: o.Dir, nodes: o.Nodes, firstProgram: o.firstProgram, releases: releases, hasJoin: o.hasJoin(), rollout: planned,
		// Earlier builds take a repeated refusal for an answer, and some odd entries for sound ones.
		isSound: o.Earlier != "",
	}
	if r.world, err = newWorld(w); err != nil {
		return r.report, err
	}
	defer r.world.close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	err = r.world.waitReady(startCtx, o.Nodes)
	cancel()
	if err != nil {
		return r.report, err
	}
	r.start = time.Now()
	for _, n := range r.world.nodes {
		n.keepAddresses(r.world)
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { r.runCaller(callersCtx, i) })
	}
	for i := range slowCallers {
		callers.Go(func() { r.runSlowCaller(callersCtx, i) })
	}
	if planned != nil {
		callers.Go(func() { r.observeStatus(callersCtx) })
	}
	if o.HasSilences {
		r.playSilences(ctx)
	} else {
		r.playPlan(ctx)
	}
	time.Sleep(settleTime)
	stopCallers()
	callers.Wait()
	r.check()
	return r.report, ctx.Err()
}

func (r *run) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

func (r *run) sinceStart(t time.Time) string { return t.Sub(r.start).Round(time.Millisecond).String() }

// note adds a fault to the plan of the report.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Plan = append(r.report.Plan, r.sinceStart(time.Now())+" "+fmt.Sprintf(format, args...))
}

// noteUnplanned records a fault of a node that excuses its requests.
func (r *run) noteUnplanned(name, what string) {
	r.note("%s %s", name, what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unplanned[name] = append(r.unplanned[name], time.Now())
}
