package sched

import (
	"context"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
)

const (
	// loadSeed is the seed of the random draws of all load scripts.
	loadSeed = 20261204
	// outputSpread and hintSpread are the standard deviations of the logarithms of the
	// output tokens and of a caller's estimate of them.
	outputSpread = 1.2
	hintSpread   = 0.5
	// maxTries is how often a caller submits a request that is refused.
	maxTries = 2
	// flooder is the account that sends the flooding share of the requests.
	flooder ident.ClientAccount = "flooder"
)

// TestLoads runs the scripts testdata/*.load, which drive one cell and simulated engines
// with a load pattern. testdata/README describes the commands.
func TestLoads(t *testing.T) {
	t.Logf("seed %d", loadSeed)
	script.Run(t, "testdata/*.load", runLoad)
}

// loadRunner runs one load script.
type loadRunner struct {
	t             *testing.T
	rand          *rand.Rand
	cell          *Cell
	engines       map[ident.Endpoint]*batch.Engine
	accounts      int
	floodingShare int
	routes        []loadRoute
	requests      []*loadRequest
	running       sync.WaitGroup
}

// loadRoute describes the requests of one route. Sizes are log-normal with the given
// means and spreads, the standard deviations of their logarithms.
type loadRoute struct {
	name                 string
	tier                 ident.Tier
	perSecond            int
	prompt, output       int
	promptMax, outputMax int
	promptSpread         float64
	target, deadline     time.Duration
}

// loadRequest is one request with its result.
type loadRequest struct {
	id             int
	route          *loadRoute
	account        ident.ClientAccount
	prompt, output ident.Tokens
	hint           ident.Tokens
	isServed       bool
}

// work is the size of a request: an output token costs about ten prompt tokens.
func (r *loadRequest) work() ident.Tokens { return r.prompt + 10*r.output }

func runLoad(t *testing.T, lines iter.Seq[script.Line]) {
	l := &loadRunner{
		t: t, rand: rand.New(rand.NewPCG(loadSeed, 0)), engines: map[ident.Endpoint]*batch.Engine{},
		cell: &Cell{ID: ident.CellID{Pool: "team/pool"}},
	}
	for line := range lines {
		switch line.Command {
		case "engines":
			l.addEngines(line)
		case "accounts":
			l.accounts, l.floodingShare = line.IntOption("count", 1), line.IntOption("flooding_share", 0)
		case "route":
			l.addRoute(line)
		case "run":
			l.run(line.ParseDuration(line.Options["for"]))
		case "served_at_most":
			share := servedShare(l.of(func(r *loadRequest) bool { return r.route.name == line.Options["route"] }))
			qt.Check(t, share <= float64(line.IntOption("share", 0))/100, qt.IsTrue, qt.Commentf("%s: %.2f served: no overload", line.Position, share))
		case "served_by_size":
			l.checkSizes(line)
		case "served_by_account":
			l.checkAccounts(line)
		default:
			t.Fatalf("%s: unknown command %s", line.Position, line.Command)
		}
	}
	// An engine whose last request was canceled ends with its current step.
	time.Sleep(time.Second)
}

func (l *loadRunner) addEngines(line script.Line) {
	speeds := strings.Split(line.Options["speeds"], ",")
	pool := testPool()
	pool.Kind, pool.Slots = ident.ModelRunner, line.IntOption("slots", 1)
	pool.CacheTokens, pool.QueueRequests = ident.Tokens(line.IntOption("cache", 0)), 1<<20
	var specs []EndpointSpec
	for i := range line.IntOption("count", 1) {
		speed, err := strconv.ParseFloat(speeds[i%len(speeds)], 64)
		qt.Assert(l.t, err, qt.IsNil, qt.Commentf(line.Position))
		scaled := func(name string) time.Duration {
			return time.Duration(float64(line.ParseDuration(line.Options[name])) / speed)
		}
		id := ident.Endpoint(fmt.Sprint("e", i))
		l.engines[id] = &batch.Engine{
			Slots: pool.Slots, CacheTokens: pool.CacheTokens, PrefillChunk: ident.Tokens(line.IntOption("chunk", 0)),
			StepTime: scaled("step"), TimePerRequest: scaled("per_request"), PrefillTimePerToken: scaled("prefill"),
		}
		specs = append(specs, EndpointSpec{
			ID: id, Kind: pool.Kind, Slots: pool.Slots, CacheTokens: pool.CacheTokens, Generation: speeds[i%len(speeds)],
		})
	}
	l.cell.Configure(pool, specs)
}

// addRoute adds a route. Its tier shares service with those of the routes before it.
func (l *loadRunner) addRoute(line script.Line) {
	spread, err := strconv.ParseFloat(line.Options["prompt_spread"], 64)
	qt.Assert(l.t, err, qt.IsNil, qt.Commentf(line.Position))
	l.routes = append(l.routes, loadRoute{
		name: line.Operands[0], tier: ident.Tier(len(l.routes)), perSecond: line.IntOption("rate", 0),
		prompt: line.IntOption("prompt", 0), promptMax: line.IntOption("prompt_max", 0), promptSpread: spread,
		output: line.IntOption("output", 0), outputMax: line.IntOption("output_max", 0),
		target: line.ParseDuration(line.Options["target"]), deadline: line.ParseDuration(line.Options["deadline"]),
	})
	last := ident.Tier(len(l.routes) - 1)
	pool := *l.cell.Pool
	pool.Team = &config.Team{}
	for rank := range last + 1 {
		pool.Team.Tiers = append(pool.Team.Tiers, &config.Tier{Rank: rank, GroupEnd: last})
	}
	l.cell.mu.Lock()
	defer l.cell.mu.Unlock()
	l.cell.Pool = &pool
	l.cell.setClassGroups()
}

