// Package roster knows the endpoints: which pool each serves, where it is,
// whether it is leaving, and to which cell of its pool it belongs.
//
// It joins the settings with the platform's list of instances. The settings
// name the pools and may name endpoints; the list gives addresses and states,
// and may bring endpoints that the settings do not name, as after a
// replacement.
//
// # Usage
//
//	view := roster.Build(tree, instances, region)
//	for _, cell := range view.Cells("ekin/reports") { ... }
package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID      string
	IsNode  bool
	Leaving bool
	Region  ident.Region
	Zone    ident.AvailabilityZone
	// Address is for callers of a node, and for us at an endpoint.
	Address string
	// PeerAddress is set for nodes.
	PeerAddress string
	// Endpoint, Pool and Generation are set for endpoints.
	Endpoint   ident.Endpoint
	Pool       ident.PoolID
	Generation string
	// Slots is the number of requests that the endpoint runs at once; 0 is not
	// known.
	Slots int
	// Started is the Unix millisecond of the endpoint's start, which tells two
	// lives under one identifier apart; 0 is not known.
	Started int64
}

// Cell is one cell with its endpoints.
type Cell struct {
	ID        ident.CellID
	Endpoints []sched.EndpointSpec
}

// View is an immutable picture of all cells of a region.
type View struct {
	cells     map[ident.PoolID][]Cell
	addresses map[ident.Endpoint]string
}

// Cells returns the cells of a pool in the order of their index.
func (v *View) Cells(pool ident.PoolID) []Cell { return v.cells[pool] }

// All returns the cells of all pools.
func (v *View) All() []Cell {
	var all []Cell
	for _, cells := range v.cells {
		all = append(all, cells...)
	}
	slices.SortFunc(all, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.ID.Pool, b.ID.Pool), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return all
}

// Address returns where an endpoint is, or "".
func (v *View) Address(id ident.Endpoint) string { return v.addresses[id] }

// Build joins settings and instances of one region.
func Build(tree *config.Tree, instances []Instance, region ident.Region) *View {
	listed := map[ident.Endpoint]Instance{}
	for _, in := range instances {
		if !in.IsNode && (in.Region == region || in.Region == "") {
			listed[in.Endpoint] = in
		}
	}
	specs := map[ident.PoolID][]sched.EndpointSpec{}
	named := map[ident.Endpoint]bool{}
	for _, team := range tree.Teams {
		for _, e := range team.Endpoints {
			named[e.ID] = true
			if spec, ok := fromSettings(e, listed); ok {
				specs[e.Pool.ID] = append(specs[e.Pool.ID], spec)
			}
		}
	}
	for id, in := range listed {
		pool := tree.Pool(in.Pool)
		if named[id] || pool == nil {
			continue
		}
		specs[pool.ID] = append(specs[pool.ID], sched.EndpointSpec{
			ID: id, Address: in.Address, Kind: pool.Kind, Generation: in.Generation, Leaving: in.Leaving,
			Zone: in.Zone, Slots: slotsOf(in, pool), Started: in.Started, CacheTokens: pool.CacheTokens,
		})
	}
	return divide(tree, specs)
}

// slotsOf prefers what the settings say of the pool to the endpoint's own word.
func slotsOf(in Instance, pool *config.Pool) int {
	if pool.Slots > 0 {
		return pool.Slots
	}
	return in.Slots
}

// fromSettings prefers the listed address, since an endpoint may have been
// replaced; an endpoint that is in neither place cannot be used.
func fromSettings(e *config.Endpoint, listed map[ident.Endpoint]Instance) (sched.EndpointSpec, bool) {
	spec := sched.EndpointSpec{ID: e.ID, Address: e.Address, Kind: e.Pool.Kind, Generation: e.Generation}
	if in, ok := listed[e.ID]; ok {
		spec.Address = in.Address
		spec.Leaving = in.Leaving
	}
	return spec, spec.Address != ""
}

func divide(tree *config.Tree, specs map[ident.PoolID][]sched.EndpointSpec) *View {
	v := &View{cells: map[ident.PoolID][]Cell{}, addresses: map[ident.Endpoint]string{}}
	for id, all := range specs {
		slices.SortFunc(all, func(a, b sched.EndpointSpec) int { return cmp.Compare(a.ID, b.ID) })
		count := cellCount(len(all), tree.Pool(id).CellSize)
		cells := make([]Cell, count)
		for i := range cells {
			cells[i].ID = ident.CellID{Pool: id, Index: i}
		}
		for _, spec := range all {
			i := int(xxhash.Sum64String(string(spec.ID)) & uint64(count-1))
			cells[i].Endpoints = append(cells[i].Endpoints, spec)
			v.addresses[spec.ID] = spec.Address
		}
		v.cells[id] = slices.DeleteFunc(cells, func(c Cell) bool { return len(c.Endpoints) == 0 })
	}
	return v
}

// cellCount returns a power of two, so that growth splits cells and moves no
// endpoint between the others.
func cellCount(endpoints, size int) int {
	count := 1
	for count*size < endpoints {
		count *= 2
	}
	return count
}
