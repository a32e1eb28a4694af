package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// settingsBound is the time after which all requests are judged by new settings, and
	// downgradeBound that after which a node that has used them uses no older ones.
	settingsBound  = 2 * time.Second
	downgradeBound = 250 * time.Millisecond
	// answerBound is the time after its time-out within which a request has a final answer.
	answerBound = 500 * time.Millisecond
	// silenceDelay is the time from a change of the settings to the silence of the endpoints.
	silenceDelay = 600 * time.Millisecond
	probePause   = 100 * time.Millisecond
	probeRounds  = 6
)

// probeRoute is a route that requests test the settings with. A route without a service does not
// exist.
type probeRoute struct {
	service string
	timeout time.Duration
}

// probe is a request on a probe route and what it got.
type probe struct {
	route, node string
	start       time.Time
	took        time.Duration
	status      int
	stamp       string
}

// isAsOf reports whether a probe may have been handled by settings with a route.
func (p probe) isAsOf(route probeRoute) bool {
	switch p.status {
	case http.StatusNotFound:
		return route.service == ""
	case http.StatusOK:
		// The stamp begins with the name of the endpoint, and that with the letter of its service.
		return strings.HasPrefix(p.stamp, map[string]string{"app": "a", "llm": "m"}[route.service]) && route.service != ""
	}
	return true
}

// playSilences changes the settings again and again while all or most of the endpoints stand
// still, and at times a node does or is restarted, and checks that all nodes handle requests by them in time and never go back, and that
// time-outs are kept.
func (r *run) playSilences(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 1<<34))
	routes := map[string]probeRoute{"moved": {"app", routeTimeout}, "short": {"app", 700 * time.Millisecond}, "added": {}}
	r.changeProbes(routes)
	time.Sleep(settingsBound)
	for range probeRounds {
		old, name := maps.Clone(routes), []string{"moved", "short", "added"}[random.IntN(3)]
		next := routes[name]
		switch name {
		case "moved":
			next.service = map[string]string{"app": "llm", "llm": "app"}[next.service]
		case "short":
			next.timeout = 1300*time.Millisecond - next.timeout
		case "added":
			next = probeRoute{map[string]string{"": "app", "app": ""}[next.service], routeTimeout}
		}
		routes[name] = next
		r.changeProbes(routes)
		acknowledged := time.Now()
		share, length, isStalled := []float64{1, 0.6}[random.IntN(2)], time.Duration(1000+random.IntN(300))*time.Millisecond, random.IntN(2) == 0
		r.note("%s is changed, %g of the endpoints are silent for %s, accepting none %v", name, share, length, isStalled)
		var silent sync.WaitGroup
		seed := random.Uint64()
		silent.Go(func() { silence(r.chooseEndpoints(seed, share), length, isStalled) })
		faults := []func(*sync.WaitGroup){func(*sync.WaitGroup) {}, r.freezeNode, r.freezeNode, r.killNode, r.terminateNode}
		for range 2 {
			faults[random.IntN(len(faults))](&silent)
		}
		probes := r.sendProbes(ctx, acknowledged.Add(settingsBound+time.Second))
		silent.Wait()
		r.checkProbes(probes, old, routes, acknowledged)
	}
}

func (r *run) changeProbes(routes map[string]probeRoute) {
	r.world.mu.Lock()
	r.world.probes = maps.Clone(routes)
	maps.DeleteFunc(r.world.probes, func(_ string, p probeRoute) bool { return p.service == "" })
	r.world.mu.Unlock()
	r.world.writeSettings()
}

// chooseEndpoints returns a share of the models and applications.
func (r *run) chooseEndpoints(seed uint64, share float64) []*endpoint {
	random, all := rand.New(rand.NewPCG(seed, 0)), slices.Concat(r.world.models, r.world.apps)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(share*float64(len(all))+0.5)]
}

// silence makes endpoints stand still silenceDelay from now on.
func silence(endpoints []*endpoint, duration time.Duration, isStalled bool) {
	set := (*endpoint).setSilent
	if isStalled {
		set = (*endpoint).setStalled
	}
	time.Sleep(silenceDelay)
	for _, e := range endpoints {
		set(e, true)
	}
	time.Sleep(duration)
	for _, e := range endpoints {
		set(e, false)
	}
}

// sendProbes sends requests on all probe routes to all nodes until a time, and returns them when
// they have ended.
func (r *run) sendProbes(ctx context.Context, until time.Time) []probe {
	var mu sync.Mutex
	var probes []probe
	var sending sync.WaitGroup
	for round := 0; time.Now().Before(until) && ctx.Err() == nil; round++ {
		for node, address := range r.world.addresses() {
			for _, route := range []string{"moved", "short", "added"} {
				sending.Go(func() {
					rec := record{kind: route, id: fmt.Sprint("probe-", r.Seed, "-", node, "-", route, "-", time.Now().UnixNano())}
					rec.send(ctx, &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, address)
					mu.Lock()
					defer mu.Unlock()
					probes = append(probes, probe{route, node, rec.start, rec.end.Sub(rec.start), rec.status, rec.stamp})
				})
			}
		}
		time.Sleep(probePause)
	}
	sending.Wait()
	return probes
}

// checkProbes checks probes that were sent since a change was acknowledged.
func (r *run) checkProbes(probes []probe, old, routes map[string]probeRoute, acknowledged time.Time) {
	seen := map[string]time.Time{}
	for _, p := range probes {
		ended := p.start.Add(p.took)
		if r.isOutOfTouch(p) {
			continue
		}
		if at, ok := seen[p.node]; !p.isAsOf(old[p.route]) && (!ok || ended.Before(at)) {
			seen[p.node] = ended
		}
	}
	for _, p := range probes {
		if r.isOutOfTouch(p) {
			continue
		}
		at, hasSeen := seen[p.node]
		isLate := p.start.After(acknowledged.Add(settingsBound)) || hasSeen && p.start.After(at.Add(downgradeBound))
		if isLate && !p.isAsOf(routes[p.route]) {
			r.violation("%s at %s, sent %s after the acknowledgement, got %d %s, as only older settings allow", p.route, p.node,
				p.start.Sub(acknowledged), p.status, p.stamp)
		}
		timeout := max(old[p.route].timeout, routes[p.route].timeout)
		if isLate {
			timeout = routes[p.route].timeout
		}
		if p.took > timeout+answerBound && p.status != http.StatusNotFound {
			r.violation("%s at %s, sent %s after the acknowledgement, got %d after %s, time-out %s", p.route, p.node,
				p.start.Sub(acknowledged), p.status, p.took, timeout)
		}
		if p.status == 0 {
			r.violation("%s at %s, sent %s after the acknowledgement, got no answer for %s", p.route, p.node, p.start.Sub(acknowledged), p.took)
		}
	}
	r.report.Probes += len(probes)
}

// isOutOfTouch reports whether a fault of its node excuses what a probe got.
func (r *run) isOutOfTouch(p probe) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	excuses := func(window time.Duration) func(time.Time) bool {
		return func(at time.Time) bool { return at.Before(p.start.Add(p.took)) && at.After(p.start.Add(-window)) }
	}
	return slices.ContainsFunc(r.unplanned[p.node], excuses(stableWindow)) || slices.ContainsFunc(r.stopped[p.node], excuses(stopGrace+stableWindow))
}
