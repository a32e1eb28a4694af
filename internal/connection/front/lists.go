package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/version/config"
)

// Sinker makes the sink for a resumed answer once its request is known.
type Sinker func(id ident.RequestID, model string, form intake.Form) answer.Sink

type addressList struct {
	Addresses []addressEntry `json:"addresses"`
	TTL       int            `json:"ttl_seconds"`
}

type addressEntry struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Zone    string `json:"availability_zone"`
}

// addresses tells a caller which entry addresses to use and for how long.
func (f *Front) addresses(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
	zone := ident.AvailabilityZone(r.URL.Query().Get("availability_zone"))
	list := addressList{Addresses: []addressEntry{}, TTL: int(tree.Limits.AddressesTTL.Seconds())}
	for _, a := range f.Addresses(account, zone) {
		list.Addresses = append(list.Addresses, addressEntry{string(a.Node), a.Address, string(a.Zone)})
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

func (f *Front) models(w http.ResponseWriter, _ *http.Request, _ *config.Tree, account *config.Account) {
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
	w.Write(append(encode(body), '\n')) //nolint:errcheck // the caller may be gone.
}

// resume streams the rest of an answer after the event that the caller saw
// last.
func (f *Front) resume(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || from < 0 {
		from = 0
	}
	out := &writer{
		w: w, control: http.NewResponseController(w), timeout: tree.Limits.WriteTimeout,
		req: &intake.Request{ID: ident.NewRequestID(), Stream: true}, token: func(answer.Head) string { return "" },
	}
	w.Header().Set(requestIDHeader, string(out.req.ID))
	sink := func(id ident.RequestID, model string, form intake.Form) answer.Sink {
		out.req.ID, out.req.Name, out.req.Form = id, model, form
		return out.sink()
	}
	refusal := f.Resume(r.Context(), account.ID, r.Header.Get(ResumeTokenHeader), from, sink)
	if refusal != nil {
		f.Meter.Refused("", string(refusal.Reason), string(refusal.Run))
		out.fail(refusal)
	}
}

func quoted(s string) string { return strconv.Quote(s) }

// slowReader bounds the time between two parts of an uploaded body and its
// whole length.
type slowReader struct {
	io.Reader
	w       http.ResponseWriter
	timeout time.Duration
	left    int64
}

var errBodyTooLarge = errors.New("the body is longer than the limit")

func (s *slowReader) Read(b []byte) (int, error) {
	setReadDeadline(s.w, s.timeout)
	n, err := s.Reader.Read(b)
	if s.left -= int64(n); s.left < 0 {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err != nil {
		setReadDeadline(s.w, 0)
	}
	return n, err
}
