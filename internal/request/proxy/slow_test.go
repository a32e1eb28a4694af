package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/stand/engine"
	"goldcrestwick/internal/version/config"
)

// TestSlowCaller guards against an endpoint that cuts off an answer because its caller reads
// 1 kB/s, and against a slot or a body's memory that stays taken while the caller reads.
func TestSlowCaller(t *testing.T) {
	for name, answer := range map[string]engine.Behaviour{
		"stream": {FirstEvent: 1, LastEvent: 1200}, "answer": {Body: strings.Repeat("0123456789", 3000)},
		"long_answer": {Body: strings.Repeat("0123456789", 30000)},
	} {
		t.Run(name, func(t *testing.T) {
			runSlow(t, 1<<20, func(n *slowNode) {
				n.start()
				n.answer = answer
				want := answer.Body
				if answer.LastEvent > 0 {
					want = eventsOf(1, answer.LastEvent)
				} else {
					n.kind = config.Idempotent
				}
				began := time.Now()
				got, err := read(n.call("a"))
				synctest.Wait()
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got == want, qt.IsTrue, qt.Commentf("%d bytes of %d", len(got), len(want)))
				result, ok := n.result("a")
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, result.Truncated, qt.IsFalse)
				qt.Check(t, result.Status, qt.Equals, http.StatusOK)
				qt.Check(t, n.completed("a").Sub(began) < time.Second, qt.IsTrue, qt.Commentf("complete after %s", n.completed("a").Sub(began)))
				qt.Check(t, time.Since(began) > 20*time.Second, qt.IsTrue)
				n.mu.Lock()
				defer n.mu.Unlock()
				qt.Check(t, n.bodyDroppedAt, qt.Equals, n.completedAt["a"])
			})
		})
	}
}

