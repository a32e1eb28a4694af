package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// mix says which nodes run the earlier build.
type mix uint8

const (
	// half lets every other node run the earlier build for the whole run.
	half mix = iota
	// upgrade replaces all nodes of the earlier build, one after the other.
	upgrade
	// rollback replaces all nodes by the earlier build after an upgrade.
	rollback
	mixCount
)

const (
	// replacePause is the longest time between the SIGTERMs of two nodes, which is shorter than
	// the time in which a node ends.
	replacePause = 3 * time.Second
	// startPause is the longest time between the end of a process and the start of the next.
	startPause = 500 * time.Millisecond
	halfTime   = 20 * time.Second
	// rolledBackTime is the duration of a run with two replacements of all nodes.
	rolledBackTime = 30 * time.Second
)

func mixOf(seed uint64) mix { return mix(seed % uint64(mixCount)) }

func (m mix) duration() time.Duration {
	switch m {
	case half:
		return halfTime
	case rollback:
		return rolledBackTime
	}
	return 0
}

// firstProgram returns the program that a node runs at first.
func (o Options) firstProgram(node int) string {
	if o.Earlier == "" || mixOf(o.Seed) == half && node%2 == 0 {
		return o.Program
	}
	return o.Earlier
}

// playMix replaces the nodes by those of the other build. Its draws are its own, so that those
// of playPlan stay as they are.
func (r *run) playMix(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 5<<32))
	switch mixOf(r.Seed) {
	case upgrade:
		r.replaceAll(ctx, random, r.Program)
	case rollback:
		r.replaceAll(ctx, random, r.Program)
		r.replaceAll(ctx, random, r.Earlier)
	}
}

// replaceAll replaces all nodes by those of a program. A node may be stopped before the one
// that took the place of the previous one has started.
func (r *run) replaceAll(ctx context.Context, random *rand.Rand, program string) {
	var ending sync.WaitGroup
	defer ending.Wait()
	for i := range r.world.nodes {
		n := r.world.take(i)
		for ; n == nil; n = r.world.take(i) {
			time.Sleep(lossPoll)
			if ctx.Err() != nil {
				return
			}
		}
		r.note("%s is replaced by %s", n.name, program)
		n.run(program)
		r.restart(n, &ending, syscall.SIGTERM, time.Duration(random.Int64N(int64(startPause))))
		time.Sleep(time.Duration(random.Int64N(int64(replacePause))))
	}
}

// isOfEarlier reports whether the node that a request was sent to ran the earlier build.
func (r *run) isOfEarlier(rec record) bool {
	return r.Earlier != "" && slices.ContainsFunc(r.world.nodes, func(n *nodeProcess) bool {
		return n.name == rec.node && n.programAt(rec.start) == r.Earlier
	})
}

// nodeOf describes the node that a request was sent to.
func (r *run) nodeOf(rec record) string {
	if r.isOfEarlier(rec) {
		return rec.node + " of the earlier build"
	}
	return rec.node
}
