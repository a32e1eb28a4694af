// Package store is the client of the platform's store: its tables, its objects
// and its list of instances.
//
// A transaction can be applied although its response is lost. Its outcome for the
// caller is therefore one of applied, conflict and unknown. The writer resolves an unknown
// outcome by sending the same transaction again and looking for its own token in
// the conflict. A circuit breaker keeps requests from calling a store that is
// down.
//
// # Usage
//
//	c := &store.Client{Service: platform.NewStore("10.0.0.5:8000").Service()}
//	result, err := c.Transact(ctx, checks, writes)
//	switch {
//	case eris.Is(err, store.ErrUnavailable): // not applied
//	case err != nil: // unknown: perhaps applied
//	case result.Applied:
//	default: // result.Conflicts has the current rows
//	}
package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/roster"
)

const (
	// failureThreshold consecutive failures open the breaker. It stays open for
	// a period that starts at initialOpenPeriod and doubles with each further
	// failure, up to maxOpenPeriod.
	failureThreshold  = 3
	initialOpenPeriod = 250 * time.Millisecond
	maxOpenPeriod     = 5 * time.Second
)

// Errors that callers distinguish.
var (
	// ErrUnavailable is returned without a call while the breaker is open.
	ErrUnavailable = eris.New("the platform's store is unavailable")
	// ErrFull means that the object store has no space left.
	ErrFull = eris.New("the object store is full")
	// ErrHistoryGone means that a feed cannot continue from a version, because
	// the store no longer has all later changes. The caller has to scan the table again.
	ErrHistoryGone = eris.New("the history after this version is gone")
)

// Service holds the calls of the platform's store.
type Service struct {
	// Transact applies all writes if all checks hold. An error means that
	// the outcome is unknown.
	Transact func(ctx context.Context, checks []Check, writes []Write) (Result, error)
	// Get reads one row; found is false when there is none.
	Get func(ctx context.Context, table, key string) (row Row, found bool, err error)
	// Scan reads a whole table as of one position.
	Scan func(ctx context.Context, table string) (rows []Row, at Position, err error)
	// ScanRange reads the rows of a table whose keys are at least from and below to. The
	// pages of a long range may be read at different positions.
	ScanRange func(ctx context.Context, table, from, to string) (rows []Row, err error)
	// Feed returns the rows of a table that changed after a position, and the
	// position up to which it lists changes. It waits at most wait for a change. It
	// fails with ErrHistoryGone if the store no longer has all of the changes, or
	// is in another era.
	Feed func(ctx context.Context, table string, after Position, wait time.Duration) (rows []Row, at Position, err error)
	// Era returns the latest era that the store has reported; nil means that the
	// store has no eras.
	Era func() Era
	// PutObject writes an object, GetObject reads one, ListObjects returns the
	// names with a prefix and Delete deletes one.
	PutObject   func(ctx context.Context, name string, body []byte) error
	GetObject   func(ctx context.Context, name string) ([]byte, error)
	ListObjects func(ctx context.Context, prefix string) ([]string, error)
	Delete      func(ctx context.Context, name string) error
}

// Client calls the store, with circuit breakers for transactions and single rows,
// for the list of instances, and for writes of objects. It is safe for concurrent
// use.
type Client struct {
	Service Service

	tableBreaker    breaker
	instanceBreaker breaker
	objectBreaker   breaker

	contact contact

	mu   sync.Mutex
	list []roster.Instance
}

// Check is a precondition of a transaction: the version of a row, 0 if the row
// must not exist.
type Check struct {
	Table, Key string
	Version    int64
}

// Write is a write of a transaction; a nil Value deletes the row.
type Write struct {
	Table, Key string
	Value      []byte
}

// Era counts how often the store has been restored from an older copy of itself.
// A restored store has lost its latest changes and gives out their versions
// again, so versions can be compared only within one era.
type Era int64

// Position is a point in the history of the store.
type Position struct {
	Era     Era
	Version int64
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Version < q.Version
}

// Row is a row of a table at a version.
type Row struct {
	Key     string
	Version int64
	Value   []byte
	// Deleted is set for a row of a feed that was deleted.
	Deleted bool
}

// Result is the known outcome of a transaction.
type Result struct {
	Applied bool
	// Conflicts has the current rows of the checks that failed.
	Conflicts []Row
}

