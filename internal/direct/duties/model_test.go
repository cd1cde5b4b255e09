package duties

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/storeerr"
)

// memoryStore is a store in memory. Its calls take time. Faults lose responses, execute calls late,
// or refuse calls.
type memoryStore struct {
	mu          sync.Mutex
	random      *rand.Rand
	revision    uint64
	items       map[string]driver.Record
	leases      map[string]*memoryLease
	lastLease   int
	unavailable bool    // refuses all calls
	lossRate    float64 // fraction of calls whose response is lost
	lateRate    float64 // fraction of calls that are executed late and get no response

	ignoreConditions bool // deliberate fault
}

type memoryLease struct {
	ttl   time.Duration
	until time.Time
}

// storeClient is the connection of one entry to the store.
type storeClient struct {
	*memoryStore
	disconnected *bool // refuses the calls of this entry; guarded by memoryStore.mu
}

func newMemoryStore(random *rand.Rand) *memoryStore {
	return &memoryStore{random: random, items: map[string]driver.Record{}, leases: map[string]*memoryLease{}}
}

var errNoResponse = errors.New("no response")

// call executes do as a call of the store.
func (sc storeClient) call(ctx context.Context, do func() error) error {
	if ctx.Err() != nil {
		return ctx.Err() // a killed entry sends nothing
	}
	s := sc.memoryStore
	s.mu.Lock()
	latency := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	lost := s.random.Float64() < s.lossRate
	late := s.random.Float64() < s.lateRate
	delay := time.Duration(s.random.IntN(4000)) * time.Millisecond
	s.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expire()
			_ = do() // the caller gets no response
		})
		time.Sleep(800 * time.Millisecond)
		return errors.Join(storeerr.ErrUnavailable, errNoResponse)
	}
	time.Sleep(latency)
	s.mu.Lock()
	if s.unavailable || *sc.disconnected {
		s.mu.Unlock()
		return storeerr.ErrUnavailable
	}
	s.expire()
	err := do()
	s.mu.Unlock()
	time.Sleep(latency)
	if lost {
		time.Sleep(800 * time.Millisecond)
		return errors.Join(storeerr.ErrUnavailable, errNoResponse)
	}
	return err
}

// expire deletes the expired leases and their records. The store must be locked.
func (s *memoryStore) expire() {
	now := time.Now()
	for name, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, name)
		for key, i := range s.items {
			if i.LeaseName == name {
				s.revision++
				delete(s.items, key)
			}
		}
	}
}

// The following calls return results only with a response. A call that is executed late has none.

func (sc storeClient) Read(ctx context.Context, key string) (driver.Record, error) {
	var found driver.Record
	err := sc.call(ctx, func() error {
		i, ok := sc.items[key]
		if !ok {
			return storeerr.ErrNotFound
		}
		found = i
		return nil
	})
	if err != nil {
		return driver.Record{}, err
	}
	return found, nil
}

