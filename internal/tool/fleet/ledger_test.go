package fleet

import (
	"crypto/ed25519"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/stand/cloud"
)

// readLedger reads the ledger from the object store and verifies it.
func (c *testCase) readLedger() []ledger.Record {
	var blocks []ledger.Block
	for name, raw := range c.fleet.Platform.Objects() {
		if strings.HasPrefix(name, ledger.Prefix) {
			unpacked, err := ledger.Unpack(raw)
			qt.Assert(c.t, err, qt.IsNil)
			blocks = append(blocks, unpacked...)
		}
	}
	public, ok := c.fleet.LedgerKey.Public().(ed25519.PublicKey)
	qt.Assert(c.t, ok, qt.IsTrue)
	qt.Assert(c.t, ledger.Verify(blocks, public), qt.HasLen, 0)
	return ledger.Merge(blocks)
}

func eventsOfRequest(records []ledger.Record, id ident.RequestID) map[trace.Event]bool {
	events := map[trace.Event]bool{}
	for _, r := range records {
		if r.Request == id {
			events[r.Event] = true
		}
	}
	return events
}

// TestLedger injects faults between the replication of ledger blocks and their
// write to the object store, and checks that in the end the objects alone hold
// all steps of the request.
func TestLedger(t *testing.T) {
	for name, fault := range map[string]func(*testCase){
		"none": func(*testCase) {},
		// The node crashes after its blocks were replicated and before they
		// were written to the store.
		"entry_node_down": func(c *testCase) {
			time.Sleep(2 * ledger.BlockInterval)
			c.kill(c.entryNode())
		},
		"cell_node_down": func(c *testCase) {
			time.Sleep(2 * ledger.BlockInterval)
			c.kill(c.cellNode())
		},
		"store_down": func(c *testCase) {
			c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{Unavailable: op.Table != cloud.InstanceTable} })
			c.after(10*time.Minute, func() { c.fleet.Platform.SetFault(nil) })
			time.Sleep(10 * time.Minute)
		},
		"store_lost_response": func(c *testCase) {
			c.platformFault(cloud.Fault{DropResponse: true})
			time.Sleep(faultTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCase(t, "chat", nil)
				defer c.stop()
				a := c.sendSubject(0)
				qt.Assert(t, a.complete, qt.IsTrue)
				fault(c)
				time.Sleep(time.Minute)
				records := c.readLedger()
				events := eventsOfRequest(records, a.id)
				for _, want := range []trace.Event{trace.Accepted, trace.Granted, trace.Dispatched, trace.Finished} {
					qt.Assert(t, events[want], qt.IsTrue, qt.Commentf("%s is missing: %v", want, events))
				}
				checkOrder(t, records, a.id)
			})
		})
	}
}

// checkOrder checks that the hybrid logical clocks of the nodes order the steps
// of a request causally.
func checkOrder(t *testing.T, records []ledger.Record, id ident.RequestID) {
	steps := []trace.Event{trace.Accepted, trace.GrantRequested, trace.Granted, trace.GrantTaken, trace.Dispatched, trace.Finished}
	next := 0
	for _, r := range records {
		if r.Request == id && next < len(steps) && r.Event == steps[next] {
			next++
		}
	}
	qt.Assert(t, next, qt.Equals, len(steps))
}
