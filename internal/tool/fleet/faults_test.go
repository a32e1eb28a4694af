package fleet

import (
	"context"
	"fmt"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/apprun"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/runner"
)

// faults holds the functions that inject the faults of the matrix.
var faults = map[string]func(*testCase){
	"none":             func(*testCase) {},
	"node_down":        func(c *testCase) { c.kill(c.entryNode()) },
	"node_frozen":      func(c *testCase) { c.freeze(c.entryNode()) },
	"node_drains":      func(c *testCase) { c.shutDown(c.entryNode()) },
	"cell_node_down":   func(c *testCase) { c.kill(c.cellNode()) },
	"cell_node_frozen": func(c *testCase) { c.freeze(c.cellNode()) },
	"cell_node_drains": func(c *testCase) { c.shutDown(c.cellNode()) },
	"endpoint_down":    func(c *testCase) { c.net.Kill(EndpointHost(c.targetEndpoint())) },
	"endpoint_drains": func(c *testCase) {
		id := c.targetEndpoint()
		c.fleet.SetInstanceState(string(id), "leaving")
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drainingSince[id] = time.Now()
	},
	"endpoint_cut": func(c *testCase) { c.cut(EndpointHost(c.targetEndpoint()), c.entryNode().Host, false) },
	"link_cut": func(c *testCase) {
		if a, b := c.entryNode(), c.cellNode(); a != b {
			c.cut(a.Host, b.Host, true)
		}
	},
	"link_cut_one_way": func(c *testCase) {
		if a, b := c.entryNode(), c.cellNode(); a != b {
			c.cut(b.Host, a.Host, false)
		}
	},
	"store_down":          func(c *testCase) { c.platformFault(cloud.Fault{Unavailable: true}) },
	"store_slow":          func(c *testCase) { c.platformFault(cloud.Fault{Delay: 2 * time.Second}) },
	"store_lost_response": func(c *testCase) { c.platformFault(cloud.Fault{DropResponse: true}) },
	"list_lags": func(c *testCase) {
		// The instance list still contains an endpoint that has crashed.
		c.net.Kill(EndpointHost(c.otherEndpoint()))
	},
	"straggler": func(c *testCase) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.slowed["team/r1"] = true
	},
	"burst":      func(c *testCase) { c.burst() },
	"stream_eof": func(c *testCase) { c.failAnswer(runner.Fault{CloseAfterTokens: caseTokens / 4}, apprun.Fault{}) },
	"stream_lost": func(c *testCase) {
		c.failAnswer(runner.Fault{CloseAfterTokens: caseTokens / 4, Drop: true}, apprun.Fault{TruncateAnswer: true})
	},
	"stream_gap":     func(c *testCase) { c.failAnswer(runner.Fault{SkipToken: caseTokens / 2}, apprun.Fault{}) },
	"late_answer":    func(c *testCase) { c.failAnswer(runner.Fault{Delay: faultTime}, apprun.Fault{Delay: faultTime}) },
	"mismatched_ids": func(c *testCase) { c.failAnswer(runner.Fault{WrongID: true, Drop: true}, apprun.Fault{WrongID: true}) },
}

// nodeByID returns the node with an ID, or the first node if there is none.
func (c *testCase) nodeByID(id ident.NodeID) *Node {
	for _, n := range c.fleet.Nodes {
		if n.Process.Name == id {
			return n
		}
	}
	return c.fleet.Nodes[0]
}

func (c *testCase) entryNode() *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeByID(c.entry)
}

// cellNode returns the node that runs the subject's cell, or the first node if the
// entry node knows none.
func (c *testCase) cellNode() *Node {
	pool := ident.PoolID("team/chat")
	if c.kind == "booking" {
		pool = "team/bikes"
	}
	owner, ok := c.entryNode().Cells().Owner(ident.CellID{Pool: pool})
	if !ok {
		return c.fleet.Nodes[0]
	}
	return c.nodeByID(owner.ID)
}

// targetEndpoint returns the endpoint that the subject was dispatched to or,
// before that, the first endpoint of its pool.
func (c *testCase) targetEndpoint() ident.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.endpoint != "":
		return c.endpoint
	case c.kind == "booking":
		return "team/s1"
	default:
		return "team/r1"
	}
}

// otherEndpoint returns the other endpoint of the subject's pool.
func (c *testCase) otherEndpoint() ident.Endpoint {
	return map[ident.Endpoint]ident.Endpoint{
		"team/r1": "team/r2", "team/r2": "team/r1", "team/s1": "team/s2", "team/s2": "team/s1",
	}[c.targetEndpoint()]
}

func (c *testCase) kill(n *Node) {
	c.net.Kill(n.Host)
	c.runInBackground(n.Kill)
}

func (c *testCase) freeze(n *Node) {
	c.net.SetFrozen(n.Host, true)
	c.after(faultTime, func() { c.net.SetFrozen(n.Host, false) })
}

func (c *testCase) shutDown(n *Node) {
	c.runInBackground(func() { n.Shutdown(context.Background()) }) //nolint:errcheck // the case checks the answers instead.
}

func (c *testCase) cut(from, to string, bothWays bool) {
	c.net.SetBlocked(from, to, true)
	if bothWays {
		c.net.SetBlocked(to, from, true)
	}
	c.after(faultTime, func() {
		c.net.SetBlocked(from, to, false)
		c.net.SetBlocked(to, from, false)
	})
}

// burst sends more requests of the lower tier than the pool can queue.
func (c *testCase) burst() {
	for i := range 40 {
		n := c.fleet.Nodes[i%len(c.fleet.Nodes)]
		c.runInBackground(func() { c.sendTo(n, "chat", "b", fmt.Sprint("burst ", i)) })
	}
}

// failAnswer sets the faults of the subject's next answer: model applies if a
// model runner sends it, app if an application runner does.
func (c *testCase) failAnswer(model runner.Fault, app apprun.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextFault, c.nextServiceFault = model, app
}
