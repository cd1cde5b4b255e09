// Decides where the streams go on that callers resume after a broken connection.
//
// Rule: coord/resumption decides at which version of its engine's software a stream goes on. Each
// entry knows where the streams of all entries began, from their events; for a stream that it does
// not know it asks other entries. Such a request passes admission, as a resumption within an answer
// does, if its origin is recorded. It is sent to endpoints of that version only, and refused as not
// run if there is none. If those of its version can't take it for now (they are full, at a rate limit or
// in backoff), it waits for them for maxResumptionWait: there are no others. It does so too where the list
// of endpoints has none of that version and was not the newest since the request arrived.
// Inputs: the header of the request, events of other entries, the list of endpoints.
// Never: a stream is resumed at a version that may not have begun it; the refusal of a stream that
// can't be resumed at any entry has a Retry-After.

package gateway

import (
	"fmt"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/coord/resumption"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/direct/record"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"
)

// attemptLifeSlack is the time after the end of an attempt in which its caller resumes the stream.
const attemptLifeSlack = 5 * time.Second

const (
	// maxResumptionWait is the longest time for which the resumption of a stream, or a run that is
	// continued from its copy, waits for an engine. Callers give a stream up after a gap of 2 s.
	maxResumptionWait = time.Second
	// maxListWait is the longest time for which a resumption waits for the list of endpoints. Two
	// watches of the store and a heartbeat of another entry take less.
	maxListWait = 1800 * time.Millisecond
	// maxPeerWait is the same for an answer of another entry. It leaves the caller half of the time before it
	// gives the stream up, to resume it at another entry.
	maxPeerWait = time.Second
	// peerRetryInterval is the time between two questions to peers of which none has answered.
	peerRetryInterval = 250 * time.Millisecond
	// outOfTouchRetryAfter is the time after which a caller may resume its stream at another entry.
	outOfTouchRetryAfter = 100 * time.Millisecond
	// resumptionInterval is the time between two looks for an endpoint, or at the list.
	resumptionInterval = 50 * time.Millisecond
)

// Sources of the origin of a stream, in logs and metrics.
const (
	originFromEvents  = "events"       // of this entry or others
	originFromPeer    = "peer"         // which was asked
	originOnlyVersion = "only version" // the service has run no other
	originUnknown     = "unknown"
)

// resumedStream is a stream that a caller resumes.
type resumedStream struct {
	request string // that brought its first event, empty if the caller names none
	after   string // ID of the last event that the caller has

	source   string // of the origin, empty before it was looked up
	origin   resumption.Origin
	age      time.Duration // since it began, 0 for unknown
	recorded bool          // its origin is known, and not only its version

	unlisted bool                 // it began at an endpoint that has never been on the list here
	answers  *peers.OriginAnswers // of the peers that were asked last, nil before
	askedAt  time.Time

	input   resumption.Input // of the last decision, for the log
	listed  time.Time        // when the list of endpoints behind it was the newest, zero for never
	listAge time.Duration    // since then
}

// resumedStreamOf returns the stream that a request resumes according to its header, nil if it begins one.
func (g *Gateway) resumedStreamOf(q *request) *resumedStream {
	h := q.incoming.Header
	s := &resumedStream{request: h.Get(g.fields.Resumes), after: h.Get(g.fields.LastEvent)}
	if s.request == "" && s.after == "" {
		return nil
	}
	return s
}

// setStream sets the stream that the request begins or resumes, if its class allows resumptions.
func (g *Gateway) setStream(q *request) {
	if !q.class.Route.Streaming || !q.class.Route.Resumable {
		return
	}
	q.stream = resumption.KeyOf(q.team, q.id)
	if q.resumed = g.resumedStreamOf(q); q.resumed == nil {
		return
	}
	q.stream = 0
	if q.resumed.request != "" {
		q.stream = resumption.KeyOf(q.team, q.resumed.request)
	}
}

