package guard

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"time"
)

const (
	// bufferBytes is the size of the read buffer of net/http.
	bufferBytes = 4 << 10
	// lingerTime is how long a connection stays half closed after a refusal, as in net/http, so
	// that the refusal is not lost.
	lingerTime = 500 * time.Millisecond
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// conn is a connection of a Port.
type conn struct {
	net.Conn
	port *Port

	// The fields below are used by the goroutine of net/http that reads.

	// inHead is set until net/http has read a head, and hasBlank if its blank line seems to have
	// come. If net/http reads on nevertheless, the line was within the head.
	inHead, hasBlank bool
	// headBytes and headLines count what has come of the head. lineBytes and lineStart are the
	// length of the last line so far and that line's first byte.
	headBytes, headLines int64
	lineBytes            int64
	lineStart            byte
	// bodyBytes is the length of the request's body, -1 if it is not known. behindHead counts
	// what has come since the head, and behindLines the lines in the last read of it.
	bodyBytes, behindHead, behindLines int64

	// The fields below are guarded by Port.mu.

	state       state
	isAnswering bool
	// since is when the connection began to wait for its client. inRead is set while Read waits for
	// bytes; between two reads the connection waits for the node.
	since  time.Time
	inRead bool
	// held is the cost of the head beyond headAllowance, and progress counts the bytes of a body
	// since the connection began to wait.
	held, progress int64
	// isRefused is set if a refusal was written that is to be read before the close.
	isRefused, isRemoved bool
	isListed             bool
	previous, next       *conn
}

// headCost returns what a head of so many bytes and lines costs beyond headAllowance.
func headCost(n, lines int64) int64 { return max(n*byteFactor+lines*lineBytes-headAllowance, 0) }

// Read reads from the client. The cost of a head is known, and held, before its bytes are
// returned; if there is no room for it, the client gets the refusal, and the error makes
// net/http close the connection without another answer.
func (c *conn) Read(b []byte) (int, error) {
	c.setInRead(true)
	n, err := c.Conn.Read(b)
	c.setInRead(false)
	if n == 0 {
		return n, err
	}
	if !c.inHead {
		c.countBehind(b[:n])
		return n, err
	}
	c.countHead(b[:n])
	if c.headBytes > c.port.headerBytes()+headerSlackBytes {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, HeaderTooLarge)
		return 0, os.ErrDeadlineExceeded
	}
	if cost := headCost(c.headBytes, c.headLines); cost > 0 && !c.hold(cost) {
		c.refuse(http.StatusServiceUnavailable, HeadsFull)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// countHead counts the part of a read that belongs to the head.
func (c *conn) countHead(b []byte) {
	if c.hasBlank {
		c.hasBlank = false
		c.headBytes += c.behindHead
		c.headLines += c.behindLines
	}
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			c.headBytes += int64(len(b))
			c.countLine(b)
			return
		}
		c.countLine(b[:i])
		isBlank := c.lineBytes == 0 || c.lineBytes == 1 && c.lineStart == '\r'
		c.headBytes += int64(i) + 1
		c.lineBytes = 0
		b = b[i+1:]
		if isBlank && c.headLines > 0 {
			c.hasBlank = true
			c.behindHead, c.behindLines = 0, 0
			c.countBehind(b)
			return
		}
		c.headLines++
	}
}

// countLine counts a part of a line.
func (c *conn) countLine(b []byte) {
	if c.lineBytes == 0 && len(b) > 0 {
		c.lineStart = b[0]
	}
	c.lineBytes += int64(len(b))
}

// countBehind counts what comes behind a head. It is the body, and the beginning of the next
// head if the client does not wait for the answer.
func (c *conn) countBehind(b []byte) {
	c.behindHead += int64(len(b))
	c.behindLines = int64(bytes.Count(b[max(len(b)-bufferBytes, 0):], []byte{'\n'}))
	if i := bytes.LastIndexByte(b, '\n'); i >= 0 {
		c.lineBytes = 0
		b = b[i+1:]
	}
	c.countLine(b)
}

// endHead records that net/http has read a head. What has come behind it is known if the head did
// not come with the request before; otherwise it is at most what had come then.
func (c *conn) endHead() { c.inHead, c.hasBlank = false, false }

