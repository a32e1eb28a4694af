package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/version/config"
)

// SinkFactory returns the sink for a resumed answer. It is called once the request
// is known.
type SinkFactory func(id ident.RequestID, model string, form intake.Form) answer.Sink

type addressList struct {
	Addresses []addressEntry `json:"addresses"`
	TTL       int            `json:"ttl_seconds"`
}

type addressEntry struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Zone    string `json:"availability_zone"`
}

// handleAddresses lists the entry addresses of the account and how long the
// list is valid.
func (api *CallerAPI) handleAddresses(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
	zone := ident.AvailabilityZone(r.URL.Query().Get("availability_zone"))
	list := addressList{Addresses: []addressEntry{}, TTL: int(tree.Limits.AddressesTTL.Seconds())}
	for _, address := range api.Addresses(account, zone) {
		list.Addresses = append(list.Addresses, addressEntry{string(address.Node), address.Address, string(address.Zone)})
	}
	writeJSON(w, list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (api *CallerAPI) handleModels(w http.ResponseWriter, _ *http.Request, _ *config.Tree, account *config.Account) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, p := range account.Team.Pools {
		if p.Kind == ident.ModelRunner {
			list.Data = append(list.Data, modelEntry{p.Model, "model", string(p.Team.ID)})
		}
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(requestIDHeader, string(ident.NewRequestID()))
	w.Write(append(mustMarshal(body), '\n')) //nolint:errcheck // the caller may be gone.
}

// handleResume streams the rest of an answer, from the event after the one named
// by Last-Event-ID. If that header is missing or invalid, it streams the answer from
// its first event.
func (api *CallerAPI) handleResume(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || from < 0 {
		from = 0
	}
	rw := &responseWriter{
		w: w, control: http.NewResponseController(w), writeTimeout: tree.Limits.WriteTimeout,
		req: &intake.Request{ID: ident.NewRequestID(), Stream: true}, resumeToken: func(answer.Head) string { return "" },
	}
	w.Header().Set(requestIDHeader, string(rw.req.ID))
	sink := func(id ident.RequestID, model string, form intake.Form) answer.Sink {
		rw.req.ID, rw.req.Name, rw.req.Form = id, model, form
		return rw.sink()
	}
	refusal := api.Resume(r.Context(), account.ID, r.Header.Get(ResumeTokenHeader), from, sink)
	if refusal != nil {
		api.Meter.Refused("", string(refusal.Reason), string(refusal.RunState))
		rw.fail(refusal)
	}
}

func quoted(s string) string { return strconv.Quote(s) }

// uploadReader reads a request body. It sets a new read deadline for each read
// and limits the total length.
type uploadReader struct {
	io.Reader
	w         http.ResponseWriter
	timeout   time.Duration
	remaining int64
}

var errBodyTooLarge = errors.New("the body is longer than the limit")

func (u *uploadReader) Read(b []byte) (int, error) {
	setReadDeadline(u.w, u.timeout)
	n, err := u.Reader.Read(b)
	if u.remaining -= int64(n); u.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err != nil {
		setReadDeadline(u.w, 0)
	}
	return n, err
}
