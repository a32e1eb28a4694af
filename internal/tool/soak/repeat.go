package soak

import (
	"math/rand/v2"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	// Applications refuse one of refusalEvery calls as not run and repeat the refusal on
	// connections that are kept: with the next answer or, shortly after the first time, while
	// the next call may be on its way. Some refusals name no attempt.
	refusalEvery = 6
	repeatDelay  = 3 * time.Millisecond
)

// callBehaviour is that of a call to an application that is served.
var callBehaviour = engine.Behaviour{Body: "done", EventInterval: callTime}

// nextCall returns the behaviour of an application for its next call.
func nextCall() engine.Behaviour {
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
