package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// softwareVersions are the versions of engines. A release goes from one to any other.
var softwareVersions = []string{"v1", "v2", "v3"}

const (
	// releasedShare is the share of the engines that a release replaces.
	releasedShare = 0.5
	// maxReleaseGap is the longest time between the replacements of two engines.
	maxReleaseGap = 400 * time.Millisecond
	// minOutOfStep is the shortest time in which an entry is frozen during a release.
	minOutOfStep = 500 * time.Millisecond
	// maxResumptions is how often a caller resumes the same stream.
	maxResumptions = 2
	// inTouch is the time after the start of an entry, and after a disturbance, from which streams
	// have to go on there.
	inTouch = 3 * time.Second
	// minResumptions is the fewest resumptions by which a share can be judged.
	minResumptions = 12
	// resumedShare is the share of resumptions that go on, as a part of that of new streams that
	// begin, which is the least.
	resumedShare = 0.5
)

// resumption is what a caller that resumes a stream can expect.
type resumption struct {
	id       string // of the request
	resumed  bool   // the stream went on
	expected bool   // its version served at two engines, and the entry was in touch
}

// release replaces part of the engines by engines of another version, one after the other. It does
// nothing while another release is under way.
func release(d *deployment, amount float64) {
	if !d.releaseMu.TryLock() {
		return
	}
	defer d.releaseMu.Unlock()
	d.mu.Lock()
	for before := d.software; d.software == before; {
		d.software = softwareVersions[d.random.IntN(len(softwareVersions))]
	}
	replaced := max(int(releasedShare*float64(d.options.Endpoints)), 1)
	d.mu.Unlock()
	var all sync.WaitGroup
	for range replaced {
		all.Go(func() { drainEndpoint(d, amount) })
		time.Sleep(time.Duration(amount * float64(maxReleaseGap)))
	}
	all.Wait()
}

// releaseOutOfStep releases engines while an entry is frozen. As it resumes, another one is killed, so that
// streams that began in the meantime break and are resumed there. It does nothing while another entry is
// out of step: callers would find none that serves.
func releaseOutOfStep(d *deployment, amount float64) {
	if !d.outOfStepMu.TryLock() {
		return
	}
	defer d.outOfStepMu.Unlock()
	frozen, killed := d.randomEntry(), d.randomEntry()
	var all sync.WaitGroup
	all.Go(func() { release(d, amount) })
	frozen.signalMu.Lock()
	d.history.recordDisturbance(time.Now())
	frozen.freeze(minOutOfStep + faultDuration(amount, extraFreeze))
	frozen.signalMu.Unlock()
	if killed != frozen {
		killed.restart(syscall.SIGKILL)
	}
	d.history.recordDisturbance(time.Now())
	all.Wait()
}

// resumeBroken has a caller resume a stream that broke off, at entries of its choice.
func (d *deployment) resumeBroken(ctx context.Context, s observation, random *rand.Rand) {
	for range maxResumptions {
		received := s.resumesAfter + len(eventIDs(s.body))
		if !s.kind.resumable || s.complete || s.gaveUp || s.status != http.StatusOK || received == 0 || ctx.Err() != nil {
			return
		}
		next := newObservation(s.kind, s.team)
		next.target = s.target
		next.resumes, next.resumesAfter = s.id, received
		if s.resumes != "" {
			next.resumes = s.resumes
		}
		c := &connection{entry: d.entries[random.IntN(len(d.entries))]}
		expected := d.mayGoOn(c.entry, s)
		s = d.requestOver(ctx, c, next)
		c.close()
		if s.status == 0 || s.gaveUp {
			return // the entry is down
		}
		d.history.recordResumption(resumption{
			id: s.id, resumed: s.status == http.StatusOK, expected: expected && d.mayGoOn(c.entry, s),
		})
	}
}

// mayGoOn reports whether a stream has to go on at an entry: the entry is in touch, nothing was
// disturbed lately, and two engines of the version that began it serve.
func (d *deployment) mayGoOn(e *entry, s observation) bool {
	if e.servingFor() < inTouch || d.history.disturbedWithin(inTouch) {
		return false
	}
	ids := eventSources(s.body)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(ids) == 0 {
		return true // a refusal; the caller asked this before it resumed
	}
	version := ""
	for _, e := range d.endpoints {
		if e.runner.ID == ids[0] {
			version = e.runner.Version
		}
	}
	serving := 0
	for _, e := range d.endpoints {
		if e.runner.Version == version && !e.removed && !e.draining && e.leavingSince.IsZero() && time.Since(e.startedAt) > warmupDuration {
			serving++
		}
	}
	return serving >= 2
}

// eventSources returns the endpoints that sent the events of a stream, in order.
func eventSources(body string) []string {
	var ids []string
	for line := range strings.Lines(body) {
		data, found := strings.CutPrefix(line, "data: ")
		end := strings.LastIndexByte(data, '-')
		if found && strings.HasSuffix(line, "\n") && end > 0 {
			ids = append(ids, data[:end])
		}
	}
	return ids
}

func (h *history) recordResumption(r resumption) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumptions = append(h.resumptions, r)
}

// disturbedWithin reports whether a fault that delays updates to entries struck lately.
func (h *history) disturbedWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.disturbances) - 1
	return last >= 0 && time.Since(h.disturbances[last]) < d
}

// checkVersions checks that no stream has events of two versions, and that streams go on.
// history.mu must be held.
func (h *history) checkVersions(r *Report) {
	began := map[string]string{} // version by the id of the request that began the stream
	for _, s := range h.observations {
		if !s.kind.stream || s.status != http.StatusOK {
			continue
		}
		stream := s.id
		if s.resumes != "" {
			stream = s.resumes
		}
		for _, endpoint := range eventSources(s.body) {
			version := h.versionOf[endpoint]
			if first, known := began[stream]; known && first != version {
				h.addViolation(OneVersion, s.id, "the stream %s has events of %s and %s", stream, first, version)
				break
			}
			began[stream] = version
		}
	}
	h.checkResumed(r)
}

// checkResumed checks the share of resumed streams that go on.
func (h *history) checkResumed(r *Report) {
	expected, goOn := 0, 0
	for _, x := range h.resumptions {
		if x.resumed {
			r.Resumed++
		} else {
			r.Refused++
		}
		if x.expected {
			expected++
			if x.resumed {
				goOn++
			}
		}
	}
	sent, begun := 0, 0
	for _, s := range h.observations {
		if s.kind.resumable && s.resumes == "" && s.status != 0 && !s.gaveUp {
			sent++
			if s.status == http.StatusOK {
				begun++
			}
		}
	}
	if expected < minResumptions || sent == 0 {
		return
	}
	if float64(goOn)/float64(expected) < resumedShare*float64(begun)/float64(sent) {
		h.addViolation(StreamsGoOn, "", "%d of %d streams that callers resumed went on, and %d of %d began", goOn, expected, begun, sent)
	}
}
