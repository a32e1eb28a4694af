package store

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCountedPages guards against a scan of several pages, each of which the platform
// prices, being counted as one call.
func TestCountedPages(t *testing.T) {
	for rows, calls := range map[int]int{0: 1, 1: 1, PageRows: 1, PageRows + 1: 2, 3 * PageRows: 3} {
		counted := 0
		s := Service{Scan: func(context.Context, string) ([]Row, Position, error) { return make([]Row, rows), Position{}, nil }}
		_, _, err := s.Counted(func(table, operation string) {
			qt.Check(t, table+" "+operation, qt.Equals, "t scan")
			counted++
		}).Scan(t.Context(), "t")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, counted, qt.Equals, calls, qt.Commentf("%d rows", rows))
	}
}
