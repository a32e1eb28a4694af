package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// TestInFlightOfOtherForm guards against endpoints that get twice their work after the form of
// their pool has changed: the new owner of a cell must hear of requests that cells of the other
// form granted, and of no others.
func TestInFlightOfOtherForm(t *testing.T) {
	whole, zoneA, zoneB, other := ident.CellID{Pool: "p"}, ident.CellID{Pool: "p", Index: 4096}, ident.CellID{Pool: "p", Index: 8192}, ident.CellID{Pool: "q"}
	var e Entry
	for cell, request := range map[ident.CellID]ident.RequestID{whole: "whole", zoneA: "a", zoneB: "b", other: "q"} {
		e.addInFlight(cell, sched.InFlight{Request: request})
	}
	for cell, want := range map[ident.CellID][]ident.RequestID{whole: {"whole", "a", "b"}, zoneA: {"whole", "a"}, other: {"q"}} {
		var got []ident.RequestID
		for _, f := range e.InFlight(cell) {
			got = append(got, f.Request)
		}
		qt.Check(t, got, qt.ContentEquals, want, qt.Commentf(cell.String()))
	}
}
