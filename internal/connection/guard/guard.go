// Package guard bounds what the connections of a port hold together, so that clients that do
// not behave cannot use up the memory and the descriptors of the process.
//
// A Port has a number of places, one for each open connection. When all are taken, a new
// connection takes the place of one that waits for its client: of the one that has waited for a
// request, or for the rest of its head or body, for longest, or of one whose client does not
// read an answer. Any other connection whose request is being answered keeps its place.
//
// A place includes the head of an ordinary request. What a head costs beyond that is taken from
// a budget that all heads of the port share, before net/http parses the bytes, and held until
// the request ends. When the budget is used up, the largest unfinished head is given up first.
//
// # Usage
//
//	p := &guard.Port{Name: "callers", Share: guard.CallerShare}
//	p.SetLimits(memoryBytes, guard.Descriptors(configured))
//	server := &http.Server{Handler: h}
//	server.Serve(p.Protect(server, listener))
package guard

import (
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// connectionBytes is the memory of a connection with a head of headAllowance: its goroutine
	// and the buffers of net/http.
	connectionBytes = 24 << 10
	// headAllowance is the cost of a head that a place includes.
	headAllowance = 8 << 10
	// lineBytes is the cost of a header line besides its bytes: two strings, a slice and a map
	// entry, once parsed and once in the copy that is forwarded.
	lineBytes = 256
	// byteFactor is how often a byte of a head is held: in a buffer that grows, and in strings.
	byteFactor = 3
	// minConnections and minHeadBytes are the least limits of a port, so that one with a small
	// share still serves a head of many short lines.
	minConnections = 16
	minHeadBytes   = 2 << 20
	// defaultMemoryBytes is the memory of a process whose settings state none.
	defaultMemoryBytes = 1 << 30
	// fileDescriptors are the descriptors that are left to files.
	fileDescriptors = 200
	// reserveDivisor is the number of places divided by the number of those that requests in
	// progress leave to new connections.
	reserveDivisor = 8
	// defaultHeaderBytes is the limit on a head while there are no settings.
	defaultHeaderBytes = 64 << 10
	// headerSlackBytes is read of a head beyond its limit, as in net/http.
	headerSlackBytes = 4 << 10
	// requestGrace is how long a connection must have waited for a request to be given up before
	// an unread answer, and answerGrace for its client to read to be given up at all.
	requestGrace = time.Second
	answerGrace  = time.Second
	// minWait is how long a new connection may wait for its request before it can be given up,
	// so that clients that open connections all the time do not keep others out. The connections
	// that come meanwhile are not accepted yet.
	minWait = 25 * time.Millisecond
	// maxLooked bounds the connections that are looked at for bytes that have not been read, and
	// lookInterval is the time until the next look.
	maxLooked    = 64
	lookInterval = 5 * time.Millisecond
	// maxAcceptWait is how long a new connection waits for a place before it is refused. Clients
	// wait for a second until a connection is established.
	maxAcceptWait = time.Second
	// progressBytes is the part of a body with which a connection begins to wait anew.
	progressBytes = 4 << 10
	// retryAfter is when a client that was refused for lack of room may come back.
	retryAfter = time.Second
	// reportInterval is the least time between two reports of one reason.
	reportInterval = 10 * time.Second
)

// Shares of the memory and descriptors of a process that serves callers on a port of their
// own. The rest is left to answers, bodies, endpoints and the store.
var (
	CallerShare    = Share{Connections: 0.12, Heads: 0.04, Descriptors: 0.4}
	DirectoryShare = Share{Connections: 0.03, Heads: 0.01, Descriptors: 0.05}
	OperatorShare  = Share{Connections: 0.01, Heads: 0.01, Descriptors: 0.02}
)

// Share is the part of a process's memory that the connections of a port and the heads of their
// requests may take, and the part of its descriptors.
type Share struct{ Connections, Heads, Descriptors float64 }

// Limits bounds what a port holds. HeadBytes is the cost of heads beyond headAllowance each.
type Limits struct {
	Connections int
	HeadBytes   int64
}

