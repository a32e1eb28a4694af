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

// choose returns the connection to give up for a new one: the one that has waited for a request
// for longest. If that is not longer than requestGrace, an answer that is not read goes before it.
// If no connection may be given up yet, it returns nil and the time after which to try again, or 0
// if all are being answered.
func (l *waitList) choose(now time.Time) (c *conn, retry time.Duration) {
	oldest, retry := l.silent(now)
	if oldest != nil && now.Sub(oldest.since) >= requestGrace {
		return oldest, 0
	}
	if unread := l.unread(now); unread != nil {
		return unread, 0
	}
	if oldest == nil {
		return nil, retry
	}
	if waited := now.Sub(oldest.since); waited < minWait {
		return nil, minWait - waited
	}
	return oldest, 0
}

// silent returns the connection that has waited for a request for longest. One from which bytes
// have come that net/http has not read, or not used yet, waits for the node. If there are only such
// ones, silent returns nil and the time after which to look again.
func (l *waitList) silent(now time.Time) (oldest *conn, retry time.Duration) {
	looked := 0
	for c := l.first; c != nil && looked < maxLooked; {
		next := c.next
		if c.state == waitsForHead || c.state == waitsForBody {
			retry = lookInterval
			if c.inRead {
				if !c.hasUnreadBytes() {
					return c, 0
				}
				looked++
				c.since = now
				l.moveToBack(c)
			}
		}
		c = next
	}
	return nil, retry
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
