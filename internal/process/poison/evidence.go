package poison

import (
	"slices"
	"time"
)

// evidence is what is known of one trait.
type evidence struct {
	// crashes holds at most one crash of each endpoint run since the last completion,
	// in order of time.
	crashes []crash
	// isBlamed is set once the trait was blamed. Then its own crashes count although they
	// are explained, and blamedWith is the number of them at that time.
	isBlamed   bool
	blamedWith int
	// answeredAt is when minAnswered requests had been answered since the first crash.
	answeredAt time.Time
}

type crash struct {
	endpoint Endpoint
	// sentAt is a time before the request was sent. It is zero if the endpoint may have
	// crashed before.
	sentAt, at time.Time
	// answered is the Detector's count for the pool at the time of the report.
	answered int
}

// add adds a crash that is not earlier than the last completion, unless the endpoint's
// run has one.
func (e *evidence) add(c crash, completed time.Time) {
	isKnown := slices.ContainsFunc(e.crashes, func(known crash) bool { return known.endpoint == c.endpoint })
	if isKnown || c.at.Before(completed) {
		return
	}
	at, _ := slices.BinarySearchFunc(e.crashes, c.at, func(known crash, t time.Time) int { return known.at.Compare(t) })
	e.crashes = slices.Insert(e.crashes, at, c)
	if len(e.crashes) > maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
		e.blamedWith = max(e.blamedWith-1, 0)
	}
}

func (e *evidence) remove(isRemoved func(crash) bool) {
	if len(e.crashes) > 0 && isRemoved(e.crashes[0]) {
		e.answeredAt = time.Time{}
	}
	e.crashes = slices.DeleteFunc(e.crashes, isRemoved)
	e.blamedWith = min(e.blamedWith, len(e.crashes))
}

// move moves the crash of an endpoint's run to an earlier time, unless a completion is later
// than that; then it removes it.
func (e *evidence) move(endpoint Endpoint, at, completed time.Time) {
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.endpoint == endpoint && at.Before(c.at) })
	if i < 0 {
		return
	}
	if at.Before(completed) {
		e.remove(func(c crash) bool { return c.endpoint == endpoint })
		return
	}
	e.crashes[i].at = at
	e.crashes[i].sentAt = earlier(e.crashes[i].sentAt, at)
	slices.SortStableFunc(e.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

func (e *evidence) lastCrash() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

// confirmed returns the crashes that are confirmed, and whether they make a suspect.
func (e *evidence) confirmed(now time.Time) (crashes []crash, isEnough bool) {
	moments := 0
	var last time.Time
	for _, c := range e.crashes {
		if now.Sub(c.at) < ConfirmDelay {
			break
		}
		crashes = append(crashes, c)
		if moments == 0 || c.sentAt.After(last) || c.at.Sub(last) >= minSeparation {
			moments++
			last = c.at
		}
	}
	return crashes, moments >= minCrashes
}
