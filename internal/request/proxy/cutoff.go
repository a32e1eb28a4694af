package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/process/tick"
)

// cutOffDelay is the time from the end of an answer's connection to the check whether its endpoint
// is gone: the kernel closes the sockets of a killed process one after the other.
const cutOffDelay = 50 * time.Millisecond

// isCutOff reports whether an answer that has neither a length nor chunks, and has ended with
// its connection, was broken off: its endpoint is gone, or may be. The kernel ends the connections of a
// killed process in the same way as the process itself ends that of a whole answer. A refused
// or reset connection is evidence. An endpoint that does not reply in time leaves it open, and then the
// answer must not look complete to its caller. Other dials fail for want of something on this node.
func (x *exchange) isCutOff(ctx context.Context, resp *http.Response) bool {
	if reply.IsDelimited(resp) {
		return false
	}
	if !tick.Sleep(ctx, cutOffDelay) {
		return true
	}
	if err := x.WriteError(); err != nil {
		// The endpoint has closed the connection first, and reset it as more of the request came.
		x.state.result.EndCheck = err.Error()
		return true
	}
	err := x.proxy.Conns.Check(ctx, x.grant.Response.Address)
	x.state.result.EndCheck = "accepted"
	if err != nil {
		x.state.result.EndCheck = err.Error()
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || isUnreachable(err) || ctx.Err() != nil
}

// isUnreachable reports whether a dial failed since no reply came, or no way led to the address.
func isUnreachable(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
