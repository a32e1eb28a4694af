package entry

import (
	"cmp"
	"slices"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// chooseCell selects a cell of the request's pool, one of the node's availability
// zone if there is any, by rendezvous hashing of the beginning of the prompt, so that the requests of a chat go to the cell whose
// endpoints have its prefix cached. Requests without a prefix are distributed by
// their identifier. It returns false if the pool has no cells.
func (e *Entry) chooseCell(j *Job) (ident.CellID, bool) {
	all := e.Cells.Roster().Cells(j.Pool.ID)
	if len(all) == 0 {
		return ident.CellID{}, false
	}
	key := j.cellKey()
	best, bestScore, bestIsNear := all[0].ID, uint64(0), false
	for _, c := range all {
		if len(all) > 1 && !e.hasUsableEndpoint(j, c) {
			continue
		}
		isNear := c.Zone == e.Zone
		score := member.Score(key, c.ID.String())
		if isNear && !bestIsNear || isNear == bestIsNear && score >= bestScore {
			best, bestScore, bestIsNear = c.ID, score, isNear
		}
	}
	return best, true
}

// hasOtherCells reports whether another cell of the request's pool has an endpoint for it.
func (e *Entry) hasOtherCells(j *Job, id ident.CellID) bool {
	return slices.ContainsFunc(e.Cells.Roster().Cells(j.Pool.ID), func(c roster.Cell) bool {
		return c.ID != id && e.hasUsableEndpoint(j, c)
	})
}

// RankCells returns the cells of a pool in the order in which chooseCell prefers them for the
// request, whether or not they have an endpoint for it.
func (e *Entry) RankCells(j *Job, pool ident.PoolID) []ident.CellID {
	type candidate struct {
		id     ident.CellID
		isNear bool
		score  uint64
	}
	var all []candidate
	key := j.cellKey()
	for _, c := range e.Cells.Roster().Cells(pool) {
		all = append(all, candidate{c.ID, c.Zone == e.Zone, member.Score(key, c.ID.String())})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		switch {
		case a.isNear == b.isNear:
			return cmp.Compare(b.score, a.score)
		case a.isNear:
			return -1
		}
		return 1
	})
	ranked := make([]ident.CellID, len(all))
	for i, c := range all {
		ranked[i] = c.id
	}
	return ranked
}

// cellKey returns the key by which the cell of the request is chosen.
func (j *Job) cellKey() string {
	if n := len(j.Request.Prefix); n > 0 {
		return fingerprintKey(j.Request.Prefix[min(n, affinityBlocks)-1])
	}
	return string(j.Request.ID)
}

// hasUsableEndpoint reports whether a cell has an endpoint at which the job may run, and
// which is neither leaving nor to be avoided.
func (e *Entry) hasUsableEndpoint(j *Job, c roster.Cell) bool {
	return slices.ContainsFunc(c.Endpoints, func(s sched.EndpointSpec) bool {
		return !s.Leaving && !slices.Contains(j.Avoid, s.ID) &&
			(j.Release == nil && e.Cells.MayRunAt(j.Pool.ID, s) || j.Release != nil && *j.Release == s.Release)
	})
}

// affinityBlocks is the number of leading blocks of a prompt that determine its
// cell. It is more than one because different chats often share the first blocks,
// such as a system prompt.
const affinityBlocks = 8

func fingerprintKey(f ident.Fingerprint) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(f >> (8 * i))
	}
	return string(b[:])
}

// hasRelease reports whether a grant is for an endpoint of the release that the request is bound to.
// The node of a cell may run a build that grants any endpoint and does not state its release, which
// is then set as this node knows it.
func (e *Entry) hasRelease(pool ident.PoolID, req *sched.GrantRequest, g *Grant) bool {
	if g.Response.Release != "" || req.Stream == "" && req.Release == nil {
		return true
	}
	g.Response.Release = e.Cells.ReleaseOf(pool, g.Response.Endpoint)
	return req.Release == nil || g.Response.Release == *req.Release
}
