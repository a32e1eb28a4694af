package admit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/process/ident"
)

const (
	testPool  = ident.PoolID("team/pool")
	testTiers = 4
)

// messageKind is the kind of a message in transit.
type messageKind int

const (
	closeRequest messageKind = iota
	acknowledgement
	// levelQuery is a restarted node's query for the levels that another node wants, and
	// levelReply the reply.
	levelQuery
	levelReply
)

// message is one in transit.
type message struct {
	kind     messageKind
	from, to int
	request  CloseRequest
	sent     time.Time
	levels   []CloseRequest
	// start is how often the node that sent a levelQuery had started.
	start int
}

// model simulates nodes whose clocks run at different rates, and the messages
// between them, which can be delayed, lost, repeated or reordered. Nodes restart; they admit
// lower tiers only when all others have told them what they want closed.
type model struct {
	controllers []*Controller
	starts      []int
	// unknown holds, for each node, the others whose levels it does not know since its start.
	unknown   []map[int]bool
	rates     []float64
	start     time.Time
	elapsed   time.Duration
	inTransit []message
}

func newModel(rt *rapid.T) *model {
	m := &model{start: time.Unix(1000, 0)}
	for i := range rapid.IntRange(2, 4).Draw(rt, "nodes") {
		m.controllers = append(m.controllers, &Controller{})
		m.starts = append(m.starts, 0)
		m.unknown = append(m.unknown, map[int]bool{})
		m.rates = append(m.rates, rapid.Float64Range(0.96, 1.04).Draw(rt, fmt.Sprint("rate ", i)))
	}
	return m
}

func (m *model) name(i int) ident.NodeID { return ident.NodeID(fmt.Sprint("n", i)) }

func (m *model) clock(i int) time.Time {
	return m.start.Add(time.Duration(float64(m.elapsed) * m.rates[i]))
}

func (m *model) names() []ident.NodeID {
	all := make([]ident.NodeID, len(m.controllers))
	for i := range all {
		all[i] = m.name(i)
	}
	return all
}

func (m *model) admits(i int, tier ident.Tier) bool {
	return (tier == 0 || len(m.unknown[i]) == 0) && m.controllers[i].Admits(testPool, tier, m.clock(i))
}

func (m *model) broadcast(i int, request CloseRequest) {
	now := m.clock(i)
	m.controllers[i].Acknowledge(m.name(i), request, now)
	for j := range m.controllers {
		if j != i {
			m.inTransit = append(m.inTransit, message{kind: closeRequest, from: i, to: j, request: request, sent: now})
		}
	}
}

// step ends the closures that a node does not need any more.
func (m *model) step(i int) (opened bool) {
	for _, opening := range m.controllers[i].Step(m.clock(i)) {
		m.broadcast(i, opening.Request)
		opened = true
	}
	return opened
}

// restart kills a node and starts it again.
func (m *model) restart(i int) {
	m.controllers[i] = &Controller{}
	m.starts[i]++
	for j := range m.controllers {
		if j != i {
			m.unknown[i][j] = true
		}
	}
}

func (m *model) query(i int) {
	for j := range m.controllers {
		if m.unknown[i][j] {
			m.inTransit = append(m.inTransit, message{kind: levelQuery, from: i, to: j, start: m.starts[i]})
		}
	}
}

func (m *model) deliver(msg message) {
	to, now := m.controllers[msg.to], m.clock(msg.to)
	switch msg.kind {
	case closeRequest:
		if to.Close(m.name(msg.from), msg.request, now) {
			m.inTransit = append(m.inTransit, message{kind: acknowledgement, from: msg.to, to: msg.from, request: msg.request, sent: msg.sent})
		}
	case acknowledgement:
		to.Acknowledge(m.name(msg.from), msg.request, msg.sent)
	case levelQuery:
		m.inTransit = append(m.inTransit, message{kind: levelReply, from: msg.to, to: msg.from, levels: to.Pending(), start: msg.start})
	case levelReply:
		if msg.start != m.starts[msg.to] {
			return // the call ended with the process that made it.
		}
		for _, request := range msg.levels {
			to.Close(m.name(msg.from), request, now)
		}
		delete(m.unknown[msg.to], msg.from)
	}
}

