package front

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

const (
	// BaseVersionHeader holds the settings version that a change is based on.
	BaseVersionHeader = "X-Base-Version"
	// ChangeTokenHeader holds a token that is unique to the change. A repeated put with
	// the same token is applied only once.
	ChangeTokenHeader = "X-Change-Token"
	maxSettingsBytes  = 4 << 20
	putTimeout        = 20 * time.Second
	maxHistory        = 50 // changes that are listed
)

// SettingsStatus is the settings version in force at one node. Problem is set
// if the node could not be queried.
type SettingsStatus struct {
	Node           string `json:"node"`
	Version        uint64 `json:"version"`
	SinceUnixMilli int64  `json:"since_unix_ms"`
	Problem        string `json:"problem,omitempty"`
}

// SettingsAPI lets operators read and change the settings.
type SettingsAPI struct {
	Tree func() *config.Tree
	// Get returns a file of the version in force.
	Get func(file string) ([]byte, ident.Version, error)
	// Put writes a change as the next version and returns that version.
	Put func(context.Context, repo.Change) (ident.Version, error)
	// History returns at most limit changes, newest first.
	History func(ctx context.Context, limit int) ([]repo.HistoryEntry, error)
	// Status returns the version in force at every member.
	Status func(context.Context) []SettingsStatus
}

// SettingsFile is the JSON form of one settings file.
type SettingsFile struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// SettingsError is the JSON form of an error of the settings API.
type SettingsError struct {
	Reason   string   `json:"reason"`
	Message  string   `json:"message"`
	Findings []string `json:"findings,omitempty"`
	// CurrentText is the current text after a conflicting change; Version and
	// Operator identify that change.
	CurrentText string `json:"theirs,omitempty"`
	Version     uint64 `json:"version,omitempty"`
	Operator    string `json:"operator,omitempty"`
}

// SettingsChange is the JSON form of an accepted change.
type SettingsChange struct {
	Version  uint64 `json:"version"`
	File     string `json:"file"`
	Operator string `json:"operator"`
	Time     string `json:"time"`
}

func (s *SettingsAPI) routes(r chi.Router) {
	r.Get("/v1/settings/status", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Status(r.Context())) })
	r.Get("/v1/settings/history", s.handleHistory)
	r.Get("/v1/settings/files/*", s.authorized(s.handleGet))
	r.Put("/v1/settings/files/*", s.authorized(s.handlePut))
}

type operatorHandler func(http.ResponseWriter, *http.Request, *config.Operator, string)

// authorized restricts an operator to the files of its own subtree.
func (s *SettingsAPI) authorized(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		operator := s.Tree().OperatorByKeyHash(sha256.Sum256([]byte(key)))
		file := chi.URLParam(r, "*")
		_, _, err := s.Get(file)
		switch {
		case operator == nil:
			writeSettingsError(w, http.StatusUnauthorized, SettingsError{Reason: "unknown_operator", Message: "the header Authorization needs \"Bearer\" and the key of an operator"})
		case !operator.CanWrite(file, err == nil):
			writeSettingsError(w, http.StatusForbidden, SettingsError{Reason: "outside_subtree", Message: "operator " + operator.Name + " cannot reach " + file})
		default:
			next(w, r, operator, file)
		}
	}
}

func (s *SettingsAPI) handleGet(w http.ResponseWriter, _ *http.Request, _ *config.Operator, file string) {
	text, version, err := s.Get(file)
	if err != nil {
		writeSettingsError(w, http.StatusNotFound, SettingsError{Reason: "not_found", Message: err.Error()})
		return
	}
	writeJSON(w, SettingsFile{file, uint64(version), string(text)})
}

func (s *SettingsAPI) handlePut(w http.ResponseWriter, r *http.Request, operator *config.Operator, file string) {
	base, err := strconv.ParseUint(r.Header.Get(BaseVersionHeader), 10, 64)
	token := r.Header.Get(ChangeTokenHeader)
	if err != nil || token == "" {
		writeSettingsError(w, http.StatusBadRequest, SettingsError{Reason: "bad_request", Message: BaseVersionHeader + " and " + ChangeTokenHeader + " are needed"})
		return
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxSettingsBytes+1))
	if err != nil || len(text) > maxSettingsBytes {
		writeSettingsError(w, http.StatusRequestEntityTooLarge, SettingsError{Reason: "body_too_large", Message: "the file is longer than 4 MiB"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTimeout)
	defer cancel()
	version, err := s.Put(ctx, repo.Change{File: file, Text: text, Base: ident.Version(base), Operator: operator.Name, Token: token})
	if err != nil {
		writeChangeError(w, err)
		return
	}
	writeJSON(w, SettingsFile{File: file, Version: uint64(version)})
}

func writeChangeError(w http.ResponseWriter, err error) {
	var findings config.Findings
	var conflict *repo.ConflictError
	switch {
	case errors.As(err, &findings):
		body := SettingsError{Reason: "findings", Message: "the tree would be at fault"}
		for _, f := range findings {
			body.Findings = append(body.Findings, f.String())
		}
		writeSettingsError(w, http.StatusUnprocessableEntity, body)
	case errors.As(err, &conflict):
		writeSettingsError(w, http.StatusConflict, SettingsError{
			Reason: "conflict", Message: conflict.Error(), CurrentText: string(conflict.OtherText),
			Version: uint64(conflict.Other.Version), Operator: conflict.Other.Operator,
		})
	default:
		writeSettingsError(w, http.StatusServiceUnavailable, SettingsError{Reason: "store_unavailable", Message: err.Error()})
	}
}

func (s *SettingsAPI) handleHistory(w http.ResponseWriter, r *http.Request) {
	all, err := s.History(r.Context(), maxHistory)
	if err != nil {
		writeSettingsError(w, http.StatusServiceUnavailable, SettingsError{Reason: "store_unavailable", Message: err.Error()})
		return
	}
	list := make([]SettingsChange, len(all))
	for i, h := range all {
		list[i] = SettingsChange{uint64(h.Version), h.File, h.Operator, h.Time.UTC().Format(timeFormat)}
	}
	writeJSON(w, list)
}

func writeSettingsError(w http.ResponseWriter, status int, body SettingsError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the operator may be gone.
}
