package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestwick/internal/stand/broken"
	"goldcrestwick/internal/stand/engine"
)

const (
	// Applications refuse one of refusalEvery calls as not run and repeat the refusal on
	// connections that are kept: with the next answer or, shortly after the first time, while
	// the next call may be on its way. Some refusals name no attempt.
	refusalEvery = 6
	repeatDelay  = 3 * time.Millisecond
	// Applications give one of brokenEvery answers in a form that violates HTTP.
	brokenEvery = 40
)

// brokenNames are the answers of package broken behind which the connection stays open. The others
// end it, as a crash under a request does.
var brokenNames = sync.OnceValue(func() (names []string) {
	for _, a := range broken.Answers() {
		if a.Fault != "" && a.KeepsOpen {
			names = append(names, a.Name)
		}
	}
	return names
})

// callBehaviour is that of a call to an application that is served.
var callBehaviour = engine.Behaviour{Body: "done", EventInterval: callTime}

// nextCall returns the behaviour of an application for its next call.
func nextCall() engine.Behaviour {
	if rand.IntN(brokenEvery) == 0 {
		b := callBehaviour
		b.Broken = brokenNames()[rand.IntN(len(brokenNames()))]
		return b
	}
	if rand.IntN(refusalEvery) > 0 {
		b := callBehaviour
		b.RepeatRefusal = true
		return b
	}
	b := engine.Behaviour{Status: 503, NotRun: true, Body: "busy", EventInterval: callTime}
	if rand.IntN(2) == 0 {
		b.AnswerIDs = engine.NoID
	}
	if rand.IntN(4) == 0 {
		b.SecondAfter = repeatDelay
	}
	return b
}
