package memory

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// newBudget returns a budget with a limit in chunks.
func newBudget(chunks int64, stall time.Duration) *Budget {
	b := &Budget{StallTime: stall}
	b.SetLimit(chunks * chunkBytes)
	return b
}

// takeAll takes chunks until the budget refuses one, and returns their number.
func takeAll(s *Share) int {
	n := 0
	for s.tryTake(chunkBytes) {
		n++
	}
	return n
}

// TestThresholds guards against requests that are paused in the wrong order: those that hold
// much go on while those that hold little wait, or a lower tier goes on while a higher waits.
func TestThresholds(t *testing.T) {
	b := newBudget(64, time.Minute)
	high, low, later := b.newShare(Owner{"high", 0}, nil), b.newShare(Owner{"low", 2}, nil), b.newShare(Owner{"later", 0}, nil)
	qt.Check(t, takeAll(high), qt.Equals, 21) // a third.
	qt.Check(t, takeAll(low), qt.Equals, 4)   // an eighth of the 39 that are free then.
	qt.Check(t, takeAll(later), qt.Equals, 13)
	qt.Check(t, high.tryTake(chunkBytes), qt.IsFalse)
	high.End()
	qt.Check(t, takeAll(low) > 0, qt.IsTrue)
	low.End()
	later.End()
	stats := b.Stats()
	qt.Check(t, stats, qt.Equals, Stats{Limit: 64 * chunkBytes, Pauses: stats.Pauses})
}

// TestWaitingIsWoken guards against a request that waits on though bytes are free again.
func TestWaitingIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(8, time.Minute)
		first, second := b.newShare(Owner{"first", 0}, nil), b.newShare(Owner{"second", 0}, nil)
		takeAll(first)
		takeAll(second)
		first.End()
		synctest.Wait()
		<-second.wake
		qt.Check(t, second.tryTake(chunkBytes), qt.IsTrue)
		second.End()
		qt.Check(t, b.Stats().Waiting, qt.Equals, 0)
	})
}

// TestChosenStalled guards against requests that are given up though they move, though all
// that wait are stalled themselves, or more of them than are needed.
func TestChosenStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(16, time.Minute)
		var mu sync.Mutex
		var given []string
		share := func(id string, tier ident.Tier) *Share {
			var s *Share
			s = b.newShare(Owner{ident.RequestID(id), tier}, func() {
				mu.Lock()
				defer mu.Unlock()
				given = append(given, id)
				s.End()
			})
			return s
		}
		large, small, moving := share("large", 0), share("small", 0), share("moving", 0)
		low := share("low", 1)
		takeAll(low)
		takeAll(large)
		takeAll(small)
		takeAll(moving)
		for range 90 {
			time.Sleep(time.Second)
			moving.release(chunkBytes)
			takeAll(moving) // it waits for more, as the only one that is not stalled.
		}
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		qt.Check(t, given, qt.DeepEquals, []string{"low", "large"})
		for _, s := range []*Share{large, small, moving, low} {
			s.End()
		}
		time.Sleep(2 * scanInterval) // the last search.
	})
}

// TestBody guards against a slow but sound body that is given up, one that waits for good
// because others hold the memory, and one that keeps the memory though nothing more comes.
func TestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(4, BodyStallTime)
		read := func(r io.Reader, length int64, abandon func()) (*Share, []byte, error) {
			s := b.NewShare(Owner{Request: "r"}, abandon)
			body, err := s.ReadAll(t.Context(), r, length)
			return s, body, err
		}
		ours, theirs := net.Pipe()
		text := strings.Repeat("0123456789", 1200)
		var sender sync.WaitGroup
		sender.Go(func() {
			for i := 0; i < len(text); i += 1000 {
				theirs.Write([]byte(text[i : i+1000])) //nolint:errcheck // a failure shows in the body.
				time.Sleep(BodyStallTime - time.Second)
			}
			theirs.Close() //nolint:errcheck // the body is complete.
		})
		slow, body, err := read(ours, int64(len(text)), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, text)
		qt.Check(t, b.Stats().Held, qt.Equals, int64(len(text)+1))
		sender.Wait()

		began := time.Now()
		second, _, err := read(strings.NewReader(text), -1, nil)
		qt.Check(t, err, qt.Equals, ErrNoRoom)
		qt.Check(t, time.Since(began), qt.Equals, roomTimeout)
		second.End()

		// The complete body is not given up, however long its request takes.
		qt.Check(t, b.Stats().GivenUp, qt.Equals, int64(0))
		slow.End()

		stopped, other := net.Pipe()
		defer other.Close() //nolint:errcheck // the test is over.
		var reader sync.WaitGroup
		reader.Go(func() {
			s, _, err := read(stopped, int64(len(text)), func() { stopped.SetReadDeadline(time.Now()) }) //nolint:errcheck // net.Pipe supports deadlines.
			qt.Check(t, errors.Is(err, ErrGivenUp), qt.IsTrue, qt.Commentf("%v", err))
			s.End()
		})
		other.Write([]byte(text[:9000])) //nolint:errcheck // the read shows it.
		time.Sleep(BodyStallTime)
		third, body, err := read(strings.NewReader(text), int64(len(text)), nil)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, text)
		third.End()
		reader.Wait()
		time.Sleep(2 * scanInterval)
		qt.Check(t, b.Stats(), qt.Equals, Stats{Limit: 4 * chunkBytes, Pauses: 2, GivenUp: 1})
	})
}