// run sends requests at random times and waits for their ends.
func (l *loadRunner) run(d time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	var ticker sync.WaitGroup
	ticker.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			l.cell.Tick()
		}
	})
	total := 0
	for _, route := range l.routes {
		total += route.perSecond
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(l.rand.ExpFloat64() / float64(total) * float64(time.Second)))
		r := l.draw(total)
		l.requests = append(l.requests, r)
		l.running.Go(func() { l.send(r) })
	}
	l.running.Wait()
	stop()
	ticker.Wait()
}

func (l *loadRunner) draw(total int) *loadRequest {
	at, i := l.rand.IntN(total), 0
	for ; at >= l.routes[i].perSecond; i++ {
		at -= l.routes[i].perSecond
	}
	route := &l.routes[i]
	r := &loadRequest{id: len(l.requests), route: route, account: ident.ClientAccount(fmt.Sprint("a", l.rand.IntN(l.accounts)))}
	if l.rand.IntN(100) < l.floodingShare {
		r.account = flooder
	}
	r.prompt = l.drawTokens(route.prompt, route.promptMax, route.promptSpread)
	r.output = l.drawTokens(route.output, route.outputMax, outputSpread)
	r.hint = max(ident.Tokens(float64(r.output)*math.Exp(hintSpread*l.rand.NormFloat64())), 1)
	return r
}

func (l *loadRunner) drawTokens(mean, most int, spread float64) ident.Tokens {
	n := float64(mean) * math.Exp(spread*l.rand.NormFloat64()-spread*spread/2)
	return ident.Tokens(min(max(n, 1), float64(most)))
}

// send submits a request until it is granted, as a caller does that comes back after the
// time it was told, and runs it.
func (l *loadRunner) send(r *loadRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), r.route.deadline)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for try := range maxTries {
		woken := make(chan struct{}, 1)
		g := &GrantRequest{
			Request: ident.RequestID(fmt.Sprint(r.id, "-", try)), Tier: r.route.tier, Account: r.account,
			Prompt: r.prompt, Output: r.hint, Deadline: deadline, FirstTokenTarget: r.route.target,
			Wake: func() { woken <- struct{}{} },
		}
		if !l.cell.Submit(g) {
			<-woken
		}
		if g.Response.Outcome == Granted {
			r.isServed = l.execute(ctx, r, g)
			return
		}
		time.Sleep(min(g.Response.RetryAfter, time.Until(deadline)/3))
	}
}

// execute runs a granted request at its engine and reports whether it ended in time.
func (l *loadRunner) execute(ctx context.Context, r *loadRequest, g *GrantRequest) bool {
	sent := time.Now()
	sequence, err := l.engines[g.Response.Endpoint].Submit(batch.Request{PromptTokens: r.prompt, OutputTokens: r.output})
	if err != nil {
		l.cell.Complete(g.Request, Completion{Refused: true})
		return false
	}
	completion := Completion{IsWhole: true}
	var generated ident.Tokens
	for err == nil && generated < r.output {
		generated, err = sequence.Wait(ctx, generated)
		if completion.TimeToFirstToken == 0 && err == nil {
			completion.TimeToFirstToken = time.Since(sent)
			l.cell.FirstToken(g.Request)
		}
	}
	if err != nil {
		sequence.Cancel()
		l.cell.Complete(g.Request, Completion{Cancelled: true})
		return false
	}
	if r.output > 1 {
		completion.InterTokenLatency = (time.Since(sent) - completion.TimeToFirstToken) / time.Duration(r.output-1)
	}
	l.cell.Complete(g.Request, completion)
	return true
}

func (l *loadRunner) of(match func(*loadRequest) bool) []*loadRequest {
	return slices.DeleteFunc(slices.Clone(l.requests), func(r *loadRequest) bool { return !match(r) })
}

func servedShare(requests []*loadRequest) float64 {
	served := 0
	for _, r := range requests {
		if r.isServed {
			served++
		}
	}
	return float64(served) / float64(len(requests))
}

// checkSizes checks that of each route the largest tenth, and the fifth below it, are
// served at least half as often as all.
func (l *loadRunner) checkSizes(line script.Line) {
	for i := range l.routes {
		route := &l.routes[i]
		requests := l.of(func(r *loadRequest) bool { return r.route == route })
		slices.SortFunc(requests, func(a, b *loadRequest) int { return int(a.work() - b.work()) })
		n := len(requests)
		all, largest, below := servedShare(requests), servedShare(requests[n*9/10:]), servedShare(requests[n*7/10:n*9/10])
		l.t.Logf("%s: %d requests, %.2f served; of the largest tenth %.2f, of the fifth below %.2f", route.name, n, all, largest, below)
		qt.Check(l.t, largest >= all/2, qt.IsTrue, qt.Commentf("%s: largest tenth of %s", line.Position, route.name))
		qt.Check(l.t, below >= all/2, qt.IsTrue, qt.Commentf("%s: fifth below the largest tenth of %s", line.Position, route.name))
	}
}

// checkAccounts checks that the flooding account is not served more often than the others.
func (l *loadRunner) checkAccounts(line script.Line) {
	flooding := servedShare(l.of(func(r *loadRequest) bool { return r.account == flooder }))
	others := servedShare(l.of(func(r *loadRequest) bool { return r.account != flooder }))
	l.t.Logf("flooding account %.2f served, others %.2f", flooding, others)
	qt.Check(l.t, others >= flooding, qt.IsTrue, qt.Commentf(line.Position))
}
