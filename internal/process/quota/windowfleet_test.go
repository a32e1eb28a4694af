package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// maxRequestTokens is the size of the longest prompts on the platform.
const maxRequestTokens = 54_600

// fault is a kind of fault in a history.
type fault int

const (
	killOne fault = iota
	freezeOne
	cutFleet
	healFleet
	killAll
	leaveOne
)

// windowFleet is a fleet whose nodes are killed, frozen and partitioned, with views of the
// members that follow with a delay of their own on each node.
type windowFleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	nodes   []*windowNode
	account *config.Account
	kinds   []fault
	lost    float64 // fraction of the messages of which the request or the response is lost
	admits  []windowAdmit
	refused int
	ends    []windowEnd
	// handovers are under way.
	handovers []windowHandoverMessage
	sent      uint64
	// followed is when the views last followed.
	followed time.Time
}

type windowAdmit struct {
	at        time.Time
	tokens    float64
	perSecond float64
	burst     float64
}

// windowEnd is the end of an admitted request.
type windowEnd struct {
	at      time.Time
	release Release
	ran     bool
}

// windowHandoverMessage is a handover to a node, which arrives at a time.
type windowHandoverMessage struct {
	at       time.Time
	from, to int
	sequence uint64
	levels   Levels
}

type windowNode struct {
	received    Sequences
	leavesAt    time.Time
	downFor     time.Duration
	limiter     *Limiter
	coordinator *Coordinator
	started     time.Time
	downUntil   time.Time
	frozenUntil time.Time
	side        int
	// sees has an entry for each node; failedAt is when this node last recorded one as failed.
	sees        []bool
	failedAt    []time.Time
	changesAt   []time.Time
	viewChanged time.Time
}

func newWindowFleet(random *rand.Rand, nodes int, account *config.Account) *windowFleet {
	f := &windowFleet{random: random, account: account, lost: 0.01}
	now := time.Now()
	for i := range nodes {
		f.nodes = append(f.nodes, &windowNode{sees: make([]bool, nodes), failedAt: make([]time.Time, nodes), changesAt: make([]time.Time, nodes)})
		for j := range nodes {
			f.nodes[i].sees[j] = true
		}
		f.start(i, now)
	}
	return f
}

func (f *windowFleet) start(i int, now time.Time) {
	n := f.nodes[i]
	n.started, n.viewChanged = now, now
	n.limiter = &Limiter{
		EqualShare: func() float64 { return 1 / float64(n.ready()) },
		Acquire: func(_ context.Context, a *config.Account, req AcquireRequest) (Result, time.Duration, bool) {
			return f.acquire(i, a, req)
		},
	}
	n.coordinator = &Coordinator{Fraction: n.fraction, Since: func() time.Time { return n.viewChanged }}
}

func (n *windowNode) ready() (count int) {
	for _, sees := range n.sees {
		if sees {
			count++
		}
	}
	return count
}

func (n *windowNode) fraction() float64 {
	failed := 0
	for j, at := range n.failedAt {
		if !n.sees[j] && !at.IsZero() && time.Since(at) < time.Minute {
			failed++
		}
	}
	return float64(n.ready()) / float64(n.ready()+failed)
}

// coordinatorOf returns the first node in the view: the order stands for that of the hashes.
func (n *windowNode) coordinatorOf() int { return n.coordinatorWithout(-1) }

func (n *windowNode) coordinatorWithout(except int) int {
	for j, sees := range n.sees {
		if sees && j != except {
			return j
		}
	}
	return 0
}

func (n *windowNode) isUp(now time.Time) bool {
	return !now.Before(n.downUntil) && !now.Before(n.frozenUntil)
}

func (f *windowFleet) canReach(i, j int, now time.Time) bool {
	return i == j || f.nodes[i].isUp(now) && f.nodes[j].isUp(now) && f.nodes[i].side == f.nodes[j].side
}

func (f *windowFleet) acquire(i int, a *config.Account, req AcquireRequest) (Result, time.Duration, bool) {
	// A refund on its own comes from a timer, and is not lost: the order of the timers' draws
	// would not depend on the seed alone.
	if req.RefundOnly {
		f.mu.Lock()
		defer f.mu.Unlock()
	}
	now := time.Now()
	j := f.nodes[i].coordinatorOf()
	if !f.canReach(i, j, now) || f.nodes[j].coordinatorOf() != j {
		return "", 0, false
	}
	isLost := i != j && !req.RefundOnly && f.random.Float64() < f.lost
	if isLost && f.random.IntN(2) == 0 {
		return "", 0, false
	}
	result, retryAfter := f.nodes[j].coordinator.Acquire(a, req, now)
	return result, retryAfter, !isLost
}

