package claims

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
)

// Table is the name of the table that holds the claims.
const Table = "claims"

var (
	errNoConflict = eris.New("table service refused a transaction without naming a conflict")
	errStopped    = eris.New("claim coordinator has stopped")
)

// state is the state of a record, a claim in memory. A released claim has no
// record.
type state uint8

const (
	deciding state = iota
	running
	settled
)

// The values of row.State, the state of a claim in the table.
const (
	stateRunning  = "running"
	stateSettled  = "settled"
	stateReleased = "released"
)

// row is a claim as stored in the table.
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

func newRow(c Claim) row {
	return row{
		Key: c.Key.String(), Request: string(c.Request), Node: string(c.Node),
		Token: c.Token, Digest: c.Digest, State: stateRunning,
	}
}

func (r row) request() ident.RequestID { return ident.RequestID(r.Request) }
func (r row) node() ident.NodeID       { return ident.NodeID(r.Node) }

// setStored stores an answer in the row, unless the answer is nil or its body is
// longer than MaxStoredBytes.
func (r *row) setStored(s *Stored) {
	if s != nil && len(s.Body) <= MaxStoredBytes {
		r.Status, r.ContentType, r.Body = s.Status, s.ContentType, s.Body
	}
}

// resultFor returns the result of claim c for the row's key. The claim that wrote
// the row gets Won, identified by its token. A settled row whose Status is 0 has no
// stored answer; other claims with its digest get Taken.
func (r row) resultFor(c Claim) Result {
	result := Result{Outcome: Taken, Request: r.request(), Node: r.node()}
	switch {
	case r.Digest != c.Digest:
		result.Outcome = Reused
	case r.Token == c.Token:
		result.Outcome = Won
	case r.State == stateSettled && r.Status != 0:
		result.Outcome = Settled
		result.Stored = &Stored{r.Status, r.ContentType, r.Body}
	}
	return result
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
	return r, eris.Wrap(err, "decode claim row")
}
