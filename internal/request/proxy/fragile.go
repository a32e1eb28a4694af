package proxy

import (
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

// fragileTTL is how long a pool is taken for fragile after an answer that says so. Answers
// that do not say so may belong to requests from before.
const fragileTTL = 3 * time.Second

// fragilePools holds the pools whose endpoints fall over if they have to reject many
// requests for want of room. Every answer of such an endpoint says so; each node learns it
// from its own answers and tells the cells with each grant request, so that a cell which
// begins elsewhere knows it as well. The zero value is empty. It is safe for concurrent use.
type fragilePools struct {
	mu    sync.Mutex
	pools map[ident.PoolID]fragilePool
}

type fragilePool struct {
	maxRejections int
	at            time.Time
}

// observe records how many rejections per second an endpoint of a pool stands, 0 for any
// number.
func (f *fragilePools) observe(pool ident.PoolID, maxRejections int, now time.Time) {
	if maxRejections == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pools == nil {
		f.pools = map[ident.PoolID]fragilePool{}
	}
	f.pools[pool] = fragilePool{maxRejections, now}
}

// maxRejections returns how many rejections per second the endpoints of a pool stand, 0 for
// any number.
func (f *fragilePools) maxRejections(pool ident.PoolID, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.pools[pool]; ok && now.Sub(p.at) < fragileTTL {
		return p.maxRejections
	}
	return 0
}
