// Package repo stores the versions of the settings tree in the platform's table
// service.
//
// The row "head" holds the number of the newest version and, for each file of
// the tree, the hash of its text and the version that last changed it. Texts and
// history entries are separate, immutable rows. Put writes a change in one
// transaction that checks the store's version of the head row (optimistic
// concurrency control). Of two concurrent calls, one fails this check and retries;
// if both change the same file, it then fails with a conflict.
//
// # Usage
//
//	client := &store.Client{Service: service}
//	r := &repo.Repo{Transact: client.Transact, Get: client.Get}
//	change := repo.Change{File: "teams/ekin.ini", Text: text, Base: 41, Operator: name, Token: token}
//	version, err := r.Put(ctx, change)
//	var conflict *repo.ConflictError
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

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
)

// Table is the name of the table that holds the settings.
const Table = "settings"

const (
	headKey       = "head"
	textPrefix    = "text/"
	historyPrefix = "history/"
	// retryInterval is the delay between two attempts of Put.
	retryInterval = 200 * time.Millisecond
)

// ErrNoSettings is returned as long as the platform has no settings.
var ErrNoSettings = eris.New("the platform has no settings; create the first version with settings init")

// Repo reads and writes the settings in the table service. Head, Text, Texts and
// HistoryEntry need Get; Init needs Transact, and Put needs both. A Repo is safe for concurrent use.
type Repo struct {
	Transact func(context.Context, []store.Check, []store.Write) (store.Result, error)
	// Get reads one row and reports whether it exists.
	Get func(ctx context.Context, table, key string) (store.Row, bool, error)
}

// Head describes one version of the tree.
type Head struct {
	Version ident.Version
	Files   map[string]File
	// rowVersion is the store's version of the head row.
	rowVersion int64
}

// File is one file of a version.
type File struct {
	// Hash is the hash of the text, see HashOf.
	Hash string
	// ChangedIn is the version that last changed the file.
	ChangedIn ident.Version
}

// Change replaces the text of one file.
type Change struct {
	File string
	Text []byte
	// Base is the version of the tree from which the change was made. Put reports
	// a conflict with any later change of the file, but not with the first version,
	// written by Init.
	Base ident.Version
	// Operator is the name of the operator who made the change.
	Operator string
	// Token identifies the change uniquely, which makes retries idempotent.
	Token string
}

// HistoryEntry records one accepted change.
type HistoryEntry struct {
	// Version is the version that the change created.
	Version ident.Version
	// File is the file that was changed, and Hash the hash of its new text. For
	// the first version, written by Init, File is "*" and Hash and Token are empty.
	File     string
	Hash     string
	Operator string
	Token    string
	Time     time.Time
}

// ConflictError is the error of a change whose file another change has changed
// since the base version.
type ConflictError struct {
	Base ident.Version
	// Other is the newest such change.
	Other HistoryEntry
	// OtherText is the text that Other wrote, the newest one of the file.
	OtherText []byte
}

// Error describes the conflicting change.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed by %s in version %d, after version %d from which this change was made",
		c.Other.File, c.Other.Operator, c.Other.Version, c.Base)
}

// HashOf returns the SHA-256 hash of a text in hexadecimal.
func HashOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Head reads the newest version. It returns ErrNoSettings if there is none.
func (r *Repo) Head(ctx context.Context) (Head, error) {
	row, found, err := r.Get(ctx, Table, headKey)
	if err != nil {
		return Head{}, err
	}
	if !found {
		return Head{}, ErrNoSettings
	}
	return decodeHead(row)
}

// Text reads the text with the given hash and verifies it.
func (r *Repo) Text(ctx context.Context, hash string) ([]byte, error) {
	row, found, err := r.Get(ctx, Table, textPrefix+hash)
	if err != nil {
		return nil, err
	}
	var text []byte
	if !found || json.Unmarshal(row.Value, &text) != nil || HashOf(text) != hash {
		return nil, eris.Errorf("the settings text with hash %s is missing or corrupt", hash)
	}
	return text, nil
}

// Texts returns the texts of all files of a version by file name. Texts that are
// in known, by hash, are not read from the store.
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