// check fails the test if a node can shed a tier while any node, itself included,
// admits the next lower one. A node that admits any lower tier admits that one too.
func (m *model) check(rt *rapid.T) {
	for i, c := range m.controllers {
		for tier := range ident.Tier(testTiers - 1) {
			if !c.CanShed(testPool, tier, testTiers-1, m.names(), m.clock(i)) {
				continue
			}
			for j := range m.controllers {
				if m.admits(j, tier+1) {
					rt.Fatalf("after %s %s can shed tier %d while %s admits tier %d", m.elapsed, m.name(i), tier, m.name(j), tier+1)
				}
			}
		}
	}
}

// TestLowerTiersClosedBeforeShed checks random interleavings of wanted levels, their ends,
// restarts, and delayed, lost, repeated or reordered messages, with clock rates that are off by
// up to 4%.
func TestLowerTiersClosedBeforeShed(t *testing.T) {
	reached, opened, shedAfterOpening := false, false, false
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		hasOpened := false
		node := func(rt *rapid.T) int { return rapid.IntRange(0, len(m.controllers)-1).Draw(rt, "node") }
		take := func(rt *rapid.T, handle func(at int)) {
			if len(m.inTransit) > 0 {
				handle(rapid.IntRange(0, len(m.inTransit)-1).Draw(rt, "message"))
			}
		}
		wait := func(rt *rapid.T, most int) {
			m.elapsed += time.Duration(rapid.IntRange(1, most).Draw(rt, "ms")) * time.Millisecond
		}
		deliver := func(rt *rapid.T) {
			take(rt, func(at int) {
				msg := m.inTransit[at]
				m.inTransit = slices.Delete(m.inTransit, at, at+1)
				m.deliver(msg)
			})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"request_close": func(rt *rapid.T) {
				i := node(rt)
				m.controllers[i].CloseLower(testPool, ident.Tier(rapid.IntRange(0, testTiers-1).Draw(rt, "tier")), m.clock(i))
			},
			"need": func(rt *rapid.T) {
				i, needs := node(rt), [ident.MaxTiers]bool{}
				needs[rapid.IntRange(0, testTiers-1).Draw(rt, "tier")] = true
				m.controllers[i].KeepClosed(testPool, needs, m.clock(i))
			},
			"step": func(rt *rapid.T) { hasOpened = m.step(node(rt)) || hasOpened },
			"broadcast": func(rt *rapid.T) {
				i := node(rt)
				for _, request := range m.controllers[i].Pending() {
					m.broadcast(i, request)
				}
			},
			"deliver": deliver, "deliver_another": deliver,
			"exchange": func(rt *rapid.T) {
				i := node(rt)
				m.query(i)
				for _, request := range m.controllers[i].Pending() {
					m.broadcast(i, request)
				}
				for len(m.inTransit) > 0 {
					msg := m.inTransit[0]
					m.inTransit = m.inTransit[1:]
					m.deliver(msg)
				}
			},
			"repeat":    func(rt *rapid.T) { take(rt, func(at int) { m.deliver(m.inTransit[at]) }) },
			"drop":      func(rt *rapid.T) { take(rt, func(at int) { m.inTransit = slices.Delete(m.inTransit, at, at+1) }) },
			"restart":   func(rt *rapid.T) { m.restart(node(rt)) },
			"query":     func(rt *rapid.T) { m.query(node(rt)) },
			"wait":      func(rt *rapid.T) { wait(rt, 300) },
			"wait_long": func(rt *rapid.T) { wait(rt, 1500) },
			"": func(rt *rapid.T) {
				m.check(rt)
				opened = opened || hasOpened
				for i, c := range m.controllers {
					canShed := c.CanShed(testPool, 0, testTiers-1, m.names(), m.clock(i))
					reached = reached || canShed
					shedAfterOpening = shedAfterOpening || canShed && hasOpened
				}
			},
		})
	})
	// The check is vacuous if no node was ever allowed to shed, or no closure was ended.
	qt.Assert(t, reached, qt.IsTrue)
	qt.Assert(t, opened, qt.IsTrue)
	qt.Assert(t, shedAfterOpening, qt.IsTrue)
}

