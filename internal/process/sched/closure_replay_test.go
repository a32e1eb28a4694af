package sched

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/script"
)

const (
	// closureTiers is the number of tiers of the pool in closure replays.
	closureTiers = 3
	// messageDelay is how long a message between two nodes takes.
	messageDelay = 5 * time.Millisecond
	// replayPeriod is the time over which calls and busy slots are summed up.
	replayPeriod = 100 * time.Millisecond
	// deadlineFactor is the deadline of a call as a multiple of its target.
	deadlineFactor = 10
)

// TestClosureReplays runs the scripts testdata/*.closure, which drive the cells of one pool on
// several nodes, with their admission levels and simulated plain services. testdata/README
// describes the commands.
func TestClosureReplays(t *testing.T) {
	t.Logf("seed %d", loadSeed)
	script.Run(t, "testdata/*.closure", runClosureReplay)
}

// closureReplay is one run of a script. Like replay, it is single-threaded.
type closureReplay struct {
	t        *testing.T
	rand     *rand.Rand
	start    time.Time
	since    time.Duration
	nodes    []*closureNode
	loads    []*closureLoad
	messages []closureMessage
	sequence int
	closures int
	// ownWait counts the calls above the lowest tier that were refused past their own maximum
	// wait while a node admitted the next tier.
	ownWait   int
	violation string
}

// closureNode is a node with one cell. Busy holds the busy slots, and the others the calls by
// tier and time of arrival, of each 100 ms.
type closureNode struct {
	replay
	name                    string
	admission               admit.Controller
	busy                    []float64
	arrived, served, inTime [][closureTiers]int
}

// closureLoad is a load of calls that arrive at random times, several at once.
type closureLoad struct {
	node       *closureNode
	tier       ident.Tier
	rate, late float64
	burst      int
	target     time.Duration
	next, end  time.Duration
	left       time.Duration
}

// closureMessage is called when it arrives.
type closureMessage struct {
	arrives time.Duration
	handle  func()
}

func runClosureReplay(t *testing.T, lines iter.Seq[script.Line]) {
	r := &closureReplay{t: t, rand: rand.New(rand.NewPCG(loadSeed, 0)), start: time.Now()}
	commands := map[string]func(script.Line){
		"node": r.addNode, "load": r.addLoad, "run": r.run, "used": r.checkUsed, "served": r.checkServed, "closures": r.checkClosures, "own_wait": r.checkOwnWait,
	}
	for line := range lines {
		do, ok := commands[line.Command]
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s: unknown command %s", line.Position, line.Command))
		do(line)
	}
	qt.Check(t, r.violation, qt.Equals, "")
}

func (r *closureReplay) now() time.Time { return r.start.Add(r.since) }

func (r *closureReplay) addNode(line script.Line) {
	for _, name := range line.Operands {
		n := &closureNode{name: name}
		n.replay = replay{t: r.t, rand: r.rand, services: map[ident.Endpoint]*service{}}
		pool := testPool()
		pool.Kind, pool.QueueRequests = ident.ApplicationRunner, 1<<20
		n.cell = &Cell{
			ID: ident.CellID{Pool: pool.ID, Index: len(r.nodes)}, Pool: pool, Now: r.now,
			Admits:  func(tier ident.Tier) bool { return n.admission.Admits(pool.ID, tier, r.now()) },
			CanShed: func(tier ident.Tier) bool { return r.canShed(n, tier) },
			CloseLower: func(tier ident.Tier, cause CloseCause) {
				if tier < closureTiers-1 && n.admission.CloseLower(pool.ID, tier, r.now()) {
					r.closures++
					r.t.Logf("%v: %s closes below tier %d, %+v", r.since, name, tier, cause)
				}
			},
			Observe: func(d Decision) { r.checkDecision(n, d) },
		}
		n.completed = func(c *call) {
			if took := r.since + replayStep - c.arrived; took <= c.Deadline.Sub(r.start.Add(c.arrived))/deadlineFactor {
				n.inTime[int(c.arrived/replayPeriod)][c.Tier]++
			}
		}
		r.nodes = append(r.nodes, n)
		line.Operands, line.Options["speed"] = []string{"e"}, "1"
		n.addService(line)
	}
}

func (r *closureReplay) canShed(n *closureNode, tier ident.Tier) bool {
	var names []ident.NodeID
	for _, other := range r.nodes {
		names = append(names, ident.NodeID(other.name))
	}
	return n.admission.CanShed(n.cell.ID.Pool, tier, closureTiers-1, names, r.now())
}

