package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// playStore lets the store fall silent, or the nodes' open connections to it for good while new ones
// work, in half of the seeds. Its draws are its own, so that those of playPlan stay as they are.
func (r *run) playStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 7<<32))
	if random.IntN(2) == 0 {
		return
	}
	for end := r.start.Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		start, pause := time.Now(), time.Duration(200+random.IntN(5000))*time.Millisecond
		if random.IntN(3) == 0 {
			r.note("%d open connections to the store fall silent", r.world.storeConns.mute())
			pause = stableWindow
		} else {
			r.note("store silent for %s", pause)
			r.world.cloud.SetSilent(true)
		}
		time.Sleep(pause)
		r.world.cloud.SetSilent(false)
		r.world.rollout.recordNoContact("", start, time.Now().Add(stableWindow))
	}
}

// mutableListener accepts connections that can be muted.
type mutableListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]bool
}

// silentConn is a connection whose peer gets nothing any more once it is muted.
type silentConn struct {
	net.Conn
	listener *mutableListener
	isMuted  bool
}

func (l *mutableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*silentConn]bool{}
	}
	muted := &silentConn{Conn: c, listener: l}
	l.conns[muted] = true
	return muted, nil
}

// mute makes the connections that are open now silent, and returns their number.
func (l *mutableListener) mute() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.isMuted = true
	}
	return len(l.conns)
}

func (c *silentConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	isMuted := c.isMuted
	c.listener.mu.Unlock()
	if isMuted {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
