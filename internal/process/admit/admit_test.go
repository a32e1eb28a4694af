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

// message is a question or an acknowledgement under way.
type message struct {
	from, to int
	ask      CloseRequest
	sent     time.Time
	isAck    bool
}

// model is a few nodes whose clocks run at different rates, and the messages
// between them, which can be late, lost or overtaken.
type model struct {
	controllers []*Controller
	rates       []float64
	start       time.Time
	elapsed     time.Duration
	flying      []message
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

func (m *model) ask(i int) {
	now := m.clock(i)
	for _, ask := range m.controllers[i].Pending(now) {
		m.controllers[i].Acknowledge(m.name(i), ask, now)
		for j := range m.controllers {
			if j != i {
				m.flying = append(m.flying, message{i, j, ask, now, false})
			}
		}
	}
}

func (m *model) deliver(at int) {
	msg := m.flying[at]
	m.flying = append(m.flying[:at], m.flying[at+1:]...)
	if msg.isAck {
		m.controllers[msg.to].Acknowledge(m.name(msg.from), msg.ask, msg.sent)
		return
	}
	m.controllers[msg.to].Close(msg.ask, m.clock(msg.to))
	m.flying = append(m.flying, message{msg.to, msg.from, msg.ask, msg.sent, true})
}

// check looks for a node that may shed a tier while another admits a lower
// one.
func (m *model) check(rt *rapid.T) {
	for i, k := range m.controllers {
		for tier := range ident.Tier(testTiers - 1) {
			if !k.CanShed(testPool, tier, testTiers-1, m.names(), m.clock(i)) {
				continue
			}
			for j, other := range m.controllers {
				if other.Admits(testPool, tier+1, m.clock(j)) {
					rt.Fatalf("after %s %s may shed tier %d while %s admits tier %d", m.elapsed, m.name(i), tier, m.name(j), tier+1)
				}
			}
		}
	}
}

// TestNeverShedBeforeLower searches random interleavings of pressure, delayed,
// lost and reordered messages and clocks that run up to 4% off.
func TestNeverShedBeforeLower(t *testing.T) {
	reached := false
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{start: time.Unix(1000, 0)}
		for i := range rapid.IntRange(2, 4).Draw(rt, "nodes") {
			m.controllers = append(m.controllers, &Controller{})
			m.rates = append(m.rates, rapid.Float64Range(0.96, 1.04).Draw(rt, fmt.Sprint("rate ", i)))
		}
		node := func(rt *rapid.T) int { return rapid.IntRange(0, len(m.controllers)-1).Draw(rt, "node") }
		rt.Repeat(map[string]func(*rapid.T){
			"press": func(rt *rapid.T) {
				i := node(rt)
				m.controllers[i].CloseLower(testPool, ident.Tier(rapid.IntRange(0, testTiers-1).Draw(rt, "tier")), m.clock(i))
			},
			"ask": func(rt *rapid.T) { m.ask(node(rt)) },
			"deliver": func(rt *rapid.T) {
				if len(m.flying) > 0 {
					m.deliver(rapid.IntRange(0, len(m.flying)-1).Draw(rt, "message"))
				}
			},
			"lose": func(*rapid.T) {
				if len(m.flying) > 0 {
					m.flying = m.flying[1:]
				}
			},
			"time": func(rt *rapid.T) {
				m.elapsed += time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				m.check(rt)
				for i, k := range m.controllers {
					reached = reached || k.CanShed(testPool, 0, testTiers-1, m.names(), m.clock(i))
				}
			},
		})
	})
	// The search is worth nothing if no node ever got the right to shed.
	qt.Assert(t, reached, qt.IsTrue)
}

// TestShedAfterAcks walks the whole exchange once.
func TestShedAfterAcks(t *testing.T) {
	a, b := &Controller{}, &Controller{}
	now := time.Unix(1000, 0)
	both := []ident.NodeID{"a", "b"}
	a.CloseLower(testPool, 1, now)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, now), qt.IsFalse)
	qt.Assert(t, a.CanShed(testPool, 3, 3, both, now), qt.IsTrue)
	asks := a.Pending(now)
	qt.Assert(t, asks, qt.DeepEquals, []CloseRequest{{testPool, 1}})
	a.Acknowledge("a", asks[0], now)
	b.Close(asks[0], now)
	qt.Assert(t, b.Admits(testPool, 2, now), qt.IsFalse)
	qt.Assert(t, b.Admits(testPool, 1, now), qt.IsTrue)
	a.Acknowledge("b", asks[0], now)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, now), qt.IsTrue)
	qt.Assert(t, a.CanShed(testPool, 0, 3, both, now), qt.IsFalse)
	later := now.Add(CloseTTL)
	qt.Assert(t, a.CanShed(testPool, 1, 3, both, later), qt.IsFalse)
	qt.Assert(t, b.Admits(testPool, 2, later), qt.IsTrue)
}
