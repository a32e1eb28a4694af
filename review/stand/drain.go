package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The bounds of the pages, as in the sheet of the deployment.
const (
	stableWindow = 3000 * time.Millisecond
	drainTime    = 2000 * time.Millisecond
	configTime   = 2000 * time.Millisecond
)

const (
	// lead is the time of traffic before the disruption.
	lead = 3 * time.Second
	// betweenRequests is the time between two plain requests of all clients together.
	betweenRequests = 15 * time.Millisecond
)

// traffic sends plain requests to all nodes in turn until it is stopped.
type traffic struct {
	world   *world
	stop    chan struct{}
	sending sync.WaitGroup

	mu   sync.Mutex
	sent map[string]*request
}

func (w *world) startTraffic(method, prefix string) *traffic {
	t := &traffic{world: w, stop: make(chan struct{}), sent: map[string]*request{}}
	t.sending.Go(func() {
		ticker := time.NewTicker(betweenRequests)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			r := &request{id: fmt.Sprint("plain-", i), method: method, path: fmt.Sprint(prefix, i), key: "k1", deadline: plainTimeout, sent: time.Now()}
			t.mu.Lock()
			t.sent[r.id] = r
			t.mu.Unlock()
			t.sending.Go(func() { r.send(w, w.nodes[i%len(w.nodes)], plainTimeout) })
		}
	})
	return t
}

// end stops the traffic and waits for the last answers.
func (t *traffic) end() {
	close(t.stop)
	t.sending.Wait()
}

const (
	// outageAfter is the time from the change that the nodes read last to the outage of the store, and
	// outageTime how long it lasts.
	outageAfter = 400 * time.Millisecond
	outageTime  = 3450 * time.Millisecond
	// leavesAfter is the time after the acknowledgement at which a leaving runner ends: drain_ms "and a little
	// longer (at times many seconds)".
	leavesAfter = 2400 * time.Millisecond
)

// outage plays an outage of the store, unless the disruption is left out, and returns its end.
func (w *world) outage() time.Time {
	time.Sleep(outageAfter)
	if w.hasTrouble {
		w.note("the store falls silent, with %d connections open", w.way.silence(outageTime))
	}
	time.Sleep(outageTime)
	w.note("the store answers")
	return time.Now()
}

// startPlain starts runners of the service of the plain routes, one of another service, and three nodes.
func (w *world) startPlain(runners int) error {
	w.put("op", "config", settings(1, plainService))
	for i := range runners {
		if _, err := w.startRunner(fmt.Sprint("app-", i), plainService, 120*time.Millisecond, 0); err != nil {
			return err
		}
	}
	if _, err := w.startRunner("other-0", otherService, 60*time.Millisecond, 0); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := w.startNode(fmt.Sprint("front-", i)); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// playStale has the operator send a configuration before an outage of the store and another one after it. It
// counts the requests that clients sent later than config_ms after the acknowledgement of the second one and later
// than stable_window_ms after the outage, and that the service ran to which only the first one leads.
func playStale(w *world) (isBroken bool, err error) {
	if err := w.startPlain(2); err != nil {
		return false, err
	}
	load := w.startTraffic("POST", "/book/")
	time.Sleep(lead)
	w.put("op", "config", settings(4, plainService))
	w.note("the store acknowledges configuration 4, in which all routes are as before")
	ended := w.outage()
	time.Sleep(100 * time.Millisecond)
	w.put("op", "config", settings(5, otherService))
	acknowledged := time.Now()
	w.note("the store acknowledges configuration 5, which moves the plain routes from %s to %s", plainService, otherService)
	time.Sleep(stableWindow + 2*time.Second)
	load.end()
	late := 0
	for _, old := range w.runners {
		if old.service != plainService {
			continue
		}
		for _, run := range old.runsAfter(acknowledged) {
			sent := load.sent[run.id].sent
			if !sent.After(ended.Add(stableWindow)) || !sent.After(acknowledged.Add(configTime)) {
				continue
			}
			late++
			w.note("request %s was sent %.3f s after the outage and %.3f s after the acknowledgement, and ran at runner %s of the old service",
				run.id, sent.Sub(ended).Seconds(), sent.Sub(acknowledged).Seconds(), old.id)
		}
	}
	w.note("the old service ran %d requests that were sent later than %s after the acknowledgement, to nodes in touch", late, configTime)
	return late > 0, nil
}

// playDrain has a runner leave before an outage of the store, and another one as soon as the store counts as stable
// after it. That one's entry is removed, and it goes on serving for the usual time. It counts the requests that reach
// the second one later than drain_ms after the store's acknowledgement.
func playDrain(w *world) (isBroken bool, err error) {
	if err := w.startPlain(3); err != nil {
		return false, err
	}
	load := w.startTraffic("POST", "/book/")
	time.Sleep(lead)
	first, second := w.runners[0], w.runners[1]
	first.remove()
	w.note("the store acknowledges that runner %s is gone", first.id)
	ended := w.outage()
	first.end()
	time.Sleep(time.Until(ended.Add(stableWindow + 50*time.Millisecond)))
	acknowledged := second.remove()
	w.note("the store acknowledges that runner %s is gone", second.id)
	time.Sleep(time.Until(acknowledged.Add(leavesAfter)))
	w.note("runner %s ends, with %d requests at work", second.id, second.end())
	time.Sleep(2 * time.Second)
	load.end()
	late, lost := 0, 0
	for _, run := range second.runsAfter(acknowledged.Add(drainTime)) {
		r := load.sent[run.id]
		if !r.sent.After(ended.Add(stableWindow)) {
			continue
		}
		late++
		if r.status != http.StatusOK {
			lost++
		}
		w.note("request %s was sent %.3f s after the outage, and reached runner %s %.3f s after the acknowledgement; its client got status %d",
			run.id, r.sent.Sub(ended).Seconds(), second.id, run.at.Sub(acknowledged).Seconds(), r.status)
	}
	w.note("%d requests reached the leaving runner later than %s after the acknowledgement, from nodes in touch; %d of them have no answer of the runner",
		late, drainTime, lost)
	return late > 0, nil
}
