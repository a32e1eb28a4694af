package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"

	"goldcrestwick/internal/connection/conn"
)

// isCutOff reports whether an answer that has neither a length nor chunks, and has ended with
// its connection, was broken off: its endpoint is gone. The kernel ends the connections of a
// killed process in the same way as the process itself ends that of a whole answer. An endpoint
// that does not reply in time is no evidence, nor is one that refuses a node without a path.
func (x *exchange) isCutOff(ctx context.Context, resp *http.Response) bool {
	if conn.IsDelimited(resp) || resp.Body == http.NoBody || ctx.Err() != nil {
		return false
	}
	err := x.proxy.Conns.Check(ctx, x.grant.Response.Address)
	var network net.Error
	isLate := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout()
	return err != nil && !isLate && !(x.proxy.Reach != nil && x.proxy.Reach.IsLost())
}
