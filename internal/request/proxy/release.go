package proxy

import (
	"context"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

// stream returns the identifier of the stream that the request begins or takes up, "" if
// its answer is none.
func (r *Request) stream() ident.RequestID {
	switch {
	case r.Route.Kind != config.Stream:
		return ""
	case r.Info.LastEventID > 0:
		return ident.CallerID(r.Info.Resumes)
	}
	return ident.CallerID(r.Info.AttemptID)
}

// bindRelease binds a request that takes up a stream to the release that began it. It
// returns the refusal of one whose release cannot be told.
func (p *Proxy) bindRelease(ctx context.Context, s *requestState) *refuse.Refusal {
	if s.Release != nil {
		s.job.Release = s.Release
		return nil
	}
	if !s.isStream() || s.Info.LastEventID == 0 || p.FindOrigin == nil {
		return nil
	}
	o, ok := p.FindOrigin(ctx, s.job, s.Route)
	if !ok {
		return originUnknown("it is not known which software release began the stream")
	}
	if o.Pool != s.Pool.ID {
		pool := p.FindPool(s.Route, o.Pool)
		if pool == nil {
			return originUnknown("the route does not lead to the pool that began the stream")
		}
		s.Pool, s.job.Pool = pool, pool
	}
	s.job.Release = &o.Release
	return nil
}

// hasOtherRelease reports whether the endpoint that a stream was granted has another release
// than that of the grant, as far as this node knows.
func (p *Proxy) hasOtherRelease(s *requestState, g *entry.Grant) bool {
	return s.isStream() && p.HasRelease != nil && !p.HasRelease(s.Pool.ID, g.Response.Endpoint, g.Response.Release)
}

func originUnknown(detail string) *refuse.Refusal {
	refusal := refuse.New(refuse.OriginUnknown, detail)
	refusal.RetryAfter = noEndpointRetryAfter
	return refusal
}

// FindPool returns a pool to which a route leads, or led until recently, so that streams that
// began there can go on. It returns nil for other pools: callers choose the names of attempts,
// and must not reach a pool through the name of another route's stream.
func (p *Proxy) FindPool(r *config.Route, id ident.PoolID) *config.Pool {
	if pool := r.FindPool(id); pool != nil || p.FindFormerPool == nil {
		return pool
	}
	return p.FindFormerPool(r.Name, id)
}
