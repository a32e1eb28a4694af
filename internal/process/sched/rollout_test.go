package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// rolloutCell returns a cell with old and new endpoints with the given numbers of slots.
func rolloutCell(oldSlots, newSlots int) *Cell {
	c := &Cell{ID: ident.CellID{Pool: "team/pool"}, Now: func() time.Time { return time.Unix(1000, 0) }}
	var specs []EndpointSpec
	for i := range 4 {
		specs = append(specs,
			EndpointSpec{ID: ident.Endpoint(fmt.Sprint("o", i)), Release: "v1", Slots: oldSlots},
			EndpointSpec{ID: ident.Endpoint(fmt.Sprint("n", i)), Release: "v2", Slots: newSlots})
	}
	c.Configure(testPool(), specs)
	return c
}

// submit submits a request that runs for ever.
func submit(c *Cell, name string, release *ident.Release) *GrantRequest {
	r := &GrantRequest{
		Request: ident.RequestID(name), Node: "a", Prompt: 10, Output: 10, Deadline: c.now().Add(time.Hour),
		Release: release, Route: "chat",
	}
	c.Submit(r)
	return r
}

// TestRolloutShare guards against a target that gets more of the grants than its share at
// any time, or less than its share while it has room.
func TestRolloutShare(t *testing.T) {
	for _, share := range []float64{0, 0.03, 0.08, 0.1, 0.25, 0.5, 0.75, 0.9, 1} {
		c := rolloutCell(1000, 1000)
		c.SetRollout(&Rollout{Target: "v2", Share: share})
		granted := 0
		for i := range 1000 {
			r := submit(c, fmt.Sprint(i), nil)
			qt.Assert(t, r.Response.Outcome, qt.Equals, Granted)
			if r.Response.Release == "v2" {
				granted++
			}
			qt.Assert(t, float64(granted) <= share*float64(i+1)+shareTolerance, qt.IsTrue, qt.Commentf("share %v: %d of %d", share, granted, i+1))
			qt.Assert(t, float64(granted) > share*float64(i+1)-1, qt.IsTrue, qt.Commentf("share %v: %d of %d", share, granted, i+1))
		}
	}
}

// TestRolloutUsableEndpoints guards against grants at endpoints of the target that may not
// be used yet.
func TestRolloutUsableEndpoints(t *testing.T) {
	c := rolloutCell(1000, 1000)
	c.SetRollout(&Rollout{Target: "v2", Share: 0.5, Usable: map[ident.Endpoint]bool{"n2": true}})
	counts := map[ident.Endpoint]int{}
	for i := range 100 {
		counts[submit(c, fmt.Sprint(i), nil).Response.Endpoint]++
	}
	qt.Check(t, counts["n2"], qt.Equals, 50)
	qt.Check(t, counts["n0"]+counts["n1"]+counts["n3"], qt.Equals, 0)
}

// TestRolloutWithoutRoom guards against requests that exceed the share, or use a release
// that gets none, because the permitted endpoints are full. At a share between 0 and 1 the
// other releases take the target's turns while it is full.
func TestRolloutWithoutRoom(t *testing.T) {
	for _, test := range []struct {
		share            float64
		oldSlots, slots  int
		oldGrants, grant int
	}{
		{0, 1, 100, 4, 0}, {1, 100, 1, 0, 4}, {0.5, 100, 1, 36, 4}, {0.25, 6, 100, 24, 8},
	} {
		c := rolloutCell(test.oldSlots, test.slots)
		c.SetRollout(&Rollout{Target: "v2", Share: test.share})
		for i := range 40 {
			submit(c, fmt.Sprint(i), nil)
		}
		counts := c.GrantedWithin(time.Second)
		qt.Check(t, counts["v1"], qt.Equals, test.oldGrants, qt.Commentf("%+v", test))
		qt.Check(t, counts["v2"], qt.Equals, test.grant, qt.Commentf("%+v", test))
	}
}

// TestRolloutExemptsBoundRequests guards against resumed streams that wait because their
// release gets no new requests, and against their counting towards the share.
func TestRolloutExemptsBoundRequests(t *testing.T) {
	v1, v2 := ident.Release("v1"), ident.Release("v2")
	c := rolloutCell(1000, 1000)
	c.SetRollout(&Rollout{Target: "v2", Share: 0, Usable: map[ident.Endpoint]bool{}})
	qt.Check(t, submit(c, "a", &v2).Response.Release, qt.Equals, v2)
	c.SetRollout(&Rollout{Target: "v2", Share: 1})
	qt.Check(t, submit(c, "b", &v1).Response.Release, qt.Equals, v1)
	c.SetRollout(&Rollout{Target: "v2", Share: 0.5})
	for i := range 10 {
		submit(c, fmt.Sprint("bound", i), &v1)
	}
	qt.Check(t, submit(c, "c", nil).Response.Release, qt.Equals, v1)
	qt.Check(t, submit(c, "d", nil).Response.Release, qt.Equals, v2)
}

