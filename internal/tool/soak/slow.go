package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	slowCallers = 2
	// fileBytes is the length of the answers that slow callers read, with slowStep bytes
	// after each slowPause. They take longer than routeTimeout, and are longer than what
	// kernels buffer for a connection, so that a node must have read the answer before its
	// caller has.
	fileBytes = 12 << 20
	slowStep  = 768 << 10
	slowPause = 350 * time.Millisecond
	// slowReceiveBytes and fileSendBytes are the sizes of the receive buffer of a slow caller
	// and of the send buffer of the endpoint, so that the answer is held by the node. A
	// smaller send buffer would slow the endpoint down: see sendBufferBytes in package memory.
	slowReceiveBytes = 16 << 10
	fileSendBytes    = 256 << 10
	slowTimeout      = 20 * time.Second
	// slowGrace is the grace period of settingsFormat.
	slowGrace = 8 * time.Second
)

// fileText is the answer that slow callers get.
var fileText = strings.Repeat("0123456789abcdef", fileBytes/16)

// runSlowCaller sends requests for long answers until ctx is done, and reads them slowly.
// The answers that it got, whole or not, are in r.slow.
func (r *run) runSlowCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(1<<33+number)))
	client := newSlowClient()
	for i := 0; ctx.Err() == nil; i++ {
		rec := record{id: fmt.Sprintf("%d-slow%d-%d", r.Seed, number, i), kind: "file"}
		var address string
		if rec.node, address = r.chooseNode(random); address != "" {
			rec.readSlowly = true
			rec.send(ctx, client, address)
		}
		if ctx.Err() == nil && rec.status != 0 {
			r.mu.Lock()
			r.slow = append(r.slow, rec)
			r.mu.Unlock()
		}
		time.Sleep(callerPause)
	}
}

// newSlowClient returns a client whose connections buffer little.
func newSlowClient() *http.Client {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBytes) //nolint:errcheck // the caller is only less slow.
		})
	}}
	return &http.Client{Timeout: slowTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// readSlowly reads slowStep bytes after each slowPause.
func readSlowly(body io.Reader) ([]byte, error) {
	var all []byte
	for {
		time.Sleep(slowPause)
		part, err := io.ReadAll(io.LimitReader(body, slowStep))
		all = append(all, part...)
		if err != nil || len(part) == 0 {
			return all, err
		}
	}
}

// isStoppedLate reports whether an answer may have been cut since its node stopped when the timeout
// of the route had passed.
func (r *run) isStoppedLate(rec record) bool {
	return rec.end.Sub(rec.start) > routeTimeout && slices.ContainsFunc(r.stopped[rec.node], func(stopped time.Time) bool {
		return stopped.Before(rec.end) && rec.end.Sub(stopped) < slowGrace
	})
}

// checkSlow checks that slow callers got whole answers, or visibly cut ones if their node
// had a fault.
func (r *run) checkSlow() {
	for _, rec := range r.slow {
		switch {
		case rec.status != http.StatusOK:
		case !strings.HasPrefix(fileText, rec.body) || !rec.isCut && len(rec.body) < len(fileText):
			r.violation("slow %s at %s got a wrong body of %d bytes, cut %v", rec.id, r.nodeOf(rec), len(rec.body), rec.isCut)
		case rec.isCut && !r.nodeMayCut(rec) && !r.isStoppedLate(rec):
			r.violation("slow %s at %s was cut after %d bytes between %s and %s with no fault of its node", rec.id, r.nodeOf(rec), len(rec.body),
				r.sinceStart(rec.start), r.sinceStart(rec.end))
		case !rec.isCut:
			r.report.SlowWhole++
		}
		r.report.Slow++
	}
}