// TestSlowCallerWithoutBudget checks that without a budget the caller sets the endpoint's
// pace, as it does where the settings state no memory, and that the cut shows.
func TestSlowCallerWithoutBudget(t *testing.T) {
	runSlow(t, 0, func(n *slowNode) {
		n.start()
		n.answer = engine.Behaviour{FirstEvent: 1, LastEvent: 1200}
		c := n.call("a")
		time.Sleep(2 * unreadTimeout)
		_, err := read(c)
		qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// TestStoppedCaller guards against a caller that stops reading and keeps the budget from
// others for good, against giving it up while nobody else needs the budget or before others
// of a higher tier, and against an answer that looks whole though its caller was given up.
func TestStoppedCaller(t *testing.T) {
	runSlow(t, 24<<10, func(n *slowNode) {
		n.start()
		n.answer = engine.Behaviour{FirstEvent: 1, LastEvent: 400}
		n.unread = time.Hour
		high, low := n.call("high"), n.call("low")
		time.Sleep(10 * memory.AnswerStallTime)
		qt.Assert(t, n.abandoned(), qt.HasLen, 0)
		var bodies sync.WaitGroup
		bodies.Go(func() {
			body, err := read(n.call("sound"))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, eventsOf(1, 400))
		})
		bodies.Wait()
		qt.Assert(t, len(n.abandoned()) > 0, qt.IsTrue)
		qt.Check(t, n.abandoned()[0], qt.Equals, "low")
		_, err := read(low)
		qt.Check(t, err, qt.IsNotNil)
		result, _ := n.result("low")
		qt.Check(t, result.Truncated, qt.IsTrue)
		qt.Check(t, result.Reason, qt.Equals, "the caller read nothing while others needed the memory")
		high.Close() //nolint:errcheck // the test is over.
	})
}

// TestManySlowCallers guards against a budget that is exceeded, and events that are lost or
// out of order, when many slow callers need far more than there is. The endpoints wait.
func TestManySlowCallers(t *testing.T) {
	const limit, callers = 64 << 10, 40
	runSlow(t, limit, func(n *slowNode) {
		n.start()
		n.answer, n.unread = engine.Behaviour{FirstEvent: 1, LastEvent: 400, EventInterval: 20 * time.Millisecond}, time.Hour
		ctx, cancel := context.WithCancel(n.t.Context())
		var sampler, reads sync.WaitGroup
		most := int64(0)
		sampler.Go(func() {
			for ctx.Err() == nil {
				most = max(most, n.budget.Stats().Held)
				time.Sleep(10 * time.Millisecond)
			}
		})
		whole := 0
		for i := range callers {
			reads.Go(func() {
				body, err := read(n.call(fmt.Sprint([]string{"low", "high"}[i%2], i)))
				if qt.Check(t, err, qt.IsNil) && qt.Check(t, body, qt.Equals, eventsOf(1, 400)) {
					n.mu.Lock()
					defer n.mu.Unlock()
					whole++
				}
			})
		}
		reads.Wait()
		cancel()
		sampler.Wait()
		stats := n.budget.Stats()
		t.Logf("most bytes held %d of %d, pauses %d, given up %d, whole %d of %d", most, limit, stats.Pauses, stats.GivenUp, whole, callers)
		qt.Check(t, most <= limit, qt.IsTrue)
		qt.Check(t, most > limit/2, qt.IsTrue)
		qt.Check(t, whole, qt.Equals, callers)
		qt.Check(t, stats.GivenUp, qt.Equals, int64(0))
	})
}

// TestCallerLeaves guards against a request that runs on at its endpoint, or bytes that stay
// held, after a caller has left while its answer was buffered.
func TestCallerLeaves(t *testing.T) {
	for _, limit := range []int64{1 << 20, 8 << 10} {
		runSlow(t, limit, func(n *slowNode) {
			n.start()
			n.answer = engine.Behaviour{FirstEvent: 1, LastEvent: 4000, EventInterval: 5 * time.Millisecond}
			c := n.call("a")
			time.Sleep(2 * time.Second)
			qt.Assert(t, n.budget.Stats().Held > 0, qt.IsTrue)
			c.Close() //nolint:errcheck // the caller leaves.
			left := time.Now()
			time.Sleep(500 * time.Millisecond)
			qt.Check(t, n.budget.Stats().Held, qt.Equals, int64(0))
			result, ok := n.result("a")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, result.Truncated, qt.IsTrue)
			qt.Check(t, result.Reason, qt.Equals, "the caller went away")
			qt.Check(t, n.completed("a").Sub(left) < 100*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestShutdownWaits guards against a graceful shutdown that cuts an answer which its endpoint
// has sent whole and its caller has not read yet.
func TestShutdownWaits(t *testing.T) {
	runSlow(t, 1<<20, func(n *slowNode) {
		n.start()
		n.answer = engine.Behaviour{FirstEvent: 1, LastEvent: 400}
		c := n.call("a")
		time.Sleep(time.Second)
		qt.Assert(t, n.completed("a").IsZero(), qt.IsFalse)
		var shutdown sync.WaitGroup
		shutdown.Go(func() { qt.Check(t, n.server.Shutdown(context.Background()), qt.IsNil) })
		body, err := read(c)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, eventsOf(1, 400))
		c.Close() //nolint:errcheck // the caller has everything.
		shutdown.Wait()
	})
}

// TestEndpointReadsBodySlowly guards against a body that is lost or sent twice when an
// endpoint reads it slowly, and against an answer that waits for it to be read.
func TestEndpointReadsBodySlowly(t *testing.T) {
	runSlow(t, 1<<20, func(n *slowNode) {
		n.start()
		n.kind, n.answer = config.Idempotent, engine.Behaviour{Body: "done"}
		n.body, n.bodyPace = []byte(strings.Repeat("x", 100<<10)), 100*time.Millisecond
		body, err := read(n.call("a"))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "done")
		result, _ := n.result("a")
		qt.Check(t, result.Attempts, qt.Equals, 1)
	})
}

// TestPromptCaller guards against a delay or a buffer for a caller that keeps up.
func TestPromptCaller(t *testing.T) {
	runSlow(t, 1<<20, func(n *slowNode) {
		n.start()
		n.answer = engine.Behaviour{FirstEvent: 1, LastEvent: 100, EventInterval: 30 * time.Millisecond}
		began := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(n.call("a")), nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, eventsOf(1, 100))
		// The time is exact because it is the fake time of the test's bubble.
		qt.Check(t, time.Since(began), qt.Equals, 100*30*time.Millisecond)
		qt.Check(t, n.budget.Stats().Pauses, qt.Equals, int64(0))
	})
}
