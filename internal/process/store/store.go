// Package store speaks to the platform: its table service, object store and
// instance list.
//
// A write can take effect although its answer is lost. Every transaction
// therefore ends in one of three outcomes, and the one that is unknown is
// resolved by its writer: by sending the same transaction again and looking
// for its own token in the conflict. A breaker keeps a store that is down from
// being asked by every request at once.
//
// # Usage
//
//	c := &store.Client{Table: "http://10.0.0.5:8000", Instances: "http://10.0.0.6:8000"}
//	result, err := c.Transact(ctx, checks, writes)
//	switch {
//	case err != nil: // unknown: perhaps applied
//	case result.Applied:
//	default: // result.Conflicts has the rows as they are
//	}
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/request/ident"
)

const (
	callTimeout   = 3 * time.Second
	maxReplyBytes = 16 << 20
	// openAfter failures in a row open the breaker for a pause that doubles.
	openAfter  = 3
	firstPause = 250 * time.Millisecond
	maxPause   = 5 * time.Second
)

// ErrUnavailable is returned without a call while the breaker is open.
var ErrUnavailable = eris.New("the platform's store is unavailable")

// Client is the one way to the platform. It is safe for concurrent use.
type Client struct {
	// Table, Objects and Instances are the addresses of the services.
	Table     string
	Objects   string
	Instances string
	// HTTP sends the calls; nil takes http.DefaultClient.
	HTTP *http.Client

	table    breaker
	listings breaker
	objects  breaker

	mu   sync.Mutex
	list []roster.Instance
	tag  string
}

// Check is a condition of a transaction: the version of a row, 0 for none.
type Check struct {
	Table, Key string
	Version    int64
}

// Write is a change in a transaction; Value is JSON.
type Write struct {
	Table, Key string
	Value      []byte
}

// Row is a row as it is.
type Row struct {
	Key     string
	Version int64
	Value   []byte
}

// Result is the known outcome of a transaction.
type Result struct {
	Applied   bool
	Conflicts []Row
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

// Transact applies all writes when all checks hold. An error means that the
// outcome is unknown, but for ErrUnavailable, which means nothing was sent.
func (c *Client) Transact(ctx context.Context, checks []Check, writes []Write) (Result, error) {
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
	status, _, err := c.call(ctx, &c.table, request{http.MethodPost, c.Table + "/transactions", body, ""}, &reply)
	if err != nil {
		return Result{}, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return Result{}, eris.Errorf("the table service answered %d", status)
	}
	result := Result{Applied: reply.Applied}
	for _, r := range reply.Conflicts {
		result.Conflicts = append(result.Conflicts, Row{r.Key, r.Version, r.Value})
	}
	return result, nil
}

// Get reads one row; found is false when there is none.
func (c *Client) Get(ctx context.Context, table, key string) (row Row, found bool, err error) {
	var reply struct {
		Version int64           `json:"version"`
		Value   json.RawMessage `json:"value"`
	}
	address := c.Table + "/rows/" + url.PathEscape(table) + "/" + url.PathEscape(key)
	status, _, err := c.call(ctx, &c.table, request{http.MethodGet, address, nil, ""}, &reply)
	switch {
	case err != nil:
		return Row{}, false, err
	case status == http.StatusNotFound:
		return Row{}, false, nil
	case status != http.StatusOK:
		return Row{}, false, eris.Errorf("the table service answered %d", status)
	}
	return Row{key, reply.Version, reply.Value}, true, nil
}

// List returns the platform's list of the instances of a region. The list is
// transferred only when it changed since the last call; changed says so.
func (c *Client) List(ctx context.Context, region ident.Region) (list []roster.Instance, changed bool, err error) {
	var reply struct {
		Instances []wireInstance `json:"instances"`
	}
	c.mu.Lock()
	known, tag := c.list, c.tag
	c.mu.Unlock()
	address := c.Instances + "/instances?region=" + url.QueryEscape(string(region))
	status, newTag, err := c.call(ctx, &c.listings, request{http.MethodGet, address, nil, tag}, &reply)
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

// PutObject writes an object whole.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	status, _, err := c.call(ctx, &c.objects, request{http.MethodPut, c.Objects + "/objects/" + name, body, ""}, nil)
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

func (c *Client) call(ctx context.Context, b *breaker, r request, into any) (status int, tag string, err error) {
	if !b.allows(time.Now()) {
		return 0, "", ErrUnavailable
	}
	status, tag, err = c.exchange(ctx, r, into)
	b.note(time.Now(), err == nil && status < http.StatusInternalServerError)
	return status, tag, err
}

func (c *Client) exchange(ctx context.Context, r request, into any) (status int, tag string, err error) {
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
	client := c.HTTP
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

// breaker stops calls for a pause after several failures in a row; then one
// call at a time tries whether the store is back.
type breaker struct {
	mu       sync.Mutex
	failures int
	pause    time.Duration
	until    time.Time
}

func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < openAfter {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.until = now.Add(b.pause)
	return true
}

func (b *breaker) note(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures, b.pause = 0, 0
		return
	}
	b.failures++
	if b.failures >= openAfter {
		b.pause = min(max(2*b.pause, firstPause), maxPause)
		b.until = now.Add(b.pause)
	}
}

// IsDown reports whether the table service has failed several times in a row.
func (c *Client) IsDown() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.failures >= openAfter
}
