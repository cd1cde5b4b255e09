package platformtest

import "sync"

// Script is a sequence of acts that several runners share: the next request at any
// of them gets the next act. The zero value is empty.
type Script struct {
	mu   sync.Mutex
	acts []Act
}

// InTurn makes the runners share a script of acts for the next requests.
func InTurn(runners []*Runner, acts ...Act) {
	s := &Script{acts: acts}
	for _, r := range runners {
		r.mu.Lock()
		r.sharedScript = s
		r.mu.Unlock()
	}
}

// next removes and returns the next act. It returns false if none is left.
func (s *Script) next() (Act, bool) {
	if s == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.acts) == 0 {
		return nil, false
	}
	a := s.acts[0]
	s.acts = s.acts[1:]
	return a, true
}
