package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	stepLength = 250 * time.Millisecond
	// simLag is the number of steps until the cells follow a decision.
	simLag    = 2
	simRoutes = 5
	oldName   = ident.Release("v1")
	newName   = ident.Release("v2")
)

var (
	routeNames = [simRoutes]string{"/a", "/b", "/c", "/d", "/e"}
	nodeNames  = [...]ident.NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}
)

// scenario describes one order in virtual time.
type scenario struct {
	ramp  time.Duration
	warm  time.Duration // of steps before the order, which only learn
	rate  float64       // requests per second
	nodes int           // entry nodes
	// oldEndpoints and newEndpoints have equal speed, unless isUnequal: then they differ up to
	// five times, and faster ones get more requests.
	isUnequal                  bool
	oldEndpoints, newEndpoints int
	load                       float64 // of the old endpoints at first, 1 is full
	baseFailures               float64 // failures of both releases
	sigma                      float64 // of the logarithm of the latencies

	// failShare of the target's answers fail and slowShare take slowFactor as long, from
	// onset on, if the endpoint's load is at least minLoad, on route badRoute (-1: all).
	failShare, slowShare, slowFactor, minLoad float64
	onset                                     time.Duration
	badRoute                                  int

	burstAt, burstLength time.Duration
	burstFactor          float64
	crashAt              time.Duration
	oldCrashed, crashed  int           // endpoints lost at crashAt
	cutAt, cutLength     time.Duration // an entry node fails at all endpoints
	isCutAtNew           bool          // the cut is to the target's endpoints only
	slowNode             float64       // factor of the latencies by one entry node
	isCold               bool          // the target's prompts need more work at first
}

func (s *scenario) isBad() bool { return s.failShare > 0 || s.slowShare > 0 }

// outcome is what became of a simulated order.
type outcome struct {
	state      State
	reason     string
	end        time.Duration // of the order: done or rolled back
	bad        int           // bad answers of the target
	isExposed  bool          // EXPOSURE's share was exceeded
	isBeyond   bool          // the plan's bound was exceeded before a Good verdict
	isLate     bool          // something was sent later than Rollback after the 50th bad answer
	seen, sent int
}

// simulation plays one scenario against a Machine.
type simulation struct {
	scenario
	random   *rand.Rand
	machine  *Machine
	samples  map[int]*report // by the step in which they are reported
	inFlight []int           // requests at the old release that end in a step
	latency  [simRoutes][3]float64
	deficit  float64
	turn     int          // counts the requests to endpoints of equal speed, which take turns
	slowness [2][]float64 // of the endpoints, old and new
	util     [2]float64   // load of a usable endpoint, old and new
	fiftieth time.Duration
	outcome  outcome
}

// maxSimTime is the longest time that is simulated, as a multiple of the ramp.
const maxSimTime = 4

