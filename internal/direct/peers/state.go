package peers

import (
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"

	"github.com/fxamacker/cbor/v2"
)

// statePath is the path at which a peer serves its state to others.
const statePath = "/state"

// state is a peer's response to another: the settings if they are newer than the client's, and
// the list of endpoints or the changes to it.
type state struct {
	Version   uint64                   `cbor:"1,keyasint,omitempty"` // of Nodes
	Nodes     map[string]settings.Node `cbor:"2,keyasint,omitempty"`
	Endpoints *driver.Endpoints        `cbor:"3,keyasint,omitempty"`
	Change    *driver.Change           `cbor:"4,keyasint,omitempty"` // since the client's revision, instead of Endpoints
	Retained  map[string]time.Duration `cbor:"5,keyasint,omitempty"` // remaining time of retained endpoints, by ID

	// These are in responses to requests for one part. Older versions neither send such requests
	// nor these fields.
	Base          uint64   `cbor:"6,keyasint,omitempty"`  // version that Nodes and Removed change, 0 if Nodes are complete
	Removed       []string `cbor:"7,keyasint,omitempty"`  // paths of nodes of Base that no longer exist
	Digest        uint64   `cbor:"8,keyasint,omitempty"`  // of the tree of Version
	ActiveVersion uint64   `cbor:"9,keyasint,omitempty"`  // active at the sender
	Revision      uint64   `cbor:"10,keyasint,omitempty"` // of the store, at which ActiveVersion was the newest
}

// Query parameters: the client's versions, and the part that it requests.
const (
	versionField  = "version"
	revisionField = "revision"
	partField     = "part" // none for both parts, as older versions request them
	// unversionedField is set by a client that lacks the versions of some endpoints.
	unversionedField = "unversioned"
)

// maxTransfers is how many settings responses a peer sends at the same time. More would share
// the link so that none arrives early. A client that is refused asks another peer, which may
// have the settings by then, so that settings spread as a tree.
const maxTransfers = 4

// StateHandler serves the directory to other peers.
func StateHandler(d *directory.Directory) http.Handler {
	h := &stateHandler{directory: d, transfers: make(chan struct{}, maxTransfers)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, h.serve)
	return mux
}

// stateHandler serves requests of other peers.
type stateHandler struct {
	directory *directory.Directory
	encodings encodingCache
	transfers chan struct{} // one value for each settings response in progress
}

func (h *stateHandler) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, revision := parseNumber(query.Get(versionField)), parseNumber(query.Get(revisionField))
	switch query.Get(partField) {
	case EndpointsPart.String():
		if query.Has(unversionedField) && h.directory.Versioned() {
			revision = 0
		}
		s := h.endpointsState(revision)
		s.ActiveVersion, s.Revision = h.directory.ConfirmedRevision()
		h.writeState(w, r, s)
	case SettingsPart.String():
		h.serveSettings(w, r, version)
	default:
		h.serveAll(w, r, version, revision)
	}
}

// endpointsState returns a state with the list of endpoints, or with the changes since a
// revision.
func (h *stateHandler) endpointsState(since uint64) state {
	d := h.directory
	s := state{Retained: d.Retained()}
	if c, ok := d.EndpointChangesSince(since); ok && since > 0 {
		s.Change = &c
	} else if d.HasEndpoints() {
		list := d.Endpoints()
		s.Endpoints = &list
	}
	return s
}

// serveSettings sends the settings, or the changes since a version. Clients that wait until these are
// encoded, and may have given up, hold no transfer.
func (h *stateHandler) serveSettings(w http.ResponseWriter, r *http.Request, since uint64) {
	body, err := h.encodings.settings(h.directory, since)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	select {
	case h.transfers <- struct{}{}:
		defer func() { <-h.transfers }()
	default:
		http.Error(w, "too many transfers", http.StatusServiceUnavailable)
		return
	}
	body.writeTo(w, r)
}

// serveAll sends both parts in the form that peers of older versions read. They ask the store
// for changes of both parts after the revision of the list. The list therefore names at most the
// revision at which the settings were known to be the newest.
func (h *stateHandler) serveAll(w http.ResponseWriter, r *http.Request, version, revision uint64) {
	s := h.endpointsState(revision)
	_, confirmed := h.directory.ConfirmedRevision()
	switch {
	case s.Endpoints != nil:
		s.Endpoints.Revision = min(s.Endpoints.Revision, confirmed)
	case s.Change != nil:
		s.Change.Revision = min(s.Change.Revision, confirmed)
	}
	if f := h.directory.Settings(); f != nil && f.Version > version {
		s.Version = f.Version
		s.Nodes = f.Tree.Nodes()
	}
	h.writeState(w, r, s)
}

func (h *stateHandler) writeState(w http.ResponseWriter, r *http.Request, s state) {
	body, err := encode(s)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body.writeTo(w, r)
}

// settingsState returns the settings that a client with a version lacks.
func settingsState(d *directory.Directory, since uint64) state {
	active, confirmed := d.ConfirmedRevision()
	now, changes, ok := d.SettingsSince(since)
	s := state{ActiveVersion: active, Revision: confirmed}
	if now.Version <= since {
		return s
	}
	s.Version = now.Version
	s.Digest = now.Digest
	if !ok {
		s.Nodes = now.Tree.Nodes()
		return s
	}
	s.Base = since
	s.Nodes = map[string]settings.Node{}
	for _, c := range changes {
		if c.After == nil {
			s.Removed = append(s.Removed, c.Path)
		} else {
			s.Nodes[c.Path] = *c.After
		}
	}
	return s
}

// changes returns the state's settings as changes to Base.
func (s state) changes() []settings.Difference {
	all := make([]settings.Difference, 0, len(s.Nodes)+len(s.Removed))
	for p, n := range s.Nodes {
		all = append(all, settings.Difference{Path: p, After: &n})
	}
	for _, p := range s.Removed {
		all = append(all, settings.Difference{Path: p})
	}
	return all
}

// parseNumber parses a number of a query. A missing or invalid number counts as 0, for which the
// client receives everything.
func parseNumber(text string) uint64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		log.With("reason", err.Error()).WarnLimited("query", "Invalid number in a state query; sending the whole state.")
		return 0
	}
	return n
}

// decode decodes a state.
func decode(data []byte) (state, error) {
	var s state
	err := cbor.Unmarshal(data, &s)
	return s, err
}
