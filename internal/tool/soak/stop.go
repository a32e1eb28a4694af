package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	stopNodes   = 5
	stopCallers = 24
	// stopGrace is the grace period in settingsFormat, and stopCutFrom the time after SIGTERM
	// from which requests that were sent in the first stopServeTime may be cut.
	stopGrace     = 8 * time.Second
	stopCutFrom   = stopGrace * 5 / 6
	stopServeTime = 3 * time.Second
	// stopInterval is the time between the signals to two nodes.
	stopInterval = 300 * time.Millisecond
	// stopSteady is the time before the signals and after the last restart.
	stopSteady = 2 * time.Second
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

// stops holds when each node got SIGTERM and when its process had ended.
type stops struct {
	first        time.Time
	mu           sync.Mutex
	stopped, end map[string]time.Time
}

// RunStop sends SIGTERM to all nodes of a fleet within two seconds while callers send requests,
// starts each of them again when it has ended, and checks that none that a node had read was
// lost and that callers were served all the time. Only Program, Dir and Seed of the options are
// used.
func RunStop(ctx context.Context, o Options) (Report, error) {
	o.Nodes, o.Callers = stopNodes, stopCallers
	r := &run{Options: o, start: time.Now()}
	var err error
	if r.world, err = newWorld(worldOptions{dir: o.Dir, nodes: o.Nodes, firstProgram: only(o.Program), releases: releases, isSound: true}); err != nil {
		return r.report, err
	}
	defer r.world.close()
	r.world.setTimeout(stopTimeout)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.world.waitReady(startCtx, o.Nodes); err != nil {
		return r.report, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { r.keepSending(callersCtx, i) })
	}
	time.Sleep(2 * stopSteady)
	s := &stops{first: time.Now(), stopped: map[string]time.Time{}, end: map[string]time.Time{}}
	callers.Go(func() { r.readFile(callersCtx, s.first) })
	r.restartAll(s)
	time.Sleep(stopSteady)
	stopCallers()
	callers.Wait()
	r.checkStopped(s)
	return r.report, ctx.Err()
}

// setTimeout changes the timeout of all routes.
func (w *world) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	w.timeout = timeout
	w.mu.Unlock()
	w.writeSettings()
}

// restartAll sends SIGTERM to all nodes, twice as operators may, and starts them again.
func (r *run) restartAll(s *stops) {
	var ended sync.WaitGroup
	for _, n := range r.world.nodes {
		s.stopped[n.name] = time.Now()
		n.signal(syscall.SIGTERM)
		ended.Go(func() {
			if err := n.wait(); err != nil {
				r.violation("%s ended with %v after SIGTERM", n.name, err)
			}
			s.mu.Lock()
			s.end[n.name] = time.Now()
			s.mu.Unlock()
			if err := n.start(); err != nil {
				r.violation("%s did not start again: %v", n.name, err)
			}
		})
		time.Sleep(stopInterval)
	}
	for _, n := range r.world.nodes {
		if s.stopped[n.name].Add(stopServeTime).After(time.Now()) {
			n.signal(syscall.SIGTERM)
		}
	}
	ended.Wait()
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

// readFile reads an answer slowly from the first node that stops. Its endpoint is done at once, and
// the whole answer can be delivered in the grace period.
func (r *run) readFile(ctx context.Context, first time.Time) {
	node := r.world.nodes[0].name
	rec := record{id: "slow", kind: "file", node: node, readSlowly: true}
	address := r.world.addresses()[node]
	time.Sleep(time.Until(first.Add(stopSlowStart)))
	rec.send(ctx, newSlowClient(), address)
	if len(rec.body) != fileBytes {
		r.violation("a slow caller got %d of %d bytes, until %.2f s after SIGTERM", len(rec.body), fileBytes, rec.end.Sub(first).Seconds())
	}
}

// checkStopped checks that the nodes answered all requests that they read, but for those that
// they may cut, and that callers were served while the nodes took requests.
func (r *run) checkStopped(s *stops) {
	arrivals, whole := map[string]int{}, map[int]int{}
	for _, e := range slices.Concat(r.world.models, r.world.apps) {
		for _, a := range e.ReceivedRequests() {
			arrivals[a.Header.Get(engine.AttemptIDHeader)]++
		}
	}
	for _, rec := range r.records {
		r.report.Sent++
		var dial *net.OpError
		isUnconnected := errors.As(rec.err, &dial) && dial.Op == "dial"
		at := s.stopped[rec.node]
		mayCut := rec.isCutByStop(at) && arrivals[rec.id] > 0
		switch {
		case rec.status == http.StatusOK && !rec.isCut:
			r.report.Whole++
			whole[int((rec.end.Sub(s.first)+stopGrace)/time.Second)]++
		case rec.status == http.StatusServiceUnavailable:
			r.report.Refused++
			if arrivals[rec.id] > 0 {
				r.violation("%s %s was refused as not run and reached an endpoint", rec.kind, rec.id)
			}
		case isUnconnected, rec.status != 0 && !rec.isCut, mayCut:
		case arrivals[rec.id] > 0, rec.end.Sub(rec.start) > lostTime:
			r.violation("%s %s at %s got no whole answer: sent %.2f s after SIGTERM, %d arrivals, closed at %.2f s, the process ended at %.2f s: %v",
				rec.kind, rec.id, rec.node, rec.start.Sub(at).Seconds(), arrivals[rec.id], rec.end.Sub(at).Seconds(), s.end[rec.node].Sub(at).Seconds(), rec.err)
		}
	}
	firstSecond := int(stopGrace / time.Second)
	usual := float64(whole[firstSecond-2]+whole[firstSecond-1]) / 2
	for i := range 2*firstSecond + 1 {
		r.report.Plan = append(r.report.Plan, fmt.Sprintf("second %d: %d whole answers", i-firstSecond, whole[i]))
	}
	for i := range int(stopServeTime / time.Second) {
		if got := whole[firstSecond+i]; float64(got) < stopMinShare*usual {
			r.violation("%d answers in second %d after the first SIGTERM, usually %.0f", got, i, usual)
		}
	}
}
