package platformtest

import "sync"

// Script is a sequence of behaviors that several runners share: the next request at any
// of them gets the next behavior. The zero value is empty.
type Script struct {
	mu        sync.Mutex
	behaviors []Behavior
}

// ShareScript makes the runners share a script of behaviors for the next requests.
func ShareScript(runners []*Runner, behaviors ...Behavior) {
	s := &Script{behaviors: behaviors}
	for _, r := range runners {
		r.mu.Lock()
		r.sharedScript = s
		r.mu.Unlock()
	}
}

// peek returns the next behavior without removing it. It returns false if none is left.
func (s *Script) peek() (Behavior, bool) { return s.first(false) }

// next removes and returns the next behavior. It returns false if none is left.
func (s *Script) next() (Behavior, bool) { return s.first(true) }

func (s *Script) first(remove bool) (Behavior, bool) {
	if s == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.behaviors) == 0 {
		return nil, false
	}
	b := s.behaviors[0]
	if remove {
		s.behaviors = s.behaviors[1:]
	}
	return b, true
}