// checkDecision records a violation if a call is shed, other than at the end of its own time,
// while a node admits a lower tier.
func (r *closureReplay) checkDecision(n *closureNode, d Decision) {
	q := d.Request
	if q.Response.Reason != ReasonOverload {
		return
	}
	isOwnWait := r.now().Sub(q.arrived) > n.cell.maxWait(q)
	for _, other := range r.nodes {
		if q.Tier < closureTiers-1 && other.admission.Admits(n.cell.ID.Pool, q.Tier+1, r.now()) {
			if isOwnWait {
				r.ownWait++
				return
			}
			r.violation = fmt.Sprintf("at %v %s sheds tier %d while %s admits the next one", r.since, n.name, q.Tier, other.name)
		}
	}
}

func (r *closureReplay) addLoad(line script.Line) {
	for _, n := range r.nodes {
		if !slices.Contains(line.Operands, n.name) {
			continue
		}
		l := &closureLoad{
			node: n, tier: ident.Tier(line.IntOption("tier", 0)), rate: n.floatOption(line, "rate"), late: n.floatOption(line, "late"),
			burst: line.IntOption("burst", 1), target: line.ParseDuration(line.Options["target"]), left: line.ParseDuration(line.Options["left"]),
			next: r.since + line.ParseDuration(line.Options["from"]), end: r.since + line.ParseDuration(line.Options["until"]),
		}
		r.loads = append(r.loads, l)
	}
}

// run lets time pass.
func (r *closureReplay) run(line script.Line) {
	for end := r.since + line.ParseDuration(line.Options["for"]); r.since < end; r.since += replayStep {
		if r.since%replayPeriod == 0 {
			r.beginPeriod()
		}
		for _, l := range r.loads {
			for ; l.next <= r.since && l.next < l.end; l.next += time.Duration(r.rand.ExpFloat64() * float64(l.burst) / l.rate * float64(time.Second)) {
				for range l.burst {
					r.send(l)
				}
			}
		}
		due := slices.Clone(r.messages)
		r.messages = slices.DeleteFunc(r.messages, func(m closureMessage) bool { return m.arrives <= r.since })
		for _, m := range due {
			if m.arrives <= r.since {
				m.handle()
			}
		}
		for _, n := range r.nodes {
			n.since = r.since
			r.step(n)
		}
	}
	for _, n := range r.nodes {
		for second := 0; second+10 <= len(n.busy); second += 10 {
			var arrived, served [closureTiers]int
			for i := second; i < second+10; i++ {
				for tier := range closureTiers {
					arrived[tier] += n.arrived[i][tier]
					served[tier] += n.served[i][tier]
				}
			}
			r.t.Logf("%s: second %d of %s: %.2f used, %v of %v served by tier", line.Position, second/10, n.name, n.used(second, second+10), served, arrived)
		}
	}
}

func (r *closureReplay) beginPeriod() {
	for _, n := range r.nodes {
		n.busy = append(n.busy, 0)
		n.arrived = append(n.arrived, [closureTiers]int{})
		n.served = append(n.served, [closureTiers]int{})
		n.inTime = append(n.inTime, [closureTiers]int{})
	}
}

// step passes a step of time at a node.
func (r *closureReplay) step(n *closureNode) {
	if r.since%replayPeriod == 0 {
		n.cell.Tick()
	}
	for _, spec := range n.specs {
		s := n.services[spec.ID]
		n.busy[len(n.busy)-1] += float64(len(s.calls)) / float64(spec.Slots) / float64(replayPeriod/replayStep) / float64(len(n.specs))
		n.serve(s)
	}
	if r.since%admit.StepInterval == 0 {
		r.stepClosures(n)
	}
}

func (r *closureReplay) stepClosures(n *closureNode) {
	n.admission.KeepClosed(n.cell.ID.Pool, n.cell.NeedsClosed(), r.now())
	for _, opening := range n.admission.Step(r.now()) {
		r.t.Logf("%v: %s opens from tier %d after %v", r.since, n.name, opening.Level, opening.Lasted)
		r.sendCloseRequest(n, opening.Request)
	}
	for _, request := range n.admission.Due(r.now()) {
		r.sendCloseRequest(n, request)
	}
}

func (r *closureReplay) sendCloseRequest(n *closureNode, request admit.CloseRequest) {
	sent := r.now()
	n.cell.ShedClosedTiers()
	n.admission.Acknowledge(ident.NodeID(n.name), request, sent)
	for _, other := range r.nodes {
		if other == n {
			continue
		}
		r.messages = append(r.messages, closureMessage{r.since + messageDelay, func() {
			if !other.admission.Close(ident.NodeID(n.name), request, r.now()) {
				return
			}
			other.cell.ShedClosedTiers()
			r.messages = append(r.messages, closureMessage{r.since + messageDelay, func() {
				n.admission.Acknowledge(ident.NodeID(other.name), request, sent)
			}})
		}})
	}
}

