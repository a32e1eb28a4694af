package detour

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
)

// TestWithdrawnWhileSent guards against a run that is ended because its requester withdraws the request
// in the moment in which it is sent to an endpoint.
func TestWithdrawnWhileSent(t *testing.T) {
	for name, attempts := range map[string]int{"waits": 0, "sent": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				s := &Server{
					AwaitSettings: func(context.Context, ident.Version, string) bool { return true },
					Resolve:       func(*proxy.Request, ident.PoolID) (func(), *refuse.Refusal) { return func() {}, nil },
					IsLost:        func() bool { return false },
					Serve: func(ctx context.Context, r *proxy.Request, _ http.ResponseWriter) proxy.Result {
						if attempts > 0 {
							r.Dispatching(attempts)
						}
						select {
						case <-ctx.Done():
							return proxy.Result{Refusal: refuse.New(refuse.CallerGone, "")}
						case <-time.After(time.Second):
							return proxy.Result{Attempts: attempts}
						}
					},
				}
				go s.Handle(t.Context(), link.NewStream(far), wire.Detour{Remaining: int64(time.Minute)})
				requester := link.NewStream(near)
				for {
					kind, body, err := requester.Receive()
					qt.Assert(t, err, qt.IsNil)
					if kind != wire.KindDetourEnd {
						requester.Send(wire.KindDetourWithdraw, wire.Empty{}) //nolint:errcheck // the result shows it.
						continue
					}
					end, err := link.Decode[wire.DetourEnd](body)
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, end.Refusal == nil, qt.Equals, attempts > 0)
					near.Close() //nolint:errcheck // the test is over.
					return
				}
			})
		})
	}
}
