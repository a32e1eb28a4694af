package link

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type note struct {
	Text string `cbor:"1,keyasint"`
}

const kindNote Kind = 1

// open opens a link on loopback with a certificate from an issuer.
func open(t testing.TB, a *Authority) *Link { return openAt(t, a, "127.0.0.1:0") }

func openAt(t testing.TB, a *Authority, address string) *Link {
	certs, err := a.Issue("node", net.IPv4(127, 0, 0, 1))
	qt.Assert(t, err, qt.IsNil)
	l := &Link{TLS: Fixed(certs), Mux: &Mux{}}
	Handle(l.Mux, kindNote, func(_ context.Context, s *Stream, n note) {
		s.Send(kindNote, note{"echo " + n.Text}) //nolint:errcheck // the caller sees it.
	})
	qt.Assert(t, l.Listen(address), qt.IsNil)
	t.Cleanup(func() { l.Close() }) //nolint:errcheck // the test is over.
	return l
}

func authority(t *testing.T) *Authority {
	a, err := NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	return a
}

// TestCall exchanges messages over QUIC, also after the connection is dropped.
func TestCall(t *testing.T) {
	ca := authority(t)
	a, b := open(t, ca), open(t, ca)
	for range 2 {
		reply, err := Call[note, note](t.Context(), a.Open, b.Address(), kindNote, note{"hello"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Text, qt.Equals, "echo hello")
		a.Forget(b.Address())
	}
}

// TestStranger checks that a node with a certificate of another authority gets
// no answer.
func TestStranger(t *testing.T) {
	a, b := open(t, authority(t)), open(t, authority(t))
	_, err := Call[note, note](t.Context(), a.Open, b.Address(), kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNotNil)
}

// TestOneConnection checks that a node answers a peer over the connection that
// the peer opened.
func TestOneConnection(t *testing.T) {
	ca := authority(t)
	a, b := open(t, ca), open(t, ca)
	_, err := Call[note, note](t.Context(), a.Open, b.Address(), kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNil)
	_, err = Call[note, note](t.Context(), b.Open, a.Address(), kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.dials.Load(), qt.Equals, int64(0))
	qt.Assert(t, a.dials.Load(), qt.Equals, int64(1))
}

// TestRestart checks that a peer which restarted at its address is reached over
// the connection that it dialled, while the one of before still seems open.
func TestRestart(t *testing.T) {
	ca := authority(t)
	a, b := open(t, ca), open(t, ca)
	address := b.Address()
	_, err := Call[note, note](t.Context(), a.Open, address, kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNil)
	// The process dies without a word: its socket is gone before it could send
	// one.
	qt.Assert(t, b.socket.Close(), qt.IsNil)
	again := openAt(t, ca, address)
	_, err = Call[note, note](t.Context(), again.Open, a.Address(), kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := Call[note, note](ctx, a.Open, address, kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Text, qt.Equals, "echo hello")
}

// TestRedial checks that a new connection replaces one that went silent, and
// that streams on the old one go on.
func TestRedial(t *testing.T) {
	ca := authority(t)
	a, b := open(t, ca), open(t, ca)
	Handle(b.Mux, 2, func(_ context.Context, s *Stream, _ note) {
		s.Receive()              //nolint:errcheck // the test sees what is missing.
		s.Send(2, note{"go on"}) //nolint:errcheck // the test sees what is missing.
	})
	old, err := a.Open(t.Context(), b.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, old.Send(2, note{}), qt.IsNil)
	a.Redial(b.Address())
	_, err = Call[note, note](t.Context(), a.Open, b.Address(), kindNote, note{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.dials.Load(), qt.Equals, int64(2))
	qt.Assert(t, old.Send(2, note{}), qt.IsNil)
	_, _, err = old.Receive()
	qt.Assert(t, err, qt.IsNil)
}

// TestEnd checks that closing a stream ends the other side's context and read.
func TestEnd(t *testing.T) {
	ca := authority(t)
	a, b := open(t, ca), open(t, ca)
	ended := make(chan error, 1)
	Handle(b.Mux, 2, func(ctx context.Context, s *Stream, _ note) {
		<-ctx.Done()
		_, _, err := s.Receive()
		ended <- err
	})
	s, err := a.Open(t.Context(), b.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Send(2, note{}), qt.IsNil)
	qt.Assert(t, s.Close(), qt.IsNil)
	qt.Assert(t, <-ended, qt.IsNotNil)
}

// FuzzReadFrame checks that no bytes make the reader panic, and that what it
// reads it would write in the same way.
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
		Decode[note](body) //nolint:errcheck // it must not panic.
	})
}
