package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

const (
	trafficEndpoints = 18
	trafficStep      = 20 * time.Millisecond
	trafficTime      = time.Minute
	// blameLimit is the time from the fifth crash within which the part must be blamed,
	// and checkInterval the time between two looks at the detector.
	blameLimit    = 3 * time.Second
	checkInterval = 100 * time.Millisecond
	// crashingPart is the part that crashes endpoints; all other parts are larger.
	crashingTrait ident.Trait = 1
)

// trafficRequest is a request at an endpoint.
type trafficRequest struct {
	traits                  []ident.Trait
	sentAt, firstAt, doneAt time.Time
}

// traffic simulates endpoints that answer requests, of which some have crashingPart.
type traffic struct {
	rand     *rand.Rand
	detector Detector
	now      time.Time
	running  [trafficEndpoints][]trafficRequest
	downTill [trafficEndpoints]time.Time
	runs     [trafficEndpoints]int64
	// crashes counts the crashes that crashingPart caused until it was blamed.
	crashes              int
	fifthCrash, blamedAt time.Time
	// interval is the mean time between requests with crashingPart, and crashInterval
	// that between crashes of other causes, 0 for none.
	interval, crashInterval time.Duration
}

// TestBlameInTraffic checks that, whatever the mix of requests, a part that crashes
// endpoints is blamed within blameLimit of its fifth crash and no other part ever is, though its requests
// share all their other parts with sound ones, rare ones included, and endpoints also
// crash by themselves.
func TestBlameInTraffic(t *testing.T) {
	worst := 0
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 23))
		s := &traffic{rand: r, now: time.Unix(1000, 0)}
		s.interval = time.Duration(100+r.IntN(3000)) * time.Millisecond
		if seed%2 == 1 {
			s.crashInterval = time.Duration(500+r.IntN(3000)) * time.Millisecond
		}
		blamed := s.run()
		comment := qt.Commentf("seed %d: interval %v, other crashes every %v, %d crashes", seed, s.interval, s.crashInterval, s.crashes)
		qt.Assert(t, blamed, qt.DeepEquals, []ident.Trait{crashingTrait}, comment)
		qt.Assert(t, s.fifthCrash.IsZero() || s.blamedAt.Sub(s.fifthCrash) <= blameLimit, qt.IsTrue, comment)
		worst = max(worst, s.crashes)
	}
	t.Log("seeds 0 to 59; most crashes until the trait was blamed: " + fmt.Sprint(worst))
}

// run returns the parts that were blamed. Requests with a blamed part are refused.
func (s *traffic) run() (blamed []ident.Trait) {
	isQuarantined := map[ident.Trait]bool{}
	for end := s.now.Add(trafficTime); s.now.Before(end); s.now = s.now.Add(trafficStep) {
		for range 2 + s.rand.IntN(3) {
			s.start(0)
		}
		if !isQuarantined[crashingTrait] && s.happens(s.interval) {
			s.start(crashingTrait)
		}
		if s.happens(s.crashInterval) {
			s.crashOthers()
		}
		for e := range s.running {
			s.advance(e)
		}
		if s.now.Sub(end)%checkInterval != 0 {
			continue
		}
		suspects, _ := s.detector.Suspects(s.now)
		for _, b := range s.detector.Blame(suspects, s.now) {
			if !isQuarantined[b.Trait] {
				blamed = append(blamed, b.Trait)
				s.blamedAt = s.now
			}
			isQuarantined[b.Trait] = true
		}
	}
	return blamed
}

// happens reports whether an event with a mean interval happens in this step.
func (s *traffic) happens(interval time.Duration) bool {
	return interval > 0 && s.rand.Float64() < float64(trafficStep)/float64(interval)
}

// start starts a request with a part of all, one of its account, one of a document,
// which may be rare, and one of its own. Part, if not 0, replaces the document's.
func (s *traffic) start(trait ident.Trait) {
	e := s.rand.IntN(trafficEndpoints)
	if s.now.Before(s.downTill[e]) {
		return
	}
	document := ident.Trait(200 + int(300*s.rand.Float64()*s.rand.Float64()))
	if trait == 0 {
		trait = document
	}
	first := s.now.Add(time.Duration(20+s.rand.IntN(150)) * time.Millisecond)
	s.running[e] = append(s.running[e], trafficRequest{
		traits: []ident.Trait{100, ident.Trait(110 + s.rand.IntN(5)), trait, ident.Trait(s.rand.Uint64() | 1<<40)},
		sentAt: s.now, firstAt: first, doneAt: first.Add(time.Duration(50+s.rand.IntN(3000)) * time.Millisecond),
	})
}

// advance completes requests of an endpoint, or crashes it.
func (s *traffic) advance(e int) {
	s.running[e] = slices.DeleteFunc(s.running[e], func(r trafficRequest) bool {
		isDone := r.traits[2] != crashingTrait && !s.now.Before(r.doneAt)
		if isDone {
			s.detector.Completed(s.endpoint(e), r.traits, s.now)
		}
		return isDone
	})
	isCrash := func(r trafficRequest) bool { return r.traits[2] == crashingTrait && !s.now.Before(r.firstAt) }
	if slices.ContainsFunc(s.running[e], isCrash) {
		s.crashes++
		if s.crashes == 5 {
			s.fifthCrash = s.now
		}
		s.crash(e)
	}
}

func (s *traffic) endpoint(e int) Endpoint {
	return Endpoint{ID: ident.Endpoint(fmt.Sprint("e", e)), StartedUnixMilli: s.runs[e]}
}

func (s *traffic) crash(e int) {
	for _, r := range s.running[e] {
		if s.now.Before(r.firstAt) || r.traits[2] == crashingTrait {
			s.detector.Crashed(Crash{Endpoint: s.endpoint(e), SentAt: r.sentAt, At: s.now, Traits: r.traits})
		}
	}
	s.running[e] = nil
	s.runs[e]++
	s.downTill[e] = s.now.Add(2 * time.Second)
}

// crashOthers crashes one endpoint, or now and then half of them at once.
func (s *traffic) crashOthers() {
	count := 1
	if s.rand.IntN(5) == 0 {
		count = trafficEndpoints / 2
	}
	for _, e := range s.rand.Perm(trafficEndpoints)[:count] {
		s.crash(e)
	}
}
