package placement

import (
	"slices"
	"time"

	"foxcross.dev/coord/rendezvous"
)

// Table is what one entry knows of all endpoints. The zero value is empty; it
// is not safe for concurrent use.
type Table struct {
	DataCentre string        // of this entry
	Self       uint64        // owner of local jobs
	ReuseLife  time.Duration // reading a shared part again costs for so long after its last use

	endpoints map[string]*state
	services  map[string]*service
	where     map[JobID]*state
	shared    map[uint64]time.Time // when a shared part was last used anywhere
	swept     time.Time            // when the shared parts were last looked through
}

// service is what the endpoints of one service have in common.
type service struct {
	Service
	members   []*state // in the common order
	plain     spread   // of the ms between events while no prompt is read
	stretched spread   // of the ms between events while prompts are read
	speed     speed
	demand    demand
}

// Bounds of what is remembered.
const (
	maxShared = 65536 // shared parts
	maxPlaced = 65536 // requests that are placed and have not ended
)

// sweepRest is the least time between two looks through all shared parts.
const sweepRest = time.Second

// Times after which a request of another entry is forgotten whose end was not
// heard, since the note of it may be lost.
const (
	overdueSlack = time.Second      // beyond the request's own time
	unknownLeft  = 60 * time.Second // where its time is not known
)

// SetServices takes in what the settings say.
func (t *Table) SetServices(all []Service) {
	for _, s := range all {
		t.service(s.Name).Service = s
	}
}

func (t *Table) service(name string) *service {
	if t.services == nil {
		t.services = map[string]*service{}
	}
	s := t.services[name]
	if s == nil {
		s = &service{Service: Service{Name: name}}
		t.services[name] = s
	}
	return s
}

// SetEndpoints takes in the list of endpoints. What is known of those that
// stay is kept.
func (t *Table) SetEndpoints(list []Endpoint) {
	next := make(map[string]*state, len(list))
	for _, e := range list {
		s := t.endpoints[e.ID]
		if s == nil {
			s = &state{factor: 1, jobs: map[JobID]*placed{}, rank: rendezvous.Hash(e.ID)}
		}
		s.Endpoint = e
		next[e.ID] = s
	}
	for id, s := range t.endpoints {
		if next[id] == nil {
			t.forget(s)
		}
	}
	t.endpoints = next
	t.group()
}

// forget drops the jobs of an endpoint that left the list.
func (t *Table) forget(s *state) {
	for id := range s.jobs {
		delete(t.where, id)
	}
}

func (t *Table) group() {
	for _, s := range t.services {
		s.members = s.members[:0]
	}
	for _, e := range t.endpoints {
		s := t.service(e.Service)
		s.members = append(s.members, e)
	}
	for _, s := range t.services {
		key := rendezvous.Hash(s.Name)
		slices.SortFunc(s.members, func(a, b *state) int {
			ra, rb := rendezvous.Rank(key, a.rank), rendezvous.Rank(key, b.rank)
			switch {
			case ra < rb:
				return -1
			case ra > rb:
				return 1
			default:
				return 0
			}
		})
	}
}

// Endpoint returns an endpoint of the list.
func (t *Table) Endpoint(id string) (Endpoint, bool) {
	s := t.endpoints[id]
	if s == nil {
		return Endpoint{}, false
	}
	return s.Endpoint, true
}

// Len returns the number of endpoints on the list.
func (t *Table) Len() int { return len(t.endpoints) }

// Place notes that a request was sent to an endpoint, by this entry or another.
func (t *Table) Place(now time.Time, id JobID, endpoint string, j Job) {
	s := t.endpoints[endpoint]
	if s == nil || s.jobs[id] != nil || len(t.where) >= maxPlaced {
		return
	}
	if t.where == nil {
		t.where = map[JobID]*state{}
	}
	t.where[id] = s
	service := t.service(s.Service)
	base, perToken := service.speed.line()
	uncached := j.Prompt.Tokens - min(s.cache.reusable(j.Prompt), j.Prompt.Tokens)
	read := float64(uncached) * perToken
	p := &placed{
		job:      j,
		at:       now,
		uncached: uncached,
		expected: base + s.wait(now, j.Priority) + read*s.factor,
		idle:     s.reading(now) == 0,
		local:    id.Owner == t.Self,
	}
	if p.local && s.running() == 0 {
		s.heard = now
	}
	s.jobs[id] = p
	s.tokens += j.Prompt.Tokens + j.Prompt.Out()
	if !s.Engine {
		return
	}
	s.pending[level(j.Priority)] += read
	s.arrived = now
	s.arrive(now, read)
	s.cache.use(j.Prompt, memoryFor(service.MemoryTokens, s.tokens))
	t.remember(now, j.Prompt)
	service.demand.add(now, read, t.heavy(service, read))
}

