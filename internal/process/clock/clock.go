// Package clock implements a hybrid logical clock (Kulkarni and others, "Logical
// Physical Clocks", OPODIS 2014). Its readings are close to the time of day and
// higher than every reading that it has observed and not ignored as too far ahead.
//
// # Usage
//
//	c := &clock.Clock{}
//	at := c.Now()        // the time of a local event
//	c.Observe(received)  // when a message with a reading arrives
package clock

import (
	"sync"
	"time"
)

// Time is a clock reading: Unix milliseconds in the upper 48 bits and a counter in
// the lower 16.
type Time uint64

const counterBits = 16

// maxAhead bounds how far another node's reading can advance this clock ahead of
// the time of day.
const maxAhead = time.Minute

// Clock returns strictly increasing readings. The zero value is ready for use and
// safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Time
}

func wallTime() Time { return Time(time.Now().UnixMilli()) << counterBits }

// Now returns a reading higher than all earlier readings and all observed ones that
// Observe did not ignore.
func (c *Clock) Now() Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, wallTime())
	return c.last
}

// Observe makes later readings higher than a received one. It ignores a reading
// that is more than maxAhead, one minute, ahead of the time of day.
func (c *Clock) Observe(t Time) {
	if t > wallTime()+Time(maxAhead.Milliseconds())<<counterBits {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, t)
}

// Wall returns the wall clock time of a reading, in whole milliseconds.
func (t Time) Wall() time.Time { return time.UnixMilli(int64(t >> counterBits)) }
