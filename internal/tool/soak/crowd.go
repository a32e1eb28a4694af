package soak

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

	"goldcrestwick/internal/stand/engine"
)

const (
	// headBytes is the length of the lines of a head within the limits of the settings.
	headBytes = 15 << 10
	// pipelinedBytes is what net/http reads at once behind a request.
	pipelinedBytes = 3900
	// endlessBytes is what a client sends at most of something without end.
	endlessBytes = 2 << 20
	// patience is how long a client of a crowd waits for a write, or for the end of an answer.
	patience      = 2 * time.Second
	unreadAnswers = 400
	crowdRequests = 20
	// crowdReceiveBytes is the receive buffer of a client that reads nothing.
	crowdReceiveBytes = 4 << 10
)

// crowd is a number of clients that do not behave, at one port of a node.
type crowd struct {
	name    string
	port    port
	clients int
	// connections is the number of connections that each client opens, one after the other.
	connections int
	// isKeyed is set if the requests carry the key of an account.
	isKeyed bool
	// reopens makes the clients open a new connection whenever the node closes one.
	reopens bool
	// act uses a connection, and returns when the client has sent what it has to send.
	act func(c net.Conn, client int)
}

// run lets all clients act. It returns when they have done so. Each then keeps its last
// connection until ctx is done; the returned function waits for the ends.
func (c crowd) run(ctx context.Context, address string) (wait func()) {
	var acting, open sync.WaitGroup
	for client := range c.clients {
		acting.Add(1)
		open.Go(func() {
			for i := range max(c.connections, 1) {
				conn, err := dialCrowd(ctx, address)
				if err == nil {
					c.act(conn, client)
				}
				isLast := i == max(c.connections, 1)-1
				if isLast {
					acting.Done()
				}
				if err == nil && isLast {
					c.keep(ctx, conn, address, client)
				} else if err == nil {
					conn.Close() //nolint:errcheck // the client is done.
				}
			}
		})
	}
	acting.Wait()
	return open.Wait
}

// keep keeps a connection until ctx is done, or opens new ones until then.
func (c crowd) keep(ctx context.Context, conn net.Conn, address string, client int) {
	if !c.reopens {
		<-ctx.Done()
		conn.Close() //nolint:errcheck // the client is done.
		return
	}
	for ctx.Err() == nil {
		stop := context.AfterFunc(ctx, func() { conn.Close() }) //nolint:errcheck // ends the read.
		conn.SetReadDeadline(time.Time{})                       //nolint:errcheck // the read waits then anyway.
		io.Copy(io.Discard, conn)                               //nolint:errcheck // it ends with the connection.
		stop()
		conn.Close() //nolint:errcheck // the node has closed it.
		next, err := dialCrowd(ctx, address)
		if err != nil {
			return
		}
		conn = next
		c.act(conn, client)
	}
	conn.Close() //nolint:errcheck // the client is done.
}

// dialCrowd opens a connection that receives little.
func dialCrowd(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: patience, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdReceiveBytes) //nolint:errcheck // the client only receives more.
		})
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// send writes until the node closes the connection or takes nothing for as long as the client
// waits.
func send(c net.Conn, text string) bool {
	c.SetWriteDeadline(time.Now().Add(patience)) //nolint:errcheck // the write fails then.
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendEndlessly sends a start, and then the same again and again.
func sendEndlessly(start string, again func(i int) string) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		sent := len(start)
		for i, ok := 0, send(c, start); ok && sent < endlessBytes; i++ {
			text := again(i)
			ok = send(c, text)
			sent += len(text)
		}
	}
}

// shortLines returns header lines with names of their own.
func shortLines(bytes, first int) string {
	var b strings.Builder
	for i := first; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

const (
	requestStart = "GET /nothing HTTP/1.1\r\nHost: h.example\r\n"
	// keyedStart has the id of the request as its argument.
	keyedStart = "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\n" + engine.AttemptIDHeader + ": %s\r\n"
	readStart  = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\n" + engine.AttemptIDHeader + ": %s\r\n"
)

func silent(net.Conn, int) {}

func sendUnfinishedHead(c net.Conn, client int) {
	send(c, requestStart+shortLines(headBytes, client))
}

// sendLargeRequests sends whole requests of many short lines, and reads the answers.
func sendLargeRequests(c net.Conn, client int) {
	for i := range crowdRequests {
		id := fmt.Sprint("crowd-", client, "-", i)
		if !send(c, fmt.Sprintf(keyedStart, id)+"Content-Length: 4\r\n"+shortLines(headBytes, client)+"\r\nbody") {
			return
		}
		readBriefly(c)
	}
}

// readBriefly reads what comes within a client's patience.
func readBriefly(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(patience)) //nolint:errcheck // the read fails then.
	c.Read(make([]byte, 64<<10))                //nolint:errcheck // the client does not need the answer.
}

func sendEmptyLines(c net.Conn, client int) {
	sendEndlessly("", func(int) string { return strings.Repeat("\r\n", 4096) })(c, client)
}

func sendRequestAndWait(c net.Conn, _ int) {
	send(c, requestStart+"\r\n")
	readBriefly(c)
}

func sendNoBody(c net.Conn, client int) {
	send(c, fmt.Sprintf(readStart, fmt.Sprint("crowd-", client))+"Content-Length: 1000\r\n\r\n")
}

func sendTrailers(c net.Conn, client int) {
	id := fmt.Sprint("crowd-", client)
	send(c, fmt.Sprintf(keyedStart, id)+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+shortLines(pipelinedBytes, client)+"\r\n")
}

func sendPipelinedHead(c net.Conn, client int) {
	send(c, requestStart+"\r\n"+requestStart+shortLines(pipelinedBytes, client))
}

// sendUnread sends requests and reads no answer.
func sendUnread(path string) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		for range unreadAnswers {
			if !send(c, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n\r\n") {
				return
			}
		}
	}
}

// sendLongIDs sends requests with long identifiers, and reads the answers.
func sendLongIDs(c net.Conn, client int) {
	for i := range crowdRequests {
		id := fmt.Sprint(client, "-", i, "-", strings.Repeat("x", headBytes))
		if !send(c, fmt.Sprintf(readStart, id)+"Content-Length: 4\r\n\r\nbody") {
			return
		}
		readBriefly(c)
	}
}

// sendNoBodyAnywhere sends the head of a request with a body to a path that nothing serves.
func sendNoBodyAnywhere(c net.Conn, _ int) {
	send(c, "POST /nothing HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n")
}

// beginHandshakes begins QUIC handshakes with a node and answers none of its packets, so that
// each lasts until the node gives it up.
func beginHandshakes(ctx context.Context, address string, sockets, handshakes int) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for range sockets {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		all.Go(func() {
			defer socket.Close() //nolint:errcheck // the client is done.
			transport := &quic.Transport{Conn: deafConn{socket}}
			defer transport.Close() //nolint:errcheck // the client is done.
			var dials sync.WaitGroup
			for range handshakes {
				dials.Go(func() {
					dialCtx, cancel := context.WithTimeout(ctx, patience)
					defer cancel()
					config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"goldcrestwick/1"}} //nolint:gosec // nothing is verified.
					transport.Dial(dialCtx, to, config, &quic.Config{})                                      //nolint:errcheck // it cannot succeed.
				})
			}
			dials.Wait()
		})
	}
	all.Wait()
	return nil
}

// deafConn is a socket that receives nothing.
type deafConn struct{ net.PacketConn }

func (c deafConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		if n, from, err := c.PacketConn.ReadFrom(b); err != nil {
			return n, from, err
		}
	}
}
