// Package admin serves operators: the settings tree, the state dump and the metrics. It
// uses a separate address and a separate key.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"

	"github.com/alexedwards/flow"
)

// Paths of the operators' API.
const (
	TreePath     = "/v1/tree"
	NodePath     = "/v1/node"
	HistoryPath  = "/v1/history"
	DiffPath     = "/v1/diff"
	RollbackPath = "/v1/rollback"
	StatePath    = "/v1/state"
	MetricsPath  = "/metrics"
	ReleasePath  = "/v1/contents/:content/release"
)

// Options configures the handler for operators.
type Options struct {
	KeyHash        string // hash of the operators' bearer key
	Dump           func() any
	Metrics        http.Handler
	Tree           *Tree        // nil if the process holds no settings tree
	ReleaseContent http.Handler // releases a quarantined content; nil if the process quarantines none
}

// Handler returns the HTTP routes for operators.
func Handler(o Options) http.Handler {
	mux := flow.New()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}, http.MethodGet)
	mux.Group(func(m *flow.Mux) {
		m.Use(func(next http.Handler) http.Handler { return requireKey(o.KeyHash, next) })
		m.HandleFunc(StatePath, func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, o.Dump()) }, http.MethodGet)
		m.Handle(MetricsPath, o.Metrics, http.MethodGet)
		if o.Tree != nil {
			o.Tree.routes(m)
		}
		if o.ReleaseContent != nil {
			m.Handle(ReleasePath, o.ReleaseContent, http.MethodPost)
		}
	})
	return mux
}

// requireKey refuses requests without the operators' key.
func requireKey(hash string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(settings.HashKey(key)), []byte(hash)) != 1 {
			writeError(w, result.Errorf(result.UnknownTeam, "not the operators' key"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Code    result.Code `json:"code"`
	Type    string      `json:"type"`
	Message string      `json:"message"`
	Run     string      `json:"run"` // whether the change was made
}

func writeError(w http.ResponseWriter, err error) {
	var e *result.Error
	if !errors.As(err, &e) {
		e = result.Errorf(result.StoreUnavailable, "%v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Code.Entry().Status)
	f := ErrorResponse{Code: e.Code, Type: e.Code.Entry().Name, Message: e.Reason, Run: e.Run.String()}
	_ = json.NewEncoder(w).Encode(f) // the operator may have disconnected
}

// WriteJSON writes a value as an indented JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // the operator may have disconnected
}
