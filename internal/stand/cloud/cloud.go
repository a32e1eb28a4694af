// Package cloud is a stand-in for the platform's store: tables with atomic
// transactions and a change feed, and an object store, with injected faults.
//
// It implements the protocol of the users' platform. The instance list of the
// project's own deployments is one of its tables.
//
// # Usage
//
//	p := &cloud.Platform{}
//	p.SetInstances(list)
//	server := httptest.NewServer(p)
//	p.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{Unavailable: true} })
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

// InstanceTable is the name of the table that holds the instance list.
const InstanceTable = "instances"

// Platform is a store. The zero value is empty and ready for use. It is safe for
// concurrent use.
type Platform struct {
	// InjectFault returns the fault to inject into an operation; nil means none.
	// While the platform is in use, change it with SetFault. It is called with the
	// platform's mutex locked, so it must not call methods of the platform.
	InjectFault func(Op) Fault
	// InstanceListLag is the delay before readers see a change of the instance
	// list.
	InstanceListLag time.Duration

	mu      sync.Mutex
	rows    map[rowKey]Row
	objects map[string][]byte
	// lastTransaction is the number of transactions applied, which is the
	// current version. changes holds the changes after version historyStart, in
	// order.
	lastTransaction int64
	changes         []change
	historyStart    int64
	// era counts the restores.
	era        int64
	nextChange chan struct{}
	writeCount int
	readCount  int
	// isSilent is set while no call is answered, and silences counts how often that began.
	isSilent    bool
	silences    int
	buildRouter sync.Once
	router      http.Handler
}

// Op describes one operation.
type Op struct {
	// IsWrite is set for transactions and for writes and deletions of objects.
	IsWrite bool
	Path    string
	// Table is the table that a read of rows or of the change feed names, "" for
	// other operations.
	Table string
}

// Fault is a set of faults to inject into one operation.
type Fault struct {
	// Unavailable answers 503 and does not run the operation.
	Unavailable bool
	// TooManyRequests answers 429 and does not run the operation.
	TooManyRequests bool
	// DropResponse runs the operation and then closes the connection without an
	// answer.
	DropResponse bool
	// Delay is the time to wait before the operation is run or refused.
	Delay time.Duration
}

type rowKey struct{ table, part, key string }

type change struct {
	rowKey    rowKey
	version   int64
	isDeleted bool
}

// Row is one row of a table. Version is the number of the transaction that wrote
// it last.
type Row struct {
	Version int64
	Value   []byte
}

// Check is a precondition of a transaction: the current version of a row, 0 if
// the row does not exist.
type Check struct {
	Table, Key string
	Version    int64
}

// Write is a write in a transaction; a nil Value deletes the row.
type Write struct {
	Table, Key string
	Value      []byte
}

// Transaction is a list of writes that are applied if all checks hold.
type Transaction struct {
	// Partition is the partition of all rows of the transaction.
	Partition string
	Checks    []Check
	Writes    []Write
}

// Conflict is a check that failed, with the current row.
type Conflict struct {
	Table, Key string
	Row
}

// Result is the result of a transaction.
type Result struct {
	Applied   bool
	Conflicts []Conflict
}

