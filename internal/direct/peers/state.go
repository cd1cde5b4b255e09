package peers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"

	"github.com/fxamacker/cbor/v2"
)

const (
	statePath = "/state"
	// maxState bounds what is read of another entry's state, in bytes. Chosen, not
	// measured.
	maxState = 64 << 20
)

// state is what one entry hands to another: the settings where they are newer
// than those of the asker, and the list of endpoints or its changes.
type state struct {
	Version   uint64                   `cbor:"1,keyasint,omitempty"` // of Nodes
	Nodes     map[string]settings.Node `cbor:"2,keyasint,omitempty"`
	Endpoints *driver.Endpoints        `cbor:"3,keyasint,omitempty"`
	Change    *driver.Change           `cbor:"4,keyasint,omitempty"` // since the asker's revision, in place of Endpoints
	Lapsed    map[string]time.Duration `cbor:"5,keyasint,omitempty"` // endpoints that vanished and are still used, for how much longer
}

// Fields of a query: what the asker has.
const (
	versionField  = "version"
	revisionField = "revision"
)

// StateHandler serves the directory to other entries. The list is read before
// the settings, so that these are never older than it.
func StateHandler(d *directory.Directory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		s := state{Lapsed: d.Lapsed()}
		known := number(query.Get(revisionField))
		if c, ok := d.Since(known); ok && known > 0 {
			s.Change = &c
		} else if d.Listed() {
			list := d.Endpoints()
			s.Endpoints = &list
		}
		if f := d.Settings(); f != nil && f.Version > number(query.Get(versionField)) {
			s.Version = f.Version
			s.Nodes = f.Tree.Nodes()
		}
		data, err := cbor.Marshal(s)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // the other entry may be gone
	})
	return mux
}

// number reads a number of a query. Without one, or with one that can't be read,
// the asker gets everything.
func number(text string) uint64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		log.With("reason", err.Error()).Limited("query", "A query for the state can't be read; all of it is sent.")
		return 0
	}
	return n
}

// FetchState reads the settings and endpoints of another entry into the
// directory.
func FetchState(ctx context.Context, d *directory.Directory, address string) error {
	version, revision := d.Versions()
	query := url.Values{
		versionField:  {strconv.FormatUint(version, 10)},
		revisionField: {strconv.FormatUint(revision, 10)},
	}
	from := url.URL{Scheme: "http", Host: address, Path: statePath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("peers: state of %s: %w", address, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("peers: state of %s: %w", address, err)
	}
	defer func() { _ = answer.Body.Close() }()
	began := time.Now()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxState))
	if err != nil {
		return fmt.Errorf("peers: state of %s: %d bytes in %v: %w", address, len(data), time.Since(began).Round(time.Millisecond), err)
	}
	var s state
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("peers: state of %s: %w", address, err)
	}
	if s.Version > 0 {
		d.TakeSettings(s.Version, settings.NewTree(s.Nodes), "peer")
	}
	switch {
	case s.Endpoints != nil:
		d.TakeFromPeer(*s.Endpoints, s.Lapsed)
	case s.Change != nil:
		d.ApplyFromPeer(*s.Change, s.Lapsed)
	}
	return nil
}