// resolveOrigin decides where the stream that the request resumes goes on. It returns a failure
// if that is nowhere.
func (f *forwarding) resolveOrigin() *result.Error {
	q := f.request
	s := q.resumed
	if s == nil {
		return nil
	}
	switch d := f.decideResumption().(type) {
	case resumption.Resume:
		if !d.Recorded {
			s.source = originOnlyVersion
			s.origin = resumption.Origin{Software: d.Software}
		}
		s.recorded = d.Recorded
		q.spec.Resumes, q.spec.Version, q.spec.Service = true, d.Version, d.Service
		q.spec.Team = teamOf(f.gateway.directory.Settings().Snapshot, d.Service, q.team)
		return nil
	case resumption.Refuse:
		if d.Reason == resumption.OutOfTouch {
			return &result.Error{Code: result.StreamElsewhere, Run: result.NotRun, RetryAfter: outOfTouchRetryAfter, Reason: d.Reason.String()}
		}
		return &result.Error{Code: result.StreamUnknown, Run: result.NotRun, Reason: d.Reason.String()}
	default:
		return &result.Error{Code: result.StreamUnknown, Run: result.NotRun}
	}
}

// decideResumption decides where the stream is resumed. While it can't, it waits for what other entries
// and a newer list of endpoints add to what is known here.
func (f *forwarding) decideResumption() resumption.Decision {
	from := steady.Now()
	mayWait := true
	for {
		i := f.gateway.resumptionInput(f.request)
		i.ListAwaited = !mayWait || steady.Since(from) >= maxListWait
		i.PeersAwaited = !mayWait || steady.Since(from) >= maxPeerWait
		decision := resumption.Decide(i)
		switch decision.(type) {
		case resumption.AskPeers:
			f.askPeers()
			continue
		case resumption.AwaitPeers:
			f.askSilentPeersAgain()
		case resumption.AwaitList:
		default:
			f.request.resumed.input = i
			return decision
		}
		mayWait = workers.Sleep(f.ctx, resumptionInterval) && !f.gateway.refusing.Load()
	}
}

// resumptionInput returns what this entry knows about the stream that the request resumes.
func (g *Gateway) resumptionInput(q *request) resumption.Input {
	now := steady.Now()
	s := q.resumed
	listed := g.directory.EndpointsConfirmed()
	i := resumption.Input{
		Named: s.request != "", ListNewest: listed.After(q.received),
		PeersAsked: s.answers != nil, PeersSilent: s.answers.Silent(),
	}
	for _, part := range q.class.Route.Split {
		i.Services = append(i.Services, part.Service)
	}
	d := &g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Confirm(listed)
	life := q.class.GiveUp + attemptLifeSlack
	i.Observed = d.versions.Observed(now, life)
	if len(i.Services) == 1 {
		i.Version, i.Only = d.versions.Only(now, i.Services[0], life)
	}
	s.source, s.listed, s.listAge = originUnknown, listed, now.Sub(listed)
	if s.answers != nil && s.answers.Known {
		o := s.answers.Origin
		i.Origin = resumption.Origin{Endpoint: o.Endpoint, Software: resumption.Software{Service: o.Service, Version: o.Version}}
		i.Known = true
		s.source, s.origin, s.age = originFromPeer, i.Origin, time.Duration(o.AgeMS)*time.Millisecond
		return i
	}
	o, age, known := d.origin(now, q.stream)
	s.unlisted = o.Endpoint != "" && !d.versions.Listed(o.Endpoint)
	i.Unlisted = s.unlisted
	if known {
		i.Origin, i.Known = o, true
		s.source, s.origin, s.age = originFromEvents, o, age
	}
	return i
}

