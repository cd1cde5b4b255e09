// Refuses requests with a content on which endpoints have crashed. Such a content is held in
// quarantine, and its requests are not sent to endpoints.
//
// Rule: coord/quarantine decides, based on the crashes that this entry observed and those that
// other entries reported. An attempt whose connection broke counts if its endpoint has crashed, was
// listed and had not announced that it leaves. An attempt without a response, or whose caller left,
// counts if its endpoint turns out to have crashed: it refuses connections, another attempt
// observed the crash, or it is listed again with a later start. A request with a held content is
// refused at once, and so are its retries and resumptions. Parts on which its run has written do not
// hold a stream that goes on: engines crash when they begin to write on a part, or not at all.
// Inputs: results of attempts, events from other entries, the list of endpoints, the store's
// records (held.go).
// Never: a request is reported as "not run" if one of its attempts may have run. Requests don't
// wait for the state of other entries, except at an entry without live peers that has just observed
// a crash, and before a trial (held.go).

package gateway

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/peers"
	"foxcross.dev/foxcross/internal/steady"
)

// rebroadcastDelays are the delays after which an event about a content is broadcast again, because
// datagrams may be lost. Each counts from the previous broadcast, so that one follows after a pause of
// this process, when peers may drop what they receive. If three in a hundred are lost, one event in
// 37,000 does not arrive. A fourth broadcast after 3 s makes no difference beyond the spread of the
// model (TestModelBoundsSends).
var rebroadcastDelays = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond}

// checkQuarantine returns the refusal of a request whose content, or a part of whose prompt, is held or
// being tried, or nil.
func (f *forwarding) checkQuarantine() *result.Error {
	if !f.gateway.suspects.any.Load() {
		return nil
	}
	held := f.heldKeys()
	for _, k := range held {
		if f.gateway.suspects.verdict(steady.Now(), k).Remaining > 0 || f.sent > 0 {
			return f.heldRefusal(k)
		}
	}
	if len(held) > 0 && !f.beginTrial(held[0]) {
		return f.heldRefusal(held[0])
	}
	if f.partsBegan || f.sent == 0 && f.trial.begun() {
		return nil
	}
	return f.awaitProbes()
}

// heldKeys returns those of the request's keys that are held, without those that it tries, and notes
// the crashes counted against each.
func (f *forwarding) heldKeys() []quarantine.Key {
	q := f.request
	now := steady.Now()
	q.crashes = map[quarantine.Key]int{}
	var held []quarantine.Key
	for _, k := range append([]quarantine.Key{q.contentKey()}, q.partKeys()...) {
		v := f.gateway.suspects.verdict(now, k)
		if v.Crashes > 0 {
			q.crashes[k] = v.Crashes
		}
		tried := f.sent == 0 && f.trial.includes(k)
		if v.Held && !tried && !(k.IsPart() && f.partsBegan) {
			held = append(held, k)
		}
	}
	return held
}

// heldRefusal returns the refusal of a request with a content or part that is held.
func (f *forwarding) heldRefusal(k quarantine.Key) *result.Error {
	v := f.gateway.suspects.verdict(steady.Now(), k)
	f.gateway.options.Metrics.Counter("quarantine_refused").Inc(1)
	refusal := newFailure(result.Quarantined, f.heldText(k, v.Crashes), f.mayHaveRun)
	if refusal.Run == result.NotRun {
		refusal.RetryAfter = max(v.Remaining, f.combinationHold(), trialInterval)
	}
	return refusal
}

// recordContentResult records the result of an attempt for the quarantine of its content.
func (g *Gateway) recordContentResult(q *request, a *attempt, res attemptResult) {
	switch res := res.(type) {
	case endpointCrashed:
		g.handleCrash(a.endpoint(), res.at, a.suspectRuns(q, res.at)...)
	case responded:
		g.contentSucceeded(q)
	case unreachable:
		if errors.Is(res.err, syscall.ECONNREFUSED) {
			g.handleCrash(a.endpoint(), steady.Now())
		}
	case noResponse, deadlineExceeded, callerLeft:
		now := steady.Now()
		runs := a.suspectRuns(q, now)
		g.suspects.update(func(t *quarantine.Table) {
			for _, r := range runs {
				t.RecordUnanswered(now, a.endpoint().Incarnation(), r)
			}
		})
	}
}

// handleCrash records that this entry observed the crash of an endpoint during the runs. It ignores
// an endpoint that announced its end.
func (g *Gateway) handleCrash(e placement.Endpoint, at time.Time, runs ...quarantine.Run) {
	if !g.directory.Serving(e.ID) {
		return // the endpoint announced its end
	}
	g.dispatcher.recordCrash(e.Incarnation(), at)
	g.recordCrash(e.Incarnation(), at, runs)
}

// recordCrash counts a crash against contents and broadcasts it. Recent runs at the endpoint that
// got no response count as well.
func (g *Gateway) recordCrash(endpoint string, at time.Time, runs []quarantine.Run) {
	var held []quarantine.Key
	g.suspects.update(func(t *quarantine.Table) {
		runs = append(runs, t.TakeUnanswered(at, endpoint)...)
		if len(runs) > 0 {
			held = t.RecordCrash(endpoint, at, 0, runs...)
		}
	})
	if len(runs) == 0 {
		return
	}
	g.broadcastCrash(endpoint, at, runs)
	if !g.dispatcher.hasLivePeers() {
		g.loadHolds(at)
	}
	for _, k := range held {
		g.logHold(at, k, g.options.Owner)
		go g.storeHold(k)
	}
}

