package admit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/request/ident"
)

const (
	testPool  = ident.PoolID("team/pool")
	testTiers = 4
)

// message is a close request or an acknowledgement in transit.
type message struct {
	from, to int
	request  CloseRequest
	sent     time.Time
	isAck    bool
}

// model simulates nodes whose clocks run at different rates, and the messages
// between them, which can be delayed, lost or reordered.
type model struct {
	controllers []*Controller
	rates       []float64
	start       time.Time
	elapsed     time.Duration
	inTransit   []message
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

func (m *model) sendRequests(i int) {
	now := m.clock(i)
	for _, request := range m.controllers[i].Pending(now) {
		m.controllers[i].Acknowledge(m.name(i), request, now)
		for j := range m.controllers {
			if j != i {
				m.inTransit = append(m.inTransit, message{i, j, request, now, false})
			}
		}
	}
}

func (m *model) deliver(at int) {
	msg := m.inTransit[at]
	m.inTransit = append(m.inTransit[:at], m.inTransit[at+1:]...)
	if msg.isAck {
		m.controllers[msg.to].Acknowledge(m.name(msg.from), msg.request, msg.sent)
		return
	}
	m.controllers[msg.to].Close(msg.request, m.clock(msg.to))
	m.inTransit = append(m.inTransit, message{msg.to, msg.from, msg.request, msg.sent, true})
}

// check fails the test if a node can shed a tier while any node, itself included,
// admits the next lower one. A node that admits any lower tier admits that one too.
func (m *model) check(rt *rapid.T) {
	for i, c := range m.controllers {
		for tier := range ident.Tier(testTiers - 1) {
			if !c.CanShed(testPool, tier, testTiers-1, m.names(), m.clock(i)) {
				continue
			}
			for j, other := range m.controllers {
				if other.Admits(testPool, tier+1, m.clock(j)) {
					rt.Fatalf("after %s %s can shed tier %d while %s admits tier %d", m.elapsed, m.name(i), tier, m.name(j), tier+1)
				}
			}
		}
	}
}

// TestLowerTiersClosedBeforeShed checks random interleavings of wanted levels and
// delayed, lost or reordered messages, with clock rates that are off by up to 4%.
func TestLowerTiersClosedBeforeShed(t *testing.T) {
	reached := false
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{start: time.Unix(1000, 0)}
		for i := range rapid.IntRange(2, 4).Draw(rt, "nodes") {
			m.controllers = append(m.controllers, &Controller{})
			m.rates = append(m.rates, rapid.Float64Range(0.96, 1.04).Draw(rt, fmt.Sprint("rate ", i)))
		}
		node := func(rt *rapid.T) int { return rapid.IntRange(0, len(m.controllers)-1).Draw(rt, "node") }
		rt.Repeat(map[string]func(*rapid.T){
			"request_close": func(rt *rapid.T) {
				i := node(rt)
				m.controllers[i].CloseLower(testPool, ident.Tier(rapid.IntRange(0, testTiers-1).Draw(rt, "tier")), m.clock(i))
			},
			"broadcast": func(rt *rapid.T) { m.sendRequests(node(rt)) },
			"deliver": func(rt *rapid.T) {
				if len(m.inTransit) > 0 {
					m.deliver(rapid.IntRange(0, len(m.inTransit)-1).Draw(rt, "message"))
				}
			},
			"drop": func(*rapid.T) {
				if len(m.inTransit) > 0 {
					m.inTransit = m.inTransit[1:]
				}
			},
			"wait": func(rt *rapid.T) {
				m.elapsed += time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				m.check(rt)
				for i, c := range m.controllers {
					reached = reached || c.CanShed(testPool, 0, testTiers-1, m.names(), m.clock(i))
				}
			},
		})
	})
	// The check is vacuous if no node was ever allowed to shed.
	qt.Assert(t, reached, qt.IsTrue)
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
	requests := a.Pending(now)
	qt.Assert(t, requests, qt.DeepEquals, []CloseRequest{{testPool, 1}})
	a.Acknowledge("a", requests[0], now)
	b.Close(requests[0], now)
	qt.Assert(t, b.Admits(testPool, 2, now), qt.IsFalse)
	qt.Assert(t, b.Admits(testPool, 1, now), qt.IsTrue)
	a.Acknowledge("b", requests[0], now)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, now), qt.IsTrue)
	qt.Assert(t, a.CanShed(testPool, 0, 3, both, now), qt.IsFalse)
	later := now.Add(CloseTTL)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, later), qt.IsFalse)
	qt.Assert(t, b.Admits(testPool, 2, later), qt.IsTrue)
}
