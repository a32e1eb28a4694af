package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
)

// setBrittle sets how many refusals for want of room engines survive in a second, and how
// long they are down when there are more.
func (p *proxyCase) setBrittle(names []string, given map[string]string) {
	for _, name := range p.engineNames(names, given) {
		e := p.engines[name]
		e.mu.Lock()
		e.brittle, e.down, e.refusedAt = p.IntOption("refusals", 0), p.ParseDuration(given["down"]), nil
		e.mu.Unlock()
	}
}

// recordRefusal records that an engine has refused a request for want of room. A brittle one
// that refuses too many in a second falls over and is started again later.
func (p *proxyCase) recordRefusal(name string) {
	e := p.engines[name]
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.refusedAt = slices.DeleteFunc(append(e.refusedAt, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	if e.brittle == 0 || len(e.refusedAt) <= e.brittle {
		return
	}
	e.falls, e.refusedAt = e.falls+1, nil
	p.net.Kill(name)
	entry, down := maps.Clone(e.entry), e.down
	entry["born"] = e.falls
	row, err := json.Marshal(entry)
	qt.Check(p.T, err, qt.IsNil)
	p.running.Go(func() {
		time.Sleep(down)
		p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: name, Value: row}}})
		p.net.Revive(name)
	})
}

// checkFalls bounds how often brittle engines fell over.
func (p *proxyCase) checkFalls(names []string, given map[string]string) {
	falls := 0
	for _, name := range p.engineNames(names, given) {
		e := p.engines[name]
		e.mu.Lock()
		falls += e.falls
		e.mu.Unlock()
	}
	qt.Check(p.T, falls <= p.IntOption("at_most", 0), qt.IsTrue, qt.Commentf("%s: %d", p.Position, falls))
}
