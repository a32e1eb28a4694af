package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/request/ident"
)

const maxReplyBytes = 16 << 20

// HTTP calls the platform of the project's own deployments.
type HTTP struct {
	// Table, Objects and Instances are the addresses of the services.
	Table     string
	Objects   string
	Instances string
	// Client sends the calls; nil takes http.DefaultClient.
	Client *http.Client
}

// Service returns the calls.
func (h HTTP) Service() Service {
	c := &caller{HTTP: h}
	return Service{Transact: c.transact, Get: c.get, List: c.instances, Put: c.put}
}

// caller remembers the list of instances, which is transferred only when it
// changed.
type caller struct {
	HTTP
	mu   sync.Mutex
	list []roster.Instance
	tag  string
}

type wireCheck struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

type wireWrite struct {
	Table string          `json:"table"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

type wireTransaction struct {
	Checks []wireCheck `json:"checks"`
	Writes []wireWrite `json:"writes"`
}

type wireResult struct {
	Applied   bool `json:"applied"`
	Conflicts []struct {
		Key     string          `json:"key"`
		Version int64           `json:"version"`
		Value   json.RawMessage `json:"value"`
	} `json:"conflicts"`
}

func (c *caller) transact(ctx context.Context, checks []Check, writes []Write) (Result, error) {
	t := wireTransaction{Checks: []wireCheck{}, Writes: []wireWrite{}}
	for _, k := range checks {
		t.Checks = append(t.Checks, wireCheck(k))
	}
	for _, w := range writes {
		t.Writes = append(t.Writes, wireWrite{w.Table, w.Key, w.Value})
	}
	body, err := json.Marshal(t)
	if err != nil {
		return Result{}, eris.Wrap(err, "encode transaction")
	}
	var reply wireResult
	status, _, err := c.call(ctx, request{http.MethodPost, c.Table + "/transactions", body, ""}, &reply)
	if err != nil {
		return Result{}, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return Result{}, eris.Errorf("the table service answered %d", status)
	}
	result := Result{Applied: reply.Applied}
	for _, r := range reply.Conflicts {
		result.Conflicts = append(result.Conflicts, Row{Key: r.Key, Version: r.Version, Value: r.Value})
	}
	return result, nil
}

func (c *caller) get(ctx context.Context, table, key string) (row Row, found bool, err error) {
	var reply struct {
		Version int64           `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	address := c.Table + "/rows/" + url.PathEscape(table) + "/" + url.PathEscape(key)
	status, _, err := c.call(ctx, request{http.MethodGet, address, nil, ""}, &reply)
	switch {
	case err != nil:
		return Row{}, false, err
	case status == http.StatusNotFound:
		return Row{}, false, nil
	case status != http.StatusOK:
		return Row{}, false, eris.Errorf("the table service answered %d", status)
	}
	return Row{Key: key, Version: reply.Version, Value: reply.Value}, true, nil
}

func (c *caller) instances(ctx context.Context, region ident.Region) (list []roster.Instance, changed bool, err error) {
	var reply struct {
		Instances []wireInstance `json:"instances"`
	}
	c.mu.Lock()
	known, tag := c.list, c.tag
	c.mu.Unlock()
	address := c.Instances + "/instances?region=" + url.QueryEscape(string(region))
	status, newTag, err := c.call(ctx, request{http.MethodGet, address, nil, tag}, &reply)
	switch {
	case err != nil:
		return known, false, err
	case status == http.StatusNotModified:
		return known, false, nil
	case status != http.StatusOK:
		return known, false, eris.Errorf("the instance list answered %d", status)
	}
	list = make([]roster.Instance, len(reply.Instances))
	for i, in := range reply.Instances {
		list[i] = in.instance()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list, c.tag = list, newTag
	return list, true, nil
}

func (c *caller) put(ctx context.Context, name string, body []byte) error {
	status, _, err := c.call(ctx, request{http.MethodPut, c.Objects + "/objects/" + name, body, ""}, nil)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent && status != http.StatusOK {
		return eris.Errorf("the object store answered %d", status)
	}
	return nil
}

type wireInstance struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	State      string `json:"state"`
	Region     string `json:"region"`
	Zone       string `json:"availability_zone"`
	Address    string `json:"address"`
	Peer       string `json:"peer_address"`
	Endpoint   string `json:"endpoint"`
	Pool       string `json:"pool"`
	Generation string `json:"generation"`
}

const (
	kindEntry    = "entry"
	stateLeaving = "leaving"
)

func (w wireInstance) instance() roster.Instance {
	return roster.Instance{
		ID: w.ID, IsNode: w.Kind == kindEntry, Leaving: w.State == stateLeaving,
		Region: ident.Region(w.Region), Zone: ident.AvailabilityZone(w.Zone),
		Address: w.Address, PeerAddress: w.Peer, Endpoint: ident.Endpoint(w.Endpoint),
		Pool: ident.PoolID(w.Pool), Generation: w.Generation,
	}
}

// request is one call to the platform; tag makes it conditional.
type request struct {
	method, address string
	body            []byte
	tag             string
}

func (c *caller) call(ctx context.Context, r request, into any) (status int, tag string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, r.address, bytes.NewReader(r.body))
	if err != nil {
		return 0, "", eris.Wrap(err, "call the platform")
	}
	// A transaction is repeated by its writer alone, who looks for its token.
	req.GetBody = nil
	if r.tag != "" {
		req.Header.Set("If-None-Match", r.tag)
	}
	client := c.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", eris.Wrap(err, "call the platform")
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, "", eris.Wrap(err, "answer of the platform")
	}
	if into == nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return resp.StatusCode, "", nil
	}
	return resp.StatusCode, resp.Header.Get("ETag"), eris.Wrap(json.Unmarshal(raw, into), "answer of the platform")
}