// HistoryEntry reads the history entry of the change that created a version.
func (r *Repo) HistoryEntry(ctx context.Context, v ident.Version) (HistoryEntry, error) {
	row, found, err := r.Get(ctx, Table, historyKey(v))
	if err != nil {
		return HistoryEntry{}, err
	}
	if !found {
		return HistoryEntry{}, eris.Errorf("settings version %d does not exist", v)
	}
	return decodeHistoryEntry(row.Value)
}

func historyKey(v ident.Version) string { return historyPrefix + strconv.FormatUint(uint64(v), 10) }

// Init validates a complete tree and writes it as the first version. It fails if
// the platform already has settings.
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
	first := HistoryEntry{Version: 1, File: "*", Operator: operator, Time: time.Now()}
	writes = append(writes, store.Write{Table: Table, Key: headKey, Value: encodeHead(h)}, historyWrite(first))
	result, err := r.Transact(ctx, checks, writes)
	if err != nil {
		return eris.Wrap(err, "write the first version of the settings")
	}
	if !result.Applied {
		return eris.New("the platform already has settings")
	}
	return nil
}

// Put applies a change to the newest tree, validates the result and writes it as
// the next version. If a call to the table service fails, or another put comes
// first, Put retries until ctx is done; a change that was already written is
// recognized by its token. The error is of type config.Findings if the tree is
// invalid and *ConflictError if another change of the file came first. It is
// ErrNoSettings if Init has not been called. Any other error means that ctx was
// done and that the change may have been written.
func (r *Repo) Put(ctx context.Context, c Change) (ident.Version, error) {
	for {
		version, err := r.tryPut(ctx, c)
		var retryable *retryableError
		if !errors.As(err, &retryable) {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, eris.Wrap(err, "it is unknown whether the change was accepted; retry it with the same token")
		case <-time.After(retryInterval):
		}
	}
}

// retryableError wraps an error after which Put retries. The change may have been
// written.
type retryableError struct{ error }

var errHeadChanged = eris.New("another change was accepted at the same time")

// tryPut makes one attempt at Put.
func (r *Repo) tryPut(ctx context.Context, c Change) (ident.Version, error) {
	h, err := r.Head(ctx)
	if eris.Is(err, ErrNoSettings) {
		return 0, err
	}
	if err != nil {
		return 0, &retryableError{err}
	}
	accepted, conflict, err := r.findChanges(ctx, h, c)
	switch {
	case err != nil:
		return 0, &retryableError{err}
	case accepted != 0:
		return accepted, nil
	case conflict != nil:
		return 0, conflict
	}
	files, err := r.Texts(ctx, h, nil)
	if err != nil {
		return 0, &retryableError{err}
	}
	files[c.File] = c.Text
	next := h.Version + 1
	if _, err := config.Parse(files, next); err != nil {
		return 0, err
	}
	result, err := r.Transact(ctx, []store.Check{{Table: Table, Key: headKey, Version: h.rowVersion}}, changeWrites(h, c, next))
	if err != nil {
		return 0, &retryableError{err}
	}
	if !result.Applied {
		return 0, &retryableError{errHeadChanged}
	}
	return next, nil
}

// findChanges searches the history after the base of c. It returns the version
// that c itself created, if any, or else the newest conflicting change.
func (r *Repo) findChanges(ctx context.Context, h Head, c Change) (accepted ident.Version, conflict *ConflictError, err error) {
	for v := h.Version; v > c.Base; v-- {
		entry, err := r.HistoryEntry(ctx, v)
		if err != nil {
			return 0, nil, err
		}
		if entry.Token == c.Token {
			return v, nil, nil
		}
		if entry.File == c.File && conflict == nil {
			conflict = &ConflictError{Base: c.Base, Other: entry}
			if conflict.OtherText, err = r.Text(ctx, entry.Hash); err != nil {
				return 0, nil, err
			}
		}
	}
	return 0, conflict, nil
}

// changeWrites returns the writes that store c as the version next.
func changeWrites(h Head, c Change, next ident.Version) []store.Write {
	hash := HashOf(c.Text)
	newHead := Head{Version: next, Files: map[string]File{}}
	for name, f := range h.Files {
		newHead.Files[name] = f
	}
	newHead.Files[c.File] = File{hash, next}
	entry := HistoryEntry{Version: next, File: c.File, Hash: hash, Operator: c.Operator, Token: c.Token, Time: time.Now()}
	return []store.Write{
		{Table: Table, Key: headKey, Value: encodeHead(newHead)},
		textWrite(hash, c.Text),
		historyWrite(entry),
	}
}
