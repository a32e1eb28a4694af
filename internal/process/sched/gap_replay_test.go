package sched

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/script"
)

var (
	gapSeeds = flag.Int("sched.gap_seeds", 1, "number of seeds of each run of testdata/*.gaps")
	gapFirst = flag.Int("sched.gap_first", 0, "the first of these seeds")
	gapFor   = flag.Duration("sched.gap_for", 0, "how long each run sends requests; 0 means as the script says")
)

// TestGapReplays runs the scripts testdata/*.gaps, which drive one cell and simulated engines of
// different speeds with streams, and check how many of them pause. testdata/README describes the
// commands. It guards against long prompts that pause the streams of slow engines while another
// engine could have read them, and against lower shares in time because of it.
func TestGapReplays(t *testing.T) {
	t.Logf("seeds %d to %d", *gapFirst, *gapFirst+*gapSeeds-1)
	script.Run(t, "testdata/*.gaps", runGaps)
}

// gapReplay runs one script: the lines before the first run are applied anew for each seed.
type gapReplay struct {
	t      *testing.T
	engine script.Line
	routes []script.Line
	run    script.Line
	// gap is the target for the time between two events of event tokens each.
	gap   time.Duration
	event int
	// growth is by how much the time of a prompt grows for each 1000 tokens of its length.
	growth float64
	// accounts is the number of accounts, and isStrict set if no tiers share service.
	accounts int
	isStrict bool
	mu       sync.Mutex
	// requests are those of all seeds of the last run.
	requests []*gapRequest
}

// gapRequest is one request with its result.
type gapRequest struct {
	loadRequest
	isGranted, isDone bool
	firstToken        time.Duration
	longestGap        time.Duration
	reason            Reason
	speed             string
}

func runGaps(t *testing.T, lines iter.Seq[script.Line]) {
	g := &gapReplay{t: t}
	for line := range lines {
		switch line.Command {
		case "engines":
			g.engine = line
		case "streams":
			g.gap, g.event, g.accounts = line.ParseDuration(line.Options["gap"]), line.IntOption("event", 1), line.IntOption("accounts", 1)
			g.growth, g.isStrict = (&replay{t: t}).floatOption(line, "growth"), line.Options["tiers"] == "strict"
		case "route":
			g.routes = append(g.routes, line)
		case "run":
			g.runSeeds(line)
		case "at_least", "at_most":
			g.check(line)
		default:
			t.Fatalf("%s: unknown command %s", line.Position, line.Command)
		}
	}
	// An engine whose last request was canceled ends with its current step.
	time.Sleep(time.Second)
}

func (g *gapReplay) runSeeds(line script.Line) {
	g.run, g.requests = line, nil
	var seeds sync.WaitGroup
	for i := range *gapSeeds {
		seeds.Go(func() { g.runSeed(uint64(*gapFirst + i)) }) //nolint:gosec // not negative.
	}
	seeds.Wait()
	g.log()
}

// runSeed sends requests at random times to a new cell and waits for their ends.
func (g *gapReplay) runSeed(seed uint64) {
	l := &loadRunner{
		t: g.t, rand: rand.New(rand.NewPCG(loadSeed, seed)), engines: map[ident.Endpoint]*batch.Engine{},
		cell: &Cell{ID: ident.CellID{Pool: "team/pool"}}, accounts: g.accounts,
	}
	l.addEngines(g.engine)
	l.cell.Pool.EventGapTarget, l.cell.Pool.TokensPerEvent = g.gap, g.event
	for _, line := range g.routes {
		l.addRoute(line)
	}
	if g.isStrict {
		l.cell.Pool.Team = nil
		l.cell.setClassGroups()
	}
	var check *time.Timer
	l.cell.CheckAfter = func(after time.Duration) {
		if check != nil {
			check.Stop()
		}
		check = time.AfterFunc(after, l.cell.Tick)
	}
	ctx, stop := context.WithCancel(context.Background())
	l.running.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			l.cell.Tick()
		}
	})
	parts := 0
	for _, route := range l.routes {
		parts += route.perSecond
	}
	rate, began := float64(g.run.IntOption("rate", 1)), time.Now()
	end := began.Add(cmp.Or(*gapFor, g.run.ParseDuration(g.run.Options["for"])))
	var sent sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second)))
		r := &gapRequest{loadRequest: *l.draw(parts)}
		r.id, r.prompt = n, max(r.prompt, 200)
		g.mu.Lock()
		g.requests = append(g.requests, r)
		g.mu.Unlock()
		sent.Go(func() { g.send(l, r) })
	}
	sent.Wait()
	stop()
	l.running.Wait()
}

