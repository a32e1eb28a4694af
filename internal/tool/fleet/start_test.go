package fleet

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/stand/script"
)

var (
	startNodes     = flag.Int("start.nodes", 30, "number of nodes of TestLargeStart")
	startEndpoints = flag.Int("start.endpoints", 120, "number of endpoints of TestLargeStart")
)

const (
	// startZones is the number of availability zones of TestLargeStart, and so of readers.
	startZones = 4
	// startTime is the time after the start of the nodes in which their processor time is measured,
	// and steadyTime that in which the bytes of the readers are.
	startTime  = 14 * time.Second
	steadyTime = 10 * time.Second
	// maxBytesToFollower bounds the bytes a second that a reader sends to each of its followers,
	// gossip included, while only the sequence numbers of the endpoints' rows change.
	maxBytesToFollower = 1300
)

// sentBytes counts the bytes that each node sends to other nodes.
type sentBytes struct {
	mu    sync.Mutex
	nodes map[string]int
}

func (s *sentBytes) add(from, to string, bytes int) {
	if !strings.HasPrefix(from, "n") || !strings.HasPrefix(to, "n") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[from] += bytes
}

// take returns the largest and the total number of bytes since the last call.
func (s *sentBytes) take() (largest, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bytes := range s.nodes {
		largest, total = max(largest, bytes), total+bytes
	}
	clear(s.nodes)
	return largest, total
}

// processTime returns the processor time of this process, also of other tests if there are any.
func processTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const setup = `
	bounds share=0.1 slack=50
	route chat
	account a keys=k1
	settings`

// TestLargeStart guards against readers that send their followers rows of which only the sequence
// number has changed. It logs the processor time of the start of a fleet and the bytes between its
// nodes, without those of QUIC. Its clock is simulated, so that the machine's load changes neither
// what the nodes do nor when. For the figures of docs/CAPACITY.md run it alone with -start.nodes 300
// -start.endpoints 3000, and with -cpuprofile for the causes.
func TestLargeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := &sentBytes{nodes: map[string]int{}}
		p := newProxyCase(t, &pipes.Network{Sent: sent.add})
		p.run(script.Lines(t, "setup", setup+fmt.Sprintf(`
			engines ea count=%[1]d zone=a release=v1 born=100
			engines eb count=%[1]d zone=b release=v1 born=100
			engines ec count=%[1]d zone=c release=v1 born=100
			engines ed count=%[1]d zone=d release=v1 born=100
			refresh every=1200ms
			wait 1s`, *startEndpoints/startZones)))
		before, started := processTime(t), time.Now()
		p.run(script.Lines(t, "fleet", fmt.Sprintf("fleet n count=%d zones=a,b,c,d capacity=500", *startNodes)))
		for !p.areReady() && time.Since(started) < startTime {
			time.Sleep(10 * time.Millisecond)
		}
		ready := time.Since(started)
		qt.Check(t, p.areReady(), qt.IsTrue)
		time.Sleep(startTime - ready)
		largest, total := sent.take()
		t.Logf("start: %s of processor time, all ready after %s, the busiest node sent %d bytes of %d", processTime(t)-before, ready, largest, total)
		_, calls := p.storeCalls.take()
		before = processTime(t)
		time.Sleep(steadyTime)
		largest, total = sent.take()
		seconds := int(steadyTime / time.Second)
		t.Logf("steady: %s of processor time a second, the busiest node sent %d bytes a second of %d; %d store calls before",
			(processTime(t)-before)/time.Duration(seconds), largest/seconds, total/seconds, calls)
		qt.Check(t, largest/seconds <= maxBytesToFollower**startNodes/startZones, qt.IsTrue, qt.Commentf("%d bytes a second", largest/seconds))
		p.stop()
	})
}

// areReady reports whether all nodes are ready.
func (p *proxyCase) areReady() bool {
	for _, n := range p.nodes {
		if !n.IsReady() {
			return false
		}
	}
	return true
}
