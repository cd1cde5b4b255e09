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

// modelStore is a store in memory. Its calls take time; faults lose answers, carry calls out
// late, and turn calls away.
type modelStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	revision uint64
	items    map[string]driver.Record
	leases   map[string]*modelLease
	last     int
	down     bool    // turns all calls away
	lost     float64 // share of calls whose answer is lost
	late     float64 // share of calls that are carried out late, unanswered

	ignoreConditions bool // planted fault
}

type modelLease struct {
	ttl   time.Duration
	until time.Time
}

// view is the store as one entry reaches it.
type view struct {
	*modelStore
	cut *bool // this entry is turned away; guarded by modelStore.mu
}

func newModelStore(random *rand.Rand) *modelStore {
	return &modelStore{random: random, items: map[string]driver.Record{}, leases: map[string]*modelLease{}}
}

var errUnanswered = errors.New("no answer")

// call carries out do as a call of the store.
func (v view) call(ctx context.Context, do func() error) error {
	if ctx.Err() != nil {
		return ctx.Err() // a killed entry sends nothing
	}
	s := v.modelStore
	s.mu.Lock()
	way := time.Duration(1+s.random.IntN(8)) * time.Millisecond
	lost := s.random.Float64() < s.lost
	late := s.random.Float64() < s.late
	delay := time.Duration(s.random.IntN(4000)) * time.Millisecond
	s.mu.Unlock()
	if late {
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expire()
			_ = do() // nobody hears
		})
		time.Sleep(800 * time.Millisecond)
		return errors.Join(storeerr.ErrUnavailable, errUnanswered)
	}
	time.Sleep(way)
	s.mu.Lock()
	if s.down || *v.cut {
		s.mu.Unlock()
		return storeerr.ErrUnavailable
	}
	s.expire()
	err := do()
	s.mu.Unlock()
	time.Sleep(way)
	if lost {
		time.Sleep(800 * time.Millisecond)
		return errors.Join(storeerr.ErrUnavailable, errUnanswered)
	}
	return err
}

// expire ends the leases that are over. The store is locked.
func (s *modelStore) expire() {
	now := time.Now()
	for name, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, name)
		for key, i := range s.items {
			if i.Lease == name {
				s.revision++
				delete(s.items, key)
			}
		}
	}
}

// Results are handed over only with an answer: a call that is carried out late has none.

func (v view) Read(ctx context.Context, key string) (driver.Record, error) {
	var found driver.Record
	err := v.call(ctx, func() error {
		i, ok := v.items[key]
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

func (v view) List(ctx context.Context, prefix string) ([]driver.Record, error) {
	var all []driver.Record
	err := v.call(ctx, func() error {
		for key, i := range v.items {
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

func (v view) Update(ctx context.Context, u driver.Update) (uint64, error) {
	var revision uint64
	err := v.call(ctx, func() error {
		for _, c := range u.Conditions {
			if v.items[c.Key].Revision != c.Revision && !v.ignoreConditions {
				return driver.ErrConflict
			}
		}
		for _, p := range u.Put {
			if p.Lease != "" && v.leases[p.Lease] == nil {
				return storeerr.ErrNotFound
			}
		}
		v.revision++
		for _, p := range u.Put {
			p.Revision = v.revision
			v.items[p.Key] = p
		}
		for _, key := range u.Remove {
			delete(v.items, key)
		}
		revision = v.revision
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

func (v view) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var lease string
	err := v.call(ctx, func() error {
		v.last++
		lease = "lease-" + time.Duration(v.last).String()
		v.leases[lease] = &modelLease{ttl: ttl, until: time.Now().Add(ttl)}
		return nil
	})
	if err != nil {
		return "", err
	}
	return lease, nil
}

func (v view) Renew(ctx context.Context, lease string) error {
	return v.call(ctx, func() error {
		l := v.leases[lease]
		if l == nil {
			return storeerr.ErrNotFound
		}
		l.until = time.Now().Add(l.ttl)
		return nil
	})
}

func (v view) End(ctx context.Context, lease string) error {
	return v.call(ctx, func() error {
		if l := v.leases[lease]; l != nil {
			l.until = time.Time{}
		}
		v.expire()
		return nil
	})
}

// report is one call that reached the platform.
type report struct {
	sentAt  time.Time // by an entry that believed that it may act
	machine string
	fence   uint64
	window  int64
	counts  duty.Counts
	refused bool
	arrived time.Time
}

// modelPlatform takes reports. Faults lose answers and carry calls out late, as does an entry
// that stands still between its look at the lease and the call.
type modelPlatform struct {
	mu      sync.Mutex
	random  *rand.Rand
	fences  bool // refuses a lower fence than it has seen
	highest uint64
	reports []report
	lost    float64
	late    float64
	down    bool
}

// reporterOf is the platform as one entry reaches it.
type reporterOf struct {
	*modelPlatform
	machine string
}

func (r reporterOf) ReportUsage(ctx context.Context, h driver.Holder, window int64, counts map[string]int64) error {
	if ctx.Err() != nil {
		return ctx.Err() // a killed entry sends nothing
	}
	p := r.modelPlatform
	x := report{sentAt: time.Now(), machine: r.machine, fence: h.Fence, window: window, counts: duty.Counts(counts).Plus(nil)}
	p.mu.Lock()
	lost := p.random.Float64() < p.lost
	late := p.random.Float64() < p.late
	down := p.down
	delay := time.Duration(p.random.IntN(6000)) * time.Millisecond
	p.mu.Unlock()
	switch {
	case down:
		time.Sleep(100 * time.Millisecond)
		return errUnanswered
	case late:
		time.AfterFunc(delay, func() { _ = p.take(x) })
		time.Sleep(1500 * time.Millisecond)
		return errUnanswered
	}
	time.Sleep(2 * time.Millisecond)
	err := p.take(x)
	if lost {
		time.Sleep(1500 * time.Millisecond)
		return errUnanswered
	}
	return err
}

func (p *modelPlatform) take(x report) error {
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

// modelGroup lets entries of one process hear each other.
type modelGroup struct {
	mu      sync.Mutex
	members map[uint64]*modelMember
}

// modelMember is one entry as the others hear it.
type modelMember struct {
	group  *modelGroup
	owner  uint64
	fence  uint64
	deaf   bool // hears nobody, and is not heard
	skew   time.Duration
	duties *Duties
}

func (m *modelMember) TrueTime(steady time.Time) (time.Time, bool) { return steady.Add(m.skew), true }

func (m *modelMember) setDeaf(deaf bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.deaf = deaf
}

func (m *modelMember) Owners() []uint64 {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	var all []uint64
	for owner, o := range m.group.members {
		if o == m || !o.deaf && !m.deaf {
			all = append(all, owner)
		}
	}
	return all
}

func (m *modelMember) Holder() (uint64, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	fence, other := m.fence, false
	for _, o := range m.group.members {
		if o != m && !o.deaf && !m.deaf && o.fence > fence {
			fence, other = o.fence, true
		}
	}
	return fence, other
}

func (m *modelMember) SetFence(fence uint64) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.fence = fence
}

func (m *modelMember) TellUsage(s duty.Statement) {
	m.group.mu.Lock()
	var to []*Duties
	for _, o := range m.group.members {
		if o != m && !o.deaf && !m.deaf {
			to = append(to, o.duties)
		}
	}
	m.group.mu.Unlock()
	for _, d := range to {
		d.TakeStatement(s)
	}
}

// reads is a Store that is always followed.
type reads struct{}

func (reads) ReadsStore() bool { return true }
func (reads) Following() bool  { return true }
