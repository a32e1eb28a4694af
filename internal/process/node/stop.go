package node

import (
	"context"
	"time"

	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/tick"
)

const (
	// stopTimeout bounds the time in which a node that serves no requests any more writes its
	// remaining state and slow callers take the rest of their answers.
	stopTimeout = 700 * time.Millisecond
	// lateMargin is the last part of Shutdown.DrainDelay. The callers that send then have looked
	// the node up before it began to leave, and may not be cut. It covers the time until the
	// process has handled the signal.
	lateMargin = 750 * time.Millisecond
	// closeTime is the time that the node needs to close its listener and to answer the requests
	// that have reached it by then.
	closeTime = 500 * time.Millisecond
	// aloneCheckInterval is the time between checks of serveAlone.
	aloneCheckInterval = 50 * time.Millisecond
	// endNoticeTimeout bounds the time in which the node tells the others that it ends.
	endNoticeTimeout = 150 * time.Millisecond
	// answerTime is the time after Shutdown.ServeTime for the answers that end the requests.
	answerTime = 150 * time.Millisecond
)

// Shutdown describes how a node that proxies requests is shut down.
type Shutdown struct {
	// DrainDelay is how long the node waits before it closes the connections of callers that
	// still use it. By then the callers' cached addresses must have expired.
	DrainDelay time.Duration
	// ServeTime is how long the node serves requests. Requests that are not answered by then
	// get a final answer, except for streams that have begun; those are cut.
	ServeTime time.Duration
	// CloseCallers stops accepting connections of callers and returns when the last of them
	// has no request any more, or an error when ctx is done.
	CloseCallers func(context.Context) error
}

// Shutdown leaves the fleet and stops the node. It returns an error if callers have not taken the
// whole of their answers by the end. CutRequests has the number of requests that were ended
// because ServeTime was over.
func (n *Node) Shutdown(s Shutdown) error {
	began := time.Now()
	n.router.DisableKeepAlives()
	n.proxy.Stop(began.Add(s.DrainDelay-lateMargin), began.Add(s.ServeTime))
	n.Leave()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.ServeTime+answerTime))
	defer cancel()
	tick.Sleep(ctx, time.Until(began.Add(s.DrainDelay-lateMargin)))
	n.members.SetSelf(func(m *member.Member) { m.IsClosing = true })
	n.handOverLimits()
	n.broadcastState()
	tick.Sleep(ctx, time.Until(began.Add(s.DrainDelay)))
	n.serveAlone(ctx, began.Add(s.ServeTime-closeTime))
	err := s.CloseCallers(ctx)
	n.WaitDetours(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.announceEnd()
		n.Stop()
	}()
	if err != nil {
		// Only answers to slow callers are left, which need nothing but the process.
		err = s.CloseCallers(stopCtx)
	}
	select {
	case <-stopped:
	case <-stopCtx.Done():
		n.Log.Warn("ledger_may_be_unwritten", "reason", "the grace period is over")
	}
	return err
}

// CutRequests returns the number of proxied requests that the stop of the node has ended after they
// were sent, those served for other nodes included.
func (n *Node) CutRequests() int { return n.proxy.CutRequests() }

// serveAlone waits until the given time while no node is ready and earlier requests keep this one
// from ending: callers of requests that end before them have nobody else.
func (n *Node) serveAlone(ctx context.Context, until time.Time) {
	for n.isAlone() && n.proxy.EarlyRequests() > 0 && time.Now().Before(until) {
		tick.Sleep(ctx, aloneCheckInterval)
	}
}

// isAlone reports whether no node of the region is ready.
func (n *Node) isAlone() bool { return len(n.members.View().Ready(n.Process.Region)) == 0 }

// announceEnd tells the neighbors that this node ends. They would find out in about 3 s, and
// until then the node that takes over its cells waits for its reply before it grants anything
// below the highest tier.
func (n *Node) announceEnd() {
	ctx, cancel := context.WithTimeout(context.Background(), endNoticeTimeout)
	defer cancel()
	neighbors := n.members.Neighbors(ctx)
	n.members.SetSelf(func(m *member.Member) { m.State = member.Dead })
	n.handOverLimits()
	n.sendState(ctx, neighbors)
}

// Leave marks the node as leaving, which hands its cells and account limits over to other nodes,
// and reports this to members of its region. Requests are served until Stop.
func (n *Node) Leave() {
	n.isLeaving.Store(true)
	n.setLeaving()
	n.handOverLimits()
	n.broadcastState()
	n.Log.Info("node_leaving", "node", n.Process.Name, "open_requests", n.gate.OpenRequests())
}

func (n *Node) setLeaving() {
	n.members.SetSelf(func(m *member.Member) { m.State = member.Leaving })
}

// Wait returns when every request of Front has ended and every late completion
// has been reported or given up. It does not wait for proxied requests; the
// Shutdown method of the HTTP server that serves Router does, and WaitDetours.
func (n *Node) Wait() { n.entry.Wait() }

// Stop ends the node's background work and closes its connections to endpoints. A node
// that is stopped before Start does not start. For a graceful shutdown call it after Leave and Wait;
// called alone it acts like a crash, which the other nodes have to detect.
func (n *Node) Stop() {
	n.cancel()
	n.tasks.Wait()
	n.Client.CloseIdleConnections()
	n.conns.Close()
}
