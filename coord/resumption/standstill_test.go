package resumption_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/freshness"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/resumption"
)

const (
	processes         = 5
	storeReaders      = 2
	tick              = 25 * time.Millisecond
	readInterval      = 700 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	modelStreamLife   = 10 * time.Second
	peerWait          = time.Second
	listWait          = 1800 * time.Millisecond
)

// dating is how a process dates the age that a heartbeat claims.
type dating int

const (
	byEcho dating = iota
	byRead        // from when it read the heartbeat
)

// outOfStep is a fleet during a release in which processes stand still or are cut off. What is sent to
// one that stands still waits in its socket.
type outOfStep struct {
	random    *rand.Rand
	dating    dating
	now       time.Time
	engines   []placement.Endpoint
	revision  int // of the store's list
	processes []*process
	streams   []modelStream
	resumed   []*resumptionRequest
	counts    map[string]int
}

type process struct {
	id        uint64
	origins   resumption.Origins
	versions  resumption.Versions
	list      []placement.Endpoint
	revision  int
	confirmed time.Time // when the list was known to be the newest
	readAt    time.Time // of the last call to the store
	beatAt    time.Time
	stamps    map[uint64]freshness.Stamp
	socket    []datagram
	stopped   time.Time // until when it stands still
	cut       time.Time // until when it is cut off
}

type datagram struct {
	from      *process
	stamp     freshness.Stamp
	echoes    freshness.Echoes
	revision  int
	ageMS     int64
	announced *modelStream // else a heartbeat
	endpoint  string
}

type resumptionRequest struct {
	stream   modelStream
	at       *process
	received time.Time
}

func newOutOfStep(seed uint64, d dating) *outOfStep {
	f := &outOfStep{random: rand.New(rand.NewPCG(seed, 3)), dating: d, now: origin, counts: map[string]int{}}
	for range modelEngines {
		f.addEngine("v1")
	}
	for n := range processes {
		p := &process{id: uint64(n + 1), stamps: map[uint64]freshness.Stamp{}}
		p.readList(f)
		f.processes = append(f.processes, p)
	}
	return f
}

func (f *outOfStep) addEngine(version string) {
	f.revision++
	f.engines = append(f.engines, placement.Endpoint{ID: fmt.Sprint("i-", f.revision), Service: "pool", Version: version})
}

// release replaces an engine of the first version, if there is another.
func (f *outOfStep) release() {
	f.addEngine("v2")
	if f.engines[0].Version == "v1" && f.engines[1].Version == "v1" {
		f.engines = f.engines[1:]
		f.revision++
	}
}

func (f *outOfStep) runs(p *process) bool { return !f.now.Before(p.stopped) }

func (f *outOfStep) reaches(p, q *process) bool {
	return !f.now.Before(p.cut) && !f.now.Before(q.cut)
}

func (p *process) readList(f *outOfStep) {
	p.apply(f.now, f.engines, f.revision)
	p.confirm(f.now)
}

func (p *process) apply(now time.Time, list []placement.Endpoint, revision int) {
	if revision <= p.revision {
		return
	}
	p.list, p.revision = append([]placement.Endpoint(nil), list...), revision
	p.versions.Observe(now, p.list)
}

func (p *process) confirm(at time.Time) {
	if at.After(p.confirmed) {
		p.confirmed = at
	}
	p.versions.Confirm(p.confirmed)
}

// step lets a process do what is due.
func (f *outOfStep) step(p *process) {
	if !f.runs(p) {
		return
	}
	for range f.random.IntN(len(p.socket) + 1) {
		d := p.socket[0]
		p.socket = p.socket[1:]
		f.receive(p, d)
	}
	if p.id <= storeReaders && f.now.Sub(p.readAt) >= readInterval && f.reaches(p, p) {
		p.readAt = f.now
		p.readList(f)
	}
	if f.now.Sub(p.beatAt) >= heartbeatInterval {
		p.beatAt = f.now
		f.sendHeartbeats(p)
	}
	p.origins.Expire(f.now)
}

func (f *outOfStep) sendHeartbeats(p *process) {
	var echoes freshness.Echoes
	for from, s := range p.stamps {
		echoes = echoes.With(from, s)
	}
	for _, q := range f.processes {
		if q != p && f.reaches(p, q) {
			q.socket = append(q.socket, datagram{
				from: p, stamp: freshness.StampAt(origin, f.now), echoes: echoes, revision: p.revision, ageMS: f.now.Sub(p.confirmed).Milliseconds(),
			})
		}
	}
}

func (f *outOfStep) receive(p *process, d datagram) {
	if d.announced != nil {
		id := placement.AttemptID{Owner: d.from.id, Number: uint64(d.announced.key)}
		p.origins.Sent(f.now, id, d.announced.key, d.endpoint, modelStreamLife)
		p.origins.FirstEvent(f.now, id)
		return
	}
	p.stamps[d.from.id] = max(p.stamps[d.from.id], d.stamp)
	if d.revision > p.revision && f.reaches(p, d.from) && f.runs(d.from) {
		p.apply(f.now, d.from.list, d.from.revision) // fetched
	}
	composedAfter, known := d.echoes.ComposedAfter(p.id, origin, f.now)
	if f.dating == byRead {
		composedAfter, known = f.now, true
	}
	if at, claimed := freshness.NewestAt(composedAfter, d.ageMS); known && claimed && p.revision >= d.revision {
		p.confirm(at)
	}
}

