package proxy

import (
	"context"
	"net/http"

	"goldcrestwick/internal/connection/reply"
)

// isCutOff reports whether an answer that has neither a length nor chunks, and has ended with its
// connection, was broken off.
func (x *exchange) isCutOff(ctx context.Context, resp *http.Response) bool {
	if reply.IsDelimited(resp) {
		return false
	}
	evidence, isCutOff := reply.CheckEnd(ctx, func(ctx context.Context) error {
		return x.proxy.Conns.Check(ctx, x.grant.Response.Address)
	})
	if err := x.ResetError(); err != nil {
		// The endpoint has closed the connection first, and reset it as more of the request came.
		evidence, isCutOff = err.Error(), true
	}
	x.state.result.EndCheck = evidence
	return isCutOff
}
