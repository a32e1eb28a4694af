// Package cloud is a stand-in for the platform's store: tables with atomic
// transactions and a feed of their changes, and an object store, with their
// faults.
//
// It speaks the users' platform's protocol. The list of instances of the
// project's own deployments is a table in it.
//
// # Usage
//
//	p := &cloud.Platform{}
//	p.SetInstances(list)
//	server := httptest.NewServer(p)
//	p.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{Down: true} })
package cloud

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// InstanceTable holds the list of instances.
const InstanceTable = "instances"

// Platform is the stand-in. The zero value is empty and ready for use; it is
// safe for concurrent use.
type Platform struct {
	// Fault decides the fate of each operation; nil means none. Set it with
	// SetFault while the platform is in use.
	Fault func(Op) Fault
	// Lag is the age of the instance list.
	Lag time.Duration

	mu      sync.Mutex
	rows    map[rowKey]Row
	objects map[string][]byte
	// version counts the transactions; changes are the latest ones in order,
	// kept is the version up to which they are forgotten.
	version int64
	changes []change
	kept    int64
	changed chan struct{}
	writes  int
	reads   int
	once    sync.Once
	router  http.Handler
}

// Op names one operation.
type Op struct {
	// Write tells transactions and object writes from reads.
	Write bool
	Path  string
	// Table is that of a read, "" for other operations.
	Table string
}

// Fault is what goes wrong with one operation.
type Fault struct {
	// Down answers 503 without effect.
	Down bool
	// Busy answers 429 without effect.
	Busy bool
	// LoseAnswer takes effect and then closes the connection.
	LoseAnswer bool
	Delay      time.Duration
}

type rowKey struct{ table, part, key string }

type change struct {
	at      rowKey
	version int64
	deleted bool
}

// Row is one row of a table; its version is that of the transaction that wrote
// it last.
type Row struct {
	Version int64
	Value   []byte
}

// Check is a condition of a transaction: the row's version, 0 for none.
type Check struct {
	Table, Key string
	Version    int64
}

// Write is a change in a transaction; a nil value removes the row.
type Write struct {
	Table, Key string
	Value      []byte
}

// Transaction is a list of checks and the writes that follow when all hold.
type Transaction struct {
	// Part is the part of all rows.
	Part   string
	Checks []Check
	Writes []Write
}

// Conflict is a check that did not hold, with the row as it is.
type Conflict struct {
	Table, Key string
	Row
}

// Result is the answer to a transaction.
type Result struct {
	Applied   bool
	Conflicts []Conflict
}

// Instance is one entry of the instance list.
type Instance struct {
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	State    string `json:"state"`
	Region   string `json:"region"`
	Zone     string `json:"availability_zone"`
	Address  string `json:"address"`
	Peer     string `json:"peer_address,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Hardware string `json:"generation,omitempty"`
}

// SetFault changes the faults while the platform is in use.
func (p *Platform) SetFault(f func(Op) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Fault = f
}

// SetInstances replaces the list; readers see it after the lag.
func (p *Platform) SetInstances(list []Instance) {
	if p.Lag > 0 {
		time.AfterFunc(p.Lag, func() { p.setInstances(list) })
		return
	}
	p.setInstances(list)
}

func (p *Platform) setInstances(list []Instance) {
	t := Transaction{}
	listed := map[string]bool{}
	for _, in := range list {
		value, err := json.Marshal(in)
		if err != nil {
			panic(err) // strings always encode.
		}
		listed[in.ID] = true
		t.Writes = append(t.Writes, Write{InstanceTable, in.ID, value})
	}
	for _, key := range p.Keys(InstanceTable) {
		if !listed[key] {
			t.Writes = append(t.Writes, Write{Table: InstanceTable, Key: key})
		}
	}
	p.Apply(t)
}

// Keys returns the keys of a table's rows in order.
func (p *Platform) Keys(table string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for at := range p.rows {
		if at.table == table {
			keys = append(keys, at.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Objects returns the objects by name.
func (p *Platform) Objects() map[string][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.objects)
}

// Counts returns the writes and reads so far.
func (p *Platform) Counts() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// DropHistory forgets which rows changed up to now.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes, p.kept = nil, p.version
}

// Apply runs a transaction.
func (p *Platform) Apply(t Transaction) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var result Result
	for _, c := range t.Checks {
		if row := p.rows[rowKey{c.Table, t.Part, c.Key}]; row.Version != c.Version {
			result.Conflicts = append(result.Conflicts, Conflict{c.Table, c.Key, row})
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	if p.rows == nil {
		p.rows = map[rowKey]Row{}
	}
	p.version++
	for _, w := range t.Writes {
		at := rowKey{w.Table, t.Part, w.Key}
		if w.Value == nil {
			delete(p.rows, at)
		} else {
			p.rows[at] = Row{p.version, w.Value}
		}
		p.changes = append(p.changes, change{at, p.version, w.Value == nil})
	}
	result.Applied = true
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
	return result
}

// found is a row with its place.
type found struct {
	rowKey
	Row
	deleted bool
}

// scan returns the rows of a part of a table in the order of their keys.
func (p *Platform) scan(table, part, from, to string) (rows []found, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, row := range p.rows {
		if at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to) {
			rows = append(rows, found{at, row, false})
		}
	}
	slices.SortFunc(rows, func(a, b found) int { return cmp.Compare(a.key, b.key) })
	return rows, p.version
}

// since returns the last change of each row of a table after a version. Next is
// closed at the next change of any table; ok is false when the history is gone.
func (p *Platform) since(table string, after int64) (rows []found, version int64, next <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.kept {
		return nil, p.version, nil, false
	}
	last := map[rowKey]change{}
	for _, c := range p.changes {
		if c.at.table == table && c.version > after {
			last[c.at] = c
		}
	}
	for at, c := range last {
		rows = append(rows, found{at, Row{c.version, p.rows[at].Value}, c.deleted})
	}
	slices.SortFunc(rows, func(a, b found) int { return cmp.Compare(a.Version, b.Version) })
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return rows, p.version, p.changed, true
}
