package wire

import (
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/process/watch"
)

// Follow requests the changes of the store's tables, each after a cursor. A table
// without a cursor is sent whole.
type Follow struct {
	Cursors map[string]Cursor `cbor:"1,keyasint,omitempty"`
	// IsStarting is set by a node that starts, which also accepts the tables of a node that
	// follows a reader.
	IsStarting bool `cbor:"2,keyasint,omitempty"`
	// Settled holds the positions up to which the sender's own copies of tables have everything.
	// Such a table is sent whole only if the changes since then are not known.
	Settled map[string]Position `cbor:"3,keyasint,omitempty"`
}

// Position is store.Position on the wire.
type Position struct {
	Era     int64 `cbor:"1,keyasint,omitempty"`
	Version int64 `cbor:"2,keyasint"`
}

// FromPosition converts a position.
func FromPosition(p store.Position) Position { return Position{int64(p.Era), p.Version} }

// ToPosition converts a received position.
func (p Position) ToPosition() store.Position {
	return store.Position{Era: store.Era(p.Era), Version: p.Version}
}

// Cursor is watch.Cursor on the wire.
type Cursor struct {
	Log      uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// FromCursor converts a cursor.
func FromCursor(c watch.Cursor) Cursor { return Cursor{c.Log, c.Sequence} }

// ToCursor converts a received cursor.
func (c Cursor) ToCursor() watch.Cursor { return watch.Cursor{Log: c.Log, Sequence: c.Sequence} }

// Changes is a watch.Update of a table, or a heartbeat if Table is empty.
type Changes struct {
	Table      string `cbor:"1,keyasint,omitempty"`
	Next       Cursor `cbor:"2,keyasint"`
	IsSnapshot bool   `cbor:"3,keyasint,omitempty"`
	Rows       []Row  `cbor:"4,keyasint,omitempty"`
	// Era and Version are the store's position.
	Era     int64 `cbor:"5,keyasint,omitempty"`
	Version int64 `cbor:"6,keyasint,omitempty"`
	// ReadAge is the time since the sender last read the store.
	ReadAge int64 `cbor:"7,keyasint"`
	// Settled is set in heartbeats. It holds the positions up to which the sender's tables, and
	// with all changes sent so far those of the receiver, have everything.
	Settled map[string]Position `cbor:"8,keyasint,omitempty"`
}

// Row is store.Row on the wire.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// FromTableUpdate converts an update of a table. It leaves ReadAge at 0.
func FromTableUpdate(table string, u watch.Update) Changes {
	c := Changes{
		Table: table, Next: FromCursor(u.Next), IsSnapshot: u.IsSnapshot,
		Era: int64(u.Position.Era), Version: u.Position.Version,
	}
	for _, r := range u.Rows {
		c.Rows = append(c.Rows, Row(r))
	}
	return c
}

// ToTableUpdate converts a received update.
func (c Changes) ToTableUpdate() watch.Update {
	u := watch.Update{
		Next: c.Next.ToCursor(), IsSnapshot: c.IsSnapshot,
		Position: store.Position{Era: store.Era(c.Era), Version: c.Version},
	}
	for _, r := range c.Rows {
		u.Rows = append(u.Rows, store.Row(r))
	}
	return u
}