// origin returns the origin of a stream, and the time since it began. It returns false if this entry
// does not know it, or knows the endpoint but not its version. dispatcher.mu is held.
func (d *dispatcher) origin(now time.Time, stream resumption.Key) (resumption.Origin, time.Duration, bool) {
	endpoint, begunAt, known := d.origins.Endpoint(stream)
	if !known {
		return resumption.Origin{}, 0, false
	}
	software, known := d.versions.SoftwareOf(endpoint, begunAt)
	return resumption.Origin{Endpoint: endpoint, Software: software}, now.Sub(begunAt), known
}

// askPeers asks other entries about the stream that the request resumes.
func (f *forwarding) askPeers() {
	s := f.request.resumed
	s.askedAt = steady.Now()
	s.answers = &peers.OriginAnswers{}
	if group := f.gateway.dispatcher.peerGroup(); group != nil {
		*s.answers = group.FindOrigin(f.ctx, uint64(f.request.stream))
	}
}

// askSilentPeersAgain makes other entries asked again if that was long enough ago.
func (f *forwarding) askSilentPeersAgain() {
	if s := f.request.resumed; steady.Since(s.askedAt) >= peerRetryInterval {
		s.answers = nil
	}
}

// place chooses an endpoint as dispatcher.place does, and waits a while for those of the version of the
// request's stream.
func (f *forwarding) place(excluded map[string]bool) (*attempt, *result.Error) {
	for {
		a, refusal := f.gateway.dispatcher.place(f.request, excluded)
		if a != nil || refusal != nil || !f.awaitVersion(excluded) {
			if a != nil {
				f.gateway.recordProbes(f.request, a)
			}
			return a, refusal
		}
	}
}

// awaitVersion waits a while if the endpoints that run the version of the request's stream can't take
// it for now, or a newer list may have some. It returns false if all of them are excluded, or if it has
// waited for long enough.
func (f *forwarding) awaitVersion(excluded map[string]bool) bool {
	q := f.request
	if !q.spec.Resumes {
		return false
	}
	listNewest := f.gateway.directory.EndpointsConfirmed().After(q.received)
	return (!listNewest || f.gateway.dispatcher.mayTakeLater(q, excluded)) && f.awaitEngine()
}

// awaitEngine waits for resumptionInterval for an engine that may take the request's stream or run later.
// It returns false if the request has waited for maxResumptionWait since its stream broke.
func (f *forwarding) awaitEngine() bool {
	q := f.request
	now := steady.Now()
	if q.resumptionUntil.IsZero() {
		q.resumptionUntil = now.Add(maxResumptionWait)
	}
	if !now.Before(q.resumptionUntil) || f.gateway.refusing.Load() {
		return false
	}
	return workers.Sleep(f.ctx, resumptionInterval)
}

// versionDoubt returns why it is not certain that the endpoint of an attempt ran the version of its
// record when it began the request's stream. It is empty if that is certain, or no other version is
// known.
func (g *Gateway) versionDoubt(q *request, a *attempt) string {
	if g.dispatcher.versionKnown(q, a, g.directory.EndpointsConfirmed()) {
		return ""
	}
	return "it is not known which version ran it, " + g.listAge()
}

// listAge describes how old the list of endpoints is, for the log.
func (g *Gateway) listAge() string {
	listed := g.directory.EndpointsConfirmed()
	if listed.IsZero() {
		return "without a list of endpoints that was ever the newest"
	}
	return fmt.Sprintf("by a list of endpoints that was the newest %d ms ago", steady.Since(listed).Milliseconds())
}

// versionKnown reports whether the endpoint of an attempt ran the version of its record, or no other
// version is known. listed is when the list of endpoints was last known to be the newest.
func (d *dispatcher) versionKnown(q *request, a *attempt, listed time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Confirm(listed)
	if _, known := d.versions.SoftwareOf(a.endpoint().Incarnation(), a.sentAt); known {
		return true
	}
	only, found := d.versions.Only(steady.Now(), q.spec.Service, q.class.GiveUp+attemptLifeSlack)
	return found && only != "" && only == a.endpoint().Version
}