func run(s scenario, seed uint64) outcome {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 16)), machine: &Machine{}, samples: map[int]*report{}}
	for r := range sim.latency {
		for c := range sim.latency[r] {
			sim.latency[r][c] = 0.02 * math.Exp2(float64(c)+2*sim.random.Float64())
		}
	}
	if s.isUnequal {
		for range s.oldEndpoints {
			sim.slowness[0] = append(sim.slowness[0], math.Pow(5, sim.random.Float64()))
		}
		for _, i := range sim.random.Perm(s.newEndpoints) {
			sim.slowness[1] = append(sim.slowness[1], sim.slowness[0][i])
		}
	}
	warm := int(s.warm / stepLength)
	steps := warm + int(maxSimTime*float64(s.ramp)/float64(stepLength))
	sim.inFlight = make([]int, steps+10_000)
	history := []Decision{}
	inFlight := 0
	for step := range steps {
		now := time.Duration(step-warm) * stepLength // the order comes at 0
		if step == warm {
			sim.machine.Start(Order{Pool: "p", Target: newName, Ramp: s.ramp, Version: 1}, now)
		}
		var d Decision
		if len(history) > simLag {
			d = history[len(history)-1-simLag]
		}
		inFlight += sim.arrive(step, now, d) - sim.inFlight[step]
		sample := sim.report(step).sample()
		sample.OldInFlight = inFlight
		sample.Endpoints = map[ident.Release]int{oldName: sim.old(now), newName: sim.new(now)}
		if s.crashAt > 0 && now >= s.crashAt && now < s.crashAt+stepLength {
			sample.Lost = map[ident.Release]int{oldName: s.oldCrashed, newName: s.crashed}
		}
		if step%40 == 39 { // another node continues
			next := &Machine{}
			if err := next.Decode(sim.machine.Encode()); err != nil {
				panic(err)
			}
			sim.machine = next
		}
		d = sim.machine.Step(sample, now+stepLength)
		if d.Verdict == Undecided && float64(sim.outcome.sent) > 0.1*float64(sim.outcome.seen)+25 {
			sim.outcome.isBeyond = true
		}
		delete(sim.samples, step)
		history = append(history, d)
		sim.outcome.state, sim.outcome.reason = d.State, d.Reason
		if d.State == Done || d.State == RolledBack {
			if sim.outcome.end == 0 {
				sim.outcome.end = now + stepLength
			}
			// The requests after a rollback count up to the deadline.
			if d.State == Done || now >= s.ramp {
				break
			}
		}
	}
	o := &sim.outcome
	o.isExposed = float64(o.sent) > 0.1*float64(o.seen)+50
	return *o
}

func (sim *simulation) old(now time.Duration) int {
	if sim.crashAt > 0 && now >= sim.crashAt {
		return sim.oldEndpoints - sim.oldCrashed
	}
	return sim.oldEndpoints
}

func (sim *simulation) new(now time.Duration) int {
	if sim.crashAt > 0 && now >= sim.crashAt {
		return sim.newEndpoints - sim.crashed
	}
	return sim.newEndpoints
}

// report collects the sample of a step. The first index is 0 for the old release and 1 for
// the target.
type report struct {
	sent   [2]int
	counts [2][simRoutes][3]Count
	nodes  [2][len(nodeNames)]Tally
	paces  map[PaceKey]Pace
}

func (sim *simulation) report(step int) *report {
	r := sim.samples[step]
	if r == nil {
		r = &report{paces: map[PaceKey]Pace{}}
		sim.samples[step] = r
	}
	return r
}

func (r *report) sample() Sample {
	s := Sample{Interval: stepLength, IsComplete: true, Counts: map[Key]Count{}, Entries: map[Entry]Tally{}, Paces: r.paces}
	s.Arrivals = map[ident.Release]int{oldName: r.sent[0], newName: r.sent[1]}
	for side, release := range []ident.Release{oldName, newName} {
		for route := range r.counts[side] {
			for class := range r.counts[side][route] {
				if c := &r.counts[side][route][class]; c.Answers > 0 {
					s.Counts[Key{release, routeNames[route], uint8(8 + class)}] = *c
				}
			}
		}
		for node, t := range r.nodes[side] {
			if t.Answers > 0 {
				s.Entries[Entry{nodeNames[node], release}] = t
			}
		}
	}
	return s
}

// arrive sends the requests of a step and returns how many went to the old release.
func (sim *simulation) arrive(step int, now time.Duration, d Decision) int {
	rate := sim.rate
	if now >= sim.burstAt && now < sim.burstAt+sim.burstLength {
		rate *= sim.burstFactor
	}
	n := sim.poisson(rate * stepLength.Seconds())
	toNew := 0
	for range n {
		sim.deficit += d.Share
		isNew := d.Share > 0 && sim.deficit >= 1
		if isNew {
			sim.deficit--
			toNew++
		}
		sim.send(step, now, isNew, d.Endpoints)
	}
	usable := sim.new(now)
	if d.Endpoints > 0 {
		usable = min(usable, d.Endpoints)
	}
	// The load of the next step's requests: a moving average of about a second, where full
	// load is what makes the old endpoints' load the scenario's.
	full := sim.rate / float64(sim.oldEndpoints) / sim.load * stepLength.Seconds()
	sim.util[0] += 0.25 * (float64(n-toNew)/float64(max(sim.old(now), 1))/full - sim.util[0])
	sim.util[1] += 0.25 * (float64(toNew)/float64(max(usable, 1))/full - sim.util[1])
	return n - toNew
}

