package sched

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/script"
)

const (
	// replayStep is the resolution of the simulated services' work.
	replayStep = time.Millisecond
	// minReplayWork and maxReplayWork bound the work of a call at a service of speed 1
	// that does nothing else.
	minReplayWork = 15 * time.Millisecond
	maxReplayWork = 60 * time.Millisecond
	// pausePeriod is the time between the pauses of a simulated host.
	pausePeriod = 800 * time.Millisecond
	// crossZoneTransit is the additional network time of a call to another zone.
	crossZoneTransit = 3 * time.Millisecond
)

// TestReplays runs the scripts testdata/*.replay, which drive one cell and simulated plain
// services with a load. testdata/README describes the commands.
func TestReplays(t *testing.T) {
	t.Logf("seed %d", loadSeed)
	script.Run(t, "testdata/*.replay", runReplay)
}

// service is a simulated plain service: up to knee calls do not slow each other down, and
// each further one adds slope to the time of all.
type service struct {
	calls  []*call
	knee   int
	speed  float64
	slope  float64
	stated func(s *service) int
	// speed is multiplied by change from changeAfter until changeUntil, and divided by 3 in
	// the first 200 ms of each 800 ms after pause.
	change                   float64
	changeAfter, changeUntil time.Duration
	hasPauses                bool
	// transit is the time that a call in flight is not at the service, half of it before.
	transit time.Duration
	// arriving and returning hold the calls on the way there and back.
	arriving, returning []*call
	pause               time.Duration
	zone                ident.AvailabilityZone
}

// call is one call; work is what is left of it, as the time at speed 1.
type call struct {
	GrantRequest
	work          time.Duration
	arrived, sent time.Duration
	// movedAt is when the call begins the next part of its way.
	movedAt time.Duration
	took    time.Duration
	// extra is the additional time on the way if the service is in another zone.
	extra time.Duration
}

// slowdown returns by how much a call takes longer than at speed 1 without other calls.
func (s *service) slowdown(since time.Duration) float64 {
	speed := s.speed
	if s.change > 0 && since >= s.changeAfter && since < s.changeUntil {
		speed *= s.change
	}
	if s.hasPauses && (since-s.pause+pausePeriod)%pausePeriod < pausePeriod/4 {
		speed /= 3
	}
	return (1 + s.slope*float64(max(len(s.calls)-s.knee, 0))) / speed
}

// replay is one run of a script. It is single-threaded, so that its results are always the
// same; since is the simulated time.
type replay struct {
	t        *testing.T
	rand     *rand.Rand
	since    time.Duration
	cell     *Cell
	specs    []EndpointSpec
	services map[ident.Endpoint]*service
	// sent, refused and answers are those since the last run began: numbers of calls, and
	// the times to their answers.
	sent, refused int
	answers       []time.Duration
	target        time.Duration
	// crossZone is the number of them that were granted in another zone.
	crossZone int
	// completed, if not nil, is called with each call that was answered.
	completed func(*call)
}

func runReplay(t *testing.T, lines iter.Seq[script.Line]) {
	pool := testPool()
	pool.Kind, pool.QueueRequests = ident.ApplicationRunner, 1<<20
	r := &replay{t: t, rand: rand.New(rand.NewPCG(loadSeed, 0)), services: map[ident.Endpoint]*service{}}
	start := time.Now()
	r.cell = &Cell{ID: ident.CellID{Pool: pool.ID}, Pool: pool, Now: func() time.Time { return start.Add(r.since) }}
	for line := range lines {
		switch line.Command {
		case "service":
			r.addService(line)
		case "remove":
			r.removeServices(line)
		case "run":
			r.run(line)
		case "at_least":
			r.checkGoodput(line)
		case "limit":
			r.checkLimit(line)
		default:
			t.Fatalf("%s: unknown command %s", line.Position, line.Command)
		}
	}
}

func (r *replay) floatOption(line script.Line, name string) float64 {
	if line.Options[name] == "" {
		return 0
	}
	v, err := strconv.ParseFloat(line.Options[name], 64)
	qt.Assert(r.t, err, qt.IsNil, qt.Commentf(line.Position))
	return v
}