// beginHead prepares for the next request. What net/http has read of its head already is a part
// of its last read, and behind the body.
func (c *conn) beginHead() {
	c.headBytes, c.headLines = 0, 0
	if early := c.behindHead - max(c.bodyBytes, 0); early > 0 {
		c.headBytes = min(early, bufferBytes)
		c.headLines = min(c.headBytes, c.behindLines)
		// The goroutine would serve all that the client has sent ahead before it yields.
		runtime.Gosched()
	} else {
		c.lineBytes = 0
	}
	c.inHead = true
	p := c.port
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isRemoved {
		return
	}
	if c.isAnswering {
		c.isAnswering = false
		p.answering--
	}
	p.heads -= c.held
	c.held = 0
	p.wait(c, waitsForHead)
}

// beginRequest records that the head of a request is whole. It returns false if there is no
// room for it.
func (c *conn) beginRequest(r *http.Request) bool {
	c.bodyBytes = r.ContentLength
	n, lines := int64(len(r.RequestURI)), int64(1)
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v))
			lines++
		}
	}
	if !c.hold(headCost(n, lines)) {
		c.port.record(HeadsFull, 1)
		return false
	}
	if hasBody(r) {
		c.port.mu.Lock()
		defer c.port.mu.Unlock()
		if !c.isRemoved {
			c.progress = 0
			c.port.wait(c, waitsForBody)
		}
		return true
	}
	return c.port.startAnswer(c)
}

// setInRead records that a read from the client begins or ends.
func (c *conn) setInRead(inRead bool) {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.inRead = inRead
}

// received records the end of a read of the body. The time for which a connection waits begins
// anew with each progressBytes, so that a byte now and then does not keep its place.
func (c *conn) received(n int) {
	p := c.port
	p.mu.Lock()
	defer p.mu.Unlock()
	c.progress += int64(n)
	if c.progress >= progressBytes && c.state == waitsForBody && !c.isRemoved {
		c.progress = 0
		p.wait(c, waitsForBody)
	}
}

// hold holds the given cost of a head and no more.
func (c *conn) hold(cost int64) bool {
	p := c.port
	p.mu.Lock()
	if cost == c.held {
		p.mu.Unlock()
		return true
	}
	victims, ok := p.hold(c, cost)
	p.mu.Unlock()
	p.closeAll(victims, HeadsFull)
	return ok
}

// hasUnreadBytes reports whether bytes have come from the client that nothing has read yet.
func (c *conn) hasUnreadBytes() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	control := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return control == nil && err == nil && n > 0
}

// Write writes to the client. While that takes, the connection waits for its client.
func (c *conn) Write(b []byte) (int, error) {
	p := c.port
	p.mu.Lock()
	isAnswer := c.state == answers && !c.isRemoved
	if isAnswer {
		p.wait(c, waitsForReader)
	}
	p.mu.Unlock()
	n, err := c.Conn.Write(b)
	if isAnswer {
		p.mu.Lock()
		if c.state == waitsForReader {
			c.state = answers
			p.waiting.remove(c)
		}
		p.mu.Unlock()
	}
	return n, err
}

// refuse writes a refusal for a head that is not whole and has not been answered.
func (c *conn) refuse(status int, reason Reason) {
	writeRefusal(c.Conn, status)
	c.CloseWrite() //nolint:errcheck // the connection is closed soon.
	p := c.port
	p.mu.Lock()
	c.isRefused = true
	p.heads -= c.held
	c.held = 0
	p.mu.Unlock()
	p.record(reason, 1)
}

// Close closes the connection, after a while if its client was refused.
func (c *conn) Close() error {
	p := c.port
	p.mu.Lock()
	isRefused := c.isRefused && !c.isRemoved
	c.isRefused = false
	if !isRefused {
		p.remove(c)
	}
	p.mu.Unlock()
	if isRefused {
		time.AfterFunc(lingerTime, func() { c.Close() }) //nolint:errcheck // the client was refused.
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite closes the writing side, for the lingering close of net/http.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the raw connection, for syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// NetConn returns the connection that c guards, as that of tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// writeRefusal writes the answer to a request that was not read whole.
func writeRefusal(c net.Conn, status int) {
	text, retry := http.StatusText(status), ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(retryAfter.Seconds()))
	}
	c.SetWriteDeadline(time.Now().Add(refusalTimeout)) //nolint:errcheck // the write fails then.
	//nolint:errcheck // the client may be gone.
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, text, retry, len(text), text)
}