// send submits a request once and runs it at its engine.
func (g *gapReplay) send(l *loadRunner, r *gapRequest) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.route.deadline)
	defer cancel()
	woken := make(chan struct{}, 1)
	request := &GrantRequest{
		Request: ident.RequestID(fmt.Sprint(r.id)), Tier: r.route.tier, Account: r.account, Prompt: r.prompt, Output: r.hint,
		Deadline: began.Add(r.route.deadline), FirstTokenTarget: r.route.target, Wake: func() { woken <- struct{}{} },
	}
	if !l.cell.Submit(request) {
		<-woken
	}
	r.isGranted, r.reason = request.Response.Outcome == Granted, request.Response.Reason
	if !r.isGranted {
		return
	}
	r.speed = l.cell.byID[request.Response.Endpoint].Generation
	sent := time.Now()
	prompt := ident.Tokens(float64(r.prompt) * (1 + g.growth*float64(r.prompt)/1000))
	sequence, err := l.engines[request.Response.Endpoint].Submit(batch.Request{PromptTokens: prompt, OutputTokens: r.output})
	if err != nil {
		l.cell.Complete(request.Request, Completion{Refused: true})
		return
	}
	var generated ident.Tokens
	var firstToken, lastEvent time.Time
	for err == nil && generated < r.output {
		generated, err = sequence.Wait(ctx, generated)
		switch now := time.Now(); {
		case err != nil:
		case firstToken.IsZero():
			firstToken, lastEvent = now, now
			l.cell.FirstToken(request.Request)
		case int(generated-1)%g.event == 0 || generated >= r.output:
			r.longestGap = max(r.longestGap, now.Sub(lastEvent))
			lastEvent = now
		}
	}
	if err != nil {
		sequence.Cancel()
		l.cell.Complete(request.Request, Completion{Cancelled: true})
		return
	}
	r.isDone, r.firstToken = true, firstToken.Sub(began)
	completion := Completion{IsWhole: true, TimeToFirstToken: firstToken.Sub(sent)}
	if r.output > 1 {
		completion.InterTokenLatency = time.Since(firstToken) / time.Duration(r.output-1)
	}
	l.cell.Complete(request.Request, completion)
}

// isInTime reports whether the first token and every event came in time.
func (g *gapReplay) isInTime(r *gapRequest) bool {
	return r.isDone && r.firstToken <= r.route.target && r.longestGap <= g.gap
}

func (g *gapReplay) isPaused(r *gapRequest) bool { return r.isGranted && r.longestGap > g.gap }

func isGranted(r *gapRequest) bool { return r.isGranted }

// share returns the share of the requests for which match returns true.
func share(requests []*gapRequest, match func(*gapRequest) bool) float64 {
	n := 0
	for _, r := range requests {
		if match(r) {
			n++
		}
	}
	return float64(n) / float64(max(len(requests), 1))
}

func (g *gapReplay) of(match func(*gapRequest) bool) []*gapRequest {
	return slices.DeleteFunc(slices.Clone(g.requests), func(r *gapRequest) bool { return !match(r) })
}

// results returns the figures of the last run. Shares in time are of all requests, and the others
// of those that were granted.
func (g *gapReplay) results() map[string]float64 {
	granted := g.of(isGranted)
	results := map[string]float64{"granted": float64(len(granted)) / float64(*gapSeeds), "paused": share(granted, g.isPaused), "in_time": share(g.requests, g.isInTime)}
	for _, line := range g.routes {
		name := line.Operands[0]
		results[name] = share(g.of(func(r *gapRequest) bool { return r.route.name == name }), g.isInTime)
		results["granted_"+name] = float64(len(g.of(func(r *gapRequest) bool { return r.route.name == name && r.isGranted }))) / float64(*gapSeeds)
	}
	first := g.of(func(r *gapRequest) bool { return r.route.tier == 0 })
	slices.SortFunc(first, func(a, b *gapRequest) int { return cmp.Compare(a.prompt, b.prompt) })
	results["longest"] = share(first[len(first)*9/10:], g.isInTime)
	results["longest_granted"] = share(first[len(first)*9/10:], isGranted)
	results["paused_upper"] = share(g.of(func(r *gapRequest) bool { return r.isGranted && r.route.tier < 2 }), g.isPaused)
	results["longest_paused"] = share(slices.DeleteFunc(first[len(first)*9/10:], func(r *gapRequest) bool { return !r.isGranted }), g.isPaused)
	slices.SortFunc(granted, func(a, b *gapRequest) int { return cmp.Compare(a.firstToken, b.firstToken) })
	if n := len(granted); n > 0 {
		results["p50"], results["p90"] = granted[n/2].firstToken.Seconds()*1000, granted[n*9/10].firstToken.Seconds()*1000
	}
	for _, speed := range strings.Split(g.engine.Options["speeds"], ",") {
		results["paused_"+speed] = share(g.of(func(r *gapRequest) bool { return r.isGranted && r.speed == speed }), g.isPaused)
	}
	for _, r := range granted {
		results["reason_"+string(r.reason)] += 1 / float64(*gapSeeds)
	}
	return results
}

func (g *gapReplay) log() {
	results := g.results()
	text := fmt.Sprintf("%s rate=%s:", g.run.Position, g.run.Options["rate"])
	for _, name := range slices.Sorted(maps.Keys(results)) {
		text += fmt.Sprintf(" %s=%.4g", name, results[name])
	}
	g.t.Log(text)
}

// check checks figures of the last run; shares are in percent.
func (g *gapReplay) check(line script.Line) {
	results := g.results()
	for name := range line.Options {
		want, got := (&replay{t: g.t}).floatOption(line, name), 100*results[name]
		isWithin := got >= want
		if line.Command == "at_most" {
			isWithin = got <= want
		}
		qt.Check(g.t, isWithin, qt.IsTrue, qt.Commentf("%s: %s is %.1f", line.Position, name, got))
	}
}
