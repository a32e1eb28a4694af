// Package ident holds the named types for identifiers and units that every
// other package shares.
//
// The zero value of each identifier means "none". Identifiers are plain
// strings and integers, so that they can be map keys and cost nothing to copy.
//
// # Usage
//
//	id := ident.NewRequestID()
//	cell := ident.CellID{Pool: "ekin/reports", Index: 3}
//	fmt.Println(id, cell) // 01jd...  ekin/reports#3
package ident

import (
	"crypto/rand"
	"encoding/base32"
	"fmt"
	"strings"
	"time"
)

// RequestID identifies one request through its whole life. It sorts by the
// time of its creation.
type RequestID string

// ClientAccount names a client account as "team/account".
type ClientAccount string

// Team names a team, the owner of one settings subtree.
type Team string

// NodeID names one process of the scheduler.
type NodeID string

// Endpoint names a model runner or an application runner.
type Endpoint string

// PoolID names a pool as "team/pool".
type PoolID string

// Region names a group of availability zones.
type Region string

// AvailabilityZone names one availability zone.
type AvailabilityZone string

// Version numbers an accepted configuration; a higher one is newer.
type Version uint64

// Tier ranks requests: 0 is the highest.
type Tier uint8

// Tokens counts prompt or output tokens.
type Tokens int64

// Fingerprint is a hash that identifies a prompt prefix.
type Fingerprint uint64

// MaxTiers bounds the number of tiers in one settings tree.
const MaxTiers = 16

// CellID names one cell, a bounded share of a pool's endpoints.
type CellID struct {
	Pool  PoolID
	Index int
}

// String returns "pool#index".
func (c CellID) String() string { return fmt.Sprintf("%s#%d", c.Pool, c.Index) }

// Name returns the part of the account after its team.
func (a ClientAccount) Name() string {
	_, name, _ := strings.Cut(string(a), "/")
	return name
}

// Kind says what an endpoint runs.
type Kind uint8

// The kinds of endpoint.
const (
	ModelRunner Kind = iota
	ApplicationRunner
)

// String returns the kind as settings spell it.
func (k Kind) String() string {
	if k == ApplicationRunner {
		return "application_runner"
	}
	return "model_runner"
}

var encoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// NewRequestID returns a fresh identifier: 6 bytes of Unix milliseconds, then
// 10 random bytes, in lower-case base 32.
func NewRequestID() RequestID {
	return RequestID(encoding.EncodeToString(stamped(time.Now())))
}

// NewToken returns a fresh attempt token in the form of a request identifier.
func NewToken() string { return string(NewRequestID()) }

func stamped(now time.Time) []byte {
	raw := make([]byte, 16)
	ms := now.UnixMilli()
	for i := range 6 {
		raw[i] = byte(ms >> (8 * (5 - i)))
	}
	rand.Read(raw[6:]) //nolint:errcheck // crypto/rand.Read never fails.
	return raw
}