func (sim *simulation) send(step int, now time.Duration, isNew bool, usable int) {
	util := sim.util[0]
	if isNew {
		util = sim.util[1]
	}
	route, class, node := sim.random.IntN(simRoutes), sim.random.IntN(3), sim.random.IntN(len(nodeNames))
	if isNew && sim.isCold && now < sim.ramp/2 {
		class = 2
	}
	latency := sim.latency[route][class] * math.Exp(sim.sigma*sim.random.NormFloat64())
	latency /= 1 - 0.8*min(util, 1) // five times as long at full load
	endpoint, slowness := sim.endpoint(now, isNew, usable)
	latency *= slowness
	fails := sim.random.Float64() < sim.baseFailures
	if node == 0 && sim.slowNode > 0 {
		latency *= sim.slowNode
	}
	if node == 0 && now >= sim.cutAt && now < sim.cutAt+sim.cutLength && (isNew || !sim.isCutAtNew) {
		fails = true
	}
	if isNew && now >= sim.onset && util >= sim.minLoad && (sim.badRoute < 0 || route == sim.badRoute) {
		isBad := false
		if sim.random.Float64() < sim.failShare {
			fails, isBad = true, true
		}
		if sim.random.Float64() < sim.slowShare {
			latency, isBad = latency*sim.slowFactor, true
		}
		if isBad {
			if sim.outcome.bad++; sim.outcome.bad == 50 {
				sim.fiftieth = now + time.Duration(latency*float64(time.Second))
			}
		}
	}
	if now >= 0 && now < sim.ramp {
		sim.outcome.seen++
		if isNew {
			sim.outcome.sent++
		}
	}
	if isNew && sim.isBad() && sim.outcome.bad >= 50 && now > sim.fiftieth+5*time.Second {
		sim.outcome.isLate = true
	}
	answered := time.Duration(latency * float64(time.Second))
	first := step + int(answered/stepLength)
	if !isNew {
		sim.inFlight[min(step+int(4*answered/stepLength)+1, len(sim.inFlight)-1)]++
	}
	side := 0
	if isNew {
		side = 1
	}
	sim.report(step).sent[side]++
	r := sim.report(first)
	c, t := &r.counts[side][route][class], &r.nodes[side][node]
	c.Answers++
	t.Answers++
	if fails {
		c.Failures++
		t.Failures++
	} else {
		c.Latency.Observe(answered)
		c.InterToken.Observe(answered / 8)
		release := []ident.Release{oldName, newName}[side]
		key := PaceKey{Key{release, routeNames[route], uint8(8 + class)}, ident.Endpoint(fmt.Sprint(release, "-", endpoint))}
		pace := r.paces[key]
		r.paces[key] = Pace{pace.Answers + 1, pace.Buckets + BucketOf(answered)}
	}
}

// endpoint chooses an endpoint, with a chance that follows its speed, and returns its index and
// slowness.
func (sim *simulation) endpoint(now time.Duration, isNew bool, usable int) (index int, slowness float64) {
	side, n := 0, sim.old(now)
	if isNew {
		side, n = 1, sim.new(now)
		if usable > 0 {
			n = min(usable, n)
		}
	}
	if !sim.isUnequal {
		sim.turn++
		return sim.turn % max(n, 1), 1
	}
	list := sim.slowness[side][:n]
	total := 0.0
	for _, s := range list {
		total += 1 / s
	}
	at := sim.random.Float64() * total
	for i, s := range list {
		if at -= 1 / s; at < 0 {
			return i, s
		}
	}
	return 0, 1
}

func (sim *simulation) poisson(mean float64) int {
	n, t := 0, sim.random.ExpFloat64()
	for t < mean {
		n++
		t += sim.random.ExpFloat64()
	}
	return n
}
