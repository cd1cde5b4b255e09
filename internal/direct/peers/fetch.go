package peers

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/transfer"
)

const (
	// maxStateBytes bounds the size of another peer's state, in bytes, compressed and plain. The
	// store's largest value, a megabyte, becomes some 3 MB.
	maxStateBytes = 64 << 20
	// settingsTimeout bounds the time to the first byte of a settings response. Encoding 10,000
	// routes takes 0.4 s on a tenth of a core, and the result is cached for the next client.
	settingsTimeout = time.Second
	// endpointsTimeout is the same for endpoints. They need no such encoding and must arrive
	// within 2 s, even if the first peer that is asked has just frozen.
	endpointsTimeout = 500 * time.Millisecond
	// stallTimeout bounds the time between two bytes of a response.
	stallTimeout = time.Second
)

// errBusy means that a peer already sends to as many others as it may.
var errBusy = errors.New("peers: peer is busy, it sends to others")

// FetchState reads a part of the state of another peer into the directory. It requests settings
// as changes to the active version, and reads them whole if the changes do not apply.
func FetchState(ctx context.Context, d *directory.Directory, address string, p Part) error {
	version, revision := d.Versions()
	err := fetch(ctx, d, address, p, version, revision)
	if errors.Is(err, directory.ErrDigestMismatch) || errors.Is(err, directory.ErrBaseMismatch) {
		log.With("peer", address).With("reason", err.Error()).Warnf("Settings changes don't apply; fetching the whole settings.")
		err = fetch(ctx, d, address, p, 0, revision)
	}
	if err != nil {
		return fmt.Errorf("peers: %v of %s: %w", p, address, err)
	}
	return nil
}

// fetch requests a part, starting at a version and revision, and applies the response.
func fetch(ctx context.Context, d *directory.Directory, address string, p Part, version, revision uint64) error {
	f := transfer.Begin(ctx, p.firstByteTimeout(), stallTimeout)
	defer f.End()
	response, err := sendRequest(f, address, p, version, revision, d.Versioned())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return errBusy
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
	data, err := readResponse(f, d, response, p)
	if err != nil {
		return err
	}
	s, err := decode(data)
	if err != nil {
		return err
	}
	return applyState(d, s)
}

// firstByteTimeout bounds the time to the first byte of a response.
func (p Part) firstByteTimeout() time.Duration {
	if p == EndpointsPart {
		return endpointsTimeout
	}
	return settingsTimeout
}

// sendRequest requests a part of the state of a peer. versioned is whether this process has the versions
// of all endpoints.
func sendRequest(f *transfer.Transfer, address string, p Part, version, revision uint64, versioned bool) (*http.Response, error) {
	query := url.Values{
		versionField:  {strconv.FormatUint(version, 10)},
		revisionField: {strconv.FormatUint(revision, 10)},
		partField:     {p.String()},
	}
	if p == EndpointsPart && !versioned {
		query.Set(unversionedField, "1")
	}
	from := url.URL{Scheme: "http", Host: address, Path: statePath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(f.Context(), http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept-Encoding", gzipEncoding)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, f.Cause(err)
	}
	return response, nil
}

// readResponse reads the whole response and reports the outstanding bytes of settings to the
// directory.
func readResponse(f *transfer.Transfer, d *directory.Directory, response *http.Response, p Part) ([]byte, error) {
	size := response.ContentLength
	outstanding := func(bytes int64) {
		if p == SettingsPart {
			d.SetOutstandingBytes(max(bytes, 0))
		}
	}
	outstanding(size)
	defer outstanding(0)
	body := &countingReader{reader: response.Body}
	data, err := f.ReadAll(body, maxStateBytes, func() { outstanding(size - body.bytes) })
	if err != nil {
		return nil, fmt.Errorf("of %d bytes %w", size, err)
	}
	return gunzip(response, data)
}

// gunzip returns the uncompressed body of a response.
func gunzip(response *http.Response, data []byte) ([]byte, error) {
	if response.Header.Get("Content-Encoding") != gzipEncoding {
		return data, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxStateBytes))
}

// countingReader counts the bytes read.
type countingReader struct {
	reader io.Reader
	bytes  int64
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.reader.Read(b)
	c.bytes += int64(n)
	return n, err
}

// applyState applies another peer's state to the directory. Peers of older versions send both
// parts whole.
func applyState(d *directory.Directory, s state) error {
	switch {
	case s.Version > 0 && s.Base > 0:
		if err := d.ApplySettingsChanges(s.Base, s.Version, s.changes(), s.Digest, "peer"); err != nil {
			return err
		}
	case s.Version > 0:
		d.ApplySettings(s.Version, settings.NewTree(s.Nodes), "peer")
	}
	if s.ActiveVersion > 0 {
		d.ConfirmRevision(s.ActiveVersion, s.Revision)
	}
	switch {
	case s.Endpoints != nil:
		d.ReplaceEndpointsFromPeer(*s.Endpoints, s.Retained)
	case s.Change != nil:
		d.ApplyFromPeer(*s.Change, s.Retained)
	}
	return nil
}
