package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/caller"

	"foxcross.dev/coord/result"
)

// ClassLoad is the part of a load that belongs to one class.
type ClassLoad struct {
	Class  string
	Teams  []string
	Rate   float64 // requests a second
	Prompt int     // bytes
	Tokens int     // mean length of a response
}

// ClassResult holds the results of the requests of a class.
type ClassResult struct {
	Class string
	Sent  int
	OK    int
	Codes map[result.Code]int
}

// Load sends requests of the classes for a time, through all entries, and waits for
// the responses.
func (t *Simulation) Load(ctx context.Context, seed uint64, length time.Duration, classes []ClassLoad) []ClassResult {
	results := make([]ClassResult, len(classes))
	var senders sync.WaitGroup
	for n, c := range classes {
		s := sender{simulation: t, class: c, results: &results[n], random: rand.New(rand.NewPCG(seed, uint64(n)))}
		results[n] = ClassResult{Class: c.Class, Codes: map[result.Code]int{}}
		senders.Go(func() { s.send(ctx, length) })
	}
	senders.Wait()
	return results
}

// sender sends the requests of one class.
type sender struct {
	simulation *Simulation
	class      ClassLoad
	results    *ClassResult
	random     *rand.Rand
	mu         sync.Mutex
}

func (s *sender) send(ctx context.Context, length time.Duration) {
	var pending sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length && ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(s.random.ExpFloat64() / s.class.Rate * float64(time.Second)))
		q := Request{
			ID:          fmt.Sprintf("%s-%d", s.class.Class, n),
			Class:       s.class.Class,
			Team:        s.class.Teams[s.random.IntN(len(s.class.Teams))],
			PromptBytes: s.class.Prompt,
			Tokens:      1 + int(s.random.ExpFloat64()*float64(s.class.Tokens-1)),
		}
		e := s.simulation.pickEntry(s.random)
		pending.Go(func() { s.record(s.simulation.Chat(ctx, e, q)) })
	}
	pending.Wait()
}

// pickEntry returns an entry as a load balancer would: a random one that reports that it
// is ready, or any if none does.
func (t *Simulation) pickEntry(random *rand.Rand) *Entry {
	all := t.Entries()
	ready := slices.DeleteFunc(slices.Clone(all), func(e *Entry) bool { return !e.Ready() })
	if len(ready) == 0 {
		ready = all
	}
	return ready[random.IntN(len(ready))]
}

func (s *sender) record(a caller.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results
	r.Sent++
	r.Codes[a.Code]++
	if a.Code == result.OK {
		r.OK++
	}
}
