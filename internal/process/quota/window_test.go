package quota

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/version/config"
)

// The tolerance of the platform, which all deployments have in common.
const (
	windowLength = 8 * time.Second
	windowOver   = 0.1
	windowSlack  = 140_000
)

// windowSeeds is the number of histories of each case of TestWindowAcrossFaults.
var windowSeeds = flag.Uint64("quota.seeds", 2, "histories per case of TestWindowAcrossFaults")

// windowHandover is off to replay nodes whose settings state no tolerance.
var windowHandover = flag.Bool("quota.handover", true, "hand limits over in TestWindowAcrossFaults")

// windowHistory describes the load and the fleet of some histories.
type windowHistory struct {
	name   string
	nodes  int
	rate   float64
	burst  float64
	load   float64 // of the limit
	spikes bool    // the load comes in spikes, so that buckets fill up between them
}

// run replays a history of 40 s and returns the part of the tolerance that it used.
func (h windowHistory) run(t *testing.T, seed uint64, kinds []fault) (used float64, refused int) {
	synctest.Test(t, func(t *testing.T) {
		// No timer of a refund, after 50 ms, coincides with a step.
		const stepTime = 9700 * time.Microsecond
		random := rand.New(rand.NewPCG(seed, 1))
		f := newWindowFleet(random, h.nodes, &config.Account{ID: "a", TokensPerSecond: h.rate, BurstTokens: h.burst})
		f.kinds = kinds
		owed := 0.0
		for begin := time.Now(); time.Since(begin) < 40*time.Second; time.Sleep(stepTime) {
			f.mu.Lock()
			now := time.Now()
			f.ends = slices.DeleteFunc(f.ends, func(e windowEnd) bool {
				if e.at.After(now) {
					return false
				}
				e.release(e.ran)
				return true
			})
			f.step(now, 0.25*stepTime.Seconds())
			load := h.load
			if h.spikes {
				load *= 4 * max(0, math.Sin(2*math.Pi*now.Sub(begin).Seconds()/5)-0.6)
			}
			if random.IntN(2000) == 0 { // a change of the limit every 20 s
				changed := *f.account
				changed.TokensPerSecond = h.rate * (0.5 + random.Float64())
				f.account = &changed
			}
			for owed += load * h.rate * stepTime.Seconds() / 6600; owed >= 1; owed-- {
				f.request(t.Context(), now, random.IntN(8) == 0)
			}
			f.mu.Unlock()
		}
		used, refused = f.used(), f.refused
		time.Sleep(time.Second) // ends the timers of the refunds.
	})
	return used, refused
}

var windowHistories = []windowHistory{
	{"smallest limit", 9, 36_000, 36_000, 3, false},
	{"smallest limit, spikes", 9, 36_000, 72_000, 6, true},
	{"middle limit", 9, 150_000, 150_000, 3, false},
	{"middle limit, spikes", 9, 150_000, 300_000, 6, true},
	{"large limit", 9, 600_000, 600_000, 3, false},
	{"large limit, spikes", 9, 600_000, 1_200_000, 6, true},
	{"smallest limit, large fleet", 66, 36_000, 36_000, 6, true},
	{"large fleet", 30, 150_000, 150_000, 3, false},
}

// TestWindowAcrossFaults replays random histories of faults, refunds, resumptions, lost messages
// and limit changes. No window may have more than the tolerance, whichever coordinators and
// shares granted the tokens.
func TestWindowAcrossFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds []fault
	}{
		{"kill", []fault{killOne}},
		{"freeze", []fault{freezeOne}},
		{"partition", []fault{cutFleet, healFleet}},
		{"all nodes", []fault{killAll}},
		{"leave", []fault{leaveOne}},
		{"mixed", []fault{killOne, leaveOne, freezeOne, cutFleet, healFleet, killAll}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, h := range windowHistories {
				most, worst, over, refused := math.Inf(-1), uint64(0), 0, 0
				for seed := range *windowSeeds {
					used, refusedNow := h.run(t, seed, c.kinds)
					refused += refusedNow
					if used > 1 {
						over++
					}
					if used > most {
						most, worst = used, seed
					}
				}
				t.Logf("%s: seeds 0 to %d use at most %.2f of the tolerance (seed %d), %d more than all of it; %d requests refused", h.name, *windowSeeds-1, most, worst, over, refused)
				qt.Check(t, over, qt.Equals, 0, qt.Commentf("%s, seed %d: %.2f of the tolerance", h.name, worst, most))
			}
		})
	}
}
