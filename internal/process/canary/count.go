package canary

import (
	"math/bits"

	"goldcrestwick/internal/process/ident"
)

// Key separates the counts of a pool.
type Key struct {
	Release ident.Release
	Route   string
	// Class is the class of prompt length, see ClassOf.
	Class uint8
}

// ClassOf returns the class of a prompt: the number of binary digits of the tokens that the
// endpoint has to compute, without those expected in its cache. It is 0 for plain services.
// A new endpoint, whose cache is empty, is thus compared with equal work.
func ClassOf(toCompute ident.Tokens) uint8 {
	return uint8(bits.Len64(uint64(max(toCompute, 0))))
}

// Count holds what was seen of the answers of one key. Counts of disjoint answers can be added.
type Count struct {
	// Answers is the number of requests whose answer began or that failed before. A
	// request is counted once, as early as one of them is known.
	Answers int
	// Failures is the number of requests that failed, before their answer or within it. A
	// request that failed within its answer was counted in Answers earlier.
	Failures int
	// Latency holds the time from sending a request to its endpoint to the first byte or
	// event of the answer, for answers that were no failures then.
	Latency Histogram
	// InterToken holds the mean time between the events of a stream, one value a stream.
	InterToken Histogram
}

// Add adds the counts of other answers.
func (c *Count) Add(o Count) {
	c.Answers += o.Answers
	c.Failures += o.Failures
	c.Latency.Add(&o.Latency)
	c.InterToken.Add(&o.InterToken)
}

// Entry is an entry node and a release that it sent requests to.
type Entry struct {
	Node    ident.NodeID
	Release ident.Release
}

// Tally is the number of answers and failures of an Entry, as in Count.
type Tally struct {
	Answers, Failures int
}