// limits returns the limits for a process. Without stated memory, defaultMemoryBytes applies.
func (s Share) limits(memoryBytes int64, descriptors int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	byMemory := s.Connections * float64(memoryBytes) / connectionBytes
	byDescriptors := s.Descriptors * float64(descriptors-fileDescriptors)
	return Limits{
		Connections: max(int(min(byMemory, byDescriptors)), minConnections),
		HeadBytes:   max(int64(s.Heads*float64(memoryBytes)), minHeadBytes),
	}
}

// Descriptors returns how many descriptors this process may open: the number in its settings,
// if that is not 0, and at most the limit of the system.
func Descriptors(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = math.MaxInt32
	}
	if configured > 0 {
		return min(configured, int(limit.Cur))
	}
	return int(limit.Cur)
}

// Reason is why a connection was closed or a request refused.
type Reason string

// The reasons.
const (
	// PlaceNeeded is that of a connection whose place another one has taken.
	PlaceNeeded Reason = "place_needed"
	// AllAnswering is that of a new connection, or a request, while all places have requests
	// that are being answered.
	AllAnswering Reason = "all_answering"
	// HeadsFull is that of a head for which the budget has no room.
	HeadsFull Reason = "heads_full"
	// HeaderTooLarge is that of a head beyond the limit of the settings.
	HeaderTooLarge Reason = "header_too_large"
)

// Reasons lists all reasons.
var Reasons = []Reason{PlaceNeeded, AllAnswering, HeadsFull, HeaderTooLarge}

// ErrNoPlace is the error at the end of a body whose request is not to be answered, since too
// many others are. The request has not run.
var ErrNoPlace = errors.New("this node answers as many requests as it can")

// Report says how many clients were given up for a reason since the last report.
type Report struct {
	Port   string
	Reason Reason
	Count  int64
	Stats  Stats
}

// Stats describes a port at a moment.
type Stats struct {
	Limits
	// Open counts connections, and Answering those of them whose requests are being answered.
	Open, Answering int
	// HeldHeadBytes is the cost of heads beyond headAllowance each.
	HeldHeadBytes int64
	// GivenUp counts the clients given up since the start.
	GivenUp map[Reason]int64
}

// Port bounds the connections of one listener. Set the exported fields before use; it is safe
// for concurrent use.
type Port struct {
	Name  string
	Share Share
	// HeaderBytes returns the largest head that the settings in force allow, or 0 if there are
	// none; a nil func means none.
	HeaderBytes func() int64
	// Refuse answers a request that has not run and may come back after a time. If nil, the
	// answer is a plain 503.
	Refuse func(http.ResponseWriter, *http.Request, time.Duration)
	// Report, if not nil, is called when clients are given up, at most every reportInterval for
	// each reason.
	Report func(Report)

	mu        sync.Mutex
	limits    Limits
	open      int
	answering int
	heads     int64
	waiting   waitList
	// hasNewcomer is set while a new connection waits until there is a place.
	hasNewcomer bool
	counts      map[Reason]*count
}

// count counts the clients given up for one reason.
type count struct {
	total, reported int64
	reportedAt      time.Time
}

// SetLimits sets the limits for the memory and the descriptors of the process. Connections
// beyond them stay open until others need their places.
func (p *Port) SetLimits(memoryBytes int64, descriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = p.Share.limits(memoryBytes, descriptors)
}

// Stats returns the present figures.
func (p *Port) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats()
}

func (p *Port) stats() Stats {
	s := Stats{Limits: p.limits, Open: p.open, Answering: p.answering, HeldHeadBytes: p.heads, GivenUp: map[Reason]int64{}}
	for reason, c := range p.counts {
		s.GivenUp[reason] = c.total
	}
	return s
}

// record counts clients that were given up, and reports them if a report is due.
func (p *Port) record(reason Reason, n int) {
	if n == 0 {
		return
	}
	p.mu.Lock()
	if p.counts == nil {
		p.counts = map[Reason]*count{}
	}
	c := p.counts[reason]
	if c == nil {
		c = &count{}
		p.counts[reason] = c
	}
	c.total += int64(n)
	now := time.Now()
	if now.Sub(c.reportedAt) < reportInterval || p.Report == nil {
		p.mu.Unlock()
		return
	}
	report := Report{Port: p.Name, Reason: reason, Count: c.total - c.reported, Stats: p.stats()}
	c.reported, c.reportedAt = c.total, now
	p.mu.Unlock()
	p.Report(report)
}

