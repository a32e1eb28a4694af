package poison

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// answerOthers lets the pool answer enough requests, and time pass, for suspects to be found.
func answerOthers(d *Detector, now time.Time) (later time.Time) {
	d.Suspects(now)
	for range minAnswered {
		d.Answered("", nil, 0, now)
	}
	d.Suspects(now)
	return now.Add(time.Second)
}

// TestCrashReportedTwice guards against a harmless trait that is blamed because a crash that
// its completion refuted is counted again, when another node reports it with a delay.
func TestCrashReportedTwice(t *testing.T) {
	d, start := &Detector{}, time.Unix(1000, 0)
	var late Report
	for i := range 4 {
		at := start.Add(time.Duration(i) * 250 * time.Millisecond)
		c := Crash{Endpoint: Endpoint{ID: "e", StartedUnixMilli: int64(i + 1)}, SentAt: at, At: at, Traits: []ident.Trait{1, 2}}
		d.Crashed(c)
		c.At = at.Add(time.Second)
		late.Crashes = append(late.Crashes, c)
	}
	d.Completed(Endpoint{ID: "f"}, []ident.Trait{1}, start.Add(800*time.Millisecond))
	d.Learn(late)
	now := answerOthers(d, start.Add(10*time.Second))
	suspects, _ := d.Suspects(now)
	qt.Assert(t, suspects, qt.HasLen, 1)
	qt.Check(t, suspects[0].Trait, qt.Equals, ident.Trait(2))
	qt.Check(t, suspects[0].Endpoints, qt.HasLen, 4)
}

// TestStandbyKnowsEvidence guards against a node that takes over and has not learned that a
// trait completed, that an endpoint works, or that a trait was blamed.
func TestStandbyKnowsEvidence(t *testing.T) {
	owner, start := &Detector{}, time.Unix(1000, 0)
	followed, asked := &Detector{}, &Detector{}
	crash := func(name string, after time.Duration, traits ...ident.Trait) {
		at := start.Add(after)
		owner.Crashed(Crash{Endpoint: Endpoint{ID: ident.Endpoint(name), StartedUnixMilli: 1}, SentAt: at, At: at, Traits: traits})
		r, _ := owner.TakeReport()
		followed.Learn(r)
	}
	for i, name := range []string{"e", "f", "g"} {
		crash(name, time.Duration(i)*time.Second, 1, 2)
	}
	crash("h", 3*time.Second, 2)
	// The endpoint of the last crash works, and trait 1 completes there.
	at := start.Add(3*time.Second + 2*reportDelay)
	qt.Check(t, owner.Completed(Endpoint{ID: "h", StartedUnixMilli: 1}, []ident.Trait{1}, at), qt.IsTrue)
	qt.Check(t, owner.Completed(Endpoint{ID: "h", StartedUnixMilli: 1}, []ident.Trait{1}, at.Add(1)), qt.IsFalse)
	r, pools := owner.TakeReport()
	qt.Check(t, pools, qt.DeepEquals, map[ident.PoolID]bool{"": true})
	followed.Learn(r)
	asked.Learn(owner.Evidence("", at))
	asked.Learn(owner.Evidence("", at))
	r, _ = owner.TakeReport()
	qt.Check(t, r.IsEmpty(), qt.IsTrue)
	for _, d := range []*Detector{followed, asked} {
		suspects, _ := d.Suspects(answerOthers(d, at))
		qt.Assert(t, suspects, qt.HasLen, 1)
		qt.Check(t, suspects[0].Trait, qt.Equals, ident.Trait(2))
		qt.Check(t, suspects[0].Endpoints, qt.DeepEquals, []ident.Endpoint{"e", "f", "g"})
		d.SetBlamed(2)
		suspects, isPending := d.Suspects(at.Add(time.Second))
		qt.Check(t, suspects, qt.HasLen, 0)
		qt.Check(t, isPending, qt.IsFalse)
		// The next node knows that trait 2 was blamed.
		last := &Detector{}
		last.Learn(d.Evidence("", at))
		suspects, _ = last.Suspects(answerOthers(last, at))
		qt.Check(t, suspects, qt.HasLen, 0)
	}
}

