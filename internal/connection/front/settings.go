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

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

const (
	// BaseHeader names the version that a change was made from.
	BaseHeader = "X-Base-Version"
	// ChangeHeader tells the change from all others.
	ChangeHeader  = "X-Change-Token"
	maxSettings   = 4 << 20
	putTime       = 20 * time.Second
	historyLength = 50
)

// SettingsStatus is the version in force at one node; Problem is set when the
// node could not be asked.
type SettingsStatus struct {
	Node    string `json:"node"`
	Version uint64 `json:"version"`
	Since   int64  `json:"since_unix_ms"`
	Problem string `json:"problem,omitempty"`
}

// Settings is what operators can do with the settings.
type Settings struct {
	Tree    func() *config.Tree
	Get     func(file string) ([]byte, ident.Version, error)
	Put     func(context.Context, repo.Change) (ident.Version, error)
	History func(ctx context.Context, most int) ([]repo.Past, error)
	Status  func(context.Context) []SettingsStatus
}

// SettingsFile is the JSON form of one file.
type SettingsFile struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// SettingsFault is the JSON form of a refused change.
type SettingsFault struct {
	Reason   string   `json:"reason"`
	Message  string   `json:"message"`
	Findings []string `json:"findings,omitempty"`
	// Theirs is the text that stands now, and Version and Operator the change
	// that made it.
	Theirs   string `json:"theirs,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Operator string `json:"operator,omitempty"`
}

// SettingsChange is the JSON form of an accepted change.
type SettingsChange struct {
	Version  uint64 `json:"version"`
	File     string `json:"file"`
	Operator string `json:"operator"`
	Time     string `json:"time"`
}

func (s *Settings) routes(r chi.Router) {
	r.Get("/v1/settings/status", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Status(r.Context())) })
	r.Get("/v1/settings/history", s.history)
	r.Get("/v1/settings/files/*", s.authorized(s.get))
	r.Put("/v1/settings/files/*", s.authorized(s.put))
}

type operatorHandler func(http.ResponseWriter, *http.Request, *config.Operator, string)

// authorized lets an operator reach its own subtree alone.
func (s *Settings) authorized(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		operator := s.Tree().OperatorByKey(sha256.Sum256([]byte(key)))
		file := chi.URLParam(r, "*")
		_, _, err := s.Get(file)
		switch {
		case operator == nil:
			writeFault(w, http.StatusUnauthorized, SettingsFault{Reason: "unknown_operator", Message: "the header Authorization needs \"Bearer\" and the key of an operator"})
		case !operator.MayWrite(file, err == nil):
			writeFault(w, http.StatusForbidden, SettingsFault{Reason: "outside_subtree", Message: "operator " + operator.Name + " cannot reach " + file})
		default:
			next(w, r, operator, file)
		}
	}
}

func (s *Settings) get(w http.ResponseWriter, _ *http.Request, _ *config.Operator, file string) {
	text, version, err := s.Get(file)
	if err != nil {
		writeFault(w, http.StatusNotFound, SettingsFault{Reason: "not_found", Message: err.Error()})
		return
	}
	writeJSON(w, SettingsFile{file, uint64(version), string(text)})
}

func (s *Settings) put(w http.ResponseWriter, r *http.Request, operator *config.Operator, file string) {
	base, err := strconv.ParseUint(r.Header.Get(BaseHeader), 10, 64)
	change := r.Header.Get(ChangeHeader)
	if err != nil || change == "" {
		writeFault(w, http.StatusBadRequest, SettingsFault{Reason: "bad_request", Message: BaseHeader + " and " + ChangeHeader + " are needed"})
		return
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxSettings+1))
	if err != nil || len(text) > maxSettings {
		writeFault(w, http.StatusRequestEntityTooLarge, SettingsFault{Reason: "body_too_large", Message: "the file is longer than 4 MiB"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTime)
	defer cancel()
	version, err := s.Put(ctx, repo.Change{File: file, Text: text, Base: ident.Version(base), Operator: operator.Name, Token: change})
	if err != nil {
		refuseChange(w, err)
		return
	}
	writeJSON(w, SettingsFile{File: file, Version: uint64(version)})
}

func refuseChange(w http.ResponseWriter, err error) {
	var findings config.Findings
	var conflict *repo.Conflict
	switch {
	case errors.As(err, &findings):
		fault := SettingsFault{Reason: "findings", Message: "the tree would be at fault"}
		for _, f := range findings {
			fault.Findings = append(fault.Findings, f.String())
		}
		writeFault(w, http.StatusUnprocessableEntity, fault)
	case errors.As(err, &conflict):
		writeFault(w, http.StatusConflict, SettingsFault{
			Reason: "conflict", Message: conflict.Error(), Theirs: string(conflict.OtherText),
			Version: uint64(conflict.Other.Version), Operator: conflict.Other.Operator,
		})
	default:
		writeFault(w, http.StatusServiceUnavailable, SettingsFault{Reason: "store_unavailable", Message: err.Error()})
	}
}

func (s *Settings) history(w http.ResponseWriter, r *http.Request) {
	all, err := s.History(r.Context(), historyLength)
	if err != nil {
		writeFault(w, http.StatusServiceUnavailable, SettingsFault{Reason: "store_unavailable", Message: err.Error()})
		return
	}
	list := make([]SettingsChange, len(all))
	for i, p := range all {
		list[i] = SettingsChange{uint64(p.Version), p.File, p.Operator, p.Time.UTC().Format(timeForm)}
	}
	writeJSON(w, list)
}

func writeFault(w http.ResponseWriter, status int, fault SettingsFault) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(fault) //nolint:errcheck // the operator may be gone.
}
