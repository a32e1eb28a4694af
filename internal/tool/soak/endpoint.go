package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
)

// endpoint is a stand-in endpoint on loopback.
type endpoint struct {
	engine.Engine
	name, service string
	world         *world
	// address is that of listener, which is replaced after a crash.
	address string

	mu       sync.Mutex
	listener net.Listener
	state    string
	born     int64
	isDown   bool
	// isStopped is set if the endpoint has stopped for good.
	isStopped bool
	conns     map[net.Conn]bool
	limitedAt time.Time
	// crashedAt holds the crashes under crashingPart and crashingPath, and downAt all.
	crashedAt, downAt []time.Time
	// spoken is not nil while the endpoint is silent, and closed at the end of that. silences
	// counts the faults that keep it silent.
	spoken   chan struct{}
	silences int
	// isStalled is set while the endpoint is silent and accepts no connections.
	isStalled bool
	// refusedAt holds the latest refusals for want of room, and falls counts how often the
	// endpoint fell over for too many.
	refusedAt []time.Time
	falls     int
}

func newEndpoint(w *world, name, service, release string) (*endpoint, error) {
	e := &endpoint{name: name, service: service, world: w, state: "ready", born: 1, conns: map[net.Conn]bool{}}
	e.ID, e.Release = name, release
	e.NextBehaviour = nextCall
	if service == "file" {
		e.NextBehaviour = func() engine.Behaviour { return engine.Behaviour{Body: fileText} }
	}
	if service == "llm" {
		e.NextBehaviour = func() engine.Behaviour { return engine.Behaviour{} }
		e.TokensPerEvent = eventTokens
		e.Batch = &batch.Engine{
			Slots: modelSlots, MaxWaiting: modelSlots, CacheTokens: 50000, StepTime: 4 * time.Millisecond, PrefillTimePerToken: 50 * time.Microsecond,
		}
		e.RateLimit = e.limit
		e.Brittle = func() int { return int(w.brittle.Load()) }
		e.Refused = e.recordRefusal
		e.OmitsLength = func() bool { return rand.IntN(unframedEvery) == 0 }
	}
	e.Crash = e.crashUnder
	// No other socket takes the port of an address of its own while the endpoint is down.
	w.endpoints++
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, w.number%250, 200+w.endpoints))
	if err != nil {
		return nil, eris.Wrap(err, "start an endpoint")
	}
	e.listener, e.address = l, l.Addr().String()
	go e.accept(l)
	return e, nil
}

// unframedEvery is the number of streams of which one has neither a length nor chunks.
const unframedEvery = 5

func (e *endpoint) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if spoken := e.spoken; e.isStalled && spoken != nil {
			e.mu.Unlock()
			<-spoken
			e.mu.Lock()
		}
		if e.isDown {
			e.mu.Unlock()
			c.Close() //nolint:errcheck // it acts like a closed port.
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok && e.service == "file" {
			tcp.SetWriteBuffer(fileSendBytes) //nolint:errcheck // the kernel only holds more.
		}
		c = &mutableConn{c, e}
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.Serve(c)
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.conns, c)
		}()
	}
}

// list writes the row of the endpoint unless it has stopped or not yet started.
func (e *endpoint) list() {
	if e.isListed() {
		e.world.put("servers", e.name, e.row())
	}
}

func (e *endpoint) isListed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.isStopped && e.state != ""
}

func (e *endpoint) row() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": "z", "slots": modelSlots, "state": e.state, "version": e.Release, "seq": 1, "born": e.born,
	}
}

func (e *endpoint) setState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

// setLimit makes the endpoint name a limit, and reports whether it named none before.
func (e *endpoint) setLimit(rate float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limitedAt.IsZero() || rate == 0 {
		return false
	}
	e.limitedAt = time.Now()
	return true
}

func (e *endpoint) limit() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limitedAt.IsZero() {
		return ""
	}
	return fmt.Sprint(limitRate)
}

// crashUnder crashes the endpoint if a prompt has crashingPart or a request crashingPath.
func (e *endpoint) crashUnder(target string, parts []batch.PromptPart) bool {
	hasPart := slices.ContainsFunc(parts, func(p batch.PromptPart) bool { return p.ID == crashingPart })
	if !hasPart && target != crashingPath {
		return false
	}
	e.mu.Lock()
	e.crashedAt = append(e.crashedAt, time.Now())
	e.mu.Unlock()
	e.crash(nil)
	return true
}

// recordRefusal records that the endpoint refused a request for want of room. A brittle one
// that refuses too many in a second falls over.
func (e *endpoint) recordRefusal() {
	limit, now := int(e.world.brittle.Load()), time.Now()
	e.mu.Lock()
	e.refusedAt = slices.DeleteFunc(append(e.refusedAt, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	hasFallen := limit > 0 && len(e.refusedAt) > limit
	if hasFallen {
		e.refusedAt, e.falls = nil, e.falls+1
	}
	e.mu.Unlock()
	if hasFallen {
		e.crash(nil)
	}
}

// crash closes all connections and refuses new ones for downTime.
func (e *endpoint) crash(faults *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return
	}
	e.isDown = true
	e.downAt = append(e.downAt, time.Now())
	for c := range e.conns {
		c.Close() //nolint:errcheck // it acts like a crash.
	}
	e.listener.Close() //nolint:errcheck // the port refuses connections.
	restart := func() {
		time.Sleep(downTime)
		e.mu.Lock()
		if !e.isStopped {
			e.listen()
		}
		e.born++
		e.mu.Unlock()
		e.list()
	}
	if faults == nil {
		go restart()
		return
	}
	faults.Go(restart)
}

// listen makes the endpoint accept connections again after a crash. The caller holds e.mu.
func (e *endpoint) listen() {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return // the world has ended, or the endpoint stays down.
	}
	e.listener, e.isDown = l, false
	go e.accept(l)
}

// stop ends an endpoint without draining and removes its row. It describes the requests
// that ran there, unless the endpoint was silent, since those may have been abandoned.
func (e *endpoint) stop() (running []string) {
	e.mu.Lock()
	if e.spoken == nil && !e.isDown {
		for _, request := range e.ReceivedRequests() {
			if request.EndedAt.IsZero() {
				running = append(running, fmt.Sprint(e.name, " ", request.Header.Get(engine.AttemptIDHeader)))
			}
		}
	}
	e.isDown, e.isStopped = true, true
	for c := range e.conns {
		c.Close() //nolint:errcheck // it acts like a stop.
	}
	e.mu.Unlock()
	e.world.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: e.name}}})
	return running
}
