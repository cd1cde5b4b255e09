package entry

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/limit"
	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/alexedwards/flow"
)

// Request header fields that callers may set, and their limits.
const (
	classField          = "X-Foxcross-Class"
	idempotencyKeyField = "Idempotency-Key"
	maxKeyBytes         = 256 // of an idempotency key
)

// MaxHeader is the largest request header accepted from callers, in bytes.
const MaxHeader = 64 << 10

// Handler returns the HTTP routes for callers and the load balancer.
func (e *Entry) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/v1/chat/completions", withFailure(e.serveChat), http.MethodPost)
	mux.HandleFunc("/services/:service/...", withFailure(e.serveService))
	mux.HandleFunc("/health", e.serveHealth, http.MethodGet)
	mux.HandleFunc("/ready", e.serveReady, http.MethodGet)
	mux.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeFailure(w, result.Errorf(result.NotFound, ""))
	})
	return mux
}

// withFailure returns a handler that writes the error returned by serve. If serve has
// written any of the response, it must return nil.
func withFailure(serve func(w http.ResponseWriter, r *http.Request) *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if failure := serve(w, r); failure != nil {
			writeFailure(w, failure)
		}
	}
}

// caller is the authenticated team of a request, and the settings that were active when the
// request arrived.
type caller struct {
	team     settings.TeamInfo
	snapshot settings.Snapshot
}

// authenticate returns the team whose bearer key the request holds.
func (e *Entry) authenticate(r *http.Request) (caller, *result.Error) {
	s := e.options.Settings.State()
	if s.Root.Version == 0 {
		return caller{}, result.Errorf(result.NotReady, "no settings yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, result.Errorf(result.UnknownTeam, "no bearer key")
	}
	t, ok := s.Snapshot.Team(key)
	if !ok {
		return caller{}, result.Errorf(result.UnknownTeam, "")
	}
	return caller{team: t, snapshot: s.Snapshot}, nil
}

// headerClass returns the class that the request header names, false if it names none.
func (c caller) headerClass(r *http.Request) (settings.ClassInfo, bool, *result.Error) {
	name := r.Header.Get(classField)
	if name == "" {
		return settings.ClassInfo{}, false, nil
	}
	k, ok := c.snapshot.Class(name)
	if !ok {
		return k, false, result.Errorf(result.UnknownClass, "%q", name)
	}
	return k, true, nil
}

// checkClass checks that the team may use the class.
func (c caller) checkClass(k settings.ClassInfo) *result.Error {
	if c.team.MayUse(k.Name) {
		return nil
	}
	return result.Errorf(result.UnknownClass, "team %s may not use class %q", c.team.Name, k.Name)
}

// terms returns the class's terms with the team's name and weight.
func (c caller) terms(k settings.ClassInfo) message.Terms {
	t := k.Terms
	t.Team = c.team.Name
	t.Weight = c.team.Weight
	return t
}

func (c caller) allowance() limit.Allowance {
	return limit.Allowance{Rate: c.team.Rate, Concurrency: c.team.Concurrency}
}

// readBody reads a request body of at most MaxBody bytes.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.options.MaxBody)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.Errorf(result.BodyTooLarge, "at most %d bytes", e.options.MaxBody)
	}
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "body: %v", err)
	}
	return body, nil
}

// claimKey claims the idempotency key of a request that must not be repeated.
func (e *Entry) claimKey(r *http.Request, c caller, k settings.ClassInfo) (release func(), failure *result.Error) {
	key := r.Header.Get(idempotencyKeyField)
	if key == "" || k.Terms.Repeatable {
		return func() {}, nil
	}
	if len(key) > maxKeyBytes || e.options.Claims == nil {
		return nil, result.Errorf(result.BadKey, "at most %d bytes", maxKeyBytes)
	}
	ctx, cancel := steady.WithTimeout(r.Context(), k.GiveUp)
	defer cancel()
	release, err := e.options.Claims.Claim(ctx, c.team.Name+"/"+k.Name+"/"+key)
	if err == nil {
		return release, nil
	}
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return nil, resultErr
	}
	return nil, result.Errorf(result.ClaimUnavailable, "%v", err)
}

// submit claims the request's idempotency key, if any, and passes the request to the core.
// The returned function must be called when the response is written.
func (e *Entry) submit(r *http.Request, c caller, k settings.ClassInfo, q binding.Request, s message.Start) (*call, func(), *result.Error) {
	release, failure := e.claimKey(r, c, k)
	if failure != nil {
		return nil, nil, failure
	}
	a, failure := e.accept(q, s, c.allowance())
	if failure != nil {
		release()
		return nil, nil, failure
	}
	return a, func() {
		a.close()
		e.release(a)
		if a.notRun() {
			release()
		}
	}, nil
}
