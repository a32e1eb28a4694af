package guard

import "time"

// state is what a connection does.
type state uint8

const (
	// waitsForHead is that of a connection without a whole head.
	waitsForHead state = iota
	waitsForBody
	// waitsForReader is that of a connection whose client does not read.
	waitsForReader
	answers
)

// waitList holds the connections that wait for their clients, those that have waited for
// longest first. The zero value is empty.
type waitList struct{ first, last *conn }

func (l *waitList) moveToBack(c *conn) {
	l.remove(c)
	c.isListed, c.previous = true, l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *waitList) remove(c *conn) {
	if !c.isListed {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.isListed, c.previous, c.next = false, nil, nil
}

// choose returns the connection to give up for a new one, or nil if there is none: the one that
// has waited for a request for longest, if for longer than requestGrace. If there is none, an
// answer that is not read goes before a connection that may just have been opened.
func (l *waitList) choose(now time.Time) *conn {
	var young *conn
	for c := l.first; c != nil; c = c.next {
		switch {
		case c.state == waitsForReader || c.state == waitsForBody && !c.isReading: // the latter waits for the node.
		case now.Sub(c.since) >= requestGrace:
			return c
		case c.state == waitsForHead && young == nil:
			young = c
		}
	}
	if c := l.unread(now); c != nil {
		return c
	}
	return young
}

// unread returns the connection whose client has not read its answer for longest, if for longer
// than answerGrace, or nil if there is none.
func (l *waitList) unread(now time.Time) *conn {
	for c := l.first; c != nil; c = c.next {
		if c.state == waitsForReader && now.Sub(c.since) >= answerGrace {
			return c
		}
	}
	return nil
}

// largestHead returns the connection without a whole head that holds most of the budget, or nil
// if there is none.
func (l *waitList) largestHead() *conn {
	var largest *conn
	for c := l.first; c != nil; c = c.next {
		if c.state == waitsForHead && c.held > 0 && (largest == nil || c.held > largest.held) {
			largest = c
		}
	}
	return largest
}
