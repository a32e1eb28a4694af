package fleet

import (
	"crypto/ed25519"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/cloud"
)

// ledgerOf reads and verifies what the object store holds.
func (c *testCase) ledgerOf() []ledger.Record {
	var all []ledger.Block
	for name, raw := range c.fleet.Platform.Objects() {
		if strings.HasPrefix(name, ledger.Prefix) {
			blocks, err := ledger.Unpack(raw)
			qt.Assert(c.t, err, qt.IsNil)
			all = append(all, blocks...)
		}
	}
	public, ok := c.fleet.LedgerKey.Public().(ed25519.PublicKey)
	qt.Assert(c.t, ok, qt.IsTrue)
	qt.Assert(c.t, ledger.Verify(all, public), qt.HasLen, 0)
	return ledger.Merge(all)
}

func eventsOf(records []ledger.Record, id ident.RequestID) map[trace.Event]bool {
	events := map[trace.Event]bool{}
	for _, r := range records {
		if r.Request == id {
			events[r.Event] = true
		}
	}
	return events
}

// TestLedger answers requests under faults of the ledger's own steps and checks
// that the object store alone tells, in the end, what was decided.
func TestLedger(t *testing.T) {
	for name, fault := range map[string]func(*testCase){
		"none": func(*testCase) {},
		// The node dies after its blocks were copied and before they were
		// written.
		"entry_node_dies": func(c *testCase) {
			time.Sleep(2 * ledger.CutInterval)
			c.kill(c.entryNode())
		},
		"cell_node_dies": func(c *testCase) {
			time.Sleep(2 * ledger.CutInterval)
			c.kill(c.cellNode())
		},
		"store_away": func(c *testCase) {
			c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{Down: op.Table != cloud.InstanceTable} })
			c.after(10*time.Minute, func() { c.fleet.Platform.SetFault(nil) })
			time.Sleep(10 * time.Minute)
		},
		"store_loses_answers": func(c *testCase) {
			c.platformFault(cloud.Fault{LoseAnswer: true})
			time.Sleep(faultTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCase(t, "chat", nil)
				defer c.stop()
				a := c.send(0)
				qt.Assert(t, a.whole, qt.IsTrue)
				fault(c)
				time.Sleep(time.Minute)
				records := c.ledgerOf()
				events := eventsOf(records, a.id)
				for _, want := range []trace.Event{trace.Accepted, trace.Granted, trace.Dispatched, trace.Finished} {
					qt.Assert(t, events[want], qt.IsTrue, qt.Commentf("%s is missing: %v", want, events))
				}
				checkOrder(t, records, a.id)
			})
		})
	}
}

// checkOrder checks that the clocks put cause before effect, over nodes.
func checkOrder(t *testing.T, records []ledger.Record, id ident.RequestID) {
	order := []trace.Event{trace.Accepted, trace.GrantRequested, trace.Granted, trace.GrantTaken, trace.Dispatched, trace.Finished}
	at := 0
	for _, r := range records {
		if r.Request == id && at < len(order) && r.Event == order[at] {
			at++
		}
	}
	qt.Assert(t, at, qt.Equals, len(order))
}
