package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// lossPoll is the time between looks whether all nodes are without a fault.
	lossPoll = 20 * time.Millisecond
	// secondLossShare is the share of losses that are followed by another one.
	secondLossShare = 0.4
)

// playLosses kills all nodes at once some seconds after the start of the run, and sometimes
// again while they start. Its draws are its own, so that those of playPlan stay as they are.
func (r *run) playLosses(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 2<<32))
	time.Sleep(time.Duration((0.2 + 0.5*random.Float64()) * float64(r.Duration)))
	if !r.world.takeAll(ctx) {
		return
	}
	defer r.world.releaseAll()
	r.loseAll(time.Duration(50+random.IntN(600)) * time.Millisecond)
	if random.Float64() < secondLossShare {
		time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
		r.loseAll(time.Duration(50+random.IntN(300)) * time.Millisecond)
	}
}

// loseAll kills all nodes at once and starts them again after a time.
func (r *run) loseAll(pause time.Duration) {
	r.mu.Lock()
	r.report.Losses++
	r.mu.Unlock()
	r.world.rollout.recordLoss()
	for _, n := range r.world.nodes {
		r.noteUnplanned(n.name, "SIGKILL with all others")
	}
	var ended sync.WaitGroup
	for _, n := range r.world.nodes {
		n.signal(syscall.SIGKILL)
		ended.Go(func() { n.wait() }) //nolint:errcheck // it was killed.
	}
	ended.Wait()
	time.Sleep(pause)
	for _, n := range r.world.nodes {
		if err := n.start(); err != nil {
			r.violation("%s did not start again: %v", n.name, err)
		}
	}
}

// takeAll waits until no node has a fault and takes all of them. It returns false if ctx is
// done first.
func (w *world) takeAll(ctx context.Context) bool {
	w.allTaken.Lock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLossDue = true
	for len(w.isTaken) > 0 {
		w.mu.Unlock()
		time.Sleep(lossPoll)
		w.mu.Lock()
		if ctx.Err() != nil {
			w.allTaken.Unlock()
			return false
		}
	}
	for _, n := range w.nodes {
		w.isTaken[n.name] = true
	}
	return true
}

func (w *world) releaseAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.isTaken)
	w.isLossDue = false
	w.allTaken.Unlock()
}
