package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type testMessage struct {
	Text string `cbor:"1,keyasint"`
}

const kindTest Kind = 1

// listen returns a node that listens on loopback with a certificate from an
// authority.
func listen(t testing.TB, a *Authority) *Transport { return listenAt(t, a, "127.0.0.1:0") }

func listenAt(t testing.TB, a *Authority, address string) *Transport {
	certs, err := a.Issue("node", net.IPv4(127, 0, 0, 1))
	qt.Assert(t, err, qt.IsNil)
	node := &Transport{TLSConfig: StaticTLSConfig(certs), Mux: &Mux{}}
	Handle(node.Mux, kindTest, func(_ context.Context, s *Stream, m testMessage) {
		s.Send(kindTest, testMessage{"echo " + m.Text}) //nolint:errcheck // a failure shows in the caller.
	})
	qt.Assert(t, node.Listen(address), qt.IsNil)
	t.Cleanup(func() { node.Close() }) //nolint:errcheck // the test is over.
	return node
}

func testAuthority(t *testing.T) *Authority {
	a, err := NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	return a
}

// TestCall checks a call over QUIC, and a second one after the connection was
// closed.
func TestCall(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	for range 2 {
		reply, err := Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindTest, testMessage{"hello"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Text, qt.Equals, "echo hello")
		a.Forget(b.Address())
	}
}

// TestKeyExchange guards against a handshake with a key exchange that costs more.
func TestKeyExchange(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	_, err := a.Open(t.Context(), b.Address())
	qt.Assert(t, err, qt.IsNil)
	state := a.peers[b.Address()].conn.Load().ConnectionState().TLS
	qt.Check(t, state.CurveID, qt.Equals, tls.CurveP256)
}

// TestHandlerPanic checks that a message whose handler panics ends its stream only.
func TestHandlerPanic(t *testing.T) {
	const kindPanic Kind = 2
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	panics := make(chan any, 1)
	b.Mux.Panicked = func(_ Kind, value any, _ []byte) { panics <- value }
	Handle(b.Mux, kindPanic, func(context.Context, *Stream, testMessage) { panic("malformed") })
	_, err := Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindPanic, testMessage{})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, <-panics, qt.Equals, any("malformed"))
	reply, err := Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply.Text, qt.Equals, "echo hello")
}

// TestOtherAuthorityRejected checks that a call fails if the nodes' certificates
// are from different authorities.
func TestOtherAuthorityRejected(t *testing.T) {
	a, b := listen(t, testAuthority(t)), listen(t, testAuthority(t))
	_, err := Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNotNil)
}

// TestIncomingConnectionReused checks that a node calls a peer over the connection
// that the peer opened, without dialing.
func TestIncomingConnectionReused(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	_, err := Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	_, err = Call[testMessage, testMessage](t.Context(), b.Open, a.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.dialCount.Load(), qt.Equals, int64(0))
	qt.Assert(t, a.dialCount.Load(), qt.Equals, int64(1))
}

