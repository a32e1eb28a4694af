package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcrestwick/internal/stand/cloud"
)

const (
	// hushDelay is the time from a change of the settings until models fall silent.
	hushDelay = 600 * time.Millisecond
	// variantPause is the longest pause between two faults of playVariants.
	variantPause = 4 * time.Second
	// seriesShare is the share of these faults that stop all nodes, which is rare since it
	// leaves the others no node.
	seriesShare = 0.2
	// joinCrashes is the number of models whose streams are cut when a release has joined.
	joinCrashes = 3
)

// oddRows are rows of the table of endpoints that name no endpoint.
var oddRows = []string{
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	`{"service":"llm","address":"127.0.0.1:9","state":"ready","slots":1e400}`,
	`{"service":"llm","address":"127.0.0.1:9","state":"ready","slots":4,"born":1e300}`,
	`{"service":"llm","address":"127.0.0.1:99999","state":"ready","slots":4}`,
	`{"service":"llm","address":"127.0.0.1:-1","state":"ready","slots":-9223372036854775808}`,
	`{"service":7,"address":["127.0.0.1:9"],"state":{}}`,
	`{"service":"llm","state":"ready"}`, "\xff\xfe{", "null", `""`, "",
}

// hasVariants reports whether the run has the faults of playVariants. Seeds with a rollout and those
// whose rest is 0 or 4 play as they did before these faults were added.
func (o Options) hasVariants() bool {
	rest := o.Seed % rolloutEvery
	return rest == 1 || rest == 2 || o.Earlier != "" && rest != rolloutRest
}

// hasJoin reports whether the models have one release at first and the second one joins.
func (o Options) hasJoin() bool { return o.Seed%rolloutEvery == 1 && !o.IsCalm }

// playVariants lets models fall silent after changes of the settings, writes odd rows among those of
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
			r.hush(random, &faults)
		default:
			r.writeOddRow(random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(variantPause))))
	}
	if isJoinDue {
		r.joinRelease(random, &faults)
	}
}

// hush changes the settings, after which all models or most of them are silent for a second.
func (r *run) hush(random *rand.Rand, faults *sync.WaitGroup) {
	share, silence := []float64{1, 0.6}[random.IntN(2)], time.Duration(1000+random.IntN(300))*time.Millisecond
	models := r.world.models[:int(share*float64(len(r.world.models)))]
	r.note("settings, then %d models are silent for %s", len(models), silence)
	r.world.writeSettings()
	faults.Go(func() {
		time.Sleep(hushDelay)
		for _, e := range models {
			e.setSilent(true)
		}
		time.Sleep(silence)
		for _, e := range models {
			e.setSilent(false)
		}
	})
}

// writeOddRow writes, or removes, an odd row of the table of endpoints.
func (r *run) writeOddRow(random *rand.Rand) {
	i := random.IntN(len(oddRows))
	w := cloud.Write{Table: "servers", Key: fmt.Sprint("odd", i), Value: []byte(oddRows[i])}
	if r.world.cloud.Rows("servers")[w.Key] != nil {
		w.Value = nil
	}
	r.note("odd row %d, removed %v", i, w.Value == nil)
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
