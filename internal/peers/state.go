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
	"foxcross.dev/foxcross/internal/directory"
	"foxcross.dev/foxcross/internal/site"

	"github.com/fxamacker/cbor/v2"
)

// statePath serves the settings and endpoints to other entries.
const (
	statePath = "/state"
	mostState = 64 << 20
)

// state is what one entry hands to another.
type state struct {
	Version   uint64                   `cbor:"1,keyasint"`
	Nodes     map[string]settings.Node `cbor:"2,keyasint"`
	Endpoints site.Endpoints           `cbor:"3,keyasint"`
	Listed    bool                     `cbor:"4,keyasint"`
	Lapsed    map[string]time.Duration `cbor:"5,keyasint,omitempty"` // endpoints that vanished and are still used, for how long
}

// versionField of a query is the version of the settings that the asker has.
const versionField = "version"

// StateHandler serves the directory to other entries: the endpoints, and the
// settings where they are newer than those of the asker.
func StateHandler(d *directory.Directory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		known, _ := strconv.ParseUint(r.URL.Query().Get(versionField), 10, 64) // 0 for none
		s := state{Endpoints: d.Endpoints(), Listed: d.Listed(), Lapsed: d.Lapsed()}
		if f := d.Settings(); f != nil && f.Version > known {
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

// FetchState reads the settings and endpoints of another entry into the
// directory.
func FetchState(ctx context.Context, d *directory.Directory, address string) error {
	version, _ := d.Versions()
	query := url.Values{versionField: {strconv.FormatUint(version, 10)}}
	from := url.URL{Scheme: "http", Host: address, Path: statePath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, mostState))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	var s state
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("peers: state of %s: %w", address, err)
	}
	if s.Version > 0 {
		d.TakeSettings(s.Version, settings.NewTree(s.Nodes), "peer")
	}
	if s.Listed {
		d.TakeFromPeer(s.Endpoints, s.Lapsed)
	}
	return nil
}
