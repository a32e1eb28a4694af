package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/engine"
)

const (
	// stopGrace is the grace period in settingsFormat, and stopCutFrom the time after SIGTERM
	// from which requests that were sent in the first stopServeTime may be cut.
	stopGrace     = 8 * time.Second
	stopCutFrom   = stopGrace * 5 / 6
	stopServeTime = 3 * time.Second
	// stopInterval is the time between the signals to two nodes.
	stopInterval = 300 * time.Millisecond
	stopSteady   = 2 * time.Second
	// stopTimeout is the timeout of the routes, so long that a request which is not served
	// is still open at the end of the grace period.
	stopTimeout = 20 * time.Second
	// stopSlowStart is when a slow caller asks the first node for a file, so that it has all of
	// it shortly before the end of the grace period.
	stopSlowStart = 1800 * time.Millisecond
	// stopMinShare is the least share of the usual answers in each second in which the
	// stopping nodes still serve.
	stopMinShare = 0.5
)

// TestAllNodesStop guards against requests that nobody answers when all nodes get SIGTERM within
// two seconds, and against a fleet in which nobody serves until the first of them is back.
func TestAllNodesStop(t *testing.T) {
	program := filepath.Join(t.TempDir(), "goldcrestwick")
	out, err := exec.Command("go", "build", "-o", program, "goldcrestwick/cmd/goldcrestwick").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	r := &run{Options: Options{Nodes: 5, Seed: 1}, start: time.Now()}
	r.world, err = newWorld(program, t.ArtifactDir(), r.Nodes, nil)
	qt.Assert(t, err, qt.IsNil)
	defer r.world.close()
	startCtx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	qt.Assert(t, r.world.waitReady(startCtx, r.Nodes), qt.IsNil)
	r.world.setTimeout(stopTimeout)
	time.Sleep(stopSteady / 2)

	ctx, stopCallers := context.WithCancel(t.Context())
	var callers, ended sync.WaitGroup
	for i := range 24 {
		callers.Go(func() { r.keepSending(ctx, i) })
	}
	time.Sleep(2 * stopSteady)
	stopped, gone := map[string]time.Time{}, map[string]time.Time{}
	var mu sync.Mutex
	first := time.Now()
	for _, n := range r.world.nodes {
		mu.Lock()
		stopped[n.name] = time.Now()
		mu.Unlock()
		n.signal(syscall.SIGTERM)
		ended.Go(func() {
			qt.Check(t, n.wait(), qt.IsNil)
			mu.Lock()
			gone[n.name] = time.Now()
			mu.Unlock()
			qt.Check(t, n.start(), qt.IsNil)
		})
		time.Sleep(stopInterval)
	}
	callers.Go(func() {
		// Its endpoint is done at once, and the answer can still be delivered in time.
		rec := record{id: "slow", kind: "file", node: "n0", readSlowly: true}
		address := r.world.addresses()["n0"]
		time.Sleep(time.Until(first.Add(stopSlowStart)))
		rec.send(ctx, newSlowClient(), address)
		qt.Check(t, len(rec.body), qt.Equals, fileBytes, qt.Commentf("an answer that a caller read slowly, until %.2fs", rec.end.Sub(first).Seconds()))
	})
	for _, n := range r.world.nodes {
		n.signal(syscall.SIGTERM) // operators repeat it.
	}
	ended.Wait()
	time.Sleep(stopSteady)
	stopCallers()
	callers.Wait()
	r.checkStopped(t, first, stopped, gone)
}

// setTimeout changes the timeout of all routes.
func (w *world) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	w.timeout = timeout
	w.mu.Unlock()
	w.writeSettings()
}

// keepSending sends requests to nodes at random until ctx is done, several on a connection.
func (r *run) keepSending(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(number)))
	kinds := []string{"chat", "label", "label", "book", "read"}
	for i := 0; ctx.Err() == nil; {
		node, address := r.chooseNode(random)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: stopTimeout}
		for range 1 + random.IntN(4) {
			rec := record{id: fmt.Sprintf("s%d-%d", number, i), kind: kinds[random.IntN(len(kinds))], node: node}
			i++
			rec.send(ctx, client, address)
			if ctx.Err() != nil {
				return
			}
			r.add(rec)
			time.Sleep(time.Duration(random.Int64N(int64(callerPause))))
			if rec.err != nil || rec.isCut || rec.status != http.StatusOK {
				break
			}
		}
		client.CloseIdleConnections()
	}
}

// checkStopped checks that the nodes answered all requests that they read, but for those that
// they may cut, and that callers were served while the nodes took requests.
func (r *run) checkStopped(t *testing.T, first time.Time, stopped, gone map[string]time.Time) {
	arrivals, whole, refused := map[string]int{}, map[int]int{}, 0
	for _, e := range slices.Concat(r.world.models, r.world.apps) {
		for _, a := range e.ReceivedRequests() {
			arrivals[a.Header.Get(engine.AttemptIDHeader)]++
		}
	}
	for _, rec := range r.records {
		var dial *net.OpError
		isUnconnected := errors.As(rec.err, &dial) && dial.Op == "dial"
		at := stopped[rec.node]
		mayCut := rec.start.Before(at.Add(stopServeTime)) && rec.end.After(at.Add(stopCutFrom)) && arrivals[rec.id] > 0
		switch {
		case rec.status == http.StatusOK && !rec.isCut:
			whole[int(rec.end.Sub(first).Seconds()+100)-100]++
		case rec.status == http.StatusServiceUnavailable:
			refused++
			qt.Check(t, arrivals[rec.id], qt.Equals, 0, qt.Commentf("%s %s was refused as not run", rec.kind, rec.id))
		case isUnconnected, rec.status != 0 && !rec.isCut, mayCut:
		case arrivals[rec.id] > 0, rec.end.Sub(rec.start) > lostTime:
			t.Errorf("%s %s at %s got no whole answer: sent %.2fs after SIGTERM, %d arrivals, closed at %.2fs, the process ended at %.2fs: %v",
				rec.kind, rec.id, rec.node, rec.start.Sub(at).Seconds(), arrivals[rec.id], rec.end.Sub(at).Seconds(), gone[rec.node].Sub(at).Seconds(), rec.err)
		}
	}
	t.Logf("%d requests, %d refused, whole answers by second after the first SIGTERM: %v", len(r.records), refused, whole)
	usual := float64(whole[-2]+whole[-1]) / 2
	for second := range int(stopServeTime.Seconds()) {
		qt.Check(t, float64(whole[second]) >= stopMinShare*usual, qt.IsTrue, qt.Commentf("%d answers in second %d, usually %.0f", whole[second], second, usual))
	}
}