// admit gives a new connection a place, as soon as there is one. It returns nil if all places have
// requests that are being answered, or wait for the node; the connection is refused then.
func (p *Port) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, port: p, inHead: true}
	p.mu.Lock()
	var victims []*conn
	end := time.Now().Add(maxAcceptWait)
	for p.open >= p.limits.Connections {
		now := time.Now()
		victim, retry := p.waiting.choose(now)
		if now.After(end) {
			retry = 0
		}
		if victim != nil {
			p.remove(victim)
			victims = append(victims, victim)
			break
		}
		p.hasNewcomer = retry > 0
		p.mu.Unlock()
		if retry == 0 {
			p.record(AllAnswering, 1)
			writeRefusal(raw, http.StatusServiceUnavailable)
			raw.Close() //nolint:errcheck // the client was refused.
			return nil
		}
		time.Sleep(min(retry, lookInterval))
		p.mu.Lock()
	}
	p.hasNewcomer = false
	p.open++
	p.wait(c, waitsForHead)
	p.mu.Unlock()
	p.closeAll(victims, PlaceNeeded)
	return c
}

// wait records that a connection begins to wait for its client. The caller holds p.mu.
func (p *Port) wait(c *conn, s state) {
	c.state, c.since = s, time.Now()
	p.waiting.moveToBack(c)
}

// remove takes the place of a connection and what it holds. The caller holds p.mu.
func (p *Port) remove(c *conn) {
	if c.isRemoved {
		return
	}
	c.isRemoved = true
	p.waiting.remove(c)
	p.open--
	if c.isAnswering {
		p.answering--
	}
	p.heads -= c.held
	c.held = 0
}

// hold makes a connection hold n bytes of the budget for heads. If there is no room, the
// largest unfinished heads are given up; they are returned and must be closed. It reports false
// if n bytes are not free without those that are smaller.
func (p *Port) hold(c *conn, n int64) (victims []*conn, ok bool) {
	if c.isRemoved {
		return nil, false
	}
	for n > c.held && p.heads+n-c.held > p.limits.HeadBytes {
		victim := p.waiting.largestHead()
		if victim == nil || victim == c || victim.held <= n {
			return victims, false
		}
		p.remove(victim)
		victims = append(victims, victim)
	}
	p.heads += n - c.held
	c.held = n
	return victims, true
}

// startAnswer records that a request is whole and is to be answered. If too many are, one whose
// client does not read is given up; if there is none, it returns false.
func (p *Port) startAnswer(c *conn) bool {
	p.mu.Lock()
	if c.isAnswering || c.isRemoved {
		p.mu.Unlock()
		return true
	}
	var victims []*conn
	if p.answering >= p.limits.Connections-p.limits.Connections/reserveDivisor {
		victim := p.waiting.unread(time.Now())
		if victim == nil {
			p.mu.Unlock()
			p.record(AllAnswering, 1)
			return false
		}
		p.remove(victim)
		victims = append(victims, victim)
	}
	p.waiting.remove(c)
	c.state, c.isAnswering = answers, true
	p.answering++
	p.mu.Unlock()
	p.closeAll(victims, PlaceNeeded)
	return true
}

// endsConnection reports whether a connection is to end with the answer to its request, since
// another one waits for its place. A client that sends the next request before it has the answer
// never waits, and would keep its place.
func (p *Port) endsConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasNewcomer
}

// refuse answers a request for which there is no room.
func (p *Port) refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if p.Refuse != nil {
		p.Refuse(w, r, retryAfter)
		return
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// headerBytes returns the limit on a head.
func (p *Port) headerBytes() int64 {
	if p.HeaderBytes != nil {
		if limit := p.HeaderBytes(); limit > 0 {
			return limit
		}
	}
	return defaultHeaderBytes
}

// closeAll closes connections that were given up for a reason.
func (p *Port) closeAll(victims []*conn, reason Reason) {
	for _, c := range victims {
		c.Conn.Close() //nolint:errcheck // the client was given up.
	}
	p.record(reason, len(victims))
}
