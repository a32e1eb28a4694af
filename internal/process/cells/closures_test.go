package cells

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

const closurePool = ident.PoolID("t/p")

// closureFleet is the two members a and b, connected by pipes.
type closureFleet struct {
	a, b   *Manager
	names  []ident.NodeID
	cancel func()
	done   chan struct{}
	// fails reports whether a stream to b cannot be opened; opens counts the attempts.
	fails atomic.Pointer[func() bool]
	opens atomic.Int32
	view  atomic.Pointer[member.View]
	muxes map[string]*link.Mux
}

func newClosureFleet(t *testing.T) *closureFleet {
	f := &closureFleet{names: []ident.NodeID{"a", "b"}, done: make(chan struct{}, 2), muxes: map[string]*link.Mux{}}
	view := &member.View{}
	for _, name := range f.names {
		view.Members = append(view.Members, member.Member{ID: name, PeerAddress: string(name), State: member.Ready})
	}
	f.view.Store(view)
	f.a, f.b = f.newManager(t, view.Members[0]), f.newManager(t, view.Members[1])
	return f
}

func (f *closureFleet) newManager(t *testing.T, self member.Member) *Manager {
	m, _ := newStandbyManager(t)
	m.Tree().Pool(closurePool).Team.Tiers = []*config.Tier{{Name: "high"}, {Name: "low", Rank: 1}}
	m.Self = func() member.Member { return self }
	m.Members = f.view.Load
	m.InFlight = func(ident.CellID) []sched.InFlight { return nil }
	m.Open = f.open
	f.muxes[self.PeerAddress] = &link.Mux{}
	m.Register(f.muxes[self.PeerAddress])
	return m
}

func (f *closureFleet) open(ctx context.Context, address string) (*link.Stream, error) {
	if address == "b" {
		f.opens.Add(1)
		if fails := f.fails.Load(); fails != nil && (*fails)() {
			return nil, errRefused
		}
	}
	near, far := net.Pipe()
	go func() {
		f.muxes[address].Serve(ctx, link.NewStream(far))
		far.Close() //nolint:errcheck // a pipe.
	}()
	return link.NewStream(near), nil
}

func (f *closureFleet) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	for _, m := range []*Manager{f.a, f.b} {
		go func() {
			m.Run(ctx)
			f.done <- struct{}{}
		}()
	}
	synctest.Wait()
}

func (f *closureFleet) stop() {
	f.cancel()
	for range f.names {
		<-f.done
	}
}

// TestMembersOpenTiers guards against lower tiers that stay closed in other cells after the need
// has ended: members open them within 300 ms of it, or as soon as one of the later requests
// arrives, and if none does, when the closure's time ends, which begins with the last close
// request: it may be sent in the keep time of 200 ms or the step of 50 ms after it. The closure is requested by a cell for a
// request that waits, and sheds what waits in the cell itself.
func TestMembersOpenTiers(t *testing.T) {
	for _, test := range []struct {
		name string
		// failsFor is how long no stream to the member can be opened after the first attempt
		// to open its tiers, and leavesView whether it leaves the view then.
		failsFor   time.Duration
		leavesView bool
		opensIn    time.Duration
		attempts   int32
	}{
		{"connected", 0, false, 300 * time.Millisecond, 1},
		{"one failure", time.Millisecond, false, 400 * time.Millisecond, 2},
		{"dials fail without an attempt", 500 * time.Millisecond, false, time.Second, 3},
		{"cut off", time.Hour, false, admit.CloseTTL + 260*time.Millisecond, 3},
		{"left", time.Hour, true, admit.CloseTTL + 260*time.Millisecond, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testMembersOpenTiers(t, test.failsFor, test.leavesView, test.opensIn, test.attempts)
			})
		})
	}
}

