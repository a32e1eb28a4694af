package store

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnreadableInstance guards against a list of instances that is no longer followed because of
// one row of another writer, such as one that is nested too deeply or has a number for a text.
func TestUnreadableInstance(t *testing.T) {
	var rows []Row
	c := &Client{Service: Service{Scan: func(context.Context, string) ([]Row, Position, error) { return rows, Position{}, nil }}}
	for i, odd := range []string{`{"id":5}`, `not JSON`, ``, `[]`} {
		rows = []Row{
			{Key: "e1", Value: []byte(`{"id":"e1","region":"r"}`)},
			{Key: "x", Value: []byte(odd)},
			{Key: "e2", Value: []byte(`{"id":"e2","region":"r"}`)},
		}
		list, _, err := c.ListInstances(t.Context(), "r")
		qt.Check(t, err, qt.ErrorMatches, ".*instance row x.*", qt.Commentf(odd))
		qt.Check(t, list, qt.HasLen, 2, qt.Commentf(odd))
		rows = append(rows, Row{Key: "e3", Value: []byte(`{"id":"e3","region":"r"}`)})
		list, changed, _ := c.ListInstances(t.Context(), "r")
		qt.Check(t, list, qt.HasLen, 3, qt.Commentf("a later row after %q", odd))
		qt.Check(t, changed, qt.IsTrue, qt.Commentf("%d", i))
	}
}
