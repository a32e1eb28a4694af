// Package repo keeps the settings tree in the platform's table service.
//
// The row "head" names the newest version and, for each file of the tree, the
// hash of its text and the version that last changed it. Texts and the history
// are rows of their own that never change. A put is one transaction on the head,
// so of two that race one sees the other and is tried again, or ends in a
// conflict when both change the same file.
//
// # Usage
//
//	r := &repo.Repo{Transact: store.Transact, Get: store.Get}
//	version, err := r.Put(ctx, repo.Change{File: "teams/ekin.ini", Text: text, Base: 41, Token: token})
//	var conflict *repo.Conflict
//	if errors.As(err, &conflict) { ... }
package repo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

// Table is the name of the table that holds the settings.
const Table = "settings"

const (
	headKey    = "head"
	textPrefix = "text/"
	pastPrefix = "history/"
	retryPause = 200 * time.Millisecond
)

// ErrNone is returned while the platform holds no settings.
var ErrNone = eris.New("the platform holds no settings; write the first with settings init")

// Repo reads and writes the settings in the table service. The function fields
// must be set; it is safe for concurrent use.
type Repo struct {
	Transact func(context.Context, []store.Check, []store.Write) (store.Result, error)
	Get      func(ctx context.Context, table, key string) (store.Row, bool, error)
}

// Head names one version of the tree.
type Head struct {
	Version ident.Version
	Files   map[string]File
	row     int64
}

// File is one file of a version.
type File struct {
	Hash string
	// Changed is the version that last changed the file.
	Changed ident.Version
}

// Change is a new text for one file.
type Change struct {
	File string
	Text []byte
	// Base is the version that the change was made from.
	Base ident.Version
	// Operator names who made it.
	Operator string
	// Token tells this change from all others, so that a repeat finds it.
	Token string
}

// Past is one accepted change.
type Past struct {
	Version  ident.Version
	File     string
	Hash     string
	Operator string
	Token    string
	Time     time.Time
}

// Conflict says that another change of the same file was accepted since the
// base of a change.
type Conflict struct {
	Base  ident.Version
	Other Past
	// OtherText is the text that stands now.
	OtherText []byte
}

// Error names the change that came first.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s was changed by %s in version %d, after version %d from which this change was made",
		c.Other.File, c.Other.Operator, c.Other.Version, c.Base)
}

// HashOf returns the name of a text.
func HashOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Head reads the newest version.
func (r *Repo) Head(ctx context.Context) (Head, error) {
	row, found, err := r.Get(ctx, Table, headKey)
	if err != nil {
		return Head{}, err
	}
	if !found {
		return Head{}, ErrNone
	}
	return decodeHead(row)
}

// Text reads the text with a hash and checks it.
func (r *Repo) Text(ctx context.Context, hash string) ([]byte, error) {
	row, found, err := r.Get(ctx, Table, textPrefix+hash)
	if err != nil {
		return nil, err
	}
	var text []byte
	if !found || json.Unmarshal(row.Value, &text) != nil || HashOf(text) != hash {
		return nil, eris.Errorf("the settings text %s is missing or damaged", hash)
	}
	return text, nil
}

// Texts reads all files of a version; those in known, by hash, are not read
// again.
func (r *Repo) Texts(ctx context.Context, h Head, known map[string][]byte) (map[string][]byte, error) {
	files := map[string][]byte{}
	for name, f := range h.Files {
		text, ok := known[f.Hash]
		if !ok {
			var err error
			if text, err = r.Text(ctx, f.Hash); err != nil {
				return nil, err
			}
		}
		files[name] = text
	}
	return files, nil
}

// Past reads the change that made a version.
func (r *Repo) Past(ctx context.Context, v ident.Version) (Past, error) {
	row, found, err := r.Get(ctx, Table, pastKey(v))
	if err != nil {
		return Past{}, err
	}
	if !found {
		return Past{}, eris.Errorf("there is no version %d", v)
	}
	return decodePast(row.Value)
}

func pastKey(v ident.Version) string { return pastPrefix + strconv.FormatUint(uint64(v), 10) }

