// Package standin holds small stand-ins for the systems around foxcross: the
// platform's key-value service and member list, a model engine and a plain
// service. They are for examples and tests and can be made to fail.
package standin

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/storeerr"
)

// MaxValue is the largest value that the store accepts, in bytes.
const MaxValue = 1 << 20

// Faults are the faults of the store that can be injected.
type Faults struct {
	Down      bool
	Delay     time.Duration
	LoseSwaps int  // number of swaps that take effect but are not answered
	ListDown  bool // the member list does not respond
	ListEmpty bool // the member list is wrongly empty
}

// Calls counts calls by kind. A watch counts as one call, however long it waits.
type Calls struct {
	Gets, Swaps, Watches int
}

// Store is a key-value service in memory. The zero value is empty.
type Store struct {
	ListLag time.Duration // delay after which the member list shows a change

	changeCount atomic.Int64 // settings changes with an id from Settings

	mu        sync.Mutex
	values    map[string]kv.Value
	revision  uint64
	waiters   map[string][]chan struct{}
	faults    Faults
	calls     Calls
	newest    []kv.Member // as last set
	members   []kv.Member // as visible
	listCount int         // number of lists that were set
	shown     int         // number of the visible list
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeAll()
}

// Calls returns the number of calls to the store.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetMembers replaces the member list, after ListLag.
func (s *Store) SetMembers(m []kv.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleList(slices.Clone(m))
}

// SetMember adds a member or replaces the one of the same name, after ListLag.
func (s *Store) SetMember(m kv.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleList(append(s.without(m.Name), m))
}

// RemoveMember removes a member from the list, after ListLag.
func (s *Store) RemoveMember(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleList(s.without(name))
}

// without returns a copy of the newest list without a member. Store.mu must be held.
func (s *Store) without(name string) []kv.Member {
	return slices.DeleteFunc(slices.Clone(s.newest), func(m kv.Member) bool { return m.Name == name })
}

// scheduleList sets the newest list and makes it visible after ListLag. Store.mu
// must be held.
func (s *Store) scheduleList(next []kv.Member) {
	s.listCount++
	number := s.listCount
	s.newest = next
	if s.ListLag <= 0 {
		s.members = next
		return
	}
	time.AfterFunc(s.ListLag, func() { s.showMembers(number, next) })
}

// showMembers makes a list visible unless a later one is visible.
func (s *Store) showMembers(number int, m []kv.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number > s.shown {
		s.shown = number
		s.members = m
	}
}

// Members returns the member list. It is a separate service, which Down and Delay do
// not affect.
func (s *Store) Members(context.Context) ([]kv.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.ListDown:
		return nil, storeerr.ErrUnavailable
	case s.faults.ListEmpty:
		return nil, nil
	default:
		return slices.Clone(s.members), nil
	}
}

// applyFaults counts a call and applies the injected delay and outage.
func (s *Store) applyFaults(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return storeerr.ErrUnavailable
		}
	}
	if f.Down {
		return storeerr.ErrUnavailable
	}
	return nil
}

// Get returns a value.
func (s *Store) Get(ctx context.Context, key string) (kv.Value, error) {
	if err := s.applyFaults(ctx, func(c *Calls) { c.Gets++ }); err != nil {
		return kv.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	if !ok {
		return kv.Value{}, storeerr.ErrNotFound
	}
	return v, nil
}

// Swap stores data if revision is the present revision of the key.
func (s *Store) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if err := s.applyFaults(ctx, func(c *Calls) { c.Swaps++ }); err != nil {
		return 0, err
	}
	if len(data) > MaxValue {
		return 0, errTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != revision {
		return 0, kv.ErrConflict
	}
	if s.values == nil {
		s.values = map[string]kv.Value{}
	}
	s.revision++
	s.values[key] = kv.Value{Data: slices.Clone(data), Revision: s.revision}
	s.wake(key)
	if s.faults.LoseSwaps > 0 {
		s.faults.LoseSwaps--
		return 0, errLost
	}
	return s.revision, nil
}

// Watch waits for a value with a revision after the given one.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (kv.Value, error) {
	if err := s.applyFaults(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return kv.Value{}, err
	}
	for {
		s.mu.Lock()
		v, ok := s.values[key]
		down := s.faults.Down
		woken := make(chan struct{})
		if s.waiters == nil {
			s.waiters = map[string][]chan struct{}{}
		}
		s.waiters[key] = append(s.waiters[key], woken)
		s.mu.Unlock()
		if down {
			return kv.Value{}, storeerr.ErrUnavailable
		}
		if ok && v.Revision > after {
			return v, nil
		}
		select {
		case <-woken:
		case <-ctx.Done():
			return kv.Value{}, ctx.Err()
		}
	}
}

func (s *Store) wake(key string) {
	for _, w := range s.waiters[key] {
		close(w)
	}
	delete(s.waiters, key)
}

func (s *Store) wakeAll() {
	for k := range s.waiters {
		s.wake(k)
	}
}