func testMembersOpenTiers(t *testing.T, failsFor time.Duration, leavesView bool, opensIn time.Duration, attempts int32) {
	f := newClosureFleet(t)
	var lasted atomic.Int64
	f.a.OpenedLower = func(_ ident.PoolID, _ ident.Tier, d time.Duration) { lasted.Store(int64(d)) }
	f.run(t)
	defer f.stop()
	cell := f.a.StandbyCell(ident.CellID{Pool: closurePool}, false)
	woken := make(chan *sched.GrantRequest, 3)
	submit := func(name ident.RequestID, tier ident.Tier, deadline time.Duration) *sched.GrantRequest {
		r := &sched.GrantRequest{Request: name, Tier: tier, Deadline: time.Now().Add(deadline)}
		r.Wake = func() { woken <- r }
		cell.Submit(r)
		return r
	}
	submit("running", 0, time.Minute)
	lower := submit("lower", 1, time.Minute)
	waiting := submit("waiting", 0, 4*time.Second)
	qt.Assert(t, woken, qt.HasLen, 0)
	time.Sleep(time.Second)
	qt.Check(t, f.b.admission.Level(closurePool, time.Now()), qt.Equals, admit.AdmitAll)
	time.Sleep(1500 * time.Millisecond) // the cell closes the lower tier after half of the request's time.
	qt.Check(t, f.b.admission.Level(closurePool, time.Now()), qt.Equals, ident.Tier(0))
	qt.Check(t, f.a.admission.CanShed(closurePool, 0, 1, f.names, time.Now()), qt.IsTrue)
	qt.Assert(t, woken, qt.HasLen, 1)
	qt.Check(t, <-woken == lower, qt.IsTrue)
	qt.Check(t, lower.Response.Reason, qt.Equals, sched.ReasonTierClosed)
	qt.Check(t, lasted.Load(), qt.Equals, int64(0))

	var firstFailure time.Time
	var mu sync.Mutex
	fails := func() bool {
		mu.Lock()
		defer mu.Unlock()
		if f.a.admission.Level(closurePool, time.Now()) < admit.AdmitAll {
			return false // it is not the opening.
		}
		if firstFailure.IsZero() {
			firstFailure = time.Now()
		}
		return time.Since(firstFailure) < failsFor
	}
	f.fails.Store(&fails)
	ended := time.Now()
	cell.Cancel(waiting)
	for f.a.admission.Level(closurePool, time.Now()) < admit.AdmitAll && time.Since(ended) < time.Second {
		f.opens.Store(0)
		time.Sleep(5 * time.Millisecond)
	}
	if leavesView {
		f.view.Store(&member.View{Members: f.view.Load().Members[:1]})
	}
	time.Sleep(time.Until(ended.Add(opensIn)))
	qt.Check(t, f.b.admission.Level(closurePool, time.Now()), qt.Equals, admit.AdmitAll)
	qt.Check(t, f.opens.Load() <= attempts, qt.IsTrue, qt.Commentf("%d attempts", f.opens.Load()))
	qt.Check(t, lasted.Load() > 0 && time.Duration(lasted.Load()) <= time.Second, qt.IsTrue, qt.Commentf("%v", time.Duration(lasted.Load())))
}

// TestStaleCloseRequestIsNotAcknowledged guards against a member that acknowledges a close request
// which it does not apply because its sender has opened the tiers since: the sender could shed a
// higher tier while this member admits lower ones. The answer to a request of an earlier epoch is
// no failure either.
func TestStaleCloseRequestIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClosureFleet(t)
		var failures atomic.Int32
		f.a.CloseRequestFailed = func(ident.NodeID, error) { failures.Add(1) }
		f.run(t)
		defer f.stop()
		send := func(epoch uint64, level ident.Tier) error {
			message := wire.FromCloseRequest("a", admit.CloseRequest{Pool: closurePool, Level: level, Run: 7, Epoch: epoch})
			_, err := link.Call[wire.CloseTiers, wire.Empty](t.Context(), f.open, "b", wire.KindCloseTiers, message)
			return err
		}
		qt.Check(t, send(2, admit.AdmitAll), qt.IsNil)
		qt.Check(t, send(1, 0), qt.IsNotNil)
		qt.Check(t, f.b.admission.Level(closurePool, time.Now()), qt.Equals, admit.AdmitAll)
		qt.Check(t, send(2, 0), qt.IsNil)
		qt.Check(t, f.b.admission.Level(closurePool, time.Now()), qt.Equals, ident.Tier(0))

		to := f.view.Load().Members[1]
		f.a.trySendCloseRequest(t.Context(), to, admit.CloseRequest{Pool: closurePool, Level: admit.AdmitAll, Run: 7, Epoch: 1})
		qt.Check(t, failures.Load(), qt.Equals, int32(0))
	})
}

// TestOpeningWaitsForCells guards against members that open lower tiers while a cell of the
// requesting node still sheds a higher tier by the acknowledgements of before: the opening is sent
// only when each cell has ended the decision that it was at.
func TestOpeningWaitsForCells(t *testing.T) {
	f := newClosureFleet(t)
	deciding, decide := make(chan struct{}), make(chan struct{})
	f.a.Observe = func(d sched.Decision) {
		if d.Request.Request == "blocking" {
			close(deciding)
			<-decide // the cell's lock is held.
		}
	}
	cell := f.a.StandbyCell(ident.CellID{Pool: closurePool}, false)
	go cell.Submit(&sched.GrantRequest{Request: "blocking", Deadline: time.Now().Add(time.Minute)})
	select {
	case <-deciding:
	case <-time.After(10 * time.Second):
		t.Fatal(eris.New("the cell has made no decision"))
	}
	f.a.admission.CloseLower(closurePool, 0, time.Now())
	requests := f.a.admission.Pending()
	qt.Assert(t, requests, qt.HasLen, 1)
	requests[0].Level = admit.AdmitAll
	sent := make(chan struct{})
	go func() {
		f.a.broadcast(t.Context(), requests[0], time.Now())
		f.a.tasks.Wait()
		close(sent)
	}()
	time.Sleep(50 * time.Millisecond)
	qt.Check(t, f.opens.Load(), qt.Equals, int32(0))
	close(decide)
	<-sent
	qt.Check(t, f.opens.Load(), qt.Equals, int32(1))
}
