// Package claims ensures that at most one request holds each idempotency key, with
// one exception for idempotent requests while the store is down.
//
// A request with a key is claimed before it is dispatched. The claim is a row in
// the platform's table service that is inserted only if absent, so one claim
// wins no matter which nodes take part. The key's coordinator node, chosen by
// rendezvous hashing, batches claims into transactions and answers retries from
// memory. The coordinator only reduces cost; safety depends on the row alone.
//
// The exception is a provisional claim: while the table cannot be written, a
// coordinator may let an idempotent request win without a row (see
// Coordinator.Since). Another coordinator may then let a second request win.
//
// When the response to a transaction is lost, the same transaction is sent
// again: if it had been applied, the row in the conflict carries the claim's own
// token.
//
// # Usage
//
//	c := &claims.Coordinator{Transact: client.Transact}
//	go c.Run(ctx)
//	result := c.Claim(ctx, claim)
//	switch result.Outcome {
//	case claims.Won: // run it, then c.Settle or c.Release
//	case claims.Taken: // join the request result.Request on result.Node
//	}
package claims

import (
	"time"

	"goldcrestwick/internal/process/ident"
)

// Key is an idempotency key of one account.
type Key struct {
	Account ident.ClientAccount
	Key     string
}

// String returns the row key.
func (k Key) String() string { return string(k.Account) + "/" + k.Key }

// Claim is an attempt to run a request under a key.
type Claim struct {
	Key     Key
	Request ident.RequestID
	// Node is the entry node that will run it.
	Node ident.NodeID
	// Token identifies this attempt.
	Token string
	// Digest is a digest of the request; a key can be used for one digest only.
	Digest uint64
	// Created is when the key was created, as stated by the caller; zero if unknown.
	Created time.Time
	// Idempotent marks requests that can safely run twice.
	Idempotent bool
}

// Outcome is the outcome of a claim.
type Outcome uint8

// The outcomes of a claim.
const (
	// Unknown means that the store could not be reached: another claim may exist.
	Unknown Outcome = iota
	// Won means that the request may be dispatched.
	Won
	// Taken means that another request holds the key: it may be running, or it
	// ran and its answer is not stored.
	Taken
	// Settled means that the request ran and its answer is in Result.Stored.
	Settled
	// Reused means that the key belongs to a request with another digest.
	Reused
)

// Result is the result of a claim.
type Result struct {
	Outcome Outcome
	// Request and Node identify the holder of the key.
	Request ident.RequestID
	Node    ident.NodeID
	Stored  *Stored
}

// Stored is the stored answer of a settled request.
type Stored struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxStoredBytes bounds the body of a stored answer; longer answers are kept by
// the entry node only.
const MaxStoredBytes = 64 << 10
