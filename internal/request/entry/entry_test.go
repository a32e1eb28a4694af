package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/intake"
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

// TestTargetOfResumption guards against streams that are refused amid new requests after a loss
// of nodes, since they may wait no longer than these.
func TestTargetOfResumption(t *testing.T) {
	release := ident.Release("v1")
	for _, c := range []struct {
		target, want time.Duration
		release      *ident.Release
	}{
		{target: 400 * time.Millisecond, want: 400 * time.Millisecond},
		{target: 400 * time.Millisecond, release: &release, want: resumptionTarget},
		{target: 2 * time.Second, release: &release, want: 2 * time.Second},
		{release: &release},
	} {
		now := time.Now()
		j := &Job{Request: &intake.Request{Arrived: now}, FirstTokenTarget: c.target, Release: c.release}
		qt.Check(t, j.remainingTarget(now), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
}
