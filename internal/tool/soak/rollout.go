package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	// rolloutEvery and rolloutRest select the seeds with a rollout. Other seeds play as they
	// did before rollouts were added.
	rolloutEvery, rolloutRest = 5, 3
	// rolloutDuration and rolloutCallers are the defaults of seeds with a rollout: a ramp has
	// to fit into the time with faults, and the pool needs about 30 requests per second, as
	// the judge needs answers.
	rolloutDuration = 30 * time.Second
	rolloutCallers  = 32
	rampTime        = 12 * time.Second
	// rampsToEnd is the number of ramps after the order within which a rollout ends if no
	// fault persists: one in doubt is rolled back two ramps after its deadline.
	rampsToEnd = 3
	// targetRelease is the release that the order names.
	targetRelease = "v2"
	// drainAfter is the time from the status rolled_back until the new endpoints drain.
	drainAfter = 2 * time.Second
	// failingShare and slowFactor describe the bad releases.
	failingShare = 0.3
	slowFactor   = 4
	// statusPoll is the time between two looks at the status in the store.
	statusPoll = 10 * time.Millisecond
	// orderLead is the time from the order until the new endpoints start.
	orderLead = 300 * time.Millisecond

	orderKey    = "rollout/llm"
	runningName = "running"
	doneName    = "done"
	rolledBack  = "rolled_back"

	rolloutSettings = `[rollout]
expose_share = 0.1
expose_slack = 50
rollback = 5s
`
)

// quality is the quality of the release that a rollout moves to.
type quality string

const (
	good    quality = "good"
	failing quality = "failing"
	slow    quality = "slow"
)

// rollout is the rollout of a run and what was observed of it.
type rollout struct {
	quality quality
	// hasFaults is set if endpoints of the target crash by themselves.
	hasFaults bool
	orderedAt time.Time

	mu sync.Mutex
	// statuses are the states in the store in the order of their appearance.
	statuses []observedStatus
	// failedAt holds the times at which the target's endpoints answered 500.
	failedAt []time.Time
	// restoredAt holds the times at which the store was restored, lostAt those at which all
	// nodes were killed, and noContact the intervals in which one node or all had no contact
	// with the store.
	restoredAt, lostAt []time.Time
	noContact          []interval
	// cutByDone describes the requests that ran at old endpoints when these were stopped.
	cutByDone []string
}

type observedStatus struct {
	at    time.Time
	state string
}

// interval is a time in which a node, or all if the name is empty, had no contact.
type interval struct {
	node     string
	from, to time.Time
}

// plannedRollout returns the rollout of a seed, or nil if it has none.
func plannedRollout(seed uint64) *rollout {
	if seed%rolloutEvery != rolloutRest {
		return nil
	}
	index := seed / rolloutEvery
	qualities := []quality{good, failing, slow}
	return &rollout{quality: qualities[index%uint64(len(qualities))], hasFaults: index%2 == 1}
}

// playRollout orders the rollout, starts the endpoints of its target, acts as the platform on
// its status, and injects faults of its conductor. It returns when the rollout has ended or
// its time is over, after which the store's status may still be observed.
func (r *run) playRollout(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 3<<32))
	o := r.world.rollout
	time.Sleep(time.Duration(2000+random.IntN(2000)) * time.Millisecond)
	r.note("order to %s, which is %s, endpoint faults %v", targetRelease, o.quality, o.hasFaults)
	o.mu.Lock()
	o.orderedAt = time.Now()
	o.mu.Unlock()
	r.world.writeOrder()
	time.Sleep(orderLead)
	r.world.startTargets()
	end := o.orderedAt.Add(rampsToEnd*rampTime + 5*time.Second)
	nextFault := time.Now().Add(time.Duration(random.IntN(4000)) * time.Millisecond)
	var faults sync.WaitGroup
	defer faults.Wait()
	for time.Now().Before(end) && ctx.Err() == nil {
		switch now := time.Now(); {
		case now.After(r.start.Add(r.Duration)):
			if o.ended() != "" && now.After(o.endedAt().Add(drainAfter+time.Second)) {
				return
			}
		case now.After(nextFault):
			r.disturbRollout(random, &faults)
			nextFault = now.Add(time.Duration(1500+random.IntN(3500)) * time.Millisecond)
		}
		time.Sleep(statusPoll)
	}
}

// observeStatus follows the status in the store until ctx is done, and stops or drains
// endpoints by it as the platform does.
func (r *run) observeStatus(ctx context.Context) {
	o := r.world.rollout
	for ctx.Err() == nil {
		time.Sleep(statusPoll)
		var status struct{ State, To string }
		if value := r.world.cloud.Rows("status")[orderKey]; value == nil || json.Unmarshal(value, &status) != nil || status.To != targetRelease {
			continue
		}
		if !o.observe(status.State) {
			continue
		}
		r.note("status %s", status.State)
		switch status.State {
		case doneName:
			o.stopOld(r.world.models)
		case rolledBack:
			time.AfterFunc(drainAfter, func() { r.world.setTargets("draining") })
		}
	}
}

