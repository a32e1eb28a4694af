package roster

import (
	"cmp"
	"maps"
	"slices"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// maxWholeFactor times the cell size is the number of endpoints up to which a pool that is
// one cell stays one. Without such a margin, the cells and their owners would change each
// time the number of endpoints passes the cell size.
const maxWholeFactor = 1.5

func isWithinWholeSize(endpoints, size int) bool {
	return float64(endpoints) <= maxWholeFactor*float64(size)
}

// IsOfZone reports whether a cell's index is that of a cell with the endpoints of one
// availability zone.
func IsOfZone(id ident.CellID) bool { return id.Index >= maxZoneCells }

// IsOtherForm reports whether two cells belong to different forms of the same pool, as they
// can exist for a moment when the form changes.
func IsOtherForm(a, b ident.CellID) bool { return a.Pool == b.Pool && IsOfZone(a) != IsOfZone(b) }

// IsWhole reports whether a pool with endpoints is one cell.
func (v *View) IsWhole(pool ident.PoolID) bool {
	return v != nil && len(v.cells[pool]) == 1 && !IsOfZone(v.cells[pool][0].ID)
}

// IsSmall reports whether a pool is one cell and has at most as many endpoints as a cell. Every
// node that has read the same rows then has it as one cell, whatever it has seen before.
func (v *View) IsSmall(pool ident.PoolID) bool {
	return v.IsWhole(pool) && len(v.cells[pool][0].Endpoints) <= v.sizes[pool]
}

// IsDivided reports whether a pool is divided by availability zone.
func (v *View) IsDivided(pool ident.PoolID) bool {
	return v != nil && len(v.cells[pool]) > 0 && IsOfZone(v.cells[pool][0].ID)
}

// CanUnite reports whether a pool that is divided by availability zone can be one cell:
// whether it is depends on how many endpoints it had before.
func (v *View) CanUnite(pool ident.PoolID) bool {
	if !v.IsDivided(pool) {
		return false
	}
	endpoints := 0
	for _, c := range v.cells[pool] {
		endpoints += len(c.Endpoints)
	}
	return isWithinWholeSize(endpoints, v.sizes[pool])
}

// Unite returns the view with a pool as one cell, or v itself if CanUnite returns false.
func (v *View) Unite(pool ident.PoolID) *View {
	if !v.CanUnite(pool) {
		return v
	}
	united := *v
	united.cells, united.zones = maps.Clone(v.cells), maps.Clone(v.zones)
	var all []sched.EndpointSpec
	for _, c := range v.cells[pool] {
		delete(united.zones, c.ID)
		all = append(all, c.Endpoints...)
	}
	united.cells[pool] = whole(pool, all)
	return &united
}

// whole returns the only cell of a pool, which has no availability zone.
func whole(pool ident.PoolID, specs []sched.EndpointSpec) []Cell {
	slices.SortFunc(specs, func(a, b sched.EndpointSpec) int { return cmp.Compare(a.ID, b.ID) })
	return []Cell{{ID: ident.CellID{Pool: pool}, Endpoints: specs}}
}
