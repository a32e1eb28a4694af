package main

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// lostFor is how long after it was sent the lost heartbeat is performed, and leaveAfter when the
	// runner leaves. The store is without disruption for over stable_window_ms (3 s) before that.
	lostFor    = 5800 * time.Millisecond
	leaveAfter = 3400 * time.Millisecond
	// serveFor is how long a runner serves after its entry was removed: drain_ms and a little longer.
	serveFor = 4500 * time.Millisecond
)

// lateBeat has the store lose its answer to a heartbeat of a runner, which it performs later. The
// runner, whose further heartbeats are answered, leaves meanwhile: its entry is removed, and it
// serves on for a while.
func lateBeat(w *world) (held bool, err error) {
	w.writeConfig()
	var runners []*runner
	for _, id := range []string{"i-one", "i-two", "i-three"} {
		r, err := w.startRunner(id)
		if err != nil {
			return false, err
		}
		r.beat()
		go r.keepBeating()
		runners = append(runners, r)
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.load(ctx, 150)
	}()
	time.Sleep(4 * time.Second)

	leaver := runners[0]
	lost := leaver.next()
	lostAt := w.now()
	if os.Getenv("TROUBLE") == "0" {
		w.note("the store performs the heartbeat %d of %s at once", lost.Seq, leaver.id)
		w.put("servers", leaver.id, lost)
	} else {
		w.note("the store does not answer the heartbeat %d of %s, and has not performed it", lost.Seq, leaver.id)
		time.AfterFunc(lostFor, func() {
			w.put("servers", leaver.id, lost)
			w.note("the store performs the heartbeat %d of %s, which was sent %v ago", lost.Seq, leaver.id, lostFor)
		})
	}
	time.Sleep(leaveAfter)
	close(leaver.stop)
	w.remove("servers", leaver.id)
	goneAt := w.now()
	w.note("the entry of %s is removed, and the store has acknowledged that", leaver.id)
	time.Sleep(serveFor)
	leaver.server.Close() //nolint:errcheck // its last requests are cut.
	w.note("%s exits", leaver.id)
	// An entry expires after three heartbeats without one.
	time.Sleep(lostAt + lostFor + 3*heartbeat - w.now())
	w.remove("servers", leaver.id)
	time.Sleep(time.Second)
	cancel()
	<-done

	before, _ := leaver.countBetween(lostAt-3*time.Second, goneAt)
	late, last := leaver.countBetween(goneAt+drainTime, w.now())
	w.note("%s ran %d requests in the %v before it left, and %d later than %v after its entry was removed, the last one %v after that",
		leaver.id, before, goneAt-lostAt+3*time.Second, late, drainTime, max(last-goneAt, 0))
	if before == 0 {
		return false, errors.New("the runner had no requests before it left")
	}
	return late == 0, nil
}
