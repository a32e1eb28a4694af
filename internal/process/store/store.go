// Package store is the way to the platform: its tables, its objects and its
// list of instances.
//
// A write can take effect although its answer is lost. Every transaction
// therefore ends in one of three outcomes, and the one that is unknown is
// resolved by its writer: by sending the same transaction again and looking
// for its own token in the conflict. A breaker keeps a store that is down from
// being asked by every request at once.
//
// # Usage
//
//	c := &store.Client{Service: platform.NewStore("10.0.0.5:8000").Service()}
//	result, err := c.Transact(ctx, checks, writes)
//	switch {
//	case err != nil: // unknown: perhaps applied
//	case result.Applied:
//	default: // result.Conflicts has the rows as they are
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
	// openAfter failures in a row open the breaker for a pause that doubles.
	openAfter  = 3
	firstPause = 250 * time.Millisecond
	maxPause   = 5 * time.Second
)

// The errors that callers tell apart.
var (
	// ErrUnavailable is returned without a call while the breaker is open.
	ErrUnavailable = eris.New("the platform's store is unavailable")
	// ErrFull says that the object store takes no more.
	ErrFull = eris.New("the object store is full")
	// ErrHistoryGone says that a feed cannot go on from a version: the table
	// has to be read anew.
	ErrHistoryGone = eris.New("the history after this version is gone")
)

// Service is how the platform is called.
type Service struct {
	// Transact applies all writes when all checks hold. An error means that
	// the outcome is unknown.
	Transact func(ctx context.Context, checks []Check, writes []Write) (Result, error)
	// Get reads one row; found is false when there is none.
	Get func(ctx context.Context, table, key string) (row Row, found bool, err error)
	// Scan reads a whole table as of one version.
	Scan func(ctx context.Context, table string) (rows []Row, version int64, err error)
	// Feed returns what changed in a table after a version. It waits for a
	// change for at most so long.
	Feed func(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error)
	// Put writes an object whole, Fetch reads one, Names lists those with a
	// prefix and Drop removes one.
	Put   func(ctx context.Context, name string, body []byte) error
	Fetch func(ctx context.Context, name string) ([]byte, error)
	Names func(ctx context.Context, prefix string) ([]string, error)
	Drop  func(ctx context.Context, name string) error
}

// Client is the one way to the platform. It is safe for concurrent use.
type Client struct {
	Service Service

	table    breaker
	listings breaker
	objects  breaker

	mu   sync.Mutex
	list []roster.Instance
}

// Check is a condition of a transaction: the version of a row, 0 for none.
type Check struct {
	Table, Key string
	Version    int64
}

// Write is a change in a transaction; a nil Value removes the row.
type Write struct {
	Table, Key string
	Value      []byte
}

// Row is a row as it is.
type Row struct {
	Key     string
	Version int64
	Value   []byte
	// Deleted is set in feeds for a row that was removed.
	Deleted bool
}

// Result is the known outcome of a transaction.
type Result struct {
	Applied   bool
	Conflicts []Row
}

// guarded makes a call unless its breaker is open, and tells the breaker.
func guarded(b *breaker, call func() error) error {
	if !b.allows(time.Now()) {
		return ErrUnavailable
	}
	err := call()
	b.note(time.Now(), err == nil || eris.Is(err, ErrHistoryGone) || eris.Is(err, ErrFull))
	return err
}

// Transact applies all writes when all checks hold. An error means that the
// outcome is unknown, but for ErrUnavailable, which means nothing was sent.
func (c *Client) Transact(ctx context.Context, checks []Check, writes []Write) (result Result, err error) {
	err = guarded(&c.table, func() error {
		result, err = c.Service.Transact(ctx, checks, writes)
		return err
	})
	return result, err
}

// Get reads one row; found is false when there is none.
func (c *Client) Get(ctx context.Context, table, key string) (row Row, found bool, err error) {
	err = guarded(&c.table, func() error {
		row, found, err = c.Service.Get(ctx, table, key)
		return err
	})
	return row, found, err
}

// PutObject writes an object whole.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return guarded(&c.objects, func() error { return c.Service.Put(ctx, name, body) })
}

// breaker stops calls for a pause after several failures in a row; then one
// call at a time tries whether the store is back.
type breaker struct {
	mu       sync.Mutex
	failures int
	pause    time.Duration
	until    time.Time
}

func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < openAfter {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.until = now.Add(b.pause)
	return true
}

func (b *breaker) note(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures, b.pause = 0, 0
		return
	}
	b.failures++
	if b.failures >= openAfter {
		b.pause = min(max(2*b.pause, firstPause), maxPause)
		b.until = now.Add(b.pause)
	}
}

// IsDown reports whether the table service has failed several times in a row.
func (c *Client) IsDown() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.failures >= openAfter
}

// Scan reads a whole table as of one version.
func (c *Client) Scan(ctx context.Context, table string) (rows []Row, version int64, err error) {
	return c.Service.Scan(ctx, table)
}

// Feed returns what changed in a table after a version, and waits for a change
// for at most so long. Its caller has its own pauses after failures.
func (c *Client) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error) {
	return c.Service.Feed(ctx, table, after, wait)
}

// Names lists the objects with a prefix.
func (c *Client) Names(ctx context.Context, prefix string) ([]string, error) {
	return c.Service.Names(ctx, prefix)
}

// Drop removes an object; one that is not there is no error.
func (c *Client) Drop(ctx context.Context, name string) error { return c.Service.Drop(ctx, name) }
