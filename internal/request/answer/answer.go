// Package answer is the form in which an answer travels from an endpoint to
// the callers that wait for it.
//
// An answer has a head and then pieces, numbered from 0 without gaps; the last
// piece is marked. A Recording keeps all of it, so that a caller who sends a
// keyed request again can follow from any piece while the answer still runs.
//
// # Usage
//
//	rec := &answer.Recording{}
//	go produce(rec.Sink())
//	err := rec.Follow(ctx, 0, sink) // as often as there are callers
package answer

import (
	"context"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
)

// Head begins an answer.
type Head struct {
	Status int
	Header http.Header
	// Endpoint and Request identify the run.
	Endpoint ident.Endpoint
	Request  ident.RequestID
}

// Usage is an endpoint's token count.
type Usage struct {
	Prompt ident.Tokens
	Cached ident.Tokens
	Output ident.Tokens
}

// Chunk is one part of an answer's body.
type Chunk struct {
	// Number counts from 0.
	Number int
	// Offset counts a model's tokens up to and with this piece.
	Offset int
	// Data is the text of a model's tokens or a part of a service's body.
	Data []byte
	// Last marks the end of a whole answer.
	Last bool
	// Finish is the model's reason to stop, with the last piece.
	Finish string
	// Usage is set with the last piece of a model's answer.
	Usage Usage
}

// Sink takes an answer as it comes. Both functions return an error when the
// caller is gone; neither may keep its argument's Data.
type Sink struct {
	Head  func(Head) error
	Chunk func(Chunk) error
}

// ErrTooLong is returned when an answer outgrew its recording.
var ErrTooLong = eris.New("answer is longer than the recording can hold")

// Recording keeps one answer in memory. The zero value is empty and ready for
// use; it is safe for concurrent use.
type Recording struct {
	// Limit bounds the bytes kept; 0 is without limit.
	Limit int

	mu      sync.Mutex
	head    *Head
	pieces  []Chunk
	bytes   int
	refusal *refuse.Refusal
	ended   bool
	changed chan struct{}
}

// Sink returns the sink that writes the recording.
func (r *Recording) Sink() Sink {
	return Sink{
		Head: func(h Head) error {
			r.update(func() { r.head = &h })
			return nil
		},
		Chunk: r.add,
	}
}

func (r *Recording) add(p Chunk) error {
	p.Data = append([]byte(nil), p.Data...)
	var err error
	r.update(func() {
		if r.Limit > 0 && r.bytes+len(p.Data) > r.Limit {
			err = ErrTooLong
			return
		}
		r.bytes += len(p.Data)
		r.pieces = append(r.pieces, p)
		r.ended = r.ended || p.Last
	})
	return err
}

// Fail ends the recording without a whole answer.
func (r *Recording) Fail(refusal *refuse.Refusal) {
	r.update(func() {
		if !r.ended {
			r.refusal = refusal
			r.ended = true
		}
	})
}

// Bytes returns the size of what is kept.
func (r *Recording) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Ended reports whether the answer is whole or has failed.
func (r *Recording) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

func (r *Recording) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Follow passes the answer from a piece on to a sink, until it ends or the
// context does. A failed answer is returned as its refusal.
func (r *Recording) Follow(ctx context.Context, from int, to Sink) error {
	headSent := false
	for {
		head, pieces, ended, refusal, wait := r.after(from)
		if head != nil && !headSent {
			headSent = true
			if err := to.Head(*head); err != nil {
				return err
			}
		}
		for _, p := range pieces {
			if err := to.Chunk(p); err != nil {
				return err
			}
			from++
		}
		if ended {
			if refusal != nil {
				return refusal
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wait:
		}
	}
}

func (r *Recording) after(from int) (*Head, []Chunk, bool, *refuse.Refusal, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	rest := r.pieces[min(max(from, 0), len(r.pieces)):]
	return r.head, rest, r.ended, r.refusal, r.changed
}
