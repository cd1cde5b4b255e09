package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"foxcross.dev/coord/quarantine"
)

// suspects is the state of the contents that endpoints have crashed on. The zero value is empty. It
// is safe for concurrent use.
type suspects struct {
	any atomic.Bool // crashes are counted against some content

	mu       sync.Mutex
	table    quarantine.Table
	loadedAt time.Time // when the store's records were last read
}

// update changes the table.
func (s *suspects) update(change func(t *quarantine.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.table)
	s.any.Store(!s.table.Empty())
}

// verdict returns whether a content is held, and the crashes counted against it.
func (s *suspects) verdict(now time.Time, k quarantine.Key) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(now, k)
}

func (s *suspects) removeExpired(now time.Time) {
	s.update(func(t *quarantine.Table) { t.Expire(now) })
}

func (s *suspects) states(now time.Time) []quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.States(now)
}

func (s *suspects) state(now time.Time, k quarantine.Key) quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.State(now, k)
}

func (s *suspects) counts(now time.Time) (known, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts(now)
}

func (s *suspects) snapshot(now time.Time, self uint64) quarantine.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Snapshot(now, self)
}

func (s *suspects) restore(now time.Time, snapshot quarantine.Snapshot) {
	s.update(func(t *quarantine.Table) { t.Merge(now, snapshot) })
}
