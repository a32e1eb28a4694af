// Package ident defines the types of identifiers and units that all packages
// share.
//
// The zero value of a string identifier means "none". Identifiers are strings,
// integers and small structs, so that they can be map keys and are cheap to copy.
//
// # Usage
//
//	id := ident.NewRequestID()
//	cell := ident.CellID{Pool: "ekin/reports", Index: 3}
//	fmt.Println(id, cell) // 06h3...  ekin/reports#3
package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"
)

// RequestID identifies one request from its arrival to its completion. Request
// identifiers sort by creation time.
type RequestID string

// ClientAccount names a client account as "team/account".
type ClientAccount string

// Team names a team. Each team owns one subtree of the settings.
type Team string

// NodeID names one entry node, which is one process of the scheduler.
type NodeID string

// Endpoint identifies a model runner or an application runner.
type Endpoint string

// Release names a release of the software that an endpoint runs, "" if it is not known.
type Release string

// PoolID names a pool as "team/pool".
type PoolID string

// Region names a group of availability zones.
type Region string

// AvailabilityZone names one availability zone.
type AvailabilityZone string

// Version is the number of an accepted version of the settings; a higher one is
// newer.
type Version uint64

// Tier is the rank of a service tier; 0 is the highest.
type Tier uint8

// Tokens is a number of prompt or output tokens.
type Tokens int64

// Plus returns the sum of two numbers that are not negative, or the largest number if the sum
// is larger.
func (t Tokens) Plus(u Tokens) Tokens {
	if t > math.MaxInt64-u {
		return math.MaxInt64
	}
	return t + u
}

// Rate is a number of requests per second.
type Rate float64

// Fingerprint is a hash that identifies a prompt prefix.
type Fingerprint uint64

// Trait identifies something that requests have in common, such as a part of their prompts,
// whatever parts stand before it.
type Trait uint64

// MaxTiers bounds the number of tiers in one settings tree.
const MaxTiers = 16

// CellID identifies one cell, a bounded subset of a pool's endpoints.
type CellID struct {
	Pool  PoolID
	Index int
}

// String returns "pool#index".
func (c CellID) String() string { return fmt.Sprintf("%s#%d", c.Pool, c.Index) }

// Name returns the account's name within its team.
func (a ClientAccount) Name() string {
	_, name, _ := strings.Cut(string(a), "/")
	return name
}

// EndpointKind is what an endpoint runs: models or applications.
type EndpointKind uint8

// The endpoint kinds.
const (
	ModelRunner EndpointKind = iota
	ApplicationRunner
)

// String returns the kind as written in the settings.
func (k EndpointKind) String() string {
	if k == ApplicationRunner {
		return "application_runner"
	}
	return "model_runner"
}

var requestIDEncoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// maxCallerIDBytes bounds a caller's identifier of a request. Identifiers are kept after their
// requests, and callers choose them.
const maxCallerIDBytes = 256

// CallerID returns the identifier that a caller gives to a request, or the SHA-256 of one that is
// longer than maxCallerIDBytes.
func CallerID(text string) RequestID {
	if len(text) <= maxCallerIDBytes {
		return RequestID(text)
	}
	sum := sha256.Sum256([]byte(text))
	return RequestID(hex.EncodeToString(sum[:]))
}

// NewRequestID returns a new identifier: 6 bytes of Unix milliseconds and 10
// random bytes, in lower-case Crockford base 32, which keeps their order.
func NewRequestID() RequestID {
	return RequestID(requestIDEncoding.EncodeToString(newIDBytes(time.Now())))
}

// NewToken returns a new unique token, in the format of a request identifier.
func NewToken() string { return string(NewRequestID()) }

// newIDBytes returns the bytes of an identifier created at the given time.
func newIDBytes(now time.Time) []byte {
	raw := make([]byte, 16)
	ms := now.UnixMilli()
	for i := range 6 {
		raw[i] = byte(ms >> (8 * (5 - i)))
	}
	rand.Read(raw[6:]) //nolint:errcheck // crypto/rand.Read never fails.
	return raw
}

// Join returns names separated by spaces, for logs.
func Join[Name ~string](names []Name) string {
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(name))
	}
	return b.String()
}