// withBreaker makes a call unless the breaker is open, and records its outcome in
// the breaker. ErrHistoryGone and ErrFull count as successes, since the store has
// responded.
func withBreaker(b *breaker, call func() error) error {
	if !b.allows(time.Now()) {
		return ErrUnavailable
	}
	err := call()
	b.record(time.Now(), err == nil || eris.Is(err, ErrHistoryGone) || eris.Is(err, ErrFull))
	return err
}

// Transact applies all writes if all checks hold. An error means that the outcome
// is unknown, except for ErrUnavailable, which means that nothing was sent.
func (c *Client) Transact(ctx context.Context, checks []Check, writes []Write) (result Result, err error) {
	err = withBreaker(&c.tableBreaker, func() error {
		return c.contact.observe(ctx, func() error {
			result, err = c.Service.Transact(ctx, checks, writes)
			return err
		})
	})
	return result, err
}

// Get reads one row; found is false when there is none.
func (c *Client) Get(ctx context.Context, table, key string) (row Row, found bool, err error) {
	err = withBreaker(&c.tableBreaker, func() error {
		return c.contact.observe(ctx, func() error {
			row, found, err = c.Service.Get(ctx, table, key)
			return err
		})
	})
	return row, found, err
}

// PutObject writes an object.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return withBreaker(&c.objectBreaker, func() error { return c.Service.PutObject(ctx, name, body) })
}

// breaker is a circuit breaker. After failureThreshold consecutive failures it
// rejects calls for openPeriod; then it allows one trial call per openPeriod until
// a call succeeds.
type breaker struct {
	mu         sync.Mutex
	failures   int
	openPeriod time.Duration
	openUntil  time.Time
}

// allows reports whether a call may be made at now. If it allows a trial call, it
// starts the next open period.
func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(b.openPeriod)
	return true
}

func (b *breaker) record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures, b.openPeriod = 0, 0
		return
	}
	b.failures++
	if b.failures >= failureThreshold {
		b.openPeriod = min(max(2*b.openPeriod, initialOpenPeriod), maxOpenPeriod)
		b.openUntil = now.Add(b.openPeriod)
	}
}

// IsDown reports whether at least the last failureThreshold calls of Transact and
// Get that were sent have failed.
func (c *Client) IsDown() bool {
	c.tableBreaker.mu.Lock()
	defer c.tableBreaker.mu.Unlock()
	return c.tableBreaker.failures >= failureThreshold
}

// Era returns the latest era that the store has reported, 0 if none.
func (c *Client) Era() Era {
	if c.Service.Era == nil {
		return 0
	}
	return c.Service.Era()
}

// Scan reads a whole table as of one position. It has no circuit breaker.
func (c *Client) Scan(ctx context.Context, table string) (rows []Row, at Position, err error) {
	err = c.contact.observe(ctx, func() error {
		rows, at, err = c.Service.Scan(ctx, table)
		return err
	})
	return rows, at, err
}

// ScanRange reads the rows of a table whose keys are at least from and below to. It has no
// circuit breaker.
func (c *Client) ScanRange(ctx context.Context, table, from, to string) (rows []Row, err error) {
	err = c.contact.observe(ctx, func() error {
		rows, err = c.Service.ScanRange(ctx, table, from, to)
		return err
	})
	return rows, err
}

// Feed returns the rows of a table that changed after a position, and waits at
// most wait for a change. It has no circuit breaker: its caller backs off after
// failures. It fails with ErrSilent as soon as other calls show that the store fell silent
// and is back, since a call that was sent before is not answered then.
func (c *Client) Feed(ctx context.Context, table string, after Position, wait time.Duration) (rows []Row, at Position, err error) {
	err = c.contact.observeWait(ctx, func(ctx context.Context) error {
		rows, at, err = c.Service.Feed(ctx, table, after, wait)
		return err
	})
	return rows, at, err
}

// ListObjects returns the names of the objects with a prefix.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	return c.Service.ListObjects(ctx, prefix)
}

// Delete deletes an object. Deleting an object that does not exist is not an error.
func (c *Client) Delete(ctx context.Context, name string) error { return c.Service.Delete(ctx, name) }
