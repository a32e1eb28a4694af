package claims

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/request/ident"
)

// Table is the name of the table that holds the claims.
const Table = "claims"

var (
	errNoConflict = eris.New("the table service refused a transaction and named no conflict")
	errStopped    = eris.New("this home has stopped")
)

type state uint8

const (
	deciding state = iota
	running
	settled
)

const (
	stateRunning  = "running"
	stateSettled  = "settled"
	stateReleased = "released"
)

// row is a claim as the table keeps it.
type row struct {
	Key     string `json:"-"`
	Request string `json:"request"`
	Node    string `json:"node"`
	Token   string `json:"token"`
	Digest  uint64 `json:"digest"`
	State   string `json:"state"`

	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

func rowOf(c Claim) row {
	return row{
		Key: c.Key.String(), Request: string(c.Request), Node: string(c.Node),
		Token: c.Token, Digest: c.Digest, State: stateRunning,
	}
}

func (r row) request() ident.RequestID { return ident.RequestID(r.Request) }
func (r row) node() ident.NodeID       { return ident.NodeID(r.Node) }

func (r *row) keep(s *Stored) {
	if s != nil && len(s.Body) <= MaxStoredBytes {
		r.Status, r.ContentType, r.Body = s.Status, s.ContentType, s.Body
	}
}

// verdict is what the row tells a claim.
func (r row) verdict(c Claim) Result {
	v := Result{Outcome: Taken, Request: r.request(), Node: r.node()}
	switch {
	case r.Digest != c.Digest:
		v.Outcome = Reused
	case r.Token == c.Token:
		v.Outcome = Won
	case r.State == stateSettled && r.Status != 0:
		v.Outcome = Settled
		v.Stored = &Stored{r.Status, r.ContentType, r.Body}
	}
	return v
}

func (r row) encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return raw
}

func decodeRow(raw []byte) (row, error) {
	var r row
	err := json.Unmarshal(raw, &r)
	return r, eris.Wrap(err, "claim row")
}