// step applies a fault now and then, and lets the views follow.
func (f *windowFleet) step(now time.Time, faults float64) {
	if f.random.Float64() < faults {
		i := f.random.IntN(min(3, len(f.nodes))) // the nodes that coordinate, mostly
		length := time.Duration((0.3 + 5*f.random.Float64()) * float64(time.Second))
		switch f.kinds[f.random.IntN(len(f.kinds))] {
		case killOne:
			f.kill(i, now.Add(length))
		case freezeOne:
			f.nodes[i].frozenUntil = now.Add(length)
		case cutFleet:
			for _, n := range f.nodes {
				n.side = f.random.IntN(2)
			}
		case healFleet:
			for _, n := range f.nodes {
				n.side = 0
			}
		case killAll:
			for j := range f.nodes {
				f.kill(j, now.Add(2600*time.Millisecond))
			}
		case leaveOne:
			n := f.nodes[i]
			if n.isUp(now) && n.sees[i] {
				n.sees[i], n.viewChanged = false, now
				n.leavesAt, n.downFor = now.Add(time.Second), length
				f.handOver(i, now)
			}
		}
	}
	f.handovers = slices.DeleteFunc(f.handovers, func(m windowHandoverMessage) bool {
		if m.at.After(now) {
			return false
		}
		f.accept(m, now)
		return true
	})
	for _, n := range f.nodes {
		if *windowHandover && n.isUp(now) {
			n.coordinator.Beat(now)
		}
	}
	if now.Sub(f.followed) < 50*time.Millisecond {
		return
	}
	f.followed = now
	for i, n := range f.nodes {
		if !n.leavesAt.IsZero() && !now.Before(n.leavesAt) {
			f.kill(i, now.Add(n.downFor))
		}
		if n.isUp(now) {
			f.follow(i, now)
			f.handOver(i, now)
		}
	}
}

// kill ends a node, which starts again at until with a view of itself alone.
func (f *windowFleet) kill(i int, until time.Time) {
	n := f.nodes[i]
	n.downUntil, n.frozenUntil, n.leavesAt, n.received = until, time.Time{}, time.Time{}, Sequences{}
	for j := range n.sees {
		n.sees[j], n.failedAt[j], n.changesAt[j] = i == j, time.Time{}, time.Time{}
	}
	f.start(i, until)
}

// follow updates the view of a node: a failure is seen after 2 to 4 s, a return within 0.6 s.
func (f *windowFleet) follow(i int, now time.Time) {
	n := f.nodes[i]
	for j, other := range f.nodes {
		isLeaving := !other.leavesAt.IsZero()
		isReachable := f.canReach(i, j, now) && !isLeaving
		switch {
		case i == j && isLeaving:
		case isReachable == n.sees[j]:
			n.changesAt[j] = time.Time{}
		case n.changesAt[j].IsZero():
			delay := 0.6 * f.random.Float64()
			if !isReachable && !isLeaving {
				delay = 2 + 2*f.random.Float64()
			}
			n.changesAt[j] = now.Add(time.Duration(delay * float64(time.Second)))
		case !now.Before(n.changesAt[j]):
			n.sees[j], n.viewChanged, n.changesAt[j] = isReachable, now, time.Time{}
			if !isReachable && !isLeaving {
				n.failedAt[j] = now
			}
		}
	}
}

// handOver hands over what a node no longer coordinates. One message in ten is lost, some come
// twice, and some late.
func (f *windowFleet) handOver(i int, now time.Time) {
	if !*windowHandover {
		return
	}
	n := f.nodes[i]
	j := n.coordinatorOf()
	for _, levels := range n.coordinator.Remove(func(ident.ClientAccount) bool { return i == j && n.sees[i] }, now) {
		f.sent++
		if !f.canReach(i, j, now) || f.random.IntN(10) == 0 {
			continue
		}
		m := windowHandoverMessage{now.Add(time.Duration(f.random.IntN(150)) * time.Millisecond), i, j, f.sent, levels}
		f.handovers = append(f.handovers, m)
		if f.random.IntN(5) == 0 {
			m.at = m.at.Add(time.Duration(f.random.IntN(2000)) * time.Millisecond)
			f.handovers = append(f.handovers, m)
		}
	}
}

func (f *windowFleet) accept(m windowHandoverMessage, now time.Time) {
	n := f.nodes[m.to]
	// The runs of the sender rise with its starts.
	run := uint64(f.nodes[m.from].started.UnixMilli())
	if !n.isUp(now) || !n.received.IsNew(ident.NodeID(rune(m.from)), run, m.sequence) || n.coordinatorWithout(m.from) != m.to {
		return
	}
	a := *f.account
	n.coordinator.Accept(&a, m.levels, now)
}

// request sends one request through a random node.
func (f *windowFleet) request(ctx context.Context, now time.Time, isResumption bool) {
	i := f.random.IntN(len(f.nodes))
	if !f.nodes[i].isUp(now) {
		return
	}
	size := ident.Tokens(min(max(6600*math.Exp(1.1*f.random.NormFloat64()-0.6), 50), maxRequestTokens))
	admit := f.nodes[i].limiter.Admit
	if isResumption {
		admit = f.nodes[i].limiter.AdmitResumption
	}
	a := *f.account
	release, result, _ := admit(ctx, &a, size, now)
	if result != Admitted {
		f.refused++
		return
	}
	ran := f.random.IntN(20) != 0
	f.ends = append(f.ends, windowEnd{now.Add(time.Duration(f.random.IntN(900)) * time.Millisecond), release, ran})
	if ran {
		f.admits = append(f.admits, windowAdmit{now, float64(size), a.TokensPerSecond, burstOf(&a)})
	}
}

// used returns the largest part of the tolerance that any window used: 0 is the limit without
// it, and above 1 the rule is broken.
func (f *windowFleet) used() float64 {
	most, sum, last := math.Inf(-1), 0.0, 0
	for i, first := range f.admits {
		perSecond, burst := 0.0, 0.0
		for ; last < len(f.admits) && f.admits[last].at.Sub(first.at) < windowLength; last++ {
			sum += f.admits[last].tokens
		}
		for _, other := range f.admits[i:last] {
			perSecond, burst = max(perSecond, other.perSecond), max(burst, other.burst)
		}
		base := perSecond*windowLength.Seconds() + burst
		most = max(most, (sum-base)/(windowOver*base+windowSlack))
		sum -= first.tokens
	}
	return most
}
