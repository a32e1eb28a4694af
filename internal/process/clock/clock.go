// Package clock is a hybrid logical clock: close to the time of day, and never
// behind anything that it has heard of (Kulkarni and others, "Logical Physical
// Clocks", OPODIS 2014).
//
// # Usage
//
//	at := c.Now()        // for what happens here
//	c.Observe(received)  // before what follows from a message
package clock

import (
	"sync"
	"time"
)

// Time is a reading: Unix milliseconds in the upper 48 bits, a counter in the
// lower 16.
type Time uint64

const counterBits = 16

// maxAhead bounds how far another node's reading can pull this clock ahead of
// the time of day.
const maxAhead = time.Minute

// Clock gives rising readings. The zero value is ready for use and safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Time
}

func wall() Time { return Time(time.Now().UnixMilli()) << counterBits }

// Now returns a reading above all before it.
func (c *Clock) Now() Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, wall())
	return c.last
}

// Observe makes later readings higher than a received one. A reading more than
// a minute ahead of the time of day is passed over.
func (c *Clock) Observe(t Time) {
	if t > wall()+Time(maxAhead.Milliseconds())<<counterBits {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, t)
}

// Wall returns the time of day of a reading.
func (t Time) Wall() time.Time { return time.UnixMilli(int64(t >> counterBits)) }