func (sc storeClient) List(ctx context.Context, prefix string) ([]driver.Record, error) {
	var all []driver.Record
	err := sc.call(ctx, func() error {
		for key, i := range sc.items {
			if strings.HasPrefix(key, prefix) {
				all = append(all, i)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return all, nil
}

func (sc storeClient) Update(ctx context.Context, u driver.Update) (uint64, error) {
	var revision uint64
	err := sc.call(ctx, func() error {
		for _, c := range u.Conditions {
			if sc.items[c.Key].Revision != c.Revision && !sc.ignoreConditions {
				return driver.ErrConflict
			}
		}
		for _, p := range u.Put {
			if p.LeaseName != "" && sc.leases[p.LeaseName] == nil {
				return storeerr.ErrNotFound
			}
		}
		sc.revision++
		for _, p := range u.Put {
			p.Revision = sc.revision
			sc.items[p.Key] = p
		}
		for _, key := range u.Remove {
			delete(sc.items, key)
		}
		revision = sc.revision
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

func (sc storeClient) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var lease string
	err := sc.call(ctx, func() error {
		sc.lastLease++
		lease = "lease-" + time.Duration(sc.lastLease).String()
		sc.leases[lease] = &memoryLease{ttl: ttl, until: time.Now().Add(ttl)}
		return nil
	})
	if err != nil {
		return "", err
	}
	return lease, nil
}

func (sc storeClient) Renew(ctx context.Context, lease string) error {
	return sc.call(ctx, func() error {
		l := sc.leases[lease]
		if l == nil {
			return storeerr.ErrNotFound
		}
		l.until = time.Now().Add(l.ttl)
		return nil
	})
}

func (sc storeClient) End(ctx context.Context, lease string) error {
	return sc.call(ctx, func() error {
		if l := sc.leases[lease]; l != nil {
			l.until = time.Time{}
		}
		sc.expire()
		return nil
	})
}

// report is a call that reached the platform.
type report struct {
	sentAt  time.Time // time of the call, when the entry's lease allowed it to act
	machine string
	fence   uint64
	window  int64
	counts  duty.Counts
	refused bool
	arrived time.Time
}

// fakePlatform records reports. Faults lose responses and execute calls late, as if the entry had
// been suspended between the check of its lease and the call.
type fakePlatform struct {
	mu          sync.Mutex
	random      *rand.Rand
	fences      bool // refuses fences lower than the highest seen
	highest     uint64
	reports     []report
	lossRate    float64
	lateRate    float64
	unavailable bool
}

// platformClient is the connection of one entry to the platform.
type platformClient struct {
	*fakePlatform
	machine string
}

func (r platformClient) ReportUsage(ctx context.Context, h driver.Holder, window int64, counts map[string]int64) error {
	if ctx.Err() != nil {
		return ctx.Err() // a killed entry sends nothing
	}
	p := r.fakePlatform
	x := report{sentAt: time.Now(), machine: r.machine, fence: h.Fence, window: window, counts: duty.Counts(counts).Plus(nil)}
	p.mu.Lock()
	lost := p.random.Float64() < p.lossRate
	late := p.random.Float64() < p.lateRate
	unavailable := p.unavailable
	delay := time.Duration(p.random.IntN(6000)) * time.Millisecond
	p.mu.Unlock()
	switch {
	case unavailable:
		time.Sleep(100 * time.Millisecond)
		return errNoResponse
	case late:
		time.AfterFunc(delay, func() { _ = p.receive(x) })
		time.Sleep(1500 * time.Millisecond)
		return errNoResponse
	}
	time.Sleep(2 * time.Millisecond)
	err := p.receive(x)
	if lost {
		time.Sleep(1500 * time.Millisecond)
		return errNoResponse
	}
	return err
}

func (p *fakePlatform) receive(x report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.arrived = time.Now()
	x.refused = p.fences && x.fence < p.highest
	p.highest = max(p.highest, x.fence)
	p.reports = append(p.reports, x)
	if x.refused {
		return driver.ErrFenced
	}
	return nil
}

// memoryGroup connects the simulated entries with each other.
type memoryGroup struct {
	mu      sync.Mutex
	members map[uint64]*memoryMember
}

// memoryMember is one entry in a memoryGroup.
type memoryMember struct {
	group       *memoryGroup
	owner       uint64
	fence       uint64
	isolated    bool // exchanges no messages with other entries
	clockOffset time.Duration
	duties      *Duties
}

func (m *memoryMember) TrueTime(steady time.Time) (time.Time, bool) {
	return steady.Add(m.clockOffset), true
}

func (m *memoryMember) setIsolated(isolated bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.isolated = isolated
}

func (m *memoryMember) Owners() []uint64 {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	var all []uint64
	for owner, o := range m.group.members {
		if o == m || !o.isolated && !m.isolated {
			all = append(all, owner)
		}
	}
	return all
}

func (m *memoryMember) Holder() (uint64, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	fence, other := m.fence, false
	for _, o := range m.group.members {
		if o != m && !o.isolated && !m.isolated && o.fence > fence {
			fence, other = o.fence, true
		}
	}
	return fence, other
}

func (m *memoryMember) SetFence(fence uint64) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.fence = fence
}

func (m *memoryMember) SendUsage(s duty.Statement) {
	m.group.mu.Lock()
	var recipients []*Duties
	for _, o := range m.group.members {
		if o != m && !o.isolated && !m.isolated {
			recipients = append(recipients, o.duties)
		}
	}
	m.group.mu.Unlock()
	for _, d := range recipients {
		d.MergeStatement(s)
	}
}

// respondingStore is a Store that always responds.
type respondingStore struct{}

func (respondingStore) ReadsStore() bool    { return true }
func (respondingStore) StoreResponds() bool { return true }