// Origin returns the origin of a stream, for other entries.
func (g *Gateway) Origin(stream uint64) (peers.Origin, bool) {
	now := steady.Now()
	listed := g.directory.EndpointsConfirmed()
	d := &g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.Confirm(listed)
	o, age, known := d.origin(now, resumption.Key(stream))
	if !known {
		return peers.Origin{}, false
	}
	return peers.Origin{Endpoint: o.Endpoint, Service: o.Service, Version: o.Version, AgeMS: age.Milliseconds()}, true
}

// recordStream records where an attempt begins or resumes a stream, and adds that to its event.
// dispatcher.mu is held.
func (d *dispatcher) recordStream(now time.Time, q *request, x *attempt, sent *peers.Event) {
	if q.stream == 0 {
		return
	}
	sent.Stream, sent.Resumes = uint64(q.stream), q.spec.Resumes
	d.applyStream(now, x.id, *sent)
}

// applyStream applies the stream in the event of an attempt that was sent. dispatcher.mu is held.
func (d *dispatcher) applyStream(at time.Time, id placement.AttemptID, sent peers.Event) {
	key := resumption.Key(sent.Stream)
	switch {
	case key == 0 || sent.Request == nil:
	case sent.Resumes:
		d.origins.Resumed(at, key, sent.Endpoint, sent.Request.TimeLeft)
	default:
		d.origins.Sent(at, id, key, sent.Endpoint, sent.Request.TimeLeft)
	}
}

// applyLateStreams applies where streams began to events whose ages are not known. A stream that counts
// as begun too late is only less certain.
func (d *dispatcher) applyLateStreams(owner uint64, events []peers.Event) {
	now := steady.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		id := placement.AttemptID{Owner: owner, Number: e.Number}
		switch e.Kind {
		case peers.AttemptSent:
			d.applyStream(now, id, e)
		case peers.FirstEvent:
			d.origins.FirstEvent(now, id)
		case peers.AttemptEnded:
			d.origins.Ended(id)
		}
	}
}

// streamCounts returns the number of recorded streams, and of those beyond the bound.
func (d *dispatcher) streamCounts() (recorded, unrecorded int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.origins.Counts()
}

// record returns the stream that a request resumes, for the log.
func (s *resumedStream) record() *record.Resumption {
	listAgeMS := s.listAge.Milliseconds()
	if s.listed.IsZero() {
		listAgeMS = record.NeverListed
	}
	return &record.Resumption{
		Request: s.request, After: s.after, Source: s.source,
		Endpoint: s.origin.Endpoint, Version: s.origin.Version, AgeMS: s.age.Milliseconds(),
		ListAgeMS: listAgeMS, OnlyVersion: s.input.Version, Observed: s.input.Observed, PeersAsked: s.input.PeersAsked,
		PeerAnswers: s.answers.Answers(), Unlisted: s.unlisted,
	}
}

// Outcomes of resumptions, in metrics.
const (
	resumptionSent    = "sent"    // to an endpoint
	resumptionRefused = "refused" // since its version is not known, or no endpoint of it may take it
)

// countResumption counts a stream that this entry or a caller resumes, by where its version is known
// from.
func (g *Gateway) countResumption(by, source, outcome string) {
	g.options.Metrics.Tagged(map[string]string{"by": by, "origin": source, "outcome": outcome}).Counter("resumptions").Inc(1)
}

// Tags of countResumption: who resumes a stream.
const (
	resumedByEntry  = "entry"
	resumedByCaller = "caller"
)

// countResumedStream counts a stream that a caller resumes.
func (g *Gateway) countResumedStream(q *request) {
	outcome := resumptionRefused
	for _, a := range q.attempts {
		if a.outcome != outcomeRefused && a.outcome != outcomeWithdrawn {
			outcome = resumptionSent
		}
	}
	g.countResumption(resumedByCaller, q.resumed.source, outcome)
}
