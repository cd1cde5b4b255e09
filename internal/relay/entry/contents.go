// Refusal of requests whose content has crashed endpoints.
//
// Rule: coord/quarantine decides, from the reports of agents. A request whose content is held is
// refused immediately, and a failed attempt of such a content is not retried. When a hold ends, this
// entry runs one request with the content as a trial, and reports the trial to the other entries
// through its agents. A successful run clears the content at all entries.
// Inputs: reports of agents, ends of attempts, the time.
// Units: one hash of a request's body per request, computed only while any content has crashes.
// Never: a request of which an attempt may have run is never reported as "not run". No request waits
// for reports of other entries, so entries whose hold ends at the same moment may each run a trial.

package entry

import (
	"fmt"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/steady"
)

// minHeldRetryAfter is the shortest retry delay given to a refused caller.
const minHeldRetryAfter = time.Second

// content returns the key of the request's content. The hash is computed once.
func (c *call) content() quarantine.Key {
	c.contentOnce.Do(func() { c.contentKey = c.start.Content(c.request.Target, c.request.Terms) })
	return c.contentKey
}

// hasCrashes reports whether crashes are counted against any content.
func (e *Entry) hasCrashes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.contents.Empty()
}

// contentToCheck returns the content of an open request. It returns false if no content has
// crashes, since no outcome needs a check then.
func (e *Entry) contentToCheck(id message.RequestID) (k quarantine.Key, ok bool) {
	e.mu.Lock()
	c := e.calls[id]
	counted := !e.contents.Empty()
	e.mu.Unlock()
	if c == nil || !counted {
		return quarantine.Key{}, false
	}
	return c.content(), true
}

// checkQuarantine returns the refusal of a request whose content is held, nil if it is not held.
func (e *Entry) checkQuarantine(now time.Time, k quarantine.Key) *result.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.contents.Verdict(now, k)
	switch {
	case !v.Held:
		return nil
	case v.Remaining == 0:
		e.startTrial(now, k, v)
		return nil
	}
	e.metrics.Counter("quarantine_refused").Inc(1)
	return &result.Error{
		Code: result.Quarantined, Run: result.NotRun, RetryAfter: max(v.Remaining, minHeldRetryAfter),
		Reason: fmt.Sprintf("%d endpoints have crashed under content %s", v.Crashes, k),
	}
}

// startTrial makes a request the trial of its content. Entry.mu must be held.
func (e *Entry) startTrial(now time.Time, k quarantine.Key, v quarantine.Verdict) {
	e.contents.RecordTrial(k, v.Trials+1, now.Add(quarantine.TrialInterval))
	log.With("content", k.String()).With("crashes", v.Crashes).With("trials", v.Trials+1).Info("The hold of a content has ended; running one request as a trial.")
	if v.Correlated {
		return // only certain crashes are reported to other entries
	}
	e.broadcastContents("", quarantine.Snapshot{Holds: []quarantine.HoldReport{{
		Content: k[:], Crashes: v.Crashes, Trials: v.Trials + 1, ForMS: quarantine.TrialInterval.Milliseconds(),
	}}})
}

// recordOutcome records the end of an attempt for its content. It returns whether the request
// may be retried. Entry.mu must be held.
func (e *Entry) recordOutcome(now time.Time, k quarantine.Key, m message.End) (retry bool) {
	if m.Code != result.OK {
		return m.Run == result.NotRun || !e.contents.Verdict(now, k).Held
	}
	if e.contents.RecordSuccess(k) {
		e.broadcastContents("", quarantine.Snapshot{Cleared: [][]byte{k[:]}})
	}
	return true
}

// ReleaseContent clears the crashes counted against a content, on request of an operator, here and
// at the other entries. It returns false if none are counted.
func (e *Entry) ReleaseContent(k quarantine.Key) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.contents.RecordSuccess(k) {
		return false
	}
	e.broadcastContents("", quarantine.Snapshot{Cleared: [][]byte{k[:]}})
	log.With("content", k.String()).Info("An operator released the content.")
	return true
}

// broadcastContents sends crash reports to all connected agents that support them, except one.
// Entry.mu must be held.
func (e *Entry) broadcastContents(except string, s quarantine.Snapshot) {
	if s.Empty() {
		return
	}
	for _, c := range e.agents {
		if c.name != except && c.session != nil && c.contents {
			c.send(message.Contents{Known: s})
		}
	}
}

// crashCount returns the number of crashes counted against a request's content. Entry.mu must be
// held.
func (e *Entry) crashCount(c *call) int {
	if e.contents.Empty() {
		return 0
	}
	return e.contents.Verdict(steady.Now(), c.content()).Crashes
}

// applyCrash applies a crash reported with the end of an attempt.
func (e *Entry) applyCrash(agent string, r quarantine.CrashReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyContents(steady.Now(), agent, quarantine.Snapshot{Crashes: []quarantine.CrashReport{r}})
}

// applyContents applies the reports of an agent, and forwards those that are new to the other
// agents. Entry.mu must be held.
func (e *Entry) applyContents(now time.Time, agent string, s quarantine.Snapshot) {
	held, updates := e.contents.Merge(now, s)
	for _, k := range held {
		state := e.contents.State(now, k)
		log.With("content", k.String()).With("crashes", state.Crashes).With("endpoints", state.Endpoints).
			With("held_for_ms", state.ForMS).With("told_by", agent).Warnf("Endpoints have crashed while running the same content; it is held.")
	}
	e.broadcastContents(agent, updates)
}