// TestRolloutSealed guards against work that reaches the other releases when the platform is
// about to stop them, and against its loss if they go on.
func TestRolloutSealed(t *testing.T) {
	v1, v2 := ident.Release("v1"), ident.Release("v2")
	c := rolloutCell(1000, 1000)
	c.SetRollout(&Rollout{Target: "v2", Share: 1, IsSealed: true})
	waiting := submit(c, "a", &v1)
	qt.Check(t, waiting.Response.Outcome, qt.Equals, Waiting)
	qt.Check(t, submit(c, "b", &v2).Response.Release, qt.Equals, v2)
	c.SetRollout(&Rollout{Target: "v2", Share: 1})
	qt.Check(t, waiting.Response.Release, qt.Equals, v1)
}

// TestRolloutChangeGrantsWaiting guards against requests that stay queued although a
// change of the share, or the end of the rollout, permits endpoints with room.
func TestRolloutChangeGrantsWaiting(t *testing.T) {
	c := rolloutCell(1, 100)
	c.SetRollout(&Rollout{Target: "v2", Share: 0})
	var last *GrantRequest
	for i := range 5 {
		last = submit(c, fmt.Sprint(i), nil)
	}
	qt.Check(t, last.Response.Outcome, qt.Equals, Waiting)
	c.SetRollout(&Rollout{Target: "v2", Share: 1})
	qt.Check(t, last.Response.Release, qt.Equals, ident.Release("v2"))
	c.SetRollout(&Rollout{Target: "v2", Share: 0})
	last = submit(c, "x", nil)
	qt.Check(t, last.Response.Outcome, qt.Equals, Waiting)
	c.SetRollout(nil)
	qt.Check(t, last.Response.Outcome, qt.Equals, Granted)
}

// TestAnswered guards against answers that are counted twice or not at all, and against
// refusals and requests of callers that left being counted.
func TestAnswered(t *testing.T) {
	for _, test := range []struct {
		name                string
		stream              ident.RequestID
		hasFirst            bool
		end                 Completion
		answers, failed     int
		latencies, isBroken int
	}{
		{"plain", "", true, Completion{TimeToFirstToken: time.Second, IsWhole: true}, 1, 0, 1, 0},
		{"plain server error", "", true, Completion{TimeToFirstToken: time.Second, Erred: true}, 1, 1, 0, 0},
		{"plain crash", "", false, Completion{Failed: true, NoAnswer: true}, 1, 1, 0, 1},
		{"stream", "s", true, Completion{IsWhole: true}, 1, 0, 1, 0},
		{"stream that breaks", "s", true, Completion{Failed: true}, 1, 1, 1, 1},
		{"stream without a first event", "s", false, Completion{Failed: true}, 1, 1, 0, 1},
		{"refusal with ample room", "", false, Completion{Refused: true}, 1, 1, 0, 0},
		{"refusal of an endpoint that leaves", "", false, Completion{Refused: true, Leaving: true}, 0, 0, 0, 0},
		{"request for another pool", "", false, Completion{Refused: true, Failed: true}, 0, 0, 0, 0},
		{"caller left", "", false, Completion{Cancelled: true}, 0, 0, 0, 0},
		{"deadline before the answer", "", false, Completion{Cancelled: true, Output: -1}, 1, 1, 0, 0},
		{"deadline within the answer", "s", true, Completion{Cancelled: true, Output: -1}, 1, 0, 1, 0},
		{"unused", "", false, Completion{Unused: true}, 0, 0, 0, 0},
	} {
		c := rolloutCell(10, 10)
		now := time.Unix(1000, 0)
		c.Now = func() time.Time { return now }
		var answers, failed, latencies, broken int
		c.Answered = func(a Answer) {
			qt.Check(t, a.Route, qt.Equals, "chat")
			qt.Check(t, a.Class, qt.Equals, uint8(4))
			answers += count(a.IsNew)
			failed += count(a.Failed)
			broken += count(a.Broke)
			latencies += count(a.Latency > 0)
		}
		c.Submit(&GrantRequest{Request: "r", Node: "a", Prompt: 10, Output: 10, Deadline: now.Add(time.Hour), Stream: test.stream, Route: "chat"})
		now = now.Add(100 * time.Millisecond)
		if test.hasFirst {
			c.FirstToken("r")
			c.FirstToken("r")
		}
		if test.end.Output < 0 {
			now = now.Add(time.Hour)
		}
		c.Complete("r", test.end)
		qt.Check(t, []int{answers, failed, latencies, broken}, qt.DeepEquals, []int{test.answers, test.failed, test.latencies, test.isBroken}, qt.Commentf(test.name))
	}
}

// TestAnsweredFull guards against refusals for want of room that count as failures.
func TestAnsweredFull(t *testing.T) {
	c := rolloutCell(1, 1)
	c.Answered = func(a Answer) { t.Errorf("the refusal was reported: %+v", a) }
	submit(c, "r", nil)
	c.Complete("r", Completion{Refused: true})
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
