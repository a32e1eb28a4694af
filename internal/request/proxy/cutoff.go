package proxy

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"goldcrestwick/internal/connection/conn"
)

// isCutOff reports whether an answer that has neither a length nor chunks, and has ended with
// its connection, was broken off: its endpoint is gone. The kernel ends the connections of a
// killed process in the same way as the process itself ends that of a whole answer. Only a refused
// or reset connection is evidence: other dials fail for want of something on this node, or
// because the endpoint does not reply in time. Nor is one that refuses a node without a path.
func (x *exchange) isCutOff(ctx context.Context, resp *http.Response) bool {
	if conn.IsDelimited(resp) || resp.Body == http.NoBody || ctx.Err() != nil {
		return false
	}
	err := x.proxy.Conns.Check(ctx, x.grant.Response.Address)
	isGone := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	return isGone && !(x.proxy.Reach != nil && x.proxy.Reach.IsLost())
}
