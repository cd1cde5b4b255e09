package platformtest

import "sync"

// Script is what several runners do with the next requests, whichever of them a
// request comes to. The zero value is empty.
type Script struct {
	mu   sync.Mutex
	acts []Act
}

// InTurn lets the runners share a script of acts for the next requests.
func InTurn(runners []*Runner, acts ...Act) {
	s := &Script{acts: acts}
	for _, r := range runners {
		r.mu.Lock()
		r.shared = s
		r.mu.Unlock()
	}
}

// next takes the next act; false where none is left.
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
