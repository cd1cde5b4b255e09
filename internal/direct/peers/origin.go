// Questions to other peers about the origin of a stream that a caller resumes here.
//
// Rule: askedPeers live peers are asked in parallel, those of the local data centre before others, and
// the first origin received is used. One that has just started, or runs an older version, knows
// nothing.
// Inputs: the members, the time.
// Units: peers, times.
// Never: a peer that is asked asks others.

package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/transfer"

	"github.com/fxamacker/cbor/v2"
)

// OriginPath is the path at which a peer serves the origins of streams.
const OriginPath = "/origin"

// streamField is the query parameter with the key of the stream.
const streamField = "stream"

const (
	// askedPeers is the number of peers that are asked about a stream.
	askedPeers = 3
	// originTimeout bounds the time until a peer has answered, over a new connection.
	originTimeout = 300 * time.Millisecond
	// maxOriginBytes bounds the size of an answer.
	maxOriginBytes = 4096
)

// errUnknownOrigin means that a peer does not know the origin of a stream.
var errUnknownOrigin = errors.New("peers: the origin of the stream is not known")

// Origin is the endpoint that began a stream.
type Origin struct {
	Endpoint string `cbor:"1,keyasint"` // incarnation
	Service  string `cbor:"2,keyasint"`
	Version  string `cbor:"3,keyasint,omitempty"` // of its software
	AgeMS    int64  `cbor:"4,keyasint,omitempty"` // since the stream began
}

// OriginHandler serves the origins of streams to other peers.
func OriginHandler(origin func(stream uint64) (Origin, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o, known := origin(parseNumber(r.URL.Query().Get(streamField)))
		if !known {
			http.NotFound(w, r)
			return
		}
		data, err := cbor.Marshal(o)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // the peer may be gone
	})
}

// OriginAnswers is what other peers have answered about the origin of a stream.
type OriginAnswers struct {
	Origin Origin
	Known  bool // to one of them
	Count  int  // of the peers that answered
	Peers  bool // there are other peers, also lost ones
}

// Answers returns the number of peers that answered, 0 for nil.
func (a *OriginAnswers) Answers() int {
	if a == nil {
		return 0
	}
	return a.Count
}

// Silent reports whether there are peers, and none has answered.
func (a *OriginAnswers) Silent() bool { return a != nil && a.Peers && a.Count == 0 }

// FindOrigin asks other peers about the origin of a stream.
func (g *Group) FindOrigin(ctx context.Context, stream uint64) OriginAnswers {
	ctx, cancel := steady.WithTimeout(ctx, originTimeout)
	defer cancel()
	peers, known := g.peersToAsk(steady.Now())
	answers := make(chan Origin, len(peers))
	failures := make(chan error, len(peers))
	for _, address := range peers {
		go func() {
			o, err := fetchOrigin(ctx, address, stream)
			if err != nil {
				failures <- err
				return
			}
			answers <- o
		}()
	}
	count := 0
	for range peers {
		select {
		case o := <-answers:
			return OriginAnswers{Origin: o, Known: true, Count: count + 1, Peers: known}
		case err := <-failures:
			if errors.Is(err, errUnknownOrigin) {
				count++
				continue
			}
			log.With("reason", err.Error()).WarnLimited("origin", "A peer did not answer a question about a stream.")
		}
	}
	return OriginAnswers{Count: count, Peers: known}
}

// peersToAsk returns the addresses of the peers to ask, and whether there are others, also lost ones.
func (g *Group) peersToAsk(now time.Time) (addresses []string, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var local, remote []string
	for address, m := range g.members {
		switch {
		case !m.alive(now):
		case m.remote:
			remote = append(remote, address)
		default:
			local = append(local, address)
		}
	}
	rand.Shuffle(len(local), func(a, b int) { local[a], local[b] = local[b], local[a] })
	rand.Shuffle(len(remote), func(a, b int) { remote[a], remote[b] = remote[b], remote[a] })
	all := append(local, remote...)
	return all[:min(len(all), askedPeers)], len(g.members) > 0
}

// fetchOrigin asks one peer.
func fetchOrigin(ctx context.Context, address string, stream uint64) (Origin, error) {
	f := transfer.Begin(ctx, originTimeout, originTimeout)
	defer f.End()
	from := url.URL{
		Scheme: "http", Host: address, Path: OriginPath,
		RawQuery: url.Values{streamField: {strconv.FormatUint(stream, 10)}}.Encode(),
	}
	request, err := http.NewRequestWithContext(f.Context(), http.MethodGet, from.String(), http.NoBody)
	if err != nil {
		return Origin{}, fmt.Errorf("peers: origin at %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Origin{}, fmt.Errorf("peers: origin at %s: %w", address, f.Cause(err))
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Origin{}, errUnknownOrigin
	default:
		return Origin{}, fmt.Errorf("peers: origin at %s: status %d", address, response.StatusCode)
	}
	data, err := f.ReadAll(response.Body, maxOriginBytes, nil)
	if err != nil {
		return Origin{}, fmt.Errorf("peers: origin at %s: %w", address, err)
	}
	var o Origin
	if err := cbor.Unmarshal(data, &o); err != nil {
		return Origin{}, fmt.Errorf("peers: origin at %s: %w", address, err)
	}
	return o, nil
}
