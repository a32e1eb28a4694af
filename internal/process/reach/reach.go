// Package reach tells whether a node has lost its path to the endpoints, as opposed to
// endpoints that have failed.
//
// A node that is partitioned from all endpoints sees each of them fail. A Monitor collects
// failures at different endpoints, and the silence of all of them while requests wait for
// answers. Either makes the node suspect its own path, which it then checks: it dials some
// endpoints at random, and has lost its path if most of them cannot be reached. While it
// has, it dials on, until most can.
//
// # Usage
//
//	m := &reach.Monitor{Dial: dial, Addresses: addresses, Changed: changed}
//	go m.Run(ctx)
//	defer m.Begin()()
//	m.Answered()
//	m.Failed("e1")
//	if m.IsLost() { ... }
package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
)

const (
	// suspiciousFailures is the number of endpoints that have failed, with no success
	// between, from which a node suspects its path.
	suspiciousFailures = 2
	// silenceTime is how long nothing arrives from any endpoint before a node suspects its
	// path, while requests have been waiting for as long. It is longer than the steps of a
	// busy engine.
	silenceTime = 600 * time.Millisecond
	// checkInterval is the time between two checks, and dialTimeout bounds each.
	checkInterval = 200 * time.Millisecond
	dialTimeout   = 400 * time.Millisecond
	// sampleSize is the number of endpoints that a check dials.
	sampleSize = 8
	// lostFraction is the fraction of the dialed endpoints from which the path is lost if
	// they cannot be reached, and regainedFraction that up to which it is regained. Crashes
	// of a third of the endpoints look like a lost path once in twenty checks; the
	// distance between the two keeps a node that reaches some of them from changing its
	// mind with every sample.
	lostFraction     = 0.6
	regainedFraction = 0.3
)

// Monitor tells whether this node reaches the endpoints. Set the function fields, then call
// Run. It is safe for concurrent use.
type Monitor struct {
	// Dial opens a connection to an endpoint and closes it again.
	Dial func(ctx context.Context, address string) error
	// Addresses returns the addresses of the endpoints that should accept connections.
	Addresses func() []string
	// Changed is called when the node has lost or regained its path; it may be nil.
	Changed func(isLost bool)

	// isLost is set while the path is lost, and isSuspect while it has to be checked.
	isLost, isSuspect atomic.Bool
	// heardAt is when anything last arrived from an endpoint, in Unix nanoseconds.
	heardAt atomic.Int64
	// due is set when there is something to watch.
	due tick.Signal
	mu  sync.Mutex
	// undialed and unanswered hold the endpoints that could not be dialed since the last
	// successful dial, and those that failed to answer since the last answer.
	undialed, unanswered map[ident.Endpoint]bool
	// waiting is the number of requests at endpoints, and waitingSince the time since when
	// there has been any.
	waiting      int
	waitingSince time.Time
}

// IsLost reports whether the node has lost its path to the endpoints.
func (m *Monitor) IsLost() bool { return m.isLost.Load() }

// IsSuspect reports whether the path is lost or may be. Failures of requests then say
// nothing of their endpoints.
func (m *Monitor) IsSuspect() bool { return m.isSuspect.Load() || m.isLost.Load() }

// Begin records that a request is sent to an endpoint. The returned function must be called
// when its exchange ends.
func (m *Monitor) Begin() (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == 0 {
		m.waitingSince = time.Now()
		m.due.Set()
	}
	m.waiting++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.waiting--
	}
}

// Heard records that something has arrived from an endpoint on an open connection.
func (m *Monitor) Heard() { m.heardAt.Store(time.Now().UnixNano()) }

// Answered records that an endpoint has begun to answer.
func (m *Monitor) Answered() {
	m.Heard()
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.unanswered)
}

// Failed records that an endpoint was sent a request and failed to answer.
func (m *Monitor) Failed(id ident.Endpoint) { m.record(&m.unanswered, id) }

// Dialed records that an endpoint has accepted a connection.
func (m *Monitor) Dialed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.undialed)
}

// DialFailed records that an endpoint could not be dialed.
func (m *Monitor) DialFailed(id ident.Endpoint) { m.record(&m.undialed, id) }

func (m *Monitor) record(failures *map[ident.Endpoint]bool, id ident.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if *failures == nil {
		*failures = map[ident.Endpoint]bool{}
	}
	(*failures)[id] = true
	if len(*failures) >= suspiciousFailures {
		m.isSuspect.Store(true)
		m.due.Set()
	}
}

// Run checks the path when it is suspect until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	tick.OnDemand(ctx, checkInterval, &m.due, func(ctx context.Context) bool {
		if m.IsSuspect() || m.isSilent(time.Now()) {
			m.check(ctx)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.waiting > 0 || m.IsSuspect()
	})
}

// isSilent reports whether requests wait and nothing arrives from any endpoint.
func (m *Monitor) isSilent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting > 0 && now.Sub(m.waitingSince) > silenceTime && now.Sub(time.Unix(0, m.heardAt.Load())) > silenceTime
}

// check dials a sample of the endpoints and decides whether the path is lost.
func (m *Monitor) check(ctx context.Context) {
	addresses := m.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), sampleSize)]
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	accepted := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { accepted <- m.Dial(ctx, address) == nil }()
	}
	unreached := 0
	for range addresses {
		if !<-accepted {
			unreached++
		}
	}
	fraction := float64(unreached) / float64(max(len(addresses), 1))
	m.settle(fraction >= lostFraction || m.IsLost() && fraction > regainedFraction)
}

// settle records the result of a check.
func (m *Monitor) settle(isLost bool) {
	if !isLost {
		m.mu.Lock()
		clear(m.undialed)
		clear(m.unanswered)
		m.mu.Unlock()
		m.Heard()
	}
	changed := m.isLost.Swap(isLost) != isLost
	m.isSuspect.Store(false)
	if changed && m.Changed != nil {
		m.Changed(isLost)
	}
}
