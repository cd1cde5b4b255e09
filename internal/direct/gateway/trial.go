// Runs the trials of held contents and parts.
//
// Rule: when a hold has ended, one request may try the content or part: the one whose entry writes the
// trial to the store's record, on condition that no other entry did. A request with several suspect
// parts tries their combination (coord/quarantine/combination.go), under the record of its first held
// part. When that trial has failed, the next request may try the part at once.
// Inputs: the store's records, true time, the results of trials.
// Units: calls to the store: three for a trial, one for a combination whose trial failed.
// Never: a trial is sent while the store does not respond; the content stays held. Only if it is
// doubtful whether it caused the crashes is it tried: a content by each entry on its own, a part by the
// live entry that ranks first for it, since sound requests may share it.

package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
)

// trial is the trial of held contents or parts that a request runs. The zero value is no trial.
type trial struct {
	key      quarantine.Key   // whose record it is claimed under
	suspects []quarantine.Key // the request's suspect parts, if the key is that of a part
}

// begun reports whether the request runs a trial.
func (t trial) begun() bool { return t.key != quarantine.Key{} }

// ofCombination reports whether several parts may be the cause of a failure.
func (t trial) ofCombination() bool { return len(t.suspects) > 1 }

// includes reports whether a content or part is tried.
func (t trial) includes(k quarantine.Key) bool {
	return t.key == k || slices.Contains(t.suspects, k)
}

// count returns the number of trials of the key with this one, after so many.
func (t trial) count(before int) int {
	if t.ofCombination() {
		return before
	}
	return before + 1
}

// ranksFirstFor reports whether this entry ranks first for a part among all live ones.
func (g *Gateway) ranksFirstFor(k quarantine.Key) bool {
	const anyDataCentre = ""
	group := g.dispatcher.peerGroup()
	return group == nil || group.RanksFirst(k.String(), anyDataCentre)
}

// trialClaim is the result of claiming a trial: the number of trials, how long the content is held,
// and whether this entry got the trial.
type trialClaim struct {
	trials  int
	hold    time.Duration
	granted bool
}

// beginTrial reports whether the request may try a content or part whose hold has ended.
func (f *forwarding) beginTrial(k quarantine.Key) bool {
	t := trial{key: k}
	if k.IsPart() {
		t.suspects = f.suspectParts()
	}
	if !f.gateway.beginTrial(f.ctx, t, f.request.timeLeft()) {
		return false
	}
	f.trial = t
	return true
}

// suspectParts returns those of the request's parts that are held or on probation.
func (f *forwarding) suspectParts() []quarantine.Key {
	s := &f.gateway.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Suspects(steady.Now(), f.request.partKeys())
}

// combinationHold returns how long the request is held because of a combination of its parts.
func (f *forwarding) combinationHold() time.Duration {
	suspect := f.suspectParts()
	s := &f.gateway.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CombinationHold(steady.Now(), suspect)
}

// beginTrial reports whether a request with that much time left may run a trial. Until that is known,
// and for trialInterval if it can't be determined, other requests here treat the content as held.
func (g *Gateway) beginTrial(ctx context.Context, tr trial, left time.Duration) bool {
	var v quarantine.Verdict
	var held time.Duration
	g.suspects.update(func(t *quarantine.Table) {
		now := steady.Now()
		v = t.Verdict(now, tr.key)
		held = max(v.Remaining, t.CombinationHold(now, tr.suspects))
		if held == 0 {
			t.RecordTrial(tr.key, v.Trials, now.Add(trialInterval))
		}
	})
	if held > 0 {
		return false // another request was first, or tried the same combination
	}
	c := trialClaim{trials: tr.count(v.Trials), hold: quarantine.TrialInterval, granted: true}
	if g.options.Records != nil {
		ctx, cancel := context.WithTimeout(ctx, claimTime(left))
		defer cancel()
		claimed, err := g.claimTrial(ctx, tr, v)
		switch {
		case err == nil:
			c = claimed
		case errors.Is(err, errUnconfirmedClaim) && !v.Ambiguous && !v.Correlated:
			go g.freeClaim(tr.key, v)
			logUnconfirmed(tr.key, err)
			return false
		case v.Ambiguous && g.ranksFirstFor(tr.key):
		case !v.Correlated:
			logUnconfirmed(tr.key, err)
			return false
		}
	}
	g.suspects.update(func(t *quarantine.Table) { t.RecordTrial(tr.key, c.trials, steady.Now().Add(c.hold)) })
	if c.granted {
		log.With("content", tr.key.String()).With("suspect_parts", len(tr.suspects)).With("crashes", v.Crashes).With("trials", c.trials).
			Info("A request with a held content is sent as a trial.")
	}
	return c.granted
}

// errUnconfirmedClaim means that the write of a claim may have taken effect, or may do so later.
var errUnconfirmedClaim = errors.New("gateway: the store did not respond to the claim")

func logUnconfirmed(k quarantine.Key, err error) {
	log.With("content", k.String()).With("reason", err.Error()).WarnLimited("trial", "The store did not confirm the trial of a content; it stays held.")
}

