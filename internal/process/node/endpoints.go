package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/cells"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// maxReportBytes bounds an endpoint's report, such as the cache events since the last one.
const maxReportBytes = 1 << 20

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

// pollLoad requests an endpoint's load report.
func (n *Node) pollLoad(ctx context.Context, spec sched.EndpointSpec) (sched.LoadReport, error) {
	l, err := getJSON[endpointLoad](ctx, n, spec.Address+"/load")
	if err != nil {
		return sched.LoadReport{}, err
	}
	return sched.LoadReport{
		Endpoint: spec.ID, Age: max(time.Since(time.UnixMilli(l.AsOf)), 0),
		Running: l.Running, Waiting: l.Waiting, Draining: l.Draining,
	}, nil
}

// pollCacheEvents requests an endpoint's cache events after a sequence number. It
// returns the events and the number to pass to the next call.
func (n *Node) pollCacheEvents(ctx context.Context, spec sched.EndpointSpec, after int) ([]cells.CacheEvent, int, error) {
	reply, err := getJSON[endpointEvents](ctx, n, spec.Address+"/cache_events?after="+strconv.Itoa(after))
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

// getJSON sends a GET request to an endpoint and decodes the JSON body.
func getJSON[T any](ctx context.Context, n *Node, url string) (T, error) {
	var reply T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return reply, eris.Wrap(err, "create the request to the endpoint")
	}
	resp, _, err := n.Client.Do(req)
	if err != nil {
		return reply, eris.Wrap(err, "call the endpoint")
	}
	defer resp.Body.Close() //nolint:errcheck // the response has been read.
	if resp.StatusCode != http.StatusOK {
		return reply, eris.Errorf("get %s: unexpected status %d", url, resp.StatusCode)
	}
	return decodeReport[T](resp.Body)
}

// decodeReport decodes what an endpoint says of itself, if it is whole and has at most maxReportBytes: a
// faulty one may send bytes without end.
func decodeReport[T any](r io.Reader) (T, error) {
	var reply T
	raw, err := io.ReadAll(io.LimitReader(r, maxReportBytes+1))
	if err != nil {
		return reply, eris.Wrap(err, "read the response of the endpoint")
	}
	if len(raw) > maxReportBytes {
		return reply, eris.Errorf("the response of the endpoint has more than %d bytes", maxReportBytes)
	}
	return reply, eris.Wrap(json.Unmarshal(raw, &reply), "decode the response of the endpoint")
}
