package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"goldcrestwick/internal/stand/cloud"
)

const (
	// variantPause is the longest pause between two faults of playVariants.
	variantPause = 4 * time.Second
	// seriesShare is the share of these faults that stop all nodes, which is rare since it
	// leaves the others no node.
	seriesShare = 0.2
	// joinCrashes is the number of models whose streams are cut when a release has joined.
	joinCrashes = 3
)

// hasVariants reports whether the run has the faults of playVariants. Seeds with a rollout and those
// whose rest is 0 or 4 play as they did before these faults were added.
func (o Options) hasVariants() bool {
	rest := o.Seed % rolloutEvery
	return rest == 1 || rest == 2 || o.Earlier != "" && rest != rolloutRest
}

// hasJoin reports whether the models have one release at first and the second one joins.
func (o Options) hasJoin() bool { return o.Seed%rolloutEvery == 1 && !o.IsCalm }

// playVariants lets models fall silent after changes of the settings, writes odd entries among those of
// the endpoints, stops all nodes one after the other, and lets a release join while a node is
// frozen. Its draws are its own, so that those of playPlan stay as they are.
func (r *run) playVariants(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 4<<32))
	var faults sync.WaitGroup
	defer faults.Wait()
	joinAt := r.start.Add(time.Duration((0.2 + 0.4*random.Float64()) * float64(r.Duration)))
	isJoinDue := r.hasJoin()
	for end := r.start.Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		switch action := random.Float64(); {
		case isJoinDue && time.Now().After(joinAt):
			isJoinDue = !r.joinRelease(random, &faults)
		case action < seriesShare:
			r.terminateAll(ctx, random)
		case action < 0.6:
			r.silenceModels(random, &faults)
		default:
			r.writeOddEntry(random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(variantPause))))
	}
	if isJoinDue {
		r.joinRelease(random, &faults)
	}
}

// silenceModels changes the settings, after which all models or most of them are silent for a second.
func (r *run) silenceModels(random *rand.Rand, faults *sync.WaitGroup) {
	share, length := []float64{1, 0.6}[random.IntN(2)], time.Duration(1000+random.IntN(300))*time.Millisecond
	models := r.world.models[:int(share*float64(len(r.world.models)))]
	r.note("settings, then %d models are silent for %s", len(models), length)
	r.world.writeSettings()
	faults.Go(func() { silence(models, length, false) })
}

// writeOddEntry writes, or removes, an odd entry among those of the endpoints. Earlier builds use some of them.
func (r *run) writeOddEntry(random *rand.Rand) {
	if r.Earlier != "" {
		return
	}
	entries := r.world.oddEntries()
	i := random.IntN(len(entries))
	w := cloud.Write{Table: "servers", Key: fmt.Sprint("odd", i), Value: []byte(entries[i])}
	if r.world.cloud.Rows("servers")[w.Key] != nil {
		w.Value = nil
	}
	r.note("odd entry %d, removed %v", i, w.Value == nil)
	r.world.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{w}})
}

// terminateAll stops all nodes one after the other, the next ones before the first ones are back.
func (r *run) terminateAll(ctx context.Context, random *rand.Rand) {
	if !r.world.takeAll(ctx) {
		return
	}
	defer r.world.releaseAll()
	var ending sync.WaitGroup
	for _, n := range r.world.nodes {
		r.restart(n, &ending, syscall.SIGTERM, time.Duration(random.IntN(1000))*time.Millisecond)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	ending.Wait()
}

// joining returns the models of the second release.
func (w *world) joining() (joining []*endpoint) {
	for _, e := range w.models {
		if e.Release != releases[0] {
			joining = append(joining, e)
		}
	}
	return joining
}

// joinRelease lists the models of the second release while a node is frozen, and crashes some of
// them, so that streams that began there are taken up as the node goes on. It reports whether a
// node could be taken.
func (r *run) joinRelease(random *rand.Rand, faults *sync.WaitGroup) bool {
	n := r.world.take(random.IntN(r.Nodes))
	if n == nil {
		return false
	}
	pause, crashBefore := time.Duration(700+random.IntN(2000))*time.Millisecond, time.Duration(random.IntN(300))*time.Millisecond
	r.note("release %s joins", releases[1])
	r.freeze(n, faults, pause)
	for _, e := range r.world.joining() {
		e.setState("ready")
		e.list()
	}
	faults.Go(func() {
		time.Sleep(pause - crashBefore)
		for _, e := range r.world.joining()[:joinCrashes] {
			r.note("%s crashes", e.name)
			e.crash(faults)
		}
	})
	return true
}