// TestShedAfterAcknowledgements checks one exchange: a tier can be shed once all
// members acknowledged the close request, and no longer after CloseTTL.
func TestShedAfterAcknowledgements(t *testing.T) {
	a, b := &Controller{}, &Controller{}
	now := time.Unix(1000, 0)
	both := []ident.NodeID{"a", "b"}
	a.CloseLower(testPool, 1, now)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, now), qt.IsFalse)
	qt.Assert(t, a.CanShed(testPool, 3, 3, both, now), qt.IsTrue)
	requests := a.Pending()
	qt.Assert(t, requests, qt.HasLen, 1)
	qt.Assert(t, requests[0].Level, qt.Equals, ident.Tier(1))
	a.Acknowledge("a", requests[0], now)
	qt.Assert(t, b.Close("a", requests[0], now), qt.IsTrue)
	qt.Assert(t, b.Admits(testPool, 2, now), qt.IsFalse)
	qt.Assert(t, b.Admits(testPool, 1, now), qt.IsTrue)
	a.Acknowledge("b", requests[0], now)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, now), qt.IsTrue)
	qt.Assert(t, a.CanShed(testPool, 0, 3, both, now), qt.IsFalse)
	later := now.Add(CloseTTL)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, later), qt.IsFalse)
	qt.Assert(t, b.Admits(testPool, 2, later), qt.IsTrue)
}

// step calls Step and returns the request of the only opening, if there is one.
func step(t *testing.T, c *Controller, now time.Time) (request CloseRequest, opened bool) {
	openings := c.Step(now)
	if len(openings) == 0 {
		return CloseRequest{}, false
	}
	qt.Assert(t, openings, qt.HasLen, 1)
	return openings[0].Request, true
}

// TestOpening checks the end of a closure: it comes minKeepTime after the last need, opens the
// closures of this node only, and also against close requests that arrive after it. An
// acknowledgement that was given up does not count for the next closure.
func TestOpening(t *testing.T) {
	a, b := &Controller{}, &Controller{}
	now := time.Unix(1000, 0)
	both := []ident.NodeID{"a", "b"}
	a.CloseLower(testPool, 0, now)
	closing := a.Pending()[0]
	b.Close("a", closing, now)
	other := CloseRequest{Pool: testPool, Level: 1, Run: 7}
	b.Close("c", other, now)
	a.Acknowledge("a", closing, now)
	a.Acknowledge("b", closing, now)

	now = now.Add(150 * time.Millisecond)
	a.KeepClosed(testPool, [ident.MaxTiers]bool{0: true}, now)
	a.KeepClosed(testPool, [ident.MaxTiers]bool{1: true}, now.Add(minKeepTime/2)) // a lower tier is no need.
	_, opened := step(t, a, now.Add(minKeepTime-time.Millisecond))
	qt.Check(t, opened, qt.IsFalse)
	now = now.Add(minKeepTime)
	opening, opened := step(t, a, now)
	qt.Assert(t, opened, qt.IsTrue)
	qt.Check(t, a.CanShed(testPool, 0, 3, both, now), qt.IsFalse)
	qt.Check(t, b.Close("a", opening, now), qt.IsTrue)
	qt.Check(t, b.Level(testPool, now), qt.Equals, ident.Tier(1))
	qt.Check(t, b.Close("a", closing, now), qt.IsFalse)
	qt.Check(t, b.Level(testPool, now), qt.Equals, ident.Tier(1))

	a.CloseLower(testPool, 0, now)
	a.Acknowledge("a", a.Pending()[0], now)
	a.Acknowledge("b", closing, now)
	qt.Check(t, a.CanShed(testPool, 0, 3, both, now), qt.IsFalse)
	b.Close("a", a.Pending()[0], now)
	qt.Check(t, b.Close("a", opening, now), qt.IsTrue) // repeated after the next closure.
	qt.Check(t, b.Level(testPool, now), qt.Equals, ident.Tier(0))
}

