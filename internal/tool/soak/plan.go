package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"goldcrestwick/internal/stand/cloud"
)

// playPlan injects faults until the run's time is over, and returns when the last of them
// has ended.
func (r *run) playPlan(ctx context.Context) {
	if r.IsCalm {
		r.playMix(ctx)
		return
	}
	actions := []func(*sync.WaitGroup){
		r.terminateNode, r.terminateNode, r.killNode, r.freezeNode, r.storeFault, r.restoreStore,
		r.changeSettings, r.crashEndpoint, r.drainEndpoint, r.limitEndpoint, r.truncateHistory,
	}
	if r.rand.IntN(2) == 0 {
		r.note("requests with the part %s, and to %s, crash endpoints", crashingPart, crashingPath)
		r.world.crashing.Store(true)
	}
	var faults sync.WaitGroup
	faults.Go(func() { r.playEndpoints(ctx) })
	faults.Go(func() { r.playLosses(ctx) })
	faults.Go(func() { r.playStore(ctx) })
	if r.Earlier == "" {
		// Builds up to b24ccf9 do not bound what such clients make them hold.
		faults.Go(func() { r.playCrowds(ctx) })
	}
	if r.hasVariants() {
		faults.Go(func() { r.playVariants(ctx) })
	}
	if r.Earlier != "" {
		faults.Go(func() { r.playMix(ctx) })
	}
	if r.world.rollout != nil {
		faults.Go(func() { r.playRollout(ctx) })
	}
	for end := r.start.Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		actions[r.rand.IntN(len(actions))](&faults)
		time.Sleep(minPause + time.Duration(r.rand.Int64N(int64(maxPause-minPause))))
	}
	faults.Wait()
}

// playEndpoints lets endpoints fall silent, one at a time, and makes the models brittle from
// some moment on. Its draws are its own, so that those of playPlan stay as they are.
func (r *run) playEndpoints(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 1<<32))
	all := slices.Concat(r.world.models, r.world.apps)
	for end := r.start.Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		if refusals := 2 + random.IntN(3); random.IntN(4) == 0 && r.world.brittle.CompareAndSwap(0, int32(refusals)) {
			r.note("models survive %d refusals a second", refusals)
			r.mu.Lock()
			r.brittleAt = time.Now()
			r.mu.Unlock()
		}
		e, silence := all[random.IntN(len(all))], time.Duration(800+random.IntN(600))*time.Millisecond
		r.note("%s is silent for %v", e.name, silence)
		e.setSilent(true)
		time.Sleep(silence)
		e.setSilent(false)
	}
}

// restartAfter ends a node by a signal and starts it again after a time. It leaves at
// least two nodes alone.
func (r *run) restartAfter(faults *sync.WaitGroup, signal syscall.Signal, pause time.Duration) {
	if n := r.world.take(r.rand.IntN(r.Nodes)); n != nil {
		r.restart(n, faults, signal, pause)
	}
}

// restart ends a node that has been taken and starts it again after a time.
func (r *run) restart(n *nodeProcess, faults *sync.WaitGroup, signal syscall.Signal, pause time.Duration) {
	if signal == syscall.SIGTERM {
		r.note("%s SIGTERM", n.name)
		r.mu.Lock()
		r.stopped[n.name] = append(r.stopped[n.name], time.Now())
		r.mu.Unlock()
	} else {
		r.noteUnplanned(n.name, "SIGKILL")
	}
	n.signal(signal)
	faults.Go(func() {
		defer r.world.release(n)
		// On a machine without a free processor, a process may get SIGTERM before it handles it.
		if err := n.wait(); err != nil && signal == syscall.SIGTERM && n.hasLogged() {
			r.violation("%s ended with %v after SIGTERM", n.name, err)
		}
		time.Sleep(pause)
		if err := n.start(); err != nil {
			r.violation("%s did not start again: %v", n.name, err)
		}
	})
}

func (r *run) terminateNode(faults *sync.WaitGroup) {
	r.restartAfter(faults, syscall.SIGTERM, time.Duration(r.rand.IntN(1000))*time.Millisecond)
}

func (r *run) killNode(faults *sync.WaitGroup) {
	r.restartAfter(faults, syscall.SIGKILL, time.Duration(r.rand.IntN(3000))*time.Millisecond)
}

func (r *run) freezeNode(faults *sync.WaitGroup) {
	n := r.world.take(r.rand.IntN(r.Nodes))
	if n == nil {
		return
	}
	r.freeze(n, faults, time.Duration(200+r.rand.IntN(2500))*time.Millisecond)
}

// freeze pauses a node that has been taken.
func (r *run) freeze(n *nodeProcess, faults *sync.WaitGroup, pause time.Duration) {
	r.noteUnplanned(n.name, "SIGSTOP")
	n.signal(syscall.SIGSTOP)
	faults.Go(func() {
		defer r.world.release(n)
		time.Sleep(pause)
		n.signal(syscall.SIGCONT)
		r.noteUnplanned(n.name, "SIGCONT")
	})
}

func (r *run) storeFault(faults *sync.WaitGroup) {
	names := []string{"away", "too many requests", "slow", "answers lost"}
	all := []cloud.Fault{{Unavailable: true}, {TooManyRequests: true}, {Delay: time.Second}, {DropResponse: true}}
	i, pause := r.rand.IntN(len(all)), time.Duration(300+r.rand.IntN(2500))*time.Millisecond
	r.note("store %s", names[i])
	r.world.cloud.SetFault(func(cloud.Op) cloud.Fault { return all[i] })
	start := time.Now()
	faults.Go(func() {
		time.Sleep(pause)
		r.world.cloud.SetFault(nil)
		r.world.rollout.recordNoContact("", start, time.Now())
	})
}

func (r *run) restoreStore(faults *sync.WaitGroup) {
	copied, pause := r.world.cloud.Copy(), time.Duration(500+r.rand.IntN(2000))*time.Millisecond
	faults.Go(func() {
		time.Sleep(pause)
		r.note("store restored from a copy %s old", pause)
		r.world.rollout.recordRestore()
		r.world.cloud.Restore(copied)
		// The operator and the endpoints write theirs again.
		r.world.writeSettings()
		r.world.writeOrder()
		r.world.listEndpoints()
	})
}

func (r *run) truncateHistory(*sync.WaitGroup) {
	r.note("store without history")
	r.world.cloud.TruncateHistory()
}

func (r *run) changeSettings(*sync.WaitGroup) {
	r.note("settings")
	r.world.writeSettings()
}

func (r *run) crashEndpoint(faults *sync.WaitGroup) {
	e := r.world.models[r.rand.IntN(len(r.world.models))]
	r.note("%s crashes", e.name)
	e.crash(faults)
}

func (r *run) drainEndpoint(faults *sync.WaitGroup) {
	e, pause := r.world.models[r.rand.IntN(len(r.world.models))], time.Duration(1000+r.rand.IntN(2000))*time.Millisecond
	if !e.isListed() {
		return // its release has not joined yet.
	}
	r.note("%s drains", e.name)
	e.setState("draining")
	r.world.listEndpoints()
	faults.Go(func() {
		time.Sleep(pause)
		e.setState("ready")
		r.world.listEndpoints()
	})
}

func (r *run) limitEndpoint(*sync.WaitGroup) {
	e := r.world.models[r.rand.IntN(len(r.world.models))]
	if e.setLimit(limitRate) {
		r.note("%s names a limit", e.name)
	}
}
