package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/caller"

	"foxcross.dev/coord/result"
)

// Kind is one class of a load.
type Kind struct {
	Class  string
	Teams  []string
	Rate   func(since time.Duration) float64 // requests a second
	Prompt int                               // bytes
	Tokens int                               // mean of an answer's length
	Groups int                               // prompts share one of so many beginnings, 0 for none
}

// Steady returns a rate that does not change.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Figures are what became of the requests of a class.
type Figures struct {
	Class    string              `json:"class"`
	Sent     int                 `json:"sent"`
	OK       int                 `json:"ok"`
	First    int                 `json:"first_token_met"`
	Attained int                 `json:"attained"`
	Codes    map[result.Code]int `json:"codes"`
	Tokens   int                 `json:"tokens"`
	InTime   int                 `json:"tokens_in_time"` // of answers whole while requests were sent
	Useful   int                 `json:"tokens_useful"`  // of answers that met all targets
	Median   float64             `json:"first_token_p50_ms"`
	Tail     float64             `json:"first_token_p95_ms"`
	firsts   []time.Duration
}

// Attainment is the share of requests that met all targets of the class.
func (f Figures) Attainment() float64 { return share(f.Attained, f.Sent) }

// FirstShare is the share of requests whose first token came in time.
func (f Figures) FirstShare() float64 { return share(f.First, f.Sent) }

func share(part, all int) float64 { return float64(part) / float64(max(1, all)) }

// Load sends requests of all kinds for a time, through all entries, and waits
// for the answers.
func (t *Trial) Load(ctx context.Context, seed uint64, length time.Duration, kinds []Kind) []Figures {
	figures := make([]Figures, len(kinds))
	var all sync.WaitGroup
	for n, k := range kinds {
		s := sender{trial: t, kind: k, figures: &figures[n], random: rand.New(rand.NewPCG(seed, uint64(n)))}
		figures[n] = Figures{Class: k.Class, Codes: map[result.Code]int{}}
		all.Go(func() { s.send(ctx, length) })
	}
	all.Wait()
	for n := range figures {
		figures[n].Median = milliseconds(caller.Quantile(figures[n].firsts, 0.5))
		figures[n].Tail = milliseconds(caller.Quantile(figures[n].firsts, 0.95))
	}
	return figures
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// sender sends the requests of one kind.
type sender struct {
	trial   *Trial
	kind    Kind
	figures *Figures
	random  *rand.Rand
	end     time.Time
	mu      sync.Mutex
}

func (s *sender) send(ctx context.Context, length time.Duration) {
	var open sync.WaitGroup
	began := time.Now()
	s.end = began.Add(length)
	for n := 0; time.Since(began) < length && ctx.Err() == nil; n++ {
		rate := s.kind.Rate(time.Since(began))
		if rate <= 0 {
			time.Sleep(time.Second / 10)
			continue
		}
		time.Sleep(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		q := Ask{
			ID:     fmt.Sprintf("%s-%d", s.kind.Class, n),
			Class:  s.kind.Class,
			Team:   s.kind.Teams[s.random.IntN(len(s.kind.Teams))],
			Prompt: s.kind.Prompt,
			Tokens: 1 + int(s.random.ExpFloat64()*float64(s.kind.Tokens-1)),
		}
		if s.kind.Groups > 0 {
			q.Group = 1 + s.random.IntN(s.kind.Groups)
		}
		e := s.trial.pick(s.random)
		open.Go(func() { s.note(s.trial.Chat(ctx, e, q)) })
	}
	open.Wait()
}

// pick returns an entry as a balancer would.
func (t *Trial) pick(random *rand.Rand) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[random.IntN(len(t.entries))]
}

func (s *sender) note(a caller.Answer) {
	class, _ := s.trial.Snapshot.Class(s.kind.Class)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.figures
	f.Sent++
	f.Codes[a.Code]++
	if a.Tokens > 0 && a.First <= class.Terms.FirstToken {
		f.First++
	}
	if a.Code != result.OK {
		return
	}
	f.OK++
	f.Tokens += a.Tokens
	if time.Now().Before(s.end) {
		f.InTime += a.Tokens
	}
	f.firsts = append(f.firsts, a.First)
	if a.Meets(class) {
		f.Attained++
		f.Useful += a.Tokens
	}
}
