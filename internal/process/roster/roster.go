// Package roster holds the endpoints of a region: the pool and the cell of each,
// its address, and whether it is leaving.
//
// It merges the settings with the platform's list of instances. The settings
// define the pools and may define endpoints. The list has the addresses and
// states of endpoints, and may have endpoints that the settings do not define,
// for example after a replacement.
//
// # Usage
//
//	view := roster.Build(tree, instances, region)
//	for _, cell := range view.Cells("ekin/reports") { ... }
//	view = view.Next(tree, instances, region) // after a change
package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID string
	// IsNode is set for a node of this service, and not for an endpoint.
	IsNode  bool
	Leaving bool
	Region  ident.Region
	Zone    ident.AvailabilityZone
	// Address is where a node serves callers, or where an endpoint serves nodes.
	Address string
	// PeerAddress is where a node serves other nodes. It is set for nodes only.
	PeerAddress string
	// Endpoint, Pool, Generation and Release are set for endpoints only.
	Endpoint   ident.Endpoint
	Pool       ident.PoolID
	Generation string
	Release    ident.Release
	// Slots is the number of requests that the endpoint runs concurrently; 0
	// means unknown.
	Slots int
	// StartedUnixMilli is the start time of the endpoint in Unix milliseconds, which
	// distinguishes successive processes with the same identifier; 0 means
	// unknown.
	StartedUnixMilli int64
}

// Cell is one cell with its endpoints.
type Cell struct {
	ID ident.CellID
	// Zone is the availability zone of all endpoints, "" if the cell is not bound to
	// one.
	Zone      ident.AvailabilityZone
	Endpoints []sched.EndpointSpec
}

// View is an immutable snapshot of all cells of a region.
type View struct {
	cells     map[ident.PoolID][]Cell
	addresses map[ident.Endpoint]string
	zones     map[ident.CellID]ident.AvailabilityZone
	// sizes holds the cell sizes of the pools that have endpoints.
	sizes map[ident.PoolID]int
}

// Cells returns the cells of a pool, ordered by index. Cells without endpoints are
// left out, so the indexes may have gaps.
func (v *View) Cells(pool ident.PoolID) []Cell { return v.cells[pool] }

// Zone returns the availability zone of a cell, "" if the cell is not bound to one.
func (v *View) Zone(id ident.CellID) ident.AvailabilityZone { return v.zones[id] }

// All returns the cells of all pools, ordered by pool and index.
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

// Address returns the address of an endpoint, or "" if the endpoint is unknown.
func (v *View) Address(id ident.Endpoint) string { return v.addresses[id] }

// Build merges the settings with the instances of one region. Instances without a
// region belong to every region.
func Build(tree *config.Tree, instances []Instance, region ident.Region) *View {
	return (*View)(nil).Next(tree, instances, region)
}

// Next is Build with the forms of the pools in v, a view from before a change: a pool that
// is one cell stays one for some endpoints more. A nil view has no pools.
func (v *View) Next(tree *config.Tree, instances []Instance, region ident.Region) *View {
	listed := map[ident.Endpoint]Instance{}
	for _, in := range instances {
		if !in.IsNode && (in.Region == region || in.Region == "") {
			listed[in.Endpoint] = in
		}
	}
	specs := map[ident.PoolID][]sched.EndpointSpec{}
	configured := map[ident.Endpoint]bool{}
	for _, team := range tree.Teams {
		for _, e := range team.Endpoints {
			configured[e.ID] = true
			if spec, ok := configuredEndpoint(e, listed); ok {
				specs[e.Pool.ID] = append(specs[e.Pool.ID], spec)
			}
		}
	}
	for id, in := range listed {
		pool := tree.Pool(in.Pool)
		if configured[id] || pool == nil {
			continue
		}
		specs[pool.ID] = append(specs[pool.ID], sched.EndpointSpec{
			ID: id, Address: in.Address, Kind: pool.Kind, Generation: in.Generation, Release: in.Release, Leaving: in.Leaving,
			Zone: in.Zone, Slots: slotsOf(in, pool), StartedUnixMilli: in.StartedUnixMilli, CacheTokens: pool.CacheTokens,
		})
	}
	return v.next(tree, specs)
}