// claimTrial writes to the store that a content is being tried, unless another entry did after the
// hold ended.
func (g *Gateway) claimTrial(ctx context.Context, tr trial, v quarantine.Verdict) (trialClaim, error) {
	trueNow := g.dispatcher.trueTime(steady.Now())
	r, revision, err := g.readHold(ctx, tr.key)
	if err != nil {
		return trialClaim{}, err
	}
	c := trialClaim{trials: tr.count(v.Trials), hold: quarantine.TrialInterval, granted: true}
	if revision > 0 {
		if left := r.until().Sub(trueNow); left > 0 {
			return trialClaim{trials: r.Trials, hold: left}, nil
		}
		c.trials = tr.count(r.Trials)
	}
	next := holdRecord{Crashes: v.Crashes, Trials: c.trials, UntilMS: trueNow.Add(c.hold).UnixMilli(), Owner: g.options.Owner}
	err = g.putHold(ctx, tr.key, next, driver.Condition{Key: holdKey(tr.key), Revision: revision})
	switch {
	case errors.Is(err, driver.ErrConflict):
		c.granted = false // another entry was first
		return c, nil
	case err != nil:
		return trialClaim{}, fmt.Errorf("%w: %w", errUnconfirmedClaim, err)
	default:
		return c, nil
	}
}

// trialFailed records that an endpoint crashed during a trial. That makes one crash more than were
// known when the trial began, even if only their number was reported.
func (g *Gateway) trialFailed(tr trial, knownCrashes int) {
	if tr.ofCombination() {
		g.combinationFailed(tr)
		return
	}
	g.updateHold(tr.key, func(v quarantine.Verdict) quarantine.Verdict {
		return quarantine.Verdict{Crashes: knownCrashes + 1, Trials: v.Trials}
	})
}

// combinationFailed lets a request without one of the tried parts try the others. The record is written
// before other entries are notified, which read it before a trial.
func (g *Gateway) combinationFailed(tr trial) {
	log.With("content", tr.key.String()).With("suspect_parts", len(tr.suspects)).
		Info("An endpoint crashed under the trial of a request with several suspect parts; requests without one of them may be tried.")
	go func() {
		g.storeHoldEnd(tr.key)
		if g.suspects.verdict(steady.Now(), tr.key).Held {
			g.announceHold(tr.key, func(v quarantine.Verdict) quarantine.Verdict {
				v.Remaining = 0
				return v
			})
		}
	}()
}

// storeHoldEnd writes to the store that the hold of a content has ended, if the store responds: without it
// no entry claims a trial there.
func (g *Gateway) storeHoldEnd(k quarantine.Key) {
	if g.options.Records == nil {
		return
	}
	now := steady.Now()
	v := g.suspects.verdict(now, k)
	if !v.Held {
		return // cleared in the meantime
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	r := holdRecord{Crashes: v.Crashes, Trials: v.Trials, UntilMS: g.dispatcher.trueTime(now).UnixMilli()}
	if err := g.putHold(ctx, k, r); err != nil {
		log.With("reason", err.Error()).With("call", "write").WarnLimited("held", "A call for the records of held contents failed.")
	}
}

// abandonTrial lets another request try a content soon, because the trial reached no endpoint.
// Otherwise the content would be held for the duration of a trial that has no result.
func (g *Gateway) abandonTrial(tr trial) {
	k := tr.key
	before := func(trials int) int { return max(trials-tr.count(0), 0) }
	correlated := false
	g.suspects.update(func(t *quarantine.Table) {
		now := steady.Now()
		v := t.Verdict(now, k)
		if correlated = v.Correlated; correlated {
			t.RecordTrial(k, before(v.Trials), now.Add(abandonedTrialHold)) // correlated holds are not broadcast
		}
	})
	if correlated {
		return
	}
	g.updateHold(k, func(v quarantine.Verdict) quarantine.Verdict {
		return quarantine.Verdict{Crashes: v.Crashes, Trials: before(v.Trials), Remaining: abandonedTrialHold}
	})
}

// updateHold changes the hold of a content after its trial, here, at the other entries and in the
// store.
func (g *Gateway) updateHold(k quarantine.Key, change func(quarantine.Verdict) quarantine.Verdict) {
	g.announceHold(k, change)
	go g.storeHold(k)
}

// announceHold changes the hold of a content here and at the other entries.
func (g *Gateway) announceHold(k quarantine.Key, change func(quarantine.Verdict) quarantine.Verdict) {
	now := steady.Now()
	var v quarantine.Verdict
	g.suspects.update(func(t *quarantine.Table) {
		next := change(t.Verdict(now, k))
		t.Hold(k, next.Crashes, next.Trials, now.Add(next.Remaining))
		v = t.Verdict(now, k)
	})
	g.broadcastHolds([]quarantine.HoldReport{{Content: k[:], Crashes: v.Crashes, Trials: v.Trials, ForMS: v.Remaining.Milliseconds()}})
}