// broadcastCrash broadcasts a crash of an endpoint with the runs that it counts against.
func (g *Gateway) broadcastCrash(endpoint string, at time.Time, runs []quarantine.Run) {
	event := peers.Event{Kind: peers.EndpointCrashed, Endpoint: endpoint}
	var parts []quarantine.PartReport
	for _, r := range runs {
		if r.Content.IsPart() {
			parts = append(parts, quarantine.PartReportOf(r, at))
		} else {
			event.Runs = append(event.Runs, quarantine.ReportOf(r, at))
		}
	}
	g.broadcastRepeatedly(event)
	for chunk := range slices.Chunk(parts, partRunsPerEvent) {
		g.broadcastRepeatedly(peers.Event{Kind: peers.EndpointCrashed, Endpoint: endpoint, PartRuns: chunk})
	}
}

// broadcastRepeatedly broadcasts an event about a content, and again after rebroadcastDelays in
// case datagrams were lost.
func (g *Gateway) broadcastRepeatedly(e peers.Event) {
	if group := g.dispatcher.peerGroup(); group != nil {
		e = group.NumberSignal(e)
	}
	g.broadcastAfter(e, rebroadcastDelays)
}

// broadcastAfter broadcasts an event now, and again after each of the delays.
func (g *Gateway) broadcastAfter(e peers.Event, delays []time.Duration) {
	g.dispatcher.broadcast(e)
	if len(delays) > 0 {
		time.AfterFunc(delays[0], func() { g.broadcastAfter(e, delays[1:]) })
	}
}

// detectRestarts records a crash for each endpoint that is listed with a later start than it had
// when runs there got no response.
func (g *Gateway) detectRestarts(list []placement.Endpoint) {
	now := steady.Now()
	var unanswered []string
	g.suspects.update(func(t *quarantine.Table) { unanswered = t.UnansweredAt(now) })
	for _, endpoint := range unanswered {
		for _, e := range list {
			if e.Replaces(endpoint) {
				g.recordCrash(endpoint, now, nil)
			}
		}
	}
}

// contentSucceeded clears the content of a request that succeeded.
func (g *Gateway) contentSucceeded(q *request) {
	if !g.suspects.any.Load() {
		return
	}
	g.clear(q.contentKey())
}

// clear removes the crashes counted against a content, here and at the other entries. It reports
// whether there were any.
func (g *Gateway) clear(k quarantine.Key) bool {
	now := steady.Now()
	var known, held bool
	g.suspects.update(func(t *quarantine.Table) {
		held = t.Verdict(now, k).Held
		known = t.RecordSuccess(k)
	})
	if !known {
		return false
	}
	g.broadcastRepeatedly(peers.Event{Kind: peers.ContentCleared, Runs: []quarantine.RunReport{{Content: k[:]}}})
	if held {
		log.With("content", k.String()).Info("A content is no longer held: a run of it succeeded, or an operator released it.")
		go g.deleteHold(k)
	}
	return true
}

// applyContentEvents applies the events about contents that another entry broadcast.
func (g *Gateway) applyContentEvents(owner uint64, events []peers.Event) {
	now := steady.Now()
	for _, e := range events {
		switch e.Kind {
		case peers.EndpointCrashed:
			g.dispatcher.recordCrash(e.Endpoint, now.Add(-time.Duration(e.AgeMS)*time.Millisecond))
			g.applyPeerCrash(now, quarantine.CrashReport{Endpoint: e.Endpoint, AgeMS: e.AgeMS, From: owner, Runs: e.Runs}, e.PartRuns)
		case peers.ContentCleared:
			for _, r := range e.Runs {
				if k, ok := quarantine.KeyFromBytes(r.Content); ok {
					g.suspects.update(func(t *quarantine.Table) { t.RecordSuccess(k) })
				}
			}
		case peers.ContentHeld:
			at := now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
			g.suspects.restore(at, quarantine.Snapshot{Holds: e.Holds})
		}
	}
}

// applyPeerCrash records a crash that another entry observed. Recent runs of this entry at that
// endpoint that got no response count as well.
func (g *Gateway) applyPeerCrash(now time.Time, r quarantine.CrashReport, parts []quarantine.PartReport) {
	var held []quarantine.Key
	var own []quarantine.Run
	g.suspects.update(func(t *quarantine.Table) {
		held = append(t.ApplyCrash(now, r), t.ApplyPartCrash(now, quarantine.PartCrashReport{Endpoint: r.Endpoint, AgeMS: r.AgeMS, From: r.From, Runs: parts})...)
		own = t.TakeUnanswered(now, r.Endpoint)
	})
	for _, k := range held {
		g.logHold(now, k, r.From)
	}
	if len(own) > 0 {
		g.recordCrash(r.Endpoint, now, own)
	}
}

// logHold logs that a content is now held.
func (g *Gateway) logHold(now time.Time, k quarantine.Key, owner uint64) {
	s := g.suspects.state(now, k)
	log.With("content", k.String()).With("crashes", s.Crashes).With("endpoints", s.Endpoints).
		With("last_ms_ago", s.LastMS).With("held_for_ms", s.ForMS).With("told_by", owner).
		Warnf("Endpoints have crashed while running the same content; it is held.")
}