func (r *replay) addService(line script.Line) {
	hints := map[string]func(*service) int{
		"":       func(*service) int { return 0 },
		"right":  func(s *service) int { return int(100 * s.slowdown(r.since) * s.speed) },
		"slow":   func(*service) int { return 400 },
		"random": func(*service) int { return 25 + r.rand.IntN(375) },
		// inverse states that the host is fast when it is slow.
		"inverse": func(s *service) int { return int(100 / (s.slowdown(r.since) * s.speed)) },
	}
	for _, name := range line.Operands {
		s := &service{
			knee: line.IntOption("knee", 1<<20), speed: r.floatOption(line, "speed"), slope: r.floatOption(line, "slope"),
			stated: hints[line.Options["hint"]], change: r.floatOption(line, "change"),
			changeAfter: line.ParseDuration(line.Options["after"]), changeUntil: line.ParseDuration(line.Options["until"]),
			transit:   line.ParseDuration(line.Options["transit"]),
			hasPauses: line.Options["pause"] != "", pause: line.ParseDuration(line.Options["pause"]),
			zone: ident.AvailabilityZone(line.Options["zone"]),
		}
		r.services[ident.Endpoint(name)] = s
		r.specs = append(r.specs, EndpointSpec{
			ID: ident.Endpoint(name), Kind: ident.ApplicationRunner, Slots: line.IntOption("slots", 6), Zone: ident.AvailabilityZone(line.Options["zone"]),
		})
	}
	r.cell.Configure(r.cell.Pool, r.specs)
}

// removeServices removes services. Calls in flight there are still answered.
func (r *replay) removeServices(line script.Line) {
	left := slices.DeleteFunc(slices.Clone(r.specs), func(s EndpointSpec) bool { return slices.Contains(line.Operands, string(s.ID)) })
	r.cell.Configure(r.cell.Pool, left)
}

// run sends calls at random times and waits for their ends.
func (r *replay) run(line script.Line) {
	r.sent, r.answers, r.refused, r.crossZone, r.target = 0, nil, 0, 0, line.ParseDuration(line.Options["target"])
	rate, end := r.floatOption(line, "rate"), r.since+line.ParseDuration(line.Options["for"])
	for next := r.since; next < end || len(r.answers)+r.refused < r.sent; r.since += replayStep {
		for ; next <= r.since && next < end; next += time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second)) {
			r.send(line)
		}
		for _, spec := range r.specs {
			r.serve(r.services[spec.ID])
		}
		if r.since%(100*time.Millisecond) == 0 {
			r.cell.Tick()
		}
	}
	slices.Sort(r.answers)
	r.t.Logf("%s: %d calls, %.3f in time, %.3f refused, %.3f to other zones, answer p50 %v p99 %v", line.Position, r.sent, r.goodput(),
		float64(r.refused)/float64(r.sent), r.crossZoneShare(), r.quantile(0.5), r.quantile(0.99))
}

func (r *replay) send(line script.Line) {
	c := &call{arrived: r.since, work: minReplayWork + time.Duration(r.rand.Int64N(int64(maxReplayWork-minReplayWork)))}
	c.GrantRequest = GrantRequest{
		Request: ident.RequestID(fmt.Sprintf("%s-%d", line.Position, r.sent)), Account: ident.ClientAccount(fmt.Sprint("a", r.rand.IntN(8))),
		Deadline: r.cell.now().Add(10 * r.target), FirstTokenTarget: r.target, Wake: func() { r.begin(c) },
	}
	if zones := line.Options["zones"]; zones != "" {
		all := strings.Split(zones, ",")
		c.Zone = ident.AvailabilityZone(all[r.rand.IntN(len(all))])
	}
	r.sent++
	if r.cell.Submit(&c.GrantRequest) {
		r.begin(c)
	}
}

