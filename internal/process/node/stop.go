package node

import "goldcrestwick/internal/process/member"

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