// TestRequesterRestarts guards against an opening of a process that has died undoing a closure
// of the next process of its node, whose epochs begin anew.
func TestRequesterRestarts(t *testing.T) {
	a, restarted, b := &Controller{}, &Controller{}, &Controller{}
	now := time.Unix(1000, 0)
	a.CloseLower(testPool, 0, now)
	b.Close("a", a.Pending()[0], now)
	late, opened := step(t, a, now.Add(minKeepTime))
	qt.Assert(t, opened, qt.IsTrue)

	restarted.CloseLower(testPool, 0, now)
	closing := restarted.Pending()[0]
	qt.Check(t, b.Close("a", closing, now), qt.IsTrue)
	qt.Check(t, b.Close("a", late, now), qt.IsTrue)
	qt.Check(t, b.Level(testPool, now), qt.Equals, ident.Tier(0))
}

// TestLooserLevelRemains checks that the end of a strict level leaves the less strict one that
// is still needed, and that requests of the previous release are applied and expire.
func TestLooserLevelRemains(t *testing.T) {
	a, b := &Controller{}, &Controller{}
	now := time.Unix(1000, 0)
	a.CloseLower(testPool, 2, now)
	a.CloseLower(testPool, 0, now)
	b.Close("a", a.Pending()[0], now)
	qt.Check(t, b.Level(testPool, now), qt.Equals, ident.Tier(0))
	now = now.Add(minKeepTime)
	a.CloseLower(testPool, 2, now)
	opening, opened := step(t, a, now)
	qt.Assert(t, opened, qt.IsTrue)
	b.Close("a", opening, now)
	qt.Check(t, b.Level(testPool, now), qt.Equals, ident.Tier(2))
	qt.Check(t, a.Level(testPool, now), qt.Equals, ident.Tier(2))

	old := CloseRequest{Pool: testPool, Level: 1}
	qt.Check(t, b.Close("old", old, now), qt.IsTrue)
	qt.Check(t, b.Close("old", old, now.Add(time.Second)), qt.IsTrue)
	qt.Check(t, b.Level(testPool, now.Add(CloseTTL)), qt.Equals, ident.Tier(1))
	qt.Check(t, b.Level(testPool, now.Add(CloseTTL+time.Second)), qt.Equals, AdmitAll)
}

// TestKeepTime checks that closures which follow each other are kept longer each time, up to
// maxKeepTime, and for less time again after a while without one.
func TestKeepTime(t *testing.T) {
	c := &Controller{}
	now := time.Unix(1000, 0)
	keep := func() time.Duration {
		c.CloseLower(testPool, 0, now)
		for d := time.Duration(0); ; d += 100 * time.Millisecond {
			if _, opened := step(t, c, now.Add(d)); opened {
				now = now.Add(d)
				return d
			}
		}
	}
	const ms = time.Millisecond
	for _, test := range []struct{ pause, want time.Duration }{
		{0, 200 * ms},
		{500 * ms, 400 * ms},
		{1000 * ms, 800 * ms},
		{0, 1600 * ms},
		{0, 2000 * ms},
		{900 * ms, 2000 * ms},
		{1500 * ms, 2000 * ms},
		{2000 * ms, 1000 * ms},
		{4000 * ms, 300 * ms},
		{100 * time.Second, 200 * ms},
	} {
		now = now.Add(test.pause)
		qt.Check(t, keep(), qt.Equals, test.want, qt.Commentf("after %v", test.pause))
	}
	total := c.Totals(now)[testPool]
	qt.Check(t, total.Closures, qt.Equals, 10)
	qt.Check(t, total.Lasted, qt.Equals, 10500*ms)
}
