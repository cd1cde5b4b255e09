package placement_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// The simulated engines compute in steps. A step computes up to chunkTokens of the waiting
// prompts, the most urgent first, and generates one token of each stream.
const (
	stepBaseTime      = 3100 * time.Microsecond
	stepTimePerStream = 16 * time.Microsecond
	chunkTokens       = 1024
	eventTokens       = 8
	burstEngines      = 16
	burstDuration     = 8 * time.Second
	burstEntries      = 10
	burstEventDelay   = 12 * time.Millisecond // until an entry receives another's events
)

// simulatedStream is a request at a simulated engine.
type simulatedStream struct {
	id           placement.AttemptID
	request      placement.Request
	requestedAt  time.Time // first request of the caller
	promptLeft   int       // prompt tokens to compute
	outputTokens int       // tokens to generate
	generated    int
	lastAt       time.Time // of its last event
	firstMS      float64
	missed       bool // an inter-event target
	finished     bool
}

// simulatedEngine computes prompts and generates tokens step by step.
type simulatedEngine struct {
	waiting, running []*simulatedStream
	stepping         bool
}

// burstSimulation simulates a service with more long prompts than it can compute, and the
// entries that place them.
type burstSimulation struct {
	tables     [burstEntries]placement.Table
	engines    [burstEngines]simulatedEngine
	queue      eventQueue
	start      time.Time
	random     *rand.Rand
	lastNumber uint64
	completed  []*simulatedStream
	rejected   int // rejected twice

	seed uint64
}

func (b *burstSimulation) schedule(now time.Time, do func(time.Time)) {
	heap.Push(&b.queue, scheduledEvent{now.Sub(b.start), do})
}

// run simulates the burst, with the given numbers of urgent streams and long prompts per
// second.
func (b *burstSimulation) run(urgent, long int) {
	b.start = origin
	b.random = rand.New(rand.NewPCG(b.seed, 4))
	for n := range b.tables {
		b.tables[n] = placement.Table{Self: uint64(n + 1), ReuseWindow: 10 * time.Second}
		b.tables[n].SetServices([]placement.Service{{Name: "pool", MemoryTokens: 540_000, EventTokens: eventTokens, InterEventTarget: 200 * time.Millisecond}})
		b.tables[n].SetEndpoints(origin, engines(burstEngines))
	}
	for at := time.Duration(0); at < burstDuration; at += time.Second / time.Duration(urgent) {
		b.schedule(b.start.Add(at), func(now time.Time) { b.submit(now, now, shortRequest(b.nextID()), 280) })
	}
	for at := time.Duration(0); at < burstDuration; at += time.Second / time.Duration(long) {
		b.schedule(b.start.Add(at), func(now time.Time) { b.submit(now, now, longRequest(b.nextID(), b.nextID()), 380) })
	}
	for len(b.queue) > 0 {
		s := heap.Pop(&b.queue).(scheduledEvent)
		s.do(b.start.Add(s.at))
	}
}

func (b *burstSimulation) nextID() uint64 {
	b.lastNumber++
	return 1_000_000 + b.lastNumber
}

// submit places a request. A rejected caller retries once, after the delay it was given.
func (b *burstSimulation) submit(now, requestedAt time.Time, r placement.Request, outputTokens int) {
	if r.Priority == 0 {
		r.InterEventTarget = 200 * time.Millisecond
	}
	entry := b.random.IntN(burstEntries)
	c, found := b.tables[entry].Choose(now, r, nothingExcluded, b.random)
	if !found {
		return
	}
	if retryAfter, admitted := admit(c, r, 15*time.Second-now.Sub(requestedAt)); !admitted {
		if now.Equal(requestedAt) {
			b.schedule(now.Add(retryAfter), func(now time.Time) { b.submit(now, requestedAt, r, outputTokens) })
		} else {
			b.rejected++
		}
		return
	}
	var engine int
	if _, err := fmt.Sscanf(c.Endpoint.ID, "e-%d", &engine); err != nil {
		panic(err)
	}
	s := &simulatedStream{id: placement.AttemptID{Owner: uint64(entry + 1), Number: b.nextID()}, request: r, requestedAt: requestedAt, promptLeft: c.PrefillTokens, outputTokens: outputTokens}
	b.announce(now, s, func(t *placement.Table) { t.Place(now, s.id, c.Endpoint.ID, r, memory.Fetch{}) })
	e := &b.engines[engine]
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *simulatedStream) int { return cmp.Compare(a.request.Priority, b.request.Priority) })
	if !e.stepping {
		e.stepping = true
		b.step(now, e)
	}
}

