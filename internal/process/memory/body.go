package memory

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// BodyStallTime is the stall time for bodies. A sound sender's bytes arrive as they are
	// sent; a lost segment comes again within some seconds.
	BodyStallTime = 10 * time.Second
	// roomTimeout is how long a body waits for bytes that others hold. Bodies are held until
	// their requests end, so that a longer wait rarely helps, and bodies that wait for each
	// other would never get on.
	roomTimeout = 2 * time.Second
	// firstBodyBytes is the size of a body's first buffer unless the body is known to be
	// shorter. The buffer is doubled when it is full, so that what a slow sender only
	// announces takes no memory.
	firstBodyBytes = 4 << 10
)

// ErrNoRoom is the error of a body for which there are no bytes in the budget.
var ErrNoRoom = eris.New("other requests hold the memory for bodies")

// NewShare returns the share of a body. A request that is given up is ended by abandon.
func (b *Budget) NewShare(o Owner, abandon func()) *Share {
	s := b.newShare(o, abandon)
	s.isBody = true
	return s
}

// ReadAll reads a body of the given length, -1 if it is not known, to its end. The buffer
// counts towards the budget until End is called. The error is ErrNoRoom if the budget is
// used up, ErrGivenUp if the request was given up, or else the reader's or the context's.
func (s *Share) ReadAll(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 {
		size = min(size, length+1)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if err := s.reserve(ctx, size-int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
			if size *= 2; length >= size/2 {
				size = min(size, length+1) // the last byte is room for the end.
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			s.moved()
		}
		switch {
		case errors.Is(err, io.EOF):
			if !s.setComplete() {
				return nil, ErrGivenUp
			}
			return body, nil
		case err != nil && s.wasGivenUp():
			return nil, ErrGivenUp
		case err != nil:
			return nil, err
		}
	}
}

// reserve takes n bytes and waits for them for at most roomTimeout.
func (s *Share) reserve(ctx context.Context, n int64) error {
	if s.tryTake(n) {
		return nil
	}
	defer s.stopWaiting()
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for !s.tryTake(n) {
		select {
		case <-s.wake:
		case <-timeout.C:
			return ErrNoRoom
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// setComplete records that the body has arrived. It returns false if the request was given up
// before: abandon may then still be about to end the reading from the caller's connection.
func (s *Share) setComplete() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.isComplete = !s.isGivenUp
	return s.isComplete
}

func (s *Share) wasGivenUp() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.isGivenUp
}