// slotsOf returns the number of slots of the pool's settings, or else the number
// that the instance reports.
func slotsOf(in Instance, pool *config.Pool) int {
	if pool.Slots > 0 {
		return pool.Slots
	}
	return in.Slots
}

// configuredEndpoint returns the spec of an endpoint that the settings define. The
// listed address takes precedence, even if it is empty, since the endpoint may have
// been replaced. It returns false if the spec has no address. The zone, the slots,
// the start time and the cache size are not set.
func configuredEndpoint(e *config.Endpoint, listed map[ident.Endpoint]Instance) (sched.EndpointSpec, bool) {
	spec := sched.EndpointSpec{ID: e.ID, Address: e.Address, Kind: e.Pool.Kind, Generation: e.Generation}
	if in, ok := listed[e.ID]; ok {
		spec.Address = in.Address
		spec.Leaving = in.Leaving
	}
	return spec, spec.Address != ""
}

func (v *View) next(tree *config.Tree, specs map[ident.PoolID][]sched.EndpointSpec) *View {
	next := &View{
		cells: map[ident.PoolID][]Cell{}, addresses: map[ident.Endpoint]string{}, zones: map[ident.CellID]ident.AvailabilityZone{},
		sizes: map[ident.PoolID]int{},
	}
	for id, all := range specs {
		slices.SortFunc(all, func(a, b sched.EndpointSpec) int { return cmp.Compare(a.ID, b.ID) })
		for _, spec := range all {
			next.addresses[spec.ID] = spec.Address
		}
		size := tree.Pool(id).CellSize
		next.sizes[id] = size
		switch {
		case !haveZones(all):
			next.cells[id] = divide(id, "", all, size)
		case len(all) <= size || v.IsWhole(id) && isWithinWholeSize(len(all), size):
			next.cells[id] = whole(id, all)
		default:
			next.cells[id] = divideByZone(id, all, size)
		}
		for _, c := range next.cells[id] {
			next.zones[c.ID] = c.Zone
		}
	}
	return next
}

// haveZones reports whether the availability zones of all endpoints are known.
func haveZones(specs []sched.EndpointSpec) bool {
	return !slices.ContainsFunc(specs, func(s sched.EndpointSpec) bool { return s.Zone == "" })
}

// divideByZone divides endpoints into cells that have endpoints of one availability
// zone each.
func divideByZone(pool ident.PoolID, specs []sched.EndpointSpec, size int) []Cell {
	zones := map[ident.AvailabilityZone][]sched.EndpointSpec{}
	for _, spec := range specs {
		zones[spec.Zone] = append(zones[spec.Zone], spec)
	}
	var cells []Cell
	for zone, inZone := range zones {
		cells = append(cells, divide(pool, zone, inZone, size)...)
	}
	slices.SortFunc(cells, func(a, b Cell) int { return cmp.Compare(a.ID.Index, b.ID.Index) })
	return cells
}

const (
	// zoneIndexes is the number of ranges of cell indexes into which the names of
	// availability zones are hashed, and maxZoneCells the length of a range.
	zoneIndexes  = 1 << 20
	maxZoneCells = 1 << 10
)

// divide divides endpoints into cells of about size endpoints by the hash of their
// identifiers. The indexes of the cells of a zone start at a number that only
// depends on the zone's name.
func divide(pool ident.PoolID, zone ident.AvailabilityZone, specs []sched.EndpointSpec, size int) []Cell {
	first := 0
	if zone != "" {
		first = (1 + int(xxhash.Sum64String(string(zone))%zoneIndexes)) * maxZoneCells
	}
	cells := make([]Cell, cellCount(len(specs), size))
	for i := range cells {
		cells[i].ID = ident.CellID{Pool: pool, Index: first + i}
		cells[i].Zone = zone
	}
	for _, spec := range specs {
		i := int(xxhash.Sum64String(string(spec.ID)) & uint64(len(cells)-1))
		cells[i].Endpoints = append(cells[i].Endpoints, spec)
	}
	return slices.DeleteFunc(cells, func(c Cell) bool { return len(c.Endpoints) == 0 })
}

// cellCount returns the number of cells of a pool, such that their mean number of
// endpoints is at most size. It is a power of two, so that growth splits cells and
// moves no endpoints between existing ones.
func cellCount(endpoints, size int) int {
	count := 1
	for count*size < endpoints {
		count *= 2
	}
	return count
}