// announce applies an event at the entry that sent the request at once, and at the other
// entries after burstEventDelay.
func (b *burstSimulation) announce(now time.Time, s *simulatedStream, do func(*placement.Table)) {
	own := int(s.id.Owner - 1)
	do(&b.tables[own])
	b.schedule(now.Add(burstEventDelay), func(time.Time) {
		for n := range b.tables {
			if n != own {
				do(&b.tables[n])
			}
		}
	})
}

// step runs one step of an engine and schedules the next one at its end.
func (b *burstSimulation) step(now time.Time, e *simulatedEngine) {
	tokens := 0
	var prefilled []*simulatedStream
	for _, s := range e.waiting {
		n := min(s.promptLeft, chunkTokens-tokens)
		s.promptLeft -= n
		tokens += n
		if s.promptLeft == 0 {
			prefilled = append(prefilled, s)
		}
	}
	duration := stepBaseTime + stepTimePerStream*time.Duration(len(e.running)) + time.Duration(float64(tokens)*perTokenMS*float64(time.Millisecond))*4/5
	b.schedule(now.Add(duration), func(now time.Time) {
		e.waiting = slices.DeleteFunc(e.waiting, func(s *simulatedStream) bool { return slices.Contains(prefilled, s) })
		for _, s := range e.running {
			b.generateToken(now, s)
		}
		e.running = slices.DeleteFunc(e.running, func(s *simulatedStream) bool { return s.finished })
		for _, s := range prefilled {
			s.firstMS = float64(now.Sub(s.requestedAt)) / float64(time.Millisecond)
			s.lastAt = now
			b.announce(now, s, func(t *placement.Table) { t.FirstEvent(now, s.id) })
			e.running = append(e.running, s)
		}
		e.stepping = len(e.waiting)+len(e.running) > 0
		if e.stepping {
			b.step(now, e)
		}
	})
}

// generateToken generates a token of a stream.
func (b *burstSimulation) generateToken(now time.Time, s *simulatedStream) {
	s.generated++
	if s.generated%eventTokens == 0 {
		s.missed = s.missed || now.Sub(s.lastAt) > s.request.InterEventTarget
		s.lastAt = now
		b.tables[s.id.Owner-1].NextEvent(now, s.id) // other entries don't receive it
	}
	if s.generated == s.outputTokens {
		s.finished = true
		b.announce(now, s, func(t *placement.Table) { t.End(now, s.id, placement.Succeeded) })
		b.completed = append(b.completed, s)
	}
}

// countServed counts the streams that were served, and those served in time.
func (b *burstSimulation) countServed() (urgentInTime, long, longInTime int) {
	for _, s := range b.completed {
		inTime := !s.missed && s.firstMS <= float64(s.request.FirstEventTarget.Milliseconds())
		isLong := s.request.Priority > 0
		switch {
		case isLong && inTime:
			long++
			longInTime++
		case isLong:
			long++
		case inTime:
			urgentInTime++
		}
	}
	return urgentInTime, long, longInTime
}

// TestAdmittedLongPromptsMeetTargetsInABurst sends more long prompts than the engines can
// compute beside many urgent streams. Those that are admitted must be served in time. Over
// eight seeds, 395 of 561 long prompts are in time, none late and 166 rejected twice, and all
// of 1,121 urgent streams are in time. The simulated engines lose no time to exhausted memory,
// crashes or differences in speed. With 1.0 for maxInterferenceFirstEventTargets, 422 are
// therefore in time, 124 late and 14 rejected.
func TestAdmittedLongPromptsMeetTargetsInABurst(t *testing.T) {
	const seeds, minLongInTime, minShareInTime, minUrgentInTime = 8, 370, 0.99, 1110
	sum := 0
	for seed := range uint64(seeds) {
		b := &burstSimulation{seed: seed}
		b.run(140, 70)
		urgentInTime, long, longInTime := b.countServed()
		sum += longInTime
		if urgentInTime < minUrgentInTime || float64(longInTime) < minShareInTime*float64(long) {
			t.Errorf("seed %d: %d of %d served long prompts are in time, and %d urgent streams; %d are rejected",
				seed, longInTime, long, urgentInTime, b.rejected)
		}
	}
	if sum < seeds*minLongInTime {
		t.Errorf("on average %d long prompts are in time, want %d", sum/seeds, minLongInTime)
	}
}
