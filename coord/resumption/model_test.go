package resumption_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/resumption"
)

const (
	modelEntries = 5
	modelEngines = 6
	// maxModelLag is the longest time after which an entry that is not cut off has a change of the
	// list of endpoints.
	maxModelLag = time.Second
	// minModelLife is the shortest time for which a process is listed.
	minModelLife = 3500 * time.Millisecond
)

// world is the truth: the process that runs under each ID, and the streams that were begun.
type world struct {
	random *rand.Rand
	now    time.Time
	lastID int
	// startedAt is when each incarnation has started.
	startedAt map[string]time.Time
	engines   []placement.Endpoint
	streams   []modelStream
	entries   []*modelEntry
	counts    map[string]int
}

// modelStream is a stream and the version of the process that began it.
type modelStream struct {
	key     resumption.Key
	begun   time.Time
	version string
}

// modelEntry is what one entry knows.
type modelEntry struct {
	origins  resumption.Origins
	versions resumption.Versions
	list     []placement.Endpoint
	listAt   time.Time // when the list was the newest
	cutUntil time.Time // gets neither lists nor events, and nobody gets its
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 2)), now: origin, counts: map[string]int{}, startedAt: map[string]time.Time{}}
	for range modelEngines {
		w.engines = append(w.engines, w.newEngine("v1"))
	}
	for range modelEntries {
		e := &modelEntry{}
		e.readList(w)
		w.entries = append(w.entries, e)
	}
	return w
}

func (w *world) newEngine(version string) placement.Endpoint {
	w.lastID++
	return placement.Endpoint{ID: fmt.Sprint("i-", w.lastID), Service: "pool", Version: version, StartedMS: 1}
}

func (e *modelEntry) cut(now time.Time) bool { return now.Before(e.cutUntil) }

func (e *modelEntry) readList(w *world) {
	e.list = append([]placement.Endpoint(nil), w.engines...)
	e.listAt = w.now
	e.versions.Observe(w.now, e.list)
	e.versions.Confirm(w.now)
}

// replaceEngine ends a process. The next one runs another version, under a new ID or the same.
func (w *world) replaceEngine() {
	n := w.random.IntN(len(w.engines))
	if w.now.Sub(w.startedAt[w.engines[n].Incarnation()]) < minModelLife {
		return
	}
	defer func() { w.startedAt[w.engines[n].Incarnation()] = w.now }()
	version := fmt.Sprint("v", 1+w.random.IntN(3))
	if w.random.IntN(2) == 0 {
		w.engines[n] = w.newEngine(version)
		return
	}
	w.engines[n].Version = version
	w.engines[n].StartedMS++
}

// beginStream sends a request from an entry to an engine on its list. The current process of that ID
// runs it. Other entries receive the events that are not lost.
func (w *world) beginStream() {
	owner := w.random.IntN(len(w.entries))
	e := w.entries[owner]
	listed := e.list[w.random.IntN(len(e.list))]
	for _, engine := range w.engines {
		if engine.ID != listed.ID {
			continue
		}
		s := modelStream{key: resumption.Key(len(w.streams) + 1), begun: w.now, version: engine.Version}
		w.streams = append(w.streams, s)
		id := placement.AttemptID{Owner: uint64(owner), Number: uint64(s.key)}
		for n, other := range w.entries {
			reachable := n == owner || !e.cut(w.now) && !other.cut(w.now)
			if reachable && (n == owner || w.random.IntN(8) > 0) {
				other.origins.Sent(w.now, id, s.key, listed.Incarnation(), 10*time.Second)
			}
			if reachable && (n == owner || w.random.IntN(8) > 0) {
				other.origins.FirstEvent(w.now, id)
			}
		}
	}
}

// restartEntry replaces an entry by one that has the snapshot of another, if one is in reach.
func (w *world) restartEntry() {
	e := &modelEntry{}
	e.versions.StartAt(w.now)
	e.readList(w)
	peer := w.entries[w.random.IntN(len(w.entries))]
	if !peer.cut(w.now) {
		e.versions.Restore(w.now, w.now, peer.versions.Snapshot(w.now))
	}
	w.entries[w.random.IntN(len(w.entries))] = e
}