// TestDescriptorsOfSlowCallers guards against memory that grows with the number of slow
// callers: as many as the smallest node has descriptors, none of which reads anything. It
// counts the bytes of the chunks themselves.
func TestDescriptorsOfSlowCallers(t *testing.T) {
	const callers, limit = 2870, 16 << 20
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{StallTime: AnswerStallTime}
		b.SetLimit(limit)
		ctx, leave := context.WithCancel(t.Context())
		event := []byte("id: 1\ndata: " + strings.Repeat("x", 488) + "\n\n")
		conns := make([]*Conn, callers)
		var writers sync.WaitGroup
		for i := range conns {
			ours, theirs := net.Pipe()
			defer theirs.Close() //nolint:errcheck // the test is over.
			c := NewConn(ours, b)
			conns[i] = c
			c.Begin(ctx, Owner{Request: "r"})
			writers.Go(func() {
				var err error
				for err == nil {
					_, err = c.Write(event)
				}
				qt.Check(t, c.Finish(), qt.Equals, context.Canceled)
			})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		counted := 0
		for _, c := range conns {
			c.queue.mu.Lock()
			counted += len(c.queue.chunks)
			if c.queue.isDraining {
				counted++ // the one that is being written.
			}
			c.queue.mu.Unlock()
		}
		stats := b.Stats()
		// What is not counted, for each caller.
		fixed := int(unsafe.Sizeof(Conn{}) + unsafe.Sizeof(queue{}) + unsafe.Sizeof(Share{}))
		t.Logf("%d callers of %d hold %d chunks, %d bytes of %d, and %d bytes each", stats.Holders, callers, counted, stats.Held, limit, fixed)
		qt.Check(t, fixed <= 640, qt.IsTrue)
		qt.Check(t, int(unsafe.Sizeof(chunk{})), qt.Equals, chunkBytes)
		qt.Check(t, int64(counted*chunkBytes), qt.Equals, stats.Held)
		qt.Check(t, stats.Held <= limit, qt.IsTrue)
		qt.Check(t, stats.Held > limit/2, qt.IsTrue)
		leave()
		writers.Wait()
		qt.Check(t, b.Stats().Held, qt.Equals, int64(0))
		for _, c := range conns {
			c.Close() //nolint:errcheck // the test is over.
		}
		time.Sleep(2 * scanInterval)
	})
}

// TestTCP guards against bytes that are lost or out of order on TCP connections, where
// writes are made without a deadline, and checks that a caller that keeps up holds nothing.
func TestTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	b := newBudget(64, AnswerStallTime)
	listener := &Listener{Listener: l, Budget: b}
	defer listener.Close()                            //nolint:errcheck // the test is over.
	text := strings.Repeat("0123456789abcdef", 1<<18) // 4 MB, more than the kernel takes.
	var server sync.WaitGroup
	server.Go(func() {
		accepted, err := listener.Accept()
		if !qt.Check(t, err, qt.IsNil) {
			return
		}
		c, ok := accepted.(*Conn)
		qt.Check(t, ok, qt.IsTrue)
		c.Begin(t.Context(), Owner{Request: "r"})
		for i := 0; i < len(text); i += 1 << 10 {
			if _, err := c.Write([]byte(text[i : i+1<<10])); !qt.Check(t, err, qt.IsNil) {
				break
			}
		}
		qt.Check(t, c.Finish(), qt.IsNil)
		qt.Check(t, c.CloseWrite(), qt.IsNil)
		c.Close() //nolint:errcheck // all is written.
	})
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got) == text, qt.IsTrue)
	server.Wait()
	qt.Check(t, b.Stats().Held, qt.Equals, int64(0))
}

// BenchmarkWrite measures an event written directly and through a Conn to a caller that
// keeps up.
func BenchmarkWrite(b *testing.B) {
	for _, name := range []string{"direct", "buffered"} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			defer l.Close() //nolint:errcheck // the benchmark is over.
			go func() {
				if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
					io.Copy(io.Discard, c) //nolint:errcheck // it ends with the connection.
				}
			}()
			c, err := l.Accept()
			qt.Assert(b, err, qt.IsNil)
			defer c.Close() //nolint:errcheck // the benchmark is over.
			if name == "buffered" {
				wrapped := NewConn(c, newBudget(64, AnswerStallTime))
				wrapped.Begin(b.Context(), Owner{})
				c = wrapped
			}
			event := []byte("id: 1\ndata: " + strings.Repeat("x", 100) + "\n\n")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
