package store

import (
	"context"
	"time"
)

// PageRows bounds the rows that one call of a scan returns.
const PageRows = 500

// objectTable stands for the objects in the labels of counted calls.
const objectTable = "objects"

// Counted returns the service with a function that is called for each call to the store,
// failed ones included, before it is made. A transaction counts for the table of its first
// write. The further pages of a scan are counted when it has succeeded.
func (s Service) Counted(count func(table, operation string)) Service {
	further := func(table, operation string, rows int) {
		for range max(rows-1, 0) / PageRows {
			count(table, operation)
		}
	}
	c := s
	c.Transact = func(ctx context.Context, checks []Check, writes []Write) (Result, error) {
		table := ""
		if len(writes) > 0 {
			table = writes[0].Table
		}
		count(table, "transact")
		return s.Transact(ctx, checks, writes)
	}
	c.Get = func(ctx context.Context, table, key string) (Row, bool, error) {
		count(table, "get")
		return s.Get(ctx, table, key)
	}
	c.Scan = func(ctx context.Context, table string) ([]Row, Position, error) {
		count(table, "scan")
		rows, at, err := s.Scan(ctx, table)
		further(table, "scan", len(rows))
		return rows, at, err
	}
	c.ScanRange = func(ctx context.Context, table, from, to string) ([]Row, error) {
		count(table, "scan_range")
		rows, err := s.ScanRange(ctx, table, from, to)
		further(table, "scan_range", len(rows))
		return rows, err
	}
	c.Feed = func(ctx context.Context, table string, after Position, wait time.Duration) ([]Row, Position, error) {
		count(table, "feed")
		return s.Feed(ctx, table, after, wait)
	}
	c.PutObject = func(ctx context.Context, name string, body []byte) error {
		count(objectTable, "put")
		return s.PutObject(ctx, name, body)
	}
	c.GetObject = func(ctx context.Context, name string) ([]byte, error) {
		count(objectTable, "get")
		return s.GetObject(ctx, name)
	}
	c.ListObjects = func(ctx context.Context, prefix string) ([]string, error) {
		count(objectTable, "list")
		return s.ListObjects(ctx, prefix)
	}
	c.Delete = func(ctx context.Context, name string) error {
		count(objectTable, "delete")
		return s.Delete(ctx, name)
	}
	return c
}