// Init writes the first version from a whole tree. It fails when there is one.
func (r *Repo) Init(ctx context.Context, files map[string][]byte, operator string) error {
	if _, err := config.Parse(files, 1); err != nil {
		return err
	}
	h := Head{Version: 1, Files: map[string]File{}}
	checks := []store.Check{{Table: Table, Key: headKey}}
	var writes []store.Write
	for name, text := range files {
		hash := HashOf(text)
		h.Files[name] = File{hash, 1}
		writes = append(writes, textWrite(hash, text))
	}
	first := Past{Version: 1, File: "*", Operator: operator, Time: time.Now()}
	writes = append(writes, store.Write{Table: Table, Key: headKey, Value: encodeHead(h)}, pastWrite(first))
	result, err := r.Transact(ctx, checks, writes)
	if err != nil {
		return eris.Wrap(err, "write the first settings")
	}
	if !result.Applied {
		return eris.New("the platform holds settings already")
	}
	return nil
}

// Put checks a change against the newest tree and writes it as the next
// version. When the answer of the table service is lost it asks again, finds
// its own change by the token, and returns its version. The error is of type
// config.Findings for a faulty tree and *Conflict for a lost race.
func (r *Repo) Put(ctx context.Context, c Change) (ident.Version, error) {
	for {
		version, err := r.tryPut(ctx, c)
		var unsure *unsureError
		if !errors.As(err, &unsure) {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, eris.Wrap(err, "it is unknown whether the change was accepted; put it again with the same token")
		case <-time.After(retryPause):
		}
	}
}

// unsureError asks for another attempt.
type unsureError struct{ error }

var errRaced = eris.New("another change was accepted meanwhile")

// tryPut makes one attempt.
func (r *Repo) tryPut(ctx context.Context, c Change) (ident.Version, error) {
	h, err := r.Head(ctx)
	if eris.Is(err, ErrNone) {
		return 0, err
	}
	if err != nil {
		return 0, &unsureError{err}
	}
	mine, other, err := r.since(ctx, h, c)
	switch {
	case err != nil:
		return 0, &unsureError{err}
	case mine != 0:
		return mine, nil
	case other != nil:
		return 0, other
	}
	files, err := r.Texts(ctx, h, nil)
	if err != nil {
		return 0, &unsureError{err}
	}
	files[c.File] = c.Text
	next := h.Version + 1
	if _, err := config.Parse(files, next); err != nil {
		return 0, err
	}
	result, err := r.Transact(ctx, []store.Check{{Table: Table, Key: headKey, Version: h.row}}, writesOf(h, c, next))
	if err != nil {
		return 0, &unsureError{err}
	}
	if !result.Applied {
		return 0, &unsureError{errRaced}
	}
	return next, nil
}

// since looks through the changes after the base for this very one and for
// another of the same file.
func (r *Repo) since(ctx context.Context, h Head, c Change) (mine ident.Version, other *Conflict, err error) {
	for v := h.Version; v > c.Base; v-- {
		p, err := r.Past(ctx, v)
		if err != nil {
			return 0, nil, err
		}
		if p.Token == c.Token {
			return v, nil, nil
		}
		if p.File == c.File && other == nil {
			other = &Conflict{Base: c.Base, Other: p}
			if other.OtherText, err = r.Text(ctx, p.Hash); err != nil {
				return 0, nil, err
			}
		}
	}
	return 0, other, nil
}

func writesOf(h Head, c Change, next ident.Version) []store.Write {
	hash := HashOf(c.Text)
	changed := Head{Version: next, Files: map[string]File{}}
	for name, f := range h.Files {
		changed.Files[name] = f
	}
	changed.Files[c.File] = File{hash, next}
	past := Past{Version: next, File: c.File, Hash: hash, Operator: c.Operator, Token: c.Token, Time: time.Now()}
	return []store.Write{
		{Table: Table, Key: headKey, Value: encodeHead(changed)},
		textWrite(hash, c.Text),
		pastWrite(past),
	}
}