// begin begins a stream at a process, if it runs.
func (f *outOfStep) begin() {
	p := f.processes[f.random.IntN(processes)]
	listed := p.list[f.random.IntN(len(p.list))]
	if !f.runs(p) || !contains(f.engines, listed.ID) {
		return
	}
	s := modelStream{key: resumption.Key(len(f.streams) + 1), begun: f.now, version: listed.Version}
	f.streams = append(f.streams, s)
	for _, q := range f.processes {
		if q == p || f.reaches(p, q) && f.random.IntN(8) > 0 {
			q.socket = append(q.socket, datagram{from: p, announced: &s, endpoint: listed.ID})
		}
	}
}

func contains(list []placement.Endpoint, id string) bool {
	for _, e := range list {
		if e.ID == id {
			return true
		}
	}
	return false
}

// decide returns what a process decides about a request for now.
func (f *outOfStep) decide(r *resumptionRequest) resumption.Decision {
	p := r.at
	i := resumption.Input{
		Named: true, Services: []string{"pool"}, ListNewest: p.confirmed.After(r.received),
		ListAwaited: f.now.Sub(r.received) >= listWait, PeersAwaited: f.now.Sub(r.received) >= peerWait,
		Observed: p.versions.Observed(f.now, modelStreamLife+5*time.Second),
	}
	i.Version, i.Only = p.versions.Only(f.now, "pool", modelStreamLife+5*time.Second)
	i.Origin, i.Known, i.Unlisted = p.origin(r.stream.key)
	decision := resumption.Decide(i)
	if _, asks := decision.(resumption.AskPeers); !asks {
		return decision
	}
	i.PeersAsked, i.PeersSilent = true, true
	for range 3 {
		q := f.processes[f.random.IntN(processes)]
		if q == p || !f.reaches(p, q) || !f.runs(q) || i.Known {
			continue
		}
		i.PeersSilent = false
		if o, known, _ := q.origin(r.stream.key); known {
			i.Origin, i.Known = o, true
		}
	}
	return resumption.Decide(i)
}

func (p *process) origin(key resumption.Key) (o resumption.Origin, known, unlisted bool) {
	endpoint, begunAt, recorded := p.origins.Endpoint(key)
	if !recorded {
		return resumption.Origin{}, false, false
	}
	software, known := p.versions.SoftwareOf(endpoint, begunAt)
	return resumption.Origin{Endpoint: endpoint, Software: software}, known, !p.versions.Listed(endpoint)
}

// resume decides the open requests, and returns a description of a stream that goes on at another
// version.
func (f *outOfStep) resume() string {
	var open []*resumptionRequest
	for _, r := range f.resumed {
		if !f.runs(r.at) {
			open = append(open, r)
			continue
		}
		switch d := f.decide(r).(type) {
		case resumption.AwaitList, resumption.AwaitPeers:
			open = append(open, r)
		case resumption.Resume:
			f.counts["gone on"]++
			if !d.Recorded {
				f.counts["by the only version"]++
			}
			if d.Version != r.stream.version {
				return fmt.Sprintf("stream %d, begun at %s, goes on at %s at process %d (recorded: %v)", r.stream.key, r.stream.version, d.Version, r.at.id, d.Recorded)
			}
		case resumption.Refuse:
			f.counts["refused"]++
		}
	}
	f.resumed = open
	return ""
}

// play returns a description of the first stream that goes on at another version.
func (f *outOfStep) play() string {
	const release = 20 * time.Second
	for f.now.Sub(origin) < release+15*time.Second {
		f.now = f.now.Add(tick)
		during := f.now.Sub(origin) > release
		victim := f.processes[f.random.IntN(processes)]
		trouble := f.now.Add(time.Duration(f.random.IntN(3000)) * time.Millisecond)
		switch f.random.IntN(80) {
		case 0:
			victim.stopped = trouble
		case 1:
			victim.cut = trouble
		case 2:
			victim.stopped, victim.cut = trouble, trouble.Add(time.Second)
		case 3, 4, 5:
			if during {
				f.release()
			}
		}
		f.begin()
		for _, p := range f.processes {
			f.step(p)
		}
		if n := len(f.streams); n > 0 && during {
			s := f.streams[n-1-f.random.IntN(min(n, 100))]
			f.resumed = append(f.resumed, &resumptionRequest{stream: s, at: victim, received: f.now})
		}
		if wrong := f.resume(); wrong != "" {
			return fmt.Sprintf("after %v: %s", f.now.Sub(origin), wrong)
		}
	}
	return ""
}

// TestNoStreamGoesOnAtAnotherVersionAtProcessOutOfStep guards against resumptions by an old list after a standstill or a cut.
func TestNoStreamGoesOnAtAnotherVersionAtProcessOutOfStep(t *testing.T) {
	total := map[string]int{}
	for seed := range uint64(300) {
		f := newOutOfStep(seed, byEcho)
		if wrong := f.play(); wrong != "" {
			t.Fatalf("seed %d, %s", seed, wrong)
		}
		for name, n := range f.counts {
			total[name] += n
		}
	}
	t.Log(total)
	if total["gone on"] < total["refused"] {
		t.Errorf("%d streams went on, %d were refused", total["gone on"], total["refused"])
	}
}

// TestModelShowsClaimsDatedByRead checks that the model catches the fault that it guards against.
func TestModelShowsClaimsDatedByRead(t *testing.T) {
	for seed := range uint64(300) {
		if newOutOfStep(seed, byRead).play() != "" {
			return
		}
	}
	t.Error("no stream went on at another version")
}