// TestArrivalAwaited guards against a second connection to a peer whose own connection is
// being opened, and against a wait for one that is not opened in time.
func TestArrivalAwaited(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	a.arrivals.begin(b.Address(), time.Now())
	opened := make(chan error)
	go func() {
		_, err := a.Open(t.Context(), b.Address())
		opened <- err
	}()
	_, err := Call[testMessage, testMessage](t.Context(), b.Open, a.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-opened, qt.IsNil)
	qt.Check(t, a.dialCount.Load()+b.dialCount.Load(), qt.Equals, int64(1))

	c := listen(t, ca)
	a.arrivals.begin(c.Address(), time.Now())
	_, err = Call[testMessage, testMessage](t.Context(), a.Open, c.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
}

// TestArrivalsBounded guards against memory that peers use up which never finish a handshake.
func TestArrivalsBounded(t *testing.T) {
	var a arrivals
	now := time.Now()
	for i := range 2 * maxArrivals {
		a.begin(fmt.Sprint(i), now)
	}
	qt.Check(t, len(a.pending), qt.Equals, maxArrivals)
	a.begin("later", now.Add(arrivalTimeout))
	qt.Check(t, len(a.pending), qt.Equals, 1)
}

// packetCounter counts the packets that a node sends.
type packetCounter struct {
	net.PacketConn
	sent *atomic.Int64
}

func (c packetCounter) WriteTo(b []byte, to net.Addr) (int, error) {
	c.sent.Add(1)
	return c.PacketConn.WriteTo(b, to)
}

// TestPacketsOfCall guards against packets besides the two with a call's messages: while calls
// follow each other, these carry the acknowledgements as well. There were 4 for each call when
// every stream that ended raised the peer's limit.
func TestPacketsOfCall(t *testing.T) {
	const calls = 200
	var sent atomic.Int64
	ca := testAuthority(t)
	var nodes []*Transport
	for range 2 {
		certs, err := ca.Issue("node", net.IPv4(127, 0, 0, 1))
		qt.Assert(t, err, qt.IsNil)
		node := &Transport{TLSConfig: StaticTLSConfig(certs), Mux: &Mux{}, WrapSocket: func(c net.PacketConn) net.PacketConn { return packetCounter{c, &sent} }}
		Handle(node.Mux, kindTest, func(_ context.Context, s *Stream, m testMessage) {
			s.Send(kindTest, m) //nolint:errcheck // a failure shows in the caller.
		})
		qt.Assert(t, node.Listen("127.0.0.1:0"), qt.IsNil)
		t.Cleanup(func() { node.Close() }) //nolint:errcheck // the test is over.
		nodes = append(nodes, node)
	}
	call := func() {
		_, err := Call[testMessage, testMessage](t.Context(), nodes[0].Open, nodes[1].Address(), kindTest, testMessage{"hello"})
		qt.Assert(t, err, qt.IsNil)
	}
	call()
	sent.Store(0)
	for range calls {
		call()
	}
	qt.Check(t, sent.Load() <= 3*calls, qt.IsTrue, qt.Commentf("%d packets", sent.Load()))
}

// TestPeerRestart checks that a peer that restarted at the same address is reached
// over the connection that it dialed, although the connection to the previous
// process is still considered open.
func TestPeerRestart(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	address := b.Address()
	_, err := Call[testMessage, testMessage](t.Context(), a.Open, address, kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	// Closing the socket simulates a crash: the process cannot send a
	// CONNECTION_CLOSE.
	qt.Assert(t, b.socket.Close(), qt.IsNil)
	again := listenAt(t, ca, address)
	_, err = Call[testMessage, testMessage](t.Context(), again.Open, a.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := Call[testMessage, testMessage](ctx, a.Open, address, kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Text, qt.Equals, "echo hello")
}

// TestRedial checks that the next call after Redial uses a new connection, and that
// streams on the old connection still work.
func TestRedial(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	Handle(b.Mux, 2, func(_ context.Context, s *Stream, _ testMessage) {
		s.Receive()                         //nolint:errcheck // a failure shows in the test.
		s.Send(2, testMessage{"continued"}) //nolint:errcheck // a failure shows in the test.
	})
	old, err := a.Open(t.Context(), b.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, old.Send(2, testMessage{}), qt.IsNil)
	a.Redial(b.Address())
	_, err = Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.dialCount.Load(), qt.Equals, int64(2))
	qt.Assert(t, old.Send(2, testMessage{}), qt.IsNil)
	_, _, err = old.Receive()
	qt.Assert(t, err, qt.IsNil)
}

// TestCloseEndsStream checks that closing a stream cancels the peer's context and
// ends its Receive.
func TestCloseEndsStream(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	ended := make(chan error, 1)
	Handle(b.Mux, 2, func(ctx context.Context, s *Stream, _ testMessage) {
		<-ctx.Done()
		_, _, err := s.Receive()
		ended <- err
	})
	s, err := a.Open(t.Context(), b.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Send(2, testMessage{}), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)
	qt.Assert(t, <-ended, qt.IsNotNil)
}

// FuzzReadFrame checks that no input makes ReadFrame or Decode panic, and that
// AppendFrame encodes a frame that was read to the same bytes.
func FuzzReadFrame(f *testing.F) {
	f.Add(AppendFrame(nil, 3, []byte{0xa1, 0x01, 0x61, 0x78}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 2})
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		kind, body, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		qt.Assert(t, bytes.HasPrefix(raw, AppendFrame(nil, kind, body)), qt.IsTrue)
		Decode[testMessage](body) //nolint:errcheck // it must not panic.
	})
}