// origin returns what an entry knows about a stream.
func (e *modelEntry) origin(key resumption.Key) (resumption.Origin, bool) {
	endpoint, begunAt, known := e.origins.Endpoint(key)
	if !known {
		return resumption.Origin{}, false
	}
	software, known := e.versions.SoftwareOf(endpoint, begunAt)
	return resumption.Origin{Endpoint: endpoint, Software: software}, known
}

// resume has a caller resume a stream at an entry, and returns a description of what is wrong.
func (w *world) resume(s modelStream) string {
	const life = 15 * time.Second
	e := w.entries[w.random.IntN(len(w.entries))]
	i := resumption.Input{Named: true, Services: []string{"pool"}, Observed: e.versions.Observed(w.now, life)}
	i.Origin, i.Known = e.origin(s.key)
	i.Version, i.Only = e.versions.Only(w.now, "pool", life)
	i.ListNewest = e.listAt.Equal(w.now)
	decision := resumption.Decide(i)
	if _, asks := decision.(resumption.AskPeers); asks {
		i.PeersAsked = true
		for range 3 {
			peer := w.entries[w.random.IntN(len(w.entries))]
			if o, known := peer.origin(s.key); known && !i.Known && !e.cut(w.now) && !peer.cut(w.now) {
				i.Origin, i.Known = o, true
				w.counts["known to a peer"]++
			}
		}
		decision = resumption.Decide(i)
	}
	if _, waits := decision.(resumption.AwaitList); waits {
		if !e.cut(w.now) {
			e.readList(w)
		}
		i.ListAwaited, i.ListNewest = true, e.listAt.Equal(w.now)
		i.Version, i.Only = e.versions.Only(w.now, "pool", life)
		i.Observed = e.versions.Observed(w.now, life)
		decision = resumption.Decide(i)
	}
	w.counts[fmt.Sprintf("%T", decision)]++
	resume, resumes := decision.(resumption.Resume)
	if resumes && !resume.Recorded {
		w.counts["by the only version"]++
	}
	if resumes && resume.Version != s.version {
		return fmt.Sprintf("stream %d, begun at %s, goes on at %s (recorded: %v)", s.key, s.version, resume.Version, resume.Recorded)
	}
	return ""
}

// TestNoStreamGoesOnAtAnotherVersion guards against guesses while engines, entries, events and lists are replaced, lost or late.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(100) {
		w := newWorld(seed)
		replacesOften := seed%3 > 0
		for range 600 {
			w.now = w.now.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
			switch {
			case w.random.IntN(60) == 0 && (replacesOften || w.random.IntN(20) == 0):
				w.replaceEngine()
			case w.random.IntN(80) == 0:
				w.restartEntry()
			case w.random.IntN(80) == 0:
				w.entries[w.random.IntN(len(w.entries))].cutUntil = w.now.Add(time.Duration(w.random.IntN(8)) * time.Second)
			default:
				w.beginStream()
			}
			for _, e := range w.entries {
				late := w.now.Sub(e.listAt) > maxModelLag || w.random.IntN(5) == 0
				if late && !e.cut(w.now) {
					e.readList(w)
				}
				e.origins.Expire(w.now)
			}
			if len(w.streams) == 0 {
				continue
			}
			s := w.streams[w.random.IntN(len(w.streams))]
			if w.now.Sub(s.begun) > 10*time.Second {
				continue // its caller has left
			}
			if wrong := w.resume(s); wrong != "" {
				t.Fatalf("seed %d, after %v: %s", seed, w.now.Sub(origin), wrong)
			}
		}
		for name, n := range w.counts {
			total[name] += n
		}
	}
	t.Log(total)
	for _, name := range []string{"resumption.Resume", "resumption.Refuse", "known to a peer", "by the only version"} {
		if total[name] == 0 {
			t.Errorf("never: %s", name)
		}
	}
}