// stopOld stops the old endpoints at once.
func (o *rollout) stopOld(old []*endpoint) {
	for _, e := range old {
		running := e.stop()
		o.mu.Lock()
		o.cutByDone = append(o.cutByDone, running...)
		o.mu.Unlock()
	}
}

// observe records a state and reports whether it has changed.
func (o *rollout) observe(state string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.statuses); n > 0 && o.statuses[n-1].state == state {
		return false
	}
	o.statuses = append(o.statuses, observedStatus{time.Now(), state})
	return true
}

// ended returns the state in which the rollout ended first, "" if it has not.
func (o *rollout) ended() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := slices.IndexFunc(o.statuses, func(s observedStatus) bool { return s.state != runningName })
	if i < 0 {
		return ""
	}
	return o.statuses[i].state
}

func (o *rollout) endedAt() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.statuses[slices.IndexFunc(o.statuses, func(s observedStatus) bool { return s.state != runningName })].at
}

// recordNoContact records an interval in which a node, or all if the name is empty, had no
// contact with the store. A nil rollout ignores it.
func (o *rollout) recordNoContact(node string, from, to time.Time) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noContact = append(o.noContact, interval{node, from, to})
}

// disturbRollout kills, pauses or cuts off from the store the conductor or another node, or
// crashes an endpoint of the target.
func (r *run) disturbRollout(random *rand.Rand, faults *sync.WaitGroup) {
	w := r.world
	kind, pause := random.IntN(4), time.Duration(300+random.IntN(2000))*time.Millisecond
	target, other := w.targets[random.IntN(len(w.targets))], random.IntN(r.Nodes)
	if kind == 3 && w.rollout.hasFaults {
		r.note("%s crashes", target.name)
		target.crash(faults)
		return
	}
	i := slices.IndexFunc(w.nodes, func(n *nodeProcess) bool { return n.name == w.conductor() })
	if i < 0 || kind == 3 {
		i = other
	}
	n := w.take(i)
	if n == nil {
		return
	}
	switch kind {
	case 0:
		r.restart(n, faults, syscall.SIGKILL, pause)
	case 1:
		r.freeze(n, faults, pause)
	default:
		r.note("%s is cut off from the store for %v", n.name, pause)
		n.cutOff(true)
		start := time.Now()
		faults.Go(func() {
			defer w.release(n)
			time.Sleep(pause)
			n.cutOff(false)
			w.rollout.recordNoContact(n.name, start, time.Now())
		})
	}
}

// conductor returns the name of the node that wrote the row of the rollout last.
func (w *world) conductor() string {
	for _, value := range w.cloud.Rows("rollouts") {
		var row struct{ Conductor string }
		if json.Unmarshal(value, &row) == nil {
			return row.Conductor
		}
	}
	return ""
}

// writeOrder writes the order if it has been given.
func (w *world) writeOrder() {
	if w.rollout == nil {
		return
	}
	w.rollout.mu.Lock()
	isOrdered := !w.rollout.orderedAt.IsZero()
	w.rollout.mu.Unlock()
	if isOrdered {
		w.put("op", orderKey, map[string]any{"service": "llm", "to": targetRelease, "ramp_s": rampTime.Seconds()})
	}
}

// startTargets lists the endpoints of the target.
func (w *world) startTargets() {
	w.setTargets("ready")
}

// setTargets gives the endpoints of the target a state and lists them.
func (w *world) setTargets(state string) {
	for _, e := range w.targets {
		e.setState(state)
		w.put("servers", e.name, e.row())
	}
}

// newTarget starts an endpoint of the target, which is not listed.
func newTarget(w *world, name string) (*endpoint, error) {
	e, err := newEndpoint(w, name, "llm", targetRelease)
	if err != nil {
		return nil, err
	}
	e.setState("")
	switch w.rollout.quality {
	case failing:
		e.NextBehaviour = w.rollout.nextFailing
	case slow:
		e.Batch.StepTime *= slowFactor
		e.Batch.PrefillTimePerToken *= slowFactor
	}
	return e, nil
}

// nextFailing returns the behaviour of an endpoint that fails a share of its answers.
func (o *rollout) nextFailing() engine.Behaviour {
	if rand.Float64() >= failingShare {
		return engine.Behaviour{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedAt = append(o.failedAt, time.Now())
	return engine.Behaviour{Status: 500, Body: "failed", EventInterval: callTime}
}
