// Package claims makes each idempotency key belong to one request.
//
// A keyed request is claimed before it is dispatched. The claim is a row in
// the platform's table service that is inserted only if absent, so whichever
// nodes take part, one claim wins. The key's home node, found by rendezvous
// hashing, gathers the claims of a short while into one transaction and
// answers repeats from memory; it is a matter of cost and not of safety, since
// the row decides.
//
// When a transaction's answer is lost, the same transaction is sent again: if
// it had taken effect, the row in the conflict carries the claim's own token.
//
// # Usage
//
//	c := &claims.Coordinator{Transact: store.Transact}
//	go c.Run(ctx)
//	result := c.Claim(ctx, claim)
//	switch result.Outcome {
//	case claims.Won: // run it, then c.Settle or c.Release
//	case claims.Taken: // join the answer at result.Holder
//	}
package claims

import (
	"time"

	"goldcrestwick/internal/request/ident"
)

// Key is an idempotency key of one account.
type Key struct {
	Account ident.ClientAccount
	Key     string
}

// String returns the row key.
func (k Key) String() string { return string(k.Account) + "/" + k.Key }

// Claim is the wish to run a request under a key.
type Claim struct {
	Key     Key
	Request ident.RequestID
	// Node is the entry node that will run it.
	Node ident.NodeID
	// Token tells this attempt from all others.
	Token string
	// Digest identifies what is asked; a key serves one only.
	Digest uint64
	// Created is when the key was made, by the caller's word; zero if unknown.
	Created time.Time
	// Idempotent marks requests whose second run would do no harm.
	Idempotent bool
}

// Outcome says how a claim ended.
type Outcome uint8

// The outcomes of a claim.
const (
	// Unsure means that the store could not be asked: another claim may exist.
	Unsure Outcome = iota
	// Won gives the right to dispatch.
	Won
	// Taken means that another request has the key and may be running.
	Taken
	// Settled means that the request ran and its stored answer is at hand.
	Settled
	// Reused means that the key belongs to a request for something else.
	Reused
)

// Result is the answer to a claim.
type Result struct {
	Outcome Outcome
	// Request and Node identify the holder of the key.
	Request ident.RequestID
	Node    ident.NodeID
	Stored  *Stored
}

// Stored is the kept answer of a settled request.
type Stored struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxStoredBytes bounds a stored answer's body; longer ones stay with the
// entry node alone.
const MaxStoredBytes = 64 << 10