// begin begins a call that has its response.
func (r *replay) begin(c *call) {
	if c.Response.Outcome != Granted {
		r.refused++
		return
	}
	s := r.services[c.Response.Endpoint]
	if c.Zone != "" && c.Zone != s.zone {
		r.crossZone++
		c.extra = crossZoneTransit
	}
	if s.transit+c.extra == 0 {
		r.arrive(s, c)
		return
	}
	c.movedAt = r.since + (s.transit+c.extra)/2
	s.arriving = append(s.arriving, c)
}

func (r *replay) arrive(s *service, c *call) {
	c.sent = r.since
	s.calls = append(s.calls, c)
}

// serve passes a step of time at a service.
func (r *replay) serve(s *service) {
	r.move(&s.arriving, func(c *call) { r.arrive(s, c) })
	done := time.Duration(float64(replayStep) / s.slowdown(r.since))
	for _, c := range slices.Clone(s.calls) {
		if c.work -= done; c.work > 0 {
			continue
		}
		statement := r.statement(s)
		s.calls = slices.DeleteFunc(s.calls, func(other *call) bool { return other == c })
		r.cell.UpdateEndpoint(c.Request, statement)
		c.took, c.movedAt = r.since+replayStep-c.sent+c.extra, r.since+(s.transit+c.extra)/2
		s.returning = append(s.returning, c)
		if s.transit+c.extra == 0 {
			r.move(&s.returning, r.complete)
		}
	}
	r.move(&s.returning, r.complete)
}

func (r *replay) complete(c *call) {
	r.answers = append(r.answers, r.since+replayStep-c.arrived)
	if r.completed != nil {
		r.completed(c)
	}
	r.cell.FirstToken(c.Request)
	r.cell.Complete(c.Request, Completion{TimeToFirstToken: c.took, IsWhole: true})
}

// move removes the calls that have reached the end of a part of their way, and calls f for each.
func (r *replay) move(calls *[]*call, f func(*call)) {
	var moved []*call
	*calls = slices.DeleteFunc(*calls, func(c *call) bool {
		if c.movedAt > r.since {
			return false
		}
		moved = append(moved, c)
		return true
	})
	for _, c := range moved {
		f(c)
	}
}

func (r *replay) goodput() float64 {
	n, _ := slices.BinarySearch(r.answers, r.target+1)
	return float64(n) / float64(r.sent)
}

func (r *replay) crossZoneShare() float64 {
	return float64(r.crossZone) / float64(max(len(r.answers), 1))
}

func (r *replay) quantile(q float64) time.Duration {
	if len(r.answers) == 0 {
		return 0
	}
	return r.answers[int(q*float64(len(r.answers)-1))]
}

// checkGoodput checks the share of calls that were answered in time, in percent, and
// quantiles of the times to the answers.
func (r *replay) checkGoodput(line script.Line) {
	qt.Check(r.t, 100*r.goodput() >= r.floatOption(line, "in_time"), qt.IsTrue, qt.Commentf("%s: %.3f in time", line.Position, r.goodput()))
	if share := line.Options["to_other_zones"]; share != "" {
		qt.Check(r.t, 100*r.crossZoneShare() <= r.floatOption(line, "to_other_zones"), qt.IsTrue, qt.Commentf("%s: %.3f to other zones", line.Position, r.crossZoneShare()))
	}
	for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		if limit := line.Options[name]; limit != "" {
			qt.Check(r.t, r.quantile(q) <= line.ParseDuration(limit), qt.IsTrue, qt.Commentf("%s: %s is %v", line.Position, name, r.quantile(q)))
		}
	}
}

// checkLimit checks the limits that were learned.
func (r *replay) checkLimit(line script.Line) {
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	for _, name := range line.Operands {
		limit := r.cell.byID[ident.Endpoint(name)].load.Limit(6)
		qt.Check(r.t, limit >= line.IntOption("from", 1) && limit <= line.IntOption("to", 6), qt.IsTrue, qt.Commentf("%s: the limit of %s is %d", line.Position, name, limit))
	}
}

// statement returns what a service states when it answers.
func (r *replay) statement(s *service) Statement {
	pace := s.stated(s)
	if pace == 0 {
		return Statement{}
	}
	return Statement{Occupancy: &Occupancy{Running: len(s.calls), Pace: pace}}
}