// running returns the number of local streams that have begun.
func (s *state) running() int {
	n := 0
	for _, p := range s.jobs {
		if p.local && !p.waiting() {
			n++
		}
	}
	return n
}

// memoryFor returns the tokens that cached parts may take beside the running
// requests.
func memoryFor(memory, running int) int {
	if memory <= 0 {
		return defaultMemory
	}
	return max(memory-running, memory/8)
}

// remember notes the use of the parts that other requests may share.
func (t *Table) remember(now time.Time, p Prompt) {
	if t.shared == nil {
		t.shared = map[uint64]time.Time{}
	}
	for n := range len(p.Parts) - 1 {
		t.shared[p.Parts[n].ID] = now
	}
	if len(t.shared) > maxShared && now.Sub(t.swept) >= sweepRest {
		t.swept = now
		t.sweepShared(now)
	}
	for id := range t.shared { // those that are not kept warm any more were not enough
		if len(t.shared) <= maxShared {
			return
		}
		delete(t.shared, id)
	}
}

// sweepShared forgets the shared parts that nobody keeps warm.
func (t *Table) sweepShared(now time.Time) {
	for id, at := range t.shared {
		if now.Sub(at) > t.ReuseLife {
			delete(t.shared, id)
		}
	}
}

// Begin notes the first event of a request.
func (t *Table) Begin(now time.Time, id JobID) {
	s := t.where[id]
	if s == nil {
		return
	}
	p := s.jobs[id]
	if !p.waiting() {
		return
	}
	p.began = now
	p.event = now
	p.reading = s.reading(now)
	if !s.Engine {
		return
	}
	service := t.service(s.Service)
	observed := milliseconds(now.Sub(p.at))
	if p.idle && p.local {
		service.speed.observe(p.uncached, observed/s.factor)
	}
	if p.local {
		s.heard = now
	}
	s.learn(p.expected, observed)
	t.correct(now, s)
}

// Hear notes a later event of a local stream.
func (t *Table) Hear(now time.Time, id JobID) {
	s := t.where[id]
	if s == nil {
		return
	}
	p := s.jobs[id]
	if p.waiting() {
		return
	}
	s.heard = now
	gap := milliseconds(now.Sub(p.event))
	reading := s.reading(now)
	service := t.service(s.Service)
	switch {
	case p.reading >= gap:
		service.stretched.observe(gap / s.factor)
	case p.reading == 0 && reading == 0 && s.arrived.Before(p.event):
		service.plain.observe(gap / s.factor)
	}
	p.event = now
	p.reading = reading
}

// End notes that a request has ended.
func (t *Table) End(now time.Time, id JobID, o Outcome) {
	if s := t.remove(now, id, o); s != nil {
		t.correct(now, s)
	}
}

// remove takes an ended request off its endpoint. It returns the endpoint if it
// is an engine that has not read the request's prompt, else nil.
func (t *Table) remove(now time.Time, id JobID, o Outcome) *state {
	s := t.where[id]
	if s == nil {
		return nil
	}
	p := s.jobs[id]
	delete(t.where, id)
	delete(s.jobs, id)
	s.tokens -= p.job.Prompt.Tokens + p.job.Prompt.Out()
	s.note(now, o)
	if !s.Engine || !p.waiting() {
		return nil
	}
	return s
}

// correct bounds the backlog of an engine by the prompts that wait there.
func (t *Table) correct(now time.Time, s *state) {
	_, perToken := t.service(s.Service).speed.line()
	s.correctBacklog(now, perToken)
}

// DropOwner forgets the requests of an entry that is gone.
func (t *Table) DropOwner(now time.Time, owner uint64) {
	t.abandon(now, func(id JobID, _ *placed) bool { return id.Owner == owner })
}

// Expire forgets the requests of other entries whose time is over: the notes of
// their ends were lost.
func (t *Table) Expire(now time.Time) {
	t.abandon(now, func(_ JobID, p *placed) bool {
		left := p.job.Left
		if left <= 0 {
			left = unknownLeft
		}
		return !p.local && now.Sub(p.at) > left+overdueSlack
	})
}

// abandon forgets the requests that are picked.
func (t *Table) abandon(now time.Time, picked func(JobID, *placed) bool) {
	changed := map[*state]bool{}
	for id, s := range t.where {
		if picked(id, s.jobs[id]) {
			changed[t.remove(now, id, Abandoned)] = true
		}
	}
	delete(changed, nil)
	for s := range changed {
		t.correct(now, s)
	}
}

// Open returns the number of requests that are placed and have not ended.
func (t *Table) Open() int { return len(t.where) }

// Shared returns the number of shared parts that are remembered.
func (t *Table) Shared() int { return len(t.shared) }