// Instance is one entry of the instance list.
type Instance struct {
	ID               string `json:"id"`
	Kind             string `json:"kind"`
	State            string `json:"state"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	PeerAddress      string `json:"peer_address,omitempty"`
	Endpoint         string `json:"endpoint,omitempty"`
	Pool             string `json:"pool,omitempty"`
	Hardware         string `json:"generation,omitempty"`
}

// SetFault sets the function that returns the fault to inject into an operation.
// It can be called while the platform is in use.
func (p *Platform) SetFault(f func(Op) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.InjectFault = f
}

// SetInstances replaces the instance list. Readers see the new list after
// InstanceListLag.
func (p *Platform) SetInstances(list []Instance) {
	if p.InstanceListLag > 0 {
		time.AfterFunc(p.InstanceListLag, func() { p.replaceInstances(list) })
		return
	}
	p.replaceInstances(list)
}

func (p *Platform) replaceInstances(list []Instance) {
	t := Transaction{}
	listed := map[string]bool{}
	for _, in := range list {
		value, err := json.Marshal(in)
		if err != nil {
			panic(err) // encoding strings cannot fail.
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

// Keys returns the sorted keys of a table's rows in all partitions.
func (p *Platform) Keys(table string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key := range p.rows {
		if key.table == table {
			keys = append(keys, key.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Rows returns the values of a table's rows by key, whatever faults are set.
func (p *Platform) Rows(table string) map[string][]byte {
	rows := map[string][]byte{}
	entries, _ := p.rowsInRange(table, "", "", "")
	for _, e := range entries {
		rows[e.key] = e.Value
	}
	return rows
}

// Objects returns the objects by name. The contents are not copied and must not be
// changed.
func (p *Platform) Objects() map[string][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.objects)
}

// OperationCounts returns the number of write and read operations so far, failed
// ones included.
func (p *Platform) OperationCounts() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writeCount, p.readCount
}

// TruncateHistory deletes the change history up to the current version, so that a
// feed from an earlier version fails with 410.
func (p *Platform) TruncateHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes, p.historyStart = nil, p.lastTransaction
}

// Copy is the content of the store at one moment.
type Copy struct {
	rows    map[rowKey]Row
	objects map[string][]byte
	version int64
}

// Copy returns a copy of the store's content.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{maps.Clone(p.rows), maps.Clone(p.objects), p.lastTransaction}
}

// Restore replaces the store's content with a copy, as after the loss of the
// store's latest changes. Their versions are given out again. A feed from an
// earlier or later version than the copy's fails with 410.
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows, p.objects, p.lastTransaction = maps.Clone(c.rows), maps.Clone(c.objects), c.version
	p.changes, p.historyStart = nil, c.version
	p.era++
}

// Era returns the number of restores so far.
func (p *Platform) Era() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// Apply runs a transaction: it applies all writes if all checks hold, and none
// otherwise.
func (p *Platform) Apply(t Transaction) Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var result Result
	for _, c := range t.Checks {
		if row := p.rows[rowKey{c.Table, t.Partition, c.Key}]; row.Version != c.Version {
			result.Conflicts = append(result.Conflicts, Conflict{c.Table, c.Key, row})
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	if p.rows == nil {
		p.rows = map[rowKey]Row{}
	}
	p.lastTransaction++
	for _, w := range t.Writes {
		key := rowKey{w.Table, t.Partition, w.Key}
		if w.Value == nil {
			delete(p.rows, key)
		} else {
			p.rows[key] = Row{p.lastTransaction, w.Value}
		}
		p.changes = append(p.changes, change{key, p.lastTransaction, w.Value == nil})
	}
	result.Applied = true
	if p.nextChange != nil {
		close(p.nextChange)
		p.nextChange = nil
	}
	return result
}

// entry is a row with its key; deleted marks a deletion in the change feed.
type entry struct {
	rowKey
	Row
	deleted bool
}

// rowsInRange returns the rows of a partition of a table whose keys are at least
// from and below to, in the order of their keys, and the current version. An
// empty to is no bound.
func (p *Platform) rowsInRange(table, partition, from, to string) (rows []entry, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, row := range p.rows {
		if key.table == table && key.part == partition && key.key >= from && (to == "" || key.key < to) {
			rows = append(rows, entry{key, row, false})
		}
	}
	slices.SortFunc(rows, func(a, b entry) int { return cmp.Compare(a.key, b.key) })
	return rows, p.lastTransaction
}

// changesAfter returns the last change of each row of a table after a version,
// and the current version. next is closed when the next transaction is applied. ok is
// false if the history after that version has been dropped.
func (p *Platform) changesAfter(table string, after int64) (rows []entry, version int64, next <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.historyStart || after > p.lastTransaction {
		return nil, p.lastTransaction, nil, false
	}
	last := map[rowKey]change{}
	first, _ := slices.BinarySearchFunc(p.changes, after+1, func(c change, version int64) int { return cmp.Compare(c.version, version) })
	for _, c := range p.changes[first:] {
		if c.rowKey.table == table {
			last[c.rowKey] = c
		}
	}
	for key, c := range last {
		rows = append(rows, entry{key, Row{c.version, p.rows[key].Value}, c.isDeleted})
	}
	slices.SortFunc(rows, func(a, b entry) int { return cmp.Compare(a.Version, b.Version) })
	if p.nextChange == nil {
		p.nextChange = make(chan struct{})
	}
	return rows, p.lastTransaction, p.nextChange, true
}