// TestEvidenceNamesRefutedCrashes guards against a starting node that learns refuted crashes
// from rows of the store because the evidence of other nodes does not have them.
func TestEvidenceNamesRefutedCrashes(t *testing.T) {
	d, start := &Detector{}, time.Unix(1000, 0)
	refuted, withdrawn := Endpoint{ID: "e", StartedUnixMilli: 1}, Endpoint{ID: "f", StartedUnixMilli: 1}
	for _, endpoint := range []Endpoint{refuted, withdrawn} {
		d.Crashed(Crash{Endpoint: endpoint, SentAt: start, At: start, Traits: []ident.Trait{1}})
	}
	at := start.Add(2 * reportDelay)
	d.Completed(withdrawn, []ident.Trait{1}, at)
	evidence := d.Evidence("", at)
	qt.Check(t, evidence.Crashes, qt.HasLen, 0)
	qt.Check(t, evidence.Known, qt.DeepEquals, map[Endpoint]time.Time{refuted: start, withdrawn: at})
}

// TestEarlierReportOfKnownCrash guards against evidence that outlives a completion because
// the crash was first reported late: the completion came between the two reported times.
func TestEarlierReportOfKnownCrash(t *testing.T) {
	d, start := &Detector{}, time.Unix(1000, 0)
	for i, name := range []ident.Endpoint{"e", "f", "g"} {
		at := start.Add(time.Duration(i) * time.Second)
		c := Crash{Endpoint: Endpoint{ID: name, StartedUnixMilli: 1}, SentAt: at, At: at.Add(5 * time.Second), Traits: []ident.Trait{1}}
		d.Learn(Report{Crashes: []Crash{c}})
		c.At = at
		d.Learn(Report{Crashes: []Crash{c}})
	}
	d.Exonerate(1, start.Add(3*time.Second))
	suspects, _ := d.Suspects(answerOthers(d, start.Add(10*time.Second)))
	qt.Check(t, suspects, qt.HasLen, 0)
}

// TestCrashAfterCompletion guards against the loss of a crash that happened after the
// completion which withdraws earlier ones, but was reported before it.
func TestCrashAfterCompletion(t *testing.T) {
	d, start := &Detector{}, time.Unix(1000, 0)
	endpoint := Endpoint{ID: "e", StartedUnixMilli: 1}
	at := start.Add(ConfirmDelay)
	d.Learn(Report{Crashes: []Crash{{Endpoint: endpoint, SentAt: start, At: at, Traits: []ident.Trait{1}}}})
	d.Learn(Report{Working: map[Endpoint]time.Time{endpoint: at.Add(-time.Millisecond)}})
	qt.Check(t, d.Evidence("", at).Crashes, qt.HasLen, 1)
	d.Learn(Report{Working: map[Endpoint]time.Time{endpoint: at.Add(time.Millisecond)}})
	qt.Check(t, d.Evidence("", at).Crashes, qt.HasLen, 0)
}

// TestBlamedAgain guards against work for each report and each quarantined trait under the
// detector's lock: a trait that is blamed with the same crashes must not be explained again.
func TestBlamedAgain(t *testing.T) {
	d, start := &Detector{}, time.Unix(1000, 0)
	for _, name := range []ident.Endpoint{"e", "f"} {
		d.Crashed(Crash{Endpoint: Endpoint{ID: name}, SentAt: start, At: start, Traits: []ident.Trait{1, 2}})
		d.SetBlamed(1)
		qt.Check(t, len(d.explained) > 0, qt.IsTrue)
		d.explained = nil
		d.SetBlamed(1)
		qt.Check(t, d.explained, qt.HasLen, 0)
	}
}
