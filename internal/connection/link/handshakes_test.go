package link

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHandshakesBounded guards against peers that begin handshakes and do not complete them, and
// against known nodes that cannot connect because of them.
func TestHandshakesBounded(t *testing.T) {
	h := &handshakes{}
	h.setLimit(8)
	var cancels []context.CancelFunc
	begin := func(isKnown bool) (context.Context, error) {
		parent, cancel := context.WithCancel(t.Context())
		cancels = append(cancels, cancel)
		return h.begin(parent, isKnown)
	}
	for i := range 8 {
		qt.Check(t, h.needsValidation(), qt.Equals, i >= 8/validationDivisor)
		_, err := begin(false)
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := begin(false)
	qt.Check(t, errors.Is(err, errHandshakesFull), qt.IsTrue)
	known, err := begin(true)
	qt.Assert(t, err, qt.IsNil)
	for range 7 {
		_, err = begin(true)
		qt.Check(t, err, qt.IsNil)
	}
	_, err = begin(true)
	qt.Check(t, errors.Is(err, errHandshakesFull), qt.IsTrue)
	endHandshake(known)
	endHandshake(known)
	qt.Check(t, h.pending, qt.Equals, 15)
	qt.Check(t, h.refused, qt.Equals, int64(2))
	ended := make(chan struct{})
	context.AfterFunc(known, func() { close(ended) })
	for _, cancel := range cancels {
		cancel()
	}
	<-ended
}

// TestHandshakeEnds guards against complete handshakes that are still counted.
func TestHandshakeEnds(t *testing.T) {
	ca := testAuthority(t)
	a, b := listen(t, ca), listen(t, ca)
	_, err := Call[testMessage, testMessage](t.Context(), a.Open, b.Address(), kindTest, testMessage{"hello"})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.Handshakes().Pending, qt.Equals, 0)
	qt.Check(t, b.Handshakes().Limit, qt.Equals, defaultHandshakes)
}

// TestHandshakesFor checks the limits that follow from the memory.
func TestHandshakesFor(t *testing.T) {
	qt.Check(t, HandshakesFor(284<<20), qt.Equals, 151)
	qt.Check(t, HandshakesFor(64<<20), qt.Equals, 34)
	qt.Check(t, HandshakesFor(1<<20), qt.Equals, minHandshakes)
	qt.Check(t, HandshakesFor(0), qt.Equals, defaultHandshakes)
}
