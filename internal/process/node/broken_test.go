package node

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/stand/broken"
)

// TestBrokenLoadReports sends each answer of package broken to a poll of an endpoint's load.
func TestBrokenLoadReports(t *testing.T) {
	for _, a := range append(broken.Answers(), broken.HeadCuts("")...) {
		t.Run(a.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{Client: &client.Client{Dial: func(context.Context, string, string) (net.Conn, error) {
					local, remote := net.Pipe()
					go broken.Serve(remote, a.KeepsOpen, nil, a.Text("", `{"running":3}`))
					return local, nil
				}}}
				defer n.Client.CloseIdleConnections()
				report, err := n.pollLoad(t.Context(), sched.EndpointSpec{ID: "e", Address: "http://e"})
				if a.Fault == "" {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, report.Running, qt.Equals, 3)
					return
				}
				qt.Check(t, err, qt.IsNotNil)
			})
		})
	}
}
