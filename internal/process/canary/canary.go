// Package canary decides how a pool's traffic moves to another release, from the counts of
// the answers of both. It does no input or output and reads no clock.
//
// # Usage
//
//	m := &canary.Machine{Limits: limits}
//	m.Start(order, now)
//	for range steps { // every 250 ms
//		d := m.Step(sample, now)
//		send(d.Share, d.Endpoints)
//		save(m.Encode())
//	}
//
// Another node continues with Decode of the saved bytes and then calls Step.
package canary

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// Order is an operator's order to move a pool's traffic to a release.
type Order struct {
	Pool ident.PoolID
	// Target is the release that shall get the traffic. An order without one is withdrawn.
	Target ident.Release
	// Ramp is the time in which the traffic shall move; below MinRamp it counts as MinRamp.
	Ramp time.Duration
	// Version is the version of the order's row.
	Version int64
}

// MinRamp is the shortest ramp.
const MinRamp = 5 * time.Second

// Limits bounds what a bad release may get.
type Limits struct {
	// ExposeShare is the share of the requests between order and deadline that a bad
	// release may get, and ExposeSlack a number of requests beyond it. If both are 0, they are
	// 0.1 and 50.
	ExposeShare float64
	ExposeSlack int
	// Rollback is the time after the 50th bad answer from which a bad release may get
	// nothing (5 s). Machine stops at a verdict, without waiting for it; TestSimulation
	// checks that this is early enough.
	Rollback time.Duration
}

// Sample is what the whole fleet has counted since the last step.
type Sample struct {
	Interval time.Duration
	// Counts holds the answers by release, route and class. All releases but the target
	// count as the old release.
	Counts map[Key]Count
	// Arrivals is the number of requests that were sent to each release's endpoints.
	Arrivals map[ident.Release]int
	// OldInFlight is the number of requests that run at the old releases or hold a grant
	// there.
	OldInFlight int
	// IsComplete states that all nodes that may send requests to the pool are included. While
	// it is false the share is not raised and the order is not done.
	IsComplete bool
	// Endpoints is the number of ready endpoints of each release.
	Endpoints map[ident.Release]int
	// Lost is the number of endpoints of each release that crashed or were lost in the
	// interval. Each counts as one failure; the failures that their loss caused are not in
	// Counts.
	Lost map[ident.Release]int
	// Entries separates answers and failures by entry node, so that those of a node that
	// fails at all releases are no evidence. It may be nil.
	Entries map[Entry]Tally
	// Paces separates the durations in Counts by endpoint, so that a slow release is told from
	// a slow host. It may be nil or have a part of them only.
	Paces map[PaceKey]Pace
}

// Decision is the outcome of a step.
type Decision struct {
	// Share is the target's part of the new requests that are not bound to a release.
	Share float64
	// Endpoints is the number of the target's endpoints that may be used; 0 is all.
	Endpoints int
	State     State
	// Reason explains state and share for operators, with the counts that decided.
	Reason  string
	Verdict Verdict
}

// State is the state of an order.
type State uint8

// The states. Finishing has share 1 and waits until nothing runs at the old release. Done
// and RolledBack are final.
const (
	Running State = iota
	Finishing
	Done
	RolledBack
)

var stateNames = [...]string{Running: "running", Finishing: "finishing", Done: "done", RolledBack: "rolled_back"}

// String returns the state's name in the status row and the logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Verdict is what the answers so far say about the target.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

var verdictNames = [...]string{Undecided: "undecided", Good: "good", Bad: "bad"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}
