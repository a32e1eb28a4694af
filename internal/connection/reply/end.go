package reply

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"goldcrestwick/internal/process/tick"
)

// endDelay is the time from the end of an answer's connection to the check whether its endpoint is
// gone: the kernel closes the sockets of a killed process one after the other.
const endDelay = 50 * time.Millisecond

// CheckEnd reports whether an answer that ended with its connection, and that nothing else delimits,
// was broken off: its endpoint is gone, or may be. The kernel ends the connections of a killed
// process in the same way as the process itself ends that of a whole answer. Dial opens a
// connection to the endpoint. One that is refused or reset is evidence. An endpoint that does not
// reply in time leaves it open, and then the answer must not look complete. Other dials fail for
// want of something on this side. Evidence is what the dial showed.
func CheckEnd(ctx context.Context, dial func(context.Context) error) (evidence string, isCutOff bool) {
	if !tick.Sleep(ctx, endDelay) {
		return "", true
	}
	err := dial(ctx)
	if err == nil {
		return "accepted", false
	}
	isGone := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || isUnreachable(err) || ctx.Err() != nil
	return err.Error(), isGone
}

// isUnreachable reports whether a dial failed since no reply came, or no way led to the address.
func isUnreachable(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
