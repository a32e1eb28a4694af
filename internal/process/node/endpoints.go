package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
)

// endpointLoad is an endpoint's answer to GET /load.
type endpointLoad struct {
	AsOf     int64 `json:"as_of_unix_ms"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Draining bool  `json:"draining"`
}

// endpointEvents is an endpoint's answer to GET /cache_events.
type endpointEvents struct {
	Events []struct {
		Request string `json:"request_id"`
		Kept    int64  `json:"kept_tokens"`
	} `json:"events"`
	Next int `json:"next"`
}

// poll asks an endpoint for its load.
func (n *Node) poll(ctx context.Context, spec sched.EndpointSpec) (sched.LoadReport, error) {
	l, err := get[endpointLoad](ctx, n, spec.Address+"/load")
	if err != nil {
		return sched.LoadReport{}, err
	}
	return sched.LoadReport{
		Endpoint: spec.ID, Age: max(time.Since(time.UnixMilli(l.AsOf)), 0),
		Running: l.Running, Waiting: l.Waiting, Draining: l.Draining,
	}, nil
}

// cacheEvents asks an endpoint for its cache events after a number.
func (n *Node) cacheEvents(ctx context.Context, spec sched.EndpointSpec, after int) ([]cells.CacheEvent, int, error) {
	reply, err := get[endpointEvents](ctx, n, spec.Address+"/cache_events?after="+strconv.Itoa(after))
	if err != nil {
		n.Log.Debug("cache_events_not_read", "endpoint", spec.ID, "after", after, "error", err)
		return nil, after, err
	}
	events := make([]cells.CacheEvent, len(reply.Events))
	for i, e := range reply.Events {
		events[i] = cells.CacheEvent{Request: ident.RequestID(e.Request), Kept: ident.Tokens(e.Kept)}
	}
	return events, reply.Next, nil
}

// get reads one JSON answer of an endpoint.
func get[T any](ctx context.Context, n *Node, url string) (T, error) {
	var reply T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return reply, eris.Wrap(err, "ask the endpoint")
	}
	resp, _, err := n.Client.Do(req)
	if err != nil {
		return reply, eris.Wrap(err, "ask the endpoint")
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	if resp.StatusCode != http.StatusOK {
		return reply, eris.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return reply, eris.Wrap(json.NewDecoder(resp.Body).Decode(&reply), "answer of the endpoint")
}