// send submits a call. Of late percent of the calls of a load, only the part left of the target
// is left.
func (r *closureReplay) send(l *closureLoad) {
	n := l.node
	c := &call{arrived: r.since, work: minReplayWork + time.Duration(r.rand.Int64N(int64(maxReplayWork-minReplayWork)))}
	r.sequence++
	c.GrantRequest = GrantRequest{
		Request: ident.RequestID(strconv.Itoa(r.sequence)), Account: ident.ClientAccount(fmt.Sprint("a", r.rand.IntN(8))), Tier: l.tier,
		Deadline: r.now().Add(deadlineFactor * l.target), FirstTokenTarget: l.target, FullTarget: l.target,
	}
	if 100*r.rand.Float64() < l.late {
		c.FirstTokenTarget = l.left
	}
	at := len(n.busy) - 1
	begin := func() {
		if c.Response.Outcome == Granted {
			n.served[at][l.tier]++
		}
		n.begin(c)
	}
	n.arrived[at][l.tier]++
	c.Wake = begin
	if n.cell.Submit(&c.GrantRequest) {
		begin()
	}
}

// used returns the mean share of the slots in use in some periods of 100 ms.
func (n *closureNode) used(from, until int) float64 {
	sum := 0.0
	for _, busy := range n.busy[from:until] {
		sum += busy
	}
	return sum / float64(until-from)
}

func periods(line script.Line) (from, until int) {
	return int(line.ParseDuration(line.Options["from"]) / replayPeriod), int(line.ParseDuration(line.Options["until"]) / replayPeriod)
}

// checkUsed checks the share of the slots in use in percent.
func (r *closureReplay) checkUsed(line script.Line) {
	from, until := periods(line)
	for _, n := range r.nodes {
		if slices.Contains(line.Operands, n.name) {
			used := 100 * n.used(from, until)
			r.t.Logf("%s: %s used %.1f", line.Position, n.name, used)
			qt.Check(r.t, used >= n.floatOption(line, "at_least"), qt.IsTrue, qt.Commentf("%s: %s used %.1f", line.Position, n.name, used))
		}
	}
}

// checkServed checks the shares of the calls of a tier that were granted, and answered within
// the target, in percent, by their times of arrival.
func (r *closureReplay) checkServed(line script.Line) {
	from, until := periods(line)
	tier := line.IntOption("tier", 0)
	for _, n := range r.nodes {
		if !slices.Contains(line.Operands, n.name) {
			continue
		}
		arrived, served, inTime := 0, 0, 0
		for i := from; i < until; i++ {
			arrived += n.arrived[i][tier]
			served += n.served[i][tier]
			inTime += n.inTime[i][tier]
		}
		share := 100 * float64(served) / float64(max(arrived, 1))
		shareInTime := 100 * float64(inTime) / float64(max(arrived, 1))
		r.t.Logf("%s: %s served %.1f of %d, %.1f in time", line.Position, n.name, share, arrived, shareInTime)
		qt.Check(r.t, shareInTime >= n.floatOption(line, "in_time"), qt.IsTrue, qt.Commentf("%s: %s served %.1f in time", line.Position, n.name, shareInTime))
		qt.Check(r.t, share >= n.floatOption(line, "at_least"), qt.IsTrue, qt.Commentf("%s: %s served %.1f", line.Position, n.name, share))
		if line.Options["at_most"] != "" {
			qt.Check(r.t, share <= n.floatOption(line, "at_most"), qt.IsTrue, qt.Commentf("%s: %s served %.1f", line.Position, n.name, share))
		}
	}
}

func (r *closureReplay) checkClosures(line script.Line) {
	r.t.Logf("%s: %d closures", line.Position, r.closures)
	qt.Check(r.t, r.closures >= line.IntOption("at_least", 0) && r.closures <= line.IntOption("at_most", 1<<20), qt.IsTrue, qt.Commentf("%s: %d closures", line.Position, r.closures))
}

// checkOwnWait checks how many calls were refused past their own maximum wait while a node admitted
// the next tier.
func (r *closureReplay) checkOwnWait(line script.Line) {
	r.t.Logf("%s: %d refused at their own maximum wait", line.Position, r.ownWait)
	if line.Options["at_most"] != "" {
		qt.Check(r.t, r.ownWait <= line.IntOption("at_most", 0), qt.IsTrue, qt.Commentf("%s: %d refused at their own maximum wait", line.Position, r.ownWait))
	}
}
