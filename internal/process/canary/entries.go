package canary

import (
	"math"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// An entry node fails at the old release too if it had this many failures and this
	// share of failures there, and more than twice the share of all nodes.
	minNodeFailures  = 3
	nodeFailureShare = 0.2
	// maxChance is the chance below which a node has so many of the target's failures that
	// they are not ascribed to the release, and maxSpreadChance the one below which a verdict
	// waits for failures at other nodes.
	maxChance, maxSpreadChance = 0.05, 0.5
	// entryEpoch is longer than most cuts between a node and endpoints, so that a cut is
	// seen as a whole.
	entryEpoch = 8 * time.Second
	// minSpreadAnswers is the number of recent answers from which a verdict on failures needs
	// two recent failures, since the test may still be high from an earlier cut.
	minSpreadAnswers = 20
)

// entries keeps the answers and failures of the last one to two entryEpochs by entry node.
type entries struct {
	previous, current map[Entry]Tally
	end               time.Duration // of current
}

func (e *entries) add(from map[Entry]Tally, now time.Duration) {
	if now >= e.end || now < e.end-entryEpoch { // the store's clock may have stepped back
		e.previous, e.current, e.end = e.current, nil, now+entryEpoch
	}
	if e.current == nil {
		e.current = map[Entry]Tally{}
	}
	for key, t := range from {
		c := e.current[key]
		e.current[key] = Tally{Answers: c.Answers + t.Answers, Failures: c.Failures + t.Failures}
	}
}

// nodeTallies is what one entry node had at the old releases and at the target.
type nodeTallies struct {
	old, target Tally
}

// byNode returns the recent tallies of each node, and their sums.
func (e *entries) byNode(target ident.Release) (nodes map[ident.NodeID]nodeTallies, all nodeTallies) {
	nodes = map[ident.NodeID]nodeTallies{}
	for _, part := range []map[Entry]Tally{e.previous, e.current} {
		for key, t := range part {
			n := nodes[key.Node]
			into, sum := &n.old, &all.old
			if key.Release == target {
				into, sum = &n.target, &all.target
			}
			into.Answers, into.Failures = into.Answers+t.Answers, into.Failures+t.Failures
			sum.Answers, sum.Failures = sum.Answers+t.Answers, sum.Failures+t.Failures
			nodes[key.Node] = n
		}
	}
	return nodes, all
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// discount returns the part of the target's failures in step that counts as evidence: those
// of nodes that fail at the old releases too, or that alone have failures, do not.
func (e *entries) discount(step map[Entry]Tally, target ident.Release) float64 {
	var failures, counted int
	for key, t := range step {
		if key.Release == target {
			failures += t.Failures
		}
	}
	if failures == 0 {
		return 1
	}
	nodes, all := e.byNode(target)
	for key, t := range step {
		if key.Release == target && !isNodeAtFault(nodes[key.Node], all) {
			counted += t.Failures
		}
	}
	return share(counted, failures)
}

// isNodeAtFault reports that an entry node's failures are more likely its own than the
// target's.
func isNodeAtFault(n, all nodeTallies) bool {
	return failsAtOld(n, all) || failsAtTargetAlone(n, all)
}

func failsAtOld(n, all nodeTallies) bool {
	oldShare := share(n.old.Failures, n.old.Answers)
	return n.old.Failures >= minNodeFailures && oldShare >= nodeFailureShare && oldShare > 2*share(all.old.Failures, all.old.Answers)
}

func failsAtTargetAlone(n, all nodeTallies) bool {
	return n.target.Failures > 1 && chanceOf(n, all) < maxChance
}

// isNodeSuspected reports that the target's failures come by a node that does not fail at the old
// releases. They may be a cut link's or those of a route that is used by that node alone: the
// share is not raised until either is ruled out.
func (e *entries) isNodeSuspected(target ident.Release) bool {
	nodes, all := e.byNode(target)
	for _, n := range nodes {
		if !failsAtOld(n, all) && failsAtTargetAlone(n, all) {
			return true
		}
	}
	return false
}

// chanceOf bounds the chance that any node has as many of the target's failures, or more, if
// all nodes fail alike.
func chanceOf(n, all nodeTallies) float64 {
	part := share(n.target.Answers, all.target.Answers)
	if part <= 0 || part >= 1 {
		return 1
	}
	chance, _ := atLeast(n.target.Failures, all.target.Failures, part)
	return chance / part // about 1/part nodes may be the one
}

// atLeast returns the chance that k or more of failures fall to a node that has the given part
// of the answers, and how many terms of the binomial distribution it added. It stops at a chance
// of part, above which no caller tells values apart, and where further terms are negligible, since
// a release that fails as a whole has many failures.
func atLeast(k, failures int, part float64) (chance float64, terms int) {
	if float64(k) <= math.Floor(part*float64(failures)) {
		return part, 0 // the median is not below the mean rounded down: half or more
	}
	for ; k <= failures; k++ {
		total, _ := math.Lgamma(float64(failures) + 1)
		chosen, _ := math.Lgamma(float64(k) + 1)
		others, _ := math.Lgamma(float64(failures-k) + 1)
		term := math.Exp(total - chosen - others + float64(k)*math.Log(part) + float64(failures-k)*math.Log(1-part))
		chance += term
		terms++
		if chance >= part || term < 1e-9 {
			break
		}
	}
	return chance, terms
}

// areSpread reports that the target's failures come by its entry nodes alike, or that nodes
// are not separated.
func (e *entries) areSpread(target ident.Release) bool {
	nodes, all := e.byNode(target)
	if all.target.Answers >= minSpreadAnswers && all.target.Failures < 2 {
		return false
	}
	for _, n := range nodes {
		if n.target.Failures > 0 && (chanceOf(n, all) < maxSpreadChance || isNodeAtFault(n, all)) {
			return false
		}
	}
	return true
}
