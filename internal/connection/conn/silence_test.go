package conn

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilentPeerCut checks by the options of a socket that a connection survives a silence of
// its peer, which acknowledges nothing, and that a dead peer is still noticed.
func TestSilentPeerCut(t *testing.T) {
	const (
		longestSilence = 1500 * time.Millisecond
		deadAfter      = 5 * time.Second
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close() //nolint:errcheck // the test is over.
	c, err := dialTCP(t.Context(), listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the test is over.
	raw, err := c.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	option := func(number int, unit time.Duration) time.Duration {
		var value int
		var optionErr error
		err := raw.Control(func(fd uintptr) { value, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, number) })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, optionErr, qt.IsNil)
		return time.Duration(value) * unit
	}
	timeout := option(tcpUserTimeout, time.Millisecond)
	idle, interval := option(syscall.TCP_KEEPIDLE, time.Second), option(syscall.TCP_KEEPINTVL, time.Second)

	// Unacknowledged bytes are sent again at intervals that double. One transmission after
	// the silence has to come before the timeout.
	retransmission, wait := time.Duration(0), 200*time.Millisecond
	for retransmission <= longestSilence {
		retransmission += wait
		wait *= 2
	}
	qt.Check(t, timeout > retransmission, qt.IsTrue, qt.Commentf("timeout %v, retransmission after %v", timeout, retransmission))
	// The timeout also ends an idle connection at the first probe after it.
	probe := idle
	for probe <= longestSilence {
		probe += interval
	}
	qt.Check(t, timeout > probe, qt.IsTrue, qt.Commentf("timeout %v, probe after %v", timeout, probe))
	qt.Check(t, timeout < deadAfter, qt.IsTrue)
}
